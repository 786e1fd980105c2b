//! Batch load: submits jobs at a steady rate and fetches each result once.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr, bail};
use hyssop_core::api::{ApiError, ErrorCode, JobSubmit, ResultReply, ResultRequest};
use hyssop_core::{Class, JobId, JobPhase, JobStatus, Millis, Resources, ServiceName};
use reqwest::{Method, RequestBuilder};
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval};

use crate::callers::Caller;
use crate::waits::wait_until_every;

/// Service that the jobs belong to.
pub const SERVICE: &str = "route-plans";
/// Kind of the jobs, by which the metrics count their results.
pub const KIND: &str = "route-plan";

/// Interval at which jobs are submitted.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the status of a job is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of each step of a job: acceptance, completion and result.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Work of a short job, as run time without slowdown.
const SHORT_WORK: Millis = Millis(3_000);
/// Work of each job whose number is a multiple of [`LONG_JOB_INTERVAL`]. Some of these jobs are
/// still running when their failure domain is taken out of service, and have to move.
const LONG_WORK: Millis = Millis(12_000);
/// One in this many jobs is a long one.
const LONG_JOB_INTERVAL: usize = 6;
/// Resources that a job requests: two cores and 4 GiB.
const JOB_NEEDS: Resources = Resources::new(2_000, 4_096, 0);

/// Running submission of batch jobs.
pub struct Batch {
    stop: watch::Sender<bool>,
    submit_task: JoinHandle<Result<Vec<JobId>>>,
}

impl Batch {
    /// Starts to submit jobs, through each of the entries in turn.
    #[must_use]
    pub fn start(caller: Caller, entries: Vec<String>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let client = Client {
            caller,
            entries: entries.into(),
        };
        let submit_task = tokio::spawn(submit_all(client, stopped));
        Self { stop, submit_task }
    }

    /// Stops the submission, waits for the results of all jobs, and returns the ids of the jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if a job fails, is cancelled, or does not finish within the timeout.
    pub async fn stop(self) -> Result<Vec<JobId>> {
        self.stop.send_replace(true);
        self.submit_task.await?
    }
}

async fn submit_all(client: Client, mut stop: watch::Receiver<bool>) -> Result<Vec<JobId>> {
    let mut ticks = interval(SUBMIT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut jobs = JoinSet::new();
    for number in 0.. {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            _ = ticks.tick() => {}
        }
        let client = client.clone();
        jobs.spawn(async move { client.run_job(number).await });
    }
    let mut received = Vec::new();
    while let Some(job) = jobs.join_next().await {
        received.push(job??);
    }
    Ok(received)
}

#[derive(Clone)]
struct Client {
    caller: Caller,
    entries: Arc<[String]>,
}

impl Client {
    /// Submits one job, waits until it finishes, and fetches its result.
    async fn run_job(&self, number: usize) -> Result<JobId> {
        let result = self.try_job(number).await;
        result.wrap_err_with(|| format!("job {number}"))
    }

    async fn try_job(&self, number: usize) -> Result<JobId> {
        let submit = submission(number)?;
        let post = || self.request(Method::POST, number, "/v1/jobs").json(&submit);
        let job: JobStatus = retry_until_response("the job is accepted", post).await?;
        let path = format!("/v1/jobs/{}", job.id);
        let what = format!("job {} has finished", job.id);
        let finished = wait_until_every(POLL_INTERVAL, &what, STEP_TIMEOUT, || async {
            let request = self.request(Method::GET, number, &path);
            let job: JobStatus = request.send().await.ok()?.json().await.ok()?;
            match job.phase {
                JobPhase::Finished => Some(Ok(())),
                JobPhase::Failed | JobPhase::Cancelled => Some(Err(job)),
                _ => None,
            }
        });
        if let Err(job) = finished.await? {
            bail!("{} ended as {:?}: {:?}", job.id, job.phase, job.history);
        }
        self.fetch_result(number, &path).await?;
        Ok(job.id)
    }

    /// Fetches the result twice with the same receipt, as a caller does after a lost response, and
    /// checks that a request with another receipt is refused.
    async fn fetch_result(&self, number: usize, path: &str) -> Result<()> {
        let path = format!("{path}/result");
        let fetch = |entry, receipt: &str| {
            let receipt = receipt.to_owned();
            let request = self.request(Method::POST, entry, &path);
            request.json(&ResultRequest { receipt })
        };
        let first: ResultReply =
            retry_until_response("the result", || fetch(number, "planner")).await?;
        let again: ResultReply =
            retry_until_response("the result", || fetch(number + 1, "planner")).await?;
        if again != first {
            bail!("the result has changed from {first:?} to {again:?}");
        }
        let other = fetch(number, "stranger").send().await?;
        let status = other.status();
        let error = other.json::<ApiError>().await;
        match error {
            Ok(error) if error.code == ErrorCode::AlreadyFetched => Ok(()),
            other => bail!("a second receipt was answered with {status}: {other:?}"),
        }
    }

    fn request(&self, method: Method, number: usize, path: &str) -> RequestBuilder {
        let entry = &self.entries[number % self.entries.len()];
        self.caller.request(method, entry, path)
    }
}

fn submission(number: usize) -> Result<JobSubmit> {
    let is_long = number.is_multiple_of(LONG_JOB_INTERVAL);
    Ok(JobSubmit {
        key: format!("route-plan-{number}"),
        service: ServiceName::new(SERVICE)?,
        kind: ServiceName::new(KIND)?,
        class: Class::Batch,
        needs: JOB_NEEDS,
        work: if is_long { LONG_WORK } else { SHORT_WORK },
        domains: Default::default(),
        payload: format!("route {number}"),
    })
}

/// Repeats an idempotent request until it succeeds or fails for good. An entry responds with 503
/// while it cannot reach the owner of the job's cell, and with 504 when the outcome is unknown.
async fn retry_until_response<T: DeserializeOwned>(
    what: &str,
    request: impl Fn() -> RequestBuilder,
) -> Result<T> {
    let result = wait_until_every(POLL_INTERVAL, what, STEP_TIMEOUT, || async {
        let response = match request().send().await {
            Ok(response) => response,
            Err(error) => return Some(Err(error.into())),
        };
        match response.status().as_u16() {
            200..=299 => Some(response.json().await.map_err(eyre::Report::from)),
            503 | 504 => None,
            status => {
                let text = response.text().await.unwrap_or_default();
                Some(Err(eyre::eyre!("{what}: {status} {text}")))
            }
        }
    });
    result.await?
}
