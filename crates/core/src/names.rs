//! Names of entities: cheap to clone, validated when they are parsed.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Longest name that is accepted, in bytes.
const MAX_NAME_LEN: usize = 64;

fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.:".contains(c);
    !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $ident:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ident(Arc<str>);

        impl $ident {
            /// Validates and wraps a name.
            ///
            /// # Errors
            ///
            /// Returns [`Error::Name`] unless the name is 1 to 64 characters of `a-z`, `0-9`, `-`,
            /// `_`, `.` and `:`.
            pub fn new(text: impl AsRef<str>) -> Result<Self> {
                let text = text.as_ref();
                if is_valid(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(Error::Name { field: $field, value: text.chars().take(MAX_NAME_LEN).collect() })
                }
            }

            /// Returns the name as a string slice.
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
    /// Name of a team, which owns service documents and submits jobs.
    TeamName,
    "team"
);
name!(
    /// Name of a service, which is described by one document; also used for the kind of a job.
    ServiceName,
    "service"
);
name!(
    /// Name of a failure domain: workers and backend servers that may fail together.
    DomainName,
    "domain"
);
name!(
    /// Name of a rack within a failure domain.
    RackName,
    "rack"
);
name!(
    /// Name of a worker, the machine that runs tasks.
    WorkerName,
    "worker"
);
name!(
    /// Name of an agent, the process that runs beside a backend server.
    AgentName,
    "agent"
);
name!(
    /// Name of an entry, the process that accepts requests and owns cells.
    EntryName,
    "entry"
);
name!(
    /// Identifier of a job, derived from its team and the submission key.
    JobId,
    "job"
);

impl JobId {
    /// Derives the identifier of a job from its team and the key of its submission. A repeated
    /// submission yields the same identifier.
    #[must_use]
    pub fn derive(team: &TeamName, key: &str) -> Self {
        let text = format!("{team}\n{key}");
        let hash = xxhash_rust::xxh3::xxh3_128(text.as_bytes());
        Self(Arc::from(format!("job-{hash:032x}")))
    }
}
