//! Builders shared by the test files of this crate.

use hyssop_core::{ConfRecord, EntryName, Envelope, RecordId, ServiceDoc, Term, Version};

/// Parses the name of an entry.
pub(crate) fn entry(name: &str) -> EntryName {
    EntryName::new(name).expect("entry name")
}

/// Returns a valid document. Different values of `away` make its versions distinguishable.
pub(crate) fn doc(service: &str, team: &str, away: u32) -> ServiceDoc {
    let text = format!(
        "service = '{service}'\nteam = '{team}'\nclass = 'batch'\ndomains = ['bergen-a']\n\
         [needs]\nresources = {{ cpu = 1000, mem = 64 }}\n[moves]\naway = {away}\n"
    );
    ServiceDoc::parse(&text).expect("document")
}

/// Returns a record that sets a document of the team `haugland`.
pub(crate) fn put(service: &str, base: u64, away: u32) -> ConfRecord {
    ConfRecord::Put {
        base: Version(base),
        doc: doc(service, "haugland", away),
    }
}

/// Wraps a record in an envelope.
pub(crate) fn envelope(id: u128, writer: &str, body: ConfRecord) -> Envelope<ConfRecord> {
    Envelope {
        id: RecordId(id),
        writer: entry(writer),
        term: Term(0),
        body,
    }
}
