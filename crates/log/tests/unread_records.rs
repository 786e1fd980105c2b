//! Tests of records that expire after they were committed and before the core has read them.

use hyssop_core::{Offset, RecordId, Term};
use hyssop_log::{Submission, UnreadRecords};

fn submission(id: u128, term: u64) -> Submission {
    Submission::new(RecordId(id), Term(term), format!("record {id}"))
}

fn ids(expired: &[Submission]) -> Vec<u128> {
    expired.iter().map(|submission| submission.id.0).collect()
}

/// Guards against a core that waits forever for a record that expired before it was read.
#[test]
fn committed_record_that_expired_unread_is_resubmitted_once() {
    let mut unread = UnreadRecords::default();
    unread.insert(submission(1, 5));
    unread.mark_committed(RecordId(1), Offset(10));
    assert!(unread.take_expired(Offset(10)).is_empty());
    assert_eq!(ids(&unread.take_expired(Offset(11))), [1]);
    // The second append is uncommitted until its own offset is known.
    assert!(unread.take_expired(Offset(20)).is_empty());
    unread.mark_committed(RecordId(1), Offset(21));
    assert_eq!(ids(&unread.take_expired(Offset(22))), [1]);
}

/// Guards against a second copy of a record that was read, is still uncommitted, or belongs to an
/// ended term.
#[test]
fn read_or_uncommitted_records_are_not_resubmitted() {
    let mut unread = UnreadRecords::default();
    for id in 1..=3 {
        unread.insert(submission(id, id as u64));
    }
    unread.mark_committed(RecordId(1), Offset(1));
    unread.mark_committed(RecordId(3), Offset(3));
    unread.remove(RecordId(1));
    unread.remove_term(Term(3));
    assert!(unread.take_expired(Offset(100)).is_empty());
}

/// Guards against unbounded memory through records whose commit is reported after they were read.
#[test]
fn late_commit_of_a_read_record_is_ignored() {
    let mut unread = UnreadRecords::default();
    unread.insert(submission(1, 5));
    unread.remove(RecordId(1));
    unread.mark_committed(RecordId(1), Offset(1));
    assert!(unread.take_expired(Offset(2)).is_empty());
}
