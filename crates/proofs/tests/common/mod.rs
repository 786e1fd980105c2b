//! Runs many cases in parallel.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Returns the number of further seeds from the environment variable `HYSSOP_SEEDS`.
pub(crate) fn further_seeds() -> u64 {
    let text = std::env::var("HYSSOP_SEEDS").unwrap_or_default();
    text.parse().unwrap_or(0)
}

/// Runs each element, prints the texts of all panics and fails if there was one.
pub(crate) fn run_all<T: Sync>(all: &[T], run: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.min(10) {
            scope.spawn(|| {
                while let Some(item) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = catch_unwind(AssertUnwindSafe(|| run(item)));
                    if let Err(cause) = result {
                        let text = cause.downcast_ref::<String>().cloned();
                        failed.lock().unwrap().push(text.unwrap_or_default());
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    for text in &failed {
        println!("FAILED {text}\n");
    }
    assert!(
        failed.is_empty(),
        "{} of {} failed",
        failed.len(),
        all.len()
    );
}
