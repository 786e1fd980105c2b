//! The platform's machines: lists them and takes them down for upkeep. Fences are not checked.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Reply, Request};
use crate::json::{Json, object, text};
use crate::record::Recorder;
use crate::worker::Worker;

const UPKEEP: Duration = Duration::from_secs(2);

/// Order to take a machine down, as it arrived.
#[derive(Clone)]
pub struct Order {
    pub machine: String,
    pub holder: String,
    pub token: u64,
}

#[derive(Default)]
struct State {
    orders: Vec<Order>,
    /// Machines whose upkeep has begun.
    begun: Vec<String>,
    down: Vec<String>,
}

#[derive(Clone)]
pub struct Machines {
    workers: Arc<Mutex<Vec<Worker>>>,
    wave: Vec<String>,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

impl Machines {
    pub fn new(wave: &[String], recorder: &Recorder) -> Self {
        Self {
            workers: Arc::default(),
            wave: wave.to_vec(),
            state: Arc::default(),
            recorder: recorder.clone(),
        }
    }

    pub fn set_workers(&self, workers: &[Worker]) {
        *self.workers.lock().unwrap() = workers.to_vec();
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn handle(&self, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(2));
        match request.path.rsplit('/').next()? {
            "machines" => Some(self.list()),
            "machine-upkeep" => Some(self.take_down(request)),
            _ => Some((404, Vec::new())),
        }
    }

    fn list(&self) -> (u16, Vec<u8>) {
        let workers = self.workers.lock().unwrap();
        let state = self.state.lock().unwrap();
        let rows = workers.iter().map(|worker| {
            let is_down = state.down.contains(&worker.name);
            let id = worker.id().unwrap_or_default();
            object(&[
                ("machine", text(&worker.name)),
                ("pool", text("svc")),
                ("state", text(if is_down { "upkeep" } else { "up" })),
                ("zone", text("z-a")),
                ("labels", Json::List(vec![text("a"), text("r1")])),
                ("id", text(&id)),
            ])
        });
        let body = object(&[
            ("machines", Json::List(rows.collect())),
            ("nextToken", text("")),
        ]);
        (200, body.to_string().into_bytes())
    }

    fn take_down(&self, request: &Request) -> (u16, Vec<u8>) {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let machine = body.text("machine").unwrap_or_default().to_owned();
        let holder = request.header("Duty-Holder").unwrap_or_default().to_owned();
        let token = request
            .header("Fencing-Token")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        let workers = self.workers.lock().unwrap().clone();
        let mut state = self.state.lock().unwrap();
        let order = Order {
            machine: machine.clone(),
            holder: holder.clone(),
            token,
        };
        state.orders.push(order);
        let text = format!("machines: upkeep of {machine} ordered by {holder} with token {token}");
        let Some(worker) = workers.into_iter().find(|worker| worker.name == machine) else {
            self.recorder.note(&format!("{text}: 400"));
            return (400, b"{}".to_vec());
        };
        if !self.wave.contains(&machine) {
            return (409, br#"{"reason":"wave"}"#.to_vec());
        }
        if state.begun.contains(&machine) {
            self.recorder.note(&format!("{text}: 200, already done"));
            return (200, b"{}".to_vec());
        }
        self.recorder.note(&format!(
            "{text}: 200, {} other machines down",
            state.down.len()
        ));
        state.begun.push(machine.clone());
        state.down.push(machine.clone());
        drop(state);
        worker.kill();
        let machines = self.clone();
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            worker.revive();
            machines
                .state
                .lock()
                .unwrap()
                .down
                .retain(|name| *name != machine);
            machines
                .recorder
                .note(&format!("machines: {machine} is up again"));
        });
        (200, b"{}".to_vec())
    }
}
