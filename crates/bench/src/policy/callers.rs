//! Callers of the latency-critical service.

use std::f64::consts::TAU;

use hdrhistogram::Histogram;
use hyssop_core::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests a second at the mean load.
const RATE: f64 = 100.0;
/// Median latency of an unhindered request, in microseconds.
const MEDIAN: f64 = 20_000.0;
/// Spread of the logarithm of the latency.
const SPREAD: f64 = 0.35;
/// Instances that the documents ask for.
const INSTANCES: f64 = 10.0;
/// Load per instance, against the mean with all instances, above which requests queue.
const QUEUES: f64 = 1.5;

/// Returns an empty histogram of latencies in microseconds, up to a minute.
pub(super) fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are allowed")
}

/// Callers with what they measured.
pub(super) struct Callers {
    rng: StdRng,
    due: f64,
    pub(super) latency: Histogram<u64>,
    pub(super) unserved: u64,
}

impl Callers {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x0ca1_1e45),
            due: 0.0,
            latency: empty(),
            unserved: 0,
        }
    }

    /// Forgets what was measured so far.
    pub(super) fn clear(&mut self) {
        self.latency.reset();
        self.unserved = 0;
    }

    /// Makes the calls of one step to instances with the given slowdowns. The draws are the same
    /// whatever the instances are.
    pub(super) fn call(&mut self, passed: Millis, load: f64, instances: &[f64]) {
        self.due += RATE * load * passed.0 as f64 / 1_000.0;
        let crowd = load * INSTANCES / (instances.len().max(1) as f64);
        let queues = (crowd / QUEUES).max(1.0);
        while self.due >= 1.0 {
            self.due -= 1.0;
            let (a, b) = (self.rng.random::<f64>(), self.rng.random::<f64>());
            let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
            let choice = self.rng.random::<f64>();
            let place = (choice * instances.len() as f64) as usize;
            let Some(slowdown) = instances.get(place) else {
                self.unserved += 1;
                continue;
            };
            let latency = MEDIAN * (SPREAD * normal).exp() * slowdown * queues;
            self.latency.saturating_record(latency as u64);
        }
    }
}
