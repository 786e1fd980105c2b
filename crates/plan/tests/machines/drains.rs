//! The phases of a failure domain: in service, draining, empty, returning.

use hyssop_core::{CellRecord, DomainState, EvictionCause, JobCall};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::config;
use crate::owner::{Owner, TICK_MS, spec};

/// Time after which a drained domain must be empty: a few polls, the first of which comes up to a
/// second later when the worker was idle.
const MAX_DRAIN_MS: u64 = 4_000;
/// Time after which a domain that has returned to service must start tasks again.
const MAX_RETURN_MS: u64 = 5_000;

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Finish(usize),
    Out,
    Back,
    Pass(u64),
}

/// State of the domain as set by operators.
#[derive(Clone, Debug, Default)]
struct DomainSetting {
    /// Time since which the domain is out of service; `None` while it is in service.
    out_since: Option<u64>,
    now: u64,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = DomainSetting;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<DomainSetting> {
        Just(DomainSetting::default()).boxed()
    }

    fn transitions(_: &DomainSetting) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..30_usize).prop_map(Step::Submit),
            2 => (0..3_usize).prop_map(Step::Finish),
            2 => Just(Step::Out),
            2 => Just(Step::Back),
            4 => (1..20_u64).prop_map(|steps| Step::Pass(steps * TICK_MS)),
            2 => (20..120_u64).prop_map(|steps| Step::Pass(steps * TICK_MS)),
        ]
        .boxed()
    }

    fn apply(mut setting: DomainSetting, step: &Step) -> DomainSetting {
        match step {
            Step::Out => setting.out_since = setting.out_since.or(Some(setting.now)),
            Step::Back => setting.out_since = None,
            Step::Pass(time) => setting.now += time,
            Step::Submit(_) | Step::Finish(_) => {}
        }
        setting.now += TICK_MS;
        setting
    }
}

struct DrainTest {
    owner: Owner,
    /// Number of starts at the time when the domain was taken out of service, while it is out.
    starts_when_out: Option<usize>,
}

impl DrainTest {
    /// Returns the number of jobs that were accepted and have not finished.
    fn unfinished(&self) -> usize {
        let count = |wanted: fn(&CellRecord) -> bool| {
            let all = self.owner.stream.iter();
            all.filter(|record| wanted(&record.body)).count()
        };
        count(|body| matches!(body, CellRecord::Accepted { .. }))
            - count(|body| matches!(body, CellRecord::Finished { .. }))
    }

    fn check(&self, setting: &DomainSetting) {
        let worker = &self.owner.worker;
        if let Some(starts) = self.starts_when_out {
            assert_eq!(worker.starts.len(), starts, "a start while out of service");
        }
        if setting
            .out_since
            .is_some_and(|since| setting.now >= since + MAX_DRAIN_MS)
        {
            assert!(
                worker.tasks.is_empty(),
                "not empty: {:?}",
                worker.tasks.keys()
            );
        }
        for record in &self.owner.stream {
            if let CellRecord::Released { cause, .. } = &record.body {
                assert_eq!(*cause, EvictionCause::Drain, "only the drain evicts here");
            }
        }
    }
}

impl StateMachineTest for DrainTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &DomainSetting) -> Self {
        Self {
            owner: Owner::new(),
            starts_when_out: None,
        }
    }

    fn apply(mut test: Self, setting: &DomainSetting, step: Step) -> Self {
        match step {
            Step::Submit(number) => {
                test.owner.call(JobCall::Submit(spec(number)));
            }
            Step::Finish(at) => {
                test.owner.worker.end_nth_task(at, true);
            }
            Step::Out => {
                test.owner.set_domain(DomainState::Out);
                test.starts_when_out
                    .get_or_insert(test.owner.worker.starts.len());
            }
            Step::Back => {
                test.owner.set_domain(DomainState::In);
                test.starts_when_out = None;
            }
            Step::Pass(time) => test.owner.run(time),
        }
        test.owner.step();
        test.check(setting);
        test
    }

    /// Checks that a domain that returns to service starts tasks again and finishes all jobs.
    fn teardown(mut test: Self, _: DomainSetting) {
        test.owner.set_domain(DomainState::In);
        test.owner.run(MAX_RETURN_MS);
        // Counted after the wait, because the end of a task is committed a moment after it.
        let waiting = test.unfinished();
        let tasks = test.owner.worker.tasks.len();
        assert!(
            waiting == 0 || tasks > 0,
            "{waiting} jobs wait, but none runs"
        );
        for _ in 0..40 {
            while test.owner.worker.end_nth_task(0, true).is_some() {}
            test.owner.run(1_000);
        }
        assert_eq!(test.unfinished(), 0, "all jobs have finished");
    }
}

prop_state_machine! {
    #![proptest_config(config(96))]

    /// Guards against starts in a domain out of service, a domain that does not become empty, and
    /// jobs that are not resumed, also when operators reverse a drain.
    #[test]
    fn a_domain_leaves_and_returns(sequential 1..40 => DrainTest);
}
