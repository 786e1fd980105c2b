//! Tasks that last and fill disturb a task that serves, more from some moment on. They may be paced down or
//! stopped, but no more of them may be away at a time than their step may miss.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, HOST, PREFIX};
use crate::record::Record;
use crate::setting::Setting;
use crate::wire;
use crate::worker::{Kind, Observer};

const WORKERS: u8 = 4;
const FILLING: usize = 6;
const MAY_MISS: usize = 1;
const TARGET_MS: u64 = 10;
const CALM_MS: u64 = 3;
/// Tail latency beside tasks that fill at full speed, once they disturb.
const DISTURBED_MS: u64 = 40;
const START_TIME: Duration = Duration::from_secs(40);
const CALM_TIME: Duration = Duration::from_secs(6);
const TROUBLE_TIME: Duration = Duration::from_secs(20);
/// Time after its start from which a task that lasts is at work.
const AT_WORK: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Step {
    /// When each task that runs has started.
    running: BTreeMap<String, Instant>,
    /// Tasks that an order has ended and that are not at work again.
    stopped: BTreeMap<String, Instant>,
    broken: Vec<String>,
}

struct Ledger {
    record: Record,
    disturbs: AtomicBool,
    step: Mutex<Step>,
}

impl Step {
    fn at_work(&self) -> usize {
        let started = self.running.values();
        started.filter(|at| at.elapsed() >= AT_WORK).count()
    }
}

impl Observer for Ledger {
    fn started(&self, worker: &str, task: &str, run: u64, kind: Kind) {
        self.record
            .line(&format!("{worker} runs {task} run {run} ({kind:?})"));
        if kind == Kind::Fills {
            let mut step = self.step.lock().unwrap();
            step.running.insert(task.to_owned(), Instant::now());
        }
    }

    fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        let mut step = self.step.lock().unwrap();
        let Some(since) = step.running.remove(task) else {
            self.record
                .line(&format!("{worker} ends {task} run {run}: {how}"));
            return;
        };
        let running = step.running.clone();
        step.stopped
            .retain(|other, _| running.get(other).is_none_or(|at| at.elapsed() < AT_WORK));
        let away = step.stopped.keys().filter(|other| *other != task).count();
        self.record.line(&format!(
            "{worker} ends {task} run {run}: {how}, {away} others of the step are away by such orders"
        ));
        if how == "stopped" && since.elapsed() >= AT_WORK {
            if away >= MAY_MISS {
                let text = format!("{task} run {run} was stopped while {away} others were away");
                step.broken.push(text);
            }
            step.stopped.insert(task.to_owned(), Instant::now());
        }
    }

    fn latency(&self, filling: u64) -> u64 {
        match self.disturbs.load(Ordering::SeqCst) {
            true => CALM_MS + (DISTURBED_MS - CALM_MS) * filling.min(200) / 200,
            false => CALM_MS,
        }
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ledger = Arc::new(Ledger {
        record: record.clone(),
        disturbs: AtomicBool::new(false),
        step: Mutex::default(),
    });
    let observer: Arc<dyn Observer> = ledger.clone();
    let setting = Setting::start((2, WORKERS), 3, &observer, &record)?;
    let network = setting.network;
    let jobs = [
        format!(
            "{{\"spec\":\"serves\",\"steps\":[{{\"count\":2,\"cpu\":3000,\"memMb\":1000,\"{}\":1000,\
             \"persistent\":true,\"image\":\"s\",\"targetMs\":{TARGET_MS}}}]}}",
            wire::name("estimate")
        ),
        format!(
            "{{\"spec\":\"fills\",\"steps\":[{{\"count\":{FILLING},\"cpu\":2000,\"memMb\":500,\"{}\":1000,\
             \"persistent\":true,\"fills\":true,\"image\":\"f\",\"mayMiss\":{MAY_MISS}}}]}}",
            wire::name("estimate")
        ),
    ];
    for (number, body) in jobs.iter().enumerate() {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_1000_u64 + number as u64);
        let answer = fleet::request(network.front(0), "POST", &id, body);
        record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
        if !matches!(answer, Ok((200..=299, _))) {
            return Err(io::Error::other("a submission was not accepted"));
        }
        thread::sleep(Duration::from_secs(2));
    }
    let until = Instant::now() + START_TIME;
    while ledger.step.lock().unwrap().at_work() < FILLING {
        if Instant::now() > until {
            return Err(io::Error::other("the tasks that fill are not all at work"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("all tasks that fill are at work");
    thread::sleep(CALM_TIME);
    let early = ledger.step.lock().unwrap().broken.len();
    if has_trouble {
        record.line("the tasks that fill disturb those that serve from now on");
        ledger.disturbs.store(true, Ordering::SeqCst);
    }
    thread::sleep(TROUBLE_TIME);
    let step = ledger.step.lock().unwrap();
    for text in &step.broken {
        record.line(&format!("AVAIL: {text}"));
    }
    println!("{early} before the trouble, {} in all", step.broken.len());
    Ok(step.broken.len())
}
