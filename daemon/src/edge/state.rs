//! What a router believes, and the decisions that rest on it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::load::LoadView;
use gentianhinge_core::prompt::Prompt;
use gentianhinge_core::registry::{Registry, Target};
use gentianhinge_core::repeat::RepeatBudget;
use gentianhinge_core::report::{self, Hash};
use gentianhinge_core::routing::RouteTable;
use gentianhinge_core::share::{Shares, Standing};
use gentianhinge_core::{health, hold, place};
use gentianhinge_wire::edge;
use smallvec::SmallVec;
use tokio::time::Instant;

/// Time between two computations of the fair level.
const SHARES_INTERVAL: Duration = Duration::from_millis(350);

/// Time for which a look at all targets of a service holds: that between two looks at what waits.
const OUTLINE_INTERVAL: Duration = Duration::from_millis(10);

type Candidates<'a> = SmallVec<[place::Candidate<'a>; 32]>;

/// What a request needs of a target.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Id of the request.
    pub request_id: Name,
    /// Service that runs it.
    pub service: Name,
    /// The prompt, if it is one for a model.
    pub prompt: Option<Prompt>,
    /// Hash of the team's name; 0 if there is none.
    pub team: Hash,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When it stops being on time.
    pub due_at: Instant,
    /// When the caller, or the route, stops waiting.
    pub deadline: Instant,
    /// Steps of urgency below the most urgent kind of the service.
    pub urgency_step: u32,
    /// Targets that have had this request.
    pub tried: SmallVec<[Hash; 2]>,
    /// Whether a target has begun it, so that it goes before new requests.
    pub is_repeat: bool,
}

impl RequestSpec {
    /// Tokens that its team is charged.
    pub fn share_tokens(&self) -> u32 {
        self.prompt.as_ref().map_or(0, Prompt::share_tokens)
    }
}

/// A target that was chosen, and why.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The target.
    pub target: Arc<Target>,
    /// Hash of its incarnation.
    pub hash: Hash,
    /// Figures of the choice.
    pub choice: place::Choice,
}

/// A request that is turned away, and why.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// Time after which it is likely to be served.
    pub retry_after: Duration,
    /// Whether no target was there at all.
    pub has_no_target: bool,
    /// Where the team stood against the others.
    pub standing: Standing,
    /// Unread work at the best target, in ms; 0 if the queue was full.
    pub backlog_ms: f64,
    /// Mean unread work of all targets, in ms; 0 if the queue was full, and for plain services.
    pub mean_backlog_ms: f64,
    /// Whether as many requests waited as may, and this one was last in their order.
    pub is_crowded_out: bool,
}

/// What to do with a request that needn't wait any longer.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it; its load is counted already.
    Send(Placement),
    /// Refuse it.
    Refuse(Refused),
}

/// All beliefs of a router.
#[derive(Debug)]
pub struct RouterState {
    /// Configuration in force.
    pub table: Option<Arc<RouteTable>>,
    /// Targets.
    pub registry: Registry,
    /// Load of targets.
    pub load: LoadView,
    /// Shares of teams.
    pub shares: Shares,
    /// Budget of repeats.
    pub repeats: RepeatBudget,
    /// Health of targets.
    pub health: health::Health,
    /// How far this router has read the store.
    pub offsets: report::Offsets,
    /// How far any other router says that it has read the store.
    pub peer_offsets: report::Offsets,
    weights: place::Weights,
    policy: hold::Policy,
    shares_at: Option<Instant>,
    by_service: HashMap<Name, Vec<(Arc<Target>, Hash)>>,
    outlines: HashMap<Name, (Instant, hold::Outline)>,
    indexed_revision: u64,
    are_targets_loaded: bool,
}

impl RouterState {
    /// Creates a router's beliefs: nothing is known.
    pub fn new(bounds: &edge::EdgeBounds) -> RouterState {
        RouterState {
            table: None,
            registry: Registry::default(),
            load: LoadView::default(),
            shares: Shares::new(Duration::from_millis(bounds.share_window_ms)),
            repeats: repeat_budget(bounds),
            health: health::Health::default(),
            offsets: report::Offsets::default(),
            peer_offsets: report::Offsets::default(),
            weights: place::Weights::default(),
            policy: hold::Policy::default(),
            shares_at: None,
            by_service: HashMap::new(),
            outlines: HashMap::new(),
            indexed_revision: 0,
            are_targets_loaded: false,
        }
    }

