//! Random faults, with the guarantees checked after every step.

use hyssop_core::{CellId, Class, DomainState, JobCall};
use proptest::prelude::*;

use crate::checks::{check, finished};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id};
use crate::worker::Health;

/// Something that happens to a fleet.
#[derive(Clone, Debug)]
enum Fault {
    Submit { cell: usize, job: u8, work: u64 },
    Urgent { cell: usize, job: u8 },
    Cancel { cell: usize, job: u8 },
    Kill(usize),
    Freeze(usize),
    Resume(usize),
    CutLog(usize, bool),
    CutPeers(usize, bool),
    Log(bool),
    Double(bool),
    Drop(u32),
    Delay(u32),
    Silence(usize, bool),
    Restart(usize),
    Fail(usize, bool),
    Domain(usize, bool),
    Expire(usize),
}

const ENTRIES: usize = 3;
const DOMAINS: [&str; 2] = ["a", "b"];

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => (0..2usize, any::<u8>(), 200..20_000u64)
            .prop_map(|(cell, job, work)| Fault::Submit { cell, job, work }),
        2 => (0..2usize, any::<u8>()).prop_map(|(cell, job)| Fault::Urgent { cell, job }),
        2 => (0..2usize, any::<u8>()).prop_map(|(cell, job)| Fault::Cancel { cell, job }),
        1 => (0..ENTRIES).prop_map(Fault::Kill),
        2 => (0..ENTRIES).prop_map(Fault::Freeze),
        3 => (0..ENTRIES).prop_map(Fault::Resume),
        2 => (0..ENTRIES, any::<bool>()).prop_map(|(n, cut)| Fault::CutLog(n, cut)),
        2 => (0..ENTRIES, any::<bool>()).prop_map(|(n, cut)| Fault::CutPeers(n, cut)),
        2 => any::<bool>().prop_map(Fault::Log),
        1 => any::<bool>().prop_map(Fault::Double),
        3 => (1..6u32).prop_map(Fault::Drop),
        3 => (1..6u32).prop_map(Fault::Delay),
        3 => (0..6usize, any::<bool>()).prop_map(|(n, on)| Fault::Silence(n, on)),
        2 => (0..6usize).prop_map(Fault::Restart),
        1 => (0..6usize, any::<bool>()).prop_map(|(n, on)| Fault::Fail(n, on)),
        2 => (0..2usize, any::<bool>()).prop_map(|(n, out)| Fault::Domain(n, out)),
        2 => (0..2usize).prop_map(Fault::Expire),
    ]
}

fn strike(fleet: &mut Fleet, fault: &Fault) {
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
        Fault::Kill(n) => fleet.replace_entry(n),
        Fault::Freeze(n) => fleet.entries[n].running = false,
        Fault::Resume(n) => fleet.entries[n].running = true,
        Fault::CutLog(n, cut) => fleet.entries[n].log = !cut,
        Fault::CutPeers(n, cut) => fleet.entries[n].peers = !cut,
        Fault::Log(up) => fleet.log = up,
        Fault::Double(on) => fleet.doubled = on,
        Fault::Drop(count) => fleet.drops = count,
        Fault::Delay(count) => fleet.late = count,
        Fault::Silence(n, on) => {
            let name = worker(fleet, n);
            fleet.workers.get_mut(&name).expect("worker").silent = on;
        }
        Fault::Restart(n) => {
            let name = worker(fleet, n);
            fleet.workers.get_mut(&name).expect("worker").restart();
        }
        Fault::Fail(n, on) => {
            let name = worker(fleet, n);
            let health = if on { Health::Failing } else { Health::Good };
            fleet.workers.get_mut(&name).expect("worker").health = health;
        }
        Fault::Expire(n) => {
            let cell = cell(fleet, n);
            fleet.streams.get_mut(&cell).expect("stream").expire();
        }
        Fault::Domain(n, out) => {
            let state = if out {
                DomainState::Out
            } else {
                DomainState::In
            };
            fleet.set_domain(DOMAINS[n], state);
        }
    }
}

/// Ends all faults.
fn heal(fleet: &mut Fleet) {
    fleet.log = true;
    fleet.drops = 0;
    fleet.late = 0;
    for entry in &mut fleet.entries {
        entry.running = true;
        entry.log = true;
        entry.peers = true;
    }
    for worker in fleet.workers.values_mut() {
        worker.silent = false;
        worker.health = Health::Good;
    }
    for name in DOMAINS {
        fleet.set_domain(name, DomainState::In);
    }
}

/// Returns the settings of the test: 48 cases unless `PROPTEST_CASES` asks for another number.
fn config() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = 48;
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// Guards against any sequence of faults that breaks a promise, runs a job in two places,
    /// finishes it twice, starts it in a domain that is out, or leaves it behind for good.
    #[test]
    fn guarantees_hold_under_random_faults(
        faults in prop::collection::vec((fault(), 50..4_000u64), 1..60)
    ) {
        let mut fleet = Fleet::new(ENTRIES as u64, &DOMAINS, 3);
        fleet.set_doc(doc("planner", Class::LatencyCritical, 2));
        fleet.run(5_000);
        for (fault, time) in &faults {
            strike(&mut fleet, fault);
            let end = fleet.now + hyssop_core::Millis(*time);
            while fleet.now < end {
                fleet.step();
                check(&fleet);
            }
        }
        heal(&mut fleet);
        let settled = fleet.run_until(240_000, |f| {
            check(f);
            f.is_idle()
        });
        let open = fleet.unfinished();
        prop_assert!(settled, "left behind: {open:?}; finished {}", finished(&fleet).len());
    }
}
