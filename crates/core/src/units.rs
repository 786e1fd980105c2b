//! Newtypes for units, versions and counters.

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
    /// Milliseconds since the driver's epoch, or a duration in milliseconds.
    Millis(u64)
);
counter!(
    /// Offset of a record in a stream of the log.
    Offset(u64)
);
counter!(
    /// Version of a configuration entity: the offset of the record that set it, 0 for none.
    Version(u64)
);
counter!(
    /// Fencing token of a cell's owner: the offset of its claim.
    Term(u64)
);
counter!(
    /// Random number of one life of a process.
    Incarnation(u64)
);
counter!(
    /// Number of an attempt of a job, from 1.
    Attempt(u32)
);

impl Millis {
    /// Returns the time since `earlier`, or zero if that is later.
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
    /// Returns the offset after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Attempt {
    /// Returns the number of the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
