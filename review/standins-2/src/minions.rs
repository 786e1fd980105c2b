//! Stand-in for minions: they run tasks under leases, as the platform's pages tell.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request, Response, Server, json};
use crate::json::Json;
use crate::object;
use crate::record::Record;
use crate::wire::w;

pub const CPU: u64 = 16_000;
pub const MEM: u64 = 62_500;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(5);
const MAX_LEASE_MS: u64 = 6_000;

/// What a minion has begun or ended.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub what: What,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Started,
    /// A task that lasts is at work from now on.
    AtWork,
    Ended(&'static str),
    /// The end as done was taken note of.
    Noted,
}

/// Events of all minions, in their order.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Vec<Event>>>);

impl Ledger {
    fn add(&self, event: Event) {
        self.0.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.0.lock().unwrap().clone()
    }

    /// Returns the events of a submission.
    pub fn of(&self, id: &str) -> Vec<Event> {
        let events = self.events().into_iter();
        events.filter(|event| event.task.starts_with(id)).collect()
    }

    /// Returns the minions on which tasks of a submission run, with the tasks.
    pub fn running(&self, id: &str) -> BTreeMap<String, String> {
        let mut running = BTreeMap::new();
        for event in self.of(id) {
            match event.what {
                What::Started => {
                    running.insert(event.task, event.minion);
                }
                What::AtWork | What::Noted => {}
                What::Ended(_) => {
                    running.remove(&event.task);
                }
            }
        }
        running
    }
}

/// What a task needs and does. It is the text that the client sends with its submission.
#[derive(Clone, Debug)]
struct Shape {
    /// `batch`, `serves` or `fills`. The last two last until they are stopped.
    kind: String,
    cpu: u64,
    mem: u64,
    /// Running time; for tasks that last, the time until they are at work.
    work_ms: f64,
}

impl Shape {
    fn read(text: &str) -> Self {
        let spec = Json::parse(text).unwrap_or(Json::Null);
        let number = |name| spec.number(name).unwrap_or(0.0);
        Self {
            kind: spec.text("kind").unwrap_or("batch").to_owned(),
            cpu: number("cpu") as u64,
            mem: number("mem") as u64,
            work_ms: number("work"),
        }
    }

    fn lasts(&self) -> bool {
        self.kind != "batch"
    }

    /// Returns the processors that count against the minion's room.
    fn counted_cpu(&self) -> u64 {
        if self.kind == "fills" { 0 } else { self.cpu }
    }
}

struct Run {
    number: u64,
    shape: Shape,
    done_ms: f64,
    pace: u64,
    is_at_work: bool,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

/// Identity of a machine's minions.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    /// Address of the minions.
    pub address: SocketAddr,
    /// Address for liveness reports, on the agent's host.
    pub control: SocketAddr,
    pub zone: String,
    pub labels: Vec<String>,
}

/// What the minions of a case share.
#[derive(Clone)]
pub struct World {
    pub record: Record,
    pub ledger: Ledger,
    pub service: String,
    /// Milliseconds that one filling task at full pace adds to the tail latency of the tasks that serve.
    pub harm_ms: Arc<AtomicU64>,
    /// Calls that get no answer.
    pub unanswered: Arc<Mutex<Unanswered>>,
    /// Milliseconds from the start of a minion to its first liveness report.
    pub first_report_ms: Arc<AtomicU64>,
}

/// Calls that get no answer: the next one of each kind that is named here. They are kept, to be carried out
/// later.
#[derive(Default)]
pub struct Unanswered {
    /// Whether the next call that acknowledges ends is left without an answer.
    pub next_seen: bool,
    /// Submission of which the next start is left without an answer.
    pub next_start: Option<String>,
    pub seen: Option<Request>,
    pub start: Option<Request>,
}

