//! The life cycle of a failure domain: in service, draining, empty, returning.

use hyssop_core::{CellRecord, DomainState, EvictionCause, JobCall};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::config;
use crate::owner::{Owner, STEP, spec};

/// Time in which a domain with an honest worker is empty: a few rounds of polls, one of which
/// takes a second when the worker was idle.
const EMPTY_LIMIT: u64 = 4_000;
/// Time in which a domain that is back takes work again.
const RETURN_LIMIT: u64 = 5_000;

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Finish(usize),
    Out,
    Back,
    Pass(u64),
}

/// What operators have set, and since when.
#[derive(Clone, Debug, Default)]
struct Set {
    out: Option<u64>,
    time: u64,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Set;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Set> {
        Just(Set::default()).boxed()
    }

    fn transitions(_: &Set) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..30_usize).prop_map(Step::Submit),
            2 => (0..3_usize).prop_map(Step::Finish),
            2 => Just(Step::Out),
            2 => Just(Step::Back),
            4 => (1..20_u64).prop_map(|steps| Step::Pass(steps * STEP)),
            2 => (20..120_u64).prop_map(|steps| Step::Pass(steps * STEP)),
        ]
        .boxed()
    }

    fn apply(mut set: Set, step: &Step) -> Set {
        match step {
            Step::Out => set.out = set.out.or(Some(set.time)),
            Step::Back => set.out = None,
            Step::Pass(time) => set.time += time,
            Step::Submit(_) | Step::Finish(_) => {}
        }
        set.time += STEP;
        set
    }
}

struct DrainTest {
    owner: Owner,
    /// Starts so far when the domain was taken out, while it is out.
    starts: Option<usize>,
}

impl DrainTest {
    /// Jobs that were accepted and have not ended.
    fn unfinished(&self) -> usize {
        let count = |wanted: fn(&CellRecord) -> bool| {
            let all = self.owner.stream.iter();
            all.filter(|record| wanted(&record.body)).count()
        };
        count(|body| matches!(body, CellRecord::Accepted { .. }))
            - count(|body| matches!(body, CellRecord::Finished { .. }))
    }

    fn check(&self, set: &Set) {
        let worker = &self.owner.worker;
        if let Some(starts) = self.starts {
            assert_eq!(worker.starts.len(), starts, "a start while out of service");
        }
        if set.out.is_some_and(|since| set.time >= since + EMPTY_LIMIT) {
            assert!(
                worker.tasks.is_empty(),
                "not empty: {:?}",
                worker.tasks.keys()
            );
        }
        for record in &self.owner.stream {
            if let CellRecord::Released { cause, .. } = &record.body {
                assert_eq!(*cause, EvictionCause::Drain, "nothing else evicts here");
            }
        }
    }
}

impl StateMachineTest for DrainTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Set) -> Self {
        Self {
            owner: Owner::new(),
            starts: None,
        }
    }

    fn apply(mut test: Self, set: &Set, step: Step) -> Self {
        match step {
            Step::Submit(number) => {
                test.owner.call(JobCall::Submit(spec(number)));
            }
            Step::Finish(at) => {
                test.owner.worker.finish(at, true);
            }
            Step::Out => {
                test.owner.domain(DomainState::Out);
                test.starts.get_or_insert(test.owner.worker.starts.len());
            }
            Step::Back => {
                test.owner.domain(DomainState::In);
                test.starts = None;
            }
            Step::Pass(time) => test.owner.run(time),
        }
        test.owner.step();
        test.check(set);
        test
    }

    /// A domain that is back takes work again and ends all of it.
    fn teardown(mut test: Self, _: Set) {
        test.owner.domain(DomainState::In);
        test.owner.run(RETURN_LIMIT);
        // Taken afterwards, because the end of a task is settled a moment after it.
        let waiting = test.unfinished();
        let tasks = test.owner.worker.tasks.len();
        assert!(waiting == 0 || tasks > 0, "{waiting} wait for nothing");
        for _ in 0..40 {
            while test.owner.worker.finish(0, true).is_some() {}
            test.owner.run(1_000);
        }
        assert_eq!(test.unfinished(), 0, "all jobs have finished");
    }
}

prop_state_machine! {
    #![proptest_config(config(96))]

    /// Guards against starts in a domain that is out, a domain that does not become empty, and
    /// work that is not taken up again, also when operators reverse half-way.
    #[test]
    fn a_domain_leaves_and_returns(sequential 1..40 => DrainTest);
}
