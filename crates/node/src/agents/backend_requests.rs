//! HTTP requests to the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyssop_core::limits::MAX_BODY_BYTES;
use hyssop_core::{Call, CompleteResponse, NotRun, Outcome, Unknown};
use reqwest::header::{self, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, Request, Response, StatusCode, Url};
use tokio::time::timeout;

/// Header with the ticket of the request. A backend server may use it to detect a repeated request.
const REQUEST_KEY_HEADER: HeaderName = HeaderName::from_static("x-request-key");
/// Header with the name of the calling team.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");
/// Header with the time left until the caller's deadline, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Headers that are forwarded neither to the backend server nor to the caller: they apply to a
/// single connection or are set by the HTTP client.
const UNFORWARDED_HEADERS: [HeaderName; 12] = [
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
/// Most bytes of all header names and values of a response.
const MAX_RESPONSE_HEADER_BYTES: usize = 64 * 1024;
/// Most bytes of path and query. The HTTP library rejects URLs of 64 KiB or more, and
/// percent-encoding can triple the length.
const MAX_PATH_BYTES: usize = 20 * 1024;
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed. It is below the keep-alive timeouts that servers
/// commonly have, 5 s or more, so that a request is rarely sent on a connection that the backend
/// server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Creates an HTTP client without redirects, proxies and retries, because each request must reach
/// the backend server at most once.
///
/// # Errors
///
/// Returns an error if the client can't be set up.
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

/// Sends a call to the backend server and returns its outcome, at the latest after `time_limit`. A
/// call with an invalid method, an invalid path or too long a path or body gets an error response
/// without being sent. Invalid headers are left out.
pub(super) async fn send_call(
    client: Client,
    address: SocketAddr,
    call: Call,
    time_limit: Duration,
) -> Outcome {
    let request = match build_request(address, call) {
        Ok(request) => request,
        Err(response) => return Outcome::Complete(response),
    };
    match timeout(time_limit, send_request(&client, request)).await {
        Ok(outcome) => outcome,
        Err(_) => Outcome::Unknown(Unknown::Deadline),
    }
}

async fn send_request(client: &Client, request: Request) -> Outcome {
    let is_head = request.method() == Method::HEAD;
    let response = match client.execute(request).await {
        Ok(response) => response,
        // Without a connection nothing was sent.
        Err(err) if err.is_connect() => return Outcome::NotRun(NotRun::NoServer),
        Err(err) => {
            log::debug!("the request to the backend server failed: {err}");
            return Outcome::Unknown(Unknown::ConnectionBroken);
        }
    };
    match read_response(response, is_head).await {
        Ok(complete) => Outcome::Complete(complete),
        Err(cause) => Outcome::Unknown(cause),
    }
}

/// Reads a response and checks that its body is complete.
async fn read_response(mut response: Response, is_head: bool) -> Result<CompleteResponse, Unknown> {
    let status = response.status();
    let is_bodiless_status = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    if !is_head && !is_bodiless_status && !has_explicit_end(response.headers()) {
        return Err(Unknown::Incomplete);
    }
    let length = response.content_length().unwrap_or(0);
    if !is_head && length > MAX_BODY_BYTES as u64 {
        return Err(Unknown::TooLarge);
    }
    let headers = response_headers(response.headers()).ok_or(Unknown::TooLarge)?;
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

/// Tells whether the end of the body can be distinguished from a broken connection, which requires
/// a content length or the chunked encoding. The client returns an error if such a body is cut
/// short.
fn has_explicit_end(headers: &HeaderMap) -> bool {
    // If the last transfer encoding isn't chunked, a content length is ignored and the body ends
    // when the connection is closed.
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

fn response_headers(headers: &HeaderMap) -> Option<Vec<(String, Bytes)>> {
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !UNFORWARDED_HEADERS.contains(name));
    let forwarded = forwarded.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    let forwarded: Vec<(String, Bytes)> = forwarded.collect();
    let size: usize = forwarded
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    (size <= MAX_RESPONSE_HEADER_BYTES).then_some(forwarded)
}

/// Builds the HTTP request for a call, or the error response if its method, path or body is
/// invalid or too long.
fn build_request(address: SocketAddr, call: Call) -> Result<Request, CompleteResponse> {
    if call.body.len() > MAX_BODY_BYTES {
        return Err(error_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        ));
    }
    if call.path.len() > MAX_PATH_BYTES {
        return Err(error_response(
            StatusCode::URI_TOO_LONG,
            "the path is too long",
        ));
    }
    let method = Method::from_bytes(call.method.as_bytes());
    let method =
        method.map_err(|_| error_response(StatusCode::BAD_REQUEST, "the method is not valid"))?;
    let slash = if call.path.starts_with('/') { "" } else { "/" };
    let url = Url::parse(&format!("http://{address}{slash}{}", call.path));
    let url = url.map_err(|_| error_response(StatusCode::BAD_REQUEST, "the path is not valid"))?;
    let mut request = Request::new(method, url);
    *request.headers_mut() = request_headers(&call);
    if !call.body.is_empty() {
        *request.body_mut() = Some(call.body.into());
    }
    Ok(request)
}

fn request_headers(call: &Call) -> HeaderMap {
    let reserved = [REQUEST_KEY_HEADER, TEAM_HEADER, DEADLINE_HEADER];
    let mut headers = HeaderMap::with_capacity(call.headers.len() + reserved.len());
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value)
            && !UNFORWARDED_HEADERS.contains(&name)
            && !reserved.contains(&name)
        {
            headers.append(name, value);
        }
    }
    let key = call.ticket.map(|ticket| ticket.to_string());
    if let Some(Ok(key)) = key.map(HeaderValue::try_from) {
        headers.insert(REQUEST_KEY_HEADER, key);
    }
    if let Ok(team) = HeaderValue::from_str(call.team.as_str()) {
        headers.insert(TEAM_HEADER, team);
    }
    headers.insert(DEADLINE_HEADER, HeaderValue::from(call.budget.0));
    headers
}

fn error_response(status: StatusCode, text: &'static str) -> CompleteResponse {
    CompleteResponse::new(
        status.as_u16(),
        Vec::new(),
        Bytes::from_static(text.as_bytes()),
    )
}
