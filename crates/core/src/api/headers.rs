//! Names and values of HTTP headers.

/// Carries the caller's or operator's token: `Authorization: Bearer <token>`.
pub const AUTHORIZATION: &str = "Authorization";
/// Scheme of [`AUTHORIZATION`], with the separating space.
pub const BEARER: &str = "Bearer ";
/// Carries the ticket of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// States the outcome of a request: one of the `OUTCOME_` values.
pub const OUTCOME: &str = "Hyssop-Outcome";
/// Value of [`OUTCOME`] for a complete response of a backend server.
pub const OUTCOME_COMPLETE: &str = "whole";
/// Value of [`OUTCOME`] for a request that did not run and will not run.
pub const OUTCOME_NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME`] for a request that may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";
/// States the reason for an outcome other than the complete response, in kebab case.
pub const REASON: &str = "Hyssop-Reason";
/// Carries the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "Hyssop-Deadline-Ms";
/// Names the team on whose behalf an operator calls; a call with a team's own token omits it.
pub const TEAM: &str = "Hyssop-Team";

/// Returns the token in the value of an [`AUTHORIZATION`] header, or `None` if it has none.
///
/// The scheme is compared without regard to case, as HTTP requires.
#[must_use]
pub fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.trim().split_once(' ')?;
    let token = token.trim_start();
    (scheme.eq_ignore_ascii_case(BEARER.trim_end()) && !token.is_empty()).then_some(token)
}
