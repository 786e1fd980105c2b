//! Workers: each runs tasks for the time that their payload names (`ms=NUMBER`), under a lease.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{Json, num, object, text};
use crate::record::Recorder;
use crate::wire;

const CAPACITY_CPU: u64 = 16_000;
const CAPACITY_MEM: u64 = 64_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_WAIT_MS: u64 = 2_000;
const MAX_ENDS: usize = 500;
/// Time after which an unanswered start is carried out.
const LATE: Duration = Duration::from_millis(2_300);

struct Run {
    number: u64,
    started: Instant,
    ends_at: Option<Instant>,
    how: &'static str,
}

/// One life of a worker.
struct Life {
    id: String,
    born: u64,
    started: Instant,
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    highest: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    beats: u64,
    /// When the first heartbeat is sent.
    beat_from: Instant,
}

struct State {
    life: Option<Life>,
    lives: u32,
    /// Job of which starts from a run number on get no answer and are carried out late.
    late_job: Option<(String, u64)>,
    /// Start that was left unanswered.
    unanswered: Option<String>,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    zone: String,
    service: String,
    control: SocketAddr,
    address: Arc<Mutex<Option<SocketAddr>>>,
    max_hold: u64,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str, recorder: &Recorder) {
        if let Some(run) = self.runs.remove(task) {
            self.ends
                .push((self.next_end, task.to_owned(), run.number, how));
            self.next_end += 1;
            match how {
                "failed" => recorder.count("runs ended failed"),
                _ => recorder.note(&format!(
                    "worker {}: run {task}#{} ended {how}",
                    self.id, run.number
                )),
            }
        }
    }

    /// Ends runs that are done, and all of them once the lease has lapsed.
    fn advance(&mut self, recorder: &Recorder) {
        let now = Instant::now();
        let over = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|at| at <= now));
        let over: Vec<_> = over.map(|(task, run)| (task.clone(), run.how)).collect();
        for (task, how) in over {
            self.end(&task, how, recorder);
        }
        if self.clock() > self.lease_until {
            let left: Vec<String> = self.runs.keys().cloned().collect();
            for task in left {
                self.end(&task, "lapsed", recorder);
            }
        }
    }
}

