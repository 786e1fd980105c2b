//! A start is left without an answer and carried out late, after its worker has started again under its
//! identifier, while the machine of the worker's agent is frozen.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, HOST, PREFIX};
use crate::record::Record;
use crate::setting::Setting;
use crate::twice::Ledger;
use crate::wire;
use crate::worker::Observer;

const WORKERS: u8 = 8;
const WORK_MS: u64 = 8_000;
/// Times from the receipt of the start.
const FREEZE_AT: Duration = Duration::from_millis(100);
const CRASH_AT: Duration = Duration::from_millis(200);
const RESTART_AT: Duration = Duration::from_millis(1_200);
const CARRY_OUT_AT: Duration = Duration::from_millis(2_300);
const THAW_AT: Duration = Duration::from_millis(5_100);
const START_TIME: Duration = Duration::from_secs(10);
const CHECK_TIME: Duration = Duration::from_secs(25);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ledger = Arc::new(Ledger::new(&record));
    let observer: Arc<dyn Observer> = ledger.clone();
    let mut setting = Setting::start((2, WORKERS), 3, &observer, &record)?;
    let network = setting.network;
    for worker in &mut setting.workers {
        worker.keeps_id = true;
        if has_trouble {
            worker.hold_next("start");
        }
    }
    // Long enough for the clocks of all workers to be ahead of that of a later life.
    thread::sleep(Duration::from_secs(8));
    let body = format!(
        "{{\"spec\":\"work {WORK_MS}\",\"steps\":[{{\"count\":1,\"cpu\":1000,\"memMb\":256,\"{}\":{WORK_MS}}}]}}",
        wire::name("estimate")
    );
    let id = "5c0e7a2100004000";
    let answer = fleet::request(network.front(0), "POST", id, &body);
    record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
    if !matches!(answer, Ok((200..=299, _))) {
        return Err(io::Error::other("the submission was not accepted"));
    }
    if has_trouble {
        let until = Instant::now() + START_TIME;
        let held = loop {
            let held = setting
                .workers
                .iter()
                .position(|worker| worker.held_for().is_some());
            match held {
                Some(held) => break held,
                None if Instant::now() > until => {
                    return Err(io::Error::other("no start was sent"));
                }
                None => thread::sleep(Duration::from_millis(2)),
            }
        };
        // One start only is left without an answer.
        for worker in &setting.workers {
            worker.hold_none();
        }
        let received = Instant::now();
        record.line(&format!("the start on w{held} gets no answer"));
        let wait = |at: Duration| thread::sleep(at.saturating_sub(received.elapsed()));
        wait(FREEZE_AT);
        setting.agents[held].signal("STOP")?;
        record.line(&format!("the machine of w{held}'s agent freezes"));
        wait(CRASH_AT);
        setting.workers[held].crash();
        wait(RESTART_AT);
        setting.workers[held].start()?;
        wait(CARRY_OUT_AT);
        setting.workers[held].release();
        wait(THAW_AT);
        setting.agents[held].signal("CONT")?;
        record.line("it wakes again");
    }
    thread::sleep(CHECK_TIME);
    let count = ledger.report();
    if std::env::var_os("KEEP_LOGS").is_some() {
        setting.keep_logs(folder);
    }
    Ok(count)
}
