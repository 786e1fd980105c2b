//! Check of the runs of all tasks: none may run twice at a time.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::record::Record;
use crate::worker::Observer;

#[derive(Default)]
struct Runs {
    /// Workers on which each task runs.
    running: BTreeMap<String, Vec<String>>,
    broken: Vec<String>,
}

pub struct Ledger {
    record: Record,
    runs: Mutex<Runs>,
}

impl Ledger {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            runs: Mutex::default(),
        }
    }

    /// Records what was broken, and returns how often.
    pub fn report(&self) -> usize {
        let runs = self.runs.lock().unwrap();
        for text in &runs.broken {
            self.record.line(&format!("TWICE: {text}"));
        }
        runs.broken.len()
    }
}

impl Observer for Ledger {
    fn started(&self, worker: &str, task: &str, run: u64) {
        self.record.line(&format!("{worker} runs {task} run {run}"));
        let mut runs = self.runs.lock().unwrap();
        let others = runs.running.entry(task.to_owned()).or_default();
        let text = (!others.is_empty()).then(|| {
            format!(
                "{task} starts on {worker} and runs on {}",
                others.join(", ")
            )
        });
        others.push(worker.to_owned());
        runs.broken.extend(text);
    }

    fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.record
            .line(&format!("{worker} ends {task} run {run}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        if let Some(workers) = runs.running.get_mut(task) {
            workers.retain(|known| known != worker);
        }
    }
}
