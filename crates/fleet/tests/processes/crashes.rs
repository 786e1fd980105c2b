//! Tasks of workers that crash, are lost with their agents, or whose agents are cut off. Prints the time
//! until each task starts again.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform_standins::{JobShape, RestartOptions, Start, job};
use hyssop_soak::{Fleet, FleetOptions, ProxyMode, Signal};
use tokio::time::{Instant, sleep, timeout};

use super::PROGRAM;

/// Plays of one fleet, of which each needs a worker that has not failed before.
const PLAYS_PER_FLEET: usize = 5;
/// Running time of a task that outlasts a lease of 6 s. It is no multiple of the 0.5 s for which probes
/// wait, since a probe would otherwise confirm the next start at once.
const SETTLING_TASK_MS: u64 = 6_700;
/// More than half of a worker, so that a task on a worker that has failed keeps others off it.
const TASK_CPU: u64 = 9_000;
/// Interval at which a start is looked for.
const START_INTERVAL: Duration = Duration::from_millis(1);
/// Time within which a task has to start again.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Delays of crashes after the answered start of a task.
const CRASH_DELAYS_MS: [u64; 5] = [20, 50, 150, 300, 600];
/// Time for which a task may stand still while other workers have room for it. Callers state it.
const MAX_STANDSTILL: Duration = Duration::from_secs(3);
/// Running time of tasks whose worker crashes after that.
const CRASH_TASK_MS: u64 = 1_200;
/// Delays of losses of whole hosts, and the running time of their tasks.
const LOSS_DELAYS_MS: [u64; 2] = [600, 2_000];
const LOSS_TASK_MS: u64 = 2_500;
/// Delay of a cut of an agent, and the running time of the task, which outlasts the longest lease.
const CUT_DELAYS_MS: [u64; 1] = [600];
const CUT_TASK_MS: u64 = 11_000;
/// Time for which a worker that restarts is away.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// What happens to the worker of a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The worker crashes for good.
    Crash,
    /// The worker crashes and starts again under its identifier.
    Restart,
    /// The worker crashes, and another one starts at its address.
    Replacement,
    /// The worker and its agent are lost for good.
    HostLoss,
    /// The agent is cut off from the entries until the task has started again; the worker is well.
    Cut,
}

impl Failure {
    /// Returns whether the worker has certainly ended, so that nothing holds its tasks up.
    const fn is_crash(self) -> bool {
        matches!(self, Self::Crash | Self::Restart | Self::Replacement)
    }

    /// Returns the delays of the plays: those of crashes, or the first one of others; or all in as many rounds
    /// as `CRASH_ROUNDS` names.
    fn delays_to_play(self, delays_ms: &[u64]) -> Vec<u64> {
        match std::env::var("CRASH_ROUNDS") {
            Ok(text) => delays_ms.repeat(text.parse().unwrap_or(1)),
            Err(_) if self.is_crash() => delays_ms.to_vec(),
            Err(_) => vec![delays_ms[0]],
        }
    }
}

/// Starts a fleet with a worker more than fail, and waits until a lease of before the start would have
/// ended: until then, the owner gives no worker up. `CRASH_LOGS` names an existing directory for the logs of
/// the processes.
async fn start_settled(name: &str, play_count: usize) -> Fleet {
    let log_dir = std::env::var_os("CRASH_LOGS").map(|logs| PathBuf::from(logs).join(name));
    if let Some(log_dir) = &log_dir {
        std::fs::create_dir_all(log_dir).expect("create the directory for logs");
    }
    let fleet = Fleet::start(&FleetOptions {
        worker_count: play_count as u8 + 1,
        names_lease: true,
        log_dir,
        ..FleetOptions::new(PROGRAM)
    })
    .await;
    fleet.submit(1, &job(&[1], SETTLING_TASK_MS)).await;
    assert_eq!(fleet.wait_finished(1).await, "complete");
    fleet
}

/// Waits until the only task of a job has a run with a number above `number`.
async fn wait_start_after(fleet: &Fleet, job: u64, number: u64) -> Start {
    let wait = async {
        loop {
            let start = fleet.ledger.last_start(job, 0, 0);
            if let Some(start) = start.filter(|start| start.number > number) {
                return start;
            }
            sleep(START_INTERVAL).await;
        }
    };
    let started = timeout(START_TIMEOUT, wait).await;
    started.unwrap_or_else(|_| panic!("job {job} has not started after run {number}"))
}

/// A fleet, its workers that have failed, and the last job.
struct Plays {
    fleet: Fleet,
    worker_count: usize,
    failed: BTreeSet<usize>,
    last_job: u64,
}

