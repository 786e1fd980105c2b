//! Faults of processes, links and the log.

use hyssop_core::Millis;

use super::{Event, Inject, Links, Message, Node, Tamper, Trigger, World};
use crate::invariants::Observation;

impl World {
    /// Injects a fault at the next message that matches the trigger.
    pub fn arm(&mut self, trigger: Trigger, inject: Inject) {
        self.trigger = Some((trigger, inject));
    }

    /// Installs a function that may change each message before delivery.
    pub fn tamper(&mut self, tamper: Tamper) {
        self.tamper = Some(tamper);
    }

    /// Drops all messages that a process sends.
    pub fn block_outgoing(&mut self, node: Node) {
        self.faulty_links(node).send_blocked.insert(node);
    }

    /// Marks a process as affected by a fault, so that the invariants don't require it to be
    /// current.
    pub fn mark_affected(&mut self, node: Node) {
        self.affected.insert(node);
    }

    /// Marks a process as affected and returns the links, for setting faults on them.
    pub(crate) fn faulty_links(&mut self, node: Node) -> &mut Links {
        self.affected.insert(node);
        &mut self.links
    }

    /// Kills a process and restarts it after the given time, or never without one.
    pub fn kill(&mut self, node: Node, restart_after_ms: Option<u64>) {
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
        if let Some(restart_after_ms) = restart_after_ms {
            self.schedule(self.now + Millis(restart_after_ms), Event::Restart(node));
        }
    }

    /// Starts a new process under the name of an entry while the earlier process continues to run
    /// in a partition with the entry `with` and a worker. The new process reports that it has been
    /// up since `started`.
    pub fn replace_in_partition(
        &mut self,
        entry: usize,
        with: usize,
        worker: usize,
        started_at: Millis,
    ) {
        let incarnation = self.entries[entry].incarnation + 1_000;
        let settings = std::sync::Arc::clone(&self.settings);
        let next = super::Entry::new(entry, &settings, incarnation, started_at);
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

    /// Separates the given processes from all others; replaces an earlier partition.
    pub fn partition(&mut self, nodes: &[Node]) {
        self.affected.extend(nodes);
        self.links.partitioned = nodes.iter().copied().collect();
    }

    /// Returns the message with the earlier process of a replaced entry as its receiver, if the
    /// sender is on that process's side of the partition.
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

    /// Returns the number of messages that faults of links or of the log affected.
    #[must_use]
    pub const fn affected_messages(&self) -> u64 {
        self.links.affected_messages
    }

    /// Restarts a process that is down.
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

    /// Pauses a process for `duration_ms`. Its messages are queued meanwhile.
    pub fn freeze(&mut self, node: Node, duration_ms: u64) {
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
        self.schedule(self.now + Millis(duration_ms), Event::Resume(node));
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

    /// Marks a process as running again. It stays affected if its links are faulty.
    fn mark_healthy(&mut self, node: Node) {
        self.healthy_since.insert(node, self.now);
        if !self.links.is_affected(node) {
            self.affected.remove(&node);
        }
    }

    /// Takes the log down after the current event, until the faults end.
    pub fn log_down(&mut self) {
        self.affected.insert(Node::Log);
        self.schedule(self.now, Event::LogDown);
    }

    /// Ends the faults of the links and of the log after `delay_ms`. With several calls, the latest
    /// end counts.
    pub fn end_faults_after(&mut self, delay_ms: u64) {
        self.faults_end_at = self.faults_end_at.max(self.now + Millis(delay_ms));
        self.schedule(self.now + Millis(delay_ms), Event::EndFaults);
    }

    pub(crate) fn end_faults(&mut self) {
        if self.now < self.faults_end_at {
            return;
        }
        self.links.end_faults();
        if std::mem::take(&mut self.log.is_down) {
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

    /// Delivers another copy of a message after `delay_ms`.
    pub fn deliver_again(&mut self, message: &Message, delay_ms: u64) {
        let event = Event::Deliver(Box::new(message.clone()));
        self.schedule(self.now + Millis(delay_ms), event);
    }

    /// Sets whether a worker fails each task that it starts.
    pub fn fail_worker(&mut self, n: usize, fails: bool) {
        let text = if fails {
            "fails all it starts"
        } else {
            "works again"
        };
        self.recording.record_fault(self.now, Node::Worker(n), text);
        self.workers[n].set_fails(self.now, fails);
    }

    /// Returns whether no process is down, frozen or behind a faulty link, except for planned
    /// stops.
    #[must_use]
    pub fn is_healed(&self) -> bool {
        let is_lost = |node: &Node| match node {
            Node::Agent(n) => self.down.contains(node) && !self.planned_stops.contains(n),
            node => self.down.contains(node),
        };
        let down = self.down.iter().any(is_lost);
        self.affected.is_empty() && self.frozen.is_empty() && !down && !self.log.is_down
    }

    /// Makes an entry consider its configuration fresh regardless of its age, for a broken variant.
    pub fn ignore_conf_age(&mut self, entry: usize) {
        self.entries[entry].ignores_conf_age = true;
    }

    /// Makes an agent accept older copies of the configuration, for a broken variant.
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

    /// Delivers a second copy of a message after `delay_ms`.
    pub fn deliver_copy(&mut self, message: &Message, delay_ms: u64) {
        let copy = Event::Deliver(Box::new(message.clone()));
        self.schedule(self.now + Millis(delay_ms), copy);
    }
}
