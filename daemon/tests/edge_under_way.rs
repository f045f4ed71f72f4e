//! Changes of the configuration while requests are read, wait, run or are resumed.

mod edge_kit;
mod support;

use std::time::{Duration, Instant};

use edge_kit::{APPLY_BOUND, Behavior, FullResponse, KEY, Router, Store, Target};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Paths of the routes: once only, repeatable, a stream that may be resumed, and one that may not.
const PATHS: [&str; 4] = ["/book/", "/look/", "/brief/", "/note/"];

/// Time that a target takes, long enough for a change to come into force meanwhile.
const SERVICE_TIME: Duration = Duration::from_millis(1200);

/// A router with targets of the service `desk` and the target `bank-0` of the service `bank`.
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
    let (bank, addr) = Target::start("bank-0", Behavior::Serve).await;
    let record = json!({
        "service": "bank", "address": addr.to_string(), "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "seq_no": 1, "born": 1,
    });
    store.put("keyed.servers", "bank-0", record.to_string());
    targets.push(bank);
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    Fleet { targets, router, store }
}

async fn version(router: &Router) -> Option<u64> {
    let (_, body) = edge_kit::get(router.operators, "/status").await?;
    serde_json::from_str::<Value>(&body).ok()?["config_version"].as_u64()
}

/// Changes the configuration and waits until the change is in force.
async fn change_config(fleet: &Fleet, change: fn(&mut Value)) {
    let (_, newest) = fleet.store.backup()["keyed.op"].last().unwrap().clone();
    let mut config = serde_json::from_slice::<Value>(&newest).unwrap();
    let next = config["version"].as_u64().unwrap() + 1;
    config["version"] = next.into();
    change(&mut config);
    fleet.store.put("keyed.op", "config", config.to_string());
    let is_in_force = async || version(&fleet.router).await == Some(next);
    edge_kit::wait_for(APPLY_BOUND, is_in_force).await;
}

fn set_in_all_routes(config: &mut Value, name: &str, value: &Value) {
    for route in config["routes"].as_array_mut().unwrap() {
        route[name] = value.clone();
    }
}

fn drop_routes(config: &mut Value) {
    config["routes"] = json!([]);
}

fn drop_keys(config: &mut Value) {
    config["tenants"] = json!([]);
}

fn drop_services(config: &mut Value) {
    config["services"] = json!([]);
}

fn move_to_another_service(config: &mut Value) {
    set_in_all_routes(config, "service", &"bank".into());
}

fn split_by_weights(config: &mut Value) {
    let split = json!([{ "service": "desk", "weight": 1 }, { "service": "bank", "weight": 99 }]);
    set_in_all_routes(config, "split", &split);
}

fn shorten_time_limits(config: &mut Value) {
    set_in_all_routes(config, "timeout_ms", &300.into());
}

fn lengthen_time_limits(config: &mut Value) {
    set_in_all_routes(config, "timeout_ms", &60_000.into());
}

/// Sends a request to each route, changes the configuration while they run, and checks that all are
/// answered completely by the targets that ran them.
async fn check_running_requests_are_answered(behavior: Behavior, change: fn(&mut Value)) {
    let fleet = fleet(&[behavior, behavior]).await;
    let calls = PATHS.into_iter().enumerate().map(async |(i, path)| {
        edge_kit::call(&fleet.router, edge_kit::request(path, &format!("a{i}"), &[])).await
    });
    let began_at = Instant::now();
    let changing = async {
        time::sleep(Duration::from_millis(100)).await;
        change_config(&fleet, change).await;
        assert!(began_at.elapsed() < SERVICE_TIME, "the change came after the responses");
    };
    let (responses, ()) = tokio::join!(futures_util::future::join_all(calls), changing);
    for (path, response) in PATHS.into_iter().zip(responses) {
        let FullResponse { status, is_complete, body, .. } = response;
        assert_eq!((status, is_complete), (200, true), "{path}: {body}");
    }
}

/// Fills the targets, so that the next request waits, and returns its response and its time after
/// the configuration has changed.
async fn response_after_waiting(change: fn(&mut Value)) -> (FullResponse, Duration) {
    let fleet = fleet(&[Behavior::ServeAfter(SERVICE_TIME)]).await;
    let running = (0..8).map(async |i| {
        let request = edge_kit::request("/book/", &format!("a{i}"), &[]);
        assert_eq!(edge_kit::call(&fleet.router, request).await.status, 200);
    });
    let waiting = async {
        time::sleep(Duration::from_millis(200)).await;
        let began_at = Instant::now();
        let call = edge_kit::call(&fleet.router, edge_kit::request("/book/", "b1", &[]));
        let changing = async {
            // A request that arrives after the change is handled by the new configuration.
            time::sleep(Duration::from_millis(100)).await;
            change_config(&fleet, change).await;
        };
        let (response, ()) = tokio::join!(call, changing);
        (response, began_at.elapsed())
    };
    tokio::join!(futures_util::future::join_all(running), waiting).1
}

