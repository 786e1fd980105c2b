//! Bodies and headers of the HTTP answers.

use hyssop_core::Outcome;
use hyssop_core::api::{self, ApiError, ErrorCode};
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest JSON body of a call that is not passed on, in bytes.
const MAX_JSON: usize = 1024 * 1024;

/// Answers with JSON, or with the error.
pub(crate) fn answer<T: Serialize + Send>(res: &mut Response, result: Result<T, ApiError>) {
    match result {
        Ok(value) => res.render(Json(value)),
        Err(error) => refuse(res, &error, None),
    }
}

/// Answers with an error and, if there is one, the typed reason.
pub(crate) fn refuse(res: &mut Response, error: &ApiError, reason: Option<String>) {
    let status = StatusCode::from_u16(error.status());
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    set_header(res, api::OUTCOME, error.code.outcome());
    let reason = reason.unwrap_or_else(|| kebab(&error.code));
    set_header(res, api::REASON, &reason);
    if error.code == ErrorCode::NotRun {
        set_header(res, "Retry-After", RETRY_AFTER);
    }
    res.render(Json(error));
}

/// Sets a header; a value that cannot be sent is left out.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        res.headers_mut().insert(name, value);
    }
}

/// Answers with the outcome of a request.
pub(crate) fn conclude(res: &mut Response, outcome: Outcome, head: bool) {
    match outcome {
        Outcome::Complete(whole) => super::calls::pass_back(res, whole, head),
        Outcome::NotRun(reason) => refuse(res, &reason.into(), Some(kebab(&reason))),
        Outcome::Unknown(reason) => refuse(res, &reason.into(), Some(kebab(&reason))),
    }
}

/// Returns the name of a unit variant as it is serialized.
pub(crate) fn kebab<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::new(),
    }
}

/// Seconds after which a call that was not run may be repeated. Most obstacles, such as a cell
/// without an owner, last for less than five seconds.
const RETRY_AFTER: &str = "1";

/// Reads a body of bounded size.
///
/// # Errors
///
/// Returns an error of kind `too-large` or `malformed`.
pub(crate) async fn read_body(req: &mut Request, max: usize) -> Result<bytes::Bytes, ApiError> {
    let too_large = || {
        let message = format!("the body exceeds {max} bytes");
        ApiError::new(ErrorCode::TooLarge, message)
    };
    let stated = req.headers().get("content-length");
    let stated = stated.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|length| length > max) {
        return Err(too_large());
    }
    match req.payload_with_max_size(max).await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(too_large()),
        Err(e) => Err(ApiError::new(
            ErrorCode::Malformed,
            format!("the body cannot be read: {e}"),
        )),
    }
}

/// Reads a JSON body.
///
/// # Errors
///
/// Returns an error of kind `too-large` or `malformed`.
pub(crate) async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, ApiError> {
    let body = read_body(req, MAX_JSON).await?;
    parse_json(&body)
}

/// Parses a JSON body; the message names line, column and field.
///
/// # Errors
///
/// Returns an error of kind `malformed`.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body)
        .map_err(|e| ApiError::new(ErrorCode::Malformed, format!("body: {e}")))
}

/// Reads a name from the path.
///
/// # Errors
///
/// Returns an error of kind `invalid` if it is not a name.
pub(crate) fn param<T>(req: &Request, name: &str) -> Result<T, ApiError>
where
    T: std::str::FromStr<Err = hyssop_core::Error>,
{
    let text: String = req.param(name).unwrap_or_default();
    Ok(text.parse::<T>()?)
}

/// Reads a value from the query.
///
/// # Errors
///
/// Returns an error of kind `invalid` if it is not a value of the type.
pub(crate) fn query<T: std::str::FromStr>(
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
