//! Contents of earlier messages, to distinguish changes from repeats.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Incarnation, RecordId, Ticket};

/// Start of a placeholder that the rendering replaces by a short name.
pub(super) const OPEN: char = '\u{2}';
/// End of a placeholder.
pub(super) const CLOSE: char = '\u{3}';

/// Returns the placeholder for the short name of a request key.
pub(super) fn key_name(ticket: Ticket) -> String {
    format!("{OPEN}K{ticket}{CLOSE}")
}

/// Returns the placeholder for the short name of an incarnation.
pub(super) fn incarnation_name(incarnation: Incarnation) -> String {
    format!("{OPEN}I{incarnation}{CLOSE}")
}

/// Latest text on each subject, and the records appended so far.
#[derive(Debug, Default)]
pub(super) struct History {
    last_texts: BTreeMap<String, String>,
    appended_records: BTreeSet<(String, RecordId)>,
    kinds: BTreeMap<u64, &'static str>,
}

impl History {
    /// Stores a text and returns whether it differs from the previous text on the subject.
    pub(super) fn has_changed(&mut self, subject: String, text: &str) -> bool {
        self.last_texts.insert(subject, text.to_owned()).as_deref() != Some(text)
    }

    /// Removes the text on a subject, so that the next one counts as changed.
    pub(super) fn forget(&mut self, subject: &str) {
        self.last_texts.remove(subject);
    }

    /// Stores an appended record and returns whether it is the first append of its identifier.
    pub(super) fn is_first_append(&mut self, stream: &str, id: RecordId) -> bool {
        self.appended_records.insert((stream.to_owned(), id))
    }

    /// Stores the kind of an exchange that is only counted, so that its refusal is counted as well.
    pub(super) fn record_kind(&mut self, rpc: u64, kind: &'static str) {
        self.kinds.insert(rpc, kind);
    }

    /// Returns the kind of an exchange that is only counted.
    pub(super) fn kind(&self, rpc: u64) -> Option<&'static str> {
        self.kinds.get(&rpc).copied()
    }
}
