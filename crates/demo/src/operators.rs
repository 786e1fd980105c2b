//! What operators do: documents and failure domains.

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

/// Longest wait for a change to take effect.
const LIMIT: Duration = Duration::from_secs(60);

/// An operator who talks to the entries.
#[derive(Clone, Debug)]
pub struct Operator {
    caller: Caller,
    entries: Vec<String>,
}

impl Operator {
    /// Creates an operator with a token.
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
            wait_until(&what, LIMIT, async || {
                let request = self.request(Method::GET, entry, "/readyz");
                let response = request.send().await.ok()?;
                response.status().is_success().then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Applies a new document.
    ///
    /// # Errors
    ///
    /// Returns an error if it is refused.
    pub async fn apply(&self, service: &str, document: &str) -> Result<ApplyReply> {
        let path = format!("/v1/documents/{service}?base=0");
        let request = self.request(Method::PUT, self.first()?, &path);
        let reply = send(request.body(document.to_owned())).await;
        reply.wrap_err_with(|| format!("document of {service}"))
    }

    /// Waits until every entry has the documents in force, is serving, and knows the workers of
    /// each domain and the backend servers.
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
            wait_until(&what, LIMIT, async || {
                let list: DocumentList = self.get(entry, "/v1/documents").await.ok()?;
                let status: StatusReply = self.get(entry, "/v1/status").await.ok()?;
                let domains = self.domains(entry).await.ok()?;
                let enough = domains.iter().all(|domain| domain.workers == workers);
                let same = list.documents.len() == documents && status.members.len() == members;
                (same && enough).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Changes the state of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused.
    pub async fn set_domain(&self, domain: &str, state: DomainState) -> Result<DomainReply> {
        let entry = self.first()?;
        let change = DomainChange {
            state,
            base: self.domain(entry, domain).await?.version,
            force: false,
            dry_run: false,
        };
        let path = format!("/v1/domains/{domain}");
        let request = self.request(Method::PUT, entry, &path).json(&change);
        let reply = send(request).await;
        reply.wrap_err_with(|| format!("failure domain {domain}"))
    }

    /// Waits until every entry reports a phase of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than a minute.
    pub async fn wait_phase(&self, domain: &str, phase: DomainPhase) -> Result<()> {
        for entry in &self.entries {
            let what = format!("{entry} reports {domain} as {phase}");
            wait_until(&what, LIMIT, async || {
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
    /// Returns an error if an entry does not answer.
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
        let mut found = domains.into_iter();
        let found = found.find(|status| status.domain.as_str() == domain);
        found.ok_or_else(|| eyre!("{entry} does not list failure domain {domain}"))
    }

    async fn domains(&self, entry: &str) -> Result<Vec<DomainStatus>> {
        Ok(self.get::<DomainList>(entry, "/v1/domains").await?.domains)
    }

    async fn get<T: DeserializeOwned>(&self, entry: &str, path: &str) -> Result<T> {
        send(self.request(Method::GET, entry, path)).await
    }

    fn request(&self, method: Method, entry: &str, path: &str) -> RequestBuilder {
        self.caller.request(method, entry, path)
    }

    fn first(&self) -> Result<&str> {
        let first = self.entries.first().map(String::as_str);
        first.ok_or_else(|| eyre!("no entry is known"))
    }
}

async fn send<T: DeserializeOwned>(request: RequestBuilder) -> Result<T> {
    let response = request.send().await?;
    let status = response.status();
    if !status.is_success() {
        bail!("{status}: {}", response.text().await?);
    }
    Ok(response.json().await?)
}
