//! Property test of the settler against a small log that loses answers, delays and duplicates
//! appends, answers reads late, and drops old records.
//!
//! Guards against a record that is lost, counted twice, reported at the wrong offset, appended
//! again without proof that it is missing, or moved before an earlier one.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Millis, Offset, RecordId, Term};
use hyssop_log::{
    AppendResult, CommitTracker, GiveUpOutcome, ReadBack, Submission, TrackerInput, TrackerOptions,
    TrackerOutput, record_id,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Identifiers from here on belong to another writer.
const FOREIGN: u128 = 1 << 64;
/// Ticks after which a settler that gets only good answers must have settled everything.
const QUIET_TICKS: usize = 2_000;

/// What happens to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    Refused,
    /// The answer is lost and the append takes effect later.
    Delayed,
    /// Answered, and a second copy takes effect later.
    Duplicated,
}

#[derive(Clone, Debug)]
enum Step {
    Submit,
    Tick(u64),
    EndAppend(Fate),
    /// Answers the read, with the log as it was when the read was sent if `early`.
    EndRead {
        early: bool,
    },
    FailRead,
    /// One of the delayed appends takes effect.
    Deliver(prop::sample::Index),
    /// Another writer appends.
    Foreign,
    /// The driver passes on a read of its own.
    Tail,
    /// The log drops records.
    Trim(u64),
}

/// The reference only counts submissions; the log model is part of the system under test.
struct Submissions;

impl ReferenceStateMachine for Submissions {
    type State = u128;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u128> {
        Just(0).boxed()
    }