impl Unanswered {
    /// Returns whether a call is left without an answer, and keeps it.
    fn take(&mut self, request: &Request) -> bool {
        let call = request.json();
        let path = request.path.as_str();
        let is_seen = path == w("hold") && call.number(w("last_seen")).is_some_and(|n| n > 0.0);
        if self.next_seen && is_seen {
            self.next_seen = false;
            self.seen = Some(request.clone());
            return true;
        }
        let task = call.text("task").unwrap_or_default();
        let is_named = |id: &String| path == w("start") && task.starts_with(id.as_str());
        if self.next_start.as_ref().is_some_and(is_named) {
            self.next_start = None;
            self.start = Some(request.clone());
            return true;
        }
        false
    }
}

/// One life of a machine's minion.
pub struct Minion {
    shared: Shared,
    server: Server,
}

#[derive(Clone)]
struct Shared {
    id: String,
    born: u64,
    machine: Machine,
    world: World,
    started_at: Instant,
    state: Arc<Mutex<State>>,
    has_ended: Arc<AtomicBool>,
}

impl Minion {
    pub fn start(machine: Machine, id: &str, world: World) -> std::io::Result<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let address = machine.address;
        let shared = Shared {
            id: id.to_owned(),
            born,
            machine,
            world,
            started_at: Instant::now(),
            state: Arc::default(),
            has_ended: Arc::default(),
        };
        let handler = shared.clone();
        let server = Server::start(address, move |request| handler.respond(request))?;
        shared
            .world
            .record
            .line(format!("minion {id} starts on {}", shared.machine.name));
        let (timers, reports) = (shared.clone(), shared.clone());
        thread::spawn(move || timers.run_timers());
        thread::spawn(move || reports.send_reports());
        Ok(Self { shared, server })
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn machine(&self) -> &Machine {
        &self.shared.machine
    }

    /// Returns the room that is not taken: processors and memory.
    pub fn free(&self) -> (u64, u64) {
        self.shared.free(&self.shared.state.lock().unwrap())
    }

    /// Carries out a call that reaches this life of the minion late.
    pub fn carry_out(&self, request: &Request) {
        let (status, answer) = self.shared.carry_out(request);
        let (body, answer) = (
            String::from_utf8_lossy(&request.body),
            String::from_utf8_lossy(&answer),
        );
        self.shared.world.record.line(format!(
            "carried out late on {}: {} {body} -> {status} {answer}",
            self.shared.id, request.path
        ));
    }

    /// Lets a task that runs here fail. Returns whether it was there.
    pub fn fail(&self, task: &str) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        let is_there = state.runs.contains_key(task);
        self.shared.end(&mut state, task, "failed");
        is_there
    }

    /// Ends the process at once: the port is closed, and all that ran is lost.
    pub fn crash(self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        self.server.stop();
        let world = &self.shared.world;
        world
            .record
            .line(format!("minion {} crashes", self.shared.id));
        let runs = std::mem::take(&mut self.shared.state.lock().unwrap().runs);
        for (task, run) in runs {
            self.shared.note(&task, run.number, What::Ended("crashed"));
        }
    }
}

impl Shared {
    fn clock_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    fn free(&self, state: &State) -> (u64, u64) {
        let shapes = state.runs.values().map(|run| &run.shape);
        let (cpu, mem) = shapes.fold((0, 0), |(cpu, mem), s| (cpu + s.counted_cpu(), mem + s.mem));
        (CPU.saturating_sub(cpu), MEM.saturating_sub(mem))
    }

    fn note(&self, task: &str, run: u64, what: What) {
        let event = Event {
            at: self.world.record.now(),
            task: task.to_owned(),
            run,
            minion: self.id.clone(),
            what,
        };
        self.world
            .record
            .line(format!("run {task}#{run} on {} {what:?}", self.id));
        self.world.ledger.add(event);
    }

