//! The platform's store: a log with keyed topics, one partition each, as its page describes it.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, num, object, text};
use crate::record::Recorder;
use crate::wire;

/// Time of an answer and of an append.
const ANSWER: Duration = Duration::from_millis(4);
/// Largest record, and largest total of the records of one append.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Count of the appends that exceed them.
pub const OVER_LIMIT: &str = "appends over the limits of the store, refused with 400";
/// Records in one page of the newest records.
const PAGE: usize = 500;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    /// Highest epoch of each producer.
    epochs: BTreeMap<String, u64>,
    /// Appends of the highest epoch by number, with their offset and end.
    appends: BTreeMap<String, Vec<(u64, u64, u64)>>,
}

#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
    recorder: Recorder,
}

impl Store {
    pub fn new(recorder: Recorder) -> Self {
        let topics = Arc::new((Mutex::new(BTreeMap::new()), Condvar::new()));
        Self { topics, recorder }
    }

    /// Writes a record as the operator does.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.0.lock().unwrap();
        let records = &topics.get(topic)?.records;
        let found = records.iter().rev().find(|(k, _)| k == key)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    pub fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER);
        let name = request.query("topic")?.to_owned();
        match request.path.rsplit('/').next()? {
            "log-append" => Some(self.append(&name, request)),
            "log-newest" => Some(self.list_newest(&name, request.query("after"))),
            "log-read" => Some(self.read(&name, request)),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, name: &str, request: &Request) -> (u16, Vec<u8>) {
        if name == wire::name("operator") || name == "keyed.servers" {
            return (403, b"{}".to_vec());
        }
        let Some(records) = decode(&request.body) else {
            return (400, b"{}".to_vec());
        };
        let sizes = records
            .iter()
            .map(|(key, value)| 1 + key.len() + value.len());
        let (largest, total) = (sizes.clone().max().unwrap_or(0), sizes.sum::<usize>());
        if largest > RECORD_BYTES || total > CALL_BYTES {
            self.recorder.count(OVER_LIMIT);
            let first = self.recorder.counted(OVER_LIMIT) == 1;
            if first {
                self.recorder.note(&format!(
                    "store: append to {name} refused with 400: largest record {largest} bytes, total {total} bytes"
                ));
            }
            return (400, b"{}".to_vec());
        }
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if let Some(producer) = request.query("producer") {
            let epoch = request.number("epoch").unwrap_or(0);
            let number = request.number("seq").unwrap_or(0);
            let known = topic.epochs.get(producer).copied();
            if known.is_some_and(|known| epoch < known) {
                return (409, br#"{"reason":"fenced"}"#.to_vec());
            }
            let appends = topic.appends.entry(producer.to_owned()).or_default();
            if known != Some(epoch) {
                appends.clear();
            } else if let Some(&(_, offset, end)) =
                appends.iter().rev().take(5).find(|a| a.0 == number)
            {
                return (
                    200,
                    format!(r#"{{"offset":{offset},"end":{end}}}"#).into_bytes(),
                );
            } else if let Some(next) = appends
                .last()
                .map(|a| a.0 + 1)
                .filter(|&next| next != number)
            {
                return (
                    409,
                    format!(r#"{{"reason":"seq","seq":{next}}}"#).into_bytes(),
                );
            }
            topic.epochs.insert(producer.to_owned(), epoch);
            appends.push((number, end, end + records.len() as u64));
        }
        if request.number("at").is_some_and(|at| at != end) {
            return (412, format!(r#"{{"end":{end}}}"#).into_bytes());
        }
        topic.records.extend(records);
        let after = topic.records.len();
        self.topics.1.notify_all();
        (
            200,
            format!(r#"{{"offset":{end},"end":{after}}}"#).into_bytes(),
        )
    }

    fn list_newest(&self, name: &str, after: Option<&str>) -> (u16, Vec<u8>) {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let mut newest: BTreeMap<&str, (u64, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in (0..).zip(&topic.records) {
            newest.insert(key, (offset, value));
        }
        let left = newest.iter().filter(|(key, (_, value))| {
            !value.is_empty() && after.is_none_or(|after| **key > after)
        });
        let left: Vec<_> = left.collect();
        let items = left.iter().take(PAGE).map(|(key, (offset, value))| {
            object(&[
                ("key", text(key)),
                ("value", text(&base64(value))),
                ("offset", num(*offset)),
            ])
        });
        let body = object(&[
            ("items", Json::List(items.collect())),
            ("more", Json::Bool(left.len() > PAGE)),
            ("end", num(topic.records.len() as u64)),
        ]);
        (200, body.to_string().into_bytes())
    }

    fn read(&self, name: &str, request: &Request) -> (u16, Vec<u8>) {
        let from = request.number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.number("waitMs").unwrap_or(0));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let end = topics
                .get(name)
                .map_or(0, |topic| topic.records.len() as u64);
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, until - now).unwrap().0;
        }
        let topic = topics.entry(name.to_owned()).or_default();
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in topic.records.iter().skip(from as usize) {
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        (200, body)
    }
}

fn decode(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let record = body.get(4..4 + length)?;
        let key = usize::from(*record.first()?);
        let text = String::from_utf8_lossy(record.get(1..=key)?).into_owned();
        records.push((text, record[1 + key..].to_vec()));
        body = &body[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