impl Worker {
    pub fn start(
        name: &str,
        ip: &str,
        zone: &str,
        service: &str,
        control: SocketAddr,
        max_hold: u64,
        recorder: &Recorder,
    ) -> Self {
        let worker = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            control,
            address: Arc::default(),
            max_hold,
            state: Arc::new(Mutex::new(State {
                life: None,
                lives: 0,
                late_job: None,
                unanswered: None,
            })),
            recorder: recorder.clone(),
        };
        worker.revive();
        let server = worker.clone();
        let up = worker.clone();
        let is_up = move || up.id().is_some();
        let address = http::serve_while(ip, is_up, move |request| server.handle(&request));
        *worker.address.lock().unwrap() = Some(address);
        let timer = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                if let Some(life) = &mut timer.state.lock().unwrap().life {
                    life.advance(&timer.recorder);
                }
            }
        });
        let beats = worker.clone();
        thread::spawn(move || beats.send_heartbeats());
        worker
    }

    /// Starts the next life, under another identifier.
    pub fn revive(&self) {
        self.state.lock().unwrap().lives += 1;
        self.begin_life(Duration::ZERO);
    }

    /// Starts the next life, under the same identifier. Its first heartbeat follows after a delay.
    pub fn revive_same(&self, beat_delay: Duration) {
        self.begin_life(beat_delay);
    }

    fn begin_life(&self, beat_delay: Duration) {
        let mut state = self.state.lock().unwrap();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        state.life = Some(Life {
            id: format!("i-{}-{}", self.name, state.lives),
            born,
            started: Instant::now(),
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
            beats: 0,
            beat_from: Instant::now() + beat_delay,
        });
    }

    /// Ends the life with all that runs.
    pub fn kill(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = state.life.take() {
            for (task, run) in &life.runs {
                self.recorder.note(&format!(
                    "worker {}: run {task}#{} gone with its worker",
                    life.id, run.number
                ));
            }
        }
    }

    /// Returns the identifier of the current life.
    pub fn id(&self) -> Option<String> {
        self.state
            .lock()
            .unwrap()
            .life
            .as_ref()
            .map(|life| life.id.clone())
    }

    /// Returns the kind of the minion: the first one is the only one of its kind.
    fn kind(&self) -> &'static str {
        if self.name == "m1" { "b" } else { "a" }
    }

    /// Leaves the next start of a job unanswered, if its run number is at least `from`.
    pub fn set_late(&self, job: &str, from: u64) {
        self.state.lock().unwrap().late_job = Some((job.to_owned(), from));
    }

    /// Answers all later starts.
    pub fn answer_all(&self) {
        self.state.lock().unwrap().late_job = None;
    }

    /// Returns the start that was left unanswered, if there was one.
    pub fn unanswered(&self) -> Option<String> {
        self.state.lock().unwrap().unanswered.clone()
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state
            .life
            .as_ref()
            .map_or(Vec::new(), |life| life.runs.keys().cloned().collect())
    }

    fn send_heartbeats(&self) {
        loop {
            let Some(address) = *self.address.lock().unwrap() else {
                continue;
            };
            let beat = {
                let mut state = self.state.lock().unwrap();
                let life = state.life.as_mut();
                let life = life.filter(|life| Instant::now() >= life.beat_from);
                life.map(|life| {
                    life.beats += 1;
                    let body = object(&[
                        ("service", text(&self.service)),
                        ("addr", text(&address.to_string())),
                        ("zone", text(&self.zone)),
                        ("version", text("v1")),
                        ("slots", num(8)),
                        ("state", text("ready")),
                        (wire::name("cold"), num(0)),
                        (
                            "capacity",
                            object(&[
                                ("cpu", num(CAPACITY_CPU)),
                                ("memMb", num(CAPACITY_MEM)),
                                ("gpu", num(0)),
                            ]),
                        ),
                        ("labels", Json::List(vec![text(self.kind()), text("r1")])),
                        ("clockMs", num(life.clock())),
                        ("seq", num(life.beats)),
                        ("born", num(life.born)),
                    ]);
                    (life.id.clone(), body.to_string())
                })
            };
            let mut pause = Duration::from_millis(50);
            if let Some((id, body)) = beat {
                let path = format!("/{}/instances/{id}", crate::PRODUCT);
                let reply = http::call(
                    self.control,
                    "PUT",
                    &path,
                    &[],
                    &body,
                    Duration::from_secs(1),
                );
                if reply.is_some_and(|(status, _)| status == 200) {
                    pause = HEARTBEAT;
                }
            }
            thread::sleep(pause);
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let call = request.path.rsplit('/').next()?.to_owned();
        let body = Json::parse(&request.text())?;
        let token = body.number(wire::name("token")).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let life = state.life.as_mut()?;
        if request
            .header("Expect-Instance")
            .is_some_and(|id| id != life.id)
        {
            return Some((421, b"{}".to_vec()));
        }
        life.advance(&self.recorder);
        if token < life.token {
            return Some(refuse(life, "fence"));
        }
        life.token = token;
        match call.as_str() {
            "hold" => {
                self.extend(life, &body);
                let seen = body.number(wire::name("last_seen")).unwrap_or(0);
                life.ends.retain(|end| end.0 > seen);
                let wait = body.number("waitMs").unwrap_or(0).min(MAX_WAIT_MS);
                let until = Instant::now() + Duration::from_millis(wait);
                let id = life.id.clone();
                loop {
                    let life = state.life.as_mut().filter(|life| life.id == id)?;
                    if !life.ends.is_empty() || Instant::now() >= until {
                        return Some((200, status(life).into_bytes()));
                    }
                    drop(state);
                    thread::sleep(Duration::from_millis(3));
                    state = self.state.lock().unwrap();
                }
            }
            "run-start" => {
                let (task, run) = (body.text("task")?.to_owned(), body.number("run")?);
                let is_late = |(job, from): &mut (String, u64)| {
                    run >= *from && task.starts_with(job.as_str())
                };
                if state.late_job.take_if(is_late).is_none() {
                    return Some(self.run_start(state.life.as_mut()?, &body));
                }
                let id = state.life.as_ref()?.id.clone();
                self.recorder.note(&format!(
                    "worker {id}: start of {task}#{run} left unanswered, to be carried out {} ms later",
                    LATE.as_millis()
                ));
                state.unanswered = Some(task);
                drop(state);
                let worker = self.clone();
                thread::spawn(move || worker.start_late(&id, token, &body));
                self.wait_for_end();
                None
            }
            "run-stop" => {
                let (task, run) = (body.text("task")?, body.number("run")?);
                let highest = life.highest.entry(task.to_owned()).or_default();
                *highest = (*highest).max(run);
                if life.runs.get(task).is_some_and(|known| known.number == run) {
                    life.end(task, "stopped", &self.recorder);
                }
                Some((
                    200,
                    object(&[("clockMs", num(life.clock()))])
                        .to_string()
                        .into_bytes(),
                ))
            }
            "pace" => Some((
                200,
                object(&[("clockMs", num(life.clock()))])
                    .to_string()
                    .into_bytes(),
            )),
            _ => Some((404, Vec::new())),
        }
    }

    /// Carries out a start that got no answer, if a life with this identifier is up by then and has
    /// seen no higher token.
    fn start_late(&self, id: &str, token: u64, body: &Json) {
        thread::sleep(LATE);
        let mut state = self.state.lock().unwrap();
        let life = state.life.as_mut();
        if let Some(life) = life.filter(|life| life.id == id && life.token <= token) {
            life.token = token;
            self.recorder.note(&format!(
                "worker {id}: carries out the start that it left unanswered"
            ));
            self.run_start(life, body);
        }
    }

    /// Waits until the current life has ended.
    fn wait_for_end(&self) {
        let born = self
            .state
            .lock()
            .unwrap()
            .life
            .as_ref()
            .map(|life| life.born);
        while self
            .state
            .lock()
            .unwrap()
            .life
            .as_ref()
            .map(|life| life.born)
            == born
        {
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn extend(&self, life: &mut Life, body: &Json) {
        if let Some(until) = body.number("deadlineMs") {
            life.lease_until = life
                .lease_until
                .max(until.min(life.clock() + self.max_hold));
        }
    }

    fn run_start(&self, life: &mut Life, body: &Json) -> (u16, Vec<u8>) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, b"{}".to_vec());
        };
        if body
            .number("deadlineMs")
            .is_none_or(|until| until < life.clock())
        {
            return refuse(life, "late");
        }
        self.extend(life, body);
        let is_present = life.runs.get(task).is_some_and(|known| known.number == run);
        if !is_present {
            if life
                .highest
                .get(task)
                .is_some_and(|&highest| run <= highest)
            {
                return refuse(life, "old");
            }
            let spec = body.text("spec").unwrap_or_default();
            let after = |key: &str| {
                spec.split_once(key)
                    .and_then(|(_, ms)| ms.trim().parse::<u64>().ok())
            };
            let (ms, how) = match after("fails=") {
                Some(ms) => (Some(ms), "failed"),
                None => (after("ms="), "done"),
            };
            let ends_at = ms.map(|ms| Instant::now() + Duration::from_millis(ms));
            life.runs.insert(
                task.to_owned(),
                Run {
                    number: run,
                    started: Instant::now(),
                    ends_at,
                    how,
                },
            );
            life.highest.insert(task.to_owned(), run);
            match how {
                "failed" => self.recorder.count("runs started that fail"),
                _ => self
                    .recorder
                    .note(&format!("worker {}: run {task}#{run} started", life.id)),
            }
        }
        (
            200,
            object(&[("clockMs", num(life.clock()))])
                .to_string()
                .into_bytes(),
        )
    }
}

impl Run {
    /// Returns the percentage of the work that is done.
    fn percent(&self) -> u64 {
        let Some(ends_at) = self.ends_at else {
            return 100;
        };
        let total = (ends_at - self.started).as_millis().max(1);
        (self.started.elapsed().as_millis() * 100 / total).min(99) as u64
    }
}

fn refuse(life: &Life, reason: &str) -> (u16, Vec<u8>) {
    let body = object(&[("clockMs", num(life.clock())), ("reason", text(reason))]);
    (409, body.to_string().into_bytes())
}

fn status(life: &Life) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        Json::List(vec![
            text(task),
            num(run.number),
            text(""),
            num(run.percent()),
            num(500),
        ])
    });
    let ends = life
        .ends
        .iter()
        .take(MAX_ENDS)
        .map(|(number, task, run, how)| {
            Json::List(vec![
                num(*number),
                text(task),
                num(*run),
                text(how),
                text(""),
            ])
        });
    object(&[
        ("clockMs", num(life.clock())),
        ("born", num(life.born)),
        ("running", Json::List(running.collect())),
        (wire::name("ended"), Json::List(ends.collect())),
    ])
    .to_string()
}
