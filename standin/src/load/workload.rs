//! Random requests of the teams.

use std::str;
use std::sync::Arc;

use gentianhinge_core::ids::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Config;
use crate::engine::{Completion, Message};

/// Words of generated prompts.
const WORDS: [&str; 12] = [
    "lane", "target", "distance", "arrow", "range", "briefing", "incident", "wind", "club",
    "footing", "plinth", "quote",
];

/// An inclusive range of sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Minimum size; at least 1.
    pub min: u32,
    /// Maximum size.
    pub max: u32,
}

impl Range {
    /// Draws a size from a log-uniform distribution.
    fn sample(&self, rng: &mut SmallRng) -> u32 {
        let low = f64::from(self.min.max(1)).ln();
        let high = f64::from(self.max.max(self.min).max(1)).ln();
        let size = (low + (high - low) * rng.random::<f64>()).exp();
        (size.round() as u32).clamp(self.min.max(1), self.max.max(1))
    }
}

impl str::FromStr for Range {
    type Err = String;

    /// Parses `MIN..MAX` or a single size.
    fn from_str(text: &str) -> Result<Range, String> {
        let (min, max) = text.split_once("..").unwrap_or((text, text));
        let number = |part: &str| part.parse().map_err(|_| format!("{part:?} isn't a number"));
        let range = Range { min: number(min)?, max: number(max)? };
        if range.min == 0 || range.max < range.min {
            return Err(format!("{text:?} isn't a range with 1 ≤ MIN ≤ MAX"));
        }
        Ok(range)
    }
}

/// A class and its price.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Factor of the charged cost.
    pub price_ratio: f64,
}

/// A team that sends requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// API key of the team.
    pub key: String,
    /// Weight of the team in the table, for the report. Default: 1.
    pub weight: f64,
    /// Load relative to other teams. Default: 1.
    pub load_share: f64,
    /// Classes of its requests, uniformly distributed; the routers' default class if empty.
    pub classes: Vec<Class>,
}

impl Team {
    /// Creates a team with weight and load share 1 that states no class.
    pub fn new(name: impl Into<Name>, key: impl Into<String>) -> Team {
        Team {
            name: name.into(),
            key: key.into(),
            weight: 1.0,
            load_share: 1.0,
            classes: Vec::new(),
        }
    }
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCalls {
    /// Name of the service.
    pub service: String,
    /// Path of the calls, appended to `/services/NAME`.
    pub path: String,
    /// Ratio of requests that are calls of this service.
    pub ratio: f64,
    /// Whether each call has a unique idempotency key.
    pub has_keys: bool,
}

/// Kind and contents of a request.
#[derive(Clone, Debug)]
pub(super) enum RequestKind {
    Completion(Box<Completion>),
    ServiceCall { path: String, key: Option<String> },
}

/// A request to send.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) router_url: Arc<str>,
    pub(super) class: Option<Class>,
    pub(super) kind: RequestKind,
}

/// Generates the requests of a team, deterministically for a seed.
#[derive(Debug)]
pub(super) struct RequestSource {
    team_index: usize,
    team: Team,
    routers: Vec<Arc<str>>,
    config: Arc<Config>,
    prefix: String,
    rng: SmallRng,
    next_number: u64,
}

impl RequestSource {
    pub(super) fn new(config: &Arc<Config>, team_index: usize) -> RequestSource {
        let seed = config.seed.wrapping_mul(1_000_003).wrapping_add(team_index as u64);
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = config.router_urls.len();
        let count = match config.routers_per_team {
            0 => all,
            count => count.min(all),
        };
        let routers = (0..count).map(|i| config.router_urls[(team_index + i) % all].as_str());
        let routers = routers.map(Arc::from).collect();
        let prefix = random_text(&mut rng, config.prompt_bytes.max as usize / 2);
        RequestSource {
            team_index,
            team: config.teams[team_index].clone(),
            routers,
            config: Arc::clone(config),
            prefix,
            rng,
            next_number: 0,
        }
    }

    /// Draws the exponentially distributed time to the team's next request, in seconds.
    pub(super) fn interarrival_s(&mut self, requests_per_s: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / requests_per_s
    }

    pub(super) fn next(&mut self) -> Request {
        self.next_number += 1;
        let router = self.rng.random_range(0..self.routers.len());
        let class = match self.team.classes.len() {
            0 => None,
            count => Some(self.team.classes[self.rng.random_range(0..count)].clone()),
        };
        let service_ratio = self.config.service.as_ref().map_or(0.0, |service| service.ratio);
        let is_service_call = self.rng.random_bool(service_ratio.clamp(0.0, 1.0));
        let kind = if is_service_call { self.service_call() } else { self.completion() };
        Request { router_url: Arc::clone(&self.routers[router]), class, kind }
    }

    /// Unique tag of the latest request within the load.
    fn request_tag(&self) -> String {
        format!("{}-{}-{}", self.config.seed, self.team_index, self.next_number)
    }

    fn service_call(&mut self) -> RequestKind {
        let Some(service) = &self.config.service else { return self.completion() };
        let path = format!("/services/{}{}", service.service, service.path);
        RequestKind::ServiceCall { path, key: service.has_keys.then(|| self.request_tag()) }
    }

    /// Generates a completion. The first half of its prompt is a prefix shared by all prompts of
    /// the team, so that prefix caches have hits.
    fn completion(&mut self) -> RequestKind {
        let config = Arc::clone(&self.config);
        let length = config.prompt_bytes.sample(&mut self.rng) as usize;
        let mut prompt = self.prefix[..(length / 2).min(self.prefix.len())].to_owned();
        prompt += &random_text(&mut self.rng, length - prompt.len());
        let tokens = config.response_tokens.sample(&mut self.rng);
        RequestKind::Completion(Box::new(Completion {
            model: config.model.clone(),
            messages: vec![Message { role: "user".to_owned(), content: prompt }],
            max_tokens: Some(config.response_tokens.max),
            standin_tokens: Some(tokens),
            stream: self.rng.random_bool(config.streamed_ratio.clamp(0.0, 1.0)),
            user: Some(self.request_tag()),
            ..Completion::default()
        }))
    }
}

/// Random words, truncated to exactly this number of bytes.
fn random_text(rng: &mut SmallRng, length: usize) -> String {
    let mut text = String::with_capacity(length + 16);
    while text.len() < length {
        text.push_str(WORDS[rng.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text.truncate(length);
    text
}
