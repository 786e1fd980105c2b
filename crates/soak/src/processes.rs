//! Processes of the program under test.

use std::fs::File;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use hyssop_platform_standins::PATH_VARIABLE;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Arguments with which a process is started, and started again.
#[derive(Clone, Debug)]
pub(crate) struct ProcessOptions {
    pub(crate) program: PathBuf,
    pub(crate) role: &'static str,
    pub(crate) settings: PathBuf,
    /// File that its standard output is appended to; none if it is discarded.
    pub(crate) log: Option<PathBuf>,
}

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) options: ProcessOptions,
    child: Child,
}

impl Process {
    pub(crate) fn start(options: ProcessOptions) -> Self {
        let output = match &options.log {
            Some(path) => {
                let file = File::options().create(true).append(true).open(path);
                Stdio::from(file.expect("open the log file"))
            }
            None => Stdio::null(),
        };
        let child = Command::new(&options.program)
            .arg(options.role)
            .env(PATH_VARIABLE, &options.settings)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("start the program");
        Self { options, child }
    }

    pub(crate) fn restart(&mut self) {
        self.stop();
        *self = Self::start(self.options.clone());
    }

    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub(crate) fn stop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }

    /// Returns the identifier of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process identifier fits i32");
        // The process may have exited by itself.
        let _sent = kill(Pid::from_raw(id), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop();
    }
}
