//! Scenarios: load changes, faults and operator actions during a run. Times are seconds from the
//! start of the run.

use hyssop_core::{DomainState, Millis};

use super::fleets::domain_state;
use super::workers::Conditions;

/// Time at which operators take a domain out of service.
const DOMAIN_OUT_SECOND: u64 = 120;
/// Time at which operators put the domain back into service.
const DOMAIN_IN_SECOND: u64 = 210;
/// End of the period for which the work during the outage and the recovery is counted.
const RECOVERED_SECOND: u64 = 270;
/// Start and end of the period in which one worker fails all batch tasks.
const FAILING_SECONDS: (u64, u64) = (90, 210);
/// Times at which one worker goes down and at which its replacement is up.
const WORKER_DOWN_SECONDS: (u64, u64) = (150, 210);
/// Period and length of the waves of jobs.
const WAVE_SECONDS: (u64, u64) = (80, 20);

/// Faults and load changes of a run. The names are printed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Only the request load changes.
    Calm,
    /// Some kinds of jobs arrive in waves, during which batch tasks interfere twice as much.
    Waves,
    /// One worker fails all batch tasks for a time, and another goes down and is replaced.
    Failing,
    /// Work and interference of jobs differ widely from what they declare or usually cause.
    Declarations,
    /// Operators take a failure domain out of service and put it back.
    Domain,
}

impl Scenario {
    /// All scenarios in the order of the table.
    pub const ALL: [Self; 5] = [
        Self::Calm,
        Self::Waves,
        Self::Failing,
        Self::Declarations,
        Self::Domain,
    ];

    fn is_in_wave(self, at: Millis) -> bool {
        self == Self::Waves && at.0 / 1_000 % WAVE_SECONDS.0 < WAVE_SECONDS.1
    }

    /// Returns the conditions at a time. The load follows a slow sine, with a step of 20 percent
    /// for one minute.
    pub(super) fn conditions(self, at: Millis) -> Conditions {
        let seconds = at.0 as f64 / 1_000.0;
        let drift = 1.0 + 0.25 * (seconds / 70.0).sin();
        let step = if (180.0..240.0).contains(&seconds) {
            1.2
        } else {
            1.0
        };
        Conditions {
            load: drift * step,
            noise_factor: if self.is_in_wave(at) { 2.0 } else { 1.0 },
        }
    }

    /// Returns the factor on the arrival rate of a kind of job.
    pub(super) fn arrival_factor(self, at: Millis, has_waves: bool) -> f64 {
        match (self, has_waves) {
            // Four times as many in a quarter of the time, and none in between.
            (Self::Waves, true) if self.is_in_wave(at) => 4.0,
            (Self::Waves, true) => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the factors on the declared work and on the usual interference of a job, from a
    /// random number in 0 to 1.
    pub(super) fn declaration_errors(self, draw: f64) -> (f64, f64) {
        if self != Self::Declarations {
            return (1.0, 1.0);
        }
        // From a fifth to five times the declared work, and from half to twice the usual
        // interference. The mean of the work factor is 1.49.
        (5.0_f64.powf(draw * 2.0 - 1.0), 0.5 + 1.5 * draw)
    }

    /// Returns the state that operators give the domain in this second, if they change it.
    pub(super) fn domain_change(self, second: u64) -> Option<DomainState> {
        let has_change =
            self == Self::Domain && (second == DOMAIN_OUT_SECOND || second == DOMAIN_IN_SECOND);
        has_change.then(|| domain_state(second == DOMAIN_OUT_SECOND))
    }

    /// Returns the time at which the domain goes out of service.
    pub(super) fn domain_out_second(self) -> Option<u64> {
        (self == Self::Domain).then_some(DOMAIN_OUT_SECOND)
    }

    /// Returns the end of the period for which the work during the outage is counted.
    pub(super) fn recovered_second(self) -> Option<u64> {
        (self == Self::Domain).then_some(RECOVERED_SECOND)
    }

    /// Returns whether the failing worker fails its tasks from this second on, if that changes.
    pub(super) fn worker_failure_change(self, second: u64) -> Option<bool> {
        let has_change =
            self == Self::Failing && (second == FAILING_SECONDS.0 || second == FAILING_SECONDS.1);
        has_change.then_some(second == FAILING_SECONDS.0)
    }

    /// Returns whether the crashing worker is down from this second on, if that changes.
    pub(super) fn worker_down_change(self, second: u64) -> Option<bool> {
        let has_change = self == Self::Failing
            && (second == WORKER_DOWN_SECONDS.0 || second == WORKER_DOWN_SECONDS.1);
        has_change.then_some(second == WORKER_DOWN_SECONDS.0)
    }
}
