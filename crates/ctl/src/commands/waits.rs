//! Waits until a failure domain reaches a phase, and shows the progress.

use std::time::Duration;

use hyssop_core::api::{ApiError, DomainPhase, DomainStatus, ErrorCode};
use hyssop_core::{DomainName, Version};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Context;
use super::domains::fetch_statuses;
use crate::errors::{CtlError, Result};

/// Interval of the status requests. Phases change within a second or two.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a reply after which a wait fails. The failover from a failed entry takes far less.
const OUTAGE_LIMIT: Duration = Duration::from_secs(30);

/// The awaited phase of a domain.
#[derive(Debug)]
pub(crate) struct WaitOptions {
    pub(crate) domain: DomainName,
    /// Version of the change whose effect is awaited.
    pub(crate) version: Version,
    pub(crate) target_phase: DomainPhase,
    /// Limit of the wait; none waits until the phase is reached.
    pub(crate) limit: Option<Duration>,
}

/// Waits for the phase. Returns the last status and the duration of the wait in seconds.
///
/// # Errors
///
/// Returns [`CtlError::Replaced`] when another change replaces the awaited version,
/// [`CtlError::WaitLimit`] when the limit is exceeded, and the last request error when no entry has
/// answered for [`OUTAGE_LIMIT`].
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

/// Returns whether a status request may succeed later: no entry answered, or the one that did was
/// overloaded or unavailable.
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
        let message = format!("failure domain {domain} is no longer listed");
        CtlError::refused(ApiError::new(ErrorCode::NotFound, message))
    })
}

/// Returns the outcome of the wait, or `None` while it continues. An entry whose configuration lags
/// behind reports an older version; its phase is ignored.
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
