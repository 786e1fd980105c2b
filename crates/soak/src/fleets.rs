//! A fleet of processes on the loopback network, with the stand-ins that it runs against.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyssop_platform_standins::{
    HostOptions, Ledger, PATH_VARIABLE, StandInStore, StandInWorker, WorkerOptions, config, serve,
    settings,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::time::{Instant, sleep};

use crate::proxies::{Proxy, ProxyMode};

/// Time after which a condition that should hold is taken to have failed. A lease that has to end
/// first takes about nine seconds.
const PATIENCE: Duration = Duration::from_secs(60);
/// Interval at which conditions are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// Time for which a caller waits for an answer.
const ANSWER: Duration = Duration::from_secs(3);
/// Host and path of the queue.
const HOST: &str = "app.example";
const PREFIX: &str = "/q/";

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// What a process is started with.
#[derive(Clone, Debug)]
struct Start {
    program: PathBuf,
    role: &'static str,
    settings: PathBuf,
    /// File for its log lines, if they are kept.
    log: Option<PathBuf>,
}

/// One process, which is killed when it is dropped.
#[derive(Debug)]
struct Process {
    start: Start,
    child: Child,
}

impl Process {
    fn start(start: Start) -> Self {
        let output = match &start.log {
            Some(path) => {
                let file = File::options().create(true).append(true).open(path);
                Stdio::from(file.expect("a file for log lines"))
            }
            None => Stdio::null(),
        };
        let child = Command::new(&start.program)
            .arg(start.role)
            .env(PATH_VARIABLE, &start.settings)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        Self { start, child }
    }

    fn restart(&mut self) {
        self.end();
        *self = Self::start(self.start.clone());
    }

    fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn end(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("an identifier");
        // It may have ended by itself.
        let _ended = kill(Pid::from_raw(id), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Program.
    pub program: PathBuf,
    /// Entries.
    pub entry_count: u8,
    /// Workers, each with an agent.
    pub worker_count: u8,
    /// Folder for log lines, a file for each host, if they are to be kept.
    pub log_dir: Option<PathBuf>,
}

impl FleetOptions {
    /// Returns the options of a small fleet without log files.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            entry_count: 2,
            worker_count: 3,
            log_dir: None,
        }
    }
}

/// A worker, and what another life of it is started with.
#[derive(Debug)]
struct Worker {
    options: WorkerOptions,
    life: StandInWorker,
}

/// Everything that runs.
#[derive(Debug)]
pub struct Fleet {
    /// Store.
    pub store: StandInStore,
    /// What ran on the workers.
    pub ledger: Ledger,
    /// Address of the store without a proxy.
    address: SocketAddr,
    entries: Vec<(Process, SocketAddr, Proxy)>,
    agents: Vec<(Process, Proxy)>,
    workers: Vec<Worker>,
    http: reqwest::Client,
}

impl Fleet {
    /// Starts entries, and workers with their agents, and waits until the entries serve.
    ///
    /// # Panics
    ///
    /// Panics if the machine does not let it, for example for want of ports.
    pub async fn start(options: &FleetOptions) -> Self {
        let store = StandInStore::default();
        store.configure(&config(1, HOST, PREFIX, "planner"));
        let address = serve(store.clone()).await;
        let client = reqwest::Client::builder().no_proxy().build();
        let mut fleet = Self {
            store,
            ledger: Ledger::default(),
            address,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            http: client.expect("an HTTP client"),
        };
        let number = FLEETS.fetch_add(1, Ordering::Relaxed) as u8;
        for host in 0..options.entry_count + options.worker_count {
            fleet.start_host(options, number, host, address).await;
        }
        for entry in 0..fleet.entries.len() {
            fleet.serves(entry).await;
        }
        fleet
    }

