//! Simulated links between processes, with their faults.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;

use super::nodes::{Message, Node};

/// Longest extra delay of a reordered or duplicated message, in milliseconds.
const REORDER_DELAY_MS: u64 = 700;

/// Faults of the links that are currently active.
#[derive(Debug, Default)]
pub(crate) struct Links {
    /// Processes whose outgoing messages are lost.
    pub(crate) send_blocked: BTreeSet<Node>,
    /// Processes whose incoming messages are lost.
    pub(crate) receive_blocked: BTreeSet<Node>,
    /// Extra delay of messages from and to a process, in milliseconds.
    pub(crate) extra_delay: BTreeMap<Node, u64>,
    /// Processes whose messages are delivered twice.
    pub(crate) duplicated: BTreeSet<Node>,
    /// Processes whose messages are reordered by random delays.
    pub(crate) reordered: BTreeSet<Node>,
    /// Exchanges whose replies are lost.
    pub(crate) lost_replies: BTreeSet<u64>,
    /// Processes that can't reach the log.
    pub(crate) log_blocked: BTreeSet<Node>,
    /// Processes in a partition, which reach each other only.
    pub(crate) partitioned: BTreeSet<Node>,
    /// Number of messages that faults lost, delayed or duplicated.
    pub(crate) affected_messages: u64,
}

impl Links {
    /// Returns the delays after which copies of a message arrive; none if it is lost.
    pub(crate) fn delays(&mut self, message: &Message, rng: &mut SmallRng) -> Vec<u64> {
        let (from, to) = (message.from, message.to);
        let is_blocked = |node| self.log_blocked.contains(&node);
        let is_log_blocked =
            (from == Node::Log && is_blocked(to)) || (to == Node::Log && is_blocked(from));
        let lost = message.body.is_reply() && self.lost_replies.contains(&message.rpc);
        let partitioned = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        if partitioned
            || is_log_blocked
            || lost
            || self.send_blocked.contains(&from)
            || self.receive_blocked.contains(&to)
        {
            self.affected_messages += 1;
            return Vec::new();
        }
        let ends = [from, to];
        self.affected_messages += u64::from(self.is_altered(message));
        let extra_delay: u64 = ends
            .iter()
            .filter_map(|node| self.extra_delay.get(node))
            .sum();
        let reordered = ends.iter().any(|node| self.reordered.contains(node));
        let extra = if reordered {
            rng.random_range(0..REORDER_DELAY_MS)
        } else {
            0
        };
        let delay = 1 + rng.random_range(0..3) + extra_delay + extra;
        let duplicated = self.duplicated.contains(&from) || self.duplicated.contains(&to);
        if duplicated && message.body.allows_duplicates() {
            vec![delay, delay + rng.random_range(1..REORDER_DELAY_MS)]
        } else {
            vec![delay]
        }
    }

    /// Returns whether a fault delays or duplicates a message.
    fn is_altered(&self, message: &Message) -> bool {
        let duplicated = message.body.allows_duplicates();
        [message.from, message.to].iter().any(|node| {
            let late = self.extra_delay.contains_key(node) || self.reordered.contains(node);
            late || duplicated && self.duplicated.contains(node)
        })
    }

    /// Returns whether a fault affects a process's links.
    pub(crate) fn is_affected(&self, node: Node) -> bool {
        let sets = [
            &self.send_blocked,
            &self.receive_blocked,
            &self.duplicated,
            &self.reordered,
            &self.log_blocked,
            &self.partitioned,
        ];
        self.extra_delay.contains_key(&node) || sets.iter().any(|set| set.contains(&node))
    }

    /// Ends all faults of the links.
    pub(crate) fn end_faults(&mut self) {
        *self = Self {
            affected_messages: self.affected_messages,
            ..Self::default()
        };
    }
}
