//! Faults and their injection.

use super::{Case, Side, outage, steps};
use crate::world::{Message, Node, World};

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends and is replaced.
    Kill,
    /// The process pauses.
    Freeze,
    /// No message reaches or leaves the process.
    CutBoth,
    /// No message leaves the process.
    CutOut,
    /// No message reaches the process.
    CutIn,
    /// Every message of the process is late.
    Slow,
    /// Messages of the process are delivered twice.
    Duplicate,
    /// Messages of the process overtake each other.
    Reorder,
    /// The answer to the step's message is lost after it took effect.
    AnswerLost,
    /// The log is down for less than `FRESH_LIMIT`.
    LogShort,
    /// The log is down for longer than a lease.
    LogLong,
    /// The log is down for longer than it keeps records.
    LogBeyond,
    /// Only one side reaches the log.
    LogOneSide,
    /// The process pauses for longer than a lease or the validity of a ticket.
    Lapsed,
    /// Two operators make different changes of the same domain.
    Race,
    /// All processes of the system are replaced.
    ReplaceAll,
}

/// All faults.
pub const FAULTS: [Fault; 16] = [
    Fault::Kill,
    Fault::Freeze,
    Fault::CutBoth,
    Fault::CutOut,
    Fault::CutIn,
    Fault::Slow,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::AnswerLost,
    Fault::LogShort,
    Fault::LogLong,
    Fault::LogBeyond,
    Fault::LogOneSide,
    Fault::Lapsed,
    Fault::Race,
    Fault::ReplaceAll,
];

/// Extra delay on a slow link, in milliseconds.
const SLOW: u64 = 400;

impl Fault {
    /// Longest time that a fault lasts, in milliseconds.
    pub const LONGEST: u64 = 75_000;

    /// Tells whether the fault is one of a single process.
    #[must_use]
    pub const fn has_side(self) -> bool {
        !matches!(
            self,
            Self::AnswerLost
                | Self::LogShort
                | Self::LogLong
                | Self::LogBeyond
                | Self::Race
                | Self::ReplaceAll
        )
    }

    /// Returns how long the fault lasts, in milliseconds.
    pub(crate) const fn lasts(self) -> u64 {
        match self {
            Self::Kill | Self::Freeze => 6_000,
            Self::CutBoth | Self::CutOut | Self::CutIn => 8_000,
            Self::Slow | Self::Duplicate | Self::Reorder | Self::LogOneSide => 8_000,
            Self::AnswerLost | Self::Race | Self::ReplaceAll => 3_000,
            Self::LogShort => 2_000,
            Self::LogLong => 30_000,
            Self::LogBeyond => Self::LONGEST,
            Self::Lapsed => 20_000,
        }
    }
}

/// Injects the fault of a case at the message of its step.
pub(crate) fn inject(world: &mut World, case: Case, message: &Message) {
    let target = steps::target(world, case, message);
    hit(world, case, target, message.from);
    match case.fault {
        Fault::AnswerLost | Fault::LogShort | Fault::LogLong | Fault::LogBeyond => {
            world.links(message.from).unanswered.insert(message.rpc);
        }
        _ => {}
    }
}

/// Injects the fault of a case wherever its target is now.
pub(crate) fn inject_now(world: &mut World, case: Case) {
    let target = steps::bystander(world, case);
    hit(world, case, target, target);
}

fn hit(world: &mut World, case: Case, target: Node, actor: Node) {
    // A ticket is valid for 60 s.
    let lasts = match (case.fault, target) {
        (Fault::Lapsed, Node::Agent(_)) => 65_000,
        (fault, _) => outage(fault).0,
    };
    match case.fault {
        Fault::Kill => world.kill(target, Some(lasts)),
        Fault::Freeze | Fault::Lapsed => world.freeze(target, lasts),
        Fault::CutBoth => {
            world.links(target).mute.insert(target);
            world.links(target).deaf.insert(target);
        }
        Fault::CutOut => {
            world.links(target).mute.insert(target);
        }
        Fault::CutIn => {
            world.links(target).deaf.insert(target);
        }
        Fault::Slow => {
            world.links(target).slow.insert(target, SLOW);
        }
        Fault::Duplicate => {
            world.links(target).twice.insert(target);
        }
        Fault::Reorder => {
            world.links(target).mixed.insert(target);
        }
        Fault::AnswerLost => {}
        Fault::LogShort | Fault::LogLong | Fault::LogBeyond => world.log_down(),
        Fault::LogOneSide => cut_log(world, case.side, actor),
        Fault::Race => {
            let domain = world.cell(0).domain;
            world.raced = world.race(&domain);
        }
        Fault::ReplaceAll => {
            for n in 0..3 {
                world.kill(Node::Entry(n), Some(1_000));
                world.kill(Node::Agent(n), Some(1_000));
            }
        }
    }
    world.heal_after(lasts + 50);
}

/// Lets only the actor reach the log, or all other entries.
fn cut_log(world: &mut World, side: Side, actor: Node) {
    for node in (0..3).map(Node::Entry) {
        let actor = node == actor;
        if actor == (side == Side::Other) {
            world.links(node).unlogged.insert(node);
        }
    }
}

/// Checks that what the fault is about has happened.
pub(crate) fn check_injected(world: &World, case: Case) {
    match case.fault {
        Fault::LogBeyond => assert!(
            world.has_lost_records(),
            "{case}, seed {}: no record has expired",
            world.seed
        ),
        Fault::Race => assert!(
            world.raced.is_some(),
            "{case}, seed {}: nobody raced",
            world.seed
        ),
        _ => {}
    }
}
