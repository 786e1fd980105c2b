//! Request load at a steady rate.

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

/// Interval at which the due requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts of a booking; each one after "not run" uses a new ticket.
const MAX_BOOKING_ATTEMPTS: u32 = 8;
/// Upper bound of recorded latencies, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Part of the run in which a request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All failure domains are in service.
    #[default]
    Steady,
    /// A failure domain is drained, out of service, or refilled.
    Maintenance,
}

/// Outcomes and latencies of the requests.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Latencies of complete responses by stage, in microseconds, measured from the time at which
    /// the request was due.
    pub latencies: BTreeMap<Stage, Histogram<u64>>,
    /// Tickets of the bookings with a complete response.
    pub completed_tickets: Vec<String>,
    /// Tickets of the booking attempts that were reported as not run.
    pub not_run_tickets: Vec<String>,
    /// Number of requests without a ticket that were reported as not run, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Requests with an unknown outcome, each with its reason.
    pub unknown_calls: Vec<String>,
    /// Errors of requests, among them responses that belong to another request.
    pub failures: Vec<String>,
}

impl LoadReport {
    /// Returns the number of complete responses.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        self.latencies.values().map(Histogram::len).sum()
    }
}

/// Running request load.
pub struct Load {
    stage: watch::Sender<Stage>,
    stop: watch::Sender<bool>,
    report: Arc<Mutex<LoadReport>>,
    task: JoinHandle<()>,
}

impl Load {
    /// Starts to send `rate` requests per second, half of them bookings, through each of the
    /// entries in turn.
    #[must_use]
    pub fn start(caller: Caller, entries: Vec<String>, rate: u32) -> Self {
        let (stage, stages) = watch::channel(Stage::Steady);
        let (stop, stopped) = watch::channel(false);
        let report = Arc::<Mutex<LoadReport>>::default();
        let driver = Driver {
            caller,
            entries: entries.into(),
            stages,
            report: Arc::clone(&report),
        };
        let task = tokio::spawn(driver.run(rate, stopped));
        Self {
            stage,
            stop,
            report,
            task,
        }
    }

    /// Sets the stage of the requests that are sent from now on.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Returns the number of complete responses so far.
    #[must_use]
    pub fn complete_count(&self) -> u64 {
        lock(&self.report).complete_count()
    }

    /// Stops sending, waits for the outstanding responses, and returns the report.
    ///
    /// # Errors
    ///
    /// Returns an error if the load has panicked.
    pub async fn stop(self) -> Result<LoadReport> {
        self.stop.send_replace(true);
        self.task.await?;
        Ok(std::mem::take(&mut *lock(&self.report)))
    }
}

#[derive(Clone)]
struct Driver {
    caller: Caller,
    entries: Arc<[String]>,
    stages: watch::Receiver<Stage>,
    report: Arc<Mutex<LoadReport>>,
}

impl Driver {
    /// Sends each request when it is due, without waiting for earlier ones, so that slow responses
    /// do not reduce the load.
    async fn run(self, rate: u32, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(SEND_INTERVAL);
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
        let latency = due.elapsed().as_micros() as u64;
        let mut report = lock(&self.report);
        match result {
            Ok(true) => {
                let histogram = report.latencies.entry(stage).or_insert_with(new_histogram);
                histogram.saturating_record(latency);
            }
            Ok(false) => {}
            Err(error) => report.failures.push(format!("request {number}: {error}")),
        }
    }

    /// Fetches a day sheet, an idempotent request. Returns whether the response is complete.
    async fn day_sheet(&self, entry: &str, number: u64) -> Result<bool> {
        let path = format!("/day-sheets/{number}");
        let outcome = self
            .caller
            .call(entry, SERVICE, &CallerRequest::get(&path))
            .await;
        let mut report = lock(&self.report);
        match outcome {
            CallOutcome::Complete { status, body } => {
                drop(report);
                let echo = parse_echo(status, &body)?;
                if echo.path != path {
                    bail!("{path} was answered with {}", echo.path);
                }
                return Ok(true);
            }
            CallOutcome::NotRun(reason) => *report.refusals.entry(reason).or_default() += 1,
            CallOutcome::Unknown(reason) => report.unknown_calls.push(format!("{path}: {reason}")),
        }
        Ok(false)
    }

    /// Books a fitting, which must run once. After "not run" it is tried again with a new ticket.
    /// Returns whether the response is complete.
    async fn booking(&self, entry: &str, number: u64) -> Result<bool> {
        for _ in 0..MAX_BOOKING_ATTEMPTS {
            let tickets = self.caller.tickets(entry, SERVICE, 1).await?;
            let ticket = tickets.first().ok_or_else(|| eyre!("no ticket"))?;
            let request = CallerRequest::post("/bookings", ticket, format!("booking {number}"));
            let outcome = self.caller.call(entry, SERVICE, &request).await;
            match outcome {
                CallOutcome::Complete { status, body } => {
                    let echo = parse_echo(status, &body)?;
                    if echo.key.as_ref() != Some(ticket) {
                        bail!("ticket {ticket} was answered with {:?}", echo.key);
                    }
                    lock(&self.report).completed_tickets.push(ticket.clone());
                    return Ok(true);
                }
                CallOutcome::NotRun(_) => lock(&self.report).not_run_tickets.push(ticket.clone()),
                CallOutcome::Unknown(reason) => {
                    lock(&self.report)
                        .unknown_calls
                        .push(format!("{ticket}: {reason}"));
                    return Ok(false);
                }
            }
        }
        bail!("{MAX_BOOKING_ATTEMPTS} tries were not run")
    }
}

fn parse_echo(status: u16, body: &[u8]) -> Result<Echo> {
    if status != 200 {
        bail!("status {status}");
    }
    Ok(serde_json::from_slice(body)?)
}

/// Creates a histogram with a precision of three significant digits.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn lock(report: &Mutex<LoadReport>) -> MutexGuard<'_, LoadReport> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
