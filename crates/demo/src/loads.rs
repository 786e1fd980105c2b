//! Load of callers at a steady rate.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, bail, eyre};
use hdrhistogram::Histogram;
use hyssop_standins::Echo;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::callers::{CallOutcome, Caller, CallerRequest};
use crate::fleets::SERVICE;

/// Interval at which requests are sent.
const STEP: Duration = Duration::from_millis(10);
/// Most tries of a booking, each with a new ticket after it was not run.
const TRIES: u32 = 8;
/// Longest latency that is recorded, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Which part of the run a request belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All failure domains are in service.
    #[default]
    Steady,
    /// A failure domain leaves, is empty, or returns.
    Maintenance,
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Latency by stage, in microseconds, of complete responses, measured from the time at which
    /// the request was due.
    pub latencies: BTreeMap<Stage, Histogram<u64>>,
    /// Tickets of the bookings that were answered whole.
    pub completed_tickets: Vec<String>,
    /// Tickets of the tries that were not run.
    pub not_run_tickets: Vec<String>,
    /// Tries without a ticket that were not run, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests whose outcome is unknown, with their reasons.
    pub unknown_outcomes: Vec<String>,
    /// Requests that ended in another way than expected.
    pub failures: Vec<String>,
}

impl LoadReport {
    /// Returns the number of complete responses.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        self.latencies.values().map(Histogram::len).sum()
    }
}

/// Running load.
pub struct Load {
    stage: watch::Sender<Stage>,
    stop: watch::Sender<bool>,
    seen: Arc<Mutex<LoadReport>>,
    task: JoinHandle<()>,
}

impl Load {
    /// Starts to send `rate` requests per second, half of them bookings, through the entries in
    /// turn.
    #[must_use]
    pub fn start(caller: Caller, entries: Vec<String>, rate: u32) -> Self {
        let (stage, stages) = watch::channel(Stage::Steady);
        let (stop, stopped) = watch::channel(false);
        let seen = Arc::<Mutex<LoadReport>>::default();
        let driver = Driver {
            caller,
            entries: entries.into(),
            stages,
            seen: Arc::clone(&seen),
        };
        let task = tokio::spawn(driver.run(rate, stopped));
        Self {
            stage,
            stop,
            seen,
            task,
        }
    }

    /// Sets the stage to which the next requests belong.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns the number of complete responses so far.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        lock(&self.seen).complete_count()
    }

    /// Stops sending, waits for the last answers, and returns what the callers saw.
    ///
    /// # Errors
    ///
    /// Returns an error if the load has panicked.
    pub async fn stop(self) -> Result<LoadReport> {
        self.stop.send_replace(true);
        self.task.await?;
        Ok(std::mem::take(&mut *lock(&self.seen)))
    }
}

#[derive(Clone)]
struct Driver {
    caller: Caller,
    entries: Arc<[String]>,
    stages: watch::Receiver<Stage>,
    seen: Arc<Mutex<LoadReport>>,
}

impl Driver {
    /// Sends requests when they are due, whatever became of the earlier ones, so that slow answers
    /// do not thin out the load.
    async fn run(self, rate: u32, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(STEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut requests = JoinSet::new();
        let mut sent = 0_u64;
        let start = Instant::now();
        loop {
            tokio::select! {
                _ = stop.wait_for(|stopped| *stopped) => break,
                _ = ticks.tick() => {}
            }
            let due = start.elapsed().as_millis() as u64 * u64::from(rate) / 1_000;
            while sent < due {
                requests.spawn(self.clone().request(sent, Instant::now()));
                sent += 1;
            }
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    async fn request(self, number: u64, due: Instant) {
        let stage = *self.stages.borrow();
        let index = number as usize / 2 % self.entries.len();
        let entry = self.entries[index].clone();
        let result = match number % 2 {
            0 => self.day_sheet(&entry, number).await,
            _ => self.booking(&entry, number).await,
        };
        let taken = due.elapsed().as_micros() as u64;
        let mut seen = lock(&self.seen);
        match result {
            Ok(true) => {
                let histogram = seen.latencies.entry(stage).or_insert_with(new_histogram);
                histogram.saturating_record(taken);
            }
            Ok(false) => {}
            Err(error) => seen.failures.push(format!("request {number}: {error}")),
        }
    }

    /// Fetches a day sheet, which is idempotent. Returns whether it was answered whole.
    async fn day_sheet(&self, entry: &str, number: u64) -> Result<bool> {
        let path = format!("/day-sheets/{number}");
        let answer = self
            .caller
            .call(entry, SERVICE, &CallerRequest::get(&path))
            .await;
        let mut seen = lock(&self.seen);
        match answer {
            CallOutcome::Complete { status, body } => {
                drop(seen);
                let echo = echo(status, &body)?;
                if echo.path != path {
                    bail!("{path} was answered with {}", echo.path);
                }
                return Ok(true);
            }
            CallOutcome::NotRun(reason) => *seen.refusals.entry(reason).or_default() += 1,
            CallOutcome::Unknown(reason) => seen.unknown_outcomes.push(format!("{path}: {reason}")),
        }
        Ok(false)
    }

    /// Books a fitting, which must run once. After "not run" it is tried with a new ticket.
    async fn booking(&self, entry: &str, number: u64) -> Result<bool> {
        for _ in 0..TRIES {
            let tickets = self.caller.tickets(entry, SERVICE, 1).await?;
            let ticket = tickets.first().ok_or_else(|| eyre!("no ticket"))?;
            let ask = CallerRequest::post("/bookings", ticket, format!("booking {number}"));
            let answer = self.caller.call(entry, SERVICE, &ask).await;
            match answer {
                CallOutcome::Complete { status, body } => {
                    let echo = echo(status, &body)?;
                    if echo.key.as_ref() != Some(ticket) {
                        bail!("ticket {ticket} was answered with {:?}", echo.key);
                    }
                    lock(&self.seen).completed_tickets.push(ticket.clone());
                    return Ok(true);
                }
                CallOutcome::NotRun(_) => lock(&self.seen).not_run_tickets.push(ticket.clone()),
                CallOutcome::Unknown(reason) => {
                    lock(&self.seen)
                        .unknown_outcomes
                        .push(format!("{ticket}: {reason}"));
                    return Ok(false);
                }
            }
        }
        bail!("{TRIES} tries were not run")
    }
}

fn echo(status: u16, body: &[u8]) -> Result<Echo> {
    if status != 200 {
        bail!("status {status}");
    }
    Ok(serde_json::from_slice(body)?)
}

/// Creates a histogram with three digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid")
}

fn lock(seen: &Mutex<LoadReport>) -> MutexGuard<'_, LoadReport> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}
