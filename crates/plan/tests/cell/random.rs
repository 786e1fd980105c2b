//! Random sequences of faults, with the invariants checked after every step.

use hyssop_core::{CellId, Class, DomainState, JobCall};
use proptest::prelude::*;

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id};
use crate::worker::Health;

/// A call or a fault.
#[derive(Clone, Debug)]
enum Fault {
    Submit { cell: usize, job: u8, work: u64 },
    Urgent { cell: usize, job: u8 },
    Cancel { cell: usize, job: u8 },
    ReplaceEntry(usize),
    Suspend(usize),
    Resume(usize),
    CutLog(usize, bool),
    CutPeers(usize, bool),
    SetLog(bool),
    DoubleAppends(bool),
    DropMessages(u32),
    DelayPolls(u32),
    Disconnect(usize, bool),
    RestartWorker(usize),
    FailTasks(usize, bool),
    SetDomain(usize, bool),
    ExpireRecords(usize),
}

const ENTRY_COUNT: usize = 3;
const DOMAINS: [&str; 2] = ["a", "b"];

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => (0..2usize, any::<u8>(), 200..20_000u64)
            .prop_map(|(cell, job, work)| Fault::Submit { cell, job, work }),
        2 => (0..2usize, any::<u8>()).prop_map(|(cell, job)| Fault::Urgent { cell, job }),
        2 => (0..2usize, any::<u8>()).prop_map(|(cell, job)| Fault::Cancel { cell, job }),
        1 => (0..ENTRY_COUNT).prop_map(Fault::ReplaceEntry),
        2 => (0..ENTRY_COUNT).prop_map(Fault::Suspend),
        3 => (0..ENTRY_COUNT).prop_map(Fault::Resume),
        2 => (0..ENTRY_COUNT, any::<bool>()).prop_map(|(n, cut)| Fault::CutLog(n, cut)),
        2 => (0..ENTRY_COUNT, any::<bool>()).prop_map(|(n, cut)| Fault::CutPeers(n, cut)),
        2 => any::<bool>().prop_map(Fault::SetLog),
        1 => any::<bool>().prop_map(Fault::DoubleAppends),
        3 => (1..6u32).prop_map(Fault::DropMessages),
        3 => (1..6u32).prop_map(Fault::DelayPolls),
        3 => (0..6usize, any::<bool>()).prop_map(|(n, on)| Fault::Disconnect(n, on)),
        2 => (0..6usize).prop_map(Fault::RestartWorker),
        1 => (0..6usize, any::<bool>()).prop_map(|(n, on)| Fault::FailTasks(n, on)),
        2 => (0..2usize, any::<bool>()).prop_map(|(n, out)| Fault::SetDomain(n, out)),
        2 => (0..2usize).prop_map(Fault::ExpireRecords),
    ]
}

/// Makes a call or causes a fault.
fn apply_fault(fleet: &mut Fleet, fault: &Fault) {
    let cell = |fleet: &Fleet, n: usize| -> CellId { fleet.cells[n].clone() };
    let worker = |fleet: &Fleet, n: usize| fleet.workers.keys().nth(n).cloned().expect("worker");
    match *fault {
        Fault::Submit { cell: n, job, work } => {
            let cell = cell(fleet, n);
            fleet.call(&cell, JobCall::Submit(batch(&format!("{n}-{job}"), work)));
        }
        Fault::Urgent { cell: n, job } => {
            let cell = cell(fleet, n);
            let mut spec = batch(&format!("{n}-u{job}"), 2_000);
            spec.class = Class::Urgent;
            fleet.call(&cell, JobCall::Submit(spec));
        }
        Fault::Cancel { cell: n, job } => {
            let cell = cell(fleet, n);
            fleet.call(&cell, JobCall::Cancel(job_id(&format!("{n}-{job}"))));
        }
        Fault::ReplaceEntry(n) => fleet.replace_entry(n),
        Fault::Suspend(n) => fleet.entries[n].is_running = false,
        Fault::Resume(n) => fleet.entries[n].is_running = true,
        Fault::CutLog(n, cut) => fleet.entries[n].reaches_log = !cut,
        Fault::CutPeers(n, cut) => fleet.entries[n].reaches_peers = !cut,
        Fault::SetLog(up) => fleet.is_log_up = up,
        Fault::DoubleAppends(on) => fleet.doubles_appends = on,
        Fault::DropMessages(count) => fleet.messages_to_drop = count,
        Fault::DelayPolls(count) => fleet.polls_to_delay = count,
        Fault::Disconnect(n, on) => {
            let name = worker(fleet, n);
            fleet.workers.get_mut(&name).expect("worker").is_unreachable = on;
        }
        Fault::RestartWorker(n) => {
            let name = worker(fleet, n);
            fleet.workers.get_mut(&name).expect("worker").restart();
        }
        Fault::FailTasks(n, on) => {
            let name = worker(fleet, n);
            let health = if on { Health::Failing } else { Health::Good };
            fleet.workers.get_mut(&name).expect("worker").health = health;
        }
        Fault::ExpireRecords(n) => {
            let cell = cell(fleet, n);
            fleet.streams.get_mut(&cell).expect("stream").expire();
        }
        Fault::SetDomain(n, out) => {
            let state = if out {
                DomainState::Out
            } else {
                DomainState::In
            };
            fleet.set_domain(DOMAINS[n], state);
        }
    }
}

/// Ends all faults, so that all jobs can finish.
fn end_faults(fleet: &mut Fleet) {
    fleet.is_log_up = true;
    fleet.messages_to_drop = 0;
    fleet.polls_to_delay = 0;
    for entry in &mut fleet.entries {
        entry.is_running = true;
        entry.reaches_log = true;
        entry.reaches_peers = true;
    }
    for worker in fleet.workers.values_mut() {
        worker.is_unreachable = false;
        worker.health = Health::Good;
    }
    for name in DOMAINS {
        fleet.set_domain(name, DomainState::In);
    }
}

/// Returns the settings of the test: 48 cases unless `PROPTEST_CASES` sets another number.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 48;
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// Guards against sequences of faults after which capacity is allocated twice, a job runs on
    /// two workers, finishes twice, starts in a domain out of service, or never ends.
    #[test]
    fn guarantees_hold_under_random_faults(
        faults in prop::collection::vec((fault(), 50..4_000u64), 1..60)
    ) {
        let mut fleet = Fleet::new(ENTRY_COUNT as u64, &DOMAINS, 3);
        fleet.set_doc(doc("planner", Class::LatencyCritical, 2));
        fleet.run(5_000);
        for (fault, time) in &faults {
            apply_fault(&mut fleet, fault);
            let end = fleet.now + hyssop_core::Millis(*time);
            while fleet.now < end {
                fleet.step();
                check(&fleet);
            }
        }
        end_faults(&mut fleet);
        let is_idle = fleet.run_until(240_000, |f| {
            check(f);
            f.is_idle()
        });
        let open = fleet.unfinished();
        prop_assert!(is_idle, "unfinished: {open:?}; finished {}", finished_jobs(&fleet).len());
    }
}
