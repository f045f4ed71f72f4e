//! Error responses of the router: a numeric code, whether the request ran, and the reason.

use axum::response;
use bytes::Bytes;
use gentianhinge_core::code;
use http::{HeaderValue, StatusCode, header};
use serde_json::json;

/// Response header with the number of the result code.
pub const RESULT_HEADER: &str = "gentianhinge-result";
/// Response header with the request's identifier.
pub const REQUEST_ID_HEADER: &str = "gentianhinge-request-id";

/// Why a request got no complete response.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Number, name, status and whether the request ran.
    pub code: code::ResultCode,
    /// Explanation in the response body.
    pub message: String,
}

impl Failure {
    /// Creates a failure with the message for its response body.
    pub fn new(code: code::ResultCode, message: impl Into<String>) -> Failure {
        Failure { code, message: message.into() }
    }

    /// The error object, as JSON text.
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

    /// Converts the failure to a complete response, for a caller to whom nothing was sent yet.
    pub fn into_response(self, request_id: &str) -> response::Response {
        let mut response = response::Response::new(self.body(request_id).into());
        *response.status_mut() = StatusCode::from_u16(self.code.http_status())
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        set_result_headers(headers, self.code, request_id);
        response
    }

    /// Returns the response of a request, or converts its failure to one.
    pub fn response_of(
        result: Result<response::Response, Failure>,
        request_id: &str,
    ) -> response::Response {
        result.unwrap_or_else(|failure| failure.into_response(request_id))
    }

    /// Converts the failure to the last event of a stream that is aborted.
    pub fn into_event(self, request_id: &str) -> Bytes {
        Bytes::from(format!("event: error\ndata: {}\n\n", self.body(request_id)))
    }
}

/// Sets the result code and request id headers, which every response carries.
pub fn set_result_headers(headers: &mut http::HeaderMap, code: code::ResultCode, request_id: &str) {
    headers.insert(RESULT_HEADER, HeaderValue::from(code.number()));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}
