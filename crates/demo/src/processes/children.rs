//! Child processes.

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::program;
use crate::waits::wait_until;

/// Maximum number of output lines that are kept of each process.
const MAX_OUTPUT_LINES: usize = 2_000;

type Lines = Arc<Mutex<VecDeque<String>>>;

/// Child process, which is killed when the handle is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    lines: Lines,
}

impl Process {
    /// Starts the workspace program `program_name` under the display name `name`. The child does
    /// not inherit `HYSSOP_` variables.
    ///
    /// # Errors
    ///
    /// Returns an error if the program was not built or cannot be started.
    pub fn start(
        name: &str,
        program_name: &str,
        args: &[String],
        env: &[(&str, &str)],
    ) -> Result<Self> {
        let mut command = Command::new(program(program_name)?);
        for (key, _) in std::env::vars().filter(|(key, _)| key.starts_with("HYSSOP_")) {
            command.env_remove(key);
        }
        command
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("start of {program_name}"))?;
        let lines = Lines::default();
        if let Some(stdout) = child.stdout.take() {
            collect_lines(stdout, Arc::clone(&lines));
        }
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, Arc::clone(&lines));
        }
        Ok(Self {
            name: name.to_owned(),
            child,
            lines,
        })
    }

    /// Returns the name under which the process was started.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the last lines of standard output and standard error.
    #[must_use]
    pub fn output(&self) -> String {
        Vec::from_iter(lock(&self.lines).iter().cloned()).join("\n")
    }

    /// Waits for a line of output from which `parse` reads a value.
    ///
    /// # Errors
    ///
    /// Returns an error with the output if the process ends or the limit passes first.
    pub async fn wait_for_line<T>(
        &mut self,
        what: &str,
        limit: Duration,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T> {
        let found = wait_until(what, limit, async || {
            // The exit is checked before the lines, so that lines written before it are still
            // found.
            let exit_status = self.child.try_wait().ok().flatten();
            let value = lock(&self.lines).iter().find_map(|line| parse(line));
            match (value, exit_status) {
                (Some(value), _) => Some(Ok(value)),
                (None, Some(status)) => Some(Err(eyre!("ended with {status}"))),
                (None, None) => None,
            }
        });
        let found = found.await.and_then(|found| found);
        found.wrap_err_with(|| format!("{}: {what}; output:\n{}", self.name, self.output()))
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has already exited.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // An unreaped child keeps its id, so that the signal never reaches another process.
        if let Some(status) = self.child.try_wait()? {
            bail!("{} has ended with {status}", self.name);
        }
        let id = Pid::from_raw(i32::try_from(self.child.id())?);
        Ok(kill(id, signal)?)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit passes first.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<ExitStatus> {
        let what = format!("{} ends", self.name);
        let ended = wait_until(&what, limit, async || self.child.try_wait().transpose());
        let status = ended.await;
        let status = status.wrap_err_with(|| format!("output:\n{}", self.output()))?;
        Ok(status?)
    }

    /// Sends SIGTERM and waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has already exited, or if the limit passes first.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait_for_exit(limit).await
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("--- output of {}:\n{}", self.name, self.output());
        }
    }
}

/// Starts a thread that collects the last lines of an output until it is closed.
fn collect_lines(output: impl Read + Send + 'static, lines: Lines) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut lines = lock(&lines);
            if lines.len() >= MAX_OUTPUT_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    });
}

fn lock(lines: &Lines) -> MutexGuard<'_, VecDeque<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}
