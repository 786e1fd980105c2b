//! Records that expire after they were settled and before they are read back.

use hyssop_core::{Offset, RecordId, Term};
use hyssop_log::{Submission, UnreadRecords};

fn submission(id: u128, term: u64) -> Submission {
    Submission::new(RecordId(id), Term(term), format!("record {id}"))
}

fn ids(again: &[Submission]) -> Vec<u128> {
    again.iter().map(|submission| submission.id.0).collect()
}

/// Guards against a core that waits for ever for a record that expired before it was read.
#[test]
fn a_settled_record_that_expired_unread_is_submitted_again_once() {
    let mut unread = UnreadRecords::default();
    unread.insert(submission(1, 5));
    unread.mark_committed(RecordId(1), Offset(10));
    assert!(unread.take_expired(Offset(10)).is_empty());
    assert_eq!(ids(&unread.take_expired(Offset(11))), [1]);
    // The second try is in doubt until it is settled at its own offset.
    assert!(unread.take_expired(Offset(20)).is_empty());
    unread.mark_committed(RecordId(1), Offset(21));
    assert_eq!(ids(&unread.take_expired(Offset(22))), [1]);
}

/// Guards against a second copy of a record that was read, is still in doubt, or is void.
#[test]
fn records_read_in_doubt_or_of_an_ended_term_are_not_submitted_again() {
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

/// Guards against growth by records whose settlement is reported after they were read.
#[test]
fn a_late_settlement_of_a_read_record_is_ignored() {
    let mut unread = UnreadRecords::default();
    unread.insert(submission(1, 5));
    unread.remove(RecordId(1));
    unread.mark_committed(RecordId(1), Offset(1));
    assert!(unread.take_expired(Offset(2)).is_empty());
}
