//! Callers of the latency-critical service.

use std::f64::consts::TAU;

use hdrhistogram::Histogram;
use hyssop_core::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Rate of requests at load 1.
const REQUESTS_PER_SECOND: f64 = 100.0;
/// Median latency of a request to an instance without slowdown.
const MEDIAN_LATENCY_US: f64 = 20_000.0;
/// Standard deviation of the natural logarithm of the latency.
const LOG_LATENCY_STD_DEV: f64 = 0.35;
/// Number of instances that the documents declare for the latency-critical service of each user.
const DECLARED_INSTANCES: f64 = 10.0;
/// Load per instance above which requests queue, as a multiple of the mean load per
/// declared instance.
const QUEUEING_THRESHOLD: f64 = 1.5;

/// Returns an empty histogram of latencies in microseconds, with a maximum of one minute.
pub(super) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are allowed")
}

/// Generates requests and records their latencies.
pub(super) struct Callers {
    rng: StdRng,
    due_requests: f64,
    pub(super) latency: Histogram<u64>,
    pub(super) unserved: u64,
}

impl Callers {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed ^ 0x0ca1_1e45),
            due_requests: 0.0,
            latency: new_histogram(),
            unserved: 0,
        }
    }

    /// Discards the results so far, at the end of the warm-up.
    pub(super) fn clear(&mut self) {
        self.latency.reset();
        self.unserved = 0;
    }

    /// Sends the requests of one tick to random instances, each given by its slowdown. The number
    /// of random draws does not depend on the instances, so that all policies face the same load.
    pub(super) fn send_requests(&mut self, elapsed: Millis, load: f64, instances: &[f64]) {
        self.due_requests += REQUESTS_PER_SECOND * load * elapsed.0 as f64 / 1_000.0;
        let instance_load = load * DECLARED_INSTANCES / (instances.len().max(1) as f64);
        let queueing_factor = (instance_load / QUEUEING_THRESHOLD).max(1.0);
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let (a, b) = (self.rng.random::<f64>(), self.rng.random::<f64>());
            let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
            let position = self.rng.random::<f64>();
            let index = (position * instances.len() as f64) as usize;
            let Some(slowdown) = instances.get(index) else {
                self.unserved += 1;
                continue;
            };
            let latency = MEDIAN_LATENCY_US
                * (LOG_LATENCY_STD_DEV * normal).exp()
                * slowdown
                * queueing_factor;
            self.latency.saturating_record(latency as u64);
        }
    }
}
