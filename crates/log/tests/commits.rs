//! Property test of the commit tracker against a model of a log that loses replies, delays and
//! duplicates appends, returns outdated reads, and drops old records.
//!
//! Guards against a record that is lost, replayed twice, reported at the wrong offset, appended
//! again although it may still be in the stream, or placed in the stream before a record that was
//! submitted earlier.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Millis, Offset, RecordId, Term};
use hyssop_log::{
    AppendResult, CommitTracker, GiveUpOutcome, ReadResult, Submission, TrackerInput,
    TrackerOptions, TrackerOutput, record_id,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// First identifier of the records of another writer.
const FIRST_OTHER_WRITER_ID: u128 = 1 << 64;
/// Ticks within which the tracker must commit all records while all its requests succeed.
const MAX_COMMIT_ALL_TICKS: usize = 2_000;

/// What the modelled log does with an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendBehavior {
    Acknowledged,
    ReplyLost,
    Rejected,
    /// The reply is lost and the append takes effect later.
    Delayed,
    /// The append is acknowledged, and a second copy takes effect later.
    Duplicated,
}

#[derive(Clone, Debug)]
enum Step {
    Submit,
    /// Lets this number of milliseconds pass before the next tick.
    Tick(u64),
    EndAppend(AppendBehavior),
    /// Ends the read in flight. If `is_stale`, it returns the log as it was when the read was sent.
    EndRead {
        is_stale: bool,
    },
    FailRead,
    /// One of the delayed appends takes effect.
    Deliver(prop::sample::Index),
    /// Another writer appends a record.
    AppendByOtherWriter,
    /// The driver passes the result of a read of its own.
    DriverRead,
    /// The log drops its oldest records.
    Trim(u64),
}

/// Reference that only counts submissions; the model of the log is part of the system under test.
struct Submissions;

impl ReferenceStateMachine for Submissions {
    type State = u128;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u128> {
        Just(0).boxed()
    }

    fn transitions(_: &u128) -> BoxedStrategy<Step> {
        let behavior = prop_oneof![
            3 => Just(AppendBehavior::Acknowledged),
            2 => Just(AppendBehavior::ReplyLost),
            1 => Just(AppendBehavior::Rejected),
            2 => Just(AppendBehavior::Delayed),
            2 => Just(AppendBehavior::Duplicated),
        ];
        prop_oneof![
            8 => Just(Step::Submit),
            16 => (0_u64..400).prop_map(Step::Tick),
            16 => behavior.prop_map(Step::EndAppend),
            16 => any::<bool>().prop_map(|is_stale| Step::EndRead { is_stale }),
            4 => Just(Step::FailRead),
            6 => any::<prop::sample::Index>().prop_map(Step::Deliver),
            2 => Just(Step::AppendByOtherWriter),
            4 => Just(Step::DriverRead),
            1 => (1_u64..4).prop_map(Step::Trim),
        ]
        .boxed()
    }

    fn apply(count: u128, step: &Step) -> u128 {
        count + u128::from(matches!(step, Step::Submit))
    }
}

/// A read in flight.
#[derive(Clone, Copy, Debug)]
struct InflightRead {
    id: u64,
    from: usize,
    max: usize,
    /// Length of the log when the read was sent.
    log_len: usize,
    /// Value of the event counter when the read was sent.
    sent_event: u64,
}

/// Driver of the tracker, with a model of the log and checks of the tracker's outputs.
#[derive(Debug)]
struct Driver {
    tracker: CommitTracker,
    now: Millis,
    /// All records that were ever appended, including dropped ones.
    log: Vec<RecordId>,
    /// Offset of the first record that is retained.
    first_retained: usize,
    inflight_append: Option<(u64, Vec<RecordId>)>,
    inflight_read: Option<InflightRead>,
    delayed_appends: Vec<Vec<RecordId>>,
    submitted: u128,
    /// Counts ends of appends and starts of reads, to order them.
    event_count: u64,
    /// All offsets below this one were passed to the tracker, by its own reads or the driver's.
    covered_upto: usize,
    /// Records whose last append had an unknown outcome and that may still be in the stream, with
    /// the value of the event counter when that append ended.
    unconfirmed: BTreeMap<RecordId, u64>,
    committed: BTreeMap<RecordId, Offset>,
    given_up: BTreeSet<RecordId>,
}

