//! Records of the stream against a reference model of a few rules.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Attempt, CellRecord, JobCall, JobId, JobPhase, JobReply, Resources};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::config;
use crate::owner::{CAPACITY, Owner, job, spec};

/// Number of different jobs in a history.
const JOB_COUNT: usize = 8;

#[derive(Clone, Debug)]
enum Step {
    Submit(usize),
    Cancel(usize),
    Finish(usize, bool),
    Pass(u64),
}

/// Calls and failures of a history.
#[derive(Clone, Debug, Default)]
struct Requests {
    submitted: BTreeSet<usize>,
    cancelled: BTreeSet<usize>,
    failures: u32,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Requests;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Requests> {
        Just(Requests::default()).boxed()
    }

    fn transitions(_: &Requests) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..JOB_COUNT).prop_map(Step::Submit),
            1 => (0..JOB_COUNT).prop_map(Step::Cancel),
            3 => (0..3_usize, prop::bool::weighted(0.8)).prop_map(|(at, ok)| Step::Finish(at, ok)),
            6 => (1..40_u64).prop_map(|steps| Step::Pass(steps * 50)),
        ]
        .boxed()
    }

    fn apply(mut requests: Requests, step: &Step) -> Requests {
        match step {
            Step::Submit(number) => {
                requests.submitted.insert(*number);
            }
            Step::Cancel(number) if requests.submitted.contains(number) => {
                requests.cancelled.insert(*number);
            }
            Step::Finish(_, false) => requests.failures += 1,
            _ => {}
        }
        requests
    }
}

/// State of one job as of the records of the stream.
#[derive(Default)]
struct JobHistory {
    open_attempt: Option<Attempt>,
    last_attempt: Option<Attempt>,
    finish_count: u32,
    has_ended: bool,
}

/// Replays the stream and checks each record against the earlier ones.
fn replay(owner: &Owner) -> BTreeMap<JobId, JobHistory> {
    let mut jobs: BTreeMap<JobId, JobHistory> = BTreeMap::new();
    for record in &owner.stream {
        match &record.body {
            CellRecord::Accepted { spec, .. } => {
                let history = jobs.insert(spec.id.clone(), JobHistory::default());
                assert!(history.is_none(), "{} is accepted twice", spec.id);
            }
            CellRecord::Intents(intents) => {
                for intent in intents {
                    let history = jobs.get_mut(&intent.job).expect("accepted");
                    // An intent after the end of its job has no effect.
                    if history.has_ended {
                        continue;
                    }
                    assert_eq!(
                        history.open_attempt, None,
                        "{} has an open attempt",
                        intent.job
                    );
                    assert!(
                        history.last_attempt < Some(intent.attempt),
                        "{} reuses an attempt",
                        intent.job
                    );
                    history.last_attempt = Some(intent.attempt);
                    history.open_attempt = Some(intent.attempt);
                }
            }
            CellRecord::Finished { job, attempt, .. } => {
                let history = jobs.get_mut(job).expect("accepted");
                if close(history, *attempt) && !history.has_ended {
                    history.finish_count += 1;
                    history.has_ended = true;
                }
            }
            CellRecord::Released { job, attempt, .. }
            | CellRecord::Failed { job, attempt, .. }
            | CellRecord::Lost { job, attempt, .. } => {
                close(jobs.get_mut(job).expect("accepted"), *attempt);
            }
            CellRecord::Cancelled { job } | CellRecord::Abandoned { job, .. } => {
                jobs.get_mut(job).expect("accepted").has_ended = true;
            }
            _ => {}
        }
        check_allocations(&jobs);
    }
    jobs
}

/// Closes an attempt and returns whether it was open.
fn close(history: &mut JobHistory, attempt: Attempt) -> bool {
    let is_open = history.open_attempt == Some(attempt);
    if is_open {
        history.open_attempt = None;
    }
    is_open
}

/// G1: the needs of the open attempts fit the worker's capacity after each record.
fn check_allocations(jobs: &BTreeMap<JobId, JobHistory>) {
    let open = jobs
        .values()
        .filter(|history| history.open_attempt.is_some());
    let sum = open.fold(Resources::default(), |sum, _| {
        sum.checked_add(spec(0).needs).expect("a small sum")
    });
    assert!(sum.fits(CAPACITY), "{sum:?} of {CAPACITY:?} is allocated");
}

struct LedgerTest {
    owner: Owner,
    submit_tokens: Vec<(usize, u64)>,
}

impl LedgerTest {
    fn check(&self) {
        let jobs = replay(&self.owner);
        for (id, task) in &self.owner.worker.tasks {
            let history = &jobs[id];
            // The task of a cancelled job is stopped a moment later.
            assert!(
                history.open_attempt == Some(task.attempt) || history.has_ended,
                "{id} runs without an intent"
            );
        }
        let mut seen = BTreeSet::new();
        for (_, id, attempt) in &self.owner.worker.starts {
            assert!(seen.insert((id, attempt)), "{id} {attempt} starts twice");
        }
        for (id, history) in &jobs {
            assert!(
                history.finish_count <= 1,
                "{id} finished {}",
                history.finish_count
            );
        }
    }
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Self;
    type Reference = Reference;

    fn init_test(_: &Requests) -> Self {
        Self {
            owner: Owner::new(),
            submit_tokens: Vec::new(),
        }
    }

    fn apply(mut test: Self, _: &Requests, step: Step) -> Self {
        match step {
            Step::Submit(number) => {
                let token = test.owner.call(JobCall::Submit(spec(number)));
                test.submit_tokens.push((number, token));
            }
            Step::Cancel(number) => {
                test.owner.call(JobCall::Cancel(job(number)));
            }
            Step::Finish(at, is_success) => {
                test.owner.worker.end_nth_task(at, is_success);
            }
            Step::Pass(time) => test.owner.run(time),
        }
        test.owner.step();
        test.check();
        test
    }

    /// Checks that every submitted job ends: finished, cancelled, or failed after its retries.
    fn teardown(mut test: Self, requests: Requests) {
        for _ in 0..200 {
            while test.owner.worker.end_nth_task(0, true).is_some() {}
            test.owner.run(1_000);
            test.check();
        }
        let jobs = replay(&test.owner);
        for number in &requests.submitted {
            let show = test.owner.call(JobCall::Show(job(*number)));
            test.owner.run(500);
            let JobReply::Status(status) = &test.owner.replies[&show] else {
                panic!("{number}: {:?}", test.owner.replies[&show]);
            };
            let allowed = match status.phase {
                JobPhase::Finished => jobs[&job(*number)].finish_count == 1,
                JobPhase::Cancelled => requests.cancelled.contains(number),
                JobPhase::Failed => requests.failures > 0,
                _ => false,
            };
            assert!(allowed, "{number} is {:?}", status.phase);
        }
        let state = test.owner.cell.state().expect("the owner");
        assert_eq!(
            state.summary.allocated,
            Resources::default(),
            "no capacity stays allocated"
        );
        for (number, token) in &test.submit_tokens {
            assert!(
                test.owner.replies.contains_key(token),
                "{number} has no reply"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(config(96))]

    /// Guards against allocations beyond the worker's capacity, attempts that are used twice or
    /// start without an intent, jobs that finish twice or never end, and allocations that are never
    /// freed.
    #[test]
    fn allocations_fit_and_all_jobs_end(sequential 1..40 => LedgerTest);
}