/// Sends a request whose body follows its head after the configuration has changed; returns the
/// answer.
async fn answer_after_reading(change: fn(&mut Value), framing: &str, body: &[&str]) -> String {
    let fleet = fleet(&[Behavior::Serve]).await;
    let mut stream = TcpStream::connect(fleet.router.callers).await.unwrap();
    let head = format!(
        "POST /book/ HTTP/1.1\r\nhost: lanes.example\r\nattempt-id: a1\r\n{framing}\r\n\
         authorization: Bearer {KEY}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let (last, first) = body.split_last().unwrap();
    for piece in first {
        stream.write_all(piece.as_bytes()).await.unwrap();
    }
    time::sleep(Duration::from_millis(100)).await;
    change_config(&fleet, change).await;
    stream.write_all(last.as_bytes()).await.unwrap();
    let mut received = String::new();
    let reading = time::timeout(Duration::from_secs(4), stream.read_to_string(&mut received));
    reading.await.expect("no end").expect("no answer");
    received
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

/// Cases in which requests run while the configuration changes.
macro_rules! running {
    ($($name:ident: $change:ident;)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            check_running_requests_are_answered(Behavior::ServeAfter(SERVICE_TIME), $change).await;
        }
    )* };
}

running! {
    requests_are_answered_whose_routes_go: drop_routes;
    requests_are_answered_whose_keys_go: drop_keys;
    requests_are_answered_whose_services_go: drop_services;
    requests_are_answered_whose_routes_move: move_to_another_service;
    requests_are_answered_whose_weights_change: split_by_weights;
    requests_are_answered_whose_time_limits_shorten: shorten_time_limits;
    requests_are_answered_whose_time_limits_lengthen: lengthen_time_limits;
}

cases! {
    a_stream_is_resumed_though_its_route_and_service_have_gone: {
        for change in [drop_routes, drop_keys, drop_services, move_to_another_service, shorten_time_limits] {
            let fleet = fleet(&[Behavior::CutAfter(8), Behavior::CutAfter(8)]).await;
            let call = edge_kit::call(&fleet.router, edge_kit::request("/brief/", "a1", &[]));
            let changing = async {
                time::sleep(Duration::from_millis(60)).await;
                change_config(&fleet, change).await;
            };
            let (response, ()) = tokio::join!(call, changing);
            assert!(response.is_complete, "{}", response.body);
            assert_eq!(response.body, edge_kit::full_stream());
            let runs = fleet.targets.iter().map(|target| target.requests().len()).sum::<usize>();
            assert_eq!(runs, 2);
        }
    },
    a_waiting_request_does_not_wait_for_a_route_that_has_gone: {
        let (response, time) = response_after_waiting(drop_routes).await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(time < Duration::from_secs(1), "{time:?}");
    },
    a_waiting_request_does_not_wait_for_a_service_that_has_gone: {
        let (response, time) = response_after_waiting(drop_services).await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(time < Duration::from_secs(1), "{time:?}");
    },
    a_waiting_request_whose_route_has_moved_is_refused_in_time: {
        let (response, time) = response_after_waiting(move_to_another_service).await;
        assert_eq!(response.status, 503, "{}", response.body);
        assert!(response.headers.contains_key("retry-after"));
        assert!(time < Duration::from_secs(1), "{time:?}");
    },
    a_request_whose_route_moves_while_it_is_read_is_served_by_the_new_service: {
        let answer = answer_after_reading(move_to_another_service, "content-length: 4", &["bo", "dy"]).await;
        assert!(answer.contains("served by bank-0"), "{answer}");
    },
    a_chunked_request_whose_route_moves_while_it_is_read_is_served_by_the_new_service: {
        let chunks = ["2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n"];
        let framing = "transfer-encoding: chunked";
        let answer = answer_after_reading(move_to_another_service, framing, &chunks).await;
        assert!(answer.contains("served by bank-0"), "{answer}");
    },
    a_request_whose_route_goes_while_it_is_read_is_refused: {
        let answer = answer_after_reading(drop_routes, "content-length: 4", &["bo", "dy"]).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    },
    a_request_whose_key_goes_while_it_is_read_is_refused: {
        let answer = answer_after_reading(drop_keys, "content-length: 4", &["bo", "dy"]).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    },
    a_held_back_body_is_served_after_a_change: {
        let framing = "content-length: 4\r\nexpect: 100-continue";
        let answer = answer_after_reading(lengthen_time_limits, framing, &["body"]).await;
        assert!(answer.starts_with("HTTP/1.1 100") && answer.contains("served by t0"), "{answer}");
    },
}
