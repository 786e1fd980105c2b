//! Waiting for conditions.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which a condition is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Waits until `look` returns a value.
///
/// # Errors
///
/// Returns an error that names `what` if the limit passes first.
pub async fn until<T>(
    what: &str,
    limit: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let end = Instant::now() + limit;
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(value) = look().await {
            return Ok(value);
        }
        if Instant::now() >= end {
            bail!("within {limit:?} this did not happen: {what}");
        }
    }
}
