//! Errors of the commands, with their exit codes and suggested next steps.

use std::fmt;

use hyssop_core::api::{ApiError, ErrorCode, Shortfall};
use hyssop_core::{DomainName, Version};
use serde_json::{Value, json};

use crate::exits::Exit;

/// Result of a command or of a part of one.
pub(crate) type Result<T, E = CtlError> = std::result::Result<T, E>;

/// An attempt at one entry that gave no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    /// Address of the entry, `http://ip:port`.
    pub(crate) entry: String,
    /// Transport error, or the message with which the entry declined the call.
    pub(crate) cause: String,
}

/// Reason for which a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The command line or an environment variable is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{path}: {cause}")]
    File {
        /// Path as given.
        path: String,
        /// Message of the I/O error.
        cause: String,
    },
    /// A document is invalid and was not sent.
    #[error("{path}: {cause}")]
    Document {
        /// Path as given.
        path: String,
        /// First invalid part of the document.
        cause: hyssop_core::Error,
    },
    /// An entry refused the call.
    #[error("{}", api_message(error, *has_unknown_attempt))]
    Api {
        /// Error body of the entry's response.
        error: Box<ApiError>,
        /// Whether an earlier attempt of the same call may have taken effect.
        has_unknown_attempt: bool,
        /// Command that shows what is in force.
        status_command: String,
    },
    /// No entry answered, and the call had no effect.
    #[error("no entry answered: {}", FailedAttempts(.0))]
    Unreachable(Vec<FailedAttempt>),
    /// A change was sent, and no entry confirmed or refused it.
    #[error("the outcome is unknown: {}", FailedAttempts(failed_attempts))]
    Unknown {
        /// The attempts in order, one per entry.
        failed_attempts: Vec<FailedAttempt>,
        /// Command that shows what is in force.
        status_command: String,
        /// Whether the call takes effect at most once even if it is repeated.
        is_idempotent: bool,
    },
    /// Another change replaced the version of the domain during the wait.
    #[error(
        "version {current} of failure domain {domain} has replaced version {expected} of this command"
    )]
    Replaced {
        /// Domain whose phase was awaited.
        domain: DomainName,
        /// Version of the change that was awaited.
        expected: Version,
        /// Version in force, which is later.
        current: Version,
    },
    /// A wait exceeded its limit. The change itself is in force.
    #[error(
        "the change is in force, but the domain has not reached the target phase after {seconds} s: {state}"
    )]
    WaitLimit {
        /// Limit of the wait.
        seconds: u64,
        /// Last observed state of the domain, as progress text.
        state: String,
    },
    /// The result cannot be serialized or written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
}

struct FailedAttempts<'a>(&'a [FailedAttempt]);

impl fmt::Display for FailedAttempts<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, attempt) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{}: {}", attempt.entry, attempt.cause)?;
        }
        Ok(())
    }
}

fn api_message(error: &ApiError, has_unknown_attempt: bool) -> String {
    let mut text = error.to_string();
    if let Some(winner) = &error.winner {
        text.push_str(&format!("; the change through entry {winner} came first"));
    }
    if let Some(version) = error.version {
        let what = match error.code {
            ErrorCode::NotFound => format!("version {version} removed it"),
            _ => format!("version {version} is in force"),
        };
        text.push_str("; ");
        text.push_str(&what);
    }
    if has_unknown_attempt {
        text.push_str("; the outcome of an earlier attempt of this call is unknown");
    }
    text
}

impl CtlError {
    /// Creates the error of a call that changed nothing.
    pub(crate) fn refused(error: ApiError) -> Self {
        Self::Api {
            error: Box::new(error),
            has_unknown_attempt: false,
            status_command: "hyssopctl status".to_owned(),
        }
    }

