//! Reasons for which a program exits while reading its settings.

use std::fmt;

/// One invalid value of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the setting.
    pub setting: &'static str,
    /// The invalid value, or what is wrong with it; secrets are not shown.
    pub found: String,
    /// Description of the allowed values.
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

/// All problems of the settings, in the order of the settings table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} invalid setting values:", self.0.len())?;
        for problem in &self.0 {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

/// Reason for which a program exits while reading its settings. The text is meant for a terminal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Exit {
    /// `--help` was given; the text is the help.
    #[error("{0}")]
    Help(String),
    /// `--check` was given and the settings are valid.
    #[error("the settings are valid")]
    Valid,
    /// The command line is malformed; the text describes the mistake.
    #[error("{0}")]
    Usage(String),
    /// At least one setting is missing or invalid.
    #[error("{0}")]
    Invalid(Problems),
}

impl Exit {
    /// Returns the exit status of the process: 0 for help and valid settings, 2 otherwise.
    #[must_use]
    pub const fn code(&self) -> i32 {
        match self {
            Self::Help(_) | Self::Valid => 0,
            Self::Usage(_) | Self::Invalid(_) => 2,
        }
    }

    /// Prints the text and exits the process. Help and the result of a check go to standard output,
    /// errors to standard error.
    pub fn terminate(&self) -> ! {
        match self {
            Self::Help(_) | Self::Valid => println!("{self}"),
            Self::Usage(_) | Self::Invalid(_) => eprintln!("{self}"),
        }
        std::process::exit(self.code());
    }
}
