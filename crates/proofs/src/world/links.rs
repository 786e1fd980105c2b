//! Links between processes, with their faults.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;

use super::nodes::{Message, Node};

/// Longest extra delay of a message that may be overtaken, in milliseconds.
const OVERTAKE: u64 = 700;

/// Faults of the links in force.
#[derive(Debug, Default)]
pub struct Links {
    /// Processes whose messages are lost.
    pub(crate) mute: BTreeSet<Node>,
    /// Processes that no message reaches.
    pub(crate) deaf: BTreeSet<Node>,
    /// Extra delay of messages from and to a process, in milliseconds.
    pub(crate) slow: BTreeMap<Node, u64>,
    /// Processes whose messages are delivered twice.
    pub(crate) twice: BTreeSet<Node>,
    /// Processes whose messages overtake each other.
    pub(crate) mixed: BTreeSet<Node>,
    /// Exchanges whose answers are lost.
    pub(crate) unanswered: BTreeSet<u64>,
    /// Processes that do not reach the log.
    pub(crate) unlogged: BTreeSet<Node>,
}

impl Links {
    /// Returns the delays after which copies of a message arrive; none if it is lost.
    pub(crate) fn delays(&self, message: &Message, rng: &mut SmallRng) -> Vec<u64> {
        let (from, to) = (message.from, message.to);
        let blind = |node| self.unlogged.contains(&node);
        let logged = (from == Node::Log && blind(to)) || (to == Node::Log && blind(from));
        let lost = message.body.is_answer() && self.unanswered.contains(&message.rpc);
        if logged || lost || self.mute.contains(&from) || self.deaf.contains(&to) {
            return Vec::new();
        }
        let ends = [from, to];
        let slow: u64 = ends.iter().filter_map(|node| self.slow.get(node)).sum();
        let mixed = ends.iter().any(|node| self.mixed.contains(node));
        let extra = if mixed {
            rng.random_range(0..OVERTAKE)
        } else {
            0
        };
        let delay = 1 + rng.random_range(0..3) + slow + extra;
        let twice = self.twice.contains(&from) || self.twice.contains(&to);
        if twice && message.body.may_repeat() {
            vec![delay, delay + rng.random_range(1..OVERTAKE)]
        } else {
            vec![delay]
        }
    }

    /// Tells whether a fault concerns a process.
    pub(crate) fn concern(&self, node: Node) -> bool {
        let sets = [
            &self.mute,
            &self.deaf,
            &self.twice,
            &self.mixed,
            &self.unlogged,
        ];
        self.slow.contains_key(&node) || sets.iter().any(|set| set.contains(&node))
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        *self = Self::default();
    }
}
