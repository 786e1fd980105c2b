//! Wait until a failure domain reaches a phase, with progress.

use std::time::Duration;

use hyssop_core::api::{ApiError, DomainPhase, DomainStatus, ErrorCode};
use hyssop_core::{DomainName, Version};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Context;
use super::domains::fetch_statuses;
use crate::errors::{CtlError, Result};

/// Interval of the polls; phases change within a second or two.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any entry after which a wait gives up. An entry that dies is replaced or its cells
/// are taken over well within it.
const OUTAGE_LIMIT: Duration = Duration::from_secs(30);

/// What to wait for.
#[derive(Debug)]
pub(crate) struct WaitOptions {
    pub(crate) domain: DomainName,
    /// Version of the change that is waited for.
    pub(crate) version: Version,
    pub(crate) target_phase: DomainPhase,
    pub(crate) limit: Option<Duration>,
}

/// Waits and returns the last status with the seconds that it took.
///
/// # Errors
///
/// Returns [`CtlError::Replaced`] when another operator changes the domain meanwhile,
/// [`CtlError::WaitLimit`] when the limit passes, and the error of the last poll when no entry
/// has answered for [`OUTAGE_LIMIT`].
pub(crate) async fn wait_for_phase(
    ctx: &mut Context<'_, '_>,
    wait: &WaitOptions,
) -> Result<(DomainStatus, u64)> {
    let start = Instant::now();
    let mut last_reply_at = start;
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let state = match fetch_status(ctx, &wait.domain).await {
            Ok(status) => {
                last_reply_at = Instant::now();
                if let Some(outcome) = check_completion(wait, &status) {
                    ctx.console.end_progress();
                    outcome?;
                    return Ok((status, start.elapsed().as_secs()));
                }
                format_progress(&status)
            }
            Err(error) if last_reply_at.elapsed() >= OUTAGE_LIMIT || !is_transient(&error) => {
                return Err(error);
            }
            Err(_) => format!("{}: no entry answers", wait.domain),
        };
        ctx.console.show_progress(&state, start.elapsed().as_secs());
        check_limit(wait, start, &state)?;
    }
}

/// Tells whether a failed poll may succeed later: no entry answered, or the one that did was
/// not able to.
const fn is_transient(error: &CtlError) -> bool {
    match error {
        CtlError::Unreachable(_) => true,
        CtlError::Api { error, .. } => matches!(error.code.status(), 429 | 503),
        _ => false,
    }
}

async fn fetch_status(ctx: &mut Context<'_, '_>, domain: &DomainName) -> Result<DomainStatus> {
    let list = fetch_statuses(ctx).await?;
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
fn check_completion(wait: &WaitOptions, status: &DomainStatus) -> Option<Result<()>> {
    if status.version > wait.version {
        return Some(Err(CtlError::Replaced {
            domain: wait.domain.clone(),
            expected: wait.version,
            current: status.version,
        }));
    }
    (status.version == wait.version && status.phase == wait.target_phase).then_some(Ok(()))
}

fn check_limit(wait: &WaitOptions, start: Instant, state: &str) -> Result<()> {
    match wait.limit {
        Some(limit) if start.elapsed() >= limit => Err(CtlError::WaitLimit {
            seconds: limit.as_secs(),
            state: state.to_owned(),
        }),
        _ => Ok(()),
    }
}

fn format_progress(status: &DomainStatus) -> String {
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
