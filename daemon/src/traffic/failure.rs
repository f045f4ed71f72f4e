//! Answers of the router's own: a numbered code, whether the request ran, and why.

use axum::response;
use bytes::Bytes;
use gentianhinge_core::code;
use http::{HeaderValue, StatusCode, header};
use serde_json::json;

/// Header with the number of the result code.
pub const RESULT_HEADER: &str = "gentianhinge-result";
/// Header with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "gentianhinge-request-id";

/// Why a request has no whole answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Number, name, status and whether the request ran.
    pub code: code::ResultCode,
    /// Explanation for the caller.
    pub message: String,
}

impl Failure {
    /// Describes a failure.
    pub fn new(code: code::ResultCode, message: impl Into<String>) -> Failure {
        Failure { code, message: message.into() }
    }

    /// The error object of the answer's body.
    fn body(&self, request_id: &str) -> String {
        let body = json!({"error": {
            "code": self.code.number(),
            "name": self.code.name(),
            "ran": self.code.ran().as_str(),
            "message": self.message,
            "request_id": request_id,
        }});
        body.to_string()
    }

    /// A whole answer for a caller who has got nothing yet.
    pub fn into_response(self, request_id: &str) -> response::Response {
        let mut answer = response::Response::new(self.body(request_id).into());
        *answer.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        mark(headers, self.code, request_id);
        answer
    }

    /// The answer that a request got, or the one that tells its failure.
    pub fn answer(
        result: Result<response::Response, Failure>,
        request_id: &str,
    ) -> response::Response {
        result.unwrap_or_else(|failure| failure.into_response(request_id))
    }

    /// The last event of a stream that breaks off.
    pub fn into_event(self, request_id: &str) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.body(request_id)))
    }
}

/// Sets the headers that every answer carries.
pub fn mark(headers: &mut http::HeaderMap, code: code::ResultCode, request_id: &str) {
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}
