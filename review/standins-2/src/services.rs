//! Stand-ins for the platform's other services: the list of machines and their upkeep, and advice.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Server, json};
use crate::json::Json;
use crate::object;
use crate::record::Record;
use crate::wire::w;

/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Machine and its minion, as the list names them.
#[derive(Clone)]
pub struct Listed {
    pub machine: String,
    pub minion: String,
    pub pool: String,
    pub zone: String,
    pub labels: Vec<String>,
}

/// Serves the list of machines. All of them are machines on a `side`, so that an upkeep is answered with
/// 409 and `busy`, as the pages tell.
pub fn serve_machines(
    address: SocketAddr,
    machines: Vec<Listed>,
    record: Record,
) -> std::io::Result<Server> {
    Server::start(address, move |request| {
        thread::sleep(ANSWER_TIME);
        if request.path == w("machines") {
            let rows = machines.iter().map(|m| {
                let labels: Vec<Json> = m.labels.iter().map(|l| Json::from(l.as_str())).collect();
                object! {
                    "machine" => m.machine.as_str(), "pool" => m.pool.as_str(), "state" => "up",
                    "zone" => m.zone.as_str(), "labels" => labels,
                    "capacity" => object! {"cpu" => 16_000_u64, "memMb" => 62_500_u64, "gpu" => 0_u64},
                    "id" => m.minion.as_str(),
                }
            });
            let rows: Vec<Json> = rows.collect();
            return json(
                200,
                &object! {"machines" => rows, "nextToken" => Json::Null},
            );
        }
        if request.path == w("upkeep") {
            let body = request.json();
            let machine = body.text("machine").unwrap_or_default();
            record.line(format!("order of upkeep for {machine}: 409 busy"));
            return json(409, &object! {"reason" => "busy"});
        }
        (404, Vec::new())
    })
}

/// Times of the service for advice.
#[derive(Clone, Copy)]
pub struct AdviceTimes {
    pub decide_ms: u64,
    pub per_worker_ms: u64,
    pub valid_ms: u64,
}

/// Serves advice: all minions may run all steps. The calls of one machine are handled in turn, each in the
/// stated time; beyond 32 that wait they are rejected.
pub fn serve_advice(
    address: SocketAddr,
    times: AdviceTimes,
    record: Record,
) -> std::io::Result<Server> {
    let queues: Arc<Mutex<HashMap<IpAddr, (Instant, u32)>>> = Arc::default();
    Server::start(address, move |request| {
        let body = request.json();
        let step = body.text("step").unwrap_or_default().to_owned();
        let workers = body.list("workers").to_vec();
        let time = times.decide_ms + times.per_worker_ms * workers.len() as u64;
        let from = request.from.ip();
        let done_at = {
            let mut queues = queues.lock().unwrap();
            let (free_at, waiting) = queues.entry(from).or_insert((Instant::now(), 0));
            if *waiting >= 32 {
                return (429, Vec::new());
            }
            *waiting += 1;
            *free_at = (*free_at).max(Instant::now()) + Duration::from_millis(time);
            *free_at
        };
        record.line(format!(
            "advice on {step} is requested for {} minions",
            workers.len()
        ));
        thread::sleep(done_at.saturating_duration_since(Instant::now()));
        queues
            .lock()
            .unwrap()
            .entry(from)
            .and_modify(|(_, waiting)| *waiting -= 1);
        record.line(format!("advice on {step} is answered"));
        let good = workers
            .iter()
            .map(|id| Json::from(vec![id.clone(), Json::from("ticket-1")]));
        let good: Vec<Json> = good.collect();
        json(200, &object! {"good" => good, "validMs" => times.valid_ms})
    })
}
