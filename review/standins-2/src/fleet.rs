//! A small deployment on loopback addresses: the project's programs as processes, and the stand-ins.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Server};
use crate::json::Json;
use crate::minions::{Ledger, Machine, Minion, World};
use crate::object;
use crate::record::Record;
use crate::store::Store;
use crate::wire::w;

const FRONT: u16 = 8_161;
const CONTROL: u16 = 8_166;
const READY: u16 = 8_167;
const PLATFORM: u16 = 8_169;
const INTERNAL: u16 = 7_720;
const METRICS: u16 = 9_464;
const SERVICE: &str = "planner";
const HOST: &str = "nony24.example";

/// A queue of the manifest.
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub attempts: u64,
    /// Times of the service for advice, if the queue has it.
    pub advice: Option<crate::services::AdviceTimes>,
}

/// What a case wants of its deployment.
pub struct Options {
    pub entries: u8,
    /// Labels of each minion.
    pub minions: Vec<Vec<&'static str>>,
    pub queues: Vec<Queue>,
}

/// Error that keeps a case from running.
pub type Failure = Box<dyn std::error::Error>;

/// The running deployment. All processes are ended when it is dropped.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub world: World,
    pub minions: Vec<Option<Minion>>,
    pub has_trouble: bool,
    network: [u8; 2],
    entries: u8,
    folder: PathBuf,
    children: Vec<Child>,
    servers: Vec<Server>,
    next_id: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _killed = child.kill();
            let _ended = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

impl Fleet {
    /// Starts the deployment and waits until a first submission has run.
    pub fn start(record: &Record, options: Options) -> Result<Self, Failure> {
        let pid = std::process::id();
        let network = [60 + (pid % 120) as u8, (pid / 120 % 250) as u8];
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&folder)?;
        let world = World {
            record: record.clone(),
            ledger: Ledger::default(),
            service: SERVICE.to_owned(),
            harm_ms: Arc::default(),
            unanswered: Arc::default(),
            first_report_ms: Arc::default(),
        };
        let mut fleet = Self {
            record: record.clone(),
            store: Store::default(),
            world,
            minions: Vec::new(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            network,
            entries: options.entries,
            folder,
            children: Vec::new(),
            servers: Vec::new(),
            next_id: 1,
        };
        record.line(format!("trouble={}", u8::from(fleet.has_trouble)));
        fleet.servers.push(fleet.store.serve(fleet.platform(1))?);
        fleet.write_manifest(&options.queues);
        let agent = deploy_command("agent")?;
        let entry = deploy_command("entry")?;
        for index in 0..options.entries {
            fleet.start_process(
                &entry,
                &format!("front-{index}"),
                fleet.entry_ip(index),
                true,
            )?;
        }
        for (index, labels) in (0_u8..).zip(&options.minions) {
            let ip = fleet.side_ip(index);
            fleet.start_process(&agent, &format!("side-{index}"), ip, false)?;
            let machine = Machine {
                name: format!("m-{index}"),
                address: SocketAddr::new(ip, 8_080),
                control: SocketAddr::new(ip, CONTROL),
                zone: zone(index),
                labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            };
            fleet.minions.push(None);
            fleet.start_minion(usize::from(index), machine)?;
        }
        Ok(fleet)
    }

