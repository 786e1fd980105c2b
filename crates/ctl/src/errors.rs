//! Errors of the command line, their exit codes and what to do next.

use std::fmt;

use hyssop_core::api::{ApiError, ErrorCode, Shortfall};
use hyssop_core::{DomainName, Version};
use serde_json::{Value, json};

use crate::exits::Exit;

/// Result of commands.
pub(crate) type Result<T, E = CtlError> = std::result::Result<T, E>;

/// An entry that gave no answer, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FailedAttempt {
    /// Address.
    pub(crate) entry: String,
    /// What went wrong.
    pub(crate) cause: String,
}

/// Why a command did not succeed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CtlError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file cannot be read.
    #[error("{path}: {cause}")]
    File {
        /// Path as given.
        path: String,
        /// What went wrong.
        cause: String,
    },
    /// A document is refused before it is sent.
    #[error("{path}: {cause}")]
    Document {
        /// Path as given.
        path: String,
        /// What is wrong with it.
        cause: hyssop_core::Error,
    },
    /// An entry refused the call.
    #[error("{}", api_message(error, *has_unknown_attempt))]
    Api {
        /// The entry's error.
        error: Box<ApiError>,
        /// Whether an earlier try of the same call may have taken effect.
        has_unknown_attempt: bool,
        /// Command that shows what is in force.
        status_command: String,
    },
    /// No entry answered.
    #[error("no entry answered: {}", FailedAttempts(.0))]
    Unreachable(Vec<FailedAttempt>),
    /// A change was sent and no entry gave a clear answer.
    #[error("the outcome is not known: {}", FailedAttempts(failed_attempts))]
    Unknown {
        /// What went wrong at each entry.
        failed_attempts: Vec<FailedAttempt>,
        /// Command that shows what is in force.
        status_command: String,
        /// Whether a repeat takes effect at most once.
        is_idempotent: bool,
    },
    /// Another operator changed the domain during the wait.
    #[error(
        "version {current} of failure domain {domain} has replaced version {expected} of this command"
    )]
    Replaced {
        /// Domain.
        domain: DomainName,
        /// Version that was waited for.
        expected: Version,
        /// Version in force.
        current: Version,
    },
    /// A wait ran out. The change itself is in force.
    #[error("the change is in force, but after {seconds} s the domain is not done: {state}")]
    WaitLimit {
        /// Limit, in seconds.
        seconds: u64,
        /// Last state seen.
        state: String,
    },
    /// The result cannot be written.
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
        text.push_str("; an earlier try of this call had no clear answer");
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

    /// Returns the exit code.
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

    /// Returns what the operator can do next.
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
                "check --entry and the network; name further entries with --entry a,b".to_owned()
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
                "repeat the command; what the first try may have issued expires unused".to_owned()
            }
            Self::Replaced { .. } => "see `hyssopctl domain list` for what is in force".to_owned(),
            Self::WaitLimit { .. } => "follow it with `hyssopctl domain list`".to_owned(),
            Self::Output(_) => {
                "the command itself was carried out; check where it writes".to_owned()
            }
        }
    }

    /// Returns the error for programs.
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

    /// Tells whether this is a refusal of the given kind.
    pub(crate) fn has_code(&self, code: ErrorCode) -> bool {
        matches!(self, Self::Api { error, .. } if error.code == code)
    }

    /// Returns what has no room, if that is why the call was refused.
    pub(crate) fn shortfall(&self) -> Option<&[Shortfall]> {
        match self {
            Self::Api { error, .. } if !error.shortfall.is_empty() => Some(&error.shortfall),
            _ => None,
        }
    }

    /// Tells whether a change was refused that an earlier try of the same call may have made.
    pub(crate) fn may_be_own_change(&self) -> bool {
        matches!(self, Self::Api { has_unknown_attempt: true, error, .. }
            if matches!(error.code, ErrorCode::Conflict | ErrorCode::NotFound))
    }
}

fn next_step_for(code: ErrorCode, status_command: &str) -> String {
    let text = match code {
        ErrorCode::Malformed => "check the arguments and that this program and the entry match",
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
        ErrorCode::NeverRuns => "correct the needs, the domains or the team's quota",
        ErrorCode::KeyReused => "choose another --key, or submit the same contents as before",
        ErrorCode::Limit => "repeat later, or ask for a higher limit or quota",
        _ => "nothing was changed; repeat in a few seconds, see `hyssopctl status`",
    };
    text.to_owned()
}
