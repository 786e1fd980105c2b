//! Changes of the configuration that operators ask for.

use hyssop_conf::Applied;
use hyssop_core::api::{ApiError, ErrorCode};
use hyssop_core::{ConfRecord, ConfView, Connectivity, Error, Millis, Offset, RecordId, Version};
use tokio::sync::oneshot;
use tokio::time::{interval, timeout};

use super::clocks::duration;
use super::confs::{Write, Written};
use super::shared::Shared;

/// Time after which a change that has not settled is given up. It is below the time for which
/// clients wait.
const WRITE_LIMIT: Millis = Millis(5_000);
/// Longest wait for the driver beyond [`WRITE_LIMIT`].
const DRIVER_SLACK: Millis = Millis(500);

/// Longest wait for a proof that was asked for after a change came in.
const CONFIRM_LIMIT: Millis = Millis(3_000);
/// Interval at which that proof is looked for.
const CONFIRM_POLL: Millis = Millis(20);

/// What has to hold before a change is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// A fresh proof of the configuration.
    Proof,
    /// A fresh proof, and that a majority of the entries is heard. Any two majorities share an
    /// entry, which carries the change to those that the log does not reach.
    Majority,
}

/// Checks that this entry may accept changes.
///
/// # Errors
///
/// Returns an error of kind `not-run`.
pub(crate) fn check_able(shared: &Shared, need: Need) -> Result<(), ApiError> {
    let refuse = |why: &str| {
        let message = format!("not accepted: {why}");
        Err(ApiError::new(ErrorCode::NotRun, message))
    };
    let now = shared.now();
    let fleet = shared.fleet();
    let proven = fleet.proven(now);
    if shared.is_stopping() {
        return refuse("this entry is stopping");
    }
    // The first record of the stream cannot be a change, because version 0 stands for none.
    let begun = fleet.conf.is_whole() && fleet.conf.next() > Offset(0);
    if proven.standing != Connectivity::Confirmed || !begun {
        return refuse("the configuration is not proved fresh; the log may be down");
    }
    if need == Need::Majority && !proven.majority {
        return refuse("a majority of the entries is not heard");
    }
    Ok(())
}

/// Tells whether a change that this entry's view makes needless still is when everything that was
/// accepted before it came in has been read. The view alone may lack what another entry has just
/// accepted, and its operator would be told that the earlier state holds.
///
/// # Errors
///
/// Returns an error of kind `not-run` if the configuration cannot be proved in time.
pub(crate) async fn is_needless(
    shared: &Shared,
    holds: impl Fn(&ConfView) -> bool,
) -> Result<bool, ApiError> {
    if !holds(&shared.view()) {
        return Ok(false);
    }
    let asked = shared.now();
    let is_proved = || {
        let now = shared.now();
        let age = shared.fleet().conf.age(now);
        age.is_some_and(|age| age < now.since(asked))
    };
    let proved = async {
        let mut tick = interval(duration(CONFIRM_POLL));
        while !is_proved() {
            tick.tick().await;
        }
    };
    if timeout(duration(CONFIRM_LIMIT), proved).await.is_err() {
        let message = "not accepted: the configuration is not proved fresh; the log may be down";
        return Err(ApiError::new(ErrorCode::NotRun, message));
    }
    Ok(holds(&shared.view()))
}

/// Writes a change and returns what became of it once it was read back: the version that it set,
/// or `None` if there was nothing to change.
///
/// # Errors
///
/// Returns an error of kind `conflict` that names the winner, `not-run` if nothing was written,
/// and `unknown` with the identifier of the record if it may have been.
pub(crate) async fn write(
    shared: &Shared,
    what: &str,
    change: ConfRecord,
    need: Need,
) -> Result<Option<Version>, ApiError> {
    check_able(shared, need)?;
    let id = RecordId(rand::random());
    let removal = matches!(change, ConfRecord::Remove { .. });
    match submit(shared, id, change).await {
        Written::Decided(Applied::Accepted { version }) => Ok(Some(version)),
        Written::Decided(Applied::Conflict { current, winner }) => {
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
        Written::Decided(Applied::Ignored) if removal => Ok(None),
        Written::Decided(Applied::Duplicate) | Written::Unknown => {
            let message = "the outcome is unknown; the change may be in force";
            Err(ApiError::new(ErrorCode::Unknown, message).with_record(id))
        }
        Written::Decided(Applied::Ignored) | Written::Refused => {
            let message = "not accepted: the log takes no records";
            Err(ApiError::new(ErrorCode::NotRun, message))
        }
    }
}

async fn submit(shared: &Shared, id: RecordId, change: ConfRecord) -> Written {
    let (reply, answer) = oneshot::channel();
    let write = Write {
        id,
        change,
        until: shared.now() + WRITE_LIMIT,
        reply,
    };
    if shared.writes.try_send(write).is_err() {
        return Written::Refused;
    }
    let limit = duration(WRITE_LIMIT + DRIVER_SLACK);
    match timeout(limit, answer).await {
        Ok(Ok(written)) => written,
        Ok(Err(_)) | Err(_) => Written::Unknown,
    }
}

/// Converts a change that was refused before it was written.
pub(crate) fn refusal(error: hyssop_conf::Error) -> ApiError {
    match error {
        hyssop_conf::Error::Value(error) => error.into(),
        error @ hyssop_conf::Error::Team { .. } => {
            ApiError::new(ErrorCode::Forbidden, error.to_string())
        }
        other => ApiError::new(ErrorCode::Invalid, other.to_string()),
    }
}

/// Adds the line of the document in which the field of an error stands.
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

/// Returns the number of the line that sets a field, or else that of its table.
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
