//! One started process.

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

/// Lines of output that are kept of each process.
const KEPT_LINES: usize = 2_000;

type Lines = Arc<Mutex<VecDeque<String>>>;

/// A process that this one started; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    lines: Lines,
}

impl Process {
    /// Starts a program of this workspace without any of this process's `HYSSOP_` variables.
    ///
    /// # Errors
    ///
    /// Returns an error if the program was not built or cannot be started.
    pub fn start(name: &str, of: &str, args: &[String], env: &[(&str, &str)]) -> Result<Self> {
        let mut command = Command::new(program(of)?);
        for (key, _) in std::env::vars().filter(|(key, _)| key.starts_with("HYSSOP_")) {
            command.env_remove(key);
        }
        command
            .args(args)
            .envs(env.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command.spawn().wrap_err_with(|| format!("start of {of}"))?;
        let lines = Lines::default();
        if let Some(stdout) = child.stdout.take() {
            collect(stdout, Arc::clone(&lines));
        }
        if let Some(stderr) = child.stderr.take() {
            collect(stderr, Arc::clone(&lines));
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

    /// Returns the last lines of the output.
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
            // The end is looked at first, because lines written before it still count.
            let ended = self.child.try_wait().ok().flatten();
            let value = lock(&self.lines).iter().find_map(|line| parse(line));
            match (value, ended) {
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
    /// Returns an error if the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // An unreaped child keeps its id, so that the signal never reaches another process.
        if let Some(status) = self.child.try_wait()? {
            bail!("{} has ended with {status}", self.name);
        }
        let id = Pid::from_raw(i32::try_from(self.child.id())?);
        Ok(kill(id, signal)?)
    }

    /// Waits for the end of the process.
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

    /// Stops the process with SIGTERM and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if it has ended already, or if the limit passes first.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus> {
        self.signal(Signal::SIGTERM)?;
        self.wait_for_exit(limit).await
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("--- output of {}:\n{}", self.name, self.output());
        }
    }
}

/// Keeps the last lines of an output on a thread that ends with it.
fn collect(output: impl Read + Send + 'static, lines: Lines) {
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let mut lines = lock(&lines);
            if lines.len() >= KEPT_LINES {
                lines.pop_front();
            }
            lines.push_back(line);
        }
    });
}

fn lock(lines: &Lines) -> MutexGuard<'_, VecDeque<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}
