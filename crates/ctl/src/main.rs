//! `hyssopctl`, the operators' command line of hyssoptrack.

use std::io::{self, IsTerminal};
use std::process::ExitCode;

use eyre::WrapErr;
use hyssop_ctl::{Console, Env};

fn main() -> eyre::Result<ExitCode> {
    let args: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let is_terminal = err.is_terminal();
    let mut console = Console::new(&mut out, &mut err).with_live_progress(is_terminal);
    let exit = runtime.block_on(hyssop_ctl::run(&args, Env::from_process(), &mut console));
    Ok(ExitCode::from(exit.code()))
}
