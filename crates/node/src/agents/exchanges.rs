//! Requests to the backend server over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyssop_core::limits::MAX_BODY_BYTES;
use hyssop_core::{Call, CompleteResponse, NotRun, Outcome, Unknown};
use reqwest::header::{self, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Request, Response, StatusCode, Url};
use tokio::time::timeout;

/// Header with the ticket, by which a backend server may recognise a request.
const REQUEST_KEY: HeaderName = HeaderName::from_static("x-request-key");
/// Header with the calling team.
const TEAM: HeaderName = HeaderName::from_static("x-team");
/// Header with the time left until the caller's deadline, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Headers that concern one connection only, or that the client sets itself.
const HOP_HEADERS: [HeaderName; 12] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::HOST,
    header::EXPECT,
];
/// Largest sum of the header bytes of an answer.
const MAX_HEADERS: usize = 64 * 1024;
/// Longest path and query. The HTTP library takes no address of 64 KiB or more, and encoding can
/// make one three times as long.
const MAX_PATH: usize = 20 * 1024;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed. It is below the usual limits of servers, so
/// that a request is rarely sent on a connection that the backend server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Creates the client. It follows no redirects, uses no proxy and repeats no request, because
/// each request must reach the backend server at most once.
///
/// # Errors
///
/// Returns the error of the client.
pub(super) fn client() -> reqwest::Result<Client> {
    Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .no_proxy()
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
}

/// Runs a request at the backend server.
pub(super) async fn run(
    client: Client,
    address: SocketAddr,
    call: Call,
    limit: Duration,
) -> Outcome {
    let request = match compose(address, call) {
        Ok(request) => request,
        Err(refusal) => return Outcome::Complete(refusal),
    };
    match timeout(limit, exchange(&client, request)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(Unknown::Deadline),
    }
}

async fn exchange(client: &Client, request: Request) -> Outcome {
    let bodiless = request.method() == Method::HEAD;
    let response = match client.execute(request).await {
        Ok(response) => response,
        // Without a connection nothing was sent.
        Err(err) if err.is_connect() => return Outcome::NotRun(NotRun::NoServer),
        Err(err) => {
            log::debug!("the request to the backend server failed: {err}");
            return Outcome::Unknown(Unknown::ConnectionBroken);
        }
    };
    match collect(response, bodiless).await {
        Ok(whole) => Outcome::Complete(whole),
        Err(why) => Outcome::Unknown(why),
    }
}

/// Reads a response to its end and checks that the end is the stated one.
async fn collect(mut response: Response, bodiless: bool) -> Result<CompleteResponse, Unknown> {
    let status = response.status();
    let no_content = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if !bodiless && !no_content && !states_end(response.headers()) {
        return Err(Unknown::Incomplete);
    }
    let length = response.content_length().unwrap_or(0);
    if !bodiless && length > MAX_BODY_BYTES as u64 {
        return Err(Unknown::TooLarge);
    }
    let headers = headers_back(response.headers()).ok_or(Unknown::TooLarge)?;
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Unknown::Incomplete)? {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Unknown::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(CompleteResponse::new(
        status.as_u16(),
        headers,
        body.freeze(),
    ))
}

/// Tells whether the end of a body can be told from the end of the connection, which is the case
/// with a length or with chunks. The client fails on a body that ends before the stated end.
fn states_end(headers: &HeaderMap) -> bool {
    // An encoding other than chunked overrides a length and ends with the connection.
    match headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    {
        Some(encoding) => {
            let last = encoding.as_bytes().rsplit(|byte| *byte == b',').next();
            last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
        }
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

fn headers_back(headers: &HeaderMap) -> Option<Vec<(String, Bytes)>> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(name));
    let kept = kept.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    let kept: Vec<(String, Bytes)> = kept.collect();
    let size: usize = kept
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    (size <= MAX_HEADERS).then_some(kept)
}

/// Builds the HTTP request, or the answer to one that can't be expressed in HTTP.
fn compose(address: SocketAddr, call: Call) -> Result<Request, CompleteResponse> {
    if call.body.len() > MAX_BODY_BYTES {
        return Err(refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        ));
    }
    if call.path.len() > MAX_PATH {
        return Err(refusal(StatusCode::URI_TOO_LONG, "the path is too long"));
    }
    let method = Method::from_bytes(call.method.as_bytes());
    let method = method.map_err(|_| refusal(StatusCode::BAD_REQUEST, "the method is not valid"))?;
    let slash = if call.path.starts_with('/') { "" } else { "/" };
    let url = Url::parse(&format!("http://{address}{slash}{}", call.path));
    let url = url.map_err(|_| refusal(StatusCode::BAD_REQUEST, "the path is not valid"))?;
    let mut request = Request::new(method, url);
    *request.headers_mut() = headers_on(&call);
    if !call.body.is_empty() {
        *request.body_mut() = Some(call.body.into());
    }
    Ok(request)
}

fn headers_on(call: &Call) -> HeaderMap {
    let own = [REQUEST_KEY, TEAM, DEADLINE];
    let mut headers = HeaderMap::with_capacity(call.headers.len() + own.len());
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_HEADERS.contains(&name)
            && !own.contains(&name)
        {
            headers.append(name, value);
        }
    }
    let key = call.ticket.map(|ticket| ticket.to_string());
    if let Some(Ok(key)) = key.map(HeaderValue::try_from) {
        headers.insert(REQUEST_KEY, key);
    }
    if let Ok(team) = HeaderValue::from_str(call.team.as_str()) {
        headers.insert(TEAM, team);
    }
    headers.insert(DEADLINE, HeaderValue::from(call.budget.0));
    headers
}

fn refusal(status: StatusCode, text: &'static str) -> CompleteResponse {
    CompleteResponse::new(
        status.as_u16(),
        Vec::new(),
        Bytes::from_static(text.as_bytes()),
    )
}
