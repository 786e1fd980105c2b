//! Output: results, errors and progress, as text or JSON.

use std::io::{self, ErrorKind, Write};

use serde::Serialize;

use crate::errors::{CtlError, Result};
use crate::exits::Exit;

/// Clears the line that the cursor is on.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Where a command writes.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    is_json: bool,
    has_live_progress: bool,
    last_progress: String,
}

impl<'a> Console<'a> {
    /// Creates a console that writes text.
    pub fn new(out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self {
            out,
            err,
            is_json: false,
            has_live_progress: false,
            last_progress: String::new(),
        }
    }

    /// Sets whether progress overwrites one line; otherwise each change gets a line.
    #[must_use]
    pub const fn with_live_progress(mut self, has_live_progress: bool) -> Self {
        self.has_live_progress = has_live_progress;
        self
    }

    pub(crate) const fn set_json(&mut self, is_json: bool) {
        self.is_json = is_json;
    }

    /// Writes a result: the value in JSON, or the text.
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

    /// Writes a line that is no part of a JSON result.
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
            // The reader of a pipe has seen enough; the command itself succeeded.
            Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
            other => Ok(other?),
        }
    }

    /// Shows progress. `state` is what has changed, `elapsed` only counts.
    pub(crate) fn show_progress(&mut self, state: &str, elapsed: u64) {
        // Progress is a courtesy: a closed error output must not stop the wait.
        if self.has_live_progress {
            let _ = write!(self.err, "{CLEAR_LINE}{state} ({elapsed} s)");
            let _ = self.err.flush();
        } else if self.last_progress != state {
            let _ = writeln!(self.err, "{state}");
        }
        state.clone_into(&mut self.last_progress);
    }

    /// Ends the progress line.
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

    /// Writes an error with what to do next, and returns its exit code.
    pub(crate) fn emit_error(&mut self, error: &CtlError) -> Exit {
        self.end_progress();
        // With standard error closed the exit code is all that is left to tell.
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
