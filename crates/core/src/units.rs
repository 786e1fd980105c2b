//! Newtypes for units, versions and sequence numbers.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

macro_rules! counter {
    ($(#[$doc:meta])* $ident:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $ident(pub $inner);

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter!(
    /// Time in milliseconds on the clock of one process, or a duration in milliseconds.
    Millis(u64)
);
counter!(
    /// Position of a record in a log stream.
    Offset(u64)
);
counter!(
    /// Version of a configuration entity: the offset of the record that set it, or 0 for none.
    Version(u64)
);
counter!(
    /// Fencing token of a cell's owner: the offset of its claim record.
    Term(u64)
);
counter!(
    /// Random number chosen at each start of a process.
    Incarnation(u64)
);
counter!(
    /// Number of an attempt of a job, starting at 1.
    Attempt(u32)
);

impl Millis {
    /// Returns the time elapsed since `earlier`, or 0 if that is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl Offset {
    /// Returns the following offset.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Attempt {
    /// Returns the number of the following attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
