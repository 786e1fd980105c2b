//! Scenarios of the review cases. Run from the root of the repository:
//! `review-standins SCENARIO RECORD [TROUBLE]`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With 0 as TROUBLE the disruption is left out.

mod fleet;
mod http;
mod json;
mod machines;
mod record;
mod store;
mod wire;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, job};
use json::{Json, num, object, text};
use record::Recorder;

/// First segment of the paths that workers call.
pub const PRODUCT: &str = "hyssoptrack";

/// Time for which a cancel is repeated; `ackMs` is 4 s.
const CANCEL_LIMIT: Duration = Duration::from_secs(10);
/// Number of large jobs.
const LARGE_JOBS: u64 = 30;
/// Time after which a scenario is given up.
const TIME_LIMIT: Duration = Duration::from_secs(113);
/// Number of service tasks of the job that fails.
const SERVICE_TASKS: u64 = 400;

/// Outcome of a scenario: whether the rule held, or why it could not run.
type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(scenario), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standins SCENARIO RECORD [TROUBLE]");
        return ExitCode::from(2);
    };
    let has_trouble = args.next().is_none_or(|trouble| trouble != "0");
    let recorder = Recorder::new(Path::new(&record));
    recorder.note(&format!(
        "{scenario}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        fleet::kill_all();
        std::process::exit(2);
    });
    let run = || match scenario.as_str() {
        "large-record" => large_record(has_trouble, &recorder),
        "stale-holder" => stale_holder(has_trouble, &recorder),
        "failing-service" => failing_service(has_trouble, &recorder),
        "one-crash" => one_crash(has_trouble, &recorder),
        "large-reply" => large_reply(has_trouble, &recorder),
        "memory" => memory(has_trouble, &recorder),
        "late-start" => late_start(has_trouble, &recorder),
        _ => Err("no such scenario".to_owned()),
    };
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_| Err("a stand-in panicked".to_owned()));
    recorder.note_counts();
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was BROKEN".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    recorder.note(&text);
    ExitCode::from(code)
}

/// Waits until the fleet has an owner and accepts and runs a job.
fn warm_up(fleet: &Fleet) -> Result<(), String> {
    let is_accepted = fleet.submit(
        "00000000000000aa",
        &job(&[1], 100, 100),
        Duration::from_secs(20),
    );
    let is_run = || {
        fleet
            .send_for_text(0, "GET", "00000000000000aa", "")
            .is_some_and(|(_, text)| text.contains("complete"))
    };
    let has_run = is_accepted
        && fleet.wait("the first job is complete", Duration::from_secs(10), || {
            thread::sleep(Duration::from_millis(200));
            is_run()
        });
    has_run
        .then_some(())
        .ok_or_else(|| "the fleet did not run its first job".to_owned())
}

