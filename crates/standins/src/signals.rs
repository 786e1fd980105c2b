//! Signals that stop the programs.

use tokio::signal::unix::{SignalKind, signal};

use crate::Result;

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns [`crate::Error::Signal`] if the signals cannot be caught.
pub async fn wait_for_stop_signal() -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
