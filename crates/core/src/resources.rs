//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MiB.
    pub mem: u32,
    /// Accelerators.
    #[serde(default)]
    pub accel: u32,
}

impl Resources {
    /// Creates an amount from thousandths of a core, MiB of memory and accelerators.
    #[must_use]
    pub const fn new(cpu: u32, mem: u32, accel: u32) -> Self {
        Self { cpu, mem, accel }
    }

    /// Tells whether `self` fits in `room` in every resource.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.mem <= room.mem && self.accel <= room.accel
    }

    /// Adds another amount, or returns `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu: self.cpu.checked_add(other.cpu)?,
            mem: self.mem.checked_add(other.mem)?,
            accel: self.accel.checked_add(other.accel)?,
        })
    }

    /// Subtracts another amount, with zero as the least result in each resource.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// Tells whether nothing is asked for.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.cpu == 0 && self.mem == 0 && self.accel == 0
    }
}
