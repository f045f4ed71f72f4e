//! Test double of the platform's store, with keyed topics in memory, the limits of its answers, and
//! optionally the rate that all reads share.

use std::collections::{BTreeMap, HashMap};
use std::net;
use std::sync::{Arc, Mutex, atomic};
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use serde_json::json;

use super::KEY;
use super::link::{Link, Sent};

/// Maximum number of items of a page of a listing, as the platform's store has it.
const MAX_PAGE_ITEMS: usize = 500;

/// Size of a page of a listing, in bytes, from which it takes no further item.
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Size in KB of the records of a read that names none.
const DEFAULT_READ_KB: usize = 1024;

/// Copy of a store's topics.
pub type Backup = HashMap<String, Vec<(String, Vec<u8>)>>;

/// Records of a topic, by their offsets.
#[derive(Debug, Default)]
struct Topic {
    records: Vec<(String, Bytes)>,
    /// Offset of the oldest record that can be read.
    first_offset: usize,
    /// Offset of the newest record of each key that has a value.
    newest: BTreeMap<String, usize>,
}

impl Topic {
    fn push(&mut self, key: &str, value: Bytes) {
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_string(), self.records.len());
        }
        self.records.push((key.to_string(), value));
    }

    /// Body of a read: the topic's ends, and records of `max_bytes`, but at least one.
    fn read(&self, from: usize, max_bytes: usize) -> Vec<u8> {
        let mut body = (self.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&(self.first_offset as u64).to_be_bytes());
        let head_len = body.len();
        for (key, value) in &self.records[from..] {
            let len = 1 + key.len() + value.len();
            if body.len() > head_len && body.len() + 4 + len > max_bytes {
                break;
            }
            body.extend_from_slice(&u32::try_from(len).unwrap().to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        body
    }

    /// Body of a page of a listing.
    fn page(&self, after: Option<&str>) -> Vec<u8> {
        use std::ops::Bound;

        let begin = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut newest = self.newest.range::<str, _>((begin, Bound::Unbounded)).peekable();
        let (mut items, mut len) = (Vec::new(), 0);
        while items.len() < MAX_PAGE_ITEMS && len < MAX_PAGE_BYTES {
            let Some((key, offset)) = newest.next() else { break };
            let value = BASE64_STANDARD.encode(&self.records[*offset].1);
            len += key.len() + value.len();
            items.push(json!({ "key": key, "value": value, "offset": offset }));
        }
        let has_more = newest.peek().is_some();
        json!({ "items": items, "has_more": has_more, "end_offset": self.records.len() })
            .to_string()
            .into_bytes()
    }
}

/// Test double of the store.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Topic>>>,
    is_down: Arc<Mutex<bool>>,
    is_silent: Arc<Mutex<bool>>,
    era: Arc<Mutex<u64>>,
    read_bytes: Arc<Mutex<HashMap<String, usize>>>,
    failing_page_count: Arc<atomic::AtomicUsize>,
    link: Arc<Link>,
    versions: Arc<Mutex<HashMap<String, String>>>,
}

impl Store {
    /// Starts a store on a free port and returns its address.
    pub async fn start() -> (Store, net::SocketAddr) {
        let store = Store::default();
        let app = axum::Router::new()
            .route("/log-newest", axum::routing::get(log_newest))
            .route("/log-read", axum::routing::get(log_read))
            .route("/log-append", axum::routing::post(log_append))
            .layer(axum::middleware::map_response_with_state(store.clone(), state_era))
            .with_state(store.clone());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        (store, addr)
    }

    /// The rate that reads share, and what was sent.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Copies all topics.
    pub fn backup(&self) -> Backup {
        let topics = self.topics.lock().unwrap();
        let copy = |topic: &Topic| {
            let records = topic.records.iter();
            records.map(|(key, value)| (key.clone(), value.to_vec())).collect()
        };
        topics.iter().map(|(name, topic)| (name.clone(), copy(topic))).collect()
    }

    /// Replaces all topics by a copy, which begins a new era.
    pub fn restore(&self, backup: Backup) {
        let mut topics = self.topics.lock().unwrap();
        topics.clear();
        for (name, records) in backup {
            let topic = topics.entry(name).or_default();
            records.into_iter().for_each(|(key, value)| topic.push(&key, value.into()));
        }
        *self.era.lock().unwrap() += 1;
    }

