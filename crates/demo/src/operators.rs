//! Operator actions: applying documents and changing failure domains.

use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use hyssop_core::DomainState;
use hyssop_core::api::{
    ApplyReply, DocumentList, DomainChange, DomainList, DomainPhase, DomainReply, DomainStatus,
    StatusReply,
};
use reqwest::{Method, RequestBuilder};
use serde::de::DeserializeOwned;

use crate::callers::Caller;
use crate::waits::wait_until;

/// Timeout of each wait for a change to take effect.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Client of the entries with the operators' token.
#[derive(Clone, Debug)]
pub struct Operator {
    caller: Caller,
    entries: Vec<String>,
}

impl Operator {
    /// Creates an operator that authenticates with `token` at the given entry URLs.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be set up.
    pub fn new(token: &str, entries: Vec<String>) -> Result<Self> {
        let caller = Caller::new(token)?;
        Ok(Self { caller, entries })
    }

    /// Waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than a minute.
    pub async fn wait_ready(&self) -> Result<()> {
        for entry in &self.entries {
            let what = format!("{entry} is ready");
            wait_until(&what, WAIT_TIMEOUT, async || {
                let request = self.request(Method::GET, entry, "/readyz");
                let response = request.send().await.ok()?;
                response.status().is_success().then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Applies the first version of a service's document through the first entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is refused.
    pub async fn apply(&self, service: &str, document: &str) -> Result<ApplyReply> {
        let path = format!("/v1/documents/{service}?base=0");
        let request = self.request(Method::PUT, self.first_entry()?, &path);
        let reply = send_request(request.body(document.to_owned())).await;
        reply.wrap_err_with(|| format!("document of {service}"))
    }

    /// Waits until every entry lists `documents` documents, `members` backend servers, and
    /// `workers` workers in each failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than a minute.
    pub async fn wait_converged(
        &self,
        documents: usize,
        workers: u32,
        members: usize,
    ) -> Result<()> {
        for entry in &self.entries {
            let what = format!("{entry} knows {documents} documents and {members} backend servers");
            wait_until(&what, WAIT_TIMEOUT, async || {
                let list: DocumentList = self.get(entry, "/v1/documents").await.ok()?;
                let status: StatusReply = self.get(entry, "/v1/status").await.ok()?;
                let domains = self.domains(entry).await.ok()?;
                let has_workers = domains.iter().all(|domain| domain.workers == workers);
                let has_members =
                    list.documents.len() == documents && status.members.len() == members;
                (has_members && has_workers).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Changes the state of a failure domain, based on its current version.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused.
    pub async fn set_domain(&self, domain: &str, state: DomainState) -> Result<DomainReply> {
        let entry = self.first_entry()?;
        let change = DomainChange {
            state,
            base: self.domain(entry, domain).await?.version,
            force: false,
            dry_run: false,
        };
        let path = format!("/v1/domains/{domain}");
        let request = self.request(Method::PUT, entry, &path).json(&change);
        let reply = send_request(request).await;
        reply.wrap_err_with(|| format!("failure domain {domain}"))
    }

    /// Waits until every entry reports the failure domain in `phase`.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than a minute.
    pub async fn wait_phase(&self, domain: &str, phase: DomainPhase) -> Result<()> {
        for entry in &self.entries {
            let what = format!("{entry} reports {domain} as {phase}");
            wait_until(&what, WAIT_TIMEOUT, async || {
                let status = self.domain(entry, domain).await.ok()?;
                (status.phase == phase).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the metrics of each entry in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry does not respond.
    pub async fn metrics(&self) -> Result<Vec<String>> {
        let mut texts = Vec::new();
        for entry in &self.entries {
            let response = self.request(Method::GET, entry, "/metrics").send().await?;
            texts.push(response.error_for_status()?.text().await?);
        }
        Ok(texts)
    }

    async fn domain(&self, entry: &str, domain: &str) -> Result<DomainStatus> {
        let domains = self.domains(entry).await?;
        let mut statuses = domains.into_iter();
        let status = statuses.find(|status| status.domain.as_str() == domain);
        status.ok_or_else(|| eyre!("{entry} does not list failure domain {domain}"))
    }

    async fn domains(&self, entry: &str) -> Result<Vec<DomainStatus>> {
        Ok(self.get::<DomainList>(entry, "/v1/domains").await?.domains)
    }

    async fn get<T: DeserializeOwned>(&self, entry: &str, path: &str) -> Result<T> {
        send_request(self.request(Method::GET, entry, path)).await
    }

    fn request(&self, method: Method, entry: &str, path: &str) -> RequestBuilder {
        self.caller.request(method, entry, path)
    }

    fn first_entry(&self) -> Result<&str> {
        let first = self.entries.first().map(String::as_str);
        first.ok_or_else(|| eyre!("no entry is known"))
    }
}

async fn send_request<T: DeserializeOwned>(request: RequestBuilder) -> Result<T> {
    let response = request.send().await?;
    let status = response.status();
    if !status.is_success() {
        bail!("{status}: {}", response.text().await?);
    }
    Ok(response.json().await?)
}
