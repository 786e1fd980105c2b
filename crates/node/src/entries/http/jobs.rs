//! Jobs and their results.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use futures::future::join_all;
use hyssop_core::api::{ApiError, ErrorCode, JobList, JobSubmit, ResultReply, ResultRequest};
use hyssop_core::{
    Attempt, CellId, JobCall, JobId, JobPhase, JobReply, JobSpec, JobStatus, Refusal,
};
use salvo::{Request, Response, handler};

use super::calls::stopping;
use super::replies::{answer, param, read_json};
use crate::entries::access::Caller;
use crate::entries::jobs::{call, home};
use crate::entries::shared::Shared;

/// Cells that a moved job is followed through.
const MAX_HOPS: usize = 8;
/// Largest input of a job, in bytes. It stands in the log and in snapshots.
const MAX_PAYLOAD: usize = 64 * 1024;
/// Longest submission key, in bytes.
const MAX_KEY: usize = 256;

/// Converts an answer that is none.
pub(crate) fn failure(reply: JobReply) -> ApiError {
    match reply {
        JobReply::Refused(refusal) => refusal.into(),
        JobReply::Unknown => ApiError::new(
            ErrorCode::Unknown,
            "the outcome is unknown; the same call may be made again",
        ),
        other => {
            log::error!("a call about jobs was answered with another kind of reply");
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

/// A job that is on its way between two cells.
fn in_transit(job: &JobId) -> ApiError {
    let message = format!("job {job} is being handed to another cell; ask again");
    ApiError::new(ErrorCode::NotRun, message)
}

/// Finds the cell of a job and its state, from its home cell on, and checks that it is the
/// caller's.
pub(crate) async fn find(
    shared: &Shared,
    caller: &Caller,
    job: &JobId,
) -> Result<(CellId, JobStatus), ApiError> {
    let start = home(&shared.cells, job);
    let start = start.ok_or_else(|| Refusal::NotFound(job.clone()))?;
    let (cell, status) = follow(shared, start.clone(), job, false).await?;
    caller.may_touch(&status.team)?;
    Ok((cell, status))
}

/// Follows a job from cell to cell. `moved` tells that it is known to have left its home cell.
async fn follow(
    shared: &Shared,
    mut cell: CellId,
    job: &JobId,
    mut moved: bool,
) -> Result<(CellId, JobStatus), ApiError> {
    for _ in 0..MAX_HOPS {
        match call(shared, &cell, JobCall::Show(job.clone())).await {
            JobReply::Status(status) => return Ok((cell, status)),
            JobReply::Redirect(to) => {
                cell = to;
                moved = true;
            }
            JobReply::Refused(Refusal::NotFound(_)) if moved => break,
            other => return Err(failure(other)),
        }
    }
    Err(in_transit(job))
}

fn check_size(field: &str, size: usize, allowed: RangeInclusive<usize>) -> Result<(), ApiError> {
    if allowed.contains(&size) {
        return Ok(());
    }
    let error = ApiError::new(ErrorCode::Invalid, format!("{field} has {size} bytes"));
    let (least, most) = allowed.into_inner();
    Err(error.with_field(field, format!("{least} to {most} bytes")))
}

/// Handles `POST /v1/jobs`.
pub(crate) struct Submit(pub(crate) Arc<Shared>);

#[handler]
impl Submit {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return stopping(res);
        };
        answer(res, self.submit(req).await);
    }
}

impl Submit {
    async fn submit(&self, req: &mut Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let team = caller.need_team()?.clone();
        let body: JobSubmit = read_json(req).await?;
        check_size("key", body.key.len(), 1..=MAX_KEY)?;
        check_size("payload", body.payload.len(), 0..=MAX_PAYLOAD)?;
        self.check_domains(&body)?;
        let spec = body.into_spec(team);
        let cell = home(&self.0.cells, &spec.id);
        let cell = cell.ok_or_else(|| ApiError::new(ErrorCode::NotRun, "there are no cells"))?;
        match call(&self.0, cell, JobCall::Submit(spec.clone())).await {
            JobReply::Status(status) => Ok(status),
            // Accepted before and handed on. The submission itself is not repeated there: a cell
            // that has not taken the job over yet would accept it a second time.
            JobReply::Redirect(to) => Ok(self.moved(to, &spec).await),
            other => Err(failure(other)),
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

    async fn moved(&self, to: CellId, spec: &JobSpec) -> JobStatus {
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
        answer(res, self.list(req).await);
    }
}

impl List {
    async fn list(&self, req: &Request) -> Result<JobList, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let team = caller.need_team()?;
        let calls = self.0.cells.iter();
        let calls = calls.map(|cell| call(&self.0, cell, JobCall::List(team.clone())));
        let mut jobs: BTreeMap<JobId, JobStatus> = BTreeMap::new();
        for reply in join_all(calls).await {
            let JobReply::List(list) = reply else {
                return Err(failure(reply));
            };
            for status in list {
                // Of a job that was handed on, the cell that has it now knows more.
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
        answer(res, self.show(req).await);
    }
}

impl Show {
    async fn show(&self, req: &Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let job = param(req, "id")?;
        Ok(find(&self.0, &caller, &job).await?.1)
    }
}

/// Handles `DELETE /v1/jobs/{id}`.
pub(crate) struct Cancel(pub(crate) Arc<Shared>);

#[handler]
impl Cancel {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return stopping(res);
        };
        answer(res, self.cancel(req).await);
    }
}

impl Cancel {
    async fn cancel(&self, req: &Request) -> Result<JobStatus, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let job: JobId = param(req, "id")?;
        let (cell, _) = find(&self.0, &caller, &job).await?;
        match call(&self.0, &cell, JobCall::Cancel(job.clone())).await {
            JobReply::Status(status) => Ok(status),
            JobReply::Redirect(_) => Err(in_transit(&job)),
            other => Err(failure(other)),
        }
    }
}

/// Handles `POST /v1/jobs/{id}/result`.
pub(crate) struct Fetch(pub(crate) Arc<Shared>);

#[handler]
impl Fetch {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(_inflight) = self.0.admit() else {
            return stopping(res);
        };
        answer(res, self.fetch(req).await);
    }
}

impl Fetch {
    async fn fetch(&self, req: &mut Request) -> Result<ResultReply, ApiError> {
        let caller = Caller::of(&self.0, req)?;
        let job: JobId = param(req, "id")?;
        let ResultRequest { receipt } = read_json(req).await?;
        let (cell, _) = find(&self.0, &caller, &job).await?;
        let asked = JobCall::Fetch {
            job: job.clone(),
            receipt,
        };
        match call(&self.0, &cell, asked).await {
            JobReply::Result {
                job,
                attempt,
                result,
            } => Ok(ResultReply {
                job,
                attempt,
                result,
            }),
            JobReply::Redirect(_) => Err(in_transit(&job)),
            other => Err(failure(other)),
        }
    }
}
