//! Waiting for conditions.

use std::time::Duration;

use eyre::{Result, bail};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval};

/// Interval at which a condition is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// Waits until `look` returns a value.
///
/// # Errors
///
/// Returns an error that names `what` if the limit passes first.
pub async fn wait_until<T>(
    what: &str,
    limit: Duration,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let mut looks = Looks::new(LOOK, limit);
    loop {
        looks.next(what).await?;
        if let Some(value) = look().await {
            return Ok(value);
        }
    }
}

/// Waits until `look`, called at an interval, returns a value. Unlike [`wait_until`] it may run in a
/// spawned task, because the future that is returned is of a named type.
///
/// # Errors
///
/// Returns an error that names `what` if the limit passes first.
pub async fn wait_until_every<T, F: Future<Output = Option<T>>>(
    every: Duration,
    what: &str,
    limit: Duration,
    mut look: impl FnMut() -> F,
) -> Result<T> {
    let mut looks = Looks::new(every, limit);
    loop {
        looks.next(what).await?;
        if let Some(value) = look().await {
            return Ok(value);
        }
    }
}

/// Times at which a condition is looked at; the last one is after the limit.
struct Looks {
    ticks: Interval,
    limit: Duration,
    end: Instant,
    last: bool,
}

impl Looks {
    fn new(every: Duration, limit: Duration) -> Self {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            ticks,
            limit,
            end: Instant::now() + limit,
            last: false,
        }
    }

    async fn next(&mut self, what: &str) -> Result<()> {
        if self.last {
            bail!("within {:?} this did not happen: {what}", self.limit);
        }
        self.ticks.tick().await;
        self.last = Instant::now() >= self.end;
        Ok(())
    }
}
