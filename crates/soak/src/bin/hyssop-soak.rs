//! Command line of the randomized fault injection.

use std::path::PathBuf;

use argh::FromArgs;
use hyssop_soak::{FaultMix, RunOptions, run};

/// Runs hyssop-fleet as processes on the loopback network and injects random faults, one run per
/// seed. Exits with 1 if a guarantee was violated.
#[derive(FromArgs)]
struct Args {
    /// path of the hyssop-fleet program (default: target/release/hyssop-fleet)
    #[argh(option, default = "PathBuf::from(\"target/release/hyssop-fleet\")")]
    program: PathBuf,
    /// first seed (default: random)
    #[argh(option)]
    seed: Option<u64>,
    /// number of consecutive seeds, starting with the first (default: 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// number of faults in each run (default: 8)
    #[argh(option, default = "8")]
    faults: usize,
    /// freeze mostly the entry that owns the jobs
    #[argh(switch)]
    freeze_owners: bool,
    /// silence mostly workers, and one during the check for progress
    #[argh(switch)]
    silence_workers: bool,
    /// restart mostly workers under their identifiers, with calls in flight, and cut their agents off before
    /// or after the restart
    #[argh(switch)]
    restart_workers: bool,
    /// let jobs need tickets of an advisor that handles requests in turn, with times that the seed selects
    #[argh(switch)]
    slow_advice: bool,
    /// existing directory for log files; one file per host, opened for appending
    #[argh(option)]
    logs: Option<PathBuf>,
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let first = args
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut failed_seeds = Vec::new();
    for seed in first..first + args.seeds {
        let mut options = RunOptions::new(&args.program, seed);
        options.fault_count = args.faults;
        if args.freeze_owners {
            options.mix = FaultMix::FrozenOwners;
        } else if args.silence_workers {
            options.mix = FaultMix::SilentWorkers;
        } else if args.restart_workers {
            options.mix = FaultMix::RestartedWorkers;
        }
        options.slow_advice = args.slow_advice;
        options.fleet.log_dir.clone_from(&args.logs);
        let report = runtime.block_on(run(&options));
        println!(
            "seed {seed}: {} accepted, {} refused, {} unknown, {} tasks done, {} jobs checked for \
             progress ({} restarts of the check), {} late calls, {} broken",
            report.accepted_count,
            report.rejected_count,
            report.unknown_count,
            report.task_count,
            report.checked_count,
            report.starved_count,
            report.late_call_count,
            report.violations.len()
        );
        if !report.violations.is_empty() {
            println!("  {:?}", options.plan());
        }
        for violation in &report.violations {
            println!("  {violation}");
        }
        if !report.violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    if failed_seeds.is_empty() {
        return Ok(());
    }
    let mix = if args.freeze_owners {
        " --freeze-owners"
    } else if args.silence_workers {
        " --silence-workers"
    } else if args.restart_workers {
        " --restart-workers"
    } else {
        ""
    };
    let advice = if args.slow_advice {
        " --slow-advice"
    } else {
        ""
    };
    eprintln!("guarantees were violated; to run the seeds again:");
    for seed in &failed_seeds {
        let program = args.program.display();
        let faults = args.faults;
        eprintln!("  hyssop-soak --program {program} --seed {seed} --faults {faults}{mix}{advice}");
    }
    std::process::exit(1);
}
