//! Checks and submits changes of the configuration that callers request.

use hyssop_conf::ApplyOutcome;
use hyssop_core::api::{ApiError, ErrorCode};
use hyssop_core::{ConfRecord, ConfView, Connectivity, Error, Millis, Offset, RecordId, Version};
use hyssop_log::APPEND_TIMEOUT;
use tokio::sync::oneshot;
use tokio::time::{interval, timeout};

use super::clocks::duration;
use super::confs::{ConfWrite, WriteOutcome};
use super::shared::Shared;

/// Time after which an uncommitted change is given up, once no first append of it is in flight. With
/// the append's timeout it is shorter than the clients' timeout.
const WRITE_TIMEOUT: Millis = Millis(5_000);
/// Longest wait for the driver's reply after [`WRITE_TIMEOUT`] and the append in flight.
const DRIVER_REPLY_MARGIN: Millis = Millis(500);

/// Longest wait for a confirmation of the configuration that is newer than the request.
const CONFIRMATION_TIMEOUT: Millis = Millis(3_000);
/// Interval at which that confirmation is checked for.
const CONFIRMATION_CHECK_INTERVAL: Millis = Millis(20);

/// Condition for accepting a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteRequirement {
    /// The configuration has been confirmed recently.
    Confirmation,
    /// As [`WriteRequirement::Confirmation`], and a majority of the entries is reachable. Any two majorities share an entry, which
    /// passes the change on to entries that cannot reach the log.
    Majority,
}

/// Checks that this entry may accept a change with this requirement.
///
/// # Errors
///
/// Returns an error with code `not-run` if it may not.
pub(crate) fn check_writable(
    shared: &Shared,
    requirement: WriteRequirement,
) -> Result<(), ApiError> {
    let refuse = |reason: &str| {
        let message = format!("not accepted: {reason}");
        Err(ApiError::new(ErrorCode::NotRun, message))
    };
    let now = shared.now();
    let fleet = shared.fleet();
    let state = fleet.connectivity_state(now);
    if shared.is_stopping() {
        return refuse("this entry is stopping");
    }
    // The first record of the stream cannot be a change, because version 0 stands for none.
    let has_records = fleet.conf.is_complete() && fleet.conf.next_offset() > Offset(0);
    if state.connectivity != Connectivity::Confirmed || !has_records {
        return refuse("the configuration is not confirmed; the log may be down");
    }
    if requirement == WriteRequirement::Majority && !state.has_majority {
        return refuse("a majority of the entries is not reachable");
    }
    Ok(())
}

/// Returns whether the state that a change would set is already in force, so that nothing has to be
/// written. The current view may lack a change that another entry has just accepted. If
/// `is_in_force` is true for it, this waits for a confirmation that is newer than the request and
/// checks again.
///
/// # Errors
///
/// Returns an error with code `not-run` if the configuration is not confirmed in time.
pub(crate) async fn is_already_in_force(
    shared: &Shared,
    is_in_force: impl Fn(&ConfView) -> bool,
) -> Result<bool, ApiError> {
    if !is_in_force(&shared.view()) {
        return Ok(false);
    }
    let requested_at = shared.now();
    let is_confirmed = || {
        let now = shared.now();
        let age = shared.fleet().conf.confirmation_age(now);
        age.is_some_and(|age| age < now.since(requested_at))
    };
    let confirmed = async {
        let mut tick = interval(duration(CONFIRMATION_CHECK_INTERVAL));
        while !is_confirmed() {
            tick.tick().await;
        }
    };
    if timeout(duration(CONFIRMATION_TIMEOUT), confirmed)
        .await
        .is_err()
    {
        let message = "not accepted: the configuration is not confirmed; the log may be down";
        return Err(ApiError::new(ErrorCode::NotRun, message));
    }
    Ok(is_in_force(&shared.view()))
}

/// Appends a change, waits until it is read back and applied, and returns the version that it set;
/// `None` if there was nothing to change.
///
/// # Errors
///
/// Returns an error with code `conflict` that names the entry whose change came first, `not-run` if
/// nothing was written, and `unknown` with the identifier of the record if it may have been.
pub(crate) async fn write(
    shared: &Shared,
    what: &str,
    change: ConfRecord,
    requirement: WriteRequirement,
) -> Result<Option<Version>, ApiError> {
    check_writable(shared, requirement)?;
    let id = RecordId(rand::random());
    let is_removal = matches!(change, ConfRecord::Remove { .. });
    match submit(shared, id, change).await {
        WriteOutcome::Decided(ApplyOutcome::Accepted { version }) => Ok(Some(version)),
        WriteOutcome::Decided(ApplyOutcome::Conflict { current, winner }) => {
            let by = match &winner {
                Some(winner) => format!(" through {winner}"),
                None => String::new(),
            };
            if shared.may_log(shared.now(), "conflict") {
                log::info!(what, record:% = id, version:% = current; "conflict: changed{by} first");
            }
            let message = format!("{what} was changed{by} first; version {current} is in force");
            Err(ApiError::conflict(message, winner, current))
        }
        WriteOutcome::Decided(ApplyOutcome::Ignored) if is_removal => Ok(None),
        WriteOutcome::Decided(ApplyOutcome::Duplicate) | WriteOutcome::Unknown => {
            let message = "the outcome is unknown; the change may be in force";
            Err(ApiError::new(ErrorCode::Unknown, message).with_record(id))
        }
        WriteOutcome::Decided(ApplyOutcome::Ignored) | WriteOutcome::Refused => {
            let message = "not accepted: the record could not be appended to the log";
            Err(ApiError::new(ErrorCode::NotRun, message))
        }
    }
}

async fn submit(shared: &Shared, id: RecordId, change: ConfRecord) -> WriteOutcome {
    let (reply, receiver) = oneshot::channel();
    let write = ConfWrite {
        id,
        change,
        deadline: shared.now() + WRITE_TIMEOUT,
        reply,
    };
    if shared.writes.try_send(write).is_err() {
        return WriteOutcome::Refused;
    }
    let limit = duration(WRITE_TIMEOUT + APPEND_TIMEOUT + DRIVER_REPLY_MARGIN);
    match timeout(limit, receiver).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
    }
}

/// Converts the error of a change that failed validation.
pub(crate) fn validation_error(error: hyssop_conf::Error) -> ApiError {
    match error {
        hyssop_conf::Error::Value(error) => error.into(),
        error @ hyssop_conf::Error::TeamMismatch { .. } => {
            ApiError::new(ErrorCode::Forbidden, error.to_string())
        }
        other => ApiError::new(ErrorCode::Invalid, other.to_string()),
    }
}

/// Converts an error in a document and prefixes its message with the line of the field.
pub(crate) fn with_line(error: Error, text: &str) -> ApiError {
    let line = match &error {
        Error::Field { field, .. } => line_of(text, field),
        Error::Name { field, .. } => line_of(text, field),
        _ => None,
    };
    let mut error = ApiError::from(error);
    if let Some(line) = line {
        error.message = format!("line {line}: {}", error.message);
    }
    error
}

/// Returns the number of the line that sets a field, or that of the header of its table.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let field = field.split('[').next().unwrap_or_default();
    let mut table = String::new();
    let mut header = None;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        let inner = line.strip_prefix('[').and_then(|rest| rest.split_once(']'));
        if let Some((name, _)) = inner {
            table = format!("{}.", name.trim());
            if name.trim() == field {
                header = Some(index + 1);
            }
            continue;
        }
        let Some((key, _)) = line.split_once('=') else {
            continue;
        };
        if format!("{table}{}", key.trim()) == field {
            return Some(index + 1);
        }
    }
    header
}
