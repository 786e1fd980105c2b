//! Workers crash one after the other. No task ends as failed, so that no accepted job may be shown as
//! failed.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, HOST, PREFIX};
use crate::json::Json;
use crate::record::Record;
use crate::setting::Setting;
use crate::wire;
use crate::worker::Observer;

const WORKERS: u8 = 8;
const ATTEMPTS: u32 = 3;
/// One of eight workers is down at a time.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
const CRASH_INTERVAL: Duration = Duration::from_millis(2_000);
const TRAFFIC_TIME: Duration = Duration::from_secs(40);
const FINISH_TIME: Duration = Duration::from_secs(50);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);
const WORK_MS: u64 = 6_000;

struct Ledger {
    record: Record,
    /// Ends of the runs of each job that are `failed`.
    failures: Mutex<BTreeMap<String, u32>>,
}

impl Observer for Ledger {
    fn started(&self, worker: &str, task: &str, run: u64) {
        self.record.line(&format!("{worker} runs {task} run {run}"));
    }

    fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.record
            .line(&format!("{worker} ends {task} run {run}: {how}"));
        if how == "failed" {
            let job = task.split('.').next().unwrap_or_default().to_owned();
            *self.failures.lock().unwrap().entry(job).or_default() += 1;
        }
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ledger = Arc::new(Ledger {
        record: record.clone(),
        failures: Mutex::default(),
    });
    let observer: Arc<dyn Observer> = ledger.clone();
    let mut setting = Setting::start((3, WORKERS), ATTEMPTS, &observer, &record)?;
    let network = setting.network;
    let body = format!(
        "{{\"spec\":\"work {WORK_MS}\",\"steps\":[{{\"count\":3,\"cpu\":1000,\"memMb\":256,\"{}\":{WORK_MS}}}]}}",
        wire::name("estimate")
    );
    record.line(&format!("each job: POST {HOST}{PREFIX}ID {body}"));
    let started = Instant::now();
    let mut accepted = Vec::new();
    let (mut crashes, mut down) = (0, None);
    let (mut next_crash, mut next_submit) = (started + CRASH_INTERVAL, started);
    // A fixed sequence, which does not depend on where tasks run.
    let mut random = 1_u64;
    while started.elapsed() < TRAFFIC_TIME {
        let now = Instant::now();
        if now >= next_submit {
            next_submit += SUBMIT_INTERVAL;
            let number = accepted.len();
            let id = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number as u64);
            let front = network.front((number % 3) as u8);
            let answer = fleet::request(front, "POST", &id, &body);
            record.line(&format!("submit {id}: {answer:?}"));
            if matches!(answer, Ok((200..=299, _))) {
                accepted.push(id);
            } else {
                return Err(io::Error::other("a submission was not accepted"));
            }
        }
        if has_trouble && now >= next_crash && down.is_none() {
            next_crash += CRASH_INTERVAL;
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let victim = (random >> 33) as usize % setting.workers.len();
            setting.workers[victim].crash();
            crashes += 1;
            down = Some((victim, now + DOWN_TIME));
        }
        if let Some((victim, until)) = down
            && now >= until
        {
            setting.workers[victim].start()?;
            down = None;
        }
        thread::sleep(Duration::from_millis(5));
    }
    if let Some((victim, _)) = down {
        thread::sleep(DOWN_TIME);
        setting.workers[victim].start()?;
    }
    let until = Instant::now() + FINISH_TIME;
    let mut open = accepted.clone();
    let mut broken = Vec::new();
    while !open.is_empty() && Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
        let mut left = Vec::new();
        for id in open {
            let answer = fleet::request(network.front(0), "GET", &id, "");
            let state = answer.ok().filter(|(status, _)| *status == 200);
            let state = state.and_then(|(_, body)| Json::parse(&body));
            match state.as_ref().map(|body| body.get("state").text()) {
                Some("complete") => record.line(&format!("GET {id}: complete")),
                Some("failed") => {
                    record.line(&format!("GET {id}: failed"));
                    let failures = ledger.failures.lock().unwrap();
                    if failures.get(&id).copied().unwrap_or(0) < ATTEMPTS {
                        broken.push(id);
                    }
                }
                _ => left.push(id),
            }
        }
        open = left;
    }
    let mut processes = setting.entries.iter_mut().chain(&mut setting.agents);
    if processes.any(|process| process.has_exited()) {
        return Err(io::Error::other("a process has exited"));
    }
    println!(
        "{} jobs accepted, {crashes} crashes, {} jobs shown as failed without a failed run, {} still open",
        accepted.len(),
        broken.len(),
        open.len()
    );
    for id in &broken {
        record.line(&format!(
            "LOST: {id} is shown as failed, and none of its runs has ended as failed"
        ));
    }
    if std::env::var_os("KEEP_LOGS").is_some() {
        setting.keep_logs(folder);
    }
    Ok(broken.len())
}