    fn transitions(_: &u128) -> BoxedStrategy<Step> {
        let fate = prop_oneof![
            3 => Just(Fate::Answered),
            2 => Just(Fate::AnswerLost),
            1 => Just(Fate::Refused),
            2 => Just(Fate::Delayed),
            2 => Just(Fate::Duplicated),
        ];
        prop_oneof![
            8 => Just(Step::Submit),
            16 => (0_u64..400).prop_map(Step::Tick),
            16 => fate.prop_map(Step::EndAppend),
            16 => any::<bool>().prop_map(|early| Step::EndRead { early }),
            4 => Just(Step::FailRead),
            6 => any::<prop::sample::Index>().prop_map(Step::Deliver),
            2 => Just(Step::Foreign),
            4 => Just(Step::Tail),
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
struct Reading {
    number: u64,
    from: usize,
    max: usize,
    /// Length of the log when the read was sent.
    sent_at: usize,
    /// Value of the event counter when the read was sent.
    sent: u64,
}

#[derive(Debug)]
struct Driver {
    settler: CommitTracker,
    now: Millis,
    /// Whole history of the log.
    log: Vec<RecordId>,
    /// Number of records dropped.
    first: usize,
    append: Option<(u64, Vec<RecordId>)>,
    read: Option<Reading>,
    delayed: Vec<Vec<RecordId>>,
    submitted: u128,
    /// Counts ends of tries and sends of reads, to order them.
    events: u64,
    /// All offsets below this were passed to the settler, by whichever reads.
    covered: usize,
    /// Event at which the last try of unknown outcome ended, for records not proved missing since.
    doubtful: BTreeMap<RecordId, u64>,
    settled: BTreeMap<RecordId, Offset>,
    given_up: BTreeSet<RecordId>,
}

impl Driver {
    fn new() -> Self {
        let options = TrackerOptions::default()
            .with_max_batch(3)
            .with_max_read(4)
            .with_max_pending(usize::MAX);
        Self {
            settler: CommitTracker::new(options, Offset(0), 7),
            now: Millis(0),
            log: Vec::new(),
            first: 0,
            append: None,
            read: None,
            delayed: Vec::new(),
            submitted: 0,
            events: 0,
            covered: 0,
            doubtful: BTreeMap::new(),
            settled: BTreeMap::new(),
            given_up: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Submit => self.submit(),
            Step::Tick(time) => self.tick(*time),
            Step::EndAppend(fate) => self.end_append(*fate),
            Step::EndRead { early } => self.end_read(*early),
            Step::FailRead => self.fail_read(),
            Step::Deliver(index) => self.deliver(index),
            Step::Foreign => self.log.push(RecordId(FOREIGN + self.log.len() as u128)),
            Step::Tail => self.tail(),
            Step::Trim(count) => {
                self.first = (self.first + *count as usize).min(self.log.len());
            }
        }
    }

    fn submit(&mut self) {
        let id = RecordId(self.submitted);
        self.submitted += 1;
        let text = format!("{{\"id\":\"{id}\"}}");
        self.input([TrackerInput::Submit(Submission::new(id, Term(1), text))]);
    }

    fn tick(&mut self, time: u64) {
        self.now = self.now + Millis(time);
        self.input([]);
    }

    fn input(&mut self, inputs: impl IntoIterator<Item = TrackerInput>) {
        for output in self.settler.tick(self.now, inputs) {
            self.take(output);
        }
    }

    fn take(&mut self, output: TrackerOutput) {
        match output {
            TrackerOutput::Append { batch_id, records } => {
                let ids = records.iter().map(|text| record_id(text).unwrap());
                let ids: Vec<RecordId> = ids.collect();
                for id in &ids {
                    assert!(!self.doubtful.contains_key(id), "{id} appended in doubt");
                    assert!(!self.settled.contains_key(id), "{id} appended when settled");
                }
                assert!(self.append.replace((batch_id, ids)).is_none());
            }
            TrackerOutput::Read { read_id, from, max } => {
                self.events += 1;
                let reading = Reading {
                    number: read_id,
                    from: from.0 as usize,
                    max: max as usize,
                    sent_at: self.log.len(),
                    sent: self.events,
                };
                assert!(self.read.replace(reading).is_none());
            }
            TrackerOutput::Committed { id, offset } => {
                let place = self.log.iter().position(|stored| *stored == id);
                assert_eq!(place, Some(offset.0 as usize), "offset of {id}");
                assert!(
                    self.settled.insert(id, offset).is_none(),
                    "{id} settled twice"
                );
            }
            TrackerOutput::GivenUp { id, outcome } => {
                assert_eq!(outcome, GiveUpOutcome::Unknown);
                assert!(self.first > 0, "{id} given up though nothing was dropped");
                assert!(self.given_up.insert(id), "{id} given up twice");
            }
        }
    }

    fn end_append(&mut self, fate: Fate) {
        let Some((batch_id, ids)) = self.append.take() else {
            return;
        };
        let offset = Offset(self.log.len() as u64);
        if matches!(fate, Fate::Answered | Fate::AnswerLost | Fate::Duplicated) {
            self.log.extend(&ids);
        }
        if matches!(fate, Fate::Delayed | Fate::Duplicated) {
            self.delayed.push(ids.clone());
        }
        let result = match fate {
            Fate::Answered | Fate::Duplicated => AppendResult::Appended(offset),
            Fate::Refused => AppendResult::NotAppended,
            Fate::AnswerLost | Fate::Delayed => AppendResult::Unknown,
        };
        self.events += 1;
        if result == AppendResult::Unknown {
            let ended = ids.iter().map(|id| (*id, self.events));
            self.doubtful.extend(ended);
        }
        self.input([TrackerInput::AppendEnded { batch_id, result }]);
    }

    fn reply(&self, read_id: Option<u64>, from: usize, max: usize, length: usize) -> ReadBack {
        let start = from.max(self.first);
        let end = (start + max).min(length).max(start);
        let stored = self.log.get(start..end).unwrap_or_default();
        let places = (start as u64..).map(Offset);
        ReadBack {
            read_id,
            from: Offset(from as u64),
            upto: Offset(end as u64),
            first: Offset(self.first as u64),
            head: Offset(length.max(self.first) as u64),
            ids: places.zip(stored.iter().copied()).collect(),
        }
    }

    fn end_read(&mut self, early: bool) {
        let Some(read) = self.read.take() else {
            return;
        };
        let length = if early { read.sent_at } else { self.log.len() };
        let back = self.reply(Some(read.number), read.from, read.max, length);
        self.cover(&back);
        if self.covered as u64 >= back.head.0 {
            self.note_missing(read.sent, length);
        }
        self.input([TrackerInput::ReadSucceeded(back)]);
    }

    fn cover(&mut self, back: &ReadBack) {
        assert!(back.from.0 <= self.covered as u64, "a read leaves a gap");
        self.covered = self.covered.max(back.upto.0 as usize);
    }

    /// Notes which records a read proves to be missing: their tries had ended when it was sent,
    /// and the log up to its head does not hold them.
    fn note_missing(&mut self, sent: u64, length: usize) {
        let log = &self.log[..length];
        self.doubtful
            .retain(|id, ended| *ended >= sent || log.contains(id));
    }

    fn fail_read(&mut self) {
        if let Some(Reading { number, .. }) = self.read.take() {
            self.input([TrackerInput::ReadFailed { read_id: number }]);
        }
    }

    fn deliver(&mut self, index: &prop::sample::Index) {
        if !self.delayed.is_empty() {
            let ids = self.delayed.swap_remove(index.index(self.delayed.len()));
            self.log.extend(ids);
        }
    }

    fn tail(&mut self) {
        let from = self.settler.cursor().0 as usize;
        let back = self.reply(None, from, 4, self.log.len());
        self.cover(&back);
        self.input([TrackerInput::ReadSucceeded(back)]);
    }

    /// Lets the log answer everything until nothing waits.
    fn settle_all(&mut self) {
        for _ in 0..QUIET_TICKS {
            if self.settler.pending_count() == 0 {
                return;
            }
            self.end_append(Fate::Answered);
            self.end_read(false);
            self.tick(50);
        }
        panic!("{} records still wait", self.settler.pending_count());
    }

    /// Replays the log: the first copy of each identifier counts.
    fn effective(&self) -> Vec<RecordId> {
        let mut seen = BTreeSet::new();
        let own = self.log.iter().filter(|id| id.0 < FOREIGN);
        own.filter(|id| seen.insert(**id)).copied().collect()
    }
}

struct Settlement;

impl StateMachineTest for Settlement {
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
        let ended = driver.settled.len() + driver.given_up.len();
        assert_eq!(driver.settler.pending_count() + ended, *submitted as usize);
        if driver.settler.pending_count() > 0 {
            let busy = driver.append.is_some() || driver.read.is_some();
            assert!(
                busy || driver.settler.wake_at().is_some(),
                "the settler is stuck"
            );
        }
    }

    fn teardown(mut driver: Driver, submitted: u128) {
        driver.settle_all();
        while let Some(ids) = driver.delayed.pop() {
            driver.log.extend(ids);
        }
        let effective = driver.effective();
        let ids = (0..submitted).map(RecordId);
        let expected: Vec<RecordId> = ids.filter(|id| !driver.given_up.contains(id)).collect();
        let settled: Vec<RecordId> = driver.settled.keys().copied().collect();
        assert_eq!(settled, expected);
        let counted = effective.iter().filter(|id| !driver.given_up.contains(id));
        let counted: Vec<RecordId> = counted.copied().collect();
        assert_eq!(
            counted, expected,
            "replay counts each record once and in order"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn every_record_counts_exactly_once(sequential 1..200 => Settlement);
}
