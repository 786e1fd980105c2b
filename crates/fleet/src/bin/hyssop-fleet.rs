//! Daemon of hyssoptrack on the users' platform: entry, agent, and a check of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use hyssop_fleet::{agents, entries};
use hyssop_node::settings::LogSettings;
use hyssop_node::telemetry::init_logs;
use hyssop_platform::{Settings, settings_path};

/// Schedules batch work beside latency-critical services. Settings are read from the platform's
/// settings file.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Entry(EntryArgs),
    Agent(AgentArgs),
    Check(CheckArgs),
}

/// serves callers, and owns all jobs while it is the elected owner
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
struct EntryArgs {}

/// runs beside one worker and controls it
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
struct AgentArgs {}

/// reads a settings file, prints the settings that a daemon would use, and exits with 1 if the file
/// is invalid
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// path of the file; the platform's settings file if omitted
    #[argh(positional)]
    file: Option<PathBuf>,
}

/// Prints the settings that a daemon would read from a file.
fn check(args: CheckArgs) -> eyre::Result<()> {
    let path = args.file.unwrap_or_else(settings_path);
    let settings = Settings::load(&path)?;
    let address = |address: Option<SocketAddr>| {
        address.map_or_else(|| "none".to_owned(), |address| address.to_string())
    };
    println!(
        "host                  {} in {}",
        settings.node, settings.domain
    );
    println!("own processes         {}", settings.peer_address);
    println!("callers               {}", address(settings.front_address));
    println!("readiness             {}", address(settings.ready_address));
    println!(
        "reports of the worker {}",
        address(settings.control_address)
    );
    println!("store                 {}", settings.store_address);
    println!("advice                {}", address(settings.advice_address));
    println!(
        "machines              {}",
        address(settings.machines_address)
    );
    println!("processor             {} of a core", settings.cpu_share);
    println!("grace period          {} s", settings.grace_s);
    println!("longest lease         {} ms", settings.max_lease);
    Ok(())
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.role {
        Role::Check(args) => check(args),
        Role::Entry(EntryArgs {}) => run(entries::run),
        Role::Agent(AgentArgs {}) => run(agents::run),
    }
}

/// Runs a daemon with the settings from the platform's settings file.
fn run<F: Future<Output = eyre::Result<()>>>(daemon: impl Fn(Settings) -> F) -> eyre::Result<()> {
    init_logs(&LogSettings::default())?;
    let settings = Settings::load(&settings_path())?;
    // A process may use only a part of one core, so that one thread is enough.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(daemon(settings))
}
