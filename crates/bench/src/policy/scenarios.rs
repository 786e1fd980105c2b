//! What happens to the fleet during a run. Times are seconds from the start of the run.

use hyssop_core::{DomainState, Millis};

use super::fleets::state_of;
use super::workers::Weather;

/// Times at which a domain leaves and comes back, and at which its return is taken for complete.
const LEAVES: u64 = 120;
const RETURNS: u64 = 210;
const SETTLED: u64 = 270;
/// Times at which a worker begins and ceases to fail what it starts.
const FAILS: (u64, u64) = (90, 210);
/// Times at which a host dies and is replaced.
const DIES: (u64, u64) = (150, 210);
/// Period and length of the waves.
const WAVE: (u64, u64) = (80, 20);

/// Kind of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scenario {
    /// Only the load shifts.
    Calm,
    /// Noisy jobs arrive in waves and are noisier then.
    Waves,
    /// One worker fails all that it starts, and one host dies and is replaced.
    Failing,
    /// Work and noise are far from what is declared or usual.
    Declarations,
    /// A failure domain leaves and returns.
    Domain,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 5] = [
        Self::Calm,
        Self::Waves,
        Self::Failing,
        Self::Declarations,
        Self::Domain,
    ];

    fn in_wave(self, at: Millis) -> bool {
        self == Self::Waves && at.0 / 1_000 % WAVE.0 < WAVE.1
    }

    /// Returns the conditions at a time. The load shifts slowly and once suddenly.
    pub(super) fn weather(self, at: Millis) -> Weather {
        let seconds = at.0 as f64 / 1_000.0;
        let slow = 1.0 + 0.25 * (seconds / 70.0).sin();
        let shift = if (180.0..240.0).contains(&seconds) {
            1.2
        } else {
            1.0
        };
        Weather {
            load: slow * shift,
            wave: if self.in_wave(at) { 2.0 } else { 1.0 },
        }
    }

    /// Returns the factor on the arrivals of a kind.
    pub(super) fn arrivals(self, at: Millis, waves: bool) -> f64 {
        match (self, waves) {
            // Four times as many in a quarter of the time, and none in between.
            (Self::Waves, true) if self.in_wave(at) => 4.0,
            (Self::Waves, true) => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the factors between what a job does and what it declares, from a draw in 0 to 1.
    pub(super) fn misstatement(self, draw: f64) -> (f64, f64) {
        if self != Self::Declarations {
            return (1.0, 1.0);
        }
        // From a fifth to five times the declared work, and up to twice the usual noise. The
        // mean of the work factor is 1.49.
        (5.0_f64.powf(draw * 2.0 - 1.0), 0.5 + 1.5 * draw)
    }

    /// Returns the change of a domain's state that operators make.
    pub(super) fn domain(self, second: u64) -> Option<DomainState> {
        let change = self == Self::Domain && (second == LEAVES || second == RETURNS);
        change.then(|| state_of(second == LEAVES))
    }

    /// Returns the time at which the domain leaves.
    pub(super) fn leaves(self) -> Option<u64> {
        (self == Self::Domain).then_some(LEAVES)
    }

    /// Returns the time at which the return is taken for complete.
    pub(super) fn settled(self) -> Option<u64> {
        (self == Self::Domain).then_some(SETTLED)
    }

    /// Returns whether a worker begins or ceases to fail its tasks.
    pub(super) fn failing(self, second: u64) -> Option<bool> {
        let change = self == Self::Failing && (second == FAILS.0 || second == FAILS.1);
        change.then_some(second == FAILS.0)
    }

    /// Returns whether a host dies or is replaced.
    pub(super) fn dead(self, second: u64) -> Option<bool> {
        let change = self == Self::Failing && (second == DIES.0 || second == DIES.1);
        change.then_some(second == DIES.0)
    }
}
