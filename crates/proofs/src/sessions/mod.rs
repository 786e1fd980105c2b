//! Recording of a session: responses to callers and operators and the messages of each process, as
//! a text that is the same in every run.
//!
//! Times are virtual, lines of the same instant are sorted, and request keys and incarnations get
//! short names in order of first appearance. Messages that repeat known contents are only counted.

mod histories;
mod messages;
mod recordings;
mod records;
mod renders;

pub(crate) use recordings::Recording;

use crate::world::World;

impl World {
    /// Starts the recording now, with the heading of its first section.
    pub fn start_recording(&mut self, heading: &str) {
        let names = self.node_names();
        self.recording = Recording::start_at(self.now(), names);
        self.start_section(heading);
    }

    /// Starts a new section. The counts of repeated messages belong to the section that ends.
    pub fn start_section(&mut self, heading: &str) {
        self.recording.add_heading(heading);
    }

    /// Adds a line for a person outside the system, such as an operator.
    pub fn record_note(&mut self, who: &str, text: &str) {
        let now = self.now();
        self.recording.record_text(now, who, text);
    }

    /// Lists all messages of a request, even if it is answered at the first try.
    pub fn list_request(&mut self, request: u64) {
        self.recording.list_request(request);
    }

    /// Returns the recorded session as text; the golden files hold it.
    #[must_use]
    pub fn session_text(&self) -> String {
        renders::render(&self.recording)
    }
}
