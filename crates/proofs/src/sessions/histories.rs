//! What was said before, to tell news from repeats.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Incarnation, RecordId, Ticket};

/// Start of a name that is replaced by a short one.
pub(super) const OPEN: char = '\u{2}';
/// End of such a name.
pub(super) const CLOSE: char = '\u{3}';

/// Returns the stand-in for the short name of a request key.
pub(super) fn key_name(ticket: Ticket) -> String {
    format!("{OPEN}K{ticket}{CLOSE}")
}

/// Returns the stand-in for the short name of an incarnation.
pub(super) fn incarnation_name(incarnation: Incarnation) -> String {
    format!("{OPEN}I{incarnation}{CLOSE}")
}

/// What was said before.
#[derive(Debug, Default)]
pub(super) struct History {
    last_texts: BTreeMap<String, String>,
    appended_records: BTreeSet<(String, RecordId)>,
    kinds: BTreeMap<u64, &'static str>,
}

impl History {
    /// Tells whether something differs from what was said last about a subject.
    pub(super) fn has_changed(&mut self, subject: String, text: &str) -> bool {
        self.last_texts.insert(subject, text.to_owned()).as_deref() != Some(text)
    }

    /// Forgets what was said last about a subject.
    pub(super) fn forget(&mut self, subject: &str) {
        self.last_texts.remove(subject);
    }

    /// Tells whether a record was not sent to its stream before.
    pub(super) fn is_first_append(&mut self, stream: &str, id: RecordId) -> bool {
        self.appended_records.insert((stream.to_owned(), id))
    }

    /// Notes the kind of an exchange without news, so that its refusal is counted as well.
    pub(super) fn record_kind(&mut self, rpc: u64, kind: &'static str) {
        self.kinds.insert(rpc, kind);
    }

    /// Returns the kind of an exchange without news.
    pub(super) fn kind(&self, rpc: u64) -> Option<&'static str> {
        self.kinds.get(&rpc).copied()
    }
}
