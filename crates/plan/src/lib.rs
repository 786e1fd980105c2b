//! Decisions of a cell's owner: placement, protection, drains and recovery.
//!
//! [`Cell`] is a pure core: the driver passes the time and what happened, and carries out what
//! the core returns. The same inputs give the same outputs byte for byte.

mod io;

pub use io::{CellOptions, Input, Output};

use hyssop_core::{CellState, Millis};

/// State of one cell, owned or watched.
#[derive(Debug)]
pub struct Cell {
    options: CellOptions,
}

impl Cell {
    /// Creates the core of a cell that knows nothing yet.
    #[must_use]
    pub fn new(options: CellOptions) -> Self {
        Self { options }
    }

    /// Takes in what happened and returns what is to be done.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        let _ = (now, inputs, &self.options);
        Vec::new()
    }

    /// Returns the cell's state if this process owns it.
    #[must_use]
    pub fn state(&self) -> Option<CellState> {
        None
    }
}
