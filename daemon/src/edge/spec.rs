//! A request as admission sees it, and the decisions on it.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::ids::Name;
use gentianhinge_core::prompt::Prompt;
use gentianhinge_core::registry::Target;
use gentianhinge_core::report::Hash;
use gentianhinge_core::share::TeamShare;
use gentianhinge_core::{admission, placement, quarantine};
use rand::Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

/// What is the same when a request comes again, at any router.
#[derive(Debug, Default)]
pub struct Identity {
    /// Hash of the team's name; 0 without a team.
    pub team: Hash,
    /// Method.
    pub method: http::Method,
    /// Path with query.
    pub path_and_query: String,
    /// Complete body.
    pub body: Bytes,
    key: OnceLock<Hash>,
}

impl Identity {
    /// Identity of a request of a team.
    pub fn new(team: Hash, head: &http::request::Parts, body: &Bytes) -> Identity {
        let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
        Identity {
            team,
            method: head.method.clone(),
            path_and_query: path_and_query.to_string(),
            body: body.clone(),
            key: OnceLock::new(),
        }
    }

    /// Key by which routers tell each other of the request. It is computed at first use, since it is
    /// needed only while there is evidence.
    pub fn key(&self) -> Hash {
        let method = self.method.as_str();
        *self.key.get_or_init(|| {
            quarantine::request_key(self.team, method, &self.path_and_query, &self.body)
        })
    }
}

/// Properties of a request on which admission and the choice of a target depend.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Request id.
    pub request_id: Name,
    /// Service that runs the request.
    pub service: Name,
    /// The prompt of a model request; `None` for other services.
    pub prompt: Option<Prompt>,
    /// Hash of the team's name; 0 without a team.
    pub team: Hash,
    /// What is the same when the request comes again.
    pub identity: Arc<Identity>,
    /// When the request arrived, or its retry was queued.
    pub arrived_at: Instant,
    /// When the latency target ends.
    pub due_at: Instant,
    /// Deadline of the caller or the route, whichever is earlier.
    pub deadline: Instant,
    /// Number of urgency steps below the most urgent route of the service.
    pub urgency_step: u32,
    /// Targets to which the request was already sent.
    pub tried: SmallVec<[Hash; 2]>,
    /// Whether this is a retry, which goes before new requests.
    pub is_retry: bool,
    /// Requests of the service that wait at this router and are decided before this one.
    pub ahead_count: u32,
    /// Hash of the software version that its target must have, as the request resumes a stream that
    /// this version began.
    pub required_version: Option<Hash>,
}

impl RequestSpec {
    /// Ids of the shared parts of the prompt.
    pub fn shared_parts(&self) -> SmallVec<[u64; 4]> {
        self.prompt.as_ref().map(quarantine::shared_parts).unwrap_or_default()
    }

    /// Tokens charged to the team.
    pub fn charged_tokens(&self) -> u32 {
        self.prompt.as_ref().map_or(0, Prompt::charged_tokens)
    }
}

/// What a caller states of the stream that it resumes.
#[derive(Clone, Debug, Default)]
pub struct Resumption {
    /// Id of the last event that it has received; `None` for a new stream.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event.
    pub stream: Option<Name>,
}

/// The target chosen for a request.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The target.
    pub target: Arc<Target>,
    /// Hash of the target's incarnation.
    pub hash: Hash,
    /// The estimates on which the choice is based.
    pub choice: placement::Choice,
    /// Limit of the target in requests per second, and the time since the target stated it.
    pub limit: Option<(f64, Duration)>,
    /// What else is needed to compare the estimates with the time to the first event.
    pub timing: Timing,
}

/// What was known of a target's speed when a request was sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time to the first event expected in addition to wait and read time, in ms.
    pub fixed_ms: f64,
    /// How much longer than usual work takes on the target's host, as it stated lately.
    pub host_scale: f64,
    /// Whether the target was ejected and hasn't served a request since.
    pub is_unproven: bool,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { fixed_ms: 0.0, host_scale: 1.0, is_unproven: false }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Time after which a retry is likely to be served.
    pub retry_after: Duration,
    /// Whether the service has no usable target.
    pub has_no_target: bool,
    /// How much the team has used of its share.
    pub team_share: TeamShare,
    /// Backlog of prompts at the best target, in ms; 0 if the queue was full.
    pub backlog_ms: f64,
    /// Mean backlog of prompts over all targets, in ms; 0 if the queue was full, and for services
    /// without prompts.
    pub mean_backlog_ms: f64,
    /// Expected time until a target takes the request, if all have limits or want no requests; in
    /// ms.
    pub opens_in_ms: f64,
    /// Whether the queue was full and this request was last in its order.
    pub is_crowded_out: bool,
    /// Whether targets crash under the request or parts of its prompt.
    pub is_quarantined: bool,
    /// Whether all targets of the service are in evacuated zones.
    pub is_evacuated: bool,
    /// Whether no target has the version that the request needs.
    pub has_no_version: bool,
}

impl Refused {
    /// `retry_after` with jitter, so that callers refused at the same time return spread.
    pub fn retry_after_with_jitter(&self) -> Duration {
        let opens_in = Duration::from_secs_f64(self.opens_in_ms / 1e3);
        admission::add_jitter(self.retry_after, opens_in, rand::rng().random())
    }
}

/// Decision on a request that leaves the queue.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it; its load is already counted.
    Send(Placement),
    /// Refuse it.
    Refuse(Refused),
}