    fn send_reports(self) {
        let path = format!("{}{}", w("instances"), self.id);
        let mut number = 0_u64;
        thread::sleep(Duration::from_millis(
            self.world.first_report_ms.load(Ordering::SeqCst),
        ));
        while !self.has_ended() {
            number += 1;
            let labels: Vec<Json> = self
                .machine
                .labels
                .iter()
                .map(|l| Json::from(l.as_str()))
                .collect();
            let body = object! {
                "service" => self.world.service.as_str(), "addr" => self.machine.address.to_string(),
                "zone" => self.machine.zone.as_str(), "version" => "v1", "slots" => 8_u64,
                "state" => "ready", w("cold") => 0_u64,
                "capacity" => object! {"cpu" => CPU, "memMb" => MEM, "gpu" => 0_u64},
                "labels" => labels, "clockMs" => self.clock_ms(), "seq" => number, "born" => self.born,
            };
            let limit = Duration::from_secs(1);
            let answer = http::call(
                self.machine.control,
                "PUT",
                &path,
                &[],
                &body.to_string(),
                limit,
            );
            // Without an acknowledgement, the report is repeated soon.
            let is_acknowledged = answer.is_some_and(|(status, _)| status / 100 == 2);
            let pause = if is_acknowledged {
                HEARTBEAT_INTERVAL
            } else {
                HEARTBEAT_INTERVAL / 5
            };
            let until = Instant::now() + pause;
            while Instant::now() < until && !self.has_ended() {
                thread::sleep(TICK);
            }
        }
    }