    /// Deletes the records of a topic before an offset; listings still have the newest of each key.
    pub fn trim(&self, topic: &str, before: usize) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_string()).or_default();
        topic.first_offset = topic.first_offset.max(before.min(topic.records.len()));
    }

    /// Bytes of a topic's records, with those of repeated reads, that routers have read.
    pub fn read_bytes(&self, topic: &str) -> usize {
        self.read_bytes.lock().unwrap().get(topic).copied().unwrap_or(0)
    }

    /// Makes the store refuse the next `count` calls for further pages of listings.
    pub fn fail_pages(&self, count: usize) {
        self.failing_page_count.store(count, atomic::Ordering::Relaxed);
    }

    /// Number of records of a topic.
    pub fn len(&self, topic: &str) -> usize {
        self.topics.lock().unwrap().get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Whether a topic has a record with this key.
    pub fn has_key(&self, topic: &str, key: &str) -> bool {
        let topics = self.topics.lock().unwrap();
        topics.get(topic).is_some_and(|topic| topic.records.iter().any(|(name, _)| name == key))
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: impl Into<Vec<u8>>) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_string()).or_default().push(key, value.into().into());
    }

    /// Makes the store respond 503 to all calls, or serve them again.
    pub fn set_down(&self, is_down: bool) {
        *self.is_down.lock().unwrap() = is_down;
    }

    /// Makes new long polls of the configuration hang forever, or ends this for later ones.
    pub fn set_silent(&self, is_silent: bool) {
        *self.is_silent.lock().unwrap() = is_silent;
    }

    fn body(&self, sent: Sent, body: Vec<u8>) -> Response {
        let len = body.len();
        let body = Body::from_stream(Link::send(&self.link, sent, body.into()));
        ([(header::CONTENT_LENGTH, len)], body).into_response()
    }

    /// Appends a configuration with the routes of these tests.
    pub fn put_config(&self, version: u64) {
        self.put_config_with_timeout(version, Duration::from_millis(4000));
    }

    /// The same with another timeout of all routes.
    pub fn put_config_with_timeout(&self, version: u64, timeout: Duration) {
        self.put_config_of(version, timeout, json!({ "name": "desk", "max_conns": 100 }));
    }

    /// Appends a configuration in which a cold target tolerates `cold_per_s` requests per second.
    pub fn put_config_with_cold(&self, version: u64, cold_per_s: f64) {
        let service = json!({
            "name": "desk", "max_conns": 100, "cold_start_s": 5, "cold_per_s": cold_per_s,
        });
        self.put_config_of(version, Duration::from_millis(4000), service);
    }

    /// Appends a configuration with `extra_count` more routes, at some 170 bytes each.
    pub fn put_long_config(&self, version: u64, extra_count: usize) {
        let service = json!({ "name": "desk", "max_conns": 100 });
        self.put_config_with(version, Duration::from_millis(4000), service, extra_count);
    }

    /// Appends the newest configuration again, with changes.
    pub fn change_config(&self, version: u64, change: impl FnOnce(&mut serde_json::Value)) {
        let (_, newest) = self.backup()["keyed.op"].last().unwrap().clone();
        let mut config = serde_json::from_slice::<serde_json::Value>(&newest).unwrap();
        config["version"] = version.into();
        change(&mut config);
        self.put("keyed.op", "config", config.to_string());
    }

    fn put_config_of(&self, version: u64, timeout: Duration, service: serde_json::Value) {
        self.put_config_with(version, timeout, service, 0);
    }

    fn put_config_with(
        &self,
        version: u64,
        timeout: Duration,
        service: serde_json::Value,
        extra_count: usize,
    ) {
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap();
        let route = |name: &str, kind: &str, attempts: u32, extra_fields: serde_json::Value| {
            let mut route = json!({
                "name": name, "host": "lanes.example", "path_prefix": format!("/{name}/"),
                "route_kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 400, "priority": 1,
                "service": "desk", "max_attempts": attempts,
            });
            route.as_object_mut().unwrap().extend(extra_fields.as_object().unwrap().clone());
            route
        };
        let mut routes = vec![
            route("book", "non_idempotent", 2, json!({})),
            route("look", "idempotent", 2, json!({})),
            route(
                "brief",
                "streaming",
                2,
                json!({
                    "resumable": true, "gap_aim_ms": 200, "sticky": true,
                }),
            ),
            route("note", "streaming", 1, json!({ "resumable": false, "gap_aim_ms": 200 })),
        ];
        routes
            .extend((0..extra_count).map(|i| route(&format!("x{i}"), "idempotent", 2, json!({}))));
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": { "max_body_bytes": 4096 },
            "tenants": [{ "name": "clubs", "api_keys": [KEY], "priority": 1 }],
        });
        self.put("keyed.op", "config", config.to_string());
    }

    /// Appends the registration of a target in a state such as `ready` or `draining`.
    pub fn put_target(&self, id: &str, addr: net::SocketAddr, state: &str) {
        self.put_target_in("a", id, addr, state);
    }

    /// The same for a target in another availability zone.
    pub fn put_target_in(&self, zone: &str, id: &str, addr: net::SocketAddr, state: &str) {
        self.put_record(zone, id, addr, state, 1, Duration::ZERO);
    }

    /// Appends a heartbeat of a target that stays cold for a time.
    pub fn put_target_heartbeat(
        &self,
        id: &str,
        addr: net::SocketAddr,
        state: &str,
        heartbeat: u64,
        cold_left: Duration,
    ) {
        self.put_record("a", id, addr, state, heartbeat, cold_left);
    }

    /// Sets the software version in later records of a target, `v1` by default.
    pub fn set_version(&self, id: &str, version: &str) {
        self.versions.lock().unwrap().insert(id.to_string(), version.to_string());
    }

    /// Appends the registration of a target of a software version, whose process started at
    /// `started_ms`.
    pub fn put_target_version(
        &self,
        id: &str,
        addr: net::SocketAddr,
        state: &str,
        version: impl Into<serde_json::Value>,
        started_ms: u64,
    ) {
        let record = json!({
            "service": "desk", "address": addr.to_string(), "zone": "a", "version": version.into(),
            "slots": 8, "state": state, "cold_left_ms": 0, "seq_no": 1, "born": started_ms,
        });
        self.put("keyed.servers", id, record.to_string());
    }

    fn put_record(
        &self,
        zone: &str,
        id: &str,
        addr: net::SocketAddr,
        state: &str,
        heartbeat: u64,
        cold_left: Duration,
    ) {
        let version = self.versions.lock().unwrap().get(id).cloned();
        let record = json!({
            "service": "desk", "address": addr.to_string(), "zone": zone,
            "version": version.as_deref().unwrap_or("v1"), "slots": 8, "state": state, "cold_left_ms": cold_left.as_millis() as u64,
            "seq_no": heartbeat, "born": 1,
        });
        self.put("keyed.servers", id, record.to_string());
    }
}

