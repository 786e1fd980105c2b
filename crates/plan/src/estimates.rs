//! Online estimates of how much a kind of batch task slows a latency-critical service down.

use std::collections::BTreeMap;

use hyssop_core::{Millis, ServiceName};

/// Half-life of the weight of earlier measurements, so that estimates follow a changing load.
const HALF_LIFE_MS: f64 = 600_000.0;
/// Weight of the measurements from which on an estimate counts in full.
const FULL_CONFIDENCE_WEIGHT: f64 = 5.0;
/// Largest weight of the measurements; it bounds how slowly an estimate adapts.
const MAX_WEIGHT: f64 = 50.0;

/// A latency-critical service and a kind of batch task on the same worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pair {
    victim: ServiceName,
    kind: ServiceName,
}

impl Pair {
    pub(crate) fn new(victim: &ServiceName, kind: &ServiceName) -> Self {
        Self {
            victim: victim.clone(),
            kind: kind.clone(),
        }
    }
}

/// Estimate for a pair.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Slowdown caused by one task at full speed, in percent.
    slowdown: f64,
    /// Number of measurements, discounted by their age.
    weight: f64,
    updated_at: Millis,
}

/// Estimates of all pairs that have run on the same worker.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    pairs: BTreeMap<Pair, Estimate>,
}

impl Estimates {
    /// Updates the estimates with a measured slowdown of `victim`, in percent with 100 as no
    /// slowdown, while the neighbours ran at the given percentages of their speed. The prediction
    /// error is distributed over the neighbours by a normalised least mean squares step.
    pub(crate) fn update(
        &mut self,
        now: Millis,
        victim: &ServiceName,
        neighbours: &[(ServiceName, u32)],
        measured: u32,
    ) {
        let mut shares: BTreeMap<Pair, f64> = BTreeMap::new();
        for (kind, percent) in neighbours {
            *shares.entry(Pair::new(victim, kind)).or_default() += f64::from(*percent) / 100.0;
        }
        let norm: f64 = shares.values().map(|share| share * share).sum();
        if norm <= 0.0 {
            return;
        }
        let excess = f64::from(measured.saturating_sub(100));
        let estimated = |pair: &Pair| self.pairs.get(pair).map_or(0.0, |e| e.slowdown);
        let predicted: f64 = shares.iter().map(|(p, share)| estimated(p) * share).sum();
        let error = excess - predicted;
        for (pair, share) in shares {
            let estimate = self.pairs.entry(pair).or_default();
            let age = now.since(estimate.updated_at).0 as f64;
            let discounted = estimate.weight * 0.5_f64.powf(age / HALF_LIFE_MS);
            estimate.weight = (discounted + 1.0).min(MAX_WEIGHT);
            let rate = (1.0 / estimate.weight).max(0.05);
            estimate.slowdown = (estimate.slowdown + rate * error * share / norm).max(0.0);
            estimate.updated_at = now;
        }
    }

    /// Returns the expected slowdown of a pair, in percent above no slowdown. An estimate from few
    /// measurements is reduced in proportion.
    pub(crate) fn slowdown(&self, pair: &Pair) -> u32 {
        let Some(estimate) = self.pairs.get(pair) else {
            return 0;
        };
        let confidence = (estimate.weight / FULL_CONFIDENCE_WEIGHT).min(1.0);
        (estimate.slowdown * confidence).round() as u32
    }
}
