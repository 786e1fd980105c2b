//! Stored records that cannot be read, and values out of range.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, CallerResponse, EndKind, Input, JobId, JobSpec, JobState, MAX_AMOUNT,
    MAX_CONFIRMATION_AGE, Machine, MachineState, MaintenanceWave, Policy, QueueRule, Resources,
    RunStatus, Schedule, StepSpec, TAKEOVER_WAIT,
};

use crate::support::{
    Fleet, JOB, LONGEST_LEASE, complete_report, ends_report, job, rule, run_end, run_status, step,
    worker,
};

const OTHER_JOB: JobId = JobId(0xbb);

/// Returns values that are no record, or one that another writer has damaged.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = "[".repeat(10_000) + &"]".repeat(10_000);
    vec![
        Vec::new(),
        b"\xff\xfe".to_vec(),
        b"7".to_vec(),
        b"{}".to_vec(),
        nested.clone().into_bytes(),
        format!(r#"{{"cancelled":{nested}}}"#).into_bytes(),
    ]
}

/// Returns a store with a job of two tasks of which one is done, and one without progress.
fn store_with_progress() -> (BTreeMap<String, Vec<u8>>, u64) {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(2, &[])]));
    old.step(vec![]);
    let runs = old.take_started(1);
    old.report(1, ends_report(vec![run_end(1, runs[0], EndKind::Done)]));
    old.advance(500, &[1]);
    old.submit(OTHER_JOB, rule(2), job(vec![step(1, &[])]));
    assert!(old.store.contains_key("p/00000000000000aa"));
    (old.store, old.now)
}

