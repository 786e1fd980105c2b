//! Requests of callers to the entries of a fleet.

use std::time::Duration;

use crate::fleets::{Fleet, HOST, PREFIX};

/// Time for which a caller waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

impl Fleet {
    /// Sends a request to an entry. Returns the status and the body, or `None` without a response.
    pub(crate) async fn send(
        &self,
        entry: usize,
        method: reqwest::Method,
        rest: &str,
        body: Option<&str>,
    ) -> Option<(u16, String)> {
        let url = format!("http://{}{PREFIX}{rest}", self.entries[entry].1);
        let mut request = self.http.request(method, url).timeout(REQUEST_TIMEOUT);
        request = request.header("host", HOST);
        if let Some(body) = body {
            request = request.body(body.to_owned());
        }
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    /// Submits a job with a single request. Returns the HTTP status, or `None` without a response.
    pub async fn try_submit(&self, entry: usize, job: u64, body: &str) -> Option<u16> {
        let response = self.submit_once(entry, job, body);
        response.await.map(|(status, _)| status)
    }

    /// Submits a job with a single request. Returns the HTTP status and the body, or `None` without
    /// a response.
    pub async fn submit_once(&self, entry: usize, job: u64, body: &str) -> Option<(u16, String)> {
        let rest = format!("{job:016x}");
        let response = self.send(entry, reqwest::Method::POST, &rest, Some(body));
        response.await
    }

    /// Cancels a job with a single request. Returns the HTTP status, or `None` without a response.
    pub async fn try_cancel(&self, entry: usize, job: u64) -> Option<u16> {
        let rest = format!("{job:016x}");
        let response = self.send(entry, reqwest::Method::DELETE, &rest, None);
        response.await.map(|(status, _)| status)
    }

    /// Asks for the state of a job with a single request. Returns the HTTP status, or `None` without
    /// a response.
    pub async fn try_show(&self, entry: usize, job: u64) -> Option<u16> {
        let rest = format!("{job:016x}");
        let response = self.send(entry, reqwest::Method::GET, &rest, None);
        response.await.map(|(status, _)| status)
    }

    /// Asks for the state of a job with a single request. Returns the state, or `None` if the answer
    /// has none.
    pub async fn try_state(&self, entry: usize, job: u64) -> Option<String> {
        let rest = format!("{job:016x}");
        let (_, body) = self.send(entry, reqwest::Method::GET, &rest, None).await?;
        let body: serde_json::Value = serde_json::from_str(&body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    /// Submits a job to the entries in rotation until one accepts it.
    ///
    /// # Panics
    ///
    /// Panics if none accepts it within a minute.
    pub async fn submit(&self, job: u64, body: &str) {
        let mut entry = job as usize;
        self.wait_until("the job is accepted", || {
            entry += 1;
            let at = entry % self.entries.len();
            async move { (self.try_submit(at, job, body).await == Some(200)).then_some(()) }
        })
        .await;
    }

    /// Submits a job to one entry until it is accepted.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not accept it within a minute.
    pub async fn submit_at(&self, entry: usize, job: u64, body: &str) {
        self.wait_until("the job is accepted", || async {
            (self.try_submit(entry, job, body).await == Some(200)).then_some(())
        })
        .await;
    }

    /// Waits until a job has ended. Returns its final state, or `lost` if the job is unknown.
    ///
    /// # Panics
    ///
    /// Panics if the job has not ended within a minute.
    pub async fn wait_finished(&self, job: u64) -> String {
        let rest = format!("{job:016x}");
        let mut entry = 0;
        self.wait_until("the job ends", || {
            entry += 1;
            let at = entry % self.entries.len();
            let rest = &rest;
            async move {
                let (status, body) = self.send(at, reqwest::Method::GET, rest, None).await?;
                if status == 410 {
                    return Some("lost".to_owned());
                }
                let body: serde_json::Value = serde_json::from_str(&body).ok()?;
                let state = body["state"].as_str()?.to_owned();
                let has_ended = !matches!(state.as_str(), "queued" | "running");
                has_ended.then_some(state)
            }
        })
        .await
    }
}
