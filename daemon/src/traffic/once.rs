//! Calls with an idempotency key: claimed in the log before they are sent.

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

/// The claim of a call that is being served.
///
/// Dropped with the call, it settles itself by whether the call was about to be sent.
#[derive(Debug, Default)]
pub struct ClaimSlot {
    claim: sync::Mutex<Option<Claim>>,
}

impl ClaimSlot {
    /// Notes that the call is about to be sent.
    pub fn sending(&self) {
        if let Some(claim) = self.lock().as_mut() {
            claim.sending();
        }
    }

    fn put(&self, claim: Claim) {
        *self.lock() = Some(claim);
    }

    /// Records how the call ended, if it was claimed.
    pub fn settle(&self, result: &Result<http::Response<Bytes>, Failure>) {
        let Some(claim) = self.lock().take() else { return };
        claim.settle(match result {
            Ok(answer) => Outcome::Answered(kept(answer)),
            Err(failure) if failure.code.ran() == Ran::No => Outcome::NotRun,
            Err(_) => Outcome::Unknown,
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Claim>> {
        self.claim.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn kept(answer: &http::Response<Bytes>) -> Answer {
    let content_type = answer.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: answer.status().as_u16(),
        content_type: content_type.map(Into::into),
        body: answer.body().to_vec(),
    }
}

/// Claims a call, or gives the answer that its key has already come to.
///
/// # Errors
///
/// The call may not be sent: its key is taken, or the log can't record it.
pub async fn claim(
    traffic: &Traffic,
    slot: &ClaimSlot,
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
            slot.put(claim);
            Ok(None)
        }
        ClaimResult::Stored(answer) => Ok(Some(stored(answer))),
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

fn stored(answer: Answer) -> http::Response<Bytes> {
    let mut response = response::Response::new(Bytes::from(answer.body));
    // The status was a target's; one that isn't valid can't have been stored.
    *response.status_mut() = http::StatusCode::from_u16(answer.status).unwrap_or_default();
    let content_type = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Hashes what makes a call the same call.
pub fn call_hash(method: &http::Method, path_and_query: &str, body: &[u8]) -> CallHash {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    CallHash(*hasher.finalize().as_bytes())
}