    /// Returns an address for a stand-in of the platform.
    pub fn platform(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(200 + number), PLATFORM)
    }

    pub fn add_server(&mut self, server: Server) {
        self.servers.push(server);
    }

    /// Returns an address of the network of this run.
    fn ip(&self, host: u8) -> IpAddr {
        let [a, b] = self.network;
        Ipv4Addr::new(127, a, b, host).into()
    }

    fn entry_ip(&self, index: u8) -> IpAddr {
        self.ip(10 + index)
    }

    fn side_ip(&self, index: u8) -> IpAddr {
        self.ip(60 + index)
    }

    fn write_manifest(&self, queues: &[Queue]) {
        let routes = queues.iter().map(|queue| {
            let mut fields = vec![
                ("name".to_owned(), Json::from(queue.name)),
                ("host".to_owned(), Json::from(HOST)),
                (
                    w("prefix").to_owned(),
                    Json::from(format!("/{}/", queue.name)),
                ),
                ("kind".to_owned(), Json::from("non_idempotent")),
                ("timeoutMs".to_owned(), Json::from(3_000_u64)),
                ("targetLatencyMs".to_owned(), Json::from(1_000_u64)),
                ("priority".to_owned(), Json::from(queue.priority)),
                ("service".to_owned(), Json::from(SERVICE)),
                ("attempts".to_owned(), Json::from(queue.attempts)),
                ("stretch".to_owned(), Json::from(2.0)),
            ];
            if let Some(times) = queue.advice {
                let advice = object! {
                    "decideMs" => times.decide_ms, "perWorkerMs" => times.per_worker_ms,
                    "validMs" => times.valid_ms,
                };
                fields.push(("advice".to_owned(), advice));
            }
            Json::Object(fields)
        });
        let services = vec![object! {"name" => SERVICE, w("guards") => true}];
        let manifest = object! {
            "version" => 1_u64, "routes" => routes.collect::<Vec<_>>(), "services" => services,
            "limits" => object! {"maxBodyBytes" => 262_144_u64},
        };
        self.store
            .write(w("operator_topic"), "config", &manifest.to_string());
    }

    fn settings(&self, node: &str, ip: IpAddr, is_entry: bool, zone: &str) -> String {
        let (store, advice, cloud) = (self.platform(1), self.platform(2), self.platform(3));
        let (class, listen) = match is_entry {
            true => (
                "front",
                format!("serves=front\nlisten.front={ip}:{FRONT}\nlisten.ready={ip}:{READY}\n"),
            ),
            false => (
                "side",
                format!("serves=side\nlisten.control={ip}:{CONTROL}\n"),
            ),
        };
        format!(
            "node={node}\nmachineClass={class}\nip={ip}\nzone={zone}\nregion=vestland\n{listen}\
             {}={INTERNAL},{}\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\n\
             limits.memoryMb=260\nlimits.maxFds=4100\nheartbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.graceS=6\nbounds.maxHoldMs=6000\n\
             bounds.stopMs=200\nbounds.gangWaitMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n\
             bounds.finish_s=14\nbounds.noticeMs=4500\nbounds.maintenanceS=2\n\
             bounds.requireFence=false\nbounds.leaseMs=3000\norders=call\nadvice={advice}\n\
             platform.addr={store}\nplatform.form=log\nplatform.writesPerS=800\nplatform.readsPerS=2000\n\
             platform.parts=24\nplatform.appendMs=1.0\nplatform.recordBytes=262144\n\
             platform.callBytes=2097152\nplatform.keep_s=20\nplatform.partMb=200\nplatform.minTtlMs=1000\n\
             cloudApi.addr={cloud}\ncloudApi.ratePerS=60.0\ncloudApi.duties=\ncloudApi.dutyPerS=60.0\n",
            w("ports"),
            INTERNAL + 15,
        )
    }

    fn start_process(
        &mut self,
        command: &[String],
        node: &str,
        ip: IpAddr,
        is_entry: bool,
    ) -> Result<(), Failure> {
        for port in [FRONT, CONTROL, READY, INTERNAL, METRICS, 8_080] {
            TcpListener::bind(SocketAddr::new(ip, port))?;
        }
        let index = node
            .rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let path = self.folder.join(format!("{node}.conf"));
        fs::write(&path, self.settings(node, ip, is_entry, &zone(index)))?;
        let log = File::create(self.folder.join(format!("{node}.log")))?;
        let mut process = Command::new(&command[0]);
        process
            .args(&command[1..])
            .env_clear()
            .env(w("settings_variable"), path);
        for name in ["PATH", "HOME", "LANG"] {
            process.envs(std::env::var_os(name).map(|value| (name, value)));
        }
        let (out, errors) = (log.try_clone()?, log);
        let child = process
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors)
            .spawn()?;
        self.record
            .line(format!("{node} starts pid={}", child.id()));
        self.children.push(child);
        Ok(())
    }

    /// Starts a machine's minion again under an identifier.
    pub fn restart_minion(
        &mut self,
        index: usize,
        machine: Machine,
        id: &str,
    ) -> Result<(), Failure> {
        self.minions[index] = Some(Minion::start(machine, id, self.world.clone())?);
        Ok(())
    }

    /// Starts the next minion of a machine.
    pub fn start_minion(&mut self, index: usize, machine: Machine) -> Result<(), Failure> {
        let id = format!("i-{index}-{}", self.next_id);
        self.next_id += 1;
        self.minions[index] = Some(Minion::start(machine, &id, self.world.clone())?);
        Ok(())
    }

    /// Waits until all entries are ready and a submission of one short task for each minion has run.
    pub fn warm_up(&self, queue: &str) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(30);
        for index in 0..self.entries {
            let address = SocketAddr::new(self.entry_ip(index), READY);
            let path = w("ready");
            while http::call(address, "GET", path, &[], "", Duration::from_millis(500))
                .is_none_or(|(s, _)| s != 200)
            {
                if Instant::now() > until {
                    return Err("the entries are not ready".into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        let mut number = 0xffff_0000_u64;
        loop {
            number += 1;
            let id = format!("{number:016x}");
            let task = Task {
                count: 2 * self.minions.len() as u64,
                ..Task::batch(100, 200)
            };
            self.submit(queue, &id, &task.body());
            while !matches!(self.state(queue, &id).as_deref(), Some("complete")) {
                if Instant::now() > until {
                    return Err("the first submission has not run".into());
                }
                thread::sleep(Duration::from_millis(100));
            }
            let events = self.world.ledger.of(&id);
            let used = self
                .minions
                .iter()
                .flatten()
                .filter(|m| events.iter().any(|e| e.minion == m.id()));
            if used.count() == self.minions.len() {
                return Ok(());
            }
        }
    }

    /// Sends a request to one entry after the other until there is an answer that is not to be repeated.
    fn request(&self, method: &str, queue: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let headers = [
            ("Host", HOST.to_owned()),
            ("Deadline-Ms", "3000".to_owned()),
        ];
        for index in (0..self.entries).cycle().take(5) {
            let address = SocketAddr::new(self.entry_ip(index), FRONT);
            let path = format!("/{queue}/{id}");
            let answer = http::call(
                address,
                method,
                &path,
                &headers,
                body,
                Duration::from_secs(3),
            );
            let text = answer
                .as_ref()
                .map_or("no answer".to_owned(), |(s, b)| format!("{s} {b}"));
            if method != "GET" {
                self.record
                    .line(format!("{method} {path} at front-{index}: {text}"));
            }
            if let Some((status, body)) = answer
                && ![502, 503, 504, 429].contains(&status)
            {
                return Some((status, body));
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Hands a submission in. Returns whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, body: &str) -> bool {
        self.request("POST", queue, id, body)
            .is_some_and(|(status, _)| status / 100 == 2)
    }

    /// Returns the state of a submission, or the status of another answer.
    pub fn state(&self, queue: &str, id: &str) -> Option<String> {
        let (status, body) = self.request("GET", queue, id, "")?;
        let state = Json::parse(&body).and_then(|b| b.text("state").map(str::to_owned));
        Some(state.unwrap_or_else(|| status.to_string()))
    }
}

fn zone(index: u8) -> String {
    ["bergen-a", "bergen-b", "forde"][usize::from(index) % 3].to_owned()
}

/// Returns the command of a role in the deploy file, split at spaces.
fn deploy_command(role: &str) -> Result<Vec<String>, Failure> {
    let text = fs::read_to_string(Path::new("deploy/system.toml"))?;
    let section = text
        .split(&format!("[roles.{role}]"))
        .nth(1)
        .ok_or("no such role")?;
    let line = section
        .lines()
        .find(|line| line.starts_with("run"))
        .ok_or("no command")?;
    let command = line.split('"').nth(1).ok_or("no command")?;
    Ok(command.split(' ').map(str::to_owned).collect())
}

/// Step of a submission.
pub struct Task {
    pub kind: &'static str,
    pub count: u64,
    pub cpu: u64,
    pub work_ms: u64,
    pub requires: &'static str,
    pub may_miss: u64,
    pub target_ms: u64,
    pub image: &'static str,
}

impl Task {
    /// Returns one task that reserves processors for a time.
    pub fn batch(cpu: u64, work_ms: u64) -> Self {
        Self {
            kind: "batch",
            count: 1,
            cpu,
            work_ms,
            requires: "",
            may_miss: 0,
            target_ms: 0,
            image: "",
        }
    }

    /// Returns the body of a submission with this step.
    pub fn body(&self) -> String {
        let spec = object! {"kind" => self.kind, "cpu" => self.cpu, "mem" => 500_u64, "work" => self.work_ms};
        let mut step = vec![
            ("count".to_owned(), Json::from(self.count)),
            ("cpu".to_owned(), Json::from(self.cpu)),
            ("memMb".to_owned(), Json::from(500_u64)),
            (w("estimate").to_owned(), Json::from(self.work_ms)),
        ];
        let mut add = |name: &str, value: Json| step.push((name.to_owned(), value));
        if !self.requires.is_empty() {
            add("requires", self.requires.into());
        }
        if self.kind != "batch" {
            add("persistent", true.into());
        }
        if self.kind == "fills" {
            add("fills", true.into());
        }
        if !self.image.is_empty() {
            add("image", self.image.into());
        }
        if self.may_miss > 0 {
            add("mayMiss", self.may_miss.into());
        }
        if self.target_ms > 0 {
            add("targetMs", self.target_ms.into());
        }
        let steps = vec![Json::Object(step)];
        object! {"spec" => spec.to_string(), "steps" => steps}.to_string()
    }
}
