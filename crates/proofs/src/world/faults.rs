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

    /// Loses all messages of a process.
    pub fn cut(&mut self, node: Node) {
        self.links(node).mute.insert(node);
    }

    /// Notes that a fault touches a process, so that it need not have what others have.
    pub fn touch(&mut self, node: Node) {
        self.touched.insert(node);
    }

    /// Returns the links, to set faults on them. The process is noted as touched.
    pub(crate) fn links(&mut self, node: Node) -> &mut Links {
        self.touched.insert(node);
        &mut self.links
    }

    /// Ends a process and starts another in its place after `time`; `None` for not at all.
    pub fn kill(&mut self, node: Node, time: Option<u64>) {
        if !self.down.insert(node) {
            self.missed = true;
            return;
        }
        self.tape.fault(self.now, node, "is killed");
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

    /// Starts a new process under the name of an entry while its earlier one runs on in a
    /// partition, together with another entry and a worker. The new one states that it has been up
    /// since `started`.
    pub fn replace_in_partition(
        &mut self,
        entry: usize,
        with: usize,
        worker: usize,
        started: Millis,
    ) {
        let life = self.entries[entry].life + 1_000;
        let settings = std::sync::Arc::clone(&self.settings);
        let next = super::Entry::new(entry, &settings, life, started);
        let mut earlier = std::mem::replace(&mut self.entries[entry], next);
        let number = self.entries.len();
        earlier.number = number;
        self.entries.push(earlier);
        self.earlier = Some(entry);
        let apart = [Node::Entry(number), Node::Entry(with), Node::Worker(worker)];
        self.touched.extend(apart);
        self.touched.insert(Node::Entry(entry));
        self.links.apart.extend(apart);
        self.at(self.now, Event::Tick(Node::Entry(number)));
    }

    /// Lets processes reach each other and no other one; replaces an earlier partition.
    pub fn separate(&mut self, nodes: &[Node]) {
        self.touched.extend(nodes);
        self.links.apart = nodes.iter().copied().collect();
    }

    /// Returns the message with the earlier process of a replaced entry as its receiver, if the
    /// sender is on its side of the partition.
    pub(crate) fn redirect(&self, message: &Message) -> Option<Message> {
        let entry = self.earlier?;
        let side = self.links.apart.contains(&message.from);
        (side && message.to == Node::Entry(entry)).then(|| {
            let to = Node::Entry(self.entries.len() - 1);
            Message {
                to,
                ..message.clone()
            }
        })
    }

    /// Returns how many messages a fault of a link or of the log has hit.
    #[must_use]
    pub const fn hits(&self) -> u64 {
        self.links.hits
    }

    /// Starts a process that ended.
    pub fn restart(&mut self, node: Node) {
        if !self.down.remove(&node) {
            return;
        }
        self.tape.fault(self.now, node, "starts again");
        self.release(node);
        match node {
            Node::Entry(n) => {
                let life = self.entries[n].life + 1_000;
                let settings = std::sync::Arc::clone(&self.settings);
                self.entries[n] = super::Entry::new(n, &settings, life, self.now);
            }
            Node::Agent(n) => {
                self.agents[n].restart();
                let agent = self.agents[n].name.clone();
                self.see(&Obs::Leaving {
                    agent,
                    leaving: false,
                });
            }
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
            self.missed = true;
            return;
        }
        self.tape.fault(self.now, node, "is frozen");
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
        self.tape.fault(self.now, node, "wakes");
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

    /// Ends the faults of the links and of the log after a time; of several, after the longest.
    pub fn heal_after(&mut self, time: u64) {
        self.healing = self.healing.max(self.now + Millis(time));
        self.at(self.now + Millis(time), Event::Heal);
    }

    pub(crate) fn heal(&mut self) {
        if self.now < self.healing {
            return;
        }
        self.links.heal();
        if std::mem::take(&mut self.log.down) {
            self.tape.fault(self.now, Node::Log, "is back");
        }
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

    /// Lets another copy of a message arrive after a time.
    pub fn deliver_again(&mut self, message: &Message, time: u64) {
        let event = Event::Deliver(Box::new(message.clone()));
        self.at(self.now + Millis(time), event);
    }

    /// Lets a worker fail all that it starts, or ends that.
    pub fn fail_worker(&mut self, n: usize, fails: bool) {
        let text = if fails {
            "fails all it starts"
        } else {
            "works again"
        };
        self.tape.fault(self.now, Node::Worker(n), text);
        self.workers[n].set_fails(self.now, fails);
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

    /// Makes all entries drop records that expired before they were read, for a broken variant.
    pub fn drop_lost_records(&mut self) {
        let drivers = self.entries.iter_mut().flat_map(|e| e.cells.values_mut());
        drivers.for_each(|driver| driver.careless = true);
    }

    /// Delivers a second copy of a message after a time.
    pub fn repeat(&mut self, message: &Message, time: u64) {
        let copy = Event::Deliver(Box::new(message.clone()));
        self.at(self.now + Millis(time), copy);
    }
}
