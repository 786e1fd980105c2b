//! Log records that can't be decoded.

use hyssop_core::Offset;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::fixtures::{Fixture, cases};

fn record() -> impl Strategy<Value = String> {
    let bytes = vec(any::<u8>(), 0..200);
    let text = bytes.prop_map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    let id = "00000000000000000000000000000001";
    let body = prop::sample::select(vec![
        r#"{"Put":{"base":0}}"#,
        r#"{"Remove":{"service":"PLANNER","base":1}}"#,
        r#"{"Domain":{"domain":"bergen-a","base":0,"state":"half","seen":0}}"#,
        r#"{"Quota":{"team":"haugland","base":-1,"quota":{}}}"#,
        r#"{"Snapshot":{"upto":18446744073709551615,"hash":0,"state":"{}"}}"#,
        r#"{"Snapshot":{"upto":0,"hash":0,"state":""}}"#,
        r#"{"Claim":{"owner":"","incarnation":1,"prior":null}}"#,
        r#"{"Intents":[{"job":"j","attempt":4294967296,"worker":"w"}]}"#,
        "null",
    ]);
    let envelope = body.prop_map(move |body| {
        format!(r#"{{"id":"{id}","writer":"entry-9","term":0,"body":{body}}}"#)
    });
    prop_oneof![text, envelope, Just("[".repeat(100_000))]
}

/// Guards against an invalid record that stops its readers or changes the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn undecodable_records_are_skipped() {
    let fixture = Fixture::start().await;
    for stream in ["config", "cell.bergen-a.0"] {
        for record in cases(&record()) {
            fixture.log.append(stream, vec![record]);
        }
    }
    let head = fixture.log.read("config", Offset(0), 0).head;
    fixture.wait_until_applied(head).await;
    fixture.assert_unharmed("undecodable records").await;
}
