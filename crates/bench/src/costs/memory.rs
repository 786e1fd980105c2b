//! Resident memory of the cell core.

use eyre::Result;
use hyssop_core::Millis;

use super::fixtures::{CellFixture, Sizes, TICKS_PER_SECOND};
use crate::clocks::resident_bytes;
use crate::reports::{Report, Series};

/// Number of cells built before the measurement. The measured cells reuse the memory that these
/// free after their start-up, so that only retained memory counts.
const WARMUP_CELLS: u32 = 2;
/// Number of cells over which the growth is averaged.
const MEASURED_CELLS: u32 = 4;

const EMPTY_CELL: Sizes = Sizes {
    workers: 32,
    tasks: 0,
    pending_jobs: 0,
    has_usage: false,
};

/// Measures the memory of a cell by workers, tasks and jobs. All cells are retained until the end,
/// so that no freed memory hides growth.
pub(super) fn measure(report: &mut Report) -> Result<()> {
    let mut cells = Vec::new();
    let mut series = |name: &str, size: &str, sizes: &[(u32, Sizes)]| -> Result<()> {
        let mut points = Vec::new();
        for (n, sizes) in sizes {
            points.push((
                f64::from(*n),
                memory_per_cell(&mut cells, || CellFixture::new(*sizes))?,
            ));
        }
        report.add_series(Series::new(name, size, "KiB", points));
        Ok(())
    };
    let workers = [32, 500, 1_000, 1_500];
    let workers = workers.map(|n| {
        (
            n,
            Sizes {
                workers: to_usize(n),
                ..EMPTY_CELL
            },
        )
    });
    series("memory of a cell without tasks", "workers", &workers)?;
    let tasks = [251, 4_000, 8_000, 11_800];
    let tasks = tasks.map(|n| {
        (
            n,
            Sizes {
                tasks: to_usize(n),
                ..EMPTY_CELL
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
            pending_jobs: to_usize(n),
            ..EMPTY_CELL
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
        points.push((
            f64::from(n),
            memory_per_cell(&mut cells, || cell_with_ended_jobs(to_usize(n)))?,
        ));
    }
    let name = "memory of a cell of 32 workers and 32 tasks, with explanations";
    report.add_series(Series::new(name, "ended jobs", "KiB", points));
    Ok(())
}

fn to_usize(n: u32) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}

/// Returns the mean growth of the resident memory for each cell, in KiB.
fn memory_per_cell(cells: &mut Vec<CellFixture>, build: impl Fn() -> CellFixture) -> Result<f64> {
    for _ in 0..WARMUP_CELLS {
        cells.push(build());
    }
    let before = resident_bytes()?;
    for _ in 0..MEASURED_CELLS {
        cells.push(build());
    }
    let growth_kib = resident_bytes()?.saturating_sub(before) / 1_024;
    let growth_kib = u32::try_from(growth_kib).unwrap_or(u32::MAX);
    Ok(f64::from(growth_kib) / f64::from(MEASURED_CELLS))
}

/// Returns a cell that ran `jobs` short jobs to their end.
fn cell_with_ended_jobs(jobs: usize) -> CellFixture {
    let mut fixture = CellFixture::new(Sizes {
        tasks: 32,
        ..EMPTY_CELL
    });
    for n in 0..jobs {
        fixture.submit(n, Millis(500));
        if n % 2 == 0 {
            fixture.tick();
        }
    }
    for _ in 0..20 * TICKS_PER_SECOND {
        fixture.tick();
    }
    fixture
}
