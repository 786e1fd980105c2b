//! Faults of processes, links and the log.

use hyssop_core::Millis;

use super::{Event, Inject, Links, Message, Node, Tamper, Trigger, World};
use crate::invariants::Obs;

impl World {
    /// Injects a fault at the next message that the trigger chooses.
    pub fn arm(&mut self, trigger: Trigger, inject: Inject) {
        self.trigger = Some((trigger, inject));
    }

    /// Lets a function change messages on their way.
    pub fn tamper(&mut self, tamper: Tamper) {
        self.tamper = Some(tamper);
    }

    /// Returns the links, to set faults on them. The process is noted as touched.
    pub fn links(&mut self, node: Node) -> &mut Links {
        self.touched.insert(node);
        &mut self.links
    }

    /// Ends a process and starts another in its place after `time`; `None` for not at all.
    pub fn kill(&mut self, node: Node, time: Option<u64>) {
        if !self.down.insert(node) {
            return;
        }
        self.touched.insert(node);
        self.frozen.remove(&node);
        if let Node::Worker(n) = node {
            for obs in self.workers[n].kill() {
                self.see(&obs);
            }
        }
        if let Some(time) = time {
            self.at(self.now + Millis(time), Event::Restart(node));
        }
    }

    /// Starts a process that ended.
    pub fn restart(&mut self, node: Node) {
        if !self.down.remove(&node) {
            return;
        }
        self.release(node);
        match node {
            Node::Entry(n) => {
                let life = self.entries[n].life + 1_000;
                let settings = std::sync::Arc::clone(&self.settings);
                self.entries[n] = super::Entry::new(n, &settings, life, self.now);
            }
            Node::Agent(n) => self.agents[n].restart(),
            Node::Worker(n) => {
                self.workers[n].restart(self.now);
                let present = self.workers[n].present();
                self.see(&present);
            }
            Node::Log | Node::Callers => {}
        }
    }

    /// Pauses a process for a time. Messages wait for it.
    pub fn freeze(&mut self, node: Node, time: u64) {
        if self.down.contains(&node) || self.frozen.contains_key(&node) {
            return;
        }
        self.touched.insert(node);
        self.frozen.insert(node, Vec::new());
        if let Node::Worker(n) = node {
            let worker = self.workers[n].name.clone();
            self.see(&Obs::Frozen(worker));
        }
        self.at(self.now + Millis(time), Event::Wake(node));
    }

    pub(crate) fn wake(&mut self, node: Node) {
        let Some(inbox) = self.frozen.remove(&node) else {
            return;
        };
        self.release(node);
        if let Node::Worker(n) = node {
            self.workers[n].advance(self.now);
            self.worker_news(n);
            let worker = self.workers[n].name.clone();
            self.see(&Obs::Woken(worker));
        }
        for message in inbox {
            self.deliver(message);
        }
    }

    /// Notes that a process runs again. It stays touched if its links are faulty.
    fn release(&mut self, node: Node) {
        self.clear.insert(node, self.now);
        if !self.links.concern(node) {
            self.touched.remove(&node);
        }
    }

    /// Takes the log down for a time, right after what it is doing.
    pub fn log_down(&mut self) {
        self.touched.insert(Node::Log);
        self.at(self.now, Event::LogDown);
    }

    /// Ends the faults of the links and of the log after a time.
    pub fn heal_after(&mut self, time: u64) {
        self.at(self.now + Millis(time), Event::Heal);
    }

    pub(crate) fn heal(&mut self) {
        self.links.heal();
        self.log.down = false;
        for node in std::mem::take(&mut self.touched) {
            let planned = matches!(node, Node::Agent(n) if self.planned.contains(&n));
            let down = self.down.contains(&node) && !planned;
            if down || self.frozen.contains_key(&node) {
                self.touched.insert(node);
            } else {
                self.clear.insert(node, self.now);
            }
        }
    }

    /// Tells whether a process is down, frozen or behind a faulty link.
    #[must_use]
    pub fn is_healed(&self) -> bool {
        let gone = |node: &Node| match node {
            Node::Agent(n) => self.down.contains(node) && !self.planned.contains(n),
            node => self.down.contains(node),
        };
        let down = self.down.iter().any(gone);
        self.touched.is_empty() && self.frozen.is_empty() && !down && !self.log.down
    }

    /// Makes an entry take its configuration for fresh whatever its age, for a broken variant.
    pub fn make_gullible(&mut self, entry: usize) {
        self.entries[entry].gullible = true;
    }

    /// Makes an agent take older copies of the configuration, for a broken variant.
    pub fn make_forgetful(&mut self, agent: usize) {
        self.agents[agent].forgets = true;
    }

    /// Makes an agent ignore the configuration and its entries, for a broken variant.
    pub fn make_deaf(&mut self, agent: usize) {
        self.agents[agent].ignores = true;
    }

    /// Tells whether the message goes from an entry to another process.
    #[must_use]
    pub fn is_from_entry(message: &Message) -> bool {
        matches!(message.from, Node::Entry(_))
    }
}
