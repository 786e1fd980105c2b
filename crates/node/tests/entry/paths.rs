//! Compares the interface page with the paths that an entry serves.

use hyssop_core::api::ApiError;
use reqwest::Method;

use super::fleet::{Fleet, OPERATOR_TOKEN};

const PAGE: &str = include_str!("../../../../docs/interfaces.md");
/// Heading of the section on paths that the agent serves, not the entry.
const AGENT_SECTION: &str = "## Backend servers";

/// Returns the methods and paths that the page lists for the entry.
fn documented_calls() -> Vec<(Method, String)> {
    let mut calls = Vec::new();
    let sections = PAGE.split("\n## ").map(|text| format!("## {text}"));
    for section in sections.filter(|text| !text.starts_with(AGENT_SECTION)) {
        for code in section.split('`').skip(1).step_by(2) {
            let Some((method, path)) = code.split_once(" /") else {
                continue;
            };
            let method = method.replace("ANY", "GET");
            let Ok(method) = Method::from_bytes(method.as_bytes()) else {
                continue;
            };
            let path = path.split('?').next().unwrap_or_default();
            calls.push((method, format!("/{}", path.replace(['{', '}'], ""))));
        }
    }
    calls
}

/// Guards against calls on the page that the entry does not serve.
#[tokio::test(flavor = "multi_thread")]
async fn paths_of_the_page_are_served() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    let calls = documented_calls();
    // Number of calls in the router. A call that is added there must be added to the page.
    assert_eq!(calls.len(), 22, "{calls:?}");
    for (method, path) in calls {
        let request = fleet.request(0, method.clone(), &path, OPERATOR_TOKEN);
        let response = request.send().await.unwrap();
        assert_ne!(response.status(), 405, "{method} {path}");
        if response.status() == 404 {
            let error: ApiError = response.json().await.unwrap();
            assert!(!error.message.contains("is not served"), "{method} {path}");
        }
    }
}
