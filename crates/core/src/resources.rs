//! Amounts of processor, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Amounts of processor, memory and accelerators, either of a worker or needed by a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MiB.
    pub mem: u32,
    /// Number of accelerators; 0 if absent.
    #[serde(default)]
    pub accel: u32,
}

impl Resources {
    /// Creates amounts from thousandths of a core, MiB of memory and a number of accelerators.
    #[must_use]
    pub const fn new(cpu: u32, mem: u32, accel: u32) -> Self {
        Self { cpu, mem, accel }
    }

    /// Returns whether `self` is at most `available` in every resource.
    #[must_use]
    pub const fn fits(self, available: Self) -> bool {
        self.cpu <= available.cpu && self.mem <= available.mem && self.accel <= available.accel
    }

    /// Adds each resource; returns `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_add(other.cpu)?,
            mem: self.mem.checked_add(other.mem)?,
            accel: self.accel.checked_add(other.accel)?,
        })
    }

    /// Subtracts each resource, with 0 as the lowest result.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// Returns whether every resource is 0.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.cpu == 0 && self.mem == 0 && self.accel == 0
    }
}
