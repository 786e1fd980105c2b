//! Log lines for the decisions of a cell that matter to operators.
//!
//! The lines are derived from the records that the core appends, so that no decision is missed. The
//! rate of each kind is limited, since a fault can make hundreds of jobs fail at once; suppressed
//! lines are counted.

use hyssop_core::{CellId, CellRecord, Crash, Envelope, Millis};
use log::{info, warn};

use crate::entries::shared::Shared;

/// Logs the decision in a record, if operators need to see it.
pub(crate) fn log_record(
    shared: &Shared,
    now: Millis,
    cell: &CellId,
    record: &Envelope<CellRecord>,
) {
    let Some(event) = event(&record.body) else {
        return;
    };
    if !shared.may_log(now, event) {
        return;
    }
    let term = record.term;
    match &record.body {
        CellRecord::Claim { prior, .. } => {
            let prior = prior.map_or_else(|| "none".to_owned(), |prior| prior.to_string());
            info!(cell:%, prior = prior.as_str(); "{event}");
        }
        CellRecord::Released {
            job,
            attempt,
            cause,
            ..
        } => {
            info!(cell:%, term:%, job:%, attempt:%, cause:%; "{event}");
        }
        CellRecord::Failed {
            job,
            attempt,
            cause,
        } => {
            let cause = cause.as_str();
            warn!(cell:%, term:%, job:%, attempt:%, cause; "{event}");
        }
        CellRecord::Lost {
            job,
            attempt,
            crash: Some(crash),
            ..
        } => {
            warn!(cell:%, term:%, job:%, attempt:%, crash:%; "{event}");
        }
        CellRecord::Lost { job, attempt, .. } => {
            warn!(cell:%, term:%, job:%, attempt:%; "{event}");
        }
        CellRecord::Abandoned { job, cause } => {
            let cause = cause.as_str();
            warn!(cell:%, term:%, job:%, cause; "{event}");
        }
        CellRecord::Moved { job, to } => info!(cell:%, term:%, job:%, to:%; "{event}"),
        CellRecord::Cancelled { job } => info!(cell:%, term:%, job:%; "{event}"),
        _ => info!(cell:%, term:%; "{event}"),
    }
}

/// Returns the text of the log line; `None` for records that belong to the normal course of a job.
const fn event(record: &CellRecord) -> Option<&'static str> {
    Some(match record {
        CellRecord::Claim { .. } => "claims the cell",
        CellRecord::Resigned => "resigns the cell",
        CellRecord::Released { .. } => "attempt evicted",
        CellRecord::Failed { .. } => "attempt failed",
        CellRecord::Lost {
            crash: Some(Crash::Shared | Crash::Apart),
            ..
        } => "worker crashed under an attempt",
        CellRecord::Lost { .. } => "attempt lost with its worker",
        CellRecord::Abandoned { .. } => "job abandoned",
        CellRecord::Cancelled { .. } => "job cancelled",
        CellRecord::Moved { .. } => "job moved to another cell",
        _ => return None,
    })
}
