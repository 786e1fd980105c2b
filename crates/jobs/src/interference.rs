//! How much fillers slow serving tasks, learned by pairs of images.
//!
//! The tail latency of a serving task, as a share of its target, is taken as the reciprocal of its
//! headroom: the headroom of its job without fillers, less the sum of weight times cores, where the
//! cores are those that fillers of one image use, on a worker of 16 cores. Reports showed that tasks
//! of one job have one headroom, which swings with the load of their users, and that the same fillers
//! take about the same headroom at low load and at high load. Reports lag by half a second and the
//! weights change within seconds, so that old ones count less and less.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::{InterferenceRecord, JobId};

/// Headroom of a serving job of which nothing is known, about the median of those that were seen.
const DEFAULT_HEADROOM: f32 = 2.6;
/// Weight of a pair of which nothing is known. One filler of two cores then fits beside a serving
/// task at a medium load, and a second one waits for the first one's effect.
const DEFAULT_WEIGHT: f32 = 0.25;
/// Share of the error that goes into the weights: harm is learned faster than harmlessness.
const WEIGHT_INCREASE_RATE: f32 = 0.8;
/// The same for errors downwards.
const WEIGHT_DECREASE_RATE: f32 = 0.4;
/// Keeps the correction finite where fillers use next to nothing, in cores squared.
const DAMPING_CORES_SQUARED: f32 = 0.2;
/// Fillers that use less, in cores, count as absent.
const MIN_LOAD_CORES: f32 = 0.1;
/// Highest weight.
const MAX_WEIGHT: f32 = 8.0;
/// Time after which half of the difference from [`FIRST_WEIGHT`] is forgotten.
const WEIGHT_HALF_LIFE_MS: f32 = 40_000.0;
/// Samples after which a pair counts as known.
const MIN_KNOWN_SAMPLES: u32 = 3;
/// Weight up to which a known pair counts as harmless.
const MAX_HARMLESS_WEIGHT: f32 = 0.12;
/// Time over which the headroom of a job is averaged. Its tasks report every 0.4 s each.
const FAST_AVERAGE_MS: f32 = 500.0;
/// Time of a second average; the difference of the two shows where the headroom is going.
const SLOW_AVERAGE_MS: f32 = 2_000.0;
/// How far the difference is carried on: a filler runs for about two seconds, and the averages lie
/// one and a half seconds apart.
const TREND_FACTOR: f32 = 1.3;
/// Age of the headroom from which an unexpected tail latency may come from the load as well as from
/// the fillers.
const STALE_HEADROOM_AGE: Millis = Millis(1_200);
/// Share of an error that goes into a headroom of that age.
const STALE_HEADROOM_RATE: f32 = 0.1;
/// Highest headroom that is taken from a report; a task that has just started reports next to no
/// latency.
const MAX_HEADROOM: f32 = 4.5;
/// Least headroom in estimates, so that they stay finite.
const MIN_HEADROOM: f32 = 0.1;

/// Cores that fillers use on a worker, by image.
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

/// Headroom of a serving job without fillers.
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

    /// Returns the headroom that is expected soon, at most the present one.
    fn forecast(&self) -> f32 {
        let trend = (self.fast - self.slow) * TREND_FACTOR;
        (self.fast + trend.min(0.0)).max(MIN_HEADROOM)
    }
}

/// A report of one serving task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    /// Job of the task.
    pub(crate) job: JobId,
    /// What it runs.
    pub(crate) image: &'a Arc<str>,
    /// Tail latency as a share of the target.
    pub(crate) ratio: f32,
    /// Fillers beside it.
    pub(crate) loads: &'a Loads,
    /// Whether fillers that started a moment ago do not show their whole effect yet.
    pub(crate) is_ramping: bool,
    /// Whether no filler left so short a time ago that its effect still shows.
    pub(crate) is_settled: bool,
}

/// Estimates of all pairs and of all serving jobs.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    headrooms: HashMap<JobId, Headroom>,
    weights: HashMap<(Arc<str>, Arc<str>), Weight>,
}

