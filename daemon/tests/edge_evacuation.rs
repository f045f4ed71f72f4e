//! Evacuations of availability zones.

mod edge_kit;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time;

/// Time within which a zone must be free of new requests.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);

/// Time in which arrivals in an evacuated zone are counted.
const WATCHED_TIME: Duration = Duration::from_secs(2);

/// Routers, their store, and targets in the zones `a` and `b`.
struct Fleet {
    in_a: Vec<Target>,
    in_b: Vec<Target>,
    routers: Vec<Router>,
    store: Store,
    store_addr: std::net::SocketAddr,
}

impl Fleet {
    /// Two routers and so many targets in zone `a` and zone `b`.
    async fn start(a_count: usize, b_count: usize) -> Fleet {
        let (store, store_addr) = Store::start().await;
        store.put_config(3);
        let (mut in_a, mut in_b) = (Vec::new(), Vec::new());
        for (zone, count, targets) in [("a", a_count, &mut in_a), ("b", b_count, &mut in_b)] {
            for i in 0..count {
                let (target, addr) = Target::start(&format!("{zone}{i}"), Behavior::Serve).await;
                store.put_target_in(zone, &target.id, addr, "ready");
                targets.push(target);
            }
        }
        let mut fleet = Fleet { in_a, in_b, routers: Vec::new(), store, store_addr };
        for name in ["r1", "r2"] {
            fleet.start_router(name).await;
        }
        fleet
    }

    async fn start_router(&mut self, name: &str) {
        let router = Router::start_as(name, self.store_addr, 4096);
        router.wait_for_readiness(200).await;
        self.routers.push(router);
    }

    fn evacuate(&self, zone: &str) {
        self.store.put("keyed.op", &format!("evacuate/{zone}"), "{}");
    }

    fn take_back(&self, zone: &str) {
        self.store.put("keyed.op", &format!("evacuate/{zone}"), "");
    }

    /// Waits until all routers know that these zones are evacuated, and no others.
    async fn wait_for_evacuations(&self, zones: &[&str]) {
        for router in &self.routers {
            let is_known = async || evacuated(router).await == zones;
            edge_kit::wait_for(EVACUATE_BOUND, is_known).await;
        }
    }

    /// Callers of all routers that send requests of several kinds until told to stop.
    fn call(&self) -> Callers {
        let is_over = Arc::new(AtomicBool::new(false));
        let tasks = self.routers.iter().enumerate().flat_map(|(i, router)| {
            ["/look/", "/brief/"].map(|path| {
                let (addr, is_over) = (router.callers, is_over.clone());
                tokio::spawn(call_until(addr, path, format!("c{i}"), is_over))
            })
        });
        Callers { tasks: tasks.collect(), is_over }
    }
}

/// Running callers.
struct Callers {
    tasks: Vec<JoinHandle<usize>>,
    is_over: Arc<AtomicBool>,
}

impl Callers {
    /// Stops the callers; each of their requests must have been served completely.
    async fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for task in self.tasks {
            assert!(task.await.unwrap() > 0, "a caller sent nothing");
        }
    }
}

async fn call_until(
    router: std::net::SocketAddr,
    path: &'static str,
    caller: String,
    is_over: Arc<AtomicBool>,
) -> usize {
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("{caller}{path}{count}");
        let mut sender = edge_kit::connect(router).await.unwrap();
        let response = sender.send_request(edge_kit::request(path, &id, &[])).await.unwrap();
        let response = edge_kit::read_response(response).await;
        assert_eq!((response.status, response.is_complete), (200, true), "{id}: {}", response.body);
        if path == "/brief/" {
            assert_eq!(response.body, edge_kit::full_stream(), "{id}");
        }
        count += 1;
        time::sleep(Duration::from_millis(10)).await;
    }
    count
}

