//! Batch jobs: submitted at a steady rate, and each result fetched once.

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

/// Service of the jobs.
pub const SERVICE: &str = "route-plans";
/// Kind under which the results are counted.
pub const KIND: &str = "route-plan";

/// Interval at which jobs are submitted.
const SUBMIT: Duration = Duration::from_millis(250);
/// Interval at which a job is looked at.
const LOOK: Duration = Duration::from_millis(250);
/// Longest time from the submission of a job to its result.
const LIMIT: Duration = Duration::from_secs(60);
/// Work of a job on an unhindered worker.
const WORK: Millis = Millis(3_000);
/// Work of each job whose number is a multiple of [`LONG_EVERY`]; some of these still run when
/// their failure domain leaves, and have to move.
const LONG_WORK: Millis = Millis(12_000);
const LONG_EVERY: usize = 6;
/// Needs of a job: two cores and 4 GiB.
const NEEDS: Resources = Resources::new(2_000, 4_096, 0);

/// Running batch work.
pub struct Batch {
    stop: watch::Sender<bool>,
    task: JoinHandle<Result<Vec<JobId>>>,
}

impl Batch {
    /// Starts to submit jobs through the entries in turn.
    #[must_use]
    pub fn start(caller: Caller, entries: Vec<String>) -> Self {
        let (stop, stopped) = watch::channel(false);
        let client = Client {
            caller,
            entries: entries.into(),
        };
        let task = tokio::spawn(submit_all(client, stopped));
        Self { stop, task }
    }

    /// Stops submitting, waits for the results of all jobs, and returns the jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if a job does not end as expected.
    pub async fn stop(self) -> Result<Vec<JobId>> {
        self.stop.send_replace(true);
        self.task.await?
    }
}

async fn submit_all(client: Client, mut stop: watch::Receiver<bool>) -> Result<Vec<JobId>> {
    let mut ticks = interval(SUBMIT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut jobs = JoinSet::new();
    for number in 0.. {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            _ = ticks.tick() => {}
        }
        let client = client.clone();
        jobs.spawn(async move { client.job(number).await });
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
    /// Brings one job from its submission to the receipt of its result.
    async fn job(&self, number: usize) -> Result<JobId> {
        let done = self.try_job(number).await;
        done.wrap_err_with(|| format!("job {number}"))
    }

    async fn try_job(&self, number: usize) -> Result<JobId> {
        let submit = submission(number)?;
        let post = || self.request(Method::POST, number, "/v1/jobs").json(&submit);
        let job: JobStatus = answered("the job is accepted", post).await?;
        let path = format!("/v1/jobs/{}", job.id);
        let what = format!("job {} has finished", job.id);
        let finished = wait_until_every(LOOK, &what, LIMIT, || async {
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
        self.fetch(number, &path).await?;
        Ok(job.id)
    }

    /// Fetches the result twice with one receipt, as a caller does that lost the first answer, and
    /// checks that another receipt gets nothing.
    async fn fetch(&self, number: usize, path: &str) -> Result<()> {
        let path = format!("{path}/result");
        let fetch = |entry, receipt: &str| {
            let receipt = receipt.to_owned();
            let request = self.request(Method::POST, entry, &path);
            request.json(&ResultRequest { receipt })
        };
        let first: ResultReply = answered("the result", || fetch(number, "planner")).await?;
        let again: ResultReply = answered("the result", || fetch(number + 1, "planner")).await?;
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
    let is_long = number.is_multiple_of(LONG_EVERY);
    Ok(JobSubmit {
        key: format!("route-plan-{number}"),
        service: ServiceName::new(SERVICE)?,
        kind: ServiceName::new(KIND)?,
        class: Class::Batch,
        needs: NEEDS,
        work: if is_long { LONG_WORK } else { WORK },
        domains: Default::default(),
        payload: format!("route {number}"),
    })
}

/// Repeats a request that is safe to repeat until it is answered: an entry that cannot reach the
/// owner of the job's cell yet answers 503, one without a clear answer 504.
async fn answered<T: DeserializeOwned>(
    what: &str,
    request: impl Fn() -> RequestBuilder,
) -> Result<T> {
    let answer = wait_until_every(LOOK, what, LIMIT, || async {
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
    answer.await?
}
