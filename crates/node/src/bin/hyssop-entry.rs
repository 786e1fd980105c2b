//! `hyssop-entry`: serves callers and operators, and owns cells.

use hyssop_node::daemons;
use hyssop_node::settings::EntrySettings;

fn main() -> eyre::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let settings = EntrySettings::load(&args, &|name| std::env::var(name).ok());
    let settings = settings.unwrap_or_else(|exit| exit.terminate());
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(daemons::run_entry(settings))?;
    Ok(())
}
