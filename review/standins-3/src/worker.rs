//! Worker of the platform: runs tasks under a lease, and announces itself to its agent.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response, Server};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::wire;

const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// Longest lease that the worker grants.
const MAX_LEASE: Duration = Duration::from_millis(6_000);
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(400);

/// What a task does, from the text that its job passes to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// It works for this long and ends as done.
    Work(Duration),
    /// It lasts and serves its own users.
    Serves,
    /// It lasts and takes processors that others leave unused.
    Fills,
}

impl Kind {
    fn of(spec: &str) -> Self {
        match spec.split_once(' ') {
            Some(("work", ms)) => Self::Work(Duration::from_millis(ms.parse().unwrap_or(1_000))),
            _ if spec == "fills" => Self::Fills,
            _ => Self::Serves,
        }
    }
}

struct Run {
    number: u64,
    kind: Kind,
    started: Instant,
    /// Speed in percent.
    speed: u64,
}

impl Run {
    fn percent(&self) -> u64 {
        let elapsed = self.started.elapsed().as_millis() as u64;
        match self.kind {
            Kind::Work(time) => (elapsed * 100 / time.as_millis().max(1) as u64).min(99),
            Kind::Serves | Kind::Fills => (elapsed * 100 / STARTUP.as_millis() as u64).min(100),
        }
    }
}

struct State {
    token: u64,
    until: Instant,
    runs: BTreeMap<String, Run>,
    /// Highest run of each task that was started, stopped or has ended here.
    highest: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

/// What happens on all workers, as the check of a scenario needs it.
pub trait Observer: Send + Sync {
    fn started(&self, worker: &str, task: &str, run: u64, kind: Kind);
    fn ended(&self, worker: &str, task: &str, run: u64, how: &str);
    /// Returns the tail latency in milliseconds of a task that serves, beside tasks that fill.
    fn latency(&self, filling: u64) -> u64;
}

struct Life {
    id: String,
    born: u64,
    started: Instant,
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    has_ended: AtomicBool,
    observer: Arc<dyn Observer>,
    /// Number of the last liveness report.
    beats: AtomicU64,
}

/// Place of a worker, which gets a new life after each crash.
pub struct Worker {
    pub name: String,
    address: SocketAddr,
    control: SocketAddr,
    zone: String,
    rack: String,
    /// Kind of the worker, which is one of its labels.
    pub label: &'static str,
    /// Whether each life has the identifier of the one before.
    pub keeps_id: bool,
    /// How far the time of day of the worker's machine is ahead, in milliseconds.
    pub clock_ahead: u64,
    lives: u32,
    life: Option<(Arc<Life>, Server)>,
    observer: Arc<dyn Observer>,
    record: Record,
}

impl Worker {
    pub fn new(
        name: String,
        (address, control): (SocketAddr, SocketAddr),
        (zone, rack): (String, String),
        observer: Arc<dyn Observer>,
        record: Record,
    ) -> Self {
        Self {
            name,
            address,
            control,
            zone,
            rack,
            label: "a",
            keeps_id: false,
            clock_ahead: 0,
            lives: 0,
            life: None,
            observer,
            record,
        }
    }

    /// Starts a life, with an identifier of its own unless the worker keeps it.
    pub fn start(&mut self) -> std::io::Result<()> {
        if !self.keeps_id || self.lives == 0 {
            self.lives += 1;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let life = Arc::new(Life {
            id: format!("i-{}-{}", self.name, self.lives),
            born: now.unwrap_or_default().as_millis() as u64 + self.clock_ahead,
            started: Instant::now(),
            address: self.address,
            state: Mutex::new(State {
                token: 0,
                until: Instant::now(),
                runs: BTreeMap::new(),
                highest: HashMap::new(),
                ends: Vec::new(),
                next_end: 1,
            }),
            changed: Condvar::new(),
            has_ended: AtomicBool::new(false),
            observer: Arc::clone(&self.observer),
            beats: AtomicU64::new(0),
        });
        let handler = Arc::clone(&life);
        let server = Server::start(self.address, move |request| handler.handle(&request))?;
        let timers = Arc::clone(&life);
        thread::spawn(move || timers.run_timers());
        let (beats, control) = (Arc::clone(&life), self.control);
        let (zone, labels) = (
            self.zone.clone(),
            format!("\"{}\",\"{}\"", self.label, self.rack),
        );
        thread::spawn(move || beats.send_beats(control, &zone, &labels));
        self.record.line(&format!(
            "worker {} up as {} born {}",
            self.name, life.id, life.born
        ));
        self.life = Some((life, server));
        Ok(())
    }

    /// Returns the identifier, the start and the number of the last liveness report of the life.
    pub fn identity(&self) -> Option<(String, u64, u64)> {
        let (life, _) = self.life.as_ref()?;
        Some((
            life.id.clone(),
            life.born,
            life.beats.load(Ordering::SeqCst),
        ))
    }

    /// Ends the life as a crash does: its runs are gone, and its address refuses connections.
    pub fn crash(&mut self) {
        let Some((life, mut server)) = self.life.take() else {
            return;
        };
        life.has_ended.store(true, Ordering::SeqCst);
        server.stop();
        self.record
            .line(&format!("worker {} crashes ({})", self.name, life.id));
        let mut state = life.state.lock().unwrap();
        for (task, run) in std::mem::take(&mut state.runs) {
            life.observer.ended(&life.id, &task, run.number, "gone");
        }
    }
}

impl Life {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn is_over(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        if let Some(run) = state.runs.remove(task) {
            let number = state.next_end;
            state.next_end += 1;
            state.ends.push((number, task.to_owned(), run.number, how));
            self.observer.ended(&self.id, task, run.number, how);
            self.changed.notify_all();
        }
    }