    async fn start_host(
        &mut self,
        options: &FleetOptions,
        number: u8,
        host: u8,
        store: SocketAddr,
    ) {
        // Ports are the same on all hosts, so that each host has an address of its own, which no
        // other run on this machine uses.
        let id = std::process::id().to_be_bytes();
        let last = 1 + (number % 15) * 16 + host;
        let ip = IpAddr::V4(Ipv4Addr::new(127, id[2] | 0x80, id[3], last));
        let proxy = Proxy::start(store).await.expect("a proxy");
        let is_front = host < options.entry_count;
        let host_options = HostOptions {
            node: format!("host-{host}"),
            domain: "bergen-a".to_owned(),
            ip,
            store: proxy.address(),
            is_front,
            grace_s: 2.0,
        };
        let name = format!("hyssop-{}-{number}-{host}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings(&host_options)).expect("a settings file");
        let start = Start {
            program: options.program.clone(),
            role: if is_front { "entry" } else { "agent" },
            settings: path,
            log: options
                .log_dir
                .as_ref()
                .map(|logs| logs.join(format!("host-{host}.log"))),
        };
        let process = Process::start(start);
        if is_front {
            let front = SocketAddr::new(ip, 8_161);
            self.entries.push((process, front, proxy));
            return;
        }
        self.agents.push((process, proxy));
        let worker = WorkerOptions {
            id: format!("i-{host}"),
            born: 1,
            service: "planner".to_owned(),
            domain: host_options.domain,
            control: SocketAddr::new(ip, 8_166),
        };
        let life = StandInWorker::start(worker.clone(), self.ledger.clone()).await;
        self.workers.push(Worker {
            options: worker,
            life,
        });
    }

    /// Waits until an entry answers for its queue.
    async fn serves(&self, entry: usize) {
        self.until("the entry serves", || async {
            let (status, _) = self.send(entry, reqwest::Method::GET, "", None).await?;
            (status == 200).then_some(())
        })
        .await;
    }

    async fn until<T, F: Future<Output = Option<T>>>(
        &self,
        what: &str,
        mut check: impl FnMut() -> F,
    ) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(value) = check().await {
                return value;
            }
            assert!(Instant::now() < end, "not in time: {what}");
            sleep(LOOK).await;
        }
    }

    /// Sends a request to an entry. Returns the status and the body if there is an answer.
    async fn send(
        &self,
        entry: usize,
        method: reqwest::Method,
        rest: &str,
        body: Option<&str>,
    ) -> Option<(u16, String)> {
        let url = format!("http://{}{PREFIX}{rest}", self.entries[entry].1);
        let mut request = self.http.request(method, url).timeout(ANSWER);
        request = request.header("host", HOST);
        if let Some(body) = body {
            request = request.body(body.to_owned());
        }
        let answer = request.send().await.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.text().await.ok()?))
    }

    /// Returns the number of entries.
    #[must_use]
    pub const fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Submits a job once. Returns the status if there is an answer.
    pub async fn try_submit(&self, entry: usize, job: u64, body: &str) -> Option<u16> {
        let rest = format!("{job:016x}");
        let answer = self.send(entry, reqwest::Method::POST, &rest, Some(body));
        answer.await.map(|(status, _)| status)
    }

    /// Cancels a job once. Returns the status if there is an answer.
    pub async fn try_cancel(&self, entry: usize, job: u64) -> Option<u16> {
        let rest = format!("{job:016x}");
        let answer = self.send(entry, reqwest::Method::DELETE, &rest, None);
        answer.await.map(|(status, _)| status)
    }

    /// Submits a job until it is accepted, at each entry in turn.
    pub async fn submit(&self, job: u64, body: &str) {
        let mut entry = job as usize;
        self.until("the job is accepted", || {
            entry += 1;
            let at = entry % self.entries.len();
            async move { (self.try_submit(at, job, body).await == Some(200)).then_some(()) }
        })
        .await;
    }

    /// Submits a job to one entry until it is accepted.
    pub async fn submit_at(&self, entry: usize, job: u64, body: &str) {
        self.until("the job is accepted", || async {
            (self.try_submit(entry, job, body).await == Some(200)).then_some(())
        })
        .await;
    }

    /// Waits until a job has ended, and returns its state, or `lost` if no such job is known.
    ///
    /// # Panics
    ///
    /// Panics if it has not ended after a minute.
    pub async fn wait_finished(&self, job: u64) -> String {
        let rest = format!("{job:016x}");
        let mut entry = 0;
        self.until("the job ends", || {
            entry += 1;
            let at = entry % self.entries.len();
            let rest = &rest;
            async move {
                let (status, body) = self.send(at, reqwest::Method::GET, rest, None).await?;
                if status == 410 {
                    return Some("lost".to_owned());
                }
                let body: serde_json::Value = serde_json::from_str(&body).ok()?;
                let state = body["state"].as_str()?.to_owned();
                let is_over = !matches!(state.as_str(), "queued" | "running");
                is_over.then_some(state)
            }
        })
        .await
    }

    /// Kills an entry, starts it again, and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if it does not after a minute.
    pub async fn restart_entry_and_wait(&mut self, entry: usize) {
        self.restart_entry(entry);
        self.serves(entry).await;
    }

    /// Kills an entry and starts it again, without waiting until it serves.
    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].0.restart();
    }

    /// Kills an agent and starts it again.
    pub fn restart_agent(&mut self, agent: usize) {
        self.agents[agent].0.restart();
    }

    /// Starts an entry again if it has ended.
    pub fn restart_exited_entry(&mut self, entry: usize) {
        if self.entries[entry].0.has_ended() {
            self.entries[entry].0.restart();
        }
    }

    /// Sends a signal to an entry.
    pub fn signal_entry(&self, entry: usize, signal: Signal) {
        self.entries[entry].0.signal(signal);
    }

    /// Sends a signal to an agent.
    pub fn signal_agent(&self, agent: usize, signal: Signal) {
        self.agents[agent].0.signal(signal);
    }

    /// Ends a worker with all that runs on it, and starts another life of it.
    pub async fn restart_worker(&mut self, worker: usize) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        worker.options.born += 1;
        // The former life ends first: two lives of one worker never run at once.
        worker.life.end();
        worker.life = StandInWorker::start(worker.options.clone(), self.ledger.clone()).await;
    }

    /// Names the store's own address in all settings files in place of the proxies' addresses, tells
    /// the processes, and ends the proxies' connections.
    pub fn move_store(&self) {
        let entries = self
            .entries
            .iter()
            .map(|(process, _, proxy)| (process, proxy));
        let agents = self.agents.iter().map(|(process, proxy)| (process, proxy));
        for (process, proxy) in entries.chain(agents) {
            let path = &process.start.settings;
            let text = std::fs::read_to_string(path).expect("a settings file");
            let text = text.replace(&proxy.address().to_string(), &self.address.to_string());
            std::fs::write(path, text).expect("a settings file");
            process.signal(Signal::SIGHUP);
            proxy.set_mode(ProxyMode::Reset);
        }
    }

    /// Changes what happens to the connections of an entry to the store.
    pub fn set_entry_proxy(&self, entry: usize, mode: ProxyMode) {
        self.entries[entry].2.set_mode(mode);
    }

    /// Changes what happens to the connections of an agent to the store.
    pub fn set_agent_proxy(&self, agent: usize, mode: ProxyMode) {
        self.agents[agent].1.set_mode(mode);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let entries = self.entries.iter().map(|(process, ..)| process);
        let agents = self.agents.iter().map(|(process, _)| process);
        for process in entries.chain(agents) {
            // What is left of a run lies in the temporary folder only.
            let _removed = std::fs::remove_file(&process.start.settings);
        }
    }
}
