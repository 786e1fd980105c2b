//! Wait until a failure domain reaches a phase, with progress.

use std::time::Duration;

use hyssop_core::api::{ApiError, DomainPhase, DomainStatus, ErrorCode};
use hyssop_core::{DomainName, Version};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Context;
use super::domains::statuses;
use crate::errors::{CtlError, Result};

/// Interval of the polls; phases change within a second or two.
const POLL: Duration = Duration::from_millis(500);
/// Time without any entry after which a wait gives up. An entry that dies is replaced or its cells
/// are taken over well within it.
const OUTAGE_LIMIT: Duration = Duration::from_secs(30);

/// What to wait for.
#[derive(Debug)]
pub(crate) struct Wait {
    pub(crate) domain: DomainName,
    /// Version of the change that is waited for.
    pub(crate) version: Version,
    pub(crate) goal: DomainPhase,
    pub(crate) limit: Option<Duration>,
}

/// Waits and returns the last status with the seconds that it took.
///
/// # Errors
///
/// Returns [`CtlError::Replaced`] when another operator changes the domain meanwhile,
/// [`CtlError::WaitLimit`] when the limit passes, and the error of the last poll when no entry
/// has answered for [`OUTAGE_LIMIT`].
pub(crate) async fn wait(ctx: &mut Context<'_, '_>, wait: &Wait) -> Result<(DomainStatus, u64)> {
    let start = Instant::now();
    let mut heard = start;
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let state = match poll(ctx, &wait.domain).await {
            Ok(status) => {
                heard = Instant::now();
                if let Some(done) = judge(wait, &status) {
                    ctx.console.end_progress();
                    done?;
                    return Ok((status, start.elapsed().as_secs()));
                }
                describe(&status)
            }
            Err(error) if heard.elapsed() >= OUTAGE_LIMIT || !is_passing(&error) => {
                return Err(error);
            }
            Err(_) => format!("{}: no entry answers", wait.domain),
        };
        ctx.console.progress(&state, start.elapsed().as_secs());
        check_limit(wait, start, &state)?;
    }
}

/// Tells whether a failed poll may succeed later: no entry answered, or the one that did was
/// not able to.
const fn is_passing(error: &CtlError) -> bool {
    match error {
        CtlError::Unreachable(_) => true,
        CtlError::Api { error, .. } => matches!(error.code.status(), 429 | 503),
        _ => false,
    }
}

async fn poll(ctx: &mut Context<'_, '_>, domain: &DomainName) -> Result<DomainStatus> {
    let list = statuses(ctx).await?;
    let found = list
        .domains
        .into_iter()
        .find(|status| &status.domain == domain);
    found.ok_or_else(|| {
        let message = format!("failure domain {domain} is not listed any more");
        CtlError::refused(ApiError::new(ErrorCode::NotFound, message))
    })
}

/// Returns how the wait ends, or `None` while it goes on. An entry that is behind shows an older
/// version; its phase says nothing about this change.
fn judge(wait: &Wait, status: &DomainStatus) -> Option<Result<()>> {
    if status.version > wait.version {
        return Some(Err(CtlError::Replaced {
            domain: wait.domain.clone(),
            waited: wait.version,
            found: status.version,
        }));
    }
    (status.version == wait.version && status.phase == wait.goal).then_some(Ok(()))
}

fn check_limit(wait: &Wait, start: Instant, state: &str) -> Result<()> {
    match wait.limit {
        Some(limit) if start.elapsed() >= limit => Err(CtlError::WaitLimit {
            seconds: limit.as_secs(),
            state: state.to_owned(),
        }),
        _ => Ok(()),
    }
}

fn describe(status: &DomainStatus) -> String {
    format!(
        "{}: {}, {} running, {} doubtful, {} backend servers up, {} leaving",
        status.domain,
        status.phase,
        status.running,
        status.unconfirmed,
        status.members_up,
        status.members_leaving,
    )
}
