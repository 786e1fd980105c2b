//! Tests of the commit tracker's bounds, batches, backoff, deadlines and abandoned terms.

use hyssop_core::{Millis, Offset, ReadReply, RecordId, StoredRecord, Term};
use hyssop_log::{
    AppendResult, CommitTracker, Error, GiveUpOutcome, ReadResult, Submission, TrackerInput,
    TrackerOptions, TrackerOutput, record_id,
};

fn record_text(id: u128) -> String {
    format!("{{\"id\":\"{}\",\"body\":{{}}}}", RecordId(id))
}

fn submission(id: u128) -> Submission {
    Submission::new(RecordId(id), Term(1), record_text(id))
}

fn tracker(options: TrackerOptions) -> CommitTracker {
    CommitTracker::new(options, Offset(0), 1)
}

fn append_ended(batch_id: u64, result: AppendResult) -> TrackerInput {
    TrackerInput::AppendEnded { batch_id, result }
}

/// Returns the result of a read from `from` on a stream that is retained from `first` on.
fn read_back(read_id: u64, from: u64, first: u64, ids: &[u128]) -> TrackerInput {
    let records = (from.max(first)..).zip(ids);
    let records = records.map(|(offset, id)| StoredRecord {
        offset: Offset(offset),
        record: record_text(*id),
    });
    let reply = ReadReply {
        first: Offset(first),
        head: Offset(from.max(first) + ids.len() as u64),
        records: records.collect(),
    };
    TrackerInput::ReadSucceeded(ReadResult::new(Some(read_id), Offset(from), &reply))
}

fn given_up(id: u128, outcome: GiveUpOutcome) -> TrackerOutput {
    let id = RecordId(id);
    TrackerOutput::GivenUp { id, outcome }
}

fn committed(id: u128, offset: u64) -> TrackerOutput {
    TrackerOutput::Committed {
        id: RecordId(id),
        offset: Offset(offset),
    }
}

fn appended_records(outputs: &[TrackerOutput]) -> Vec<String> {
    let records = outputs.iter().find_map(|output| match output {
        TrackerOutput::Append { records, .. } => Some(records.clone()),
        _ => None,
    });
    records.unwrap_or_default()
}

/// Guards against a separate append for each record, and against batches above the bounds.
#[test]
fn records_are_batched_up_to_the_bounds() {
    let mut tracker = tracker(TrackerOptions::default().with_max_batch_records(2));
    let inputs = (0..3).map(|id| TrackerInput::Submit(submission(id)));
    let out = tracker.tick(Millis(0), inputs);
    assert_eq!(appended_records(&out), [record_text(0), record_text(1)]);
    let ended = append_ended(0, AppendResult::Appended(Offset(0)));
    let out = tracker.tick(Millis(5), [ended]);
    assert!(
        appended_records(&out).is_empty(),
        "the append interval is respected"
    );
    let out = tracker.tick(tracker.wake_at().unwrap(), []);
    assert_eq!(appended_records(&out), [record_text(2)]);

    let options = TrackerOptions {
        max_batch_bytes: record_text(0).len() + 1,
        ..TrackerOptions::default()
    };
    let mut tracker = self::tracker(options);
    let inputs = (0..3).map(|id| TrackerInput::Submit(submission(id)));
    let out = tracker.tick(Millis(0), inputs);
    assert_eq!(appended_records(&out), [record_text(0)]);
}

/// Guards against unbounded memory while the log is unavailable.
#[test]
fn full_queue_rejects_submissions() {
    let mut by_count = tracker(TrackerOptions::default().with_max_pending_records(1));
    by_count.submit(Millis(0), submission(0));
    let out = by_count.submit(Millis(0), submission(1));
    assert_eq!(out, [given_up(1, GiveUpOutcome::QueueFull)]);
    assert!(!by_count.contains(RecordId(1)));

    let options = TrackerOptions {
        max_pending_bytes: record_text(0).len(),
        ..TrackerOptions::default()
    };
    let mut by_bytes = tracker(options);
    by_bytes.submit(Millis(0), submission(0));
    let out = by_bytes.submit(Millis(0), submission(1));
    assert_eq!(out, [given_up(1, GiveUpOutcome::QueueFull)]);
}

