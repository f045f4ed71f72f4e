//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use gentianhinge_platform::answer;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;

quick_error! {
    /// A stream that ends before its end.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection is closed, so that the answer doesn't look complete.
        Truncated {
            display("the stream broke off")
        }
    }
}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a request isn't served by a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfig,
    /// No route fits.
    NoRoute,
    /// No team has the key.
    UnknownKey,
    /// The body is too large.
    BodyTooLarge,
    /// The body broke off.
    BodyBroken,
    /// No target is there.
    NoTarget,
    /// Targets are too busy for it to be served in time.
    Overload,
    /// No target that was chosen could be reached.
    NotSent,
    /// All targets that were asked say that they didn't run it.
    NotRun,
    /// The time limit came before it was sent.
    TooLate,
    /// A target may have run it, and gave no answer.
    Unknown,
    /// The time limit came after it was sent.
    Timeout,
}

impl Reason {
    /// Status for the caller. 429 and 503 promise that the request wasn't run and won't be.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyBroken => StatusCode::BAD_REQUEST,
            Reason::NoConfig
            | Reason::NoTarget
            | Reason::Overload
            | Reason::NotSent
            | Reason::NotRun
            | Reason::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Unknown => StatusCode::BAD_GATEWAY,
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoConfig => "no-config",
            Reason::NoRoute => "no-route",
            Reason::UnknownKey => "unknown-key",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BodyBroken => "body-broken",
            Reason::NoTarget => "no-target",
            Reason::Overload => "overload",
            Reason::NotSent => "not-sent",
            Reason::NotRun => "not-run",
            Reason::TooLate => "too-late",
            Reason::Unknown => "unknown-outcome",
            Reason::Timeout => "timeout",
        }
    }
}

/// What an outcome in the log means, for operators.
pub fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "served" => "a target's whole answer was passed on",
        "no-config" => "not run: this router knew no configuration yet",
        "no-route" => "not run: no route of the configuration fits host and path",
        "unknown-key" => "not run: no team has this key in the configuration",
        "body-too-large" => "not run: the body is larger than the configuration allows",
        "body-broken" => "not run: the caller's body didn't come whole",
        "no-target" => "not run: no target of the service was known",
        "overload" => "not run: every target was too busy for it to be served in time",
        "not-sent" => "not run: the targets that were chosen couldn't be reached",
        "not-run" => "not run: the targets that were asked said so",
        "too-late" => "not run: its time was over before a target was free",
        "unknown-outcome" => {
            "it may have run: the target gave no proper answer, and it can't be repeated"
        }
        "timeout" => "it may have run: its time was over before the answer came",
        "target-failed" => "run: the target's own failure was passed on",
        "stream-cut" => "run in part: the stream broke off and could not be gone on with",
        "caller-left" => "the caller closed its connection first",
        _ => "an outcome that this version doesn't know",
    }
}

/// An answer of our own.
pub fn error_response(
    reason: Reason,
    request_id: &str,
    retry_after: Option<Duration>,
) -> http::Response<Body> {
    let mut response = http::Response::new(full_body(Bytes::from(format!("{}\n", reason.name()))));
    *response.status_mut() = reason.status();
    *response.headers_mut() = answer::own_head(request_id, retry_after);
    response
}

/// A body that is there as a whole.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Tells the caller to use another connection for its next request.
pub fn set_connection_close(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}
