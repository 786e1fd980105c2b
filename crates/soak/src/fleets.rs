//! Runs the entries and agents as processes on loopback addresses, against platform stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyssop_platform_standins::{
    AckRule, AdviceTimes, HostOptions, Ledger, RestartOptions, StandInAdvisor, StandInStore,
    StandInWorker, StoreView, WorkerOptions, advice_setting, config, config_with_advice,
    max_lease_setting, new_incarnation, serve, settings,
};
use nix::sys::signal::Signal;
use tokio::time::{Instant, sleep};

use crate::processes::{Process, ProcessOptions};
use crate::proxies::{Proxy, ProxyMode};

/// Time within which an awaited condition has to hold. A condition that depends on the expiry of a
/// lease takes about nine seconds.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which the longest lease ends, with a margin.
const REPETITION_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which awaited conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest lease of most of the users' deployments.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// Ports that the settings name for calls between processes.
const INTERNAL_PORTS: [u16; 2] = [7_720, 7_735];
/// Port at which each process serves its metrics.
const METRICS_PORT: u16 = 9_464;
/// Time for which a request for metrics waits; a frozen entry does not respond.
const METRICS_TIMEOUT: Duration = Duration::from_millis(300);
/// Addresses of one fleet, and fleets with addresses of their own in one process: those of the 255 that
/// share the first three octets.
const HOSTS_PER_FLEET: u8 = 8;
const FLEETS_PER_PROCESS: u8 = 31;
/// Host and path prefix that the route configuration assigns to the service.
pub(crate) const HOST: &str = "app.example";
pub(crate) const PREFIX: &str = "/q/";

/// Number of fleets started by this process, which keeps their addresses apart.
static FLEET_COUNT: AtomicU32 = AtomicU32::new(0);

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Path of the `hyssop-fleet` program.
    pub program: PathBuf,
    /// Number of entries.
    pub entry_count: u8,
    /// Number of workers; each has an agent.
    pub worker_count: u8,
    /// Existing directory for one log file per host; without it the log output is discarded.
    pub log_dir: Option<PathBuf>,
    /// Longest lease that the workers grant.
    pub max_lease: Duration,
    /// Whether the settings files name the longest lease. Without it, the processes assume 10 s.
    pub names_lease: bool,
    /// How the workers treat acknowledged numbers of ends.
    pub ack_rule: AckRule,
    /// Times of the advisor, if the queue's steps need its tickets.
    pub advice: Option<AdviceTimes>,
}

impl FleetOptions {
    /// Returns the settings of two entries and three workers without log files. The workers grant 6 s,
    /// and the settings files do not name it.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            entry_count: 2,
            worker_count: 3,
            log_dir: None,
            max_lease: MAX_LEASE,
            names_lease: false,
            ack_rule: AckRule::default(),
            advice: None,
        }
    }
}

/// An agent, with the proxies between it and the store and between it and each address of an entry.
#[derive(Debug)]
struct Agent {
    process: Process,
    store: Proxy,
    entries: Vec<Proxy>,
}

/// The processes of a fleet and the stand-ins that they use. Dropping it kills the processes.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the store that all processes share.
    pub store: StandInStore,
    /// Record of the runs that the workers executed.
    pub ledger: Ledger,
    /// Address of the store itself, behind the proxies.
    store_address: SocketAddr,
    pub(crate) entries: Vec<(Process, SocketAddr, Proxy)>,
    /// Advisor and its address, if the queue's steps need its tickets.
    advisor: Option<(StandInAdvisor, SocketAddr)>,
    agents: Vec<Agent>,
    workers: Vec<StandInWorker>,
    pub(crate) http: reqwest::Client,
}