    /// Returns the exit code that the program ends with.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::File { .. } => Exit::Usage,
            Self::Api {
                error,
                has_unknown_attempt,
                ..
            } => match error.code {
                ErrorCode::Conflict | ErrorCode::AlreadyFetched => Exit::Conflict,
                ErrorCode::NotFound => Exit::Refused,
                _ if *has_unknown_attempt => Exit::Unknown,
                _ => Exit::Refused,
            },
            Self::Document { .. } | Self::WaitLimit { .. } | Self::Output(_) => Exit::Refused,
            Self::Replaced { .. } => Exit::Conflict,
            Self::Unreachable(_) => Exit::NotReachable,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }

    /// Returns the next step that is suggested to the operator.
    pub(crate) fn next_step(&self) -> String {
        match self {
            Self::Usage(_) => "see `hyssopctl --help`, or `hyssopctl <command> --help`".to_owned(),
            Self::File { .. } => "check the path, or give - to read standard input".to_owned(),
            Self::Document { .. } => {
                "correct the document; schema/service-document.json lists every field".to_owned()
            }
            Self::Api {
                error,
                status_command,
                ..
            } => next_step_for(error.code, status_command),
            Self::Unreachable(_) => {
                "check --entry and the network; list further entries with --entry a,b".to_owned()
            }
            Self::Unknown {
                status_command,
                is_idempotent: true,
                ..
            } => {
                format!(
                    "see `{status_command}`, or repeat the same command: it cannot take effect twice"
                )
            }
            Self::Unknown { .. } => {
                "repeat the command; tickets that the first attempt may have issued expire unused"
                    .to_owned()
            }
            Self::Replaced { .. } => "see `hyssopctl domain list` for what is in force".to_owned(),
            Self::WaitLimit { .. } => "follow the progress with `hyssopctl domain list`".to_owned(),
            Self::Output(_) => {
                "the command was executed; check the destination of its output".to_owned()
            }
        }
    }

    /// Returns the JSON form of the error, as written with `--json`.
    pub(crate) fn to_json(&self) -> Value {
        let mut value = json!({
            "exit": self.exit().code(),
            "message": self.to_string(),
            "next": self.next_step(),
        });
        if let Self::Api { error, .. } = self {
            value["error"] = json!(error);
        }
        value
    }

    /// Returns whether an entry refused the call with the given code.
    pub(crate) fn has_code(&self, code: ErrorCode) -> bool {
        matches!(self, Self::Api { error, .. } if error.code == code)
    }

    /// Returns the missing capacity if that is the reason of the refusal.
    pub(crate) fn shortfall(&self) -> Option<&[Shortfall]> {
        match self {
            Self::Api { error, .. } if !error.shortfall.is_empty() => Some(&error.shortfall),
            _ => None,
        }
    }

    /// Returns whether the refusal may be due to the effect of an earlier attempt of the same call.
    pub(crate) fn may_be_own_change(&self) -> bool {
        matches!(self, Self::Api { has_unknown_attempt: true, error, .. }
            if matches!(error.code, ErrorCode::Conflict | ErrorCode::NotFound))
    }
}

fn next_step_for(code: ErrorCode, status_command: &str) -> String {
    let text = match code {
        ErrorCode::Malformed => {
            "check the arguments, and that the versions of this program and the entry match"
        }
        ErrorCode::Unauthenticated => "set HYSSOP_TOKEN, or give --token",
        ErrorCode::Forbidden => "use a token of the team that owns it, or ask that team",
        ErrorCode::NotFound => {
            "check the name with `hyssopctl list`, `hyssopctl jobs` or `hyssopctl domain list`"
        }
        ErrorCode::Conflict => {
            return format!(
                "see `{status_command}` for what is in force, then repeat the command on it"
            );
        }
        ErrorCode::NoCapacity => {
            "bring another domain back first, or repeat with --force to accept the shortfall"
        }
        ErrorCode::NotFinished => {
            return format!("repeat once `{status_command}` shows the job as finished");
        }
        ErrorCode::AlreadyFetched => "only the receipt that came first can fetch the result again",
        ErrorCode::TooLarge => "make the document or payload smaller",
        ErrorCode::Invalid => "correct the field and repeat",
        ErrorCode::NeverRuns => "correct the needs or the domains, or raise the team's quota",
        ErrorCode::KeyReused => "choose another --key, or submit the same contents as before",
        ErrorCode::Limit => "repeat later, or ask for a higher limit or quota",
        _ => "nothing was changed; repeat in a few seconds, see `hyssopctl status`",
    };
    text.to_owned()
}
