//! Replies of a worker with false contents.

use hyssop_core::{
    Attempt, Class, Event, EventKind, Incarnation, JobCall, JobId, Millis, OrderReject, PollReply,
    Resources, RunningTask, Usage, WorkerTimestamp,
};
use proptest::prelude::*;

use crate::config;
use crate::owner::{Owner, job, spec};

/// Returns any number, more often one at the ends of the range.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(2), Just(u64::MAX), any::<u64>()]
}

fn attempt() -> impl Strategy<Value = Attempt> {
    prop_oneof![Just(0), Just(1), Just(2), Just(u32::MAX), any::<u32>()].prop_map(Attempt)
}

fn resources() -> impl Strategy<Value = Resources> {
    let one = || prop_oneof![Just(0), Just(1_000), Just(u32::MAX), any::<u32>()];
    (one(), one(), one()).prop_map(|(cpu, mem, accel)| Resources { cpu, mem, accel })
}

fn name() -> impl Strategy<Value = JobId> {
    prop_oneof![
        4 => (0..3_usize).prop_map(job),
        1 => Just(JobId::new("standing-cuts-a.0-0").unwrap()),
        1 => Just(JobId::new("nobody").unwrap()),
    ]
}

fn event(kind: impl Strategy<Value = EventKind>) -> impl Strategy<Value = Event> {
    (number(), name(), attempt(), kind).prop_map(|(seq, job, attempt, kind)| Event {
        seq,
        job,
        attempt,
        kind,
    })
}

fn end_without_result() -> impl Strategy<Value = EventKind> {
    prop_oneof![
        Just(EventKind::Started),
        Just(EventKind::Stopped),
        number().prop_map(|checkpoint| EventKind::Evicted { checkpoint }),
        prop_oneof![Just(0), Just(100_000_usize)].prop_map(|len| EventKind::Failed {
            cause: "x".repeat(len)
        }),
    ]
}

fn result() -> impl Strategy<Value = EventKind> {
    let len = prop_oneof![Just(0), Just(100_000_usize)];
    len.prop_map(|len| EventKind::Finished {
        result: "x".repeat(len),
    })
}

fn usage() -> impl Strategy<Value = Usage> {
    let numbers = (number(), number(), number(), any::<u32>());
    (name(), attempt(), resources(), numbers).prop_map(|(job, attempt, used, numbers)| Usage {
        job,
        attempt,
        sample_age: Millis(numbers.0),
        used,
        work_done: numbers.1,
        checkpoint: numbers.2,
        slowdown: numbers.3,
    })
}

fn running() -> impl Strategy<Value = RunningTask> {
    (name(), attempt(), resources(), number()).prop_map(|(job, attempt, needs, checkpoint)| {
        RunningTask {
            job,
            attempt,
            class: Class::Batch,
            needs,
            checkpoint,
        }
    })
}

/// False contents that replace or extend those of a worker's reply.
#[derive(Clone, Debug)]
struct FalseReply {
    /// Incarnation and time of the worker timestamp.
    timestamp: Option<(u64, u64)>,
    capacity: Option<Resources>,
    events: Vec<Event>,
    usage: Vec<Usage>,
    inventory: Option<Vec<RunningTask>>,
    rejected: Vec<u32>,
}

fn false_reply(kind: impl Strategy<Value = EventKind>) -> impl Strategy<Value = FalseReply> {
    use prop::collection::vec;
    use prop::option::of;
    let parts = (
        of((number(), number())),
        of(resources()),
        vec(event(kind), 0..6),
        vec(usage(), 0..4),
        of(vec(running(), 0..4)),
        vec(any::<u32>(), 0..3),
    );
    parts.prop_map(
        |(timestamp, capacity, events, usage, inventory, rejected)| FalseReply {
            timestamp,
            capacity,
            events,
            usage,
            inventory,
            rejected,
        },
    )
}

impl FalseReply {
    fn apply(self, reply: &mut PollReply) {
        if let Some((incarnation, at)) = self.timestamp {
            reply.timestamp = WorkerTimestamp {
                incarnation: Incarnation(incarnation),
                at: Millis(at),
            };
        }
        reply.capacity = self.capacity.unwrap_or(reply.capacity);
        reply.events.extend(self.events);
        reply.usage.extend(self.usage);
        reply.inventory = self.inventory.or(reply.inventory.take());
        let rejected = self.rejected.into_iter();
        reply
            .rejected
            .extend(rejected.map(|at| (at, OrderReject::NoCapacity)));
    }
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against replies that make the owner panic, append without limit or stop replying to
    /// callers.
    #[test]
    fn an_owner_survives_false_replies(
        replies in prop::collection::vec(false_reply(end_without_result()), 1..12),
    ) {
        check_owner(replies)?;
    }

    /// Guards against the same with results, also of attempts that are not open.
    #[test]
    fn an_owner_survives_false_results(
        replies in prop::collection::vec(false_reply(result()), 1..12),
    ) {
        check_owner(replies)?;
    }
}

fn check_owner(replies: Vec<FalseReply>) -> Result<(), TestCaseError> {
    let mut owner = Owner::new();
    for number in 0..3 {
        owner.call(JobCall::Submit(spec(number)));
    }
    owner.run(2_000);
    let before = owner.stream.len();
    let count = replies.len();
    let mut replies = replies.into_iter();
    owner.change_reply = Some(Box::new(move |reply| {
        if let Some(false_reply) = replies.next() {
            false_reply.apply(reply);
        }
    }));
    owner.run(30_000);
    // A few records for each reply, and the regular ones of the jobs.
    let appended = owner.stream.len() - before;
    prop_assert!(appended < 40 + 20 * count, "{} records", appended);
    let show = owner.call(JobCall::Show(job(0)));
    owner.run(100);
    prop_assert!(owner.replies.contains_key(&show), "the call has no reply");
    Ok(())
}
