//! Names of entities: cheap to clone, checked when they enter the system.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Longest name accepted, in bytes.
const MAX_NAME: usize = 64;

fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.:".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME && text.chars().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $ident:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ident(Arc<str>);

        impl $ident {
            /// Checks and wraps a name.
            ///
            /// # Errors
            ///
            /// Returns [`Error::Name`] unless the name is 1 to 64 characters of `a-z`, `0-9`,
            /// `-`, `_`, `.` and `:`.
            pub fn new(text: impl AsRef<str>) -> Result<Self> {
                let text = text.as_ref();
                if is_valid(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(Error::Name { field: $field, value: text.chars().take(MAX_NAME).collect() })
                }
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl TryFrom<String> for $ident {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::new(text)
            }
        }

        impl From<$ident> for String {
            fn from(name: $ident) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl std::str::FromStr for $ident {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::new(text)
            }
        }
    };
}

name!(
    /// Name of a team, the owner of documents and jobs.
    TeamName,
    "team"
);
name!(
    /// Name of a service, described by one document.
    ServiceName,
    "service"
);
name!(
    /// Name of a failure domain.
    DomainName,
    "domain"
);
name!(
    /// Name of a rack.
    RackName,
    "rack"
);
name!(
    /// Name of a worker.
    WorkerName,
    "worker"
);
name!(
    /// Name of an agent, the process beside a backend server.
    AgentName,
    "agent"
);
name!(
    /// Name of an entry.
    EntryName,
    "entry"
);
name!(
    /// Identifier of a job, derived from its team and the submission key.
    JobId,
    "job"
);

impl JobId {
    /// Derives the identifier of a job from its team and the key of its submission, so that a
    /// repeated submission names the same job.
    #[must_use]
    pub fn derive(team: &TeamName, key: &str) -> Self {
        let text = format!("{team}\n{key}");
        let hash = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
        Self(Arc::from(format!("job-{hash:032x}")))
    }
}
