//! Calls with an idempotency key, which run at most once: each is claimed in the log before it is
//! sent.

use std::sync;

use axum::response;
use bytes::Bytes;
use gentianhinge_core::claim::{Answer, CallHash, KeyId, Outcome};
use gentianhinge_core::code::{Ran, ResultCode};
use http::{HeaderValue, header};

use super::Traffic;
use super::failure::Failure;
use crate::platform::claims::{Claim, ClaimResult};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The claim of a call in progress; empty if the call has no idempotency key.
///
/// A claim that is dropped unsettled records the call as not run before
/// [`CallClaim::mark_sending`], and as of unknown outcome after it.
#[derive(Debug, Default)]
pub struct CallClaim {
    claim: sync::Mutex<Option<Claim>>,
}

impl CallClaim {
    /// Marks the call as about to be sent; from now on it may have run.
    pub fn mark_sending(&self) {
        if let Some(claim) = self.lock().as_mut() {
            claim.mark_sending();
        }
    }

    fn set(&self, claim: Claim) {
        *self.lock() = Some(claim);
    }

    /// Records the outcome of the call in the log, if it was claimed.
    pub fn settle(&self, result: &Result<http::Response<Bytes>, Failure>) {
        let Some(claim) = self.lock().take() else { return };
        claim.settle(match result {
            Ok(answer) => Outcome::Answered(stored_answer(answer)),
            Err(failure) if failure.code.ran() == Ran::No => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Claim>> {
        self.claim.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn stored_answer(answer: &http::Response<Bytes>) -> Answer {
    let content_type = answer.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: answer.status().as_u16(),
        content_type: content_type.map(Into::into),
        body: answer.body().to_vec(),
    }
}

/// Claims a call, or returns the stored response if a call with its key has already completed.
///
/// `None` means that the call is claimed and may be sent once.
///
/// # Errors
///
/// The call may not be sent: another call has claimed its key, the key is invalid, or the log can't
/// record the claim.
pub async fn claim(
    traffic: &Traffic,
    slot: &CallClaim,
    (team, key): (&str, &HeaderValue),
    call: CallHash,
) -> Result<Option<http::Response<Bytes>>, Failure> {
    let Some(claims) = &traffic.claims else {
        let message = "no log is set up to record calls that run at most once";
        return Err(Failure::new(ResultCode::LogUnavailable, message));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the idempotency key has no byte, or more than {MAX_KEY_BYTES}");
        return Err(Failure::new(ResultCode::MalformedRequest, message));
    }
    let refuse = |code, message: &str| Err(Failure::new(code, message));
    match claims.claim(KeyId::new(team, key.as_bytes()), call).await {
        ClaimResult::Claimed(claim) => {
            slot.set(claim);
            Ok(None)
        }
        ClaimResult::Stored(answer) => Ok(Some(response_of(answer))),
        ClaimResult::InProgress => {
            refuse(ResultCode::InProgress, "a call with this idempotency key is in progress")
        }
        ClaimResult::Unknown => refuse(
            ResultCode::OutcomeUnknown,
            "a call with this idempotency key was sent; its answer isn't known or wasn't kept",
        ),
        ClaimResult::Refused(ResultCode::KeyReused) => {
            refuse(ResultCode::KeyReused, "the idempotency key was used for another call")
        }
        ClaimResult::Refused(code) => refuse(code, "the log can't record the call"),
    }
}

fn response_of(answer: Answer) -> http::Response<Bytes> {
    let mut response = response::Response::new(Bytes::from(answer.body));
    // Only statuses received from a target are stored, so the status is always valid.
    *response.status_mut() = http::StatusCode::from_u16(answer.status).unwrap_or_default();
    let content_type = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Hashes the method, the path with query, and the body; a key that is reused with a different hash
/// is refused.
pub fn call_hash(method: &http::Method, path_and_query: &str, body: &[u8]) -> CallHash {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    CallHash(*hasher.finalize().as_bytes())
}