/// One submission whose stored form exceeds the largest record of the store.
fn large_record(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let ids: Vec<String> = (1..=4).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        if !fleet.submit(id, &job(&[2], 500, 100_000), Duration::from_secs(10)) {
            return Err("a small job was not accepted".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        let step = |n: u64| {
            let image = format!("images.example/pipeline/stage-{n:04}:v1");
            let after = n.checked_sub(1).map(num).into_iter().collect();
            object(&[
                ("count", num(1)),
                ("cpu", num(100)),
                ("memMb", num(64)),
                (wire::name("estimate"), num(500)),
                ("image", text(&image)),
                ("after", Json::List(after)),
            ])
        };
        let steps = Json::List((0..1_000).map(step).collect());
        let body = object(&[("spec", text("ms=500")), ("steps", steps)]).to_string();
        recorder.note(&format!("client: submits a job with 1000 steps, {} bytes; maxBodyBytes of the manifest is 262144", body.len()));
        fleet.send(0, "POST", "00000000000000ff", &body);
    }
    judge_cancels(&fleet, &ids, recorder)
}

/// Cancels accepted jobs while the store and all links are undisturbed, and returns whether at most a
/// tenth of the cancels stay without an acknowledgement.
fn judge_cancels(fleet: &Fleet, ids: &[String], recorder: &Recorder) -> Outcome {
    thread::sleep(Duration::from_secs(4));
    let is_acknowledged = thread::scope(|scope| {
        let cancels = ids.iter().enumerate().map(|(n, id)| {
            scope.spawn(move || {
                let until = Instant::now() + CANCEL_LIMIT;
                let mut tries = 0..;
                while Instant::now() < until {
                    let entry = (n + tries.next().unwrap_or(0)) % fleet.entries.len();
                    let status = fleet.send(entry, "DELETE", id, "");
                    if status.is_some_and(|status| (200..300).contains(&status) || status == 410) {
                        return true;
                    }
                }
                false
            })
        });
        let cancels: Vec<_> = cancels.collect();
        cancels
            .into_iter()
            .map(|cancel| cancel.join().unwrap_or(false))
            .collect::<Vec<_>>()
    });
    let late = is_acknowledged.iter().filter(|is| !**is).count();
    recorder.note(&format!(
        "{late} of {} cancels of accepted jobs have no 2xx or 410 after {} s",
        ids.len(),
        CANCEL_LIMIT.as_secs()
    ));
    let new = (1..=3).filter(|n| {
        fleet.send(
            n % 3,
            "POST",
            &format!("00000000000001{n:02x}"),
            &job(&[1], 100, 100),
        ) == Some(200)
    });
    recorder.note(&format!("{} of 3 new small jobs are accepted", new.count()));
    for entry in 0..3 {
        fleet.send_for_text(entry, "GET", &ids[entry], "");
    }
    Ok(late * 10 <= ids.len())
}

/// A job of service tasks, each of which fails soon after its start.
fn failing_service(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let ids: Vec<String> = (1..=4).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        if !fleet.submit(id, &job(&[2], 500, 100_000), Duration::from_secs(10)) {
            return Err("a small job was not accepted".to_owned());
        }
    }
    let step = object(&[
        ("count", num(SERVICE_TASKS)),
        ("cpu", num(20)),
        ("memMb", num(16)),
        (wire::name("estimate"), num(500)),
        ("persistent", Json::Bool(true)),
    ]);
    let spec = if has_trouble { "fails=20" } else { "ms=100000" };
    let body = object(&[("spec", text(spec)), ("steps", Json::List(vec![step]))]).to_string();
    if !fleet.submit("00000000000000ff", &body, Duration::from_secs(10)) {
        return Err("the job of service tasks was not accepted".to_owned());
    }
    for _ in 0..15 {
        thread::sleep(Duration::from_secs(5));
        recorder.note(&format!(
            "{} runs have failed",
            recorder.counted("runs ended failed")
        ));
        if recorder.counted(store::OVER_LIMIT) > 0 {
            break;
        }
    }
    judge_cancels(&fleet, &ids, recorder)
}

/// A job whose worker crashes once, and whose next start another worker leaves unanswered until it
/// crashes, too.
fn one_crash(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let id = "0000000000000001";
    if !fleet.submit(id, &job(&[1], 500, 5_000), Duration::from_secs(10)) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        let is_on =
            |worker: &&worker::Worker| worker.running().iter().any(|task| task.starts_with(id));
        let mut first = None;
        fleet.wait("the job runs", Duration::from_secs(5), || {
            first = fleet.workers.iter().find(is_on).cloned();
            first.is_some()
        });
        let first = first.ok_or("the job did not run")?;
        for worker in &fleet.workers {
            worker.set_late(id, 2);
        }
        thread::sleep(Duration::from_millis(150));
        crash(&first, recorder);
        let mut second = None;
        fleet.wait("the next start of the job", Duration::from_secs(10), || {
            second = fleet
                .workers
                .iter()
                .find(|worker| worker.unanswered().is_some())
                .cloned();
            second.is_some()
        });
        let second = second.ok_or("the job was not started again")?;
        thread::sleep(Duration::from_millis(200));
        crash(&second, recorder);
    }
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        thread::sleep(Duration::from_millis(500));
        let state = fleet
            .send_for_text(0, "GET", id, "")
            .map_or(String::new(), |(_, text)| text);
        if state.contains("failed") {
            recorder.note(&format!(
                "LOST: {id} is shown as failed, and {} of its runs have ended failed",
                recorder.counted("runs ended failed")
            ));
            return Ok(false);
        }
        if state.contains("complete") {
            return Ok(true);
        }
        if Instant::now() > until {
            return Err("the job has not ended".to_owned());
        }
    }
}

