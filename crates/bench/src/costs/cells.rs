//! Processor time of the cell core.

use std::time::Duration;

use hyssop_core::Millis;

use super::fixtures::{Sizes, Stage, TICKS, Tick};
use crate::reports::{Report, Series};

/// Seconds of virtual time in one measurement.
const SECONDS: usize = 10;
/// Measurements of each size.
const REPEATS: usize = 3;
/// Tasks of one owner's share at the target: 11,800 tasks over 47 cells.
const SHARE: usize = 251;

/// Costs of a steady cell.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Median tick without polls and answers, in microseconds.
    idle: f64,
    /// Median tick that takes in the answers of all workers, in microseconds.
    replies: f64,
    /// Answers in such a tick.
    count: f64,
    /// Mean of a second of ticks, in microseconds.
    second: f64,
}

pub(super) fn measure(report: &mut Report) {
    by_workers(report);
    by_tasks(report);
    by_pending(report);
    shares(report);
    starts(report);
    replay(report);
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Measures three cells and takes the least of each cost: other load on the machine only adds.
fn steady(sizes: Sizes) -> Cost {
    let costs: Vec<Cost> = (0..REPEATS).map(|_| steady_once(sizes)).collect();
    let least = |pick: fn(&Cost) -> f64| costs.iter().map(pick).fold(f64::MAX, f64::min);
    Cost {
        idle: least(|c| c.idle),
        replies: least(|c| c.replies),
        count: least(|c| c.count),
        second: least(|c| c.second),
    }
}

fn steady_once(sizes: Sizes) -> Cost {
    let mut stage = Stage::new(sizes);
    let ticks: Vec<Tick> = (0..SECONDS * TICKS).map(|_| stage.tick()).collect();
    let idle = ticks.iter().filter(|t| t.replies == 0 && t.polls == 0);
    let idle = median(idle.map(|t| micros(t.cpu)).collect());
    let busy: Vec<&Tick> = ticks.iter().filter(|t| t.replies > 0).collect();
    let count = median(busy.iter().map(|t| size(t.replies)).collect());
    let replies = median(busy.iter().map(|t| micros(t.cpu)).collect());
    let total: f64 = ticks.iter().map(|t| micros(t.cpu)).sum();
    Cost {
        idle,
        replies,
        count,
        second: total / size(SECONDS),
    }
}

fn size(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Adds one series for each kind of cost.
fn add(report: &mut Report, by: &str, fixed: &str, costs: &[(usize, Cost)]) {
    let series = |pick: fn(&Cost) -> f64| -> Vec<(f64, f64)> {
        costs
            .iter()
            .map(|(n, cost)| (size(*n), pick(cost)))
            .collect()
    };
    let title = |what: &str| format!("{what} ({fixed})");
    let idle = series(|c| c.idle);
    report.add(Series::new(&title("idle tick"), by, "us", idle));
    let replies = series(|c| c.replies);
    report.add(Series::new(&title("tick with answers"), by, "us", replies));
    let second = series(|c| c.second);
    report.add(Series::new(&title("cpu per second"), by, "us/s", second));
}

fn by_workers(report: &mut Report) {
    let sizes = [8, 32, 136, 500, 1_500].map(|workers| {
        let sizes = Sizes {
            workers,
            tasks: SHARE,
            pending: 0,
            usage: false,
        };
        (workers, steady(sizes))
    });
    add(report, "workers", "251 tasks, 0 pending", &sizes);
    let each: Vec<(f64, f64)> = sizes
        .iter()
        .map(|(_, c)| (c.count, c.replies - c.idle))
        .collect();
    let series = Series::new("answers without news in one tick", "answers", "us", each);
    report.add(series);
}

fn by_tasks(report: &mut Report) {
    for usage in [false, true] {
        let costs = [SHARE, 1_000, 4_000, 11_800].map(|tasks| {
            let sizes = Sizes {
                workers: 32,
                tasks,
                pending: 0,
                usage,
            };
            (tasks, steady(sizes))
        });
        let fixed = match usage {
            false => "32 workers, 0 pending",
            true => "32 workers, 0 pending, a measurement of each task in each answer",
        };
        add(report, "tasks", fixed, &costs);
    }
}

fn by_pending(report: &mut Report) {
    let costs = [0, 250, 1_000, 4_000, 12_000].map(|pending| {
        let sizes = Sizes {
            workers: 32,
            tasks: SHARE,
            pending,
            usage: false,
        };
        (pending, steady(sizes))
    });
    add(report, "pending jobs", "32 workers, 251 tasks", &costs);
}

/// Measures whole shares: one cell, a whole domain and the whole fleet in one owner.
fn shares(report: &mut Report) {
    let costs = [(32, 251), (136, 1_072), (1_500, 11_800)].map(|(workers, tasks)| {
        let sizes = Sizes {
            workers,
            tasks,
            pending: 100,
            usage: true,
        };
        (workers, steady(sizes))
    });
    let fixed = "251, 1,072 and 11,800 tasks with measurements, 100 pending";
    add(report, "workers", fixed, &costs);
}

/// Measures jobs from the call to the finish, beyond the cost of the cell at rest.
fn starts(report: &mut Report) {
    let least = |rate: usize| {
        let costs = (0..REPEATS).map(|_| start_cost(rate));
        costs.fold(f64::MAX, f64::min)
    };
    let points = [0, 4, 12, 24, 48, 96].map(|rate| (size(rate), least(rate)));
    let name = "cpu per second with short jobs (32 workers, 251 tasks)";
    report.add(Series::new(name, "starts/s", "us/s", points.to_vec()));
    let rates = [0, 4, 12, 24, 48, 96].map(|rate| (size(rate), traffic(rate)));
    let mut add = |name: &str, unit: &str, pick: fn(&Traffic) -> f64| {
        let points = rates.iter().map(|(rate, t)| (*rate, pick(t))).collect();
        report.add(Series::new(name, "starts/s", unit, points));
    };
    add("appends of a cell with short jobs", "appends/s", |t| {
        t.appends
    });
    add("records of a cell with short jobs", "records/s", |t| {
        t.records
    });
    add("polls of a cell with short jobs", "polls/s", |t| t.polls);
}

/// Messages of a cell in a second.
struct Traffic {
    appends: f64,
    records: f64,
    polls: f64,
}

fn traffic(rate: usize) -> Traffic {
    let mut stage = shared_stage();
    let ticks = drive(&mut stage, rate);
    let mean = |pick: fn(&Tick) -> usize| {
        let total: usize = ticks.iter().map(pick).sum();
        size(total) / size(2 * SECONDS)
    };
    Traffic {
        appends: mean(|t| t.appends),
        records: mean(|t| t.records),
        polls: mean(|t| t.polls),
    }
}

fn shared_stage() -> Stage {
    Stage::new(Sizes {
        workers: 32,
        tasks: SHARE,
        pending: 0,
        usage: false,
    })
}

/// Submits short jobs at a steady rate.
fn drive(stage: &mut Stage, rate: usize) -> Vec<Tick> {
    let mut sent = 0;
    let mut ticks = Vec::new();
    for n in 0..2 * SECONDS * TICKS {
        while sent * TICKS < rate * n {
            sent += 1;
            stage.submit(sent, Millis(1_000));
        }
        ticks.push(stage.tick());
    }
    ticks
}

fn start_cost(rate: usize) -> f64 {
    let mut stage = shared_stage();
    let cpu: f64 = drive(&mut stage, rate).iter().map(|t| micros(t.cpu)).sum();
    let expected = u64::try_from(rate * SECONDS).unwrap_or(u64::MAX);
    assert!(stage.finished() >= expected, "the jobs finish");
    cpu / size(2 * SECONDS)
}

/// Measures the read of a stream by a process that knows nothing of it.
fn replay(report: &mut Report) {
    let points = [SHARE, 1_000, 4_000, 11_800].map(|tasks| {
        let once = || {
            let mut stage = Stage::unowned(Sizes {
                workers: 32,
                tasks,
                pending: 0,
                usage: false,
            });
            micros(stage.tick().cpu) / 1e3
        };
        let least = (0..REPEATS).map(|_| once()).fold(f64::MAX, f64::min);
        (size(2 * tasks + 1), least)
    });
    let name = "replay of a cell stream, decoded";
    report.add(Series::new(name, "records", "ms", points.to_vec()));
}
