//! Processes of the project, started with the commands of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, num, object, text};
use crate::machines::Machines;
use crate::record::Recorder;
use crate::store::Store;
use crate::wire;
use crate::worker::Worker;

const PROGRAM: &str = "target/release/hyssop-fleet";
pub const HOST: &str = "app.example";
pub const PREFIX: &str = "/q/";
/// `memoryMb` of an entry.
const MEMORY_MB: u64 = 260;
pub const MAX_HOLD_MS: u64 = 10_000;

pub struct Process {
    pub node: String,
    pub ip: String,
    settings: PathBuf,
    child: Arc<Mutex<Child>>,
}

impl Process {
    fn start(node: &str, ip: &str, role: &str, settings: &Path, log: &Path) -> Self {
        let child = spawn(role, settings, log);
        STARTED.lock().unwrap().push(child.id());
        Self {
            node: node.to_owned(),
            ip: ip.to_owned(),
            settings: settings.to_owned(),
            child: Arc::new(Mutex::new(child)),
        }
    }

    /// Sends a signal by its name, as `kill -NAME` does.
    pub fn signal(&self, name: &str) {
        let id = self.child.lock().unwrap().id().to_string();
        let _status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {id}")])
            .status();
    }
}

/// Identifiers of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not ended since.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().iter() {
        let _status = Command::new("sh")
            .args(["-c", &format!("kill -KILL {id}")])
            .status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _killed = child.kill();
        let _status = child.wait();
        STARTED.lock().unwrap().retain(|id| *id != child.id());
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> Child {
    let output = fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("open a log");
    Command::new(PROGRAM)
        .arg(role)
        .env(wire::name("settings"), settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .expect("start target/release/hyssop-fleet; build the deploy file first")
}

pub struct Fleet {
    pub store: Store,
    pub machines: Machines,
    pub entries: Vec<Process>,
    pub agents: Vec<Process>,
    pub workers: Vec<Worker>,
    pub dir: PathBuf,
    recorder: Recorder,
}

impl Fleet {
    pub fn start(entries: u8, agents: u8, recorder: &Recorder) -> Self {
        let id = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&dir).expect("create a temporary folder");
        let ip = |n: u8| format!("127.{}.{}.{n}", 64 + id % 128, 1 + (id / 128) % 250);
        let store = Store::new(recorder.clone());
        let server = store.clone();
        let store_address = http::serve(&ip(1), move |request| server.handle(&request));
        let names: Vec<String> = (1..=agents).map(|n| format!("m{n}")).collect();
        let machines = Machines::new(&names, recorder);
        let server = machines.clone();
        let machines_address = http::serve(&ip(2), move |request| server.handle(&request));
        store.write(wire::name("operator"), "config", &config(1));
        let mut fleet = Self {
            store,
            machines,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            dir,
            recorder: recorder.clone(),
        };
        let zones = ["z-a", "z-b", "z-c"];
        for n in 0..entries + agents {
            let is_entry = n < entries;
            let (role, ip) = (if is_entry { "entry" } else { "agent" }, ip(10 + n));
            let zone = zones[usize::from(n) % zones.len()];
            let node = format!("{}-{}", if is_entry { "front" } else { "side" }, n + 1);
            let listen = match is_entry {
                true => format!(
                    "listen.front={ip}:8161\nlisten.ready={ip}:8167\nlimits.cpuShare=0.25\nlimits.memoryMb=260\n"
                ),
                false => {
                    format!("listen.control={ip}:8166\nlimits.cpuShare=0.15\nlimits.memoryMb=128\n")
                }
            };
            let settings = format!(
                "node={node}\nrole={role}\nzone={zone}\nregion=r\nip={ip}\n{}=7720,7735\n{listen}\
                 seeds=\nbootstrap=true\ninTolerance=false\nheartbeatMs=1500\nbounds.graceS=6\n\
                 bounds.maxHoldMs={MAX_HOLD_MS}\nbounds.leaseMs=3000\nbounds.requireFence=false\norders=call\n\
                 platform.addr={store_address}\nplatform.form=log\nplatform.recordBytes=262144\n\
                 platform.callBytes=2097152\ncloudApi.addr={machines_address}\n",
                wire::name("ports"),
            );
            let path = fleet.dir.join(format!("{node}.conf"));
            fs::write(&path, settings).expect("write the settings");
            let log = fleet.log(&node);
            let role = if is_entry { "entry" } else { "agent" };
            let process = Process::start(&node, &ip, role, &path, &log);
            if is_entry {
                fleet.entries.push(process);
            } else {
                let control: SocketAddr = format!("{ip}:8166").parse().unwrap();
                let name = format!("m{}", n - entries + 1);
                let worker = Worker::start(&name, &ip, zone, "svc", control, MAX_HOLD_MS, recorder);
                fleet.agents.push(process);
                fleet.workers.push(worker);
            }
        }
        fleet.machines.set_workers(&fleet.workers);
        fleet
    }

    pub fn log(&self, node: &str) -> PathBuf {
        self.dir.join(format!("{node}.log"))
    }

    /// Sends a client's request to an entry, with a deadline of 3 s, and records it.
    pub fn send(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<u16> {
        self.send_for_text(entry, method, id, body)
            .map(|(status, _)| status)
    }

    pub fn send_for_text(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let to: SocketAddr = format!("{}:8161", self.entries[entry].ip).parse().unwrap();
        let headers = [("Host", HOST), ("Deadline-Ms", "3000")];
        let path = format!("{PREFIX}{id}");
        let reply = http::call(
            to,
            method,
            &path,
            &headers,
            body,
            Duration::from_millis(3_000),
        );
        let status = reply
            .as_ref()
            .map_or("no answer".to_owned(), |(status, text)| {
                format!("{status} {}", text.chars().take(90).collect::<String>())
            });
        self.recorder.note(&format!(
            "client: {method} {id} ({} bytes) at {}: {status}",
            body.len(),
            self.entries[entry].node
        ));
        reply
    }

    /// Submits a job as a client does: again at the next entry until it is accepted.
    pub fn submit(&self, id: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for entry in (0..self.entries.len()).cycle() {
            if self.send(entry, "POST", id, body) == Some(200) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the entry that owns the jobs, by the store's record of the owner.
    pub fn owner(&self) -> Option<usize> {
        let record = Json::parse(&self.store.newest("keyed.owner", "owner")?)?;
        let node = record.text("node")?;
        self.entries.iter().position(|entry| entry.node == node)
    }

    pub fn wait(&self, what: &str, limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.recorder.note(&format!("not in time: {what}"));
        false
    }
}

/// Kills and restarts entries whose memory exceeds their limit, as the platform does.
pub struct MemoryGuard {
    /// Number of kills of each entry.
    kills: Vec<Arc<AtomicU64>>,
    is_over: Arc<AtomicBool>,
}

impl MemoryGuard {
    pub fn has_killed(&self) -> bool {
        self.kills
            .iter()
            .any(|kills| kills.load(Ordering::Relaxed) > 0)
    }

    /// Returns the number of entries that were killed three times or more.
    pub fn often_killed(&self) -> usize {
        let kills = self.kills.iter().map(|kills| kills.load(Ordering::Relaxed));
        kills.filter(|&kills| kills >= 3).count()
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(1_500));
    }
}

/// Returns the resident memory of a process in MB.
fn resident_mb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

impl Fleet {
    /// Watches the memory of the entries from now on.
    pub fn guard_memory(&mut self) -> MemoryGuard {
        let mut guard = MemoryGuard {
            kills: Vec::new(),
            is_over: Arc::default(),
        };
        for entry in &self.entries {
            let (child, node) = (Arc::clone(&entry.child), entry.node.clone());
            let (kills, is_over) = (Arc::new(AtomicU64::new(0)), Arc::clone(&guard.is_over));
            guard.kills.push(Arc::clone(&kills));
            let (settings, log) = (entry.settings.clone(), self.log(&entry.node));
            let recorder = self.recorder.clone();
            thread::spawn(move || {
                let mut highest = 0;
                while !is_over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(20));
                    let id = child.lock().unwrap().id();
                    let memory = resident_mb(id);
                    if memory >= highest + 50 {
                        recorder.note(&format!("{node}: {memory} MB in use"));
                        highest = memory;
                    }
                    if memory <= MEMORY_MB {
                        continue;
                    }
                    kills.fetch_add(1, Ordering::Relaxed);
                    recorder.note(&format!(
                        "{node}: {memory} MB in use, limit {MEMORY_MB}: killed"
                    ));
                    let mut child = child.lock().unwrap();
                    let _killed = child.kill();
                    let _status = child.wait();
                    thread::sleep(Duration::from_secs(1));
                    highest = 0;
                    if !is_over.load(Ordering::Relaxed) {
                        STARTED.lock().unwrap().retain(|known| *known != id);
                        *child = spawn("entry", &settings, &log);
                        STARTED.lock().unwrap().push(child.id());
                    }
                }
            });
        }
        guard
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _removed = fs::remove_dir_all(&self.dir);
        }
    }
}

fn config(version: u64) -> String {
    let route = object(&[
        ("name", text("queue")),
        ("host", text(HOST)),
        (wire::name("prefix"), text(PREFIX)),
        ("service", text("svc")),
        ("priority", num(0)),
        ("attempts", num(4)),
        ("stretch", num(2)),
        ("targetLatencyMs", num(1_000)),
    ]);
    let service = object(&[
        ("name", text("svc")),
        (wire::name("rejects"), Json::Bool(true)),
    ]);
    object(&[
        ("version", num(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", object(&[("maxBodyBytes", num(262_144))])),
    ])
    .to_string()
}

/// Returns a submission whose tasks run for `ms`, one step for each element of `counts`, in parallel.
pub fn job(counts: &[u64], cpu: u64, ms: u64) -> String {
    let steps = counts.iter().map(|&count| {
        object(&[
            ("count", num(count)),
            ("cpu", num(cpu)),
            ("memMb", num(64)),
            (wire::name("estimate"), num(ms)),
        ])
    });
    object(&[
        ("spec", text(&format!("ms={ms}"))),
        ("steps", Json::List(steps.collect())),
    ])
    .to_string()
}
