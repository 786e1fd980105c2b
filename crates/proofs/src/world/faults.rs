//! Faults of processes, links and the log.

use hyssop_core::Millis;

use super::{Event, Inject, Links, Message, Node, Tamper, Trigger, World};
use crate::invariants::Observation;

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
    pub fn block_outgoing(&mut self, node: Node) {
        self.faulty_links(node).send_blocked.insert(node);
    }

    /// Notes that a fault touches a process, so that it need not have what others have.
    pub fn mark_affected(&mut self, node: Node) {
        self.affected.insert(node);
    }

    /// Returns the links, to set faults on them. The process is noted as touched.
    pub(crate) fn faulty_links(&mut self, node: Node) -> &mut Links {
        self.affected.insert(node);
        &mut self.links
    }

    /// Ends a process and starts another in its place after `time`; `None` for not at all.
    pub fn kill(&mut self, node: Node, time: Option<u64>) {
        if !self.down.insert(node) {
            self.fault_missed = true;
            return;
        }
        self.recording.record_fault(self.now, node, "is killed");
        self.affected.insert(node);
        self.frozen.remove(&node);
        if let Node::Worker(n) = node {
            for obs in self.workers[n].kill() {
                self.observe(&obs);
            }
        }
        if let Some(time) = time {
            self.schedule(self.now + Millis(time), Event::Restart(node));
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
        let incarnation = self.entries[entry].incarnation + 1_000;
        let settings = std::sync::Arc::clone(&self.settings);
        let next = super::Entry::new(entry, &settings, incarnation, started);
        let mut earlier = std::mem::replace(&mut self.entries[entry], next);
        let number = self.entries.len();
        earlier.number = number;
        self.entries.push(earlier);
        self.replaced_entry = Some(entry);
        let partitioned = [Node::Entry(number), Node::Entry(with), Node::Worker(worker)];
        self.affected.extend(partitioned);
        self.affected.insert(Node::Entry(entry));
        self.links.partitioned.extend(partitioned);
        self.schedule(self.now, Event::Tick(Node::Entry(number)));
    }

    /// Lets processes reach each other and no other one; replaces an earlier partition.
    pub fn partition(&mut self, nodes: &[Node]) {
        self.affected.extend(nodes);
        self.links.partitioned = nodes.iter().copied().collect();
    }

    /// Returns the message with the earlier process of a replaced entry as its receiver, if the
    /// sender is on its side of the partition.
    pub(crate) fn redirect_to_earlier(&self, message: &Message) -> Option<Message> {
        let entry = self.replaced_entry?;
        let side = self.links.partitioned.contains(&message.from);
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
    pub const fn affected_messages(&self) -> u64 {
        self.links.affected_messages
    }

    /// Starts a process that ended.
    pub fn restart(&mut self, node: Node) {
        if !self.down.remove(&node) {
            return;
        }
        self.recording.record_fault(self.now, node, "starts again");
        self.mark_healthy(node);
        match node {
            Node::Entry(n) => {
                let incarnation = self.entries[n].incarnation + 1_000;
                let settings = std::sync::Arc::clone(&self.settings);
                self.entries[n] = super::Entry::new(n, &settings, incarnation, self.now);
            }
            Node::Agent(n) => {
                self.agents[n].restart();
                let agent = self.agents[n].name.clone();
                self.observe(&Observation::ServerLeaving {
                    agent,
                    is_leaving: false,
                });
            }
            Node::Worker(n) => {
                self.workers[n].restart(self.now);
                let registration = self.workers[n].registration();
                self.observe(&registration);
            }
            Node::Log | Node::Callers => {}
        }
    }

    /// Pauses a process for a time. Messages wait for it.
    pub fn freeze(&mut self, node: Node, time: u64) {
        if self.down.contains(&node) || self.frozen.contains_key(&node) {
            self.fault_missed = true;
            return;
        }
        self.recording.record_fault(self.now, node, "is frozen");
        self.affected.insert(node);
        self.frozen.insert(node, Vec::new());
        if let Node::Worker(n) = node {
            let worker = self.workers[n].name.clone();
            self.observe(&Observation::WorkerFrozen(worker));
        }
        self.schedule(self.now + Millis(time), Event::Resume(node));
    }

    pub(crate) fn resume(&mut self, node: Node) {
        let Some(inbox) = self.frozen.remove(&node) else {
            return;
        };
        self.recording.record_fault(self.now, node, "wakes");
        self.mark_healthy(node);
        if let Node::Worker(n) = node {
            self.workers[n].advance(self.now);
            self.observe_worker(n);
            let worker = self.workers[n].name.clone();
            self.observe(&Observation::WorkerResumed(worker));
        }
        for message in inbox {
            self.deliver(message);
        }
    }

    /// Notes that a process runs again. It stays touched if its links are faulty.
    fn mark_healthy(&mut self, node: Node) {
        self.healthy_since.insert(node, self.now);
        if !self.links.is_affected(node) {
            self.affected.remove(&node);
        }
    }

    /// Takes the log down for a time, right after what it is doing.
    pub fn log_down(&mut self) {
        self.affected.insert(Node::Log);
        self.schedule(self.now, Event::LogDown);
    }

    /// Ends the faults of the links and of the log after a time; of several, after the longest.
    pub fn end_faults_after(&mut self, time: u64) {
        self.faults_end_at = self.faults_end_at.max(self.now + Millis(time));
        self.schedule(self.now + Millis(time), Event::EndFaults);
    }

    pub(crate) fn end_faults(&mut self) {
        if self.now < self.faults_end_at {
            return;
        }
        self.links.end_faults();
        if std::mem::take(&mut self.log.down) {
            self.recording.record_fault(self.now, Node::Log, "is back");
        }
        for node in std::mem::take(&mut self.affected) {
            let is_planned_stop = matches!(node, Node::Agent(n) if self.planned_stops.contains(&n));
            let down = self.down.contains(&node) && !is_planned_stop;
            if down || self.frozen.contains_key(&node) {
                self.affected.insert(node);
            } else {
                self.healthy_since.insert(node, self.now);
            }
        }
    }

    /// Lets another copy of a message arrive after a time.
    pub fn deliver_again(&mut self, message: &Message, time: u64) {
        let event = Event::Deliver(Box::new(message.clone()));
        self.schedule(self.now + Millis(time), event);
    }

    /// Lets a worker fail all that it starts, or ends that.
    pub fn fail_worker(&mut self, n: usize, fails: bool) {
        let text = if fails {
            "fails all it starts"
        } else {
            "works again"
        };
        self.recording.record_fault(self.now, Node::Worker(n), text);
        self.workers[n].set_fails(self.now, fails);
    }

    /// Tells whether a process is down, frozen or behind a faulty link.
    #[must_use]
    pub fn is_healed(&self) -> bool {
        let is_lost = |node: &Node| match node {
            Node::Agent(n) => self.down.contains(node) && !self.planned_stops.contains(n),
            node => self.down.contains(node),
        };
        let down = self.down.iter().any(is_lost);
        self.affected.is_empty() && self.frozen.is_empty() && !down && !self.log.down
    }

    /// Makes an entry take its configuration for fresh whatever its age, for a broken variant.
    pub fn ignore_conf_age(&mut self, entry: usize) {
        self.entries[entry].ignores_conf_age = true;
    }

    /// Makes an agent take older copies of the configuration, for a broken variant.
    pub fn accept_old_confs(&mut self, agent: usize) {
        self.agents[agent].accepts_old_confs = true;
    }

    /// Makes an agent ignore the configuration and its entries, for a broken variant.
    pub fn ignore_confs(&mut self, agent: usize) {
        self.agents[agent].ignores_conf = true;
    }

    /// Makes all entries drop records that expired before they were read, for a broken variant.
    pub fn drop_expired_records(&mut self) {
        let drivers = self.entries.iter_mut().flat_map(|e| e.cells.values_mut());
        drivers.for_each(|driver| driver.drops_expired = true);
    }

    /// Delivers a second copy of a message after a time.
    pub fn deliver_copy(&mut self, message: &Message, time: u64) {
        let copy = Event::Deliver(Box::new(message.clone()));
        self.schedule(self.now + Millis(time), copy);
    }
}
