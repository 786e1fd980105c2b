//! Resident memory of the cell core.

use eyre::Result;
use hyssop_core::Millis;

use super::fixtures::{Sizes, Stage, TICKS};
use crate::clocks::resident;
use crate::reports::{Report, Series};

/// Cells built before the measurement. They leave the freed memory of their start-up behind, which
/// the start-up of the later ones uses again.
const WARM: u32 = 2;
/// Cells over which the growth is measured.
const COPIES: u32 = 4;

const BARE: Sizes = Sizes {
    workers: 32,
    tasks: 0,
    pending: 0,
    usage: false,
};

/// Measures the growth by workers, tasks and jobs. All cells are kept until the end, so that no
/// freed memory hides it.
pub(super) fn measure(report: &mut Report) -> Result<()> {
    let mut kept = Vec::new();
    let mut series = |name: &str, size: &str, sizes: &[(u32, Sizes)]| -> Result<()> {
        let mut points = Vec::new();
        for (n, sizes) in sizes {
            points.push((f64::from(*n), grow(&mut kept, || Stage::new(*sizes))?));
        }
        report.add(Series::new(name, size, "KiB", points));
        Ok(())
    };
    let workers = [32, 500, 1_000, 1_500];
    let workers = workers.map(|n| {
        (
            n,
            Sizes {
                workers: usize_of(n),
                ..BARE
            },
        )
    });
    series("memory of a cell without tasks", "workers", &workers)?;
    let tasks = [251, 4_000, 8_000, 11_800];
    let tasks = tasks.map(|n| {
        (
            n,
            Sizes {
                tasks: usize_of(n),
                ..BARE
            },
        )
    });
    series(
        "memory of a cell of 32 workers, and the workers' own lists",
        "tasks",
        &tasks,
    )?;
    let pending = [250, 4_000, 8_000, 12_000].map(|n| {
        let sizes = Sizes {
            tasks: 32,
            pending: usize_of(n),
            ..BARE
        };
        (n, sizes)
    });
    series(
        "memory of a cell of 32 workers and 32 tasks",
        "pending jobs",
        &pending,
    )?;
    let mut points = Vec::new();
    for n in [100, 500, 1_000, 2_000] {
        points.push((f64::from(n), grow(&mut kept, || with_ended(usize_of(n)))?));
    }
    let name = "memory of a cell of 32 workers and 32 tasks, with explanations";
    report.add(Series::new(name, "ended jobs", "KiB", points));
    Ok(())
}

fn usize_of(n: u32) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

/// Returns the mean growth of the resident memory per cell.
fn grow(kept: &mut Vec<Stage>, build: impl Fn() -> Stage) -> Result<f64> {
    for _ in 0..WARM {
        kept.push(build());
    }
    let before = resident()?;
    for _ in 0..COPIES {
        kept.push(build());
    }
    let grown = resident()?.saturating_sub(before) / 1_024;
    let grown = u32::try_from(grown).unwrap_or(u32::MAX);
    Ok(f64::from(grown) / f64::from(COPIES))
}

/// Returns a cell in which jobs were submitted, ran and ended.
fn with_ended(jobs: usize) -> Stage {
    let mut stage = Stage::new(Sizes { tasks: 32, ..BARE });
    for n in 0..jobs {
        stage.submit(n, Millis(500));
        if n % 2 == 0 {
            stage.tick();
        }
    }
    for _ in 0..20 * TICKS {
        stage.tick();
    }
    stage
}
