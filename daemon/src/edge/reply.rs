//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use gentianhinge_platform::answer;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use quick_error::quick_error;

use super::spec::Refused;

quick_error! {
    /// Error that ends the body of a response early.
    #[derive(Debug)]
    pub enum BodyError {
        /// The stream is incomplete; the connection is closed so that the caller can tell.
        Truncated {
            display("the stream ended early")
        }
    }
}

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a request has no response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration has been read yet.
    NoConfig,
    /// No route or team of the configuration matches, and a newer one may have been written.
    OldConfig,
    /// No route matches.
    NoRoute,
    /// The key belongs to no team.
    UnknownKey,
    /// The request body exceeds the configured limit.
    BodyTooLarge,
    /// The request body is incomplete.
    BodyBroken,
    /// This router has no memory left for the request body.
    NoMemory,
    /// The service has no usable target.
    NoTarget,
    /// All targets of the service are in evacuated availability zones.
    Evacuated,
    /// The targets are too busy to serve the request in time.
    Overload,
    /// Targets crash under the request or a part of its prompt.
    Quarantined,
    /// Nobody knows which of several software versions began the stream to be resumed.
    VersionUnknown,
    /// No target has the software version that began the stream to be resumed.
    VersionGone,
    /// The request couldn't be sent to the chosen targets.
    NotSent,
    /// The chosen targets stated that they didn't run the request.
    NotRun,
    /// The deadline passed before the request was sent.
    TooLate,
    /// A target may have run the request and returned no usable response.
    Unknown,
    /// The deadline passed after the request was sent.
    Timeout,
}

impl Reason {
    /// The reason for a request that admission refused.
    pub fn of_refusal(refused: &Refused) -> Reason {
        if refused.is_quarantined {
            Reason::Quarantined
        } else if refused.has_no_version {
            Reason::VersionGone
        } else if refused.is_evacuated {
            Reason::Evacuated
        } else if refused.has_no_target {
            Reason::NoTarget
        } else {
            Reason::Overload
        }
    }

    /// Status code for the caller. 429 and 503 mean that the request wasn't run and won't be.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyBroken => StatusCode::BAD_REQUEST,
            Reason::NoConfig
            | Reason::OldConfig
            | Reason::NoMemory
            | Reason::NoTarget
            | Reason::Evacuated
            | Reason::Overload
            | Reason::Quarantined
            | Reason::VersionUnknown
            | Reason::VersionGone
            | Reason::NotSent
            | Reason::NotRun
            | Reason::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Reason::Unknown => StatusCode::BAD_GATEWAY,
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoConfig => "no-config",
            Reason::OldConfig => "old-config",
            Reason::NoRoute => "no-route",
            Reason::UnknownKey => "unknown-key",
            Reason::BodyTooLarge => "body-too-large",
            Reason::BodyBroken => "body-broken",
            Reason::NoMemory => "no-memory",
            Reason::NoTarget => "no-target",
            Reason::Evacuated => "evacuated",
            Reason::Overload => "overload",
            Reason::Quarantined => "quarantined",
            Reason::VersionUnknown => "version-unknown",
            Reason::VersionGone => "version-gone",
            Reason::NotSent => "not-sent",
            Reason::NotRun => "not-run",
            Reason::TooLate => "too-late",
            Reason::Unknown => "unknown-outcome",
            Reason::Timeout => "timeout",
        }
    }
}

/// Describes an outcome from the log to operators.
pub fn meaning(outcome: &str) -> &'static str {
    match outcome {
        "served" => "run: a target's complete response was passed on",
        "no-config" => "not run: this router had not read a configuration yet",
        "old-config" => {
            "not run: no route or key matches, and this router may lack a newer configuration"
        }
        "no-route" => "not run: no route of the configuration matches host and path",
        "unknown-key" => "not run: no team of the configuration has this key",
        "body-too-large" => "not run: the request body is larger than the configuration allows",
        "body-broken" => "not run: the caller's request body was incomplete",
        "no-memory" => "not run: this router had no memory left for its body",
        "no-target" => "not run: the service had no usable target",
        "evacuated" => "not run: all targets of the service are in evacuated zones",
        "overload" => "not run: every target was too busy to serve it in time",
        "not-sent" => "not run: the chosen targets couldn't be reached",
        "quarantined" => "not run: targets crash under it or a part of its prompt",
        "version-unknown" => {
            "not run: this router doesn't know which software version began the stream to be resumed"
        }
        "version-gone" => {
            "not run: no target has the software version that began the stream to be resumed"
        }
        "not-run" => "not run: the chosen targets stated that they did not run it",
        "too-late" => {
            "not run: its deadline passed before it was read, or before a target was free"
        }
        "unknown-outcome" => {
            "it may have run: a target returned no usable response, and it can't be retried"
        }
        "timeout" => "it may have run: its deadline passed before the response arrived",
        "target-failed" => "run: the target's error response was passed on",
        "stream-cut" => "run in part: the stream was interrupted and could not be resumed",
        "caller-left" => "the caller disconnected before the response was complete",
        _ => "an outcome unknown to this version",
    }
}

/// Response of the router itself, without a target's.
pub fn error_response(
    reason: Reason,
    request_id: &str,
    retry_after: Option<Duration>,
) -> http::Response<Body> {
    let mut response = http::Response::new(full_body(Bytes::from(format!("{}\n", reason.name()))));
    *response.status_mut() = reason.status();
    *response.headers_mut() = answer::router_head(request_id, retry_after);
    response
}

/// Body with known content.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Asks the caller to close its connection after this response.
pub fn set_connection_close(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}
