//! Handlers of jobs and their results.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use futures::future::join_all;
use hyssop_core::api::{ApiError, ErrorCode, JobList, JobSubmit, ResultReply, ResultRequest};
use hyssop_core::{
    Attempt, CellId, JobCall, JobId, JobPhase, JobReply, JobSpec, JobStatus, Refusal,
};
use salvo::{Request, Response, handler};

use super::calls::refuse_stopping;
use super::replies::{path_param, read_json, respond};
use crate::entries::access::Caller;
use crate::entries::jobs::{call, home_cell};
use crate::entries::shared::Shared;

/// Most redirects that are followed to find a moved job.
const MAX_REDIRECTS: usize = 8;
/// Largest input of a job. It is stored in the log and in snapshots.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// Longest submission key.
const MAX_KEY_BYTES: usize = 256;

/// Converts a reply that is not the expected one into an error.
pub(crate) fn reply_error(reply: JobReply) -> ApiError {
    match reply {
        JobReply::Refused(refusal) => refusal.into(),
        JobReply::Unknown => ApiError::new(
            ErrorCode::Unknown,
            "the outcome is unknown; the same call may be made again",
        ),
        other => {
            log::error!("unexpected kind of reply to a job call");
            let message = format!("unexpected reply: {}", kind(&other));
            ApiError::new(ErrorCode::Unknown, message)
        }
    }
}

const fn kind(reply: &JobReply) -> &'static str {
    match reply {
        JobReply::Status(_) => "status",
        JobReply::List(_) => "list",
        JobReply::Result { .. } => "result",
        JobReply::Explained(_) => "explanations",
        JobReply::Redirect(_) => "another cell",
        JobReply::Refused(_) => "refusal",
        JobReply::Unknown => "unknown",
    }
}

/// Returns the error for a job that is moving between two cells.
fn job_moving(job: &JobId) -> ApiError {
    let message = format!("job {job} is moving to another cell; repeat the call");
    ApiError::new(ErrorCode::NotRun, message)
}

/// Finds the cell and the status of a job, starting at its home cell, and checks that the caller may
/// access it.
pub(crate) async fn find(
    shared: &Shared,
    caller: &Caller,
    job: &JobId,
) -> Result<(CellId, JobStatus), ApiError> {
    let start = home_cell(&shared.cells, job);
    let start = start.ok_or_else(|| Refusal::NotFound(job.clone()))?;
    let (cell, status) = follow(shared, start.clone(), job, false).await?;
    caller.check_access(&status.team)?;
    Ok((cell, status))
}

/// Follows a job from cell to cell. With `has_moved` the job is known to have left its home cell, so
/// that a cell without it means that the move is in progress.
async fn follow(
    shared: &Shared,
    mut cell: CellId,
    job: &JobId,
    mut has_moved: bool,
) -> Result<(CellId, JobStatus), ApiError> {
    for _ in 0..MAX_REDIRECTS {
        match call(shared, &cell, JobCall::Show(job.clone())).await {
            JobReply::Status(status) => return Ok((cell, status)),
            JobReply::Redirect(to) => {
                cell = to;
                has_moved = true;
            }
            JobReply::Refused(Refusal::NotFound(_)) if has_moved => break,
            other => return Err(reply_error(other)),
        }
    }
    Err(job_moving(job))
}

fn check_size(field: &str, size: usize, allowed: RangeInclusive<usize>) -> Result<(), ApiError> {
    if allowed.contains(&size) {
        return Ok(());
    }
    let error = ApiError::new(ErrorCode::Invalid, format!("{field} has {size} bytes"));
    let (min, max) = allowed.into_inner();
    Err(error.with_field(field, format!("{min} to {max} bytes")))
}

/// Handles `POST /v1/jobs`.
pub(crate) struct Submit(pub(crate) Arc<Shared>);

#[handler]
impl Submit {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return refuse_stopping(res);
        };
        respond(res, self.submit(req).await);
    }
}

impl Submit {
    async fn submit(&self, req: &mut Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let team = caller.require_team()?.clone();
        let body: JobSubmit = read_json(req).await?;
        check_size("key", body.key.len(), 1..=MAX_KEY_BYTES)?;
        check_size("payload", body.payload.len(), 0..=MAX_PAYLOAD_BYTES)?;
        self.check_domains(&body)?;
        let spec = body.into_spec(team);
        let cell = home_cell(&self.0.cells, &spec.id);
        let cell = cell.ok_or_else(|| ApiError::new(ErrorCode::NotRun, "there are no cells"))?;
        match call(&self.0, cell, JobCall::Submit(spec.clone())).await {
            JobReply::Status(status) => Ok(status),
            // The job was accepted before and has moved. The submission is not repeated to the other
            // cell, which would accept it a second time if it has not received the job yet.
            JobReply::Redirect(to) => Ok(self.moved_status(to, &spec).await),
            other => Err(reply_error(other)),
        }
    }

