//! Fleet of a scenario: store, workers and processes.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Network, Process};
use crate::http::{self, Server};
use crate::record::Record;
use crate::store::Store;
use crate::wire;
use crate::worker::{Observer, Worker};

const READY_TIMEOUT: Duration = Duration::from_secs(15);

pub struct Setting {
    pub network: Network,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    _server: Server,
    dir: PathBuf,
}

impl Setting {
    /// Starts everything and waits until all entries are ready.
    pub fn start(
        (entries, workers): (u8, u8),
        attempts: u32,
        observer: &Arc<dyn Observer>,
        record: &Record,
    ) -> io::Result<Self> {
        let network = Network::new();
        let dir = std::env::temp_dir().join(format!("hyssop-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = Store::default();
        store.write(wire::name("operators"), "config", &fleet::routes(attempts));
        let handler = store.clone();
        let server = Server::start(network.store(), move |request| handler.handle(&request))?;
        let mut setting = Self {
            network,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            _server: server,
            dir,
        };
        for number in 0..entries {
            let process = fleet::start(network, &setting.dir, true, number)?;
            setting.entries.push(process);
        }
        for number in 0..workers {
            let process = fleet::start(network, &setting.dir, false, number)?;
            setting.agents.push(process);
            let mut worker = Worker::new(
                format!("w{number}"),
                (network.worker(number), network.control(number)),
                (fleet::zone(number).to_owned(), format!("r1-{}", number / 3)),
                Arc::clone(observer),
                record.clone(),
            );
            worker.start()?;
            setting.workers.push(worker);
        }
        let until = Instant::now() + READY_TIMEOUT;
        for number in 0..entries {
            while !is_ready(network, number) {
                if Instant::now() > until {
                    return Err(io::Error::other("an entry is not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        // Time for the election and the first sessions.
        thread::sleep(Duration::from_secs(4));
        record.line("all entries are ready");
        Ok(setting)
    }

    /// Copies the logs of the processes to a folder, for the reader of a failure.
    pub fn keep_logs(&self, folder: &Path) {
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            if entry.path().extension().is_some_and(|kind| kind == "log") {
                let _copied = fs::copy(entry.path(), folder.join(entry.file_name()));
            }
        }
    }
}

fn is_ready(network: Network, number: u8) -> bool {
    let path = wire::path("ready");
    let timeout = Duration::from_millis(500);
    let answer = http::call(network.ready(number), "GET", &path, "", "", timeout);
    answer.is_ok_and(|(status, _)| status == 200)
}

impl Drop for Setting {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        for worker in &mut self.workers {
            worker.crash();
        }
        let _removed = fs::remove_dir_all(&self.dir);
    }
}