impl Fleet {
    /// Starts the entries, the agents and the workers, and waits until the entries serve requests.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has more than 8 hosts, a process or a stand-in cannot be started, or an entry
    /// does not serve requests within a minute.
    pub async fn start(options: &FleetOptions) -> Self {
        assert!(options.entry_count + options.worker_count <= HOSTS_PER_FLEET);
        let store = StandInStore::default();
        let routes = match &options.advice {
            Some(times) => config_with_advice(1, HOST, PREFIX, "planner", times),
            None => config(1, HOST, PREFIX, "planner"),
        };
        store.write_config(&routes);
        let store_address = serve(store.clone()).await;
        let client = reqwest::Client::builder().no_proxy().build();
        let mut fleet = Self {
            store,
            ledger: Ledger::default(),
            store_address,
            entries: Vec::new(),
            advisor: None,
            agents: Vec::new(),
            workers: Vec::new(),
            http: client.expect("build the HTTP client"),
        };
        if let Some(times) = options.advice {
            let advisor = StandInAdvisor::new(times);
            let address = serve(advisor.clone()).await;
            fleet.advisor = Some((advisor, address));
        }
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed) as u8;
        for host in 0..options.entry_count + options.worker_count {
            fleet.start_host(options, number, host, store_address).await;
        }
        for entry in 0..fleet.entries.len() {
            fleet.wait_serving(entry).await;
        }
        fleet
    }

    /// Returns the times of the advisor, if the queue's steps need its tickets.
    pub(crate) fn advice_times(&self) -> Option<AdviceTimes> {
        self.advisor.as_ref().map(|(advisor, _)| advisor.times())
    }

    /// Returns the number of requests that the advisor has rejected because too many waited.
    #[must_use]
    pub fn rejected_advice(&self) -> usize {
        let advisor = self.advisor.as_ref();
        advisor.map_or(0, |(advisor, _)| advisor.rejected_count())
    }

    async fn start_host(
        &mut self,
        options: &FleetOptions,
        number: u8,
        host: u8,
        store: SocketAddr,
    ) {
        // All hosts use the same ports, so each host gets a separate loopback address. The process
        // identifier in it avoids conflicts with other test processes on this machine.
        let id = std::process::id().to_be_bytes();
        let last = 1 + (number % FLEETS_PER_PROCESS) * HOSTS_PER_FLEET + host;
        let ip = IpAddr::V4(Ipv4Addr::new(127, id[2] | 0x80, id[3], last));
        let is_entry = host < options.entry_count;
        let (store, entry_proxies) = if is_entry {
            (store, Vec::new())
        } else {
            self.start_view().await
        };
        let proxy = Proxy::start(store).await.expect("start the proxy");
        let host_options = HostOptions {
            node: format!("host-{host}"),
            domain: "bergen-a".to_owned(),
            ip,
            store: proxy.address(),
            is_entry,
            grace_s: 2.0,
        };
        let name = format!("hyssop-{}-{number}-{host}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let mut text = settings(&host_options);
        if options.names_lease {
            text.push_str(&max_lease_setting(options.max_lease));
        }
        if let Some((_, address)) = &self.advisor {
            text.push_str(&advice_setting(*address));
        }
        std::fs::write(&path, text).expect("write the settings file");
        let process_options = ProcessOptions {
            program: options.program.clone(),
            role: if is_entry { "entry" } else { "agent" },
            settings: path,
            log: options
                .log_dir
                .as_ref()
                .map(|logs| logs.join(format!("host-{host}.log"))),
        };
        let process = Process::start(process_options);
        if is_entry {
            let front = SocketAddr::new(ip, 8_161);
            self.entries.push((process, front, proxy));
            return;
        }
        self.agents.push(Agent {
            process,
            store: proxy,
            entries: entry_proxies,
        });
        let worker = WorkerOptions {
            id: format!("i-{host}"),
            incarnation: new_incarnation(),
            service: "planner".to_owned(),
            domain: host_options.domain,
            control: SocketAddr::new(ip, 8_166),
            max_lease: options.max_lease,
            ack_rule: options.ack_rule,
            advisor: self.advisor.as_ref().map(|(advisor, _)| advisor.clone()),
        };
        let worker = StandInWorker::start(worker, self.ledger.clone()).await;
        self.workers.push(worker);
    }

    /// Starts a view of the store in which the addresses of entries are those of proxies. Returns its
    /// address and the proxies.
    async fn start_view(&self) -> (SocketAddr, Vec<Proxy>) {
        let (mut proxies, mut replaced) = (Vec::new(), Vec::new());
        for (_, front, _) in &self.entries {
            for port in INTERNAL_PORTS {
                let address = SocketAddr::new(front.ip(), port);
                let proxy = Proxy::start(address).await.expect("start the proxy");
                replaced.push((address.to_string(), proxy.address().to_string()));
                proxies.push(proxy);
            }
        }
        let view = StoreView {
            store: self.store.clone(),
            replaced: replaced.into(),
        };
        (serve(view).await, proxies)
    }

    /// Waits until an entry answers requests for the service.
    async fn wait_serving(&self, entry: usize) {
        self.wait_until("the entry serves requests", || async {
            let (status, _) = self.send(entry, reqwest::Method::GET, "", None).await?;
            (status == 200).then_some(())
        })
        .await;
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold within a minute.
    pub async fn wait_for(&self, condition: &str, mut holds: impl FnMut() -> bool) {
        self.wait_until(condition, || std::future::ready(holds().then_some(())))
            .await;
    }

    /// Waits until an entry owns the jobs, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if none owns them within a minute.
    pub async fn wait_owner(&self) -> usize {
        self.wait_until("an entry owns the jobs", || self.find_owner())
            .await
    }

    pub(crate) async fn wait_until<T, F: Future<Output = Option<T>>>(
        &self,
        condition: &str,
        mut check: impl FnMut() -> F,
    ) -> T {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(value) = check().await {
                return value;
            }
            assert!(
                Instant::now() < deadline,
                "timed out waiting until {condition}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of entries, whether their processes run or not.
    #[must_use]
    pub const fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entry whose metrics say that it owns the jobs, if there is one.
    pub async fn find_owner(&self) -> Option<usize> {
        for (index, (_, front, _)) in self.entries.iter().enumerate() {
            let url = format!("http://{}:{METRICS_PORT}/metrics", front.ip());
            let request = self.http.get(url).timeout(METRICS_TIMEOUT);
            let Ok(response) = request.send().await else {
                continue;
            };
            let text = response.text().await.unwrap_or_default();
            let mut epochs = text.lines().filter(|line| line.contains("of=\"epoch\""));
            if epochs.any(|line| !line.ends_with(" 0")) {
                return Some(index);
            }
        }
        None
    }

    /// Kills an entry, restarts it, and waits until it serves requests.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not serve requests within a minute.
    pub async fn restart_entry_and_wait(&mut self, entry: usize) {
        self.restart_entry(entry);
        self.wait_serving(entry).await;
    }

    /// Kills an entry and restarts it without waiting until it serves requests.
    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry].0.restart();
    }

    /// Kills an agent and restarts it.
    pub fn restart_agent(&mut self, agent: usize) {
        self.agents[agent].process.restart();
    }

    /// Returns the identifiers of all processes, including the one that runs the stand-ins.
    #[must_use]
    pub fn process_ids(&self) -> Vec<u32> {
        let entries = self.entries.iter().map(|(process, ..)| process);
        let agents = self.agents.iter().map(|agent| &agent.process);
        let children = entries.chain(agents).map(Process::id);
        children.chain([std::process::id()]).collect()
    }

    /// Restarts an entry if its process has exited.
    pub fn restart_exited_entry(&mut self, entry: usize) {
        if self.entries[entry].0.has_exited() {
            self.entries[entry].0.restart();
        }
    }

    /// Sends a signal to the process of an entry.
    pub fn signal_entry(&self, entry: usize, signal: Signal) {
        self.entries[entry].0.signal(signal);
    }

    /// Sends a signal to the process of an agent.
    pub fn signal_agent(&self, agent: usize, signal: Signal) {
        self.agents[agent].process.signal(signal);
    }

    /// Returns a worker.
    #[must_use]
    pub fn worker(&self, worker: usize) -> &StandInWorker {
        &self.workers[worker]
    }

    /// Terminates a worker with its runs. Its address refuses connections until it is restarted.
    pub async fn crash_worker(&mut self, worker: usize) {
        self.workers[worker].crash().await;
    }

    /// Terminates a worker with its runs, and starts its next incarnation.
    pub fn restart_worker(&mut self, worker: usize, options: &RestartOptions) {
        self.workers[worker].restart(options);
    }

    /// Terminates a worker with its runs, and starts another one with its own identifier in its place.
    pub fn replace_worker(&mut self, worker: usize, id: String) {
        self.workers[worker].replace(id);
    }

    /// Waits until the store has the record of a worker's incarnation, so that later owners know it.
    ///
    /// # Panics
    ///
    /// Panics if the record is not stored within a minute.
    pub async fn wait_stored(&self, worker: usize) {
        let worker = self.worker(worker).options();
        let key = format!("w/{}", worker.id);
        let incarnation = worker.incarnation.to_string();
        self.wait_for("the incarnation of the worker is stored", || {
            let record = self.store.newest_value("keyed.jobs", &key);
            record.is_some_and(|value| String::from_utf8_lossy(&value).contains(&incarnation))
        })
        .await;
    }

    /// Waits until it is known of each task that started again after an end as done whether that end is
    /// acknowledged, for at most the time in which the longest lease ends.
    pub async fn settle_repetitions(&self) {
        let deadline = Instant::now() + REPETITION_TIMEOUT;
        while self.ledger.has_open_repetitions() && Instant::now() < deadline {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Lets all workers list rows that name no run, until they restart.
    pub fn add_odd_rows(&self) {
        for worker in &self.workers {
            worker.add_odd_rows();
        }
    }

    /// Lets the calls to a worker wait, or respond again.
    pub fn set_worker_silent(&self, worker: usize, is_silent: bool) {
        self.workers[worker].set_silent(is_silent);
    }

    /// Replaces the proxy addresses by the store's own address in all settings files, makes the
    /// processes reload their settings with SIGHUP, and closes the connections through the proxies.
    pub fn move_store(&self) {
        let entries = self
            .entries
            .iter()
            .map(|(process, _, proxy)| (process, proxy));
        let agents = self
            .agents
            .iter()
            .map(|agent| (&agent.process, &agent.store));
        for (process, proxy) in entries.chain(agents) {
            let path = &process.options.settings;
            let text = std::fs::read_to_string(path).expect("read the settings file");
            let text = text.replace(
                &proxy.address().to_string(),
                &self.store_address.to_string(),
            );
            std::fs::write(path, text).expect("write the settings file");
            process.signal(Signal::SIGHUP);
            proxy.set_mode(ProxyMode::Reset);
        }
    }

    /// Sets the mode of the proxy between an entry and the store.
    pub fn set_entry_proxy(&self, entry: usize, mode: ProxyMode) {
        self.entries[entry].2.set_mode(mode);
    }

    /// Sets the mode of the proxies between an agent and the entries.
    pub fn set_owner_proxies(&self, agent: usize, mode: ProxyMode) {
        for proxy in &self.agents[agent].entries {
            proxy.set_mode(mode);
        }
    }

    /// Sets the mode of the proxy between an agent and the store.
    pub fn set_agent_proxy(&self, agent: usize, mode: ProxyMode) {
        self.agents[agent].store.set_mode(mode);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let entries = self.entries.iter().map(|(process, ..)| process);
        let agents = self.agents.iter().map(|agent| &agent.process);
        for process in entries.chain(agents) {
            // A failure leaves a file in the temporary directory, which does no harm.
            let _removed = std::fs::remove_file(&process.options.settings);
        }
    }
}