/// A job with many small tasks for the only worker of a kind: their starts exceed the largest message
/// between an owner and an agent.
fn large_reply(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let body = |count: u64, spec: &str| {
        let step = object(&[
            ("count", num(count)),
            ("cpu", num(2)),
            ("memMb", num(8)),
            (wire::name("estimate"), num(1_000)),
            ("requires", text("b")),
        ]);
        object(&[("spec", text(spec)), ("steps", Json::List(vec![step]))]).to_string()
    };
    if !fleet.submit(
        "0000000000000001",
        &body(2, "ms=300"),
        Duration::from_secs(10),
    ) {
        return Err("a small job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        let spec = format!("{} ms=1000", "x".repeat(3_990));
        let large = body(3_000, &spec);
        if !fleet.submit("00000000000000ff", &large, Duration::from_secs(10)) {
            return Err("the large job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_secs(1));
    }
    if !fleet.submit(
        "0000000000000002",
        &body(2, "ms=300"),
        Duration::from_secs(10),
    ) {
        return Err("a small job was not accepted".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(40);
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(2));
        let state = fleet.send_for_text(1, "GET", "0000000000000002", "");
        recorder.note(&format!(
            "worker m1 runs {} tasks",
            fleet.workers[0].running().len()
        ));
        if state.is_some_and(|(_, text)| text.contains("complete")) {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Jobs of many tasks, whose tasks do not fit into the memory of an entry. The platform kills a process
/// that exceeds its `memoryMb`, and starts it again after a second.
fn memory(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let mut fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let guard = fleet.guard_memory();
    let step = object(&[
        ("count", num(10_000)),
        ("cpu", num(1_000)),
        ("memMb", num(1_000)),
        (wire::name("estimate"), num(1_000)),
    ]);
    let steps = Json::List(vec![step; 10]);
    let large = object(&[("spec", text("ms=1000")), ("steps", steps)]).to_string();
    let ids: Vec<String> = (1..=4).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        if !fleet.submit(id, &job(&[1], 500, 60_000), Duration::from_secs(10)) {
            return Err("a small job was not accepted".to_owned());
        }
    }
    if has_trouble {
        for n in 0..LARGE_JOBS {
            if guard.has_killed() {
                break;
            }
            let id = format!("00000000000001{n:02x}");
            fleet.submit(&id, &large, Duration::from_secs(5));
        }
    }
    recorder.note("the clients submit nothing large any more");
    let until = Instant::now() + Duration::from_secs(45);
    while Instant::now() < until && guard.often_killed() < 2 {
        thread::sleep(Duration::from_millis(500));
    }
    let mut answered = 0;
    for (n, id) in ids.iter().enumerate() {
        answered += usize::from(fleet.send(n % 3, "GET", id, "") == Some(200));
    }
    recorder.note(&format!(
        "{answered} of {} questions for small accepted jobs are answered",
        ids.len()
    ));
    recorder.note(&format!(
        "machines with three or more ends of their process by itself: {}",
        guard.often_killed()
    ));
    guard.stop();
    Ok(guard.often_killed() < 2)
}

/// A start that gets no answer because its worker crashes. The worker is back under its identifier
/// when the start is carried out.
fn late_start(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 3, recorder);
    warm_up(&fleet)?;
    let id = "0000000000000001";
    if has_trouble {
        for worker in &fleet.workers {
            worker.set_late(id, 1);
        }
    }
    if !fleet.submit(id, &job(&[1], 500, 5_000), Duration::from_secs(10)) {
        return Err("the job was not accepted".to_owned());
    }
    if has_trouble {
        let mut found = None;
        fleet.wait("the start of the job", Duration::from_secs(5), || {
            let mut workers = fleet.workers.iter();
            found = workers
                .find(|worker| worker.unanswered().is_some())
                .cloned();
            found.is_some()
        });
        let worker = found.ok_or("the job was not started")?;
        for other in &fleet.workers {
            other.answer_all();
        }
        thread::sleep(Duration::from_millis(100));
        recorder.note(&format!(
            "worker {} crashes",
            worker.id().unwrap_or_default()
        ));
        worker.kill();
        thread::sleep(Duration::from_millis(2_050));
        worker.revive_same(Duration::from_millis(300));
        recorder.note(&format!(
            "worker {} is up again under its identifier",
            worker.id().unwrap_or_default()
        ));
    }
    let until = Instant::now() + Duration::from_secs(20);
    let mut holds = true;
    let mut asked_at = Instant::now();
    while Instant::now() < until {
        let workers = fleet.workers.iter();
        let running =
            workers.filter(|worker| worker.running().iter().any(|task| task.starts_with(id)));
        let running: Vec<String> = running.filter_map(worker::Worker::id).collect();
        if running.len() > 1 && holds {
            holds = false;
            recorder.note(&format!(
                "TWICE: the task of {id} runs on {} at the same time",
                running.join(" and ")
            ));
        }
        if asked_at.elapsed() > Duration::from_millis(500) {
            asked_at = Instant::now();
            let state = fleet.send_for_text(0, "GET", id, "");
            if state.is_some_and(|(_, text)| text.contains("complete")) {
                return Ok(holds);
            }
        }
        thread::sleep(Duration::from_millis(4));
    }
    match holds {
        true => Err("the job has not ended".to_owned()),
        false => Ok(false),
    }
}

/// Ends a worker with all that runs on it; another one is back at its address 0.6 s later.
fn crash(worker: &worker::Worker, recorder: &Recorder) {
    recorder.note(&format!(
        "worker {} crashes",
        worker.id().unwrap_or_default()
    ));
    worker.kill();
    thread::sleep(Duration::from_millis(600));
    worker.revive();
}

/// An owner that is frozen while it empties a machine for its upkeep, and wakes after the next owner
/// has ordered the upkeep.
fn stale_holder(has_trouble: bool, recorder: &Recorder) -> Outcome {
    let fleet = Fleet::start(3, 4, recorder);
    warm_up(&fleet)?;
    if !fleet.submit(
        "0000000000000001",
        &job(&[12], 4_000, 2_600),
        Duration::from_secs(10),
    ) {
        return Err("a job was not accepted".to_owned());
    }
    let is_busy = || {
        fleet
            .workers
            .iter()
            .all(|worker| !worker.running().is_empty())
    };
    if !fleet.wait("all workers have tasks", Duration::from_secs(2), is_busy) {
        return Err("not all workers have tasks".to_owned());
    }
    let machines: Vec<Json> = fleet
        .workers
        .iter()
        .map(|worker| text(&worker.name))
        .collect();
    let wave = object(&[
        ("wave", num(1)),
        ("machines", Json::List(machines)),
        ("durationS", num(40)),
        ("maxCount", num(1)),
    ]);
    fleet
        .store
        .write(wire::name("operator"), "wave/1", &wave.to_string());
    recorder.note("operator: asks for wave 1 of all machines, one at a time");
    let has_begun = || fleet.store.newest("keyed.status", "wave/1").is_some();
    if !fleet.wait("the wave is running", Duration::from_secs(5), has_begun) {
        return Err("the wave did not begin".to_owned());
    }
    let owner = fleet.owner().ok_or("no owner")?;
    if has_trouble {
        thread::sleep(Duration::from_millis(60));
        fleet.entries[owner].signal("STOP");
        recorder.note(&format!(
            "{} is frozen for 3.4 s",
            fleet.entries[owner].node
        ));
        thread::sleep(Duration::from_millis(3_400));
        fleet.entries[owner].signal("CONT");
        recorder.note(&format!("{} goes on", fleet.entries[owner].node));
    }
    let is_complete = || {
        fleet
            .store
            .newest("keyed.status", "wave/1")
            .is_some_and(|status| status.contains("complete"))
    };
    fleet.wait("the wave is complete", Duration::from_secs(50), is_complete);
    let mut holds = true;
    let orders = fleet.machines.orders();
    for (n, order) in orders.iter().enumerate() {
        let earlier = orders[..n]
            .iter()
            .filter(|earlier| earlier.machine == order.machine);
        for earlier in earlier {
            let is_shared = earlier.token == order.token && earlier.holder != order.holder;
            if earlier.token > order.token || is_shared {
                recorder.note(&format!(
                    "ONE: {} ordered {} with token {} after {} with token {}",
                    order.holder, order.machine, order.token, earlier.holder, earlier.token
                ));
                holds = false;
            }
        }
    }
    if orders.is_empty() {
        return Err("no upkeep was ordered".to_owned());
    }
    Ok(holds)
}
