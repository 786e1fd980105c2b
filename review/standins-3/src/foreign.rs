//! A liveness report of another writer reaches an agent: it names a service that no manifest names. It names
//! no worker to use, so that nothing may change.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, HOST, PREFIX};
use crate::http;
use crate::record::Record;
use crate::setting::Setting;
use crate::twice::Ledger;
use crate::wire;
use crate::worker::Observer;

const WORKERS: u8 = 3;
const WORK_MS: u64 = 12_000;
const TASKS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(3);
/// Time from a report of the worker to that of the other writer.
const AFTER_REPORT: Duration = Duration::from_millis(100);
const CHECK_TIME: Duration = Duration::from_secs(25);

pub fn run(folder: &Path, has_trouble: bool) -> io::Result<usize> {
    let record = Record::create(&folder.join("record.txt"))?;
    let ledger = Arc::new(Ledger::new(&record));
    let observer: Arc<dyn Observer> = ledger.clone();
    let setting = Setting::start((2, WORKERS), 3, &observer, &record)?;
    let network = setting.network;
    let body = format!(
        "{{\"spec\":\"work {WORK_MS}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"memMb\":256,\"{}\":{WORK_MS}}}]}}",
        wire::name("estimate")
    );
    let id = "5c0e7a2100003000";
    let answer = fleet::request(network.front(0), "POST", id, &body);
    record.line(&format!("POST {HOST}{PREFIX}{id} {body}: {answer:?}"));
    if !matches!(answer, Ok((200..=299, _))) {
        return Err(io::Error::other("the submission was not accepted"));
    }
    thread::sleep(RUN_TIME);
    if has_trouble {
        let identity = || setting.workers[0].identity();
        // Right after a report of the worker itself; its next one comes 1.5 s later.
        let first = identity().map(|(.., number)| number);
        while identity().map(|(.., number)| number) == first {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(AFTER_REPORT);
        let Some((worker, born, number)) = identity() else {
            return Err(io::Error::other("the worker has ended"));
        };
        // Nobody listens at the address.
        let report = format!(
            "{{\"service\":\"other\",\"addr\":\"{}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"{}\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":64000,\"gpu\":0}},\
             \"labels\":[\"a\"],\"{}\":1000,\"born\":{born},\"seq\":{}}}",
            network.worker(99),
            wire::name("cold"),
            wire::name("clock"),
            number + 1
        );
        let path = format!("{}/{worker}", wire::path("beat"));
        let timeout = Duration::from_secs(1);
        let sent = http::call(network.control(0), "PUT", &path, "", &report, timeout);
        record.line(&format!("another writer: PUT {path} {report}: {sent:?}"));
    }
    thread::sleep(CHECK_TIME);
    let count = ledger.report();
    if std::env::var_os("KEEP_LOGS").is_some() {
        setting.keep_logs(folder);
    }
    Ok(count)
}
