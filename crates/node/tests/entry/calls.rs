//! Tests of callers' requests and tickets.

use hyssop_core::api::{self, TicketsReply, TicketsRequest};
use hyssop_standins::Echo;
use reqwest::{Method, Response};

use super::fleet::{Fleet, PLANNER, TEAM_TOKEN, reply};

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

async fn start_with_planner() -> Fleet {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "planner", PLANNER).await;
    fleet.start_backend("planner", "bergen-a").await;
    fleet.start_backend("planner", "bergen-b").await;
    fleet.wait_for_members(0, 2).await;
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

    async fn send_booking(&self, ticket: &str, body: &str) -> Response {
        self.request(0, Method::POST, "/v1/call/planner/bookings", TEAM_TOKEN)
            .header(api::IDEMPOTENCY_KEY, ticket)
            .body(body.to_owned())
            .send()
            .await
            .unwrap()
    }

    fn run_count(&self) -> usize {
        self.backends.iter().map(|b| b.ledger().runs.len()).sum()
    }
}

/// Guards against a request that reaches the backend server altered, or a response that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_gets_the_response_of_a_backend_server() {
    let fleet = start_with_planner().await;
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

/// G7: guards against a second run when a request with a ticket is repeated. The repeat must get the
/// stored response, and a different request with the ticket must be refused.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_request_with_a_ticket_runs_once() {
    let fleet = start_with_planner().await;
    let tickets = fleet.tickets(2).await;
    let first = fleet.send_booking(&tickets[0], "a fitting").await;
    assert_eq!(first.status(), 200);
    let first: Echo = reply(first).await.unwrap();
    let repeated: Echo = reply(fleet.send_booking(&tickets[0], "a fitting").await)
        .await
        .unwrap();
    assert_eq!(first, repeated);
    assert_eq!(fleet.run_count(), 1);
    let other = fleet.send_booking(&tickets[0], "another fitting").await;
    assert_eq!(other.status(), 422);
    assert_eq!(header(&other, api::OUTCOME), api::OUTCOME_NOT_RUN);
    assert_eq!(fleet.run_count(), 1);
}
