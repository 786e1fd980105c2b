//! Tests of the settler's bounds, batches, backoff, deadlines and abandoned terms.

use hyssop_core::{Millis, Offset, ReadReply, RecordId, StoredRecord, Term};
use hyssop_log::{
    AppendResult, CommitTracker, Error, GiveUpOutcome, ReadBack, Submission, TrackerInput,
    TrackerOptions, TrackerOutput, record_id,
};

fn text(id: u128) -> String {
    format!("{{\"id\":\"{}\",\"body\":{{}}}}", RecordId(id))
}

fn submission(id: u128) -> Submission {
    Submission::new(RecordId(id), Term(1), text(id))
}

fn settler(options: TrackerOptions) -> CommitTracker {
    CommitTracker::new(options, Offset(0), 1)
}

fn appended(batch_id: u64, result: AppendResult) -> TrackerInput {
    TrackerInput::AppendEnded { batch_id, result }
}

/// Answers a read from `from` on a stream that is kept from `first` on.
fn read(number: u64, from: u64, first: u64, ids: &[u128]) -> TrackerInput {
    let records = (from.max(first)..).zip(ids);
    let records = records.map(|(offset, id)| StoredRecord {
        offset: Offset(offset),
        record: text(*id),
    });
    let reply = ReadReply {
        first: Offset(first),
        head: Offset(from.max(first) + ids.len() as u64),
        records: records.collect(),
    };
    TrackerInput::ReadSucceeded(ReadBack::new(Some(number), Offset(from), &reply))
}

fn given_up(id: u128, outcome: GiveUpOutcome) -> TrackerOutput {
    let id = RecordId(id);
    TrackerOutput::GivenUp { id, outcome }
}

fn settled(id: u128, offset: u64) -> TrackerOutput {
    TrackerOutput::Committed {
        id: RecordId(id),
        offset: Offset(offset),
    }
}

fn batch_of(outputs: &[TrackerOutput]) -> Vec<String> {
    let batch = outputs.iter().find_map(|output| match output {
        TrackerOutput::Append { records, .. } => Some(records.clone()),
        _ => None,
    });
    batch.unwrap_or_default()
}

/// Guards against one append for each record, and against batches above the bounds.
#[test]
fn records_share_an_append_up_to_the_bounds() {
    let mut settler = settler(TrackerOptions::default().with_max_batch(2));
    let inputs = (0..3).map(|id| TrackerInput::Submit(submission(id)));
    let out = settler.tick(Millis(0), inputs);
    assert_eq!(batch_of(&out), [text(0), text(1)]);
    let done = appended(0, AppendResult::Appended(Offset(0)));
    let out = settler.tick(Millis(5), [done]);
    assert!(batch_of(&out).is_empty(), "appends are spaced");
    let out = settler.tick(settler.wake_at().unwrap(), []);
    assert_eq!(batch_of(&out), [text(2)]);

    let options = TrackerOptions {
        max_batch_bytes: text(0).len() + 1,
        ..TrackerOptions::default()
    };
    let mut settler = self::settler(options);
    let inputs = (0..3).map(|id| TrackerInput::Submit(submission(id)));
    let out = settler.tick(Millis(0), inputs);
    assert_eq!(batch_of(&out), [text(0)]);
}

/// Guards against memory that grows without bound while the log is down.
#[test]
fn a_full_settler_refuses_and_forgets() {
    let mut by_count = settler(TrackerOptions::default().with_max_pending(1));
    by_count.submit(Millis(0), submission(0));
    let out = by_count.submit(Millis(0), submission(1));
    assert_eq!(out, [given_up(1, GiveUpOutcome::QueueFull)]);
    assert!(!by_count.contains(RecordId(1)));

    let options = TrackerOptions {
        max_pending_bytes: text(0).len(),
        ..TrackerOptions::default()
    };
    let mut by_bytes = settler(options);
    by_bytes.submit(Millis(0), submission(0));
    let out = by_bytes.submit(Millis(0), submission(1));
    assert_eq!(out, [given_up(1, GiveUpOutcome::QueueFull)]);
}

/// Guards against a second record under one identifier.
#[test]
fn a_repeated_submission_is_ignored() {
    let mut settler = settler(TrackerOptions::default());
    settler.submit(Millis(0), submission(0));
    assert!(settler.submit(Millis(0), submission(0)).is_empty());
    assert_eq!(settler.pending_count(), 1);
}

/// Guards against reports of settlement before the record has been read back.
#[test]
fn an_answered_append_is_settled_by_reading_back() {
    let mut settler = settler(TrackerOptions::default());
    settler.submit(Millis(0), submission(0));
    let out = settler.tick(Millis(1), [appended(0, AppendResult::Appended(Offset(2)))]);
    let expected = TrackerOutput::Read {
        read_id: 0,
        from: Offset(0),
        max: 1_024,
    };
    assert_eq!(out, [expected]);
    let out = settler.tick(Millis(2), [read(0, 0, 0, &[8, 9, 0])]);
    assert_eq!(out, [settled(0, 2)]);
    assert_eq!(settler.wake_at(), None);
}

