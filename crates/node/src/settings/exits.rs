//! Why a daemon ends before it starts.

use std::fmt;

/// One setting with a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the setting.
    pub setting: &'static str,
    /// What was found; secrets are not shown.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting,
            found,
            allowed,
        } = self;
        write!(f, "{setting}: {found}; allowed: {allowed}")
    }
}

/// All problems of the settings, in the order of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} values of settings are not allowed:", self.0.len())?;
        for problem in &self.0 {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

/// Why a daemon ends before it starts. The text is for the terminal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Exit {
    /// Help was asked for.
    #[error("{0}")]
    Help(String),
    /// `--check` was given and the settings are valid.
    #[error("the settings are valid")]
    Valid,
    /// The command line cannot be read.
    #[error("{0}")]
    Usage(String),
    /// Settings have values that are not allowed.
    #[error("{0}")]
    Invalid(Problems),
}

impl Exit {
    /// Returns the exit status of the process.
    #[must_use]
    pub const fn code(&self) -> i32 {
        match self {
            Self::Help(_) | Self::Valid => 0,
            Self::Usage(_) | Self::Invalid(_) => 2,
        }
    }

    /// Ends the process: help and the result of a check go to standard output, everything else to
    /// standard error.
    pub fn terminate(&self) -> ! {
        match self {
            Self::Help(_) | Self::Valid => println!("{self}"),
            Self::Usage(_) | Self::Invalid(_) => eprintln!("{self}"),
        }
        std::process::exit(self.code());
    }
}
