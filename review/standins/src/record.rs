//! Record of what was sent, answered and run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct State {
    file: File,
    counts: BTreeMap<String, u64>,
}

/// Writes lines with the time since the start to the record of a case.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Recorder {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        let counts = BTreeMap::new();
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(State { file, counts })),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let ms = self.ms();
        let line = format!("{:>8.3} s  {line}", ms as f64 / 1_000.0);
        println!("{line}");
        let mut state = self.state.lock().unwrap();
        writeln!(state.file, "{line}").expect("write the record");
    }

    /// Counts an event that is too frequent for a line each.
    pub fn count(&self, what: &str) {
        let mut state = self.state.lock().unwrap();
        *state.counts.entry(what.to_owned()).or_default() += 1;
    }

    pub fn counted(&self, what: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.counts.get(what).copied().unwrap_or(0)
    }

    pub fn note_counts(&self) {
        let counts = self.state.lock().unwrap().counts.clone();
        for (what, count) in counts {
            self.note(&format!("{count} {what}"));
        }
    }
}
