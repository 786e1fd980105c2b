//! Where the built programs are.

use std::path::PathBuf;

use eyre::{Result, bail, eyre};

/// Returns the path of a program of this workspace, in `target/<profile>`: beside this program or,
/// for a test, beside the directory of the test.
///
/// # Errors
///
/// Returns an error if the program was not built.
pub fn program(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(name));
    match paths.find(|path| path.is_file()) {
        Some(path) => Ok(path),
        None => bail!(
            "{name} is not built near {}; run `cargo build --workspace --bins` with the same profile",
            own.parent().ok_or_else(|| eyre!("no directory"))?.display()
        ),
    }
}
