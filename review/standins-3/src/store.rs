//! Store of the platform: a log with keyed topics of one partition each.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::wire;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const REMEMBERED_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Numbers and answers of the last appends, the latest last.
    appends: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Topic>>, Condvar)>);

impl Store {
    /// Writes a record as operators do.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.0.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.0.1.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let topic = request.query("topic").unwrap_or_default().to_owned();
        if request.path == wire::path("append") {
            let mut topics = self.0.0.lock().unwrap();
            let answer = topics.entry(topic).or_default().append(request);
            self.0.1.notify_all();
            let (status, body) = answer;
            Some((status, body.into_bytes()))
        } else if request.path == wire::path("read") {
            Some((200, self.read(&topic, request)))
        } else if request.path == wire::path("newest") {
            let mut topics = self.0.0.lock().unwrap();
            let page = topics
                .entry(topic)
                .or_default()
                .newest(request.query("after"));
            Some((200, page.into_bytes()))
        } else {
            Some((404, Vec::new()))
        }
    }

    fn read(&self, topic: &str, request: &Request) -> Vec<u8> {
        let from = request.query_number("from").unwrap_or(0) as usize;
        let wait = request.query_number(wire::name("wait")).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut topics = self.0.0.lock().unwrap();
        loop {
            let records = &topics.entry(topic.to_owned()).or_default().records;
            let remaining = until.saturating_duration_since(Instant::now());
            if records.len() > from || remaining.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend(length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            topics = self.0.1.wait_timeout(topics, remaining).unwrap().0;
        }
    }
}

impl Topic {
    fn append(&mut self, request: &Request) -> (u16, String) {
        let end = self.records.len();
        if let Some(at) = request.query_number("at")
            && at != end as u64
        {
            return (412, format!("{{\"end\":{end}}}"));
        }
        let records = decode(&request.body);
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", end + records.len());
        if let Some(name) = request.query("producer") {
            let epoch = request.query_number("epoch").unwrap_or(0);
            let number = request.query_number("seq").unwrap_or(0);
            let producer = self.producers.entry(name.to_owned()).or_default();
            if epoch < producer.epoch {
                return (409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > producer.epoch {
                producer.epoch = epoch;
                producer.appends.clear();
            }
            let known = producer.appends.iter().find(|(known, _)| *known == number);
            if let Some((_, answer)) = known {
                return (200, answer.clone());
            }
            if let Some((last, _)) = producer.appends.back()
                && number != last + 1
            {
                return (409, format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1));
            }
            producer.appends.push_back((number, answer.clone()));
            if producer.appends.len() > REMEMBERED_APPENDS {
                producer.appends.pop_front();
            }
        }
        self.records.extend(records);
        (200, answer)
    }

    fn newest(&self, after: Option<&str>) -> String {
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in self.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest
            .retain(|key, (_, value)| !value.is_empty() && after.is_none_or(|after| *key > after));
        let more = newest.len() > PAGE_RECORDS;
        let items = newest
            .iter()
            .take(PAGE_RECORDS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            });
        let items: Vec<_> = items.collect();
        let end = self.records.len();
        format!(
            "{{\"items\":[{}],\"more\":{more},\"end\":{end}}}",
            items.join(",")
        )
    }
}

fn decode(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((head, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head) as usize;
        let record = &rest[..length];
        let key = usize::from(record[0]);
        let text = String::from_utf8_lossy(&record[1..=key]).into_owned();
        records.push((text, record[1 + key..].to_vec()));
        body = &rest[length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
