//! Model of the interference of best-effort tasks with latency-critical ones, learned for pairs of
//! images.
//!
//! The tail latency of a latency-critical task, as a share of its target, is modelled as the
//! reciprocal of its headroom. The headroom is that of its job without best-effort tasks, minus the
//! sum of weight times cores over the best-effort images beside it, where cores are normalized to a
//! worker of 16 cores. Tasks of one job share one headroom, which varies with the load of their
//! users, and the same best-effort tasks take about the same headroom at low and at high load.
//! Reports lag by 0.5 s and weights change within seconds, so older samples count less and less.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::{InterferenceRecord, JobId};

/// Headroom of a latency-critical job without samples, close to that of a typical job.
const DEFAULT_HEADROOM: f32 = 2.6;
/// Weight of a pair without samples. It admits one best-effort task of two cores beside a
/// latency-critical task at medium load, and delays a second one until the effect of the first one
/// shows.
const DEFAULT_WEIGHT: f32 = 0.25;
/// Share of a positive error that is applied to the weights. Harm is learned faster than its
/// absence.
const WEIGHT_INCREASE_RATE: f32 = 0.8;
/// Share of a negative error that is applied to the weights.
const WEIGHT_DECREASE_RATE: f32 = 0.4;
/// Term in cores squared that keeps corrections finite if best-effort tasks use almost no
/// processors.
const DAMPING_CORES_SQUARED: f32 = 0.2;
/// Cores below which best-effort tasks count as absent.
const MIN_LOAD_CORES: f32 = 0.1;
/// Upper limit of a weight, in headroom per core.
const MAX_WEIGHT: f32 = 8.0;
/// Time after which a weight without new samples has returned halfway to [`DEFAULT_WEIGHT`].
const WEIGHT_HALF_LIFE_MS: f32 = 40_000.0;
/// Number of samples from which the weight of a pair counts as known.
const MIN_KNOWN_SAMPLES: u32 = 3;
/// Known weight below which a pair counts as harmless.
const MAX_HARMLESS_WEIGHT: f32 = 0.12;
/// Time constant of the fast average of a job's headroom. Each of its tasks reports every 0.4 s.
const FAST_AVERAGE_MS: f32 = 500.0;
/// Time constant of the slow average. The difference between the two averages shows the trend.
const SLOW_AVERAGE_MS: f32 = 2_000.0;
/// Factor that extrapolates the difference of the averages. A best-effort task runs for about 2 s,
/// and the averages lag 1.5 s apart.
const TREND_FACTOR: f32 = 1.3;
/// Age of a headroom from which an unexpected tail latency may result from the load as well as from
/// best-effort tasks.
const STALE_HEADROOM_AGE: Millis = Millis(1_200);
/// Share of the error that is applied to a headroom of that age.
const STALE_HEADROOM_RATE: f32 = 0.1;
/// Upper limit of the headroom computed from a report. A task that has just started reports almost
/// no latency.
const MAX_HEADROOM: f32 = 4.5;
/// Lower limit of the expected headroom without best-effort tasks, which keeps estimates finite.
const MIN_HEADROOM: f32 = 0.1;

/// Normalized cores that best-effort tasks use on a worker, by image.
pub(crate) type Loads = BTreeMap<Arc<str>, f32>;

#[derive(Clone, Copy, Debug)]
struct Weight {
    value: f32,
    samples: u32,
    updated_at: Millis,
}

impl Weight {
    fn decayed_value(&self, now: Millis) -> f32 {
        let age = now.since(self.updated_at).0 as f32;
        let remaining = 0.5_f32.powf(age / WEIGHT_HALF_LIFE_MS);
        DEFAULT_WEIGHT + (self.value - DEFAULT_WEIGHT) * remaining
    }
}

/// Headroom of a latency-critical job without best-effort tasks.
#[derive(Clone, Copy, Debug)]
struct Headroom {
    fast: f32,
    slow: f32,
    updated_at: Millis,
}

impl Headroom {
    fn observe(&mut self, now: Millis, sample: f32) {
        let age = now.since(self.updated_at).0.max(20) as f32;
        self.fast += (sample - self.fast) * (1.0 - (-age / FAST_AVERAGE_MS).exp());
        self.slow += (sample - self.slow) * (1.0 - (-age / SLOW_AVERAGE_MS).exp());
        self.updated_at = now;
    }

    /// Extrapolates the headroom to the near future, assuming that it does not rise.
    fn forecast(&self) -> f32 {
        let trend = (self.fast - self.slow) * TREND_FACTOR;
        (self.fast + trend.min(0.0)).max(MIN_HEADROOM)
    }
}

/// Sample taken from the report of one latency-critical task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    /// Job that the task belongs to.
    pub(crate) job: JobId,
    /// Image that the task runs.
    pub(crate) image: &'a Arc<str>,
    /// Tail latency as a share of the latency target.
    pub(crate) ratio: f32,
    /// Best-effort load on the same worker.
    pub(crate) loads: &'a Loads,
    /// Whether best-effort tasks started so recently that their interference does not show fully.
    pub(crate) is_ramping: bool,
    /// Whether no best-effort task stopped or slowed down so recently that its interference still
    /// shows.
    pub(crate) is_settled: bool,
}

/// Interference weights of all pairs of images and headrooms of all latency-critical jobs.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    headrooms: HashMap<JobId, Headroom>,
    /// Weights by latency-critical image, then by best-effort image.
    weights: HashMap<Arc<str>, HashMap<Arc<str>, Weight>>,
}

