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

/// Returns for how long a task works, from the text that its job passes to it: `work` and milliseconds.
fn work_time(spec: &str) -> Duration {
    let time = spec.strip_prefix("work ").and_then(|ms| ms.parse().ok());
    Duration::from_millis(time.unwrap_or(1_000))
}

struct Run {
    number: u64,
    work: Duration,
    started: Instant,
}

impl Run {
    fn is_done(&self) -> bool {
        self.started.elapsed() >= self.work
    }

    fn percent(&self) -> u64 {
        let elapsed = self.started.elapsed().as_millis() as u64;
        (elapsed * 100 / self.work.as_millis().max(1) as u64).min(99)
    }
}

/// Call that is left without an answer and carried out later, also by a later life with the same identifier.
struct HeldCall {
    path: String,
    call: Json,
    received: Instant,
}

/// Which call is held next, and the one that is.
#[derive(Default)]
struct Holding {
    path: Option<String>,
    held: Option<HeldCall>,
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
    fn started(&self, worker: &str, task: &str, run: u64);
    fn ended(&self, worker: &str, task: &str, run: u64, how: &str);
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
    holding: Arc<Mutex<Holding>>,
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
    holding: Arc<Mutex<Holding>>,
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
            holding: Arc::default(),
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
            holding: Arc::clone(&self.holding),
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

    /// Leaves the next call of this kind without an answer: a start, or a probe that acknowledges an end.
    pub fn hold_next(&self, call: &str) {
        self.holding.lock().unwrap().path = Some(wire::path(call));
    }

    /// Answers all further calls.
    pub fn hold_none(&self) {
        self.holding.lock().unwrap().path = None;
    }

    /// Returns for how long a call has been held.
    pub fn held_for(&self) -> Option<Duration> {
        let holding = self.holding.lock().unwrap();
        holding.held.as_ref().map(|held| held.received.elapsed())
    }

    /// Carries the held call out now.
    pub fn release(&self) {
        let held = self.holding.lock().unwrap().held.take();
        let (Some(held), Some((life, _))) = (held, self.life.as_ref()) else {
            return;
        };
        let answer = life.carry_out(&held.path, &held.call);
        let answer =
            answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
        let after = held.received.elapsed().as_millis();
        self.record.line(&format!(
            "{} carries out {} {after} ms late: {answer:?}",
            life.id, held.path
        ));
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
            let has_lapsed = Instant::now() > state.until;
            let ended: Vec<_> = state
                .runs
                .iter()
                .filter(|(_, run)| has_lapsed || run.is_done())
                .map(|(task, run)| (task.clone(), run.is_done()))
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
        if self.holds(&request.path, &call) {
            while !self.is_over() {
                thread::sleep(TICK);
            }
            return None;
        }
        self.carry_out(&request.path, &call)
    }

    /// Holds a call if it is the next one to be left without an answer.
    fn holds(&self, path: &str, call: &Json) -> bool {
        let mut holding = self.holding.lock().unwrap();
        let is_probe = path == wire::path("probe");
        let is_wanted = holding.path.as_deref() == Some(path)
            && (!is_probe || call.get(wire::name("seen")).number().unwrap_or(0) > 0);
        if is_wanted {
            holding.path = None;
            holding.held = Some(HeldCall {
                path: path.to_owned(),
                call: call.clone(),
                received: Instant::now(),
            });
        }
        is_wanted
    }

    fn carry_out(&self, path: &str, call: &Json) -> Response {
        let token = call.get(wire::name("token")).number().unwrap_or(0);
        let task = call.get("task").text().to_owned();
        let number = call.get("run").number().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        if path == wire::path("probe") {
            drop(state);
            return self.probe(call);
        }
        if path == wire::path("start") {
            if state
                .runs
                .get(&task)
                .is_some_and(|run| run.number == number)
            {
                self.extend(&mut state, call);
                return self.accept();
            }
            if state
                .highest
                .get(&task)
                .is_some_and(|highest| *highest >= number)
            {
                self.extend(&mut state, call);
                return self.refuse("old");
            }
            self.extend(&mut state, call);
            if Instant::now() > state.until {
                return self.refuse("late");
            }
            state.highest.insert(task.clone(), number);
            self.observer.started(&self.id, &task, number);
            let run = Run {
                number,
                work: work_time(call.get("spec").text()),
                started: Instant::now(),
            };
            state.runs.insert(task, run);
            return self.accept();
        }
        if path == wire::path("stop") {
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
        let runs = state.runs.iter().map(|(task, run)| {
            format!(
                "[{},{},\"\",{},500]",
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
