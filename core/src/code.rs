//! Numbered result codes in answers to callers.

use std::fmt;

/// Whether a target has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No target has run the request, and none will.
    No,
    /// A target may have run the request.
    Unknown,
    /// A target has run the request.
    Yes,
}

impl Ran {
    /// Text of the value in error bodies and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])* $variant:ident = $number:literal, $name:literal, $status:literal, $ran:ident;)*) => {
        /// Result of a request, as reported to its caller.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $($(#[doc = $doc])* $variant = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// Name of the code in error bodies.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => $name,)* }
            }

            /// Meaning of the code in one sentence, for the page of result codes.
            pub fn summary(self) -> &'static str {
                match self { $(ResultCode::$variant => concat!($($doc),*).trim_ascii(),)* }
            }

            /// HTTP status of an answer with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }

            /// Whether the request was run.
            pub fn ran(self) -> Ran {
                match self { $(ResultCode::$variant => Ran::$ran,)* }
            }
        }
    };
}

result_codes! {
    /// The target's whole answer was forwarded.
    Ok = 0, "ok", 200, Yes;
    /// The request couldn't be parsed.
    MalformedRequest = 100, "malformed-request", 400, No;
    /// The body is larger than the router accepts.
    BodyTooLarge = 101, "body-too-large", 413, No;
    /// The headers are larger than the router accepts.
    HeadersTooLarge = 102, "headers-too-large", 431, No;
    /// The body didn't arrive in time.
    BodyTimeout = 103, "body-timeout", 408, No;
    /// No team has this key.
    UnknownKey = 110, "unknown-key", 401, No;
    /// The team may not use this class.
    ClassNotAllowed = 111, "class-not-allowed", 403, No;
    /// The model doesn't exist.
    UnknownModel = 120, "unknown-model", 404, No;
    /// The service doesn't exist.
    UnknownService = 121, "unknown-service", 404, No;
    /// The price list has no such class.
    UnknownClass = 122, "unknown-class", 400, No;
    /// The path doesn't exist.
    UnknownPath = 123, "unknown-path", 404, No;
    /// The path doesn't support this method.
    MethodNotAllowed = 124, "method-not-allowed", 405, No;
    /// The team has too many requests waiting.
    WaitingLimit = 200, "waiting-limit", 429, No;
    /// The team has too many bytes waiting.
    WaitingBytesLimit = 201, "waiting-bytes-limit", 429, No;
    /// No slot was free within the maximum wait of the class.
    WaitExpired = 202, "wait-expired", 503, No;
    /// The router isn't ready yet.
    NotReady = 300, "not-ready", 503, No;
    /// The router is shutting down.
    Draining = 301, "draining", 503, No;
    /// No target could be connected to.
    TargetUnreachable = 302, "target-unreachable", 502, No;
    /// The platform's log couldn't record the call, so it wasn't sent.
    LogUnavailable = 303, "log-unavailable", 503, No;
    /// The connection to the target was lost after the request was sent.
    TargetLost = 400, "target-lost", 502, Unknown;
    /// The target sent no data within the timeout.
    TargetTimeout = 401, "target-timeout", 504, Unknown;
    /// The answer was interrupted after a part of it was forwarded.
    AnswerInterrupted = 402, "answer-interrupted", 502, Unknown;
    /// The target answered with an error.
    TargetError = 403, "target-error", 502, Unknown;
    /// A request with the same idempotency key is in progress.
    InProgress = 500, "in-progress", 409, Unknown;
    /// A request with the same idempotency key was sent, and its outcome isn't known.
    OutcomeUnknown = 501, "outcome-unknown", 409, Unknown;
    /// The idempotency key was used for another request.
    KeyReused = 502, "key-reused", 422, No;
    /// The idempotency key is older than the time for which keys are kept.
    KeyExpired = 503, "key-expired", 410, Unknown;
    /// The caller closed its connection.
    CallerLeft = 600, "caller-left", 499, Unknown;
}

impl ResultCode {
    /// Number of the code, as in the `Gentianhinge-Result` header.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