impl InterferenceModel {
    /// Returns the weights as records for a later owner.
    pub(crate) fn records(&self, now: Millis) -> Vec<InterferenceRecord> {
        let pairs = self.weights.iter().flat_map(|(critical_image, weights)| {
            let weights = weights.iter();
            weights.map(move |(image, weight)| (critical_image, image, weight))
        });
        let records = pairs.map(
            |(critical_image, best_effort_image, weight)| InterferenceRecord {
                best_effort_image: Arc::clone(best_effort_image),
                critical_image: Arc::clone(critical_image),
                value: weight.decayed_value(now),
                samples: weight.samples,
            },
        );
        records.collect()
    }

    /// Restores the weights that an earlier owner stored.
    pub(crate) fn restore(&mut self, now: Millis, records: Vec<InterferenceRecord>) {
        for record in records {
            let weight = Weight {
                value: record.value.clamp(0.0, MAX_WEIGHT),
                samples: record.samples,
                updated_at: now,
            };
            let weights = self.weights.entry(record.critical_image).or_default();
            weights.insert(record.best_effort_image, weight);
        }
    }

    /// Removes the headroom of a job that has ended.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.headrooms.remove(&job);
    }

    /// Returns the current headroom of a latency-critical job without best-effort tasks.
    pub(crate) fn headroom(&self, job: JobId) -> f32 {
        self.headrooms
            .get(&job)
            .map_or(DEFAULT_HEADROOM, |h| h.fast)
    }

    /// Returns the weight of a best-effort image beside a latency-critical one.
    pub(crate) fn weight(
        &self,
        now: Millis,
        best_effort_image: &Arc<str>,
        critical_image: &Arc<str>,
    ) -> f32 {
        self.known_weight(best_effort_image, critical_image)
            .map_or(DEFAULT_WEIGHT, |weight| weight.decayed_value(now))
    }

    fn known_weight(
        &self,
        best_effort_image: &Arc<str>,
        critical_image: &Arc<str>,
    ) -> Option<&Weight> {
        self.weights.get(critical_image)?.get(best_effort_image)
    }

    /// Returns whether a best-effort image is known to interfere little with a latency-critical
    /// one.
    pub(crate) fn is_harmless(
        &self,
        now: Millis,
        best_effort_image: &Arc<str>,
        critical_image: &Arc<str>,
    ) -> bool {
        let weight = self.known_weight(best_effort_image, critical_image);
        weight.is_some_and(|w| {
            w.samples >= MIN_KNOWN_SAMPLES && w.decayed_value(now) < MAX_HARMLESS_WEIGHT
        })
    }

    /// Returns the headroom that best-effort load is expected to take from a latency-critical
    /// image.
    pub(crate) fn total_interference(
        &self,
        now: Millis,
        critical_image: &Arc<str>,
        loads: &Loads,
    ) -> f32 {
        let parts = loads.iter();
        parts
            .map(|(best_effort_image, cores)| {
                cores * self.weight(now, best_effort_image, critical_image)
            })
            .sum()
    }

    /// Returns the headroom that a latency-critical task is expected to have in the near future
    /// beside this best-effort load.
    pub(crate) fn expected_headroom(
        &self,
        now: Millis,
        job: JobId,
        critical_image: &Arc<str>,
        loads: &Loads,
    ) -> f32 {
        let known = self.headrooms.get(&job);
        let base_headroom = known.map_or(DEFAULT_HEADROOM, Headroom::forecast);
        base_headroom - self.total_interference(now, critical_image, loads)
    }

    /// Updates the model from a sample. Weights only rise while best-effort tasks that started
    /// recently do not show their full interference, and only fall while those that stopped
    /// recently still show it.
    pub(crate) fn learn(&mut self, now: Millis, sample: &Sample<'_>) {
        let Sample {
            job, image, loads, ..
        } = *sample;
        let observed = (1.0 / sample.ratio.max(0.01)).min(MAX_HEADROOM);
        let total: f32 = loads.values().sum();
        let is_unloaded = total < MIN_LOAD_CORES;
        let is_undisturbed = is_unloaded
            || loads
                .keys()
                .all(|best_effort_image| self.is_harmless(now, best_effort_image, image));
        let interference = if is_unloaded {
            0.0
        } else {
            self.total_interference(now, image, loads)
        };
        let entry = self.headrooms.entry(job).or_insert(Headroom {
            fast: DEFAULT_HEADROOM,
            slow: DEFAULT_HEADROOM,
            updated_at: Millis(0),
        });
        let is_stale = now.since(entry.updated_at) > STALE_HEADROOM_AGE;
        let error = entry.fast - observed - interference;
        let is_masked = if error > 0.0 {
            !sample.is_settled
        } else {
            sample.is_ramping
        };
        if is_masked {
            // The error may result from best-effort tasks that have just stopped or just started.
            return;
        }
        if is_undisturbed {
            entry.observe(now, observed + interference);
        } else if is_stale {
            entry.fast -= error * STALE_HEADROOM_RATE;
            entry.slow -= error * STALE_HEADROOM_RATE;
        }
        if is_unloaded {
            return;
        }
        let rate = if error > 0.0 {
            WEIGHT_INCREASE_RATE
        } else {
            WEIGHT_DECREASE_RATE
        };
        let squares: f32 = loads.values().map(|cores| cores * cores).sum();
        for (best_effort_image, cores) in loads {
            let value = self.weight(now, best_effort_image, image);
            let change = rate * error * cores / (squares + DAMPING_CORES_SQUARED);
            let weights = self.weights.entry(Arc::clone(image)).or_default();
            let weight = weights
                .entry(Arc::clone(best_effort_image))
                .or_insert(Weight {
                    value,
                    samples: 0,
                    updated_at: now,
                });
            weight.value = (value + change).clamp(0.0, MAX_WEIGHT);
            weight.samples = weight.samples.saturating_add(1);
            weight.updated_at = now;
        }
    }
}