/// Guards against records of a deposed owner that are appended or promised.
#[test]
fn an_abandoned_term_is_given_up() {
    let mut settler = settler(TrackerOptions::default().with_max_batch(1));
    let later = Submission {
        term: Term(2),
        ..submission(2)
    };
    let inputs = [submission(0), submission(1), later];
    settler.tick(Millis(0), inputs.map(TrackerInput::Submit));
    let out = settler.tick(Millis(1), [TrackerInput::Abandon { term: Term(1) }]);
    let expected = [
        given_up(0, GiveUpOutcome::Unknown),
        given_up(1, GiveUpOutcome::NotAppended),
    ];
    assert_eq!(out, expected);
    let late = appended(0, AppendResult::Unknown);
    settler.tick(Millis(2), [late]);
    let out = settler.tick(settler.wake_at().unwrap(), []);
    assert_eq!(batch_of(&out), [text(2)]);
}

/// Guards against callers that wait for ever, and against a wrong promise when they stop.
#[test]
fn a_deadline_tells_what_is_known() {
    let mut settler = settler(TrackerOptions::default());
    let until = Millis(1_000);
    settler.submit(Millis(0), submission(0).with_deadline(until));
    settler.tick(Millis(1), [appended(0, AppendResult::NotAppended)]);
    settler.submit(Millis(2), submission(1).with_deadline(Millis(3_000)));
    // The second try is refused as well, so that nothing can have been appended.
    let at = settler.wake_at().unwrap();
    assert!(!batch_of(&settler.tick(at, [])).is_empty());
    settler.tick(at, [appended(1, AppendResult::NotAppended)]);
    let out = settler.tick(until, []);
    assert_eq!(out[0], given_up(0, GiveUpOutcome::NotAppended));
    settler.tick(Millis(2_000), [appended(2, AppendResult::Unknown)]);
    let out = settler.tick(Millis(3_000), []);
    assert_eq!(out[0], given_up(1, GiveUpOutcome::Unknown));
}

/// Guards against a client that floods a log that is down, or that never comes back.
#[test]
fn failures_are_retried_with_growing_jittered_waits() {
    let options = TrackerOptions::default().with_backoff(Millis(100), Millis(1_000));
    let waits = |seed| {
        let mut settler = CommitTracker::new(options, Offset(0), seed);
        let mut now = Millis(0);
        settler.submit(now, submission(0));
        let tries = (0..40).map(|batch| {
            settler.tick(now, [appended(batch, AppendResult::NotAppended)]);
            let at = settler.wake_at().unwrap();
            let wait = at - now;
            now = at;
            assert!(!batch_of(&settler.tick(now, [])).is_empty());
            wait.0
        });
        tries.collect::<Vec<u64>>()
    };
    let first = waits(1);
    for (i, wait) in first.iter().enumerate() {
        let longest = (100 << i.min(10)).min(1_000);
        assert!((longest / 2..=longest).contains(wait), "{i}: {wait}");
    }
    assert_eq!(first, waits(1), "the same seed gives the same waits");
    assert_ne!(first, waits(2), "another seed gives other waits");
}

/// Guards against reads in a tight loop while the log is down.
#[test]
fn failed_reads_back_off() {
    let mut settler = settler(TrackerOptions::default());
    settler.submit(Millis(0), submission(0));
    settler.tick(Millis(1), [appended(0, AppendResult::Unknown)]);
    let out = settler.tick(Millis(2), [TrackerInput::ReadFailed { read_id: 0 }]);
    assert!(out.is_empty());
    let at = settler.wake_at().unwrap();
    assert!(at >= Millis(52));
    let out = settler.tick(at, []);
    assert!(matches!(out[..], [TrackerOutput::Read { read_id: 1, .. }]));
}

/// Guards against promises about records that were dropped before they could be read back.
#[test]
fn records_dropped_unread_are_not_guessed() {
    let mut unknown = settler(TrackerOptions::default());
    unknown.submit(Millis(0), submission(0));
    unknown.tick(Millis(1), [appended(0, AppendResult::Unknown)]);
    let out = unknown.tick(Millis(2), [read(0, 0, 10, &[])]);
    assert_eq!(out, [given_up(0, GiveUpOutcome::Unknown)]);

    let mut answered = settler(TrackerOptions::default());
    answered.submit(Millis(0), submission(0));
    let done = appended(0, AppendResult::Appended(Offset(4)));
    answered.tick(Millis(1), [done]);
    let out = answered.tick(Millis(2), [read(0, 0, 10, &[])]);
    assert_eq!(out, [settled(0, 4)]);
}

/// Guards against an idle settler that takes old losses for its own.
#[test]
fn reads_of_the_driver_keep_an_idle_settler_current() {
    let mut settler = settler(TrackerOptions::default());
    let TrackerInput::ReadSucceeded(mut back) = read(0, 50, 40, &[8, 9]) else {
        unreachable!();
    };
    back.read_id = None;
    settler.tick(Millis(0), [TrackerInput::ReadSucceeded(back)]);
    assert_eq!(settler.cursor(), Offset(52));
}

/// Guards against outcomes that promise more than the client knows.
#[test]
fn only_certain_errors_count_as_not_appended() {
    let result = |e| AppendResult::from(&Err(e));
    let cause = String::new;
    assert_eq!(
        result(Error::NotAppended(cause())),
        AppendResult::NotAppended
    );
    assert_eq!(result(Error::Unknown(cause())), AppendResult::Unknown);
    assert_eq!(result(Error::Read(cause())), AppendResult::Unknown);
    let ok = AppendResult::from(&Ok(Offset(3)));
    assert_eq!(ok, AppendResult::Appended(Offset(3)));
    assert_eq!(record_id(&text(7)), Some(RecordId(7)));
    assert_eq!(record_id("{}"), None);
}
