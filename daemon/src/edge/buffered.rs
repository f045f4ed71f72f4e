//! Responses that are read completely before any of them is passed to the caller.

use bytes::Bytes;
use gentianhinge_platform::answer;
use hyper::body::{Body as _, Incoming};

use super::response_limits;
use super::traffic::Traffic;
use super::upstream::Lease;

/// A complete response of a target.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: http::StatusCode,
    /// Headers as received.
    pub headers: http::HeaderMap,
    /// Decoded head.
    pub answer_head: answer::AnswerHead,
    /// Complete body.
    pub body: Bytes,
}

/// Reads the body of a response, and returns the connection to the pool if it can be reused.
///
/// # Errors
///
/// Describes why the body can't be read: the connection failed, the response buffers are full, or
/// the connection ended, and the body with it, before the request was sent as a whole.
pub async fn read(
    response: http::Response<Incoming>,
    answer_head: answer::AnswerHead,
    lease: Lease,
    traffic: &Traffic,
) -> Result<BufferedResponse, String> {
    let (head, body) = response.into_parts();
    // Unknown also of a chunked body. One that is empty by its status has a size.
    let has_unknown_size = body.size_hint().exact().is_none();
    let body = response_limits::read(body, &traffic.response_buffers).await?;
    if answer_head.ends_with_connection && has_unknown_size && lease.has_unsent() {
        return Err("response ended before the request was sent".to_string());
    }
    if !answer_head.is_closing && !answer_head.is_mismatched {
        lease.release(&traffic.upstream, answer_head.idle_timeout);
    }
    Ok(BufferedResponse { status: head.status, headers: head.headers, answer_head, body })
}
