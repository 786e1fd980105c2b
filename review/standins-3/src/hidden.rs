//! An acknowledgement of an end is left without an answer, and its worker starts again under its identifier.
//! It is the only one that may run a job's tasks, so that the job must start there.

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

const WORKERS: u8 = 8;
const HOLD_TIME: Duration = Duration::from_secs(12);
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time from the receipt of the acknowledgement to the crash.
const CRASH_AT: Duration = Duration::from_millis(400);
const CARRY_OUT_AT: Duration = Duration::from_millis(2_500);
/// Time without any disturbance before the second job is handed in.
const CALM_TIME: Duration = Duration::from_secs(15);
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
    // The only worker of its kind.
    setting.workers[0].crash();
    thread::sleep(DOWN_TIME);
    (setting.workers[0].label, setting.workers[0].keeps_id) = ("b", true);
    setting.workers[0].start()?;
    thread::sleep(Duration::from_secs(8));
    let body = format!(
        "{{\"spec\":\"work 1000\",\"steps\":[{{\"count\":2,\"cpu\":1000,\"memMb\":256,\"{}\":1000,\"requires\":\"b\"}}]}}",
        wire::name("estimate")
    );
    let submit = |id: &str| -> io::Result<()> {
        let answer = fleet::request(network.front(0), "POST", id, &body);
        record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
        match answer {
            Ok((200..=299, _)) => Ok(()),
            _ => Err(io::Error::other("the submission was not accepted")),
        }
    };
    if has_trouble {
        setting.workers[0].hold_next("probe");
    }
    submit("5c0e7a2100005000")?;
    let until = Instant::now() + HOLD_TIME;
    while has_trouble && setting.workers[0].held_for().is_none() {
        if Instant::now() > until {
            return Err(io::Error::other("no end was acknowledged"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    if !has_trouble {
        thread::sleep(Duration::from_secs(3));
    }
    let received = Instant::now();
    let wait = |at: Duration| thread::sleep(at.saturating_sub(received.elapsed()));
    record.line(match has_trouble {
        true => "the acknowledgement of an end gets no answer",
        false => "all ends are acknowledged",
    });
    wait(CRASH_AT);
    setting.workers[0].crash();
    wait(CRASH_AT + DOWN_TIME);
    setting.workers[0].start()?;
    wait(CARRY_OUT_AT);
    setting.workers[0].release();
    thread::sleep(CALM_TIME);
    let before = ledger.starts.load(Ordering::SeqCst);
    let id = "5c0e7a2100005001";
    submit(id)?;
    let until = Instant::now() + CHECK_TIME;
    while Instant::now() < until && ledger.starts.load(Ordering::SeqCst) == before {
        thread::sleep(Duration::from_millis(100));
    }
    let answer = fleet::request(network.front(1), "GET", id, "");
    record.line(&format!("GET {HOST}{PREFIX}{id}: {answer:?}"));
    if std::env::var_os("KEEP_LOGS").is_some() {
        setting.keep_logs(folder);
    }
    if ledger.starts.load(Ordering::SeqCst) > before {
        return Ok(0);
    }
    let seconds = CHECK_TIME.as_secs();
    record.line(&format!(
        "LOST: nothing of {id} has run for {seconds} s, and the worker that may run it is up and idle"
    ));
    Ok(1)
}
