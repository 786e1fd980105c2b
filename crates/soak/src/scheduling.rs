//! Detection of threads that the operating system did not let run.

use std::collections::HashMap;
use std::fs;
use std::time::Duration;

/// Scheduling statistics of one thread.
#[derive(Clone, Copy, Debug)]
struct ThreadSample {
    used_ns: u64,
    /// Time that the thread has waited for a processor, up to its last run.
    waited_ns: u64,
    is_runnable: bool,
}

/// Watches the threads of some processes.
#[derive(Debug)]
pub(crate) struct ThreadWatch {
    process_ids: Vec<u32>,
    threads: HashMap<String, ThreadSample>,
}

impl ThreadWatch {
    pub(crate) fn new(process_ids: Vec<u32>) -> Self {
        Self {
            process_ids,
            threads: HashMap::new(),
        }
    }

    /// Returns whether a thread has waited for a processor for at least `limit` since the last call,
    /// or did not run between the two calls although it was ready to run at both.
    pub(crate) fn has_starved(&mut self, limit: Duration) -> bool {
        let mut threads = HashMap::new();
        for id in &self.process_ids {
            let Ok(tasks) = fs::read_dir(format!("/proc/{id}/task")) else {
                continue;
            };
            for task in tasks.flatten() {
                let path = task.path().to_string_lossy().into_owned();
                // A thread that has just ended cannot be read.
                if let Some(sample) = read_thread(&path) {
                    threads.insert(path, sample);
                }
            }
        }
        let is_starved = threads.iter().any(|(path, now)| {
            let Some(before) = self.threads.get(path) else {
                return false;
            };
            let waited = now.waited_ns.saturating_sub(before.waited_ns);
            let is_kept_waiting =
                before.is_runnable && now.is_runnable && before.used_ns == now.used_ns;
            Duration::from_nanos(waited) >= limit || is_kept_waiting
        });
        self.threads = threads;
        is_starved
    }
}

/// Reads the statistics of a thread from its directory in `/proc`.
fn read_thread(path: &str) -> Option<ThreadSample> {
    let times = fs::read_to_string(format!("{path}/schedstat")).ok()?;
    let mut times = times.split_whitespace().map(str::parse);
    let status = fs::read_to_string(format!("{path}/stat")).ok()?;
    // The state follows the name, which is in parentheses and may contain any characters.
    let (_, state) = status.rsplit_once(") ")?;
    Some(ThreadSample {
        used_ns: times.next()?.ok()?,
        waited_ns: times.next()?.ok()?,
        is_runnable: state.starts_with('R'),
    })
}
