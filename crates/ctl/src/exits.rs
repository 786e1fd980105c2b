//! Exit codes.

/// Exit code of the program. `hyssopctl --help` lists the same codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// An entry refused the call and changed nothing, or a wait exceeded its limit.
    Refused = 1,
    /// The command line is invalid or a file cannot be read; nothing was sent.
    Usage = 2,
    /// Another change, or another receipt for a result, came first.
    Conflict = 3,
    /// No entry answered; nothing changed.
    NotReachable = 4,
    /// The outcome is unknown: the change may be in force.
    Unknown = 5,
}

impl Exit {
    /// All exit codes in ascending order.
    pub const ALL: [Self; 6] = [
        Self::Ok,
        Self::Refused,
        Self::Usage,
        Self::Conflict,
        Self::NotReachable,
        Self::Unknown,
    ];

    /// Returns the status of the process.
    #[must_use]
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the meaning, in the words of `--help` and of the documentation.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Refused => "refused, or a wait that ran out; a refused change is not in force",
            Self::Usage => {
                "usage: the command line is wrong or a file cannot be read; nothing was sent"
            }
            Self::Conflict => "conflict: another operator's change or another receipt came first",
            Self::NotReachable => "not reachable: no entry answered, nothing was changed",
            Self::Unknown => {
                "outcome unknown: the change may be in force; see the printed next step"
            }
        }
    }
}
