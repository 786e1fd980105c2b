//! Execution of the commands, one module for each subject.

mod documents;
mod domains;
mod fleet;
mod jobs;
mod quotas;
mod waits;

use crate::args::{Args, Command, DomainCommand, ExplainCommand, JobCommand, QuotaCommand};
use crate::clients::Client;
use crate::consoles::Console;
use crate::errors::Result;
use crate::settings::{Env, client_options};

/// Client and console, which every command uses.
pub(crate) struct Context<'a, 'b> {
    pub(crate) client: Client,
    pub(crate) console: &'a mut Console<'b>,
}

pub(crate) async fn run(args: Args, env: Env, console: &mut Console<'_>) -> Result<()> {
    if let Command::Version(_) = args.command {
        return fleet::version(console);
    }
    let client = Client::new(client_options(&args, env)?)?;
    let mut ctx = Context { client, console };
    dispatch(&mut ctx, args.command).await
}

async fn dispatch(ctx: &mut Context<'_, '_>, command: Command) -> Result<()> {
    match command {
        Command::Apply(args) => documents::apply(ctx, &args).await,
        Command::Get(args) => documents::get(ctx, &args).await,
        Command::List(_) => documents::list(ctx).await,
        Command::History(args) => documents::history(ctx, &args).await,
        Command::Remove(args) => documents::remove(ctx, &args).await,
        Command::Domain(args) => match args.command {
            DomainCommand::List(_) => domains::list(ctx).await,
            DomainCommand::Out(args) => domains::out(ctx, &args).await,
            DomainCommand::Back(args) => domains::back(ctx, &args).await,
        },
        Command::Quota(args) => match args.command {
            QuotaCommand::List(_) => quotas::list(ctx).await,
            QuotaCommand::Set(args) => quotas::set(ctx, &args).await,
        },
        Command::Submit(args) => jobs::submit(ctx, args).await,
        Command::Jobs(args) => jobs::list(ctx, &args).await,
        Command::Job(args) => match args.command {
            JobCommand::Show(args) => jobs::show(ctx, &args).await,
        },
        Command::Cancel(args) => jobs::cancel(ctx, &args).await,
        Command::Result(args) => jobs::result(ctx, &args).await,
        Command::Status(_) => fleet::status(ctx).await,
        Command::Worker(args) => fleet::worker(ctx, &args).await,
        Command::Explain(args) => match args.command {
            ExplainCommand::Job(args) => fleet::explain(ctx, "job", args.name.as_str()).await,
            ExplainCommand::Worker(args) => fleet::explain(ctx, "worker", args.name.as_str()).await,
            ExplainCommand::Service(args) => {
                fleet::explain(ctx, "service", args.name.as_str()).await
            }
        },
        Command::Ticket(args) => jobs::ticket(ctx, &args).await,
        Command::Version(_) => fleet::version(ctx.console),
    }
}