impl Plays {
    /// Submits jobs of one task until one starts on a worker that has not failed. Returns that worker and
    /// the start.
    async fn start_task(&mut self, work_ms: u64) -> (usize, Start) {
        let shape = JobShape {
            cpu: TASK_CPU,
            ..JobShape::batch(&[1], work_ms)
        };
        loop {
            self.last_job += 1;
            self.fleet.submit(self.last_job, &shape.body()).await;
            let start = wait_start_after(&self.fleet, self.last_job, 0).await;
            let id = |worker: &usize| &self.fleet.worker(*worker).options().id;
            let mut workers = 0..self.worker_count;
            let worker = workers.find(|worker| *id(worker) == start.worker);
            let worker = worker.expect("a worker of the fleet");
            if self.failed.insert(worker) {
                return (worker, start);
            }
        }
    }

    /// Lets the worker of a new task fail after a delay, and prints the time until the task starts again.
    /// After a crash, that has to be within [`MAX_STANDSTILL`].
    async fn play(&mut self, failure: Failure, delay_ms: u64, work_ms: u64) {
        let (worker, start) = self.start_task(work_ms).await;
        let job = self.last_job;
        tokio::time::sleep_until(start.at + Duration::from_millis(delay_ms)).await;
        let failed_at = Instant::now();
        let fleet = &mut self.fleet;
        match failure {
            Failure::Crash => fleet.crash_worker(worker).await,
            Failure::Restart => {
                fleet.crash_worker(worker).await;
                sleep(RESTART_DELAY).await;
                fleet.restart_worker(worker, &RestartOptions::default());
            }
            Failure::Replacement => {
                fleet.crash_worker(worker).await;
                sleep(RESTART_DELAY).await;
                fleet.replace_worker(worker, format!("{}-next", start.worker));
            }
            Failure::HostLoss => {
                fleet.signal_agent(worker, Signal::SIGKILL);
                fleet.crash_worker(worker).await;
            }
            Failure::Cut => fleet.set_owner_proxies(worker, ProxyMode::Silent),
        }
        let next = wait_start_after(fleet, job, start.number).await;
        println!(
            "{failure:?} of {} {} ms after the start: started on {} after {} ms",
            start.worker,
            (failed_at - start.at).as_millis(),
            next.worker,
            (next.at - failed_at).as_millis()
        );
        assert!(
            !failure.is_crash() || next.at - failed_at <= MAX_STANDSTILL,
            "{failure:?} {delay_ms} ms after the start: started again after {:?}",
            next.at - failed_at
        );
        fleet.set_owner_proxies(worker, ProxyMode::Open);
        assert_eq!(fleet.wait_finished(job).await, "complete");
    }
}

/// Plays a failure with each delay in each round. Each task has to start again and to end, and none may run
/// twice.
async fn play_all(failure: Failure, delays_ms: &[u64], work_ms: u64) {
    let delays = failure.delays_to_play(delays_ms);
    for (number, delays) in delays.chunks(PLAYS_PER_FLEET).enumerate() {
        let mut plays = Plays {
            fleet: start_settled(&format!("{failure:?}-{number}"), delays.len()).await,
            worker_count: delays.len() + 1,
            failed: BTreeSet::new(),
            last_job: 1,
        };
        for &delay in delays {
            plays.play(failure, delay, work_ms).await;
        }
        for job in 1..=plays.last_job {
            assert_eq!(plays.fleet.wait_finished(job).await, "complete");
        }
        assert_eq!(plays.fleet.ledger.violations(), Vec::<String>::new());
    }
}

/// Guards against a task that stands still, or runs twice, because its worker has crashed soon after it
/// answered the start.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_crashed_workers_start_again() {
    play_all(Failure::Crash, &CRASH_DELAYS_MS, CRASH_TASK_MS).await;
}

/// Guards against the same while the worker starts again under its identifier.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_crashed_workers_start_again_beside_their_restarts() {
    play_all(Failure::Restart, &CRASH_DELAYS_MS, CRASH_TASK_MS).await;
}

/// Guards against the same while another worker starts at its address.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_crashed_workers_start_again_beside_their_successors() {
    play_all(Failure::Replacement, &CRASH_DELAYS_MS, CRASH_TASK_MS).await;
}

/// Guards against a task that never starts again, or runs twice, when nobody is left to report the loss.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_lost_hosts_start_again() {
    play_all(Failure::HostLoss, &LOSS_DELAYS_MS, LOSS_TASK_MS).await;
}

/// Guards against a task that never starts again, or runs twice, because the agent of its worker is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_behind_cuts_start_again() {
    play_all(Failure::Cut, &CUT_DELAYS_MS, CUT_TASK_MS).await;
}
