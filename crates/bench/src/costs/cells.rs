//! Processor time of the cell core.

use std::time::Duration;

use hyssop_core::Millis;

use super::fixtures::{CellFixture, Sizes, TICKS_PER_SECOND, Tick};
use crate::reports::{Report, Series};

/// Virtual time of one measurement, except with short jobs, which take twice as long.
const MEASURED_SECONDS: usize = 10;
/// Number of measurements at each size, of which the least counts.
const REPEAT_COUNT: usize = 3;
/// Number of tasks in a cell at the target size: 11,800 tasks over 47 cells.
const TASKS_PER_CELL: usize = 251;

/// Costs of a cell without starts and ends of tasks.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Median tick without polls and replies.
    idle_us: f64,
    /// Median tick that applies poll replies.
    reply_tick_us: f64,
    /// Median number of replies in a tick with replies.
    reply_count: f64,
    /// Mean processor time for a second of virtual time.
    second_us: f64,
}

pub(super) fn measure(report: &mut Report) {
    by_workers(report);
    by_tasks(report);
    by_pending(report);
    by_share(report);
    by_start_rate(report);
    by_replayed_records(report);
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the least of each cost over several cells, since other load on the machine only adds
/// to a measurement.
fn steady_cost(sizes: Sizes) -> Cost {
    let costs: Vec<Cost> = (0..REPEAT_COUNT)
        .map(|_| measure_steady_cost(sizes))
        .collect();
    let least = |value: fn(&Cost) -> f64| costs.iter().map(value).fold(f64::MAX, f64::min);
    Cost {
        idle_us: least(|c| c.idle_us),
        reply_tick_us: least(|c| c.reply_tick_us),
        reply_count: least(|c| c.reply_count),
        second_us: least(|c| c.second_us),
    }
}

fn measure_steady_cost(sizes: Sizes) -> Cost {
    let mut fixture = CellFixture::new(sizes);
    let ticks: Vec<Tick> = (0..MEASURED_SECONDS * TICKS_PER_SECOND)
        .map(|_| fixture.tick())
        .collect();
    let idle_ticks = ticks.iter().filter(|t| t.replies == 0 && t.polls == 0);
    let idle_us = median(idle_ticks.map(|t| micros(t.cpu)).collect());
    let reply_ticks: Vec<&Tick> = ticks.iter().filter(|t| t.replies > 0).collect();
    let reply_count = median(reply_ticks.iter().map(|t| to_f64(t.replies)).collect());
    let reply_tick_us = median(reply_ticks.iter().map(|t| micros(t.cpu)).collect());
    let total: f64 = ticks.iter().map(|t| micros(t.cpu)).sum();
    Cost {
        idle_us,
        reply_tick_us,
        reply_count,
        second_us: total / to_f64(MEASURED_SECONDS),
    }
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

/// Adds one series for each cost. `by` says what the sizes count, and `fixed` which sizes are
/// constant.
fn add_cost_series(report: &mut Report, by: &str, fixed: &str, costs: &[(usize, Cost)]) {
    let series = |value: fn(&Cost) -> f64| -> Vec<(f64, f64)> {
        costs
            .iter()
            .map(|(n, cost)| (to_f64(*n), value(cost)))
            .collect()
    };
    let title = |what: &str| format!("{what} ({fixed})");
    let idle_us = series(|c| c.idle_us);
    report.add_series(Series::new(&title("idle tick"), by, "us", idle_us));
    let replies = series(|c| c.reply_tick_us);
    report.add_series(Series::new(&title("tick with answers"), by, "us", replies));
    let second = series(|c| c.second_us);
    report.add_series(Series::new(&title("cpu per second"), by, "us/s", second));
}

fn by_workers(report: &mut Report) {
    let sizes = [8, 32, 136, 500, 1_500].map(|workers| {
        let sizes = Sizes {
            workers,
            tasks: TASKS_PER_CELL,
            pending_jobs: 0,
            has_usage: false,
        };
        (workers, steady_cost(sizes))
    });
    add_cost_series(report, "workers", "251 tasks, 0 pending", &sizes);
    let reply_costs: Vec<(f64, f64)> = sizes
        .iter()
        .map(|(_, c)| (c.reply_count, c.reply_tick_us - c.idle_us))
        .collect();
    let series = Series::new(
        "answers without news in one tick",
        "answers",
        "us",
        reply_costs,
    );
    report.add_series(series);
}

fn by_tasks(report: &mut Report) {
    for usage in [false, true] {
        let costs = [TASKS_PER_CELL, 1_000, 4_000, 11_800].map(|tasks| {
            let sizes = Sizes {
                workers: 32,
                tasks,
                pending_jobs: 0,
                has_usage: usage,
            };
            (tasks, steady_cost(sizes))
        });
        let fixed = match usage {
            false => "32 workers, 0 pending",
            true => "32 workers, 0 pending, a measurement of each task in each answer",
        };
        add_cost_series(report, "tasks", fixed, &costs);
    }
}

fn by_pending(report: &mut Report) {
    let costs = [0, 250, 1_000, 4_000, 12_000].map(|pending| {
        let sizes = Sizes {
            workers: 32,
            tasks: TASKS_PER_CELL,
            pending_jobs: pending,
            has_usage: false,
        };
        (pending, steady_cost(sizes))
    });
    add_cost_series(report, "pending jobs", "32 workers, 251 tasks", &costs);
}

/// Measures an owner of one cell, of a whole domain and of the whole fleet, each as a single cell.
fn by_share(report: &mut Report) {
    let costs = [(32, 251), (136, 1_072), (1_500, 11_800)].map(|(workers, tasks)| {
        let sizes = Sizes {
            workers,
            tasks,
            pending_jobs: 100,
            has_usage: true,
        };
        (workers, steady_cost(sizes))
    });
    let fixed = "251, 1,072 and 11,800 tasks with measurements, 100 pending";
    add_cost_series(report, "workers", fixed, &costs);
}

/// Measures a cell by the rate of short jobs, from submission to finish. Rate 0 is the cost of the
/// cell without them.
fn by_start_rate(report: &mut Report) {
    let least = |rate: usize| {
        let costs = (0..REPEAT_COUNT).map(|_| short_job_cost(rate));
        costs.fold(f64::MAX, f64::min)
    };
    let points = [0, 4, 12, 24, 48, 96].map(|rate| (to_f64(rate), least(rate)));
    let name = "cpu per second with short jobs (32 workers, 251 tasks)";
    report.add_series(Series::new(name, "starts/s", "us/s", points.to_vec()));
    let rates = [0, 4, 12, 24, 48, 96].map(|rate| (to_f64(rate), message_rates(rate)));
    let mut add = |name: &str, unit: &str, value: fn(&MessageRates) -> f64| {
        let points = rates.iter().map(|(rate, t)| (*rate, value(t))).collect();
        report.add_series(Series::new(name, "starts/s", unit, points));
    };
    add("appends of a cell with short jobs", "appends/s", |t| {
        t.appends
    });
    add("records of a cell with short jobs", "records/s", |t| {
        t.records
    });
    add("polls of a cell with short jobs", "polls/s", |t| t.polls);
}

/// Number of messages of a cell in a second.
struct MessageRates {
    appends: f64,
    records: f64,
    polls: f64,
}

fn message_rates(rate: usize) -> MessageRates {
    let mut fixture = loaded_fixture();
    let ticks = run_short_jobs(&mut fixture, rate);
    let mean = |value: fn(&Tick) -> usize| {
        let total: usize = ticks.iter().map(value).sum();
        to_f64(total) / to_f64(2 * MEASURED_SECONDS)
    };
    MessageRates {
        appends: mean(|t| t.appends),
        records: mean(|t| t.records),
        polls: mean(|t| t.polls),
    }
}

fn loaded_fixture() -> CellFixture {
    CellFixture::new(Sizes {
        workers: 32,
        tasks: TASKS_PER_CELL,
        pending_jobs: 0,
        has_usage: false,
    })
}

/// Submits `rate` short jobs in each second of virtual time.
fn run_short_jobs(fixture: &mut CellFixture, rate: usize) -> Vec<Tick> {
    let mut submitted = 0;
    let mut ticks = Vec::new();
    for n in 0..2 * MEASURED_SECONDS * TICKS_PER_SECOND {
        while submitted * TICKS_PER_SECOND < rate * n {
            submitted += 1;
            fixture.submit(submitted, Millis(1_000));
        }
        ticks.push(fixture.tick());
    }
    ticks
}

fn short_job_cost(rate: usize) -> f64 {
    let mut fixture = loaded_fixture();
    let cpu: f64 = run_short_jobs(&mut fixture, rate)
        .iter()
        .map(|t| micros(t.cpu))
        .sum();
    let expected = u64::try_from(rate * MEASURED_SECONDS).unwrap_or(u64::MAX);
    assert!(
        fixture.finished_jobs() >= expected,
        "at least half of the jobs have finished"
    );
    cpu / to_f64(2 * MEASURED_SECONDS)
}

/// Measures the first read of a whole stream by a process without any state of the cell.
fn by_replayed_records(report: &mut Report) {
    let points = [TASKS_PER_CELL, 1_000, 4_000, 11_800].map(|tasks| {
        let replay_ms = || {
            let mut fixture = CellFixture::before_election(Sizes {
                workers: 32,
                tasks,
                pending_jobs: 0,
                has_usage: false,
            });
            micros(fixture.tick().cpu) / 1e3
        };
        let least = (0..REPEAT_COUNT)
            .map(|_| replay_ms())
            .fold(f64::MAX, f64::min);
        (to_f64(2 * tasks + 1), least)
    });
    let name = "replay of a cell stream, decoded";
    report.add_series(Series::new(name, "records", "ms", points.to_vec()));
}
