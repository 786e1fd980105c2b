//! Stand-in for the platform's store: topics with keys and one partition.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server, json};
use crate::json::Json;
use crate::object;
use crate::wire::w;

/// Time of one answer, as the deployment sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_ITEMS: usize = 500;

#[derive(Default)]
struct Writer {
    epoch: u64,
    /// Number of the last append, if the epoch has one.
    last: Option<u64>,
    /// Last five appends: number, offset and end.
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    writers: HashMap<String, Writer>,
}

#[derive(Default)]
struct Topics(BTreeMap<String, Topic>);

/// The store. Clones share the records.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

impl Store {
    pub fn serve(&self, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, move |request| store.respond(request))
    }

    /// Writes a record as the operator does; without a value, the key is dropped.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.0.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.topics.1.notify_all();
    }

    fn respond(&self, request: &Request) -> Response {
        let name = request.query("topic").unwrap_or_default().to_owned();
        let path = request.path.as_str();
        if path == w("read") {
            return self.read(request, &name);
        }
        thread::sleep(ANSWER_TIME);
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.0.entry(name).or_default();
        if path == w("append") {
            let response = topic.append(request);
            self.topics.1.notify_all();
            response
        } else if path == w("newest") {
            topic.newest(request.query("after"))
        } else {
            (404, Vec::new())
        }
    }

    fn read(&self, request: &Request, name: &str) -> Response {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0) as usize;
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let records = topics.0.entry(name.to_owned()).or_default().records.len();
            let now = Instant::now();
            if records > from || now >= until {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, until - now).unwrap().0;
        }
        let records = &topics.0[name].records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            if body.len() > 1_000_000 {
                break;
            }
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        drop(topics);
        thread::sleep(ANSWER_TIME);
        (200, body)
    }
}

impl Topic {
    fn append(&mut self, request: &Request) -> Response {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let end = self.records.len() as u64;
        let records = decode_records(&request.body);
        if let Some(name) = request.query("producer") {
            let writer = self.writers.entry(name.to_owned()).or_default();
            let (epoch, seq) = (number("epoch").unwrap_or(0), number("seq").unwrap_or(0));
            if epoch < writer.epoch {
                return json(409, &object! {"reason" => "fenced"});
            }
            if epoch > writer.epoch {
                *writer = Writer {
                    epoch,
                    ..Writer::default()
                };
            }
            if let Some((_, offset, end)) = writer.recent.iter().find(|(n, ..)| *n == seq) {
                return json(200, &object! {"offset" => *offset, "end" => *end});
            }
            if let Some(last) = writer.last.filter(|last| seq != last + 1) {
                return json(409, &object! {"reason" => "seq", "seq" => last + 1});
            }
            writer.last = Some(seq);
            writer
                .recent
                .push_back((seq, end, end + records.len() as u64));
            if writer.recent.len() > 5 {
                writer.recent.pop_front();
            }
        }
        if number("at").is_some_and(|at| at != end) {
            return json(412, &object! {"end" => end});
        }
        self.records.extend(records);
        json(
            200,
            &object! {"offset" => end, "end" => self.records.len() as u64},
        )
    }

    fn newest(&self, after: Option<&str>) -> Response {
        let mut newest: BTreeMap<&str, (u64, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in (0..).zip(&self.records) {
            newest.insert(key, (offset, value));
        }
        let mut items = newest.into_iter().filter(|(key, (_, value))| {
            !value.is_empty() && after.is_none_or(|after| *key > after)
        });
        let page: Vec<Json> = items
            .by_ref()
            .take(MAX_ITEMS)
            .map(|(key, (offset, value))| {
                object! {"key" => key, "value" => base64(value), "offset" => offset}
            })
            .collect();
        let has_more = items.next().is_some();
        let end = self.records.len() as u64;
        json(
            200,
            &object! {"items" => page, "more" => has_more, "end" => end},
        )
    }
}

fn decode_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while body.len() >= 5 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let record = &body[4..4 + length];
        let key = usize::from(record[0]);
        let text = String::from_utf8_lossy(&record[1..=key]).into_owned();
        records.push((text, record[1 + key..].to_vec()));
        body = &body[4 + length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
