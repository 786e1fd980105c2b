//! Waiting for conditions by polling.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

/// Interval at which [`wait_until`] checks a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Calls `check` periodically until it returns a value, and returns that value.
///
/// # Errors
///
/// Returns an error that contains `what` if `limit` passes first.
pub async fn wait_until<T>(
    what: &str,
    limit: Duration,
    mut check: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let mut timer = CheckTimer::new(CHECK_INTERVAL, limit);
    loop {
        timer.next(what).await?;
        if let Some(value) = check().await {
            return Ok(value);
        }
    }
}

/// Calls `check` at the given interval until it returns a value, and returns that value. Unlike
/// [`wait_until`] it can run in a spawned task, because the future of `check` has a named type.
///
/// # Errors
///
/// Returns an error that contains `what` if `limit` passes first.
pub async fn wait_until_every<T, F: Future<Output = Option<T>>>(
    period: Duration,
    what: &str,
    limit: Duration,
    mut check: impl FnMut() -> F,
) -> Result<T> {
    let mut timer = CheckTimer::new(period, limit);
    loop {
        timer.next(what).await?;
        if let Some(value) = check().await {
            return Ok(value);
        }
    }
}

/// Schedule of the checks of a condition. The last check takes place after the limit.
struct CheckTimer {
    ticks: Interval,
    limit: Duration,
    deadline: Instant,
    is_last: bool,
}

impl CheckTimer {
    fn new(period: Duration, limit: Duration) -> Self {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            ticks,
            limit,
            deadline: Instant::now() + limit,
            is_last: false,
        }
    }

    async fn next(&mut self, what: &str) -> Result<()> {
        if self.is_last {
            bail!("within {:?} this did not happen: {what}", self.limit);
        }
        self.ticks.tick().await;
        self.is_last = Instant::now() >= self.deadline;
        Ok(())
    }
}
