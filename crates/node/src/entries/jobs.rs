//! Calls about jobs: to the cell's driver here, or to the entry that owns the cell.

use std::time::Duration;

use hyssop_core::{CellId, JobCall, JobId, JobReply, JobStatus, Refusal};
use tokio::sync::oneshot;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::cells::CellCall;
use super::shared::Shared;

/// Longest wait for the answer to a call. A settled answer needs an append and its read-back.
pub(crate) const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Returns the home cell of a job: by rendezvous hash over all cells of the settings, whatever is
/// in service, so that every entry finds it and a repeated submission reaches the same owner.
pub(crate) fn home<'a>(cells: &'a [CellId], job: &JobId) -> Option<&'a CellId> {
    cells
        .iter()
        .max_by_key(|cell| (xxh3_64(format!("{job}\n{cell}").as_bytes()), *cell))
}

fn not_owner(why: impl Into<String>) -> JobReply {
    JobReply::Refused(Refusal::NotOwner(why.into()))
}

/// Calls the owner of a cell, wherever it is.
pub(crate) async fn call(shared: &Shared, cell: &CellId, call: JobCall) -> JobReply {
    let now = shared.now();
    let (own, owner) = {
        let fleet = shared.fleet();
        (fleet.owns(cell), fleet.owner(now, cell))
    };
    if own {
        return call_local(shared, cell, call).await;
    }
    let Some(owner) = owner else {
        return not_owner(format!("no owner of cell {cell} is known"));
    };
    let Some(link) = shared.peers.get(&owner) else {
        return not_owner(format!("cell {cell} is owned by {owner}, which is no peer"));
    };
    match link.jobs(cell.clone(), call, CALL_LIMIT).await {
        Ok(reply) => reply,
        Err(e) if e.is_not_run() => not_owner(format!("{owner}: {e}")),
        Err(e) => {
            log::debug!(owner = owner.as_str(); "call about jobs not answered: {e}");
            JobReply::Unknown
        }
    }
}

/// Calls the core of a cell in this process.
pub(crate) async fn call_local(shared: &Shared, cell: &CellId, call: JobCall) -> JobReply {
    let Some(calls) = shared.calls.get(cell) else {
        return not_owner(format!("cell {cell} is not in the settings"));
    };
    let (reply, answer) = oneshot::channel();
    if calls.try_send(CellCall { call, reply }).is_err() {
        let limit = format!("calls that wait for cell {cell}");
        return JobReply::Refused(Refusal::Limit(limit));
    }
    match timeout(CALL_LIMIT, answer).await {
        Ok(Ok(JobReply::List(list))) => JobReply::List(without_history(list)),
        Ok(Ok(reply)) => reply,
        // The driver ended, or the log has not settled the call in time.
        Ok(Err(_)) | Err(_) => JobReply::Unknown,
    }
}

/// Leaves the explanations out of a list, which would not fit into a frame with them.
fn without_history(mut list: Vec<JobStatus>) -> Vec<JobStatus> {
    for status in &mut list {
        status.history = Vec::new();
    }
    list
}
