//! Kinds of faults and their injection.

use super::{Case, Side, duration, steps};
use crate::world::{Message, Node, World};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and replaced.
    Kill,
    /// The process is paused for less than a lease.
    Freeze,
    /// No message reaches or leaves the process.
    CutBoth,
    /// No message leaves the process.
    CutOut,
    /// No message reaches the process.
    CutIn,
    /// Every message from or to the process is delayed.
    Slow,
    /// Messages from or to the process are delivered twice.
    Duplicate,
    /// Messages from or to the process are reordered.
    Reorder,
    /// The reply to the step's message is lost after the message took effect.
    AnswerLost,
    /// The log is down for less than `FRESHNESS_LIMIT`.
    LogShort,
    /// The log is down for longer than a lease.
    LogLong,
    /// The log is down for longer than its retention, so records expire.
    LogBeyond,
    /// Only the actor reaches the log, or only the other entries do, depending on the side.
    LogOneSide,
    /// The process is paused for longer than a lease or the validity of a ticket.
    Lapsed,
    /// Two operators submit conflicting changes of the same domain at once.
    Race,
    /// All entries and agents are killed and replaced.
    ReplaceAll,
}

/// All kinds of faults, in the order of the matrix.
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
const SLOW_LINK_DELAY_MS: u64 = 400;

impl Fault {
    /// Longest duration of a fault, in milliseconds.
    pub const MAX_DURATION_MS: u64 = 75_000;

    /// Returns whether the fault hits a single process, so that the side matters.
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

    /// Returns the duration of the fault in milliseconds.
    pub(crate) const fn duration_ms(self) -> u64 {
        match self {
            Self::Kill | Self::Freeze => 6_000,
            Self::CutBoth | Self::CutOut | Self::CutIn => 8_000,
            Self::Slow | Self::Duplicate | Self::Reorder | Self::LogOneSide => 8_000,
            Self::AnswerLost | Self::Race | Self::ReplaceAll => 3_000,
            Self::LogShort => 2_000,
            Self::LogLong => 30_000,
            Self::LogBeyond => Self::MAX_DURATION_MS,
            Self::Lapsed => 20_000,
        }
    }
}

/// Injects the fault of a case when the message of its step is about to be delivered.
pub(crate) fn inject(world: &mut World, case: Case, message: &Message) {
    let target = steps::target(world, case, message);
    apply_fault(world, case, target, message.from);
    match case.fault {
        Fault::AnswerLost | Fault::LogShort | Fault::LogLong | Fault::LogBeyond => {
            world
                .faulty_links(message.from)
                .lost_replies
                .insert(message.rpc);
        }
        _ => {}
    }
}

/// Injects the fault of a case immediately, as the second fault of a run.
pub(crate) fn inject_now(world: &mut World, case: Case) {
    let target = steps::second_target(world, case);
    apply_fault(world, case, target, target);
}

fn apply_fault(world: &mut World, case: Case, target: Node, actor: Node) {
    // A ticket is valid for 60 s.
    let duration_ms = match (case.fault, target) {
        (Fault::Lapsed, Node::Agent(_)) => 65_000,
        (fault, _) => duration(fault).0,
    };
    match case.fault {
        Fault::Kill => world.kill(target, Some(duration_ms)),
        Fault::Freeze | Fault::Lapsed => world.freeze(target, duration_ms),
        Fault::CutBoth => {
            world.faulty_links(target).send_blocked.insert(target);
            world.faulty_links(target).receive_blocked.insert(target);
        }
        Fault::CutOut => {
            world.faulty_links(target).send_blocked.insert(target);
        }
        Fault::CutIn => {
            world.faulty_links(target).receive_blocked.insert(target);
        }
        Fault::Slow => {
            world
                .faulty_links(target)
                .extra_delay
                .insert(target, SLOW_LINK_DELAY_MS);
        }
        Fault::Duplicate => {
            world.faulty_links(target).duplicated.insert(target);
        }
        Fault::Reorder => {
            world.faulty_links(target).reordered.insert(target);
        }
        Fault::AnswerLost => {}
        Fault::LogShort | Fault::LogLong | Fault::LogBeyond => world.log_down(),
        Fault::LogOneSide => block_log(world, case.side, actor),
        Fault::Race => {
            let domain = world.cell(0).domain;
            world.racing_records = world.race_domain_changes(&domain);
        }
        Fault::ReplaceAll => {
            for n in 0..3 {
                world.kill(Node::Entry(n), Some(1_000));
                world.kill(Node::Agent(n), Some(1_000));
            }
            // Some steps have killed a process before, which sets the flag; all other processes
            // ran.
            world.fault_missed = false;
        }
    }
    world.end_faults_after(duration_ms + 50);
}

/// Cuts the log off from all entries except the actor, or from the actor alone.
fn block_log(world: &mut World, side: Side, actor: Node) {
    for node in (0..3).map(Node::Entry) {
        let is_actor = node == actor;
        if is_actor == (side == Side::Other) {
            world.faulty_links(node).log_blocked.insert(node);
        }
    }
}

/// Panics unless the fault took effect: its process was running, or it affected messages.
pub(crate) fn check_injected(world: &World, case: Case) {
    let is_injected = match case.fault {
        Fault::Kill | Fault::Freeze | Fault::Lapsed | Fault::ReplaceAll => !world.fault_missed,
        Fault::Race => world.racing_records.is_some(),
        Fault::LogBeyond => world.affected_messages() > 0 && world.has_lost_records(),
        _ => world.affected_messages() > 0,
    };
    assert!(
        is_injected,
        "{case}, seed {}: the fault was not injected",
        world.seed
    );
}
