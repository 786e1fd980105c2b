//! Output of results, errors and progress, as text or JSON.

use std::io::{self, ErrorKind, Write};

use serde::Serialize;

use crate::errors::{CtlError, Result};
use crate::exits::Exit;

/// Terminal sequence that clears the current line.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Output streams and output format of a command.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    is_json: bool,
    has_live_progress: bool,
    last_progress: String,
}

impl<'a> Console<'a> {
    /// Creates a console that writes text, with each change of the progress on a line of its own.
    ///
    /// Results go to `out`, errors and progress to `err`.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self {
            out,
            err,
            is_json: false,
            has_live_progress: false,
            last_progress: String::new(),
        }
    }

    /// Sets whether progress overwrites a single line, which needs a terminal as error output.
    #[must_use]
    pub const fn with_live_progress(mut self, has_live_progress: bool) -> Self {
        self.has_live_progress = has_live_progress;
        self
    }

    pub(crate) const fn set_json(&mut self, is_json: bool) {
        self.is_json = is_json;
    }

    /// Writes a result: the value as JSON, or the text that `text` makes of it.
    pub(crate) fn emit<T: Serialize>(
        &mut self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<()> {
        let text = if self.is_json {
            serde_json::to_string_pretty(value).map_err(io::Error::from)?
        } else {
            text(value)
        };
        self.write_line(&text)
    }

    /// Writes a line of text. Omitted in JSON mode, where the output is a single JSON value.
    pub(crate) fn emit_note(&mut self, text: &str) -> Result<()> {
        if self.is_json {
            Ok(())
        } else {
            self.write_line(text)
        }
    }

    fn write_line(&mut self, text: &str) -> Result<()> {
        let text = text.trim_end_matches('\n');
        match writeln!(self.out, "{text}") {
            // The reader has closed the pipe; the command itself succeeded.
            Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
            other => Ok(other?),
        }
    }

    /// Shows progress. Without live progress a line is written only when `state` changes; `elapsed`
    /// is in seconds.
    pub(crate) fn show_progress(&mut self, state: &str, elapsed: u64) {
        // Errors are ignored: a closed error output must not end the wait.
        if self.has_live_progress {
            let _ = write!(self.err, "{CLEAR_LINE}{state} ({elapsed} s)");
            let _ = self.err.flush();
        } else if self.last_progress != state {
            let _ = writeln!(self.err, "{state}");
        }
        state.clone_into(&mut self.last_progress);
    }

    /// Clears the progress line.
    pub(crate) fn end_progress(&mut self) {
        if self.has_live_progress && !self.last_progress.is_empty() {
            let _ = write!(self.err, "{CLEAR_LINE}");
            let _ = self.err.flush();
        }
        self.last_progress.clear();
    }

    pub(crate) fn emit_help(&mut self, text: &str) -> Exit {
        match self.write_line(text) {
            Ok(()) => Exit::Ok,
            Err(error) => self.emit_error(&error),
        }
    }

    /// Writes an error with the suggested next step, and returns its exit code.
    pub(crate) fn emit_error(&mut self, error: &CtlError) -> Exit {
        self.end_progress();
        // If standard error is closed, the exit code still reports the failure.
        let _ = if self.is_json {
            writeln!(self.err, "{:#}", error.to_json())
        } else {
            let text = error.to_string();
            writeln!(
                self.err,
                "error: {}\nnext: {}",
                text.trim_end(),
                error.next_step()
            )
        };
        error.exit()
    }
}
