//! Recording of a session: what callers and operators were told and what each process sent, as
//! text that is the same in every run.
//!
//! Times are virtual, lines of the same instant are sorted, and request keys and incarnations get
//! short names in order of first appearance. Messages without news are counted.

mod histories;
mod messages;
mod recordings;
mod records;
mod renders;

pub(crate) use recordings::Recording;

use crate::world::World;

impl World {
    /// Starts the recording at this moment, under a heading.
    pub fn start_recording(&mut self, heading: &str) {
        let names = self.node_names();
        self.recording = Recording::start_at(self.now(), names);
        self.start_section(heading);
    }

    /// Starts a part of the session. Messages without news are counted up to here.
    pub fn start_section(&mut self, heading: &str) {
        self.recording.add_heading(heading);
    }

    /// Writes down what somebody outside of the system does or is told.
    pub fn record_note(&mut self, who: &str, text: &str) {
        let now = self.now();
        self.recording.record_text(now, who, text);
    }

    /// Lists all messages of a request, also if it is answered at the first try.
    pub fn list_request(&mut self, request: u64) {
        self.recording.list_request(request);
    }

    /// Returns the text of the session.
    #[must_use]
    pub fn session_text(&self) -> String {
        renders::render(&self.recording)
    }
}