    fn check_domains(&self, body: &JobSubmit) -> Result<(), ApiError> {
        let unknown = body.domains.iter().find(|d| !self.0.domains.contains(*d));
        let Some(unknown) = unknown else {
            return Ok(());
        };
        let allowed: Vec<&str> = self
            .0
            .domains
            .iter()
            .map(hyssop_core::DomainName::as_str)
            .collect();
        let error = ApiError::new(ErrorCode::Invalid, format!("domains has {unknown}"));
        Err(error.with_field("domains", allowed.join(", ")))
    }

    async fn moved_status(&self, to: CellId, spec: &JobSpec) -> JobStatus {
        match follow(&self.0, to, &spec.id, true).await {
            Ok((_, status)) => status,
            Err(_) => JobStatus {
                id: spec.id.clone(),
                team: spec.team.clone(),
                service: spec.service.clone(),
                kind: spec.kind.clone(),
                class: spec.class,
                phase: JobPhase::Moved,
                attempt: Attempt(0),
                worker: None,
                evictions: 0,
                history: Vec::new(),
            },
        }
    }
}

/// Handles `GET /v1/jobs`.
pub(crate) struct List(pub(crate) Arc<Shared>);

#[handler]
impl List {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.list(req).await);
    }
}

impl List {
    async fn list(&self, req: &Request) -> Result<JobList, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let team = caller.require_team()?;
        let calls = self.0.cells.iter();
        let calls = calls.map(|cell| call(&self.0, cell, JobCall::List(team.clone())));
        let mut jobs: BTreeMap<JobId, JobStatus> = BTreeMap::new();
        for reply in join_all(calls).await {
            let JobReply::List(list) = reply else {
                return Err(reply_error(reply));
            };
            for status in list {
                // The cell that a job has moved to has its current status.
                let known = jobs.get(&status.id);
                if status.phase != JobPhase::Moved || known.is_none() {
                    jobs.insert(status.id.clone(), status);
                }
            }
        }
        Ok(JobList {
            jobs: jobs.into_values().collect(),
        })
    }
}

/// Handles `GET /v1/jobs/{id}`.
pub(crate) struct Show(pub(crate) Arc<Shared>);

#[handler]
impl Show {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        respond(res, self.show(req).await);
    }
}

impl Show {
    async fn show(&self, req: &Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let job = path_param(req, "id")?;
        Ok(find(&self.0, &caller, &job).await?.1)
    }
}

/// Handles `DELETE /v1/jobs/{id}`.
pub(crate) struct Cancel(pub(crate) Arc<Shared>);

#[handler]
impl Cancel {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return refuse_stopping(res);
        };
        respond(res, self.cancel(req).await);
    }
}

impl Cancel {
    async fn cancel(&self, req: &Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let job: JobId = path_param(req, "id")?;
        let (cell, _) = find(&self.0, &caller, &job).await?;
        match call(&self.0, &cell, JobCall::Cancel(job.clone())).await {
            JobReply::Status(status) => Ok(status),
            JobReply::Redirect(_) => Err(job_moving(&job)),
            other => Err(reply_error(other)),
        }
    }
}

/// Handles `POST /v1/jobs/{id}/result`.
pub(crate) struct Fetch(pub(crate) Arc<Shared>);

#[handler]
impl Fetch {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return refuse_stopping(res);
        };
        respond(res, self.fetch(req).await);
    }
}

impl Fetch {
    async fn fetch(&self, req: &mut Request) -> Result<ResultReply, ApiError> {
        let caller = Caller::from_request(&self.0, req)?;
        let job: JobId = path_param(req, "id")?;
        let ResultRequest { receipt } = read_json(req).await?;
        let (cell, _) = find(&self.0, &caller, &job).await?;
        let fetch = JobCall::Fetch {
            job: job.clone(),
            receipt,
        };
        match call(&self.0, &cell, fetch).await {
            JobReply::Result {
                job,
                attempt,
                result,
            } => Ok(ResultReply {
                job,
                attempt,
                result,
            }),
            JobReply::Redirect(_) => Err(job_moving(&job)),
            other => Err(reply_error(other)),
        }
    }
}