impl InterferenceModel {
    /// Returns what a later owner starts with.
    pub(crate) fn records(&self, now: Millis) -> Vec<InterferenceRecord> {
        let weights = self.weights.iter();
        let record =
            |((best_effort_image, critical_image), weight): (&(Arc<str>, Arc<str>), &Weight)| {
                InterferenceRecord {
                    best_effort_image: Arc::clone(best_effort_image),
                    critical_image: Arc::clone(critical_image),
                    value: weight.decayed_value(now),
                    samples: weight.samples,
                }
            };
        weights.map(record).collect()
    }

    /// Takes over what an earlier owner learned.
    pub(crate) fn restore(&mut self, now: Millis, records: Vec<InterferenceRecord>) {
        for record in records {
            let weight = Weight {
                value: record.value.clamp(0.0, MAX_WEIGHT),
                samples: record.samples,
                updated_at: now,
            };
            self.weights
                .insert((record.best_effort_image, record.critical_image), weight);
        }
    }

    /// Forgets a job that has ended.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.headrooms.remove(&job);
    }

    /// Returns the headroom of a serving job without fillers.
    pub(crate) fn headroom(&self, job: JobId) -> f32 {
        self.headrooms
            .get(&job)
            .map_or(DEFAULT_HEADROOM, |h| h.fast)
    }

    /// Returns the weight of a filler image beside a serving one.
    pub(crate) fn weight(
        &self,
        now: Millis,
        best_effort_image: &Arc<str>,
        critical_image: &Arc<str>,
    ) -> f32 {
        let pair = (Arc::clone(best_effort_image), Arc::clone(critical_image));
        self.weights
            .get(&pair)
            .map_or(DEFAULT_WEIGHT, |weight| weight.decayed_value(now))
    }

    /// Returns whether a filler image is known to be harmless beside a serving one.
    pub(crate) fn is_harmless(
        &self,
        now: Millis,
        best_effort_image: &Arc<str>,
        critical_image: &Arc<str>,
    ) -> bool {
        let pair = (Arc::clone(best_effort_image), Arc::clone(critical_image));
        let weight = self.weights.get(&pair);
        weight.is_some_and(|w| {
            w.samples >= MIN_KNOWN_SAMPLES && w.decayed_value(now) < MAX_HARMLESS_WEIGHT
        })
    }

    /// Returns the headroom that fillers are expected to take from a serving image.
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

    /// Returns the headroom that a serving task is expected to have beside fillers soon.
    pub(crate) fn expected_headroom(
        &self,
        now: Millis,
        job: JobId,
        critical_image: &Arc<str>,
        loads: &Loads,
    ) -> f32 {
        let known = self.headrooms.get(&job);
        let own = known.map_or(DEFAULT_HEADROOM, Headroom::forecast);
        own - self.total_interference(now, critical_image, loads)
    }

    /// Learns from a report. While fillers that started a moment ago do not show their whole effect
    /// yet, weights only rise; while those that left a moment ago still do, they only fall.
    pub(crate) fn learn(&mut self, now: Millis, sample: &Sample<'_>) {
        let Sample {
            job, image, loads, ..
        } = *sample;
        let observed = (1.0 / sample.ratio.max(0.01)).min(MAX_HEADROOM);
        let total: f32 = loads.values().sum();
        let is_alone = total < MIN_LOAD_CORES;
        let is_clean = is_alone
            || loads
                .keys()
                .all(|best_effort_image| self.is_harmless(now, best_effort_image, image));
        let interference = if is_alone {
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
            // A filler that has left a moment ago still shows, and one that has come does not yet.
            return;
        }
        if is_clean {
            entry.observe(now, observed + interference);
        } else if is_stale {
            entry.fast -= error * STALE_HEADROOM_RATE;
            entry.slow -= error * STALE_HEADROOM_RATE;
        }
        if is_alone {
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
            let pair = (Arc::clone(best_effort_image), Arc::clone(image));
            let weight = self.weights.entry(pair).or_insert(Weight {
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