/// Guards against two pending records with the same identifier.
#[test]
fn repeated_submission_is_ignored() {
    let mut tracker = tracker(TrackerOptions::default());
    tracker.submit(Millis(0), submission(0));
    assert!(tracker.submit(Millis(0), submission(0)).is_empty());
    assert_eq!(tracker.pending_count(), 1);
}

/// Guards against a record that is reported as committed before it has been read back.
#[test]
fn acknowledged_append_is_committed_by_reading_back() {
    let mut tracker = tracker(TrackerOptions::default());
    tracker.submit(Millis(0), submission(0));
    let out = tracker.tick(
        Millis(1),
        [append_ended(0, AppendResult::Appended(Offset(2)))],
    );
    let expected = TrackerOutput::Read {
        read_id: 0,
        from: Offset(0),
        max: 1_024,
    };
    assert_eq!(out, [expected]);
    let out = tracker.tick(Millis(2), [read_back(0, 0, 0, &[8, 9, 0])]);
    assert_eq!(out, [committed(0, 2)]);
    assert_eq!(tracker.wake_at(), None);
}

/// Guards against records of an earlier owner that are appended or reported as committed.
#[test]
fn abandoned_term_is_given_up() {
    let mut tracker = tracker(TrackerOptions::default().with_max_batch_records(1));
    let other_term = Submission {
        term: Term(2),
        ..submission(2)
    };
    let inputs = [submission(0), submission(1), other_term];
    tracker.tick(Millis(0), inputs.map(TrackerInput::Submit));
    let out = tracker.tick(Millis(1), [TrackerInput::GiveUp { term: Term(1) }]);
    let expected = [
        given_up(0, GiveUpOutcome::Unknown),
        given_up(1, GiveUpOutcome::NotAppended),
    ];
    assert_eq!(out, expected);
    let ended = append_ended(0, AppendResult::Unknown);
    tracker.tick(Millis(2), [ended]);
    let out = tracker.tick(tracker.wake_at().unwrap(), []);
    assert_eq!(appended_records(&out), [record_text(2)]);
}

/// Guards against callers that wait forever, and against a wrong outcome when the deadline passes.
#[test]
fn expired_record_reports_whether_it_may_be_appended() {
    let mut tracker = tracker(TrackerOptions::default());
    let deadline = Millis(1_000);
    tracker.submit(Millis(0), submission(0).with_deadline(deadline));
    tracker.tick(Millis(1), [append_ended(0, AppendResult::NotAppended)]);
    tracker.submit(Millis(2), submission(1).with_deadline(Millis(3_000)));
    // The second append is rejected as well, so the first record cannot be in the stream.
    let at = tracker.wake_at().unwrap();
    assert!(!appended_records(&tracker.tick(at, [])).is_empty());
    tracker.tick(at, [append_ended(1, AppendResult::NotAppended)]);
    let out = tracker.tick(deadline, []);
    assert_eq!(out[0], given_up(0, GiveUpOutcome::NotAppended));
    tracker.tick(Millis(2_000), [append_ended(2, AppendResult::Unknown)]);
    let out = tracker.tick(Millis(3_000), []);
    assert_eq!(out[0], given_up(1, GiveUpOutcome::Unknown));
}

/// Guards against an unknown outcome of a record whose append is in flight at the deadline and is
/// then rejected without effect.
#[test]
fn record_that_expires_during_its_append_has_the_outcome_of_the_append() {
    let deadline = Millis(1_000);
    let results = [
        (AppendResult::NotAppended, GiveUpOutcome::NotAppended),
        (AppendResult::Appended(Offset(0)), GiveUpOutcome::Unknown),
        (AppendResult::Unknown, GiveUpOutcome::Unknown),
    ];
    for (result, outcome) in results {
        let mut tracker = tracker(TrackerOptions::default());
        tracker.submit(Millis(990), submission(0).with_deadline(deadline));
        assert_eq!(tracker.tick(deadline, []), []);
        assert_eq!(
            tracker.wake_at(),
            None,
            "nothing is due before the append ends"
        );
        let out = tracker.tick(Millis(1_010), [append_ended(0, result)]);
        assert_eq!(out, [given_up(0, outcome)], "{result:?}");
        assert_eq!(tracker.pending_count(), 0);
    }
}

