//! Log lines on standard output. Nothing is written to files, because the hosts have no disks.

use std::fmt::{self, Write};

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Logger as LoggerConfig, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::{Config, Logger};

use super::{Error, Result};
use crate::settings::{LogFormat, LogSettings};

/// Format of text lines: time, severity, module and message.
const TEXT_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l:<5} {t} {m}{n}";

/// Libraries that log each call at severity `info`, which is several lines a second from each idle
/// process with three entries and three agents.
const VERBOSE_LIBRARIES: [&str; 2] = ["tarpc", "salvo_core"];

/// Returns the log level of [`VERBOSE_LIBRARIES`]: one level less at `info`, since lines about
/// single calls are for debugging.
fn library_level(level: LevelFilter) -> LevelFilter {
    match level {
        LevelFilter::Info => LevelFilter::Warn,
        other => other,
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns [`Error::Logs`] if a logger is already installed.
pub fn init_logs(settings: &LogSettings) -> Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(encoder(settings.format))
        .build();
    let libraries = VERBOSE_LIBRARIES
        .map(|name| LoggerConfig::builder().build(name, library_level(settings.level)));
    let config = Config::builder()
        .appender(Appender::builder().build("stdout", Box::new(console)))
        .loggers(libraries)
        .build(Root::builder().appender("stdout").build(settings.level))
        .map_err(|error| Error::Logs(error.to_string()))?;
    let logger = Logger::new(config);
    let logger: Box<dyn Log> = match settings.format {
        LogFormat::Text => Box::new(TextLogger(logger)),
        LogFormat::Json => Box::new(logger),
    };
    log::set_boxed_logger(logger).map_err(|error| Error::Logs(error.to_string()))?;
    log::set_max_level(settings.level);
    Ok(())
}

/// Returns the encoder of a format. JSON has the fields in `attributes`; for text, the record must
/// come from [`message_line`], which appends them to the message.
#[must_use]
pub fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_PATTERN)),
    }
}

/// Returns the message of a record and its fields as `name=value`. Control characters are escaped,
/// so that the result is a single line.
#[must_use]
pub fn message_line(record: &Record<'_>) -> String {
    let mut line = SingleLine::default();
    // Writing to a string fails only if the formatting of a value does; the text so far is kept.
    let _ = line.write_fmt(*record.args());
    let _ = record.key_values().visit(&mut line);
    line.text
}

/// Logger that appends the fields to the message, which the pattern encoder doesn't support.
#[derive(Debug)]
struct TextLogger(Logger);

impl Log for TextLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.0.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.0.enabled(record.metadata()) {
            return;
        }
        let mut text = Record::builder();
        text.metadata(record.metadata().clone())
            .module_path(record.module_path())
            .file(record.file())
            .line(record.line());
        let line = message_line(record);
        self.0.log(&text.args(format_args!("{line}")).build());
    }

    fn flush(&self) {
        self.0.flush();
    }
}

/// Text of a message and its fields, in which line breaks and other control characters are escaped.
#[derive(Default)]
struct SingleLine {
    text: String,
}

impl Write for SingleLine {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for c in text.chars() {
            if c.is_control() {
                self.text.extend(c.escape_default());
            } else {
                self.text.push(c);
            }
        }
        Ok(())
    }
}

impl<'kvs> VisitSource<'kvs> for SingleLine {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let value = value.to_string();
        let is_plain = !value.is_empty() && !value.contains([' ', '"', '=']);
        let written = if is_plain {
            write!(self, " {key}={value}")
        } else {
            write!(self, " {key}={value:?}")
        };
        written.map_err(kv::Error::from)
    }
}