    /// Works the fair level out anew if some time has passed. Both threads ask for it: the control
    /// thread for its reports, and the traffic thread since under a flood it leaves the other little.
    pub fn refresh_shares(&mut self, now: Instant) {
        if self.shares_at.is_some_and(|at| now < at + SHARES_INTERVAL) {
            return;
        }
        self.shares_at = Some(now);
        let capacity = self.table.as_ref().map_or(0.0, |table| table.limits.tokens_per_s);
        self.shares.recompute(capacity, now);
    }

    /// Takes over bounds that have changed.
    pub fn set_bounds(&mut self, bounds: &edge::EdgeBounds) {
        self.repeats.set_bounds(bounds.retry_ratio, bounds.extra_retries);
    }

    /// Whether enough is known to serve callers.
    pub fn can_serve(&self) -> bool {
        self.table.is_some() && self.are_targets_loaded
    }

    /// Notes that the registry was read as a whole.
    pub fn set_targets_loaded(&mut self) {
        self.are_targets_loaded = true;
    }

    /// Forgets what is believed of an incarnation of a target.
    pub fn forget(&mut self, hash: Hash) {
        self.load.forget(hash);
        self.health.forget(hash);
    }

    /// Lists targets anew by service if the registry has changed.
    fn refresh_target_index(&mut self) {
        if self.indexed_revision == self.registry.revision() {
            return;
        }
        self.indexed_revision = self.registry.revision();
        self.by_service.clear();
        self.outlines.clear();
        for target in self.registry.targets().filter(|target| !target.is_leaving) {
            let entries = self.by_service.entry(target.service.clone()).or_default();
            entries.push((target.clone(), target.hash()));
        }
    }

    fn choose(&mut self, spec: &RequestSpec, zone: &str, now: Instant) -> Option<Placement> {
        self.refresh_target_index();
        let all = self.by_service.get(&spec.service)?;
        let untried = all.iter().filter(|(_, hash)| !spec.tried.contains(hash));
        let (mut candidates, mut ejected, mut away) =
            (Candidates::new(), Candidates::new(), Candidates::new());
        for entry in untried {
            let hash = entry.1;
            let list = match self.health.is_ejected(hash, now) {
                false => &mut candidates,
                true if self.health.is_away(hash, now) => &mut away,
                true => &mut ejected,
            };
            list.push(candidate(entry));
        }
        let reachable_count = candidates.len() + ejected.len();
        if (candidates.len() as f64) < reachable_count as f64 * (1.0 - health::MAX_EJECTED_PART) {
            // Too many are left out: the rest would drown.
            candidates.extend(ejected);
        }
        if candidates.is_empty() {
            candidates = away;
        }
        let weights = &self.weights;
        let choice = match &spec.prompt {
            Some(prompt) => place::choose(&candidates, &self.load, prompt, zone, weights, now),
            None => place::choose_plain(&candidates, &self.load, zone, weights),
        }?;
        let chosen = candidates.get(choice.at)?;
        let (hash, id) = (chosen.hash, chosen.target.id.clone());
        let target = self.registry.get(&id)?.clone();
        Some(Placement { target, hash, choice })
    }

    /// What the targets of a service look like as a whole, a moment ago.
    fn outline(&mut self, service: &Name, now: Instant) -> Option<hold::Outline> {
        self.refresh_target_index();
        if let Some((at, outline)) = self.outlines.get(service)
            && now < *at + OUTLINE_INTERVAL
        {
            return Some(*outline);
        }
        let targets = self.by_service.get(service).filter(|targets| !targets.is_empty())?;
        let loads = targets.iter().map(|(_, hash)| self.load.load(*hash));
        let outline = place::outline(loads, &self.weights);
        self.outlines.insert(service.clone(), (now, outline));
        Some(outline)
    }