impl Driver {
    fn new() -> Self {
        let options = TrackerOptions::default()
            .with_max_batch_records(3)
            .with_max_read_records(4)
            .with_max_pending_records(usize::MAX);
        Self {
            tracker: CommitTracker::new(options, Offset(0), 7),
            now: Millis(0),
            log: Vec::new(),
            first_retained: 0,
            inflight_append: None,
            inflight_read: None,
            delayed_appends: Vec::new(),
            submitted: 0,
            event_count: 0,
            covered_upto: 0,
            unconfirmed: BTreeMap::new(),
            committed: BTreeMap::new(),
            given_up: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Submit => self.submit(),
            Step::Tick(elapsed_ms) => self.tick(*elapsed_ms),
            Step::EndAppend(behavior) => self.end_append(*behavior),
            Step::EndRead { is_stale } => self.end_read(*is_stale),
            Step::FailRead => self.fail_read(),
            Step::Deliver(index) => self.deliver_delayed(index),
            Step::AppendByOtherWriter => self
                .log
                .push(RecordId(FIRST_OTHER_WRITER_ID + self.log.len() as u128)),
            Step::DriverRead => self.pass_driver_read(),
            Step::Trim(count) => {
                self.first_retained = (self.first_retained + *count as usize).min(self.log.len());
            }
        }
    }

    fn submit(&mut self) {
        let id = RecordId(self.submitted);
        self.submitted += 1;
        let text = format!("{{\"id\":\"{id}\"}}");
        self.pass_inputs([TrackerInput::Submit(Submission::new(id, Term(1), text))]);
    }

    fn tick(&mut self, elapsed_ms: u64) {
        self.now = self.now + Millis(elapsed_ms);
        self.pass_inputs([]);
    }

    fn pass_inputs(&mut self, inputs: impl IntoIterator<Item = TrackerInput>) {
        for output in self.tracker.tick(self.now, inputs) {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: TrackerOutput) {
        match output {
            TrackerOutput::Append { batch_id, records } => {
                let ids = records.iter().map(|text| record_id(text).unwrap());
                let ids: Vec<RecordId> = ids.collect();
                for id in &ids {
                    assert!(
                        !self.unconfirmed.contains_key(id),
                        "{id} appended again while unconfirmed"
                    );
                    assert!(
                        !self.committed.contains_key(id),
                        "{id} appended again after its commit"
                    );
                }
                assert!(self.inflight_append.replace((batch_id, ids)).is_none());
            }
            TrackerOutput::Read { read_id, from, max } => {
                self.event_count += 1;
                let read = InflightRead {
                    id: read_id,
                    from: from.0 as usize,
                    max: max as usize,
                    log_len: self.log.len(),
                    sent_event: self.event_count,
                };
                assert!(self.inflight_read.replace(read).is_none());
            }
            TrackerOutput::Committed { id, offset } => {
                let position = self.log.iter().position(|stored| *stored == id);
                assert_eq!(position, Some(offset.0 as usize), "offset of {id}");
                assert!(
                    self.committed.insert(id, offset).is_none(),
                    "{id} committed twice"
                );
            }
            TrackerOutput::GivenUp { id, outcome } => {
                assert_eq!(outcome, GiveUpOutcome::Unknown);
                assert!(
                    self.first_retained > 0,
                    "{id} given up although no record was dropped"
                );
                assert!(self.given_up.insert(id), "{id} given up twice");
            }
        }
    }

    fn end_append(&mut self, behavior: AppendBehavior) {
        let Some((batch_id, ids)) = self.inflight_append.take() else {
            return;
        };
        let offset = Offset(self.log.len() as u64);
        if matches!(
            behavior,
            AppendBehavior::Acknowledged | AppendBehavior::ReplyLost | AppendBehavior::Duplicated
        ) {
            self.log.extend(&ids);
        }
        if matches!(
            behavior,
            AppendBehavior::Delayed | AppendBehavior::Duplicated
        ) {
            self.delayed_appends.push(ids.clone());
        }
        let result = match behavior {
            AppendBehavior::Acknowledged | AppendBehavior::Duplicated => {
                AppendResult::Appended(offset)
            }
            AppendBehavior::Rejected => AppendResult::NotAppended,
            AppendBehavior::ReplyLost | AppendBehavior::Delayed => AppendResult::Unknown,
        };
        self.event_count += 1;
        if result == AppendResult::Unknown {
            let ended_at = ids.iter().map(|id| (*id, self.event_count));
            self.unconfirmed.extend(ended_at);
        }
        self.pass_inputs([TrackerInput::AppendEnded { batch_id, result }]);
    }

    fn reply(&self, read_id: Option<u64>, from: usize, max: usize, length: usize) -> ReadResult {
        let start = from.max(self.first_retained);
        let end = (start + max).min(length).max(start);
        let stored = self.log.get(start..end).unwrap_or_default();
        let offsets = (start as u64..).map(Offset);
        ReadResult {
            read_id,
            from: Offset(from as u64),
            upto: Offset(end as u64),
            first: Offset(self.first_retained as u64),
            head: Offset(length.max(self.first_retained) as u64),
            ids: offsets.zip(stored.iter().copied()).collect(),
        }
    }

    fn end_read(&mut self, is_stale: bool) {
        let Some(read) = self.inflight_read.take() else {
            return;
        };
        let length = if is_stale {
            read.log_len
        } else {
            self.log.len()
        };
        let result = self.reply(Some(read.id), read.from, read.max, length);
        self.record_coverage(&result);
        if self.covered_upto as u64 >= result.head.0 {
            self.remove_missing(read.sent_event, length);
        }
        self.pass_inputs([TrackerInput::ReadSucceeded(result)]);
    }

    fn record_coverage(&mut self, result: &ReadResult) {
        assert!(
            result.from.0 <= self.covered_upto as u64,
            "a read skips offsets that no earlier read covered"
        );
        self.covered_upto = self.covered_upto.max(result.upto.0 as usize);
    }

    /// Removes the unconfirmed records that a read shows to be missing: their appends had ended
    /// when the read was sent, and the first `length` records of the log do not contain them.
    fn remove_missing(&mut self, sent_event: u64, length: usize) {
        let log = &self.log[..length];
        self.unconfirmed
            .retain(|id, ended_at| *ended_at >= sent_event || log.contains(id));
    }

    fn fail_read(&mut self) {
        if let Some(InflightRead { id, .. }) = self.inflight_read.take() {
            self.pass_inputs([TrackerInput::ReadFailed { read_id: id }]);
        }
    }

    fn deliver_delayed(&mut self, index: &prop::sample::Index) {
        if !self.delayed_appends.is_empty() {
            let ids = self
                .delayed_appends
                .swap_remove(index.index(self.delayed_appends.len()));
            self.log.extend(ids);
        }
    }

    fn pass_driver_read(&mut self) {
        let from = self.tracker.cursor().0 as usize;
        let result = self.reply(None, from, 4, self.log.len());
        self.record_coverage(&result);
        self.pass_inputs([TrackerInput::ReadSucceeded(result)]);
    }

    /// Lets all requests succeed until no record is pending.
    fn commit_all(&mut self) {
        for _ in 0..MAX_COMMIT_ALL_TICKS {
            if self.tracker.pending_count() == 0 {
                return;
            }
            self.end_append(AppendBehavior::Acknowledged);
            self.end_read(false);
            self.tick(50);
        }
        panic!("{} records are still pending", self.tracker.pending_count());
    }

    /// Replays the log: only the first copy of each identifier is applied.
    fn replayed_ids(&self) -> Vec<RecordId> {
        let mut seen = BTreeSet::new();
        let own = self.log.iter().filter(|id| id.0 < FIRST_OTHER_WRITER_ID);
        own.filter(|id| seen.insert(**id)).copied().collect()
    }
}

struct CommitTest;

impl StateMachineTest for CommitTest {
    type SystemUnderTest = Driver;
    type Reference = Submissions;

