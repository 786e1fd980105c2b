//! Log lines on standard output, because the hosts have no disks.

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

/// Line in text: time, severity, module and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l:<5} {t} {m}{n}";

/// Libraries that log each call at severity `info`. With three entries and three agents that were
/// several lines a second from each idle process.
const LIBRARIES: [&str; 2] = ["tarpc", "salvo_core"];

/// Returns the least severity of the lines of [`LIBRARIES`]: their calls are for debugging.
fn limit(level: LevelFilter) -> LevelFilter {
    match level {
        LevelFilter::Info => LevelFilter::Warn,
        other => other,
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns [`Error::Logs`] if a logger is installed already.
pub fn init_logs(settings: &LogSettings) -> Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stdout)
        .encoder(encoder(settings.format))
        .build();
    let libraries =
        LIBRARIES.map(|name| LoggerConfig::builder().build(name, limit(settings.level)));
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

/// Returns the encoder of a format. In JSON the fields are in `attributes`; in text
/// [`message_line`] has put them behind the message.
#[must_use]
pub fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Json => Box::new(JsonEncoder::new()),
        LogFormat::Text => Box::new(PatternEncoder::new(PATTERN)),
    }
}

/// Returns the message of a record and its fields as `name=value`, on one line whatever they
/// contain.
#[must_use]
pub fn message_line(record: &Record<'_>) -> String {
    let mut line = Line::default();
    // Writing to a string fails only if a value's own formatting does; the rest is kept.
    let _ = line.write_fmt(*record.args());
    let _ = record.key_values().visit(&mut line);
    line.text
}

/// Puts the fields into the message, which the pattern of the encoder cannot do.
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

/// Text of a message and its fields, without line breaks and other control characters.
#[derive(Default)]
struct Line {
    text: String,
}

impl Write for Line {
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

impl<'kvs> VisitSource<'kvs> for Line {
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