/// Guards against a caller that waits beyond the deadline for a repeated append. An earlier append may
/// have taken effect, so that its end decides nothing.
#[test]
fn repeated_append_in_flight_does_not_delay_the_deadline() {
    let mut tracker = tracker(TrackerOptions::default());
    let deadline = Millis(1_000);
    let out = tracker.submit(Millis(0), submission(0).with_deadline(deadline));
    assert_eq!(appended_records(&out), [record_text(0)]);
    tracker.tick(Millis(1), [append_ended(0, AppendResult::Unknown)]);
    tracker.tick(Millis(2), [read_back(0, 0, 0, &[])]);
    let out = tracker.tick(tracker.wake_at().unwrap(), []);
    assert_eq!(appended_records(&out), [record_text(0)]);
    let out = tracker.tick(deadline, []);
    assert_eq!(out, [given_up(0, GiveUpOutcome::Unknown)]);
}

/// Guards against a client that floods an unavailable log, or that stops retrying.
#[test]
fn failed_appends_back_off_with_jitter() {
    let options = TrackerOptions::default().with_backoff(Millis(100), Millis(1_000));
    let delays = |seed| {
        let mut tracker = CommitTracker::new(options, Offset(0), seed);
        let mut now = Millis(0);
        tracker.submit(now, submission(0));
        let retries = (0..40).map(|batch_id| {
            tracker.tick(now, [append_ended(batch_id, AppendResult::NotAppended)]);
            let at = tracker.wake_at().unwrap();
            let delay = at - now;
            now = at;
            assert!(!appended_records(&tracker.tick(now, [])).is_empty());
            delay.0
        });
        retries.collect::<Vec<u64>>()
    };
    let first = delays(1);
    for (i, delay) in first.iter().enumerate() {
        let max_delay = (100 << i.min(10)).min(1_000);
        assert!((max_delay / 2..=max_delay).contains(delay), "{i}: {delay}");
    }
    assert_eq!(first, delays(1), "the same seed gives the same delays");
    assert_ne!(first, delays(2), "another seed gives other delays");
}

/// Guards against reads in a tight loop while the log is unavailable.
#[test]
fn failed_reads_back_off() {
    let mut tracker = tracker(TrackerOptions::default());
    tracker.submit(Millis(0), submission(0));
    tracker.tick(Millis(1), [append_ended(0, AppendResult::Unknown)]);
    let out = tracker.tick(Millis(2), [TrackerInput::ReadFailed { read_id: 0 }]);
    assert!(out.is_empty());
    let at = tracker.wake_at().unwrap();
    assert!(at >= Millis(52));
    let out = tracker.tick(at, []);
    assert!(matches!(out[..], [TrackerOutput::Read { read_id: 1, .. }]));
}

/// Guards against a wrong outcome for records that were dropped before they could be read back.
#[test]
fn outcome_of_records_dropped_unread_is_not_guessed() {
    let mut unknown = tracker(TrackerOptions::default());
    unknown.submit(Millis(0), submission(0));
    unknown.tick(Millis(1), [append_ended(0, AppendResult::Unknown)]);
    let out = unknown.tick(Millis(2), [read_back(0, 0, 10, &[])]);
    assert_eq!(out, [given_up(0, GiveUpOutcome::Unknown)]);

    let mut acknowledged = tracker(TrackerOptions::default());
    acknowledged.submit(Millis(0), submission(0));
    let ended = append_ended(0, AppendResult::Appended(Offset(4)));
    acknowledged.tick(Millis(1), [ended]);
    let out = acknowledged.tick(Millis(2), [read_back(0, 0, 10, &[])]);
    assert_eq!(out, [committed(0, 4)]);
}

/// Guards against an idle tracker that treats records dropped long ago as possible copies of its
/// own.
#[test]
fn driver_reads_advance_an_idle_tracker() {
    let mut tracker = tracker(TrackerOptions::default());
    let TrackerInput::ReadSucceeded(mut back) = read_back(0, 50, 40, &[8, 9]) else {
        unreachable!();
    };
    back.read_id = None;
    tracker.tick(Millis(0), [TrackerInput::ReadSucceeded(back)]);
    assert_eq!(tracker.cursor(), Offset(52));
}

/// Guards against an append that is reported as failed although it may have taken effect.
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
    assert_eq!(record_id(&record_text(7)), Some(RecordId(7)));
    assert_eq!(record_id("{}"), None);
}