/// Guards against a task that runs again after it was done, because the progress of its job cannot
/// be read: the job is held. Other jobs go on, and a caller may cancel the job.
#[test]
fn job_with_unreadable_progress_is_held() {
    let progress = |opened: &str, turns: &str| {
        format!(
            r#"{{"cancelled":false,"failed":false,"begun":true,"opened":{opened},"turns":[{turns}]}}"#
        )
        .into_bytes()
    };
    let turn = |number: &str, done: &str| {
        format!(r#"{{"number":{number},"done":{done},"fails":[],"saved":[]}}"#)
    };
    let mut odd = odd_values();
    odd.extend([
        progress("4294967296", &turn("0", "[[0]]")),
        progress("4294967295", &turn("0", "[[0]]")),
        progress("1", &turn("7", "[[0]]")),
        progress("1", &turn("0", "[[0],[0]]")),
        progress("1", &turn("0", "[]")),
        progress("1", &turn("0", "[[2]]")),
    ]);
    for value in odd {
        let (mut store, now) = store_with_progress();
        let name = String::from_utf8_lossy(&value[..value.len().min(100)]).into_owned();
        store.insert("p/00000000000000aa".to_owned(), value.clone());
        let (mut new, errors) = Fleet::with_odd_records(50, store, now);
        assert_eq!(errors.len(), 1, "{name}");
        assert!(errors[0].to_string().contains("p/00000000000000aa"));
        new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
        new.advance(TAKEOVER_WAIT.0 + 1_000, &[11]);
        let started = new.take_started(11);
        assert!(
            started.iter().all(|run| run.task.job == OTHER_JOB),
            "{name}"
        );
        assert_eq!(started.len(), 1, "{name}");
        assert_eq!(new.state(JOB), Some(JobState::Running), "{name}");
        assert_eq!(new.store["p/00000000000000aa"], value, "{name}");
        let cancelled = new.request(CallerRequest::Cancel(JOB));
        new.advance(300, &[11]);
        assert_eq!(
            cancelled.or(new.responses.get(&1).cloned()),
            Some(CallerResponse::Cancelled)
        );
        assert_eq!(new.state(JOB), Some(JobState::Cancelled), "{name}");
    }
}

/// Guards against a run of a held job that goes on without a result, and against progress that is
/// stored although the earlier progress is not known.
#[test]
fn runs_of_a_held_job_are_stopped() {
    let (mut store, now) = store_with_progress();
    store.insert("p/00000000000000aa".to_owned(), b"7".to_vec());
    let (mut new, _) = Fleet::with_odd_records(50, store, now);
    let run = hyssop_jobs::RunId {
        task: "00000000000000aa.0.0.1".parse().unwrap(),
        run: 1,
    };
    new.connect(
        11,
        worker("i-1", 1),
        complete_report(vec![run_status(run)], vec![]),
    );
    assert_eq!(new.take_stopped(11), [run]);
    new.report(11, ends_report(vec![run_end(2, run, EndKind::Done)]));
    new.advance(TAKEOVER_WAIT.0 + 1_000, &[11]);
    assert_eq!(new.store["p/00000000000000aa"], b"7");
    assert_eq!(new.state(JOB), Some(JobState::Running));
}

/// Guards against two runs of one task: a worker whose record cannot be read may run tasks of an
/// earlier owner, whatever its incarnation is.
#[test]
fn worker_with_an_unreadable_record_is_waited_for() {
    for value in odd_values() {
        let mut old = Fleet::new();
        old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
        old.submit(JOB, rule(2), job(vec![step(1, &[])]));
        let mut store = old.store.clone();
        store.insert("w/i-2".to_owned(), value);
        let (mut new, errors) = Fleet::with_odd_records(50, store.clone(), old.now);
        assert_eq!(errors.len(), 1);
        new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
        new.advance(1_000, &[11]);
        // A session without a report shows nothing yet.
        new.step(vec![Input::Attach {
            session: 12,
            worker: worker("i-2", 1),
        }]);
        new.advance(1_000, &[11, 12]);
        assert!(new.take_started(11).is_empty());
        let report = complete_report(vec![], vec![]);
        new.step(vec![Input::Report {
            session: 12,
            report,
        }]);
        new.advance(200, &[11, 12]);
        let started = [new.take_started(11), new.take_started(12)].concat();
        assert_eq!(started.len(), 1);

        let (mut new, _) = Fleet::with_odd_records(50, store, old.now);
        new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
        // The record may have told that calls for an earlier incarnation have leased the worker.
        new.advance(MAX_CONFIRMATION_AGE.0 + LONGEST_LEASE - 100, &[11]);
        assert!(new.take_started(11).is_empty());
        new.advance(1_000, &[11]);
        assert_eq!(new.take_started(11).len(), 1);
    }
}

/// Guards against an owner that ends, or runs out of memory, when it loads a job that no owner can
/// have accepted.
#[test]
fn job_that_breaks_the_limits_is_not_restored() {
    let (store, now) = store_with_progress();
    let text = String::from_utf8(store["j/00000000000000aa"].clone()).unwrap();
    let odd = [
        text.replace("\"after\":[]", "\"after\":[9]"),
        text.replace("\"count\":2", "\"count\":4294967295"),
        text.replace("\"count\":2", "\"count\":0"),
        text.replace("\"cpu\":", "\"cpu\":1844674407370955"),
        text.replace(
            "\"times\":null",
            "\"times\":{\"count\":4294967295,\"first\":0,\"interval\":0}",
        ),
    ];
    for record in odd {
        assert_ne!(record, text);
        let mut store = store.clone();
        store.insert("j/00000000000000aa".to_owned(), record.clone().into_bytes());
        let (mut new, errors) = Fleet::with_odd_records(50, store, now);
        assert_eq!(errors.len(), 1, "{record}");
        new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
        new.advance(TAKEOVER_WAIT.0 + 1_000, &[11]);
        assert_eq!(new.take_started(11).len(), 1, "{record}");
    }
}

/// Guards against an owner that ends because of the largest numbers in a record that is otherwise
/// valid.
#[test]
fn largest_numbers_of_a_record_are_harmless() {
    let (store, now) = store_with_progress();
    let text = String::from_utf8(store["j/00000000000000aa"].clone()).unwrap();
    let max = u64::MAX.to_string();
    let replaced = |name: &str| {
        let start = text.find(&format!("\"{name}\":")).unwrap() + name.len() + 3;
        let end = start + text[start..].find([',', '}']).unwrap();
        format!("{}{max}{}", &text[..start], &text[end..])
    };
    for name in ["order", "accepted", "target"] {
        let mut store = store.clone();
        store.insert("j/00000000000000aa".to_owned(), replaced(name).into_bytes());
        let mut new = Fleet::with_epoch(50, store, now);
        new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
        new.advance(TAKEOVER_WAIT.0 + 1_000, &[11]);
        assert_eq!(new.take_started(11).len(), 2, "{name}");
        new.submit(JobId(0xcc), rule(2), job(vec![step(1, &[])]));
        new.advance(500, &[11]);
        assert_eq!(new.take_started(11).len(), 1, "{name}");
    }
    let mut odd = store;
    let weights = r#"[{"filler":"f","serving":"s","value":1e30,"samples":4294967295}]"#;
    odd.insert("f/weights".to_owned(), weights.as_bytes().to_vec());
    odd.insert("zzz".to_owned(), b"7".to_vec());
    odd.insert("j/zzz".to_owned(), b"7".to_vec());
    odd.insert("u/-1".to_owned(), b"7".to_vec());
    let (_, errors) = Fleet::with_odd_records(50, odd, now);
    assert_eq!(errors.len(), 3, "{errors:?}");
}

/// Guards against machines that go down a second time, because the record of those that have begun
/// cannot be read. Other waves go on.
#[test]
fn wave_with_an_unreadable_record_is_held() {
    for value in odd_values() {
        let store = BTreeMap::from([("u/3".to_owned(), value)]);
        let (mut fleet, errors) = Fleet::with_odd_records(50, store, 10_000);
        assert_eq!(errors.len(), 1);
        let wave = |name: &str| MaintenanceWave {
            machines: vec![name.into()],
            max_down: 1,
        };
        let policy = Policy {
            version: 2,
            waves: BTreeMap::from([(3, wave("m-1")), (4, wave("m-2"))]),
            ..Policy::default()
        };
        let machine = |name: &str, worker: &str| Machine {
            name: name.into(),
            state: MachineState::Up,
            worker: Some(worker.into()),
        };
        fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
        fleet.step(vec![Input::Policy(Arc::new(policy))]);
        let machines = vec![machine("m-1", "i-1"), machine("m-2", "i-2")];
        fleet.step(vec![Input::MachineList(Some(machines))]);
        fleet.advance(5_000, &[1, 2]);
        assert!(!fleet.shutdowns.is_empty());
        assert!(fleet.shutdowns.iter().all(|(wave, _)| *wave == 4));
    }
}

/// Guards against a job that ends the owner, in this epoch and in each later one that loads it.
#[test]
fn job_out_of_range_is_refused_with_the_reason() {
    let with = |change: fn(&mut StepSpec)| {
        let mut step = step(1, &[]);
        change(&mut step);
        job(vec![step])
    };
    let scheduled = |count, first_due, interval| JobSpec {
        schedule: Some(Schedule {
            count,
            first_due,
            interval: Millis(interval),
        }),
        ..job(vec![step(1, &[])])
    };
    let invalid = [
        (with(|step| step.resources.cpu = u64::MAX), "step 0"),
        (with(|step| step.resources.mem = MAX_AMOUNT + 1), "step 0"),
        (with(|step| step.resources.gpu = u64::MAX), "step 0"),
        (with(|step| step.estimate = Millis(u64::MAX)), "step 0"),
        (with(|step| step.count = u32::MAX), "step 0"),
        (with(|step| step.after = vec![0]), "step 0"),
        (job(Vec::new()), "0 steps"),
        (job(vec![step(10_000, &[]); 1_000]), "tasks"),
        (scheduled(u32::MAX, 0, 0), "occurrences"),
        (scheduled(u32::MAX, u64::MAX, 0), "occurrences"),
        (scheduled(u32::MAX, 0, 100), "occurrences"),
    ];
    let mut fleet = Fleet::new();
    for (spec, reason) in invalid {
        let text = format!("{spec:.100?}");
        let submit = CallerRequest::Submit {
            job: JOB,
            rule: rule(2),
            spec,
        };
        match fleet.request(submit) {
            Some(CallerResponse::Invalid(text)) => assert!(text.contains(reason), "{text}"),
            other => panic!("{other:?} {text}"),
        }
    }
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let far = scheduled(u32::MAX, u64::MAX - 5, 100);
    let steps = vec![with(|step| step.estimate = Millis(1 << 40)).steps[0].clone(); 4];
    fleet.submit(JobId(1), rule(2), far);
    fleet.submit(
        JobId(2),
        rule(2),
        JobSpec {
            steps,
            ..job(vec![])
        },
    );
    let slow = QueueRule {
        stretch: 1e300,
        margin_ms: u64::MAX,
        ..rule(2)
    };
    fleet.submit(JobId(3), slow, job(vec![step(1, &[])]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(3_000, &[1]);
    let started = fleet.take_started(1);
    assert!(started.iter().any(|run| run.task.job == JOB));
    assert_eq!(fleet.state(JobId(1)), Some(JobState::Queued));
}

/// Guards against an owner that ends because of what one worker reports.
#[test]
fn largest_numbers_of_a_worker_are_harmless() {
    let mut fleet = Fleet::new();
    let mut info = worker("i-1", u64::MAX);
    info.capacity = Resources {
        cpu: u64::MAX,
        mem: u64::MAX,
        gpu: u64::MAX,
    };
    let odd = |index: u16, occurrence: u32| hyssop_jobs::RunId {
        task: hyssop_jobs::TaskId {
            job: JOB,
            occurrence,
            step: 0,
            index,
        },
        run: u64::MAX,
    };
    let status = |run| RunStatus {
        measurement: u64::MAX,
        percent_done: u32::MAX,
        ..run_status(run)
    };
    fleet.submit(JOB, rule(2), job(vec![step(2, &[])]));
    let runs = vec![
        status(odd(0, 0)),
        status(odd(u16::MAX, 0)),
        status(odd(0, u32::MAX)),
    ];
    let ended = vec![run_end(1, odd(1, u32::MAX), EndKind::Done)];
    fleet.connect(1, info, complete_report(runs.clone(), ended));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.advance(5_000, &[1, 2]);
    fleet.report(
        1,
        complete_report(runs, vec![run_end(u64::MAX, odd(0, 0), EndKind::Failed)]),
    );
    fleet.advance(5_000, &[1, 2]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against a task that starts again although the end of its run as done was acknowledged: it
/// came while a record of the job could not be read, and the record was repaired later.
#[test]
fn ends_of_a_held_job_count_once_its_record_is_repaired() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(2, &[]), step(1, &[0])]));
    old.step(vec![]);
    let runs = old.take_started(1);
    let statuses: Vec<RunStatus> = runs.iter().copied().map(run_status).collect();
    let running = hyssop_jobs::Report {
        running: Some(statuses),
        ..hyssop_jobs::Report::default()
    };
    old.report(1, running);
    old.advance(500, &[1]);
    for key in ["p/00000000000000aa", "j/00000000000000aa"] {
        let mut store = old.store.clone();
        let readable = store.insert(key.to_owned(), b"7".to_vec()).expect(key);
        let (mut held, _) = Fleet::with_odd_records(2, store, old.now);
        let ended = vec![
            run_end(1, runs[0], EndKind::Done),
            run_end(2, runs[1], EndKind::Failed),
        ];
        held.connect(1, worker("i-1", 1), complete_report(vec![], ended));
        held.advance(500, &[1]);
        assert_eq!(held.acknowledged_ends.get(&1), Some(&2), "{key}");
        // Another owner that cannot read the record keeps what the first one has stored.
        let (held, _) = Fleet::with_odd_records(3, held.store, held.now);
        let mut store = held.store.clone();
        store.insert(key.to_owned(), readable);
        let mut next = Fleet::with_epoch(4, store, held.now);
        next.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        next.advance(500, &[1]);
        let started = next.take_started(1);
        assert_eq!(started.len(), 1, "{key}: {started:?}");
        assert_eq!(started[0].task, runs[1].task, "{key}");
        next.report(
            1,
            ends_report(vec![run_end(1, started[0], EndKind::Failed)]),
        );
        next.advance(500, &[1]);
        assert_eq!(next.state(JOB), Some(JobState::Failed), "{key}");
        assert!(!next.store.contains_key("e/00000000000000aa"), "{key}");
    }
}

/// Guards against a task of an occurrence that starts again although the end of its run as done was
/// acknowledged: it came while the progress of the job could not be read, and the repaired progress
/// was stored before the occurrence was due.
#[test]
fn ends_of_a_held_job_count_in_occurrences_that_its_record_lacks() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let spec = JobSpec {
        schedule: Some(Schedule {
            count: 1,
            first_due: 1_000_000 + old.now + 500,
            interval: Millis(1_000),
        }),
        ..job(vec![step(2, &[])])
    };
    old.submit(JOB, rule(2), spec);
    let store = old.store.clone();
    old.advance(1_000, &[1]);
    let runs = old.take_started(1);
    assert_eq!(runs.len(), 2);
    let mut odd = store;
    odd.insert("p/00000000000000aa".to_owned(), b"7".to_vec());
    let (mut held, _) = Fleet::with_odd_records(2, odd, old.now);
    let ended = vec![
        run_end(1, runs[0], EndKind::Done),
        run_end(2, runs[1], EndKind::Failed),
    ];
    held.connect(1, worker("i-1", 1), complete_report(vec![], ended));
    held.advance(500, &[1]);
    assert_eq!(held.acknowledged_ends.get(&1), Some(&2));
    let mut store = held.store.clone();
    store.remove("p/00000000000000aa");
    let mut next = Fleet::with_epoch(3, store, held.now);
    next.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    next.advance(500, &[1]);
    let started = next.take_started(1);
    assert_eq!(started.len(), 1, "{started:?}");
    assert_eq!(started[0].task, runs[1].task);
    next.report(
        1,
        ends_report(vec![run_end(1, started[0], EndKind::Failed)]),
    );
    next.advance(500, &[1]);
    assert_eq!(next.state(JOB), Some(JobState::Failed));
}

/// Guards against a task that starts again although the end of its run as done was acknowledged: its
/// job was held, and another end of the same run was kept before. A late call may start a run again on
/// a worker that has restarted.
#[test]
fn held_end_as_done_counts_beside_another_end_of_its_run() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let run = old.take_started(1)[0];
    let mut store = old.store.clone();
    store.insert("p/00000000000000aa".to_owned(), b"7".to_vec());
    let (mut held, _) = Fleet::with_odd_records(2, store, old.now);
    let ended = vec![run_end(1, run, EndKind::LeaseExpired)];
    held.connect(1, worker("i-1", 1), complete_report(vec![], ended));
    let ended = vec![run_end(1, run, EndKind::Done)];
    held.connect(2, worker("i-1", 2), complete_report(vec![], ended));
    held.advance(500, &[2]);
    assert_eq!(held.acknowledged_ends.get(&2), Some(&1));
    let mut store = held.store.clone();
    store.remove("p/00000000000000aa");
    let mut next = Fleet::with_epoch(3, store, held.now);
    next.connect(1, worker("i-1", 2), complete_report(vec![], vec![]));
    next.advance(500, &[1]);
    assert_eq!(next.take_started(1), []);
    assert_eq!(next.state(JOB), Some(JobState::Complete));
}