async fn status(router: &Router) -> Value {
    let (_, body) = edge_kit::get(router.operators, "/status").await.unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Zones that a router believes to be evacuated.
async fn evacuated(router: &Router) -> Vec<String> {
    let status = status(router).await;
    let zones = status["evacuations"].as_array().unwrap().iter();
    zones.map(|evacuation| evacuation["zone"].as_str().unwrap().to_string()).collect()
}

/// Number of requests that the targets have received.
fn arrivals(targets: &[Target]) -> usize {
    targets.iter().map(|target| target.requests().len()).sum()
}

async fn check_no_arrivals(targets: &[Target]) {
    let before = arrivals(targets);
    time::sleep(WATCHED_TIME).await;
    assert_eq!(arrivals(targets) - before, 0, "requests arrived in an evacuated zone");
}

async fn wait_for_arrivals(targets: &[Target]) {
    let before = arrivals(targets);
    edge_kit::wait_for(EVACUATE_BOUND, async || arrivals(targets) > before).await;
}

/// New lines of a router's log on evacuations.
fn evacuation_lines(router: &Router) -> Vec<String> {
    let lines = router.process.drain_lines().into_iter();
    lines.filter(|line| line.contains(r#""event":"evacuation""#)).collect()
}

fn has_logged(lines: &[String], outcome: &str, zone: &str) -> bool {
    let expected = [format!(r#""outcome":"{outcome}""#), format!(r#""zone":"{zone}""#)];
    lines.iter().any(|line| expected.iter().all(|part| line.contains(part)))
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    // Zone `a` is that of the routers, and so the one that they prefer.
    nothing_arrives_in_an_evacuated_zone_while_requests_flow: {
        let fleet = Fleet::start(2, 2).await;
        let callers = fleet.call();
        wait_for_arrivals(&fleet.in_a).await;
        fleet.evacuate("a");
        time::sleep(EVACUATE_BOUND).await;
        check_no_arrivals(&fleet.in_a).await;
        // The callers check that each stream, also one in flight at the begin, ends whole.
        callers.stop().await;
        let is_empty = async || status(&fleet.routers[0]).await["evacuations"][0]["empty"] == true;
        edge_kit::wait_for(EVACUATE_BOUND, is_empty).await;
        let evacuation = status(&fleet.routers[0]).await["evacuations"][0].clone();
        assert_eq!((&evacuation["targets"], &evacuation["requests"]), (&2.into(), &0.into()));
        let (_, metrics) = edge_kit::get(fleet.routers[0].operators, "/metrics").await.unwrap();
        assert!(metrics.contains("gentianhinge_evacuated_zones 1"), "{metrics}");
        fleet.take_back("a");
        fleet.wait_for_evacuations(&[]).await;
        let mut lines = Vec::new();
        let ends_at = Instant::now() + APPLY_BOUND;
        while !has_logged(&lines, "ended", "a") && Instant::now() < ends_at {
            // The log is written after the change is in force.
            time::sleep(Duration::from_millis(20)).await;
            lines.extend(evacuation_lines(&fleet.routers[0]));
        }
        for outcome in ["begun", "empty", "ended"] {
            assert!(has_logged(&lines, outcome, "a"), "{outcome}: {lines:#?}");
        }
    },
    a_router_that_starts_in_the_middle_sends_nothing_to_the_zone: {
        let mut fleet = Fleet::start(2, 1).await;
        fleet.evacuate("a");
        fleet.wait_for_evacuations(&["a"]).await;
        let before = arrivals(&fleet.in_a);
        fleet.start_router("r3").await;
        for i in 0..20 {
            let request = edge_kit::request("/look/", &format!("m{i}"), &[]);
            assert_eq!(edge_kit::call(&fleet.routers[2], request).await.status, 200);
        }
        assert_eq!(arrivals(&fleet.in_a), before);
    },
    an_evacuation_goes_on_while_the_store_is_down: {
        let fleet = Fleet::start(1, 1).await;
        fleet.evacuate("a");
        fleet.wait_for_evacuations(&["a"]).await;
        let callers = fleet.call();
        fleet.store.set_down(true);
        time::sleep(APPLY_BOUND * 2).await;
        check_no_arrivals(&fleet.in_a).await;
        fleet.store.set_down(false);
        check_no_arrivals(&fleet.in_a).await;
        callers.stop().await;
    },
    a_restore_of_the_store_without_the_key_ends_the_evacuation: {
        let fleet = Fleet::start(1, 1).await;
        let backup = fleet.store.backup();
        fleet.evacuate("a");
        fleet.wait_for_evacuations(&["a"]).await;
        fleet.store.restore(backup);
        fleet.wait_for_evacuations(&[]).await;
        let callers = fleet.call();
        wait_for_arrivals(&fleet.in_a).await;
        // The operator evacuates the zone again, at an offset that was given out before.
        fleet.evacuate("a");
        time::sleep(EVACUATE_BOUND).await;
        check_no_arrivals(&fleet.in_a).await;
        callers.stop().await;
    },
    a_zone_that_is_taken_back_gets_requests_again: {
        let fleet = Fleet::start(2, 1).await;
        fleet.evacuate("a");
        fleet.wait_for_evacuations(&["a"]).await;
        let callers = fleet.call();
        check_no_arrivals(&fleet.in_a).await;
        fleet.take_back("a");
        for target in &fleet.in_a {
            wait_for_arrivals(std::slice::from_ref(target)).await;
        }
        callers.stop().await;
    },
    // A request that waits for a target that can't come would only learn so after its wait.
    without_a_target_elsewhere_requests_are_refused_at_once: {
        let fleet = Fleet::start(1, 1).await;
        fleet.evacuate("a");
        fleet.evacuate("b");
        fleet.wait_for_evacuations(&["a", "b"]).await;
        let before = arrivals(&fleet.in_a) + arrivals(&fleet.in_b);
        for (i, path) in ["/book/", "/look/", "/brief/", "/note/"].into_iter().enumerate() {
            let asked_at = Instant::now();
            let request = edge_kit::request(path, &format!("e{i}"), &[]);
            let response = edge_kit::call(&fleet.routers[0], request).await;
            // A request without targets that may come back waits for half a second.
            assert!(asked_at.elapsed() < Duration::from_millis(500), "{path}: {:?}", asked_at.elapsed());
            assert_eq!((response.status, response.body.as_str()), (503, "evacuated\n"), "{path}");
            let retry_after = response.headers["retry-after"].to_str().unwrap().parse::<f64>();
            assert!((3.0..=8.0).contains(&retry_after.unwrap()), "{path}");
        }
        assert_eq!(arrivals(&fleet.in_a) + arrivals(&fleet.in_b), before);
        fleet.take_back("b");
        fleet.wait_for_evacuations(&["a"]).await;
        let response = edge_kit::call(&fleet.routers[0], edge_kit::request("/look/", "e9", &[])).await;
        assert_eq!(response.status, 200);
    },
    an_evacuation_holds_without_a_readable_configuration: {
        let fleet = Fleet::start(1, 1).await;
        fleet.store.put("keyed.op", "config", "{");
        fleet.evacuate("a");
        fleet.wait_for_evacuations(&["a"]).await;
        fleet.store.put_config(4);
        let is_in_force = async || status(&fleet.routers[0]).await["config_version"] == 4;
        edge_kit::wait_for(APPLY_BOUND, is_in_force).await;
        assert_eq!(evacuated(&fleet.routers[0]).await, ["a"]);
    },
    an_unknown_zone_is_logged_once_and_kept: {
        let fleet = Fleet::start(1, 0).await;
        fleet.evacuate("nowhere");
        fleet.wait_for_evacuations(&["nowhere"]).await;
        time::sleep(Duration::from_secs(2)).await;
        fleet.evacuate("nowhere");
        time::sleep(APPLY_BOUND).await;
        let lines = evacuation_lines(&fleet.routers[0]);
        let outcome = r#""outcome":"no targets in this zone, kept""#;
        let count = lines.iter().filter(|line| line.contains(outcome)).count();
        assert_eq!(count, 1, "{lines:#?}");
        assert_eq!(evacuated(&fleet.routers[0]).await, ["nowhere"]);
        let response = edge_kit::call(&fleet.routers[0], edge_kit::request("/look/", "u1", &[])).await;
        assert_eq!(response.status, 200);
    },
}