    fn run_timers(self) {
        let mut last = Instant::now();
        while !self.has_ended() {
            thread::sleep(TICK);
            let elapsed = last.elapsed().as_secs_f64() * 1_000.0;
            last = Instant::now();
            let mut state = self.state.lock().unwrap();
            let mut done = Vec::new();
            for (task, run) in &mut state.runs {
                run.done_ms += elapsed * run.pace as f64 / 100.0;
                let is_over = run.done_ms >= run.shape.work_ms;
                if is_over && run.shape.lasts() && !run.is_at_work {
                    run.is_at_work = true;
                    self.note(task, run.number, What::AtWork);
                } else if is_over && !run.shape.lasts() {
                    done.push(task.clone());
                }
            }
            for task in done {
                self.end(&mut state, &task, "done");
            }
            if self.clock_ms() > state.lease_until {
                let all: Vec<String> = state.runs.keys().cloned().collect();
                for task in all {
                    self.end(&mut state, &task, "lapsed");
                }
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.last_end += 1;
        state
            .ends
            .push((state.last_end, task.to_owned(), run.number, how));
        self.note(task, run.number, What::Ended(how));
    }

    fn answer(&self, status: u16, reason: Option<&str>) -> Response {
        let clock = self.clock_ms();
        match reason {
            Some(reason) => json(status, &object! {"clockMs" => clock, "reason" => reason}),
            None => json(status, &object! {"clockMs" => clock}),
        }
    }

    fn respond(&self, request: &Request) -> Response {
        let world = &self.world;
        if world.unanswered.lock().unwrap().take(request) {
            let body = String::from_utf8_lossy(&request.body);
            world.record.line(format!(
                "no answer on {} to {} {body}",
                self.id, request.path
            ));
            return (http::NO_RESPONSE, Vec::new());
        }
        self.carry_out(request)
    }

    fn carry_out(&self, request: &Request) -> Response {
        if self.has_ended() {
            return (503, Vec::new());
        }
        let id = request.header("Expect-Instance");
        if id.is_some_and(|id| id != self.id) {
            return (421, Vec::new());
        }
        let call = request.json();
        let number = |name: &str| call.number(name).unwrap_or(0.0) as u64;
        let task = call.text("task").unwrap_or_default().to_owned();
        let run = number("run");
        let mut state = self.state.lock().unwrap();
        let token = number(w("token"));
        if token < state.token {
            return self.answer(409, Some("fence"));
        }
        state.token = token;
        let deadline = call.number("deadlineMs").map(|n| n as u64);
        let path = request.path.as_str();
        if path == w("start") {
            if deadline.is_none_or(|deadline| deadline < self.clock_ms()) {
                return self.answer(409, Some("late"));
            }
            self.extend_lease(&mut state, deadline);
            if state
                .runs
                .get(&task)
                .is_some_and(|known| known.number == run)
            {
                return self.answer(200, None);
            }
            if run <= state.highest.get(&task).copied().unwrap_or(0)
                || state.runs.contains_key(&task)
            {
                return self.answer(409, Some("old"));
            }
            let shape = Shape::read(call.text("spec").unwrap_or_default());
            let (cpu, mem) = self.free(&state);
            if shape.counted_cpu() > cpu || shape.mem > mem {
                return self.answer(409, Some("room"));
            }
            state.highest.insert(task.clone(), run);
            let new = Run {
                number: run,
                shape,
                done_ms: 0.0,
                pace: 100,
                is_at_work: false,
            };
            state.runs.insert(task.clone(), new);
            self.note(&task, run, What::Started);
            self.answer(200, None)
        } else if path == w("stop") {
            self.world
                .record
                .line(format!("order to stop {task}#{run} on {}", self.id));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            if state
                .runs
                .get(&task)
                .is_some_and(|known| known.number <= run)
            {
                self.end(&mut state, &task, "stopped");
            }
            self.answer(200, None)
        } else if path == w("pace") {
            let percent = number("percent");
            self.world.record.line(format!(
                "order to pace {task}#{run} on {} at {percent}",
                self.id
            ));
            match state
                .runs
                .get_mut(&task)
                .filter(|known| known.number == run)
            {
                Some(known) => known.pace = percent.min(100),
                None => return self.answer(409, Some("old")),
            }
            self.answer(200, None)
        } else if path == w("hold") {
            self.extend_lease(&mut state, deadline);
            let seen = number(w("last_seen"));
            // An end counts as taken note of unless the lease has lapsed since.
            let is_leased = self.clock_ms() <= state.lease_until;
            let noted = state.ends.iter().filter(|(n, ..)| *n <= seen && is_leased);
            for (_, task, run, _) in noted.filter(|(.., how)| *how == "done") {
                self.note(task, *run, What::Noted);
            }
            state.ends.retain(|(n, ..)| *n > seen);
            let until = Instant::now() + Duration::from_millis(number("waitMs").min(2_000));
            while state.ends.is_empty() && Instant::now() < until && !self.has_ended() {
                drop(state);
                thread::sleep(TICK);
                state = self.state.lock().unwrap();
            }
            json(200, &self.lists(&state))
        } else {
            (404, Vec::new())
        }
    }

    fn extend_lease(&self, state: &mut State, deadline: Option<u64>) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        state.lease_until = state.lease_until.max(deadline.unwrap_or(0).min(latest));
    }

    fn lists(&self, state: &State) -> Json {
        let filling = state
            .runs
            .values()
            .filter(|run| run.shape.kind == "fills" && run.is_at_work);
        let harm: u64 = filling.map(|run| run.pace).sum();
        let tail = 10 + self.world.harm_ms.load(Ordering::SeqCst) * harm / 100;
        let running = state.runs.iter().map(|(task, run)| {
            let percent = (run.done_ms * 100.0 / run.shape.work_ms.max(1.0)) as u64;
            let percent = percent.min(if run.shape.lasts() { 100 } else { 99 });
            let figure = match run.shape.kind.as_str() {
                "serves" => tail,
                _ => run.shape.cpu * run.pace / 100,
            };
            Json::from(vec![
                Json::from(task.as_str()),
                Json::from(run.number),
                Json::from(""),
                Json::from(percent),
                Json::from(figure),
            ])
        });
        let ended = state.ends.iter().take(500).map(|(n, task, run, how)| {
            Json::from(vec![
                Json::from(*n),
                Json::from(task.as_str()),
                Json::from(*run),
                Json::from(*how),
                Json::from(""),
            ])
        });
        object! {
            "clockMs" => self.clock_ms(), "born" => self.born,
            "running" => running.collect::<Vec<_>>(), w("ended") => ended.collect::<Vec<_>>(),
        }
    }
}
