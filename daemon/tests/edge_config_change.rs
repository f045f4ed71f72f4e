//! What changes of the configuration, and extreme values in it and in messages, do to requests.

mod edge_kit;
mod support;

use std::time::Duration;

use bytes::Bytes;
use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};
use gentianhinged::edge::events::EventSplitter;
use http_body_util::Full;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Paths of the routes: once only, repeatable, a stream that may be resumed, and one that may not.
const PATHS: [&str; 4] = ["/book/", "/look/", "/brief/", "/note/"];

/// A router, its store and the targets `t0`, `t1` and so on.
struct Fleet {
    targets: Vec<Target>,
    router: Router,
    store: Store,
}

async fn fleet(behaviors: &[Behavior]) -> Fleet {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let mut targets = Vec::new();
    for (i, behavior) in behaviors.iter().enumerate() {
        let (target, addr) = Target::start(&format!("t{i}"), *behavior).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    Fleet { targets, router, store }
}

/// Version of the configuration in force at a router.
async fn version(router: &Router) -> Option<u64> {
    let (_, body) = edge_kit::get(router.operators, "/status").await?;
    serde_json::from_str::<Value>(&body).ok()?["config_version"].as_u64()
}

/// Writes the newest configuration with changes as the next version.
fn put_changed_config(store: &Store, change: impl Fn(&mut Value)) -> u64 {
    let (_, newest) = store.backup()["keyed.op"].last().unwrap().clone();
    let mut config = serde_json::from_slice::<Value>(&newest).unwrap();
    let version = config["version"].as_u64().unwrap() + 1;
    config["version"] = version.into();
    change(&mut config);
    store.put("keyed.op", "config", config.to_string());
    version
}

/// Changes the configuration and waits until the change is in force.
async fn change_config(fleet: &Fleet, change: impl Fn(&mut Value)) {
    let expected = put_changed_config(&fleet.store, change);
    let is_in_force = async || version(&fleet.router).await == Some(expected);
    edge_kit::wait_for(APPLY_BOUND, is_in_force).await;
}

fn set_in_all_routes(config: &mut Value, name: &str, value: &Value) {
    for route in config["routes"].as_array_mut().unwrap() {
        route[name] = value.clone();
    }
}

/// Sends a request of each kind; all must be served.
async fn check_all_kinds_are_served(fleet: &Fleet, headers: &[(&str, &str)]) {
    for (i, path) in PATHS.into_iter().enumerate() {
        check_is_served(fleet, edge_kit::request(path, &format!("a{i}"), headers)).await;
    }
}

async fn check_is_served(fleet: &Fleet, request: http::Request<Full<Bytes>>) {
    let path = request.uri().path().to_string();
    let mut sender = edge_kit::connect(fleet.router.callers).await.unwrap();
    let response = sender.send_request(request).await;
    let response = response.unwrap_or_else(|err| panic!("{path}: no answer: {err}"));
    let response = edge_kit::read_response(response).await;
    assert_eq!((response.status, response.is_complete), (200, true), "{path}");
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_caller_with_a_huge_time_limit_is_answered: {
        let fleet = fleet(&[Behavior::Serve]).await;
        for (i, path) in PATHS.into_iter().enumerate() {
            let mut request = edge_kit::request(path, &format!("a{i}"), &[]);
            request.headers_mut().insert("deadline-ms", "1e22".parse().unwrap());
            check_is_served(&fleet, request).await;
        }
    },
    an_event_after_the_last_possible_id_is_a_gap: {
        let mut splitter = EventSplitter::new(Some(u64::MAX));
        assert!(splitter.push(b"id: 1\ndata: x\n\n").is_empty());
        assert!(splitter.has_gap);
    },
    a_request_with_huge_token_counts_is_answered: {
        let fleet = fleet(&[Behavior::Serve]).await;
        let most = u32::MAX;
        let counts = format!("{most},{most}");
        let parts = format!("a1:{most},b2:{most},c3:{most}");
        let headers = [("token-counts", counts.as_str()), ("prefix-hash", parts.as_str())];
        check_all_kinds_are_served(&fleet, &headers).await;
        check_all_kinds_are_served(&fleet, &headers).await;
    },
    a_target_that_states_a_huge_idle_timeout_serves_its_callers: {
        let fleet = fleet(&[Behavior::Serve]).await;
        fleet.targets[0].state(&[("keep-alive", "timeout=18446744073709551615")]);
        check_all_kinds_are_served(&fleet, &[]).await;
    },
    a_configuration_with_a_huge_timeout_serves_requests: {
        let fleet = fleet(&[Behavior::Serve]).await;
        change_config(&fleet, |config| set_in_all_routes(config, "timeout_ms", &1e22.into())).await;
        check_all_kinds_are_served(&fleet, &[]).await;
    },
    a_configuration_with_a_timeout_beyond_any_duration_serves_requests: {
        let fleet = fleet(&[Behavior::Serve]).await;
        change_config(&fleet, |config| set_in_all_routes(config, "timeout_ms", &1e300.into())).await;
        check_all_kinds_are_served(&fleet, &[]).await;
    },
    a_configuration_with_huge_targets_serves_requests: {
        let fleet = fleet(&[Behavior::Serve]).await;
        change_config(&fleet, |config| {
            set_in_all_routes(config, "target_latency_ms", &1e22.into());
            set_in_all_routes(config, "gap_aim_ms", &1e22.into());
        }).await;
        check_all_kinds_are_served(&fleet, &[]).await;
    },
    a_configuration_with_huge_limits_serves_requests: {
        let fleet = fleet(&[Behavior::Serve]).await;
        change_config(&fleet, |config| {
            let most = u64::MAX;
            config["limits"] = serde_json::json!({
                "max_header_bytes": most, "max_body_bytes": most, "header_timeout_ms": 1e22,
                "idle_timeout_ms": 1e22, "tokens_per_s": 1e300,
            });
        }).await;
        check_all_kinds_are_served(&fleet, &[]).await;
    },
}

/// Changes the limits on idle connections and on the time for a request head.
async fn set_idle_limits(fleet: &Fleet, idle_ms: u64, header_ms: u64) {
    change_config(fleet, |config| {
        config["limits"]["idle_timeout_ms"] = idle_ms.into();
        config["limits"]["header_timeout_ms"] = header_ms.into();
    })
    .await;
}

/// A caller's connection on which a request has been served, idle since.
async fn kept_connection(fleet: &Fleet) -> edge_kit::Connection {
    let request = edge_kit::request("/book/", "a1", &[]);
    let (status, connection) = edge_kit::call_and_keep(&fleet.router, request).await;
    assert_eq!(status, 200);
    connection.expect("kept")
}

async fn check_next_is_served(mut connection: edge_kit::Connection) {
    let response = connection.send_request(edge_kit::request("/book/", "a2", &[])).await;
    let response = response.unwrap_or_else(|err| panic!("no answer: {err}"));
    assert_eq!(edge_kit::read_response(response).await.status, 200);
}

cases! {
    an_idle_connection_is_kept_for_the_time_of_a_later_configuration: {
        let fleet = fleet(&[Behavior::Serve]).await;
        set_idle_limits(&fleet, 1000, 500).await;
        let connection = kept_connection(&fleet).await;
        set_idle_limits(&fleet, 5000, 500).await;
        time::sleep(Duration::from_millis(4000)).await;
        check_next_is_served(connection).await;
    },
    a_connection_from_before_the_first_configuration_is_kept_for_its_idle_time: {
        let (store, store_addr) = Store::start().await;
        let (target, addr) = Target::start("t0", Behavior::Serve).await;
        store.put_target(&target.id, addr, "ready");
        let router = Router::start(store_addr, 4096);
        let is_up = async || edge_kit::connect(router.callers).await.is_ok();
        edge_kit::wait_for(Duration::from_secs(10), is_up).await;
        let connection = edge_kit::connect(router.callers).await.unwrap();
        store.put_config(3);
        let fleet = Fleet { targets: vec![target], router, store };
        fleet.router.wait_for_readiness(200).await;
        // Longer than the default of 15 s.
        set_idle_limits(&fleet, 30_000, 500).await;
        time::sleep(Duration::from_secs(19)).await;
        check_next_is_served(connection).await;
    },
    a_request_that_begins_within_the_idle_time_has_the_whole_time_for_its_head: {
        let fleet = fleet(&[Behavior::Serve]).await;
        set_idle_limits(&fleet, 2000, 2000).await;
        let mut stream = TcpStream::connect(fleet.router.callers).await.unwrap();
        let head = format!(
            "POST /book/ HTTP/1.1\r\nhost: lanes.example\r\nattempt-id: a1\r\ncontent-length: 0\r\n\
             authorization: Bearer {}\r\n\r\n", edge_kit::KEY,
        );
        let (first, last) = head.split_at(30);
        time::sleep(Duration::from_millis(1600)).await;
        stream.write_all(first.as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(1200)).await;
        let _ = stream.write_all(last.as_bytes()).await;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).await.expect("no answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    },
    an_idle_connection_is_closed_without_an_answer_after_its_time: {
        let fleet = fleet(&[Behavior::Serve]).await;
        set_idle_limits(&fleet, 1000, 500).await;
        let mut stream = TcpStream::connect(fleet.router.callers).await.unwrap();
        let mut received = Vec::new();
        let closing = time::timeout(Duration::from_secs(4), stream.read_to_end(&mut received)).await;
        closing.expect("closed").unwrap();
        assert_eq!(received, b"");
    },
}
