//! Client settings from the command line and the environment.

use std::time::Duration;

use hyssop_core::TeamName;

use crate::args::Args;
use crate::clients::ClientOptions;
use crate::errors::{CtlError, Result};

/// Environment variables that the program reads.
#[derive(Clone, Debug, Default)]
pub struct Env {
    /// `HYSSOP_ENTRY`: addresses of entries, separated by commas.
    pub entry: Option<String>,
    /// `HYSSOP_TOKEN`: token of the operator or team.
    pub token: Option<String>,
    /// `HYSSOP_TEAM`: team on whose behalf an operator calls.
    pub team: Option<String>,
}

impl Env {
    /// Reads the variables of this process. Empty variables count as unset.
    #[must_use]
    pub fn from_process() -> Self {
        let read = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Self {
            entry: read("HYSSOP_ENTRY"),
            token: read("HYSSOP_TOKEN"),
            team: read("HYSSOP_TEAM"),
        }
    }
}

/// Combines the command line with the environment; the command line takes precedence.
pub(crate) fn client_options(args: &Args, env: Env) -> Result<ClientOptions> {
    let texts = if args.entry.is_empty() {
        Vec::from_iter(env.entry)
    } else {
        args.entry.clone()
    };
    let entries = texts
        .iter()
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .filter(|text| !text.is_empty())
        .map(entry_address)
        .collect::<Result<Vec<_>>>()?;
    if entries.is_empty() {
        let text = "no entry address given; use --entry http://ip:port or set HYSSOP_ENTRY";
        return Err(CtlError::Usage(text.to_owned()));
    }
    let mut options = ClientOptions::new(entries);
    options.token = args.token.clone().or(env.token);
    options.team = team(args, env.team)?;
    if let Some(seconds) = args.timeout {
        options.timeout = Duration::from_secs(seconds);
    }
    Ok(options)
}

fn team(args: &Args, env: Option<String>) -> Result<Option<TeamName>> {
    if args.team.is_some() {
        return Ok(args.team.clone());
    }
    env.map(TeamName::new)
        .transpose()
        .map_err(|e| CtlError::Usage(format!("HYSSOP_TEAM: {e}")))
}

/// Validates an entry address and returns it with scheme and without a trailing slash. A missing
/// scheme means `http`.
fn entry_address(text: &str) -> Result<String> {
    let url_text = if text.contains("://") {
        text.to_owned()
    } else {
        format!("http://{text}")
    };
    let invalid_entry = |reason: &str| {
        CtlError::Usage(format!("--entry {text}: {reason}; expected http://ip:port"))
    };
    let url = reqwest::Url::parse(&url_text).map_err(|e| invalid_entry(&e.to_string()))?;
    if url.scheme() != "http" {
        return Err(invalid_entry("unsupported scheme"));
    }
    if url.path() != "/" || url.query().is_some() {
        return Err(invalid_entry("unexpected path or query"));
    }
    Ok(url_text.trim_end_matches('/').to_owned())
}
