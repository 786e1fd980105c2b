//! Reading of values from flags, environment variables and defaults, collecting all problems.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use hyssop_core::Millis;
use log::LevelFilter;

use super::tables::{Flags, Setting};
use super::{Exit, HttpBase, Problem, Problems, Secret};

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of each line.
    pub format: LogFormat,
    /// Least severity that is logged.
    pub level: LevelFilter,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: LevelFilter::Info,
        }
    }
}

/// Flags, environment variables and defaults of the settings of a daemon, with the problems found.
pub(super) struct Source<'a, F> {
    flags: F,
    env: &'a dyn Fn(&str) -> Option<String>,
    problems: Vec<Problem>,
}

impl<'a, F: Flags> Source<'a, F> {
    /// Parses the command line, without the program name.
    pub(super) fn new(
        program: &str,
        args: &[&str],
        env: &'a dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, Exit> {
        let flags = F::from_args(&[program], args).map_err(|early| match early.status {
            Ok(()) => Exit::Help(early.output),
            Err(()) => Exit::Usage(redact_values(early.output, args)),
        })?;
        Ok(Self {
            flags,
            env,
            problems: Vec::new(),
        })
    }

    /// Returns the settings if no problem was found.
    ///
    /// # Errors
    ///
    /// Returns [`Exit::Invalid`] with all problems, or [`Exit::Valid`] if there are none and a
    /// check was requested.
    pub(super) fn finish<S>(mut self, settings: Option<S>) -> Result<S, Exit> {
        let position = |problem: &Problem| F::TABLE.iter().position(|s| s.name == problem.setting);
        self.problems.sort_by_key(position);
        match settings {
            Some(_) if self.problems.is_empty() && self.flags.is_check_only() => Err(Exit::Valid),
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(Exit::Invalid(Problems(self.problems))),
        }
    }

    /// Records that the value of a setting is invalid.
    pub(super) fn reject(&mut self, name: &str, found: impl Into<String>) {
        let setting = find_setting::<F>(name);
        self.problems.push(Problem {
            setting: setting.name,
            found: found.into(),
            allowed: setting.allowed.to_owned(),
        });
    }

    /// Returns the text of a setting; `None` with a problem recorded if it is required and missing.
    /// An empty environment variable counts as not set.
    pub(super) fn text(&mut self, name: &str) -> Option<String> {
        let setting = find_setting::<F>(name);
        let flag = self.flags.value(name).map(str::to_owned);
        let env = || (self.env)(setting.env).filter(|text| !text.is_empty());
        let text = flag.or_else(env);
        let text = text.or_else(|| setting.default.map(str::to_owned));
        if text.is_none() {
            let found = format!("not given; use --{name} or {}", setting.env);
            self.reject(name, found);
        }
        text
    }

    /// Returns the value of a setting as parsed by `parse`; `None` with a problem recorded if it is
    /// missing or `parse` returns `None`.
    pub(super) fn value<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(name)?;
        let value = parse(&text);
        if value.is_none() {
            self.reject(name, quote(&text));
        }
        value
    }

    /// Returns the parsed items of a comma-separated list, without those that `parse` rejects. A
    /// list without a default must not be empty.
    pub(super) fn list<T>(&mut self, name: &str, parse: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let Some(text) = self.text(name) else {
            return Vec::new();
        };
        let parts: Vec<&str> = split_list(&text).collect();
        if parts.is_empty() && find_setting::<F>(name).default.is_none() {
            self.reject(name, "none");
        }
        let mut items = Vec::new();
        for item in parts {
            match parse(item) {
                Some(value) => items.push(value),
                None => self.reject(name, quote(item)),
            }
        }
        items
    }

    /// Records a problem for each item of a list that repeats the key of an earlier one.
    pub(super) fn check_unique<T, K: Ord + Display>(
        &mut self,
        name: &str,
        items: &[T],
        key: impl Fn(&T) -> &K,
    ) {
        let mut seen = BTreeSet::new();
        for item in items {
            let key = key(item);
            if !seen.insert(key) {
                self.reject(name, format!("{key} is given twice"));
            }
        }
    }

    /// Returns a number within a range.
    pub(super) fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.value(name, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Returns a duration whose setting is in milliseconds.
    pub(super) fn millis(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Millis> {
        self.number(name, range).map(Millis)
    }

    /// Returns a duration whose setting is in seconds.
    pub(super) fn seconds(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Millis> {
        self.number(name, range)
            .map(|seconds| Millis(seconds * 1_000))
    }

    /// Returns a listening address; port 0 is allowed.
    pub(super) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        self.value(name, |text| text.parse().ok())
    }

    /// Rejects `rpc` if it is the same address as `listen`, unless the port is 0 and the operating
    /// system assigns two different ones.
    pub(super) fn check_distinct(&mut self, listen: Option<SocketAddr>, rpc: Option<SocketAddr>) {
        if let (Some(listen), Some(rpc)) = (listen, rpc)
            && listen == rpc
            && rpc.port() != 0
        {
            self.reject("rpc", quote(&rpc.to_string()));
        }
    }

    /// Returns the settings of the log lines.
    pub(super) fn log_lines(&mut self) -> Option<LogSettings> {
        let format = self.value("log-format", |text| match text {
            "text" => Some(LogFormat::Text),
            "json" => Some(LogFormat::Json),
            _ => None,
        });
        let level = self.value("log-level", |text| {
            let is_lowercase = text.chars().all(|c| c.is_ascii_lowercase());
            text.parse().ok().filter(|_| is_lowercase)
        });
        Some(LogSettings {
            format: format?,
            level: level?,
        })
    }

    /// Returns the collector of the metrics; the inner value is `None` if the setting is empty.
    pub(super) fn collector(&mut self) -> Option<Option<HttpBase>> {
        self.value("otlp", |text| match text {
            "" => Some(None),
            text => HttpBase::parse(text).map(Some),
        })
    }
}

fn find_setting<F: Flags>(name: &str) -> &'static Setting {
    let mut table = F::TABLE.iter();
    let setting = table.find(|setting| setting.name == name);
    setting.expect("the daemons read only settings of their tables")
}

/// Splits a comma-separated list into its items, trimmed and without empty ones.
pub(super) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Hides the values of arguments in a message about the command line, because one may be a token:
/// `--operator-token=<token>` isn't supported and would appear in the message in full.
fn redact_values(text: String, args: &[&str]) -> String {
    args.iter()
        .fold(text, |text, arg| match arg.split_once('=') {
            Some((flag, _)) => text.replace(arg, &format!("{flag}=(hidden)")),
            None if arg.len() >= Secret::MIN_LEN && !arg.starts_with('-') => {
                text.replace(arg, "(hidden)")
            }
            None => text,
        })
}

/// Quotes a value for a message, truncated to 80 characters.
fn quote(text: &str) -> String {
    let cut: String = text.chars().take(80).collect();
    format!("{cut:?}")
}