    fn run_timers(&self) {
        while !self.is_over() {
            thread::sleep(TICK);
            let mut state = self.state.lock().unwrap();
            if self.is_over() {
                return;
            }
            let is_done =
                |run: &Run| matches!(run.kind, Kind::Work(time) if run.started.elapsed() >= time);
            let has_lapsed = Instant::now() > state.until;
            let ended: Vec<_> = state
                .runs
                .iter()
                .filter(|(_, run)| has_lapsed || is_done(run))
                .map(|(task, run)| (task.clone(), is_done(run)))
                .collect();
            for (task, is_done) in ended {
                self.end_run(&mut state, &task, if is_done { "done" } else { "lapsed" });
            }
        }
    }

    fn send_beats(&self, control: SocketAddr, zone: &str, labels: &str) {
        while !self.is_over() {
            let number = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"service\":\"svc\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"{}\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":64000,\"gpu\":0}},\
                 \"labels\":[{labels}],\"{}\":{},\"born\":{},\"seq\":{number}}}",
                self.address,
                wire::name("cold"),
                wire::name("clock"),
                self.clock(),
                self.born
            );
            let path = format!("{}/{}", wire::path("beat"), self.id);
            let sent = http::call(control, "PUT", &path, "", &body, Duration::from_secs(1));
            let pause = match sent {
                Ok((200..=299, _)) => BEAT_INTERVAL,
                _ => Duration::from_millis(300),
            };
            let until = Instant::now() + pause;
            while Instant::now() < until && !self.is_over() {
                thread::sleep(TICK);
            }
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        let clock = wire::name("clock");
        let body = format!("{{\"{clock}\":{},\"reason\":\"{reason}\"}}", self.clock());
        Some((409, body.into_bytes()))
    }

    fn accept(&self) -> Response {
        let body = format!("{{\"{}\":{}}}", wire::name("clock"), self.clock());
        Some((200, body.into_bytes()))
    }

    fn extend(&self, state: &mut State, call: &Json) {
        if let Some(until) = call.get(wire::name("until")).number() {
            let until = self.started + Duration::from_millis(until);
            state.until = state.until.max(until.min(Instant::now() + MAX_LEASE));
        }
    }

    fn handle(&self, request: &Request) -> Response {
        if self.is_over() {
            return None;
        }
        if request.header(wire::name("expect")) != self.id {
            return Some((421, Vec::new()));
        }
        let Some(call) = Json::parse(&request.text()) else {
            return Some((400, Vec::new()));
        };
        let token = call.get(wire::name("token")).number().unwrap_or(0);
        let task = call.get("task").text().to_owned();
        let number = call.get("run").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        if request.path == wire::path("probe") {
            drop(state);
            return self.probe(&call);
        }
        if request.path == wire::path("start") {
            if state
                .runs
                .get(&task)
                .is_some_and(|run| run.number == number)
            {
                self.extend(&mut state, &call);
                return self.accept();
            }
            if state
                .highest
                .get(&task)
                .is_some_and(|highest| *highest >= number)
            {
                self.extend(&mut state, &call);
                return self.refuse("old");
            }
            self.extend(&mut state, &call);
            if Instant::now() > state.until {
                return self.refuse("late");
            }
            let kind = Kind::of(call.get("spec").text());
            state.highest.insert(task.clone(), number);
            self.observer.started(&self.id, &task, number, kind);
            let run = Run {
                number,
                kind,
                started: Instant::now(),
                speed: 100,
            };
            state.runs.insert(task, run);
            return self.accept();
        }
        if request.path == wire::path("stop") {
            let highest = state.highest.entry(task.clone()).or_insert(0);
            *highest = (*highest).max(number);
            if state
                .runs
                .get(&task)
                .is_some_and(|run| run.number <= number)
            {
                self.end_run(&mut state, &task, "stopped");
            }
            return self.accept();
        }
        if request.path == wire::path("speed") {
            let percent = call.get("percent").number().unwrap_or(100);
            return match state.runs.get_mut(&task).filter(|run| run.number == number) {
                Some(run) => {
                    run.speed = percent;
                    self.accept()
                }
                None => self.refuse("old"),
            };
        }
        Some((404, Vec::new()))
    }

    fn probe(&self, call: &Json) -> Response {
        let seen = call.get(wire::name("seen")).number().unwrap_or(0);
        let wait = call
            .get(wire::name("wait"))
            .number()
            .unwrap_or(0)
            .min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, call);
        state.ends.retain(|end| end.0 > seen);
        while state.ends.is_empty() && !self.is_over() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, remaining.min(TICK * 5))
                .unwrap()
                .0;
        }
        if self.is_over() {
            return None;
        }
        let filling = state.runs.values().filter(|run| run.kind == Kind::Fills);
        let filling = filling.map(|run| run.speed).sum();
        let latency = self.observer.latency(filling);
        let runs = state.runs.iter().map(|(task, run)| {
            let figure = match run.kind {
                Kind::Serves => latency,
                Kind::Fills => 20 * run.speed,
                Kind::Work(_) => 500,
            };
            format!(
                "[{},{},\"\",{},{figure}]",
                quote(task),
                run.number,
                run.percent()
            )
        });
        let ends = state.ends.iter().take(500).map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let (runs, ends): (Vec<_>, Vec<_>) = (runs.collect(), ends.collect());
        let body = format!(
            "{{\"{}\":{},\"born\":{},\"running\":[{}],\"{}\":[{}]}}",
            wire::name("clock"),
            self.clock(),
            self.born,
            runs.join(","),
            wire::name("ended"),
            ends.join(",")
        );
        Some((200, body.into_bytes()))
    }
}