    /// The chosen target for a request, and what it looks like; without the target if none might get
    /// the request now.
    fn outlook(
        &mut self,
        spec: &RequestSpec,
        waiter: &hold::Waiter,
        policy: &hold::Policy,
        zone: &str,
        now: Instant,
    ) -> (Option<Placement>, Option<hold::Outlook>) {
        if spec.prompt.is_some()
            && let Some(outline) = self.outline(&spec.service, now)
            && !policy.may_send(waiter, &outline)
        {
            let mean_wait_ms = outline.mean_wait_ms;
            let wait_ms = mean_wait_ms;
            let busy = hold::Outlook { wait_ms, read_ms: 0.0, has_slot: false, mean_wait_ms };
            return (None, Some(busy));
        }
        let placement = self.choose(spec, zone, now);
        let outlook = placement.as_ref().map(|placement| hold::Outlook {
            wait_ms: placement.choice.wait_ms,
            read_ms: placement.choice.read_ms,
            has_slot: placement.choice.has_slot,
            mean_wait_ms: placement.choice.mean_wait_ms,
        });
        (placement, outlook)
    }

    /// Decides on one request; if it is to be sent, its load counts from now on. `None` means that it
    /// is to be looked at again soon.
    pub fn decide(&mut self, spec: &RequestSpec, zone: &str, now: Instant) -> Option<Decision> {
        let waiter = self.waiter(spec);
        let policy = if spec.is_repeat { hold::Policy::for_repeats() } else { self.policy };
        let (placement, outlook) = self.outlook(spec, &waiter, &policy, zone, now);
        match hold::decide(&policy, &waiter, outlook.as_ref(), now) {
            hold::Verdict::Send => {
                let placement = placement?;
                self.record_dispatch(spec, &placement, now);
                Some(Decision::Send(placement))
            }
            hold::Verdict::Wait => None,
            hold::Verdict::Refuse { retry_after } => Some(Decision::Refuse(Refused {
                retry_after,
                has_no_target: outlook.is_none(),
                standing: waiter.standing,
                backlog_ms: outlook.map_or(0.0, |outlook| outlook.wait_ms),
                mean_backlog_ms: outlook.map_or(0.0, |outlook| outlook.mean_wait_ms),
                is_crowded_out: false,
            })),
        }
    }

    fn record_dispatch(&mut self, spec: &RequestSpec, placement: &Placement, now: Instant) {
        let no_prompt = Prompt::default();
        let prompt = spec.prompt.as_ref().unwrap_or(&no_prompt);
        self.load.begin(placement.hash, placement.choice.unread_tokens, prompt, now);
        self.health.sent(placement.hash, now);
        if !spec.is_repeat {
            self.shares.begin(spec.team, spec.share_tokens(), now);
        }
    }

    /// What the wait depends on.
    pub fn waiter(&self, spec: &RequestSpec) -> hold::Waiter {
        hold::Waiter {
            arrived_at: spec.arrived_at,
            due_at: spec.due_at,
            deadline: spec.deadline,
            urgency_step: spec.urgency_step,
            standing: self.shares.standing(spec.team),
        }
    }

    /// Place of a request in the order in which those that wait are looked at.
    pub fn rank(&self, spec: &RequestSpec, now: Instant) -> hold::Rank {
        self.waiter(spec).rank(&self.policy, now)
    }

    /// Takes another router's report.
    pub fn apply_report(&mut self, report: report::LoadReport, now: Instant) {
        if !self.load.hear(&report, now) {
            return;
        }
        self.peer_offsets = self.peer_offsets.max(report.offsets);
        if !report.teams.is_empty() {
            self.shares.hear(&report.sender, report.teams, now);
        }
        if !report.services.is_empty() {
            self.repeats.hear(&report.sender, report.services, now);
        }
    }
}

fn candidate((target, hash): &(Arc<Target>, Hash)) -> place::Candidate<'_> {
    place::Candidate { target, hash: *hash, slots: f64::from(target.slots) }
}

fn repeat_budget(bounds: &edge::EdgeBounds) -> RepeatBudget {
    let window = Duration::from_millis(bounds.retry_window_ms);
    RepeatBudget::new(bounds.retry_ratio, bounds.extra_retries, window)
}
