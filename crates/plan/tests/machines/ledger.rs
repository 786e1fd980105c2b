//! The promise ledger: what the stream promises, against a reference of a few rules.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Attempt, CellRecord, JobCall, JobId, JobPhase, JobReply, Resources};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::config;
use crate::owner::{CAPACITY, Owner, job, spec};

/// Jobs that a history may name.
const JOBS: usize = 8;

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Cancel(usize),
    Finish(usize, bool),
    Pass(u64),
}

/// What the callers have asked for.
#[derive(Clone, Debug, Default)]
struct Asked {
    submitted: BTreeSet<usize>,
    cancelled: BTreeSet<usize>,
    failures: u32,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Asked;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Asked> {
        Just(Asked::default()).boxed()
    }

    fn transitions(_: &Asked) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..JOBS).prop_map(Step::Submit),
            1 => (0..JOBS).prop_map(Step::Cancel),
            3 => (0..3_usize, prop::bool::weighted(0.8)).prop_map(|(at, good)| Step::Finish(at, good)),
            6 => (1..40_u64).prop_map(|steps| Step::Pass(steps * 50)),
        ]
        .boxed()
    }

    fn apply(mut asked: Asked, step: &Step) -> Asked {
        match step {
            Step::Submit(number) => {
                asked.submitted.insert(*number);
            }
            Step::Cancel(number) if asked.submitted.contains(number) => {
                asked.cancelled.insert(*number);
            }
            Step::Finish(_, false) => asked.failures += 1,
            _ => {}
        }
        asked
    }
}

/// What the records of the stream say of one job.
#[derive(Default)]
struct Known {
    open: Option<Attempt>,
    last: Option<Attempt>,
    finished: u32,
    ended: bool,
}

/// Replays the stream and checks each record against what came before.
fn replay(owner: &Owner) -> BTreeMap<JobId, Known> {
    let mut jobs: BTreeMap<JobId, Known> = BTreeMap::new();
    for record in &owner.stream {
        match &record.body {
            CellRecord::Accepted { spec, .. } => {
                let known = jobs.insert(spec.id.clone(), Known::default());
                assert!(known.is_none(), "{} is accepted twice", spec.id);
            }
            CellRecord::Intents(intents) => {
                for intent in intents {
                    let known = jobs.get_mut(&intent.job).expect("accepted");
                    // An intent behind a cancellation in the stream counts for nothing.
                    if known.ended {
                        continue;
                    }
                    assert_eq!(known.open, None, "{} has an open attempt", intent.job);
                    assert!(known.last < Some(intent.attempt), "{} again", intent.job);
                    known.last = Some(intent.attempt);
                    known.open = Some(intent.attempt);
                }
            }
            CellRecord::Finished { job, attempt, .. } => {
                let known = jobs.get_mut(job).expect("accepted");
                if close(known, *attempt) && !known.ended {
                    known.finished += 1;
                    known.ended = true;
                }
            }
            CellRecord::Released { job, attempt, .. }
            | CellRecord::Failed { job, attempt, .. }
            | CellRecord::Lost { job, attempt, .. } => {
                close(jobs.get_mut(job).expect("accepted"), *attempt);
            }
            CellRecord::Cancelled { job } | CellRecord::Abandoned { job, .. } => {
                jobs.get_mut(job).expect("accepted").ended = true;
            }
            _ => {}
        }
        promised(&jobs);
    }
    jobs
}

fn close(known: &mut Known, attempt: Attempt) -> bool {
    let open = known.open == Some(attempt);
    if open {
        known.open = None;
    }
    open
}

/// G1: the open intents fit the worker at each place of the stream.
fn promised(jobs: &BTreeMap<JobId, Known>) {
    let open = jobs.values().filter(|known| known.open.is_some());
    let sum = open.fold(Resources::default(), |sum, _| {
        sum.checked_add(spec(0).needs).expect("a small sum")
    });
    assert!(sum.fits(CAPACITY), "{sum:?} of {CAPACITY:?} is promised");
}

struct LedgerTest {
    owner: Owner,
    submits: Vec<(usize, u64)>,
}

impl LedgerTest {
    fn check(&self) {
        let jobs = replay(&self.owner);
        for (id, task) in &self.owner.worker.tasks {
            let known = &jobs[id];
            // A cancelled job's task is stopped a moment later.
            assert!(
                known.open == Some(task.attempt) || known.ended,
                "{id} runs without an intent"
            );
        }
        let mut seen = BTreeSet::new();
        for (_, id, attempt) in &self.owner.worker.starts {
            assert!(seen.insert((id, attempt)), "{id} {attempt} starts twice");
        }
        for (id, known) in &jobs {
            assert!(known.finished <= 1, "{id} finished {}", known.finished);
        }
    }
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Asked) -> Self {
        Self {
            owner: Owner::new(),
            submits: Vec::new(),
        }
    }

    fn apply(mut test: Self, _: &Asked, step: Step) -> Self {
        match step {
            Step::Submit(number) => {
                let token = test.owner.call(JobCall::Submit(spec(number)));
                test.submits.push((number, token));
            }
            Step::Cancel(number) => {
                test.owner.call(JobCall::Cancel(job(number)));
            }
            Step::Finish(at, good) => {
                test.owner.worker.finish(at, good);
            }
            Step::Pass(time) => test.owner.run(time),
        }
        test.owner.step();
        test.check();
        test
    }

    /// Every job that was submitted ends: finished, cancelled, or failed after its retries.
    fn teardown(mut test: Self, asked: Asked) {
        for _ in 0..200 {
            while test.owner.worker.finish(0, true).is_some() {}
            test.owner.run(1_000);
            test.check();
        }
        let jobs = replay(&test.owner);
        for number in &asked.submitted {
            let show = test.owner.call(JobCall::Show(job(*number)));
            test.owner.run(500);
            let JobReply::Status(status) = &test.owner.replies[&show] else {
                panic!("{number}: {:?}", test.owner.replies[&show]);
            };
            let allowed = match status.phase {
                JobPhase::Finished => jobs[&job(*number)].finished == 1,
                JobPhase::Cancelled => asked.cancelled.contains(number),
                JobPhase::Failed => asked.failures > 0,
                _ => false,
            };
            assert!(allowed, "{number} is {:?}", status.phase);
        }
        let state = test.owner.cell.state().expect("the owner");
        assert_eq!(
            state.summary.allocated,
            Resources::default(),
            "all is given back"
        );
        for (number, token) in &test.submits {
            assert!(
                test.owner.replies.contains_key(token),
                "{number} unanswered"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(config(96))]

    /// Guards against promises beyond the worker, attempts that are used twice or start without
    /// an intent, jobs that finish twice, and jobs or promises that are forgotten.
    #[test]
    fn promises_are_kept(sequential 1..40 => LedgerTest);
}
