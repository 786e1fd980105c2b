//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(
            Arc::new(Mutex::new(File::create(path)?)),
            Instant::now(),
        ))
    }

    /// Returns the time since the start in milliseconds.
    pub fn now(&self) -> u64 {
        self.1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let _written = writeln!(self.0.lock().unwrap(), "{at:>7} ms  {text}");
    }
}
