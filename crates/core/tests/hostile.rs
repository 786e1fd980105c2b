//! Property tests of the decoders of this crate with malformed documents, tickets and JSON.

use hyssop_core::{
    CellRecord, ConfRecord, Envelope, JobSpec, PollReply, ReadReply, RecordId, ServiceDoc, Ticket,
    limits,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use serde::Serialize;
use serde::de::DeserializeOwned;

const PLANNER: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a", "forde"]
idempotent = ["/day-sheets"]

[needs]
instances = 10
resources = { cpu = 4000, mem = 8192 }

[moves]
away = 1

[limits]
slots = 8
connections = 64
"#;

/// Configures all properties with a fixed seed; `HYSSOP_CASES` sets the number of cases.
fn config() -> ProptestConfig {
    let cases = std::env::var("HYSSOP_CASES").ok();
    ProptestConfig {
        cases: cases.map_or(512, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

/// Generates text that replaces a part of a valid document.
fn fragment() -> impl Strategy<Value = String> {
    let known = select(vec![
        "",
        "0",
        "-1",
        "99999999999999999999",
        "1e400",
        "nan",
        "true",
        "[]",
        "{}",
        "\"",
        "'''",
        "[[needs]]",
        "[needs.resources]",
        "service = 1",
        "planner = {",
        "\u{0}",
        "\u{feff}",
        "inf",
        "\"PLANNER\"",
        "1979-05-27",
        "#",
        "\\u0000",
    ]);
    prop_oneof![
        3 => known.prop_map(str::to_owned),
        1 => ".{0,40}",
        1 => (1..5_000_usize).prop_map(|depth| "[".repeat(depth)),
        1 => (1..3_000_usize).prop_map(|depth| "a.".repeat(depth)),
    ]
}

/// Replaces `len` characters of a text with a fragment.
fn replace_range(text: &str, from: Index, len: usize, fragment: &str) -> String {
    let chars: Vec<char> = text.chars().collect();
    let from = from.index(chars.len());
    let to = (from + len).min(chars.len());
    let start: String = chars[..from].iter().collect();
    let end: String = chars[to..].iter().collect();
    format!("{start}{fragment}{end}")
}

/// Checks that a text that decodes to a value encodes to a text that decodes to the same value.
fn assert_round_trip<T>(text: &str)
where
    T: DeserializeOwned + Serialize + PartialEq + std::fmt::Debug,
{
    if let Ok(value) = serde_json::from_str::<T>(text) {
        let encoded = serde_json::to_string(&value).expect("it was decoded");
        let decoded: T = serde_json::from_str(&encoded).expect("it was encoded");
        assert_eq!(decoded, value, "{text}");
    }
}

/// Selects valid JSON of a record of each stream, a reply to a poll, or a reply to a read.
fn valid_json_sample() -> impl Strategy<Value = &'static str> {
    let id = "00000000000000000000000000000001";
    assert_eq!(id, RecordId(1).to_string());
    select(vec![
        r#"{"id":"00000000000000000000000000000001","writer":"e","term":0,"body":{"Remove":{"service":"planner","base":1}}}"#,
        r#"{"id":"00000000000000000000000000000001","writer":"e","term":3,"body":{"Finished":{"job":"j","attempt":1,"result":"r"}}}"#,
        r#"{"id":"00000000000000000000000000000001","writer":"e","term":3,"body":{"Intents":[{"job":"j","attempt":1,"worker":"w"}]}}"#,
        r#"{"stamp":{"incarnation":1,"at":2},"term":3,"capacity":{"cpu":1,"mem":1},"rack":"r","events":[{"seq":1,"job":"j","attempt":1,"kind":"started"}],"usage":[],"inventory":null,"rejected":[]}"#,
        r#"{"first":0,"head":1,"records":[{"offset":0,"record":"{}"}]}"#,
    ])
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic of the document parser, an accepted document with a value that is not
    /// allowed, and an error without a message.
    #[test]
    fn malformed_documents_are_rejected_or_valid(
        from in any::<Index>(),
        len in 0..30_usize,
        fragment in fragment(),
    ) {
        let text = replace_range(PLANNER, from, len, &fragment);
        match ServiceDoc::parse(&text) {
            Ok(doc) => {
                prop_assert!(doc.check().is_ok());
                prop_assert!(!doc.domains.is_empty() && doc.needs.resources.cpu > 0);
            }
            Err(e) => prop_assert!(!e.to_string().is_empty()),
        }
    }

    /// Guards against an oversized document that is accepted, or whose error message contains the
    /// document.
    #[test]
    fn oversized_documents_are_rejected(extra in 1..100_000_usize) {
        let text = "#".repeat(limits::MAX_DOCUMENT_BYTES + extra);
        let error = ServiceDoc::parse(&text).unwrap_err().to_string();
        prop_assert!(error.len() < 200, "{}", error);
    }

    /// Guards against a ticket with several text forms, with which a repeat would not be recognized.
    /// Only the case of the hexadecimal digits may differ.
    #[test]
    fn tickets_have_one_text_form_apart_from_case(text in "[-+ 0-9a-fA-FxX]{30,36}", nonce in any::<u64>()) {
        let plain = format!("{nonce:016x}-{nonce:016x}");
        prop_assert_eq!(plain.parse::<Ticket>().unwrap().to_string(), plain);
        let signed = format!("+{:015x}-{nonce:016x}", nonce >> 4);
        prop_assert!(signed.parse::<Ticket>().is_err());
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string(), text.to_ascii_lowercase());
        }
    }

    /// Guards against a panic on malformed JSON from the log or a worker, and against a value that
    /// changes when it is encoded and decoded again.
    #[test]
    fn malformed_json_is_rejected_or_round_trips(
        text in valid_json_sample(),
        from in any::<Index>(),
        len in 0..10_usize,
        fragment in fragment(),
        cut in any::<Index>(),
    ) {
        let changed = replace_range(text, from, len, &fragment);
        for text in [text, changed.as_str(), &text[..cut.index(text.len())]] {
            assert_round_trip::<Envelope<ConfRecord>>(text);
            assert_round_trip::<Envelope<CellRecord>>(text);
            assert_round_trip::<PollReply>(text);
            assert_round_trip::<ReadReply>(text);
            assert_round_trip::<JobSpec>(text);
        }
    }

    /// Guards against a panic on random bytes, which need not be UTF-8.
    #[test]
    fn random_bytes_are_rejected(bytes in vec(any::<u8>(), 0..200)) {
        prop_assert!(serde_json::from_slice::<Envelope<CellRecord>>(&bytes).is_err());
        prop_assert!(serde_json::from_slice::<PollReply>(&bytes).is_err());
        if let Ok(text) = std::str::from_utf8(&bytes) {
            prop_assert!(ServiceDoc::parse(text).is_err());
        }
    }
}
