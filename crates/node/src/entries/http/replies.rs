//! Helpers to read HTTP requests and write responses.

use hyssop_core::Outcome;
use hyssop_core::api::{self, ApiError, ErrorCode};
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest JSON body of a request to the entry itself.
const MAX_JSON_BYTES: usize = 1024 * 1024;

/// Responds with a value as JSON, or with the error.
pub(crate) fn respond<T: Serialize + Send>(res: &mut Response, result: Result<T, ApiError>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(error) => respond_error(res, &error, None),
    }
}

/// Responds with an error. The reason header has `reason`, or else the error code.
pub(crate) fn respond_error(res: &mut Response, error: &ApiError, reason: Option<String>) {
    let status = StatusCode::from_u16(error.status());
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    set_header(res, api::OUTCOME, error.code.outcome());
    let reason = reason.unwrap_or_else(|| kebab_name(&error.code));
    set_header(res, api::REASON, &reason);
    if error.code == ErrorCode::NotRun {
        set_header(res, "Retry-After", RETRY_AFTER_S);
    }
    res.render(Json(error));
}

/// Sets a header; a value that is not valid in a header is ignored.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        res.headers_mut().insert(name, value);
    }
}

/// Responds with the outcome of a request.
pub(crate) fn respond_outcome(res: &mut Response, outcome: Outcome, is_head: bool) {
    match outcome {
        Outcome::Complete(response) => super::calls::respond_complete(res, response, is_head),
        Outcome::NotRun(reason) => respond_error(res, &reason.into(), Some(kebab_name(&reason))),
        Outcome::Unknown(reason) => respond_error(res, &reason.into(), Some(kebab_name(&reason))),
    }
}

/// Returns the serialized name of a unit variant, in kebab case; empty for any other value.
pub(crate) fn kebab_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Value of the `Retry-After` header, in seconds, for requests that were not run. Most causes, such
/// as a cell without an owner, last for less than five seconds.
const RETRY_AFTER_S: &str = "1";

/// Reads the body of a request, up to `max_bytes`.
///
/// # Errors
///
/// Returns an error with code `too-large` or `malformed`.
pub(crate) async fn read_body(
    req: &mut Request,
    max_bytes: usize,
) -> Result<bytes::Bytes, ApiError> {
    let too_large = || {
        let message = format!("the body exceeds {max_bytes} bytes");
        ApiError::new(ErrorCode::TooLarge, message)
    };
    let content_length = req.headers().get("content-length");
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    match req.payload_with_max_size(max_bytes).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(too_large()),
        Err(e) => Err(ApiError::new(
            ErrorCode::Malformed,
            format!("the body cannot be read: {e}"),
        )),
    }
}

/// Reads and parses a JSON body.
///
/// # Errors
///
/// Returns an error with code `too-large` or `malformed`.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let body = read_body(req, MAX_JSON_BYTES).await?;
    parse_json(&body)
}

/// Parses a JSON body; the message names line, column and field.
///
/// # Errors
///
/// Returns an error with code `malformed`.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body)
        .map_err(|e| ApiError::new(ErrorCode::Malformed, format!("body: {e}")))
}

/// Parses a path parameter.
///
/// # Errors
///
/// Returns an error with code `invalid` if the parameter is not a valid name.
pub(crate) fn path_param<T>(req: &Request, name: &str) -> Result<T, ApiError>
where
    T: std::str::FromStr<Err = hyssop_core::Error>,
{
    let text: String = req.param(name).unwrap_or_default();
    Ok(text.parse::<T>()?)
}

/// Parses a query parameter; absent ones have the default. `allowed` describes the valid values for
/// the error.
///
/// # Errors
///
/// Returns an error with code `invalid` if the parameter cannot be parsed.
pub(crate) fn query_param<T: std::str::FromStr>(
    req: &Request,
    name: &str,
    default: T,
    allowed: &str,
) -> Result<T, ApiError> {
    let Some(text) = req.queries().get(name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| {
        let message = format!("{name} has {text:?}");
        ApiError::new(ErrorCode::Invalid, message).with_field(name, allowed)
    })
}