    fn init_test(_: &u128) -> Driver {
        Driver::new()
    }

    fn apply(mut driver: Driver, _: &u128, step: Step) -> Driver {
        driver.step(&step);
        driver
    }

    fn check_invariants(driver: &Driver, submitted: &u128) {
        let ended = driver.committed.len() + driver.given_up.len();
        assert_eq!(driver.tracker.pending_count() + ended, *submitted as usize);
        if driver.tracker.pending_count() > 0 {
            let has_inflight = driver.inflight_append.is_some() || driver.inflight_read.is_some();
            assert!(
                has_inflight || driver.tracker.wake_at().is_some(),
                "no further tick is scheduled for the pending records"
            );
        }
    }

    fn teardown(mut driver: Driver, submitted: u128) {
        driver.commit_all();
        while let Some(ids) = driver.delayed_appends.pop() {
            driver.log.extend(ids);
        }
        let replayed = driver.replayed_ids();
        let ids = (0..submitted).map(RecordId);
        let expected: Vec<RecordId> = ids.filter(|id| !driver.given_up.contains(id)).collect();
        let committed: Vec<RecordId> = driver.committed.keys().copied().collect();
        assert_eq!(committed, expected);
        let remaining = replayed.iter().filter(|id| !driver.given_up.contains(id));
        let remaining: Vec<RecordId> = remaining.copied().collect();
        assert_eq!(
            remaining, expected,
            "replay applies each record once and in order"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn every_record_is_replayed_exactly_once(sequential 1..200 => CommitTest);
}
