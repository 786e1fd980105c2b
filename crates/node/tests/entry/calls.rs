//! Callers' requests and tickets.

use hyssop_core::api::{self, TicketsReply, TicketsRequest};
use hyssop_standins::Echo;
use reqwest::{Method, Response};

use super::fleet::{Fleet, PLANNER, TEAM_TOKEN, reply};

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

async fn planner() -> Fleet {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.ready(0).await;
    fleet.apply(0, "planner", PLANNER).await;
    fleet.start_backend("planner", "bergen-a").await;
    fleet.start_backend("planner", "bergen-b").await;
    fleet.members(0, 2).await;
    fleet
}

impl Fleet {
    async fn tickets(&self, count: u32) -> Vec<String> {
        let body = TicketsRequest { count };
        let path = "/v1/services/planner/tickets";
        let reply: TicketsReply = self
            .send(0, Method::POST, path, TEAM_TOKEN, &body)
            .await
            .unwrap();
        reply.tickets
    }

    async fn book(&self, ticket: &str, body: &str) -> Response {
        self.request(0, Method::POST, "/v1/call/planner/bookings", TEAM_TOKEN)
            .header(api::IDEMPOTENCY_KEY, ticket)
            .body(body.to_owned())
            .send()
            .await
            .unwrap()
    }

    fn runs(&self) -> usize {
        self.backends.iter().map(|b| b.ledger().runs.len()).sum()
    }
}

/// A request must reach a backend server as it was sent, and its response come back whole.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_answered_by_a_backend_server() {
    let fleet = planner().await;
    let path = "/v1/call/planner/day-sheets/today?fitter=anna";
    let request = fleet.request(0, Method::GET, path, TEAM_TOKEN);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, api::OUTCOME), api::OUTCOME_COMPLETE);
    let echo: Echo = reply(response).await.unwrap();
    assert_eq!(
        (echo.method.as_str(), echo.path.as_str()),
        ("GET", "/day-sheets/today")
    );
}

/// G7: a repeat of a ticketed request must be answered from the kept response, not run again.
#[tokio::test(flavor = "multi_thread")]
async fn ticketed_request_runs_once_however_often_it_is_sent() {
    let fleet = planner().await;
    let tickets = fleet.tickets(2).await;
    let first = fleet.book(&tickets[0], "a fitting").await;
    assert_eq!(first.status(), 200);
    let first: Echo = reply(first).await.unwrap();
    let again: Echo = reply(fleet.book(&tickets[0], "a fitting").await)
        .await
        .unwrap();
    assert_eq!(first, again);
    assert_eq!(fleet.runs(), 1);
    let other = fleet.book(&tickets[0], "another fitting").await;
    assert_eq!(other.status(), 422);
    assert_eq!(header(&other, api::OUTCOME), api::OUTCOME_NOT_RUN);
    assert_eq!(fleet.runs(), 1);
}
