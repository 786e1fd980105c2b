//! Paths of the built programs.

use std::path::PathBuf;

use eyre::{Result, bail, eyre};

/// Returns the path of a program of this workspace in `target/<profile>`. That is the directory of
/// the current executable or, for a test, the parent directory.
///
/// # Errors
///
/// Returns an error if the program was not built.
pub fn program(name: &str) -> Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let dirs = current_exe.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(name));
    match paths.find(|path| path.is_file()) {
        Some(path) => Ok(path),
        None => bail!(
            "{name} is not built near {}; run `cargo build --workspace --bins` with the same profile",
            current_exe
                .parent()
                .ok_or_else(|| eyre!("no directory"))?
                .display()
        ),
    }
}
