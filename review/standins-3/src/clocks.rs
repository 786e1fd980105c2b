//! A worker starts while the time of day of its machine is ahead, and again after it has jumped back. It is
//! the only one that may run a job's tasks, so that the job must start there.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, HOST, PREFIX};
use crate::record::Record;
use crate::setting::Setting;
use crate::wire;
use crate::worker::Observer;

const WORKERS: u8 = 3;
const JUMP_MS: u64 = 2_400;
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Time from the start of the worker while the clock is ahead to its next crash.
const AHEAD_TIME: Duration = Duration::from_millis(1_300);
/// Time without any disturbance before the job is handed in.
const CALM_TIME: Duration = Duration::from_secs(8);
const CHECK_TIME: Duration = Duration::from_secs(30);

struct Ledger {
    record: Record,
    starts: AtomicUsize,
}

impl Observer for Ledger {
    fn started(&self, worker: &str, task: &str, run: u64) {
        self.record.line(&format!("{worker} runs {task} run {run}"));
        self.starts.fetch_add(1, Ordering::SeqCst);
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
        starts: AtomicUsize::new(0),
    });
    let observer: Arc<dyn Observer> = ledger.clone();
    let mut setting = Setting::start((2, WORKERS), 3, &observer, &record)?;
    let network = setting.network;
    {
        let worker = &mut setting.workers[0];
        (worker.label, worker.keeps_id) = ("b", true);
        worker.crash();
        thread::sleep(DOWN_TIME);
        if has_trouble {
            worker.clock_ahead = JUMP_MS;
            record.line(&format!(
                "the time of day of w0's machine jumps {JUMP_MS} ms ahead"
            ));
        }
        worker.start()?;
        thread::sleep(AHEAD_TIME);
        worker.crash();
        if has_trouble {
            worker.clock_ahead = 0;
            record.line("it jumps back");
        }
        thread::sleep(DOWN_TIME);
        worker.start()?;
    }
    thread::sleep(CALM_TIME);
    let body = format!(
        "{{\"spec\":\"work 1000\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"memMb\":256,\"{}\":1000,\"requires\":\"b\"}}]}}",
        wire::name("estimate")
    );
    let id = "5c0e7a2100002000";
    let answer = fleet::request(network.front(0), "POST", id, &body);
    record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
    if !matches!(answer, Ok((200..=299, _))) {
        return Err(io::Error::other("the submission was not accepted"));
    }
    let until = Instant::now() + CHECK_TIME;
    while Instant::now() < until && ledger.starts.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_millis(100));
    }
    let answer = fleet::request(network.front(1), "GET", id, "");
    record.line(&format!("GET {HOST}{PREFIX}{id}: {answer:?}"));
    if std::env::var_os("KEEP_LOGS").is_some() {
        setting.keep_logs(folder);
    }
    if ledger.starts.load(Ordering::SeqCst) > 0 {
        return Ok(0);
    }
    let seconds = CHECK_TIME.as_secs();
    record.line(&format!(
        "LOST: nothing of {id} has run for {seconds} s, and the worker that may run it is up and idle"
    ));
    Ok(1)
}
