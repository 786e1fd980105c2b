//! Routes job calls to the driver of a cell in this process, or to the entry that owns the cell.

use std::time::Duration;

use hyssop_core::{CellId, JobCall, JobId, JobReply, JobStatus, Refusal};
use tokio::sync::oneshot;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::cells::CellCall;
use super::shared::Shared;

/// Longest wait for the reply to a job call. A reply may need an append and its read-back.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the home cell of a job, by rendezvous hashing over all configured cells. It does not
/// depend on the domains in service, so that every entry finds the same cell and a repeated
/// submission reaches the same owner.
pub(crate) fn home_cell<'a>(cells: &'a [CellId], job: &JobId) -> Option<&'a CellId> {
    cells
        .iter()
        .max_by_key(|cell| (xxh3_64(format!("{job}\n{cell}").as_bytes()), *cell))
}

fn not_owner(reason: impl Into<String>) -> JobReply {
    JobReply::Refused(Refusal::NotOwner(reason.into()))
}

/// Sends a job call to the owner of a cell, in this process or another entry.
pub(crate) async fn call(shared: &Shared, cell: &CellId, call: JobCall) -> JobReply {
    let now = shared.now();
    let (is_own, owner) = {
        let fleet = shared.fleet();
        (fleet.owns(cell), fleet.owner(now, cell))
    };
    if is_own {
        return call_local(shared, cell, call).await;
    }
    let Some(owner) = owner else {
        return not_owner(format!("no owner of cell {cell} is known"));
    };
    let Some(link) = shared.peers.get(&owner) else {
        return not_owner(format!(
            "cell {cell} is owned by {owner}, which is not a configured peer"
        ));
    };
    match link.jobs(cell.clone(), call, CALL_TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) if e.is_not_run() => not_owner(format!("{owner}: {e}")),
        Err(e) => {
            log::debug!(owner = owner.as_str(); "job call failed: {e}");
            JobReply::Unknown
        }
    }
}

/// Sends a job call to the driver of a cell in this process.
pub(crate) async fn call_local(shared: &Shared, cell: &CellId, call: JobCall) -> JobReply {
    let Some(calls) = shared.calls.get(cell) else {
        return not_owner(format!("cell {cell} is not configured"));
    };
    let (reply, receiver) = oneshot::channel();
    if calls.try_send(CellCall { call, reply }).is_err() {
        let limit = format!("queued calls of cell {cell}");
        return JobReply::Refused(Refusal::Limit(limit));
    }
    match timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(JobReply::List(list))) => JobReply::List(without_history(list)),
        Ok(Ok(reply)) => reply,
        // The driver has ended, or the records of the call were not committed in time.
        Ok(Err(_)) | Err(_) => JobReply::Unknown,
    }
}

/// Drops the histories from a list of jobs, which would exceed the RPC frame limit with them.
fn without_history(mut list: Vec<JobStatus>) -> Vec<JobStatus> {
    for status in &mut list {
        status.history = Vec::new();
    }
    list
}
