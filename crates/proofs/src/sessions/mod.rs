//! Recording of a session: what callers and operators were told and what each process sent, as
//! text that is the same in every run.
//!
//! Times are virtual, lines of the same instant are sorted, and request keys and incarnations get
//! short names in order of first appearance. Messages without news are counted.

mod histories;
mod messages;
mod records;
mod renders;
mod recordings;

pub(crate) use recordings::Tape;

use crate::world::World;

impl World {
    /// Starts the recording at this moment, under a heading.
    pub fn record(&mut self, heading: &str) {
        let names = self.node_names();
        self.tape = Tape::started(self.now(), names);
        self.chapter(heading);
    }

    /// Starts a part of the session. Messages without news are counted up to here.
    pub fn chapter(&mut self, heading: &str) {
        self.tape.chapter(heading);
    }

    /// Writes down what somebody outside of the system does or is told.
    pub fn remark(&mut self, who: &str, text: &str) {
        let now = self.now();
        self.tape.fact(now, who, text);
    }

    /// Lists all messages of a request, also if it is answered at the first try.
    pub fn follow(&mut self, request: u64) {
        self.tape.follow(request);
    }

    /// Returns the text of the session.
    #[must_use]
    pub fn session(&self) -> String {
        renders::render(&self.tape)
    }
}
