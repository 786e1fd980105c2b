//! Reading of values from flags, environment and defaults, with all problems collected.

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
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format.
    pub format: LogFormat,
    /// Least severity.
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

/// Where the values come from.
pub(super) struct Source<'a, F> {
    flags: F,
    env: &'a dyn Fn(&str) -> Option<String>,
    problems: Vec<Problem>,
}

impl<'a, F: Flags> Source<'a, F> {
    /// Reads the command line, without the name of the program.
    pub(super) fn new(
        program: &str,
        args: &[&str],
        env: &'a dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, Exit> {
        let flags = F::from_args(&[program], args).map_err(|early| match early.status {
            Ok(()) => Exit::Help(early.output),
            Err(()) => Exit::Usage(hide_values(early.output, args)),
        })?;
        Ok(Self {
            flags,
            env,
            problems: Vec::new(),
        })
    }

    /// Ends the reading. The settings stand for something only if no problem was found.
    ///
    /// # Errors
    ///
    /// Returns [`Exit::Invalid`] with all problems, and [`Exit::Valid`] if a check was asked for.
    pub(super) fn finish<S>(mut self, settings: Option<S>) -> Result<S, Exit> {
        let place = |problem: &Problem| F::TABLE.iter().position(|s| s.name == problem.setting);
        self.problems.sort_by_key(place);
        match settings {
            Some(_) if self.problems.is_empty() && self.flags.check() => Err(Exit::Valid),
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(Exit::Invalid(Problems(self.problems))),
        }
    }

    /// Notes that the value of a setting is not allowed.
    pub(super) fn refuse(&mut self, name: &str, found: impl Into<String>) {
        let setting = setting::<F>(name);
        self.problems.push(Problem {
            setting: setting.name,
            found: found.into(),
            allowed: setting.allowed.to_owned(),
        });
    }

    /// Returns the text of a setting. An empty variable counts as not set.
    pub(super) fn text(&mut self, name: &str) -> Option<String> {
        let setting = setting::<F>(name);
        let flag = self.flags.value(name).map(str::to_owned);
        let env = || (self.env)(setting.env).filter(|text| !text.is_empty());
        let text = flag.or_else(env);
        let text = text.or_else(|| setting.default.map(str::to_owned));
        if text.is_none() {
            let found = format!("not given; use --{name} or {}", setting.env);
            self.refuse(name, found);
        }
        text
    }

    /// Returns a setting that `parse` reads; without it the value is refused.
    pub(super) fn value<T>(
        &mut self,
        name: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(name)?;
        let value = parse(&text);
        if value.is_none() {
            self.refuse(name, quoted(&text));
        }
        value
    }

    /// Returns the items of a comma-separated list; those that `parse` refuses are left out. A list
    /// without a default needs an item.
    pub(super) fn list<T>(&mut self, name: &str, parse: impl Fn(&str) -> Option<T>) -> Vec<T> {
        let Some(text) = self.text(name) else {
            return Vec::new();
        };
        let parts: Vec<&str> = items_of(&text).collect();
        if parts.is_empty() && setting::<F>(name).default.is_none() {
            self.refuse(name, "none");
        }
        let mut items = Vec::new();
        for item in parts {
            match parse(item) {
                Some(value) => items.push(value),
                None => self.refuse(name, quoted(item)),
            }
        }
        items
    }

    /// Refuses the second and later items of a list with the same key.
    pub(super) fn unique<T, K: Ord + Display>(
        &mut self,
        name: &str,
        items: &[T],
        key: impl Fn(&T) -> &K,
    ) {
        let mut seen = BTreeSet::new();
        for item in items {
            let key = key(item);
            if !seen.insert(key) {
                self.refuse(name, format!("{key} is given twice"));
            }
        }
    }

    /// Returns a number within a range.
    pub(super) fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        self.value(name, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Returns a duration that is given in milliseconds.
    pub(super) fn millis(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Millis> {
        self.number(name, range).map(Millis)
    }

    /// Returns a duration that is given in seconds.
    pub(super) fn seconds(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<Millis> {
        self.number(name, range)
            .map(|seconds| Millis(seconds * 1_000))
    }

    /// Returns an address on which the daemon listens.
    pub(super) fn address(&mut self, name: &str) -> Option<SocketAddr> {
        self.value(name, |text| text.parse().ok())
    }

    /// Refuses `rpc` on the same address as `listen`, unless the system picks the ports.
    pub(super) fn distinct(&mut self, listen: Option<SocketAddr>, rpc: Option<SocketAddr>) {
        if let (Some(listen), Some(rpc)) = (listen, rpc)
            && listen == rpc
            && rpc.port() != 0
        {
            self.refuse("rpc", quoted(&rpc.to_string()));
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
            let lower = text.chars().all(|c| c.is_ascii_lowercase());
            text.parse().ok().filter(|_| lower)
        });
        Some(LogSettings {
            format: format?,
            level: level?,
        })
    }

    /// Returns the collector of the metrics; the inner value is `None` if there is none.
    pub(super) fn collector(&mut self) -> Option<Option<HttpBase>> {
        self.value("otlp", |text| match text {
            "" => Some(None),
            text => HttpBase::parse(text).map(Some),
        })
    }
}

fn setting<F: Flags>(name: &str) -> &'static Setting {
    let mut table = F::TABLE.iter();
    let setting = table.find(|setting| setting.name == name);
    setting.expect("the daemons read only settings of their tables")
}

/// Splits a comma-separated list.
pub(super) fn items_of(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
}

/// Hides the arguments other than flags in a message about the command line, because a token may
/// be among them, such as in `--operator-token=<token>`, which is not a form that is read.
fn hide_values(text: String, args: &[&str]) -> String {
    args.iter()
        .fold(text, |text, arg| match arg.split_once('=') {
            Some((flag, _)) => text.replace(arg, &format!("{flag}=(hidden)")),
            None if arg.len() >= Secret::MIN_LEN && !arg.starts_with('-') => {
                text.replace(arg, "(hidden)")
            }
            None => text,
        })
}

/// Quotes a value for a message, cut to 80 characters.
fn quoted(text: &str) -> String {
    let cut: String = text.chars().take(80).collect();
    format!("{cut:?}")
}
