//! Answers that are complete or worthless: read as a whole before the caller gets anything.

use bytes::Bytes;
use gentianhinge_platform::answer;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::upstream::{Lease, Upstream};

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A complete answer of a target.
#[derive(Debug)]
pub struct Whole {
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
/// The body breaks off, or is too large.
pub async fn read(
    answer: http::Response<Incoming>,
    said: answer::Said,
    lease: Lease,
    upstream: &Upstream,
) -> Result<Whole, String> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|err| err.to_string())?.to_bytes();
    if !said.is_closing && !said.is_strange {
        lease.give_back(upstream, said.idle_time);
    }
    Ok(Whole { status: head.status, headers: head.headers, said, body })
}
