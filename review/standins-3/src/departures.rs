//! A worker crashes for good soon after the start of a task that lasts. The others are well and idle, so that
//! the task must run again soon. Not a case of its own: issue 46 describes it.

use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, HOST, PREFIX};
use crate::record::Record;
use crate::setting::Setting;
use crate::wire;
use crate::worker::Observer;

const WORKERS: u8 = 8;
const START_TIME: Duration = Duration::from_secs(10);
/// Time from the start of the task to the crash of its worker.
const CRASH_AT: Duration = Duration::from_millis(150);
/// Time after the crash by which the task must run: 6 s after its last run, and 3 s without one.
const BOUND: Duration = Duration::from_secs(9);
const CHECK_TIME: Duration = Duration::from_secs(20);

struct Ledger {
    record: Record,
    /// Workers on which the task has started, and when.
    starts: Mutex<Vec<(String, Instant)>>,
}

impl Ledger {
    fn wait(&self, count: usize, limit: Duration) -> Option<(String, Instant)> {
        let until = Instant::now() + limit;
        loop {
            let start = self.starts.lock().unwrap().get(count - 1).cloned();
            if start.is_some() || Instant::now() > until {
                return start;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Observer for Ledger {
    fn started(&self, worker: &str, task: &str, run: u64) {
        self.record.line(&format!("{worker} runs {task} run {run}"));
        let start = (worker.to_owned(), Instant::now());
        self.starts.lock().unwrap().push(start);
    }

    fn ended(&self, worker: &str, task: &str, run: u64, how: &str) {
        self.record
            .line(&format!("{worker} ends {task} run {run}: {how}"));
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ledger = Arc::new(Ledger {
        record: record.clone(),
        starts: Mutex::default(),
    });
    let observer: Arc<dyn Observer> = ledger.clone();
    let mut setting = Setting::start((2, WORKERS), 3, &observer, &record)?;
    thread::sleep(Duration::from_secs(8));
    let body = format!(
        "{{\"spec\":\"work 600000\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":256,\"{}\":1000,\"persistent\":true}}]}}",
        wire::name("estimate")
    );
    let id = "5c0e7a2100006000";
    let answer = fleet::request(setting.network.front(0), "POST", id, &body);
    record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
    if !matches!(answer, Ok((200..=299, _))) {
        return Err(io::Error::other("the submission was not accepted"));
    }
    let Some((worker, started)) = ledger.wait(1, START_TIME) else {
        return Err(io::Error::other("the task has not started"));
    };
    if !has_trouble {
        let moved = ledger.wait(2, CHECK_TIME);
        return Ok(usize::from(moved.is_some()));
    }
    thread::sleep(CRASH_AT.saturating_sub(started.elapsed()));
    let name = worker.split('-').nth(1).unwrap_or_default();
    let workers = &mut setting.workers;
    if let Some(worker) = workers.iter_mut().find(|worker| worker.name == name) {
        worker.crash();
    }
    let crashed = Instant::now();
    let next = ledger.wait(2, CHECK_TIME);
    let away = next.map(|(_, at)| at - crashed);
    let text = away.map_or("more".to_owned(), |away| format!("{} ms", away.as_millis()));
    println!("the task was away for {text}");
    if away.is_some_and(|away| away <= BOUND) {
        return Ok(0);
    }
    record.line(&format!(
        "LOST: the task of {id} was away for {text}, and the other workers are idle"
    ));
    Ok(1)
}
