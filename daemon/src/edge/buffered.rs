//! Answers that are complete or worthless: read as a whole before the caller gets anything.

use bytes::Bytes;
use gentianhinge_platform::answer;
use hyper::body::Incoming;

use super::serve::Traffic;
use super::upstream::Lease;

/// A complete answer of a target.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// What the headers say.
    pub said: answer::Said,
    /// Its body.
    pub body: Bytes,
}

/// Reads the body of an answer and keeps the connection if it can serve again.
///
/// # Errors
///
/// The body breaks off, or there is no room for it.
pub async fn read(
    response: http::Response<Incoming>,
    said: answer::Said,
    lease: Lease,
    traffic: &Traffic,
) -> Result<BufferedResponse, String> {
    let (head, body) = response.into_parts();
    let body = traffic.response_buffers.read(body).await?;
    if !said.is_closing && !said.is_strange {
        lease.release(&traffic.upstream, said.idle_time);
    }
    Ok(BufferedResponse { status: head.status, headers: head.headers, said, body })
}