async fn state_era(State(store): State<Store>, mut response: Response) -> Response {
    let era = *store.era.lock().unwrap() + 1;
    response.headers_mut().insert("store-era", era.into());
    response
}

async fn log_newest(
    State(store): State<Store>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    if *store.is_down.lock().unwrap() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let after = query.get("after").map(String::as_str);
    if after.is_some() {
        let one_less = |count: usize| count.checked_sub(1);
        let order = atomic::Ordering::Relaxed;
        if store.failing_page_count.fetch_update(order, order, one_less).is_ok() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
    }
    let name = &query["topic"];
    let page = store.topics.lock().unwrap().entry(name.clone()).or_default().page(after);
    let call = if after.is_some() { "later page" } else { "first page" };
    store.body(Sent::new(name, call), page)
}

async fn log_read(
    State(store): State<Store>,
    Query(query): Query<HashMap<String, String>>,
) -> Response {
    let from = query["from"].parse::<usize>().unwrap();
    let max_kb = query.get("max_kb").map_or(DEFAULT_READ_KB, |text| text.parse().unwrap());
    let wait = Duration::from_millis(query["wait_ms"].parse().unwrap());
    let name = &query["topic"];
    let ends_at = Instant::now() + wait;
    if *store.is_silent.lock().unwrap() && name == "keyed.op" && !wait.is_zero() {
        std::future::pending::<()>().await;
    }
    loop {
        if *store.is_down.lock().unwrap() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let (len, first_offset) = {
            let mut topics = store.topics.lock().unwrap();
            let topic = topics.entry(name.clone()).or_default();
            (topic.records.len(), topic.first_offset)
        };
        if from > len || from < first_offset {
            let body = axum::Json(json!({ "first_offset": first_offset }));
            return (StatusCode::GONE, body).into_response();
        }
        if len > from || Instant::now() >= ends_at {
            let body = store.topics.lock().unwrap()[name].read(from, max_kb * 1024);
            *store.read_bytes.lock().unwrap().entry(name.clone()).or_default() += body.len();
            let call = match (from, wait.is_zero()) {
                (0, _) => "read of history",
                (_, true) => "read",
                (_, false) => "long poll",
            };
            return store.body(Sent::new(name, call), body);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn log_append(
    State(store): State<Store>,
    Query(query): Query<HashMap<String, String>>,
    body: Bytes,
) -> Response {
    if *store.is_down.lock().unwrap() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let key_len = usize::from(body[4]);
    let key = String::from_utf8(body[5..5 + key_len].to_vec()).unwrap();
    store.put(&query["topic"], &key, body[5 + key_len..].to_vec());
    axum::Json(json!({ "offset": 0, "end_offset": 1 })).into_response()
}
