//! A fleet of router processes whose dispatcher is killed, frozen, restarted or shut down.

mod support;

use std::net;
use std::sync::atomic;
use std::time::{Duration, Instant};

use gentianhinge_core::cell;
use gentianhinge_core::ids::Name;
use rustix::process::Signal;
use support::{Process, SettingsFile};
use tokio::time;

/// Time within which grants resume after the loss of a dispatcher.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a leaving target must get no new work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for a test's request; above the longest wait of its class.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Generous upper bound on the run time of an undisturbed request.
const MAX_RUN_TIME: Duration = Duration::from_millis(500);

const NAMES: [&str; 3] = ["r1", "r2", "r3"];

struct Router {
    process: Process,
    callers_addr: net::SocketAddr,
    operators_addr: net::SocketAddr,
    peers_addr: net::SocketAddr,
    settings: SettingsFile,
}

struct Fleet {
    routers: Vec<Router>,
    engine_addrs: Vec<net::SocketAddr>,
    _engines: Vec<Process>,
    _service: Process,
}

impl Router {
    fn start(settings: SettingsFile) -> Router {
        let process = Process::start("gentianhinged", &[settings.path()]);
        let callers_addr = process.wait_for_addr("callers at ");
        let operators_addr = process.wait_for_addr("operators at ");
        let peers_addr = process.wait_for_addr("peers at ");
        Router { process, callers_addr, operators_addr, peers_addr, settings }
    }

    async fn ready(&self) -> bool {
        support::send("GET", self.operators_addr, "/readyz", &[], "").await.status == 200
    }

    async fn drain_target(&self, target: &str) {
        let auth = format!("Bearer {}", support::OPERATOR_KEY);
        let headers = [("authorization", auth.as_str())];
        let path = format!("/targets/{target}/drain");
        let response = support::send("POST", self.operators_addr, &path, &headers, "").await;
        assert_eq!(response.status, 202);
    }
}

impl Fleet {
    async fn start() -> Fleet {
        let engine = ["engine", "--name", "assistant", "--slots", "4", "--token-ms", "5"];
        let listen = ["--listen", "127.0.0.1:0"];
        let args = [&engine[..], &listen].concat();
        let engines = [0; 2].map(|_| Process::start("gentianhinge-standin", &args));
        let addrs =
            engines.iter().map(|engine| engine.wait_for_addr("listening on ")).collect::<Vec<_>>();
        let service = Process::start("gentianhinge-standin", &[&["service"][..], &listen].concat());
        let service_addr = service.wait_for_addr("listening on ");
        // Each fleet has its own secret, since the system may reuse the ports of killed routers for
        // another fleet.
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let secret = format!("shared by test fleet {number} of {}", std::process::id());
        let mut routers = Vec::<Router>::new();
        for name in NAMES {
            let seeds = routers.iter().map(|router| format!("\"{}\"", router.peers_addr));
            let seeds = seeds.collect::<Vec<_>>().join(", ");
            // In a large fleet, round-robin probes would take minutes to detect a lost router. This
            // long probe interval makes sure that the sessions detect it in time.
            let extra_settings = format!(
                r#""peers": {{ "secret": "{secret}", "probe_interval_ms": 60000,
                    "seed_addrs": [{seeds}] }},"#
            );
            let text = support::settings(&addrs, service_addr, &extra_settings);
            let text = text
                .replace(r#""name": "r1", "region""#, &format!(r#""name": "{name}", "region""#));
            routers.push(Router::start(SettingsFile::new(&text)));
        }
        let fleet =
            Fleet { routers, engine_addrs: addrs, _engines: engines.into(), _service: service };
        fleet.wait_until_stable().await;
        fleet
    }

    /// Waits until each router is ready and serves requests.
    async fn wait_until_stable(&self) {
        let until = time::Instant::now() + TIMEOUT;
        for router in &self.routers {
            while !router.ready().await {
                assert!(time::Instant::now() < until, "a router isn't ready");
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        for router in &self.routers {
            assert_eq!(chat(router.callers_addr, 3).await.result_code(), 0);
        }
    }

    /// Index of the router that dispatches the model's only cell.
    fn dispatcher(&self) -> usize {
        let names = NAMES.map(Name::from);
        let role = cell::Role::Dispatcher { cell: cell::cell_name("assistant", "here", 0) };
        let holder = cell::holder(&role, &names).unwrap();
        names.iter().position(|name| name == holder).unwrap()
    }

    fn callers_addrs(&self) -> Vec<net::SocketAddr> {
        self.routers.iter().map(|router| router.callers_addr).collect()
    }

    /// Kills routers and restarts them without state on the same peers addresses.
    fn restart(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.routers[*index].process.signal(Signal::KILL);
            self.routers[*index].process.wait_for_exit(TIMEOUT);
        }
        let survivor = (0..self.routers.len()).find(|i| !indexes.contains(i)).unwrap();
        let seed = self.routers[survivor].peers_addr;
        for index in indexes {
            let old = &self.routers[*index];
            let text = std::fs::read_to_string(old.settings.path()).unwrap();
            let peers_addr = format!(r#""peers_addr": "{}""#, old.peers_addr);
            let text = text.replace(r#""peers_addr": "127.0.0.1:0""#, &peers_addr);
            let (head, rest) = text.split_once(r#""seed_addrs": ["#).unwrap();
            let (_, tail) = rest.split_once(']').unwrap();
            let text = format!(r#"{head}"seed_addrs": ["{seed}"]{tail}"#);
            self.routers[*index] = Router::start(SettingsFile::new(&text));
        }
    }

    fn other_addrs(&self) -> Vec<net::SocketAddr> {
        let dispatcher = self.dispatcher();
        let others = self.routers.iter().enumerate().filter(|(i, _)| *i != dispatcher);
        others.map(|(_, router)| router.callers_addr).collect()
    }
}

async fn chat(addr: net::SocketAddr, max_tokens: u32) -> support::Response {
    let response = time::timeout(TIMEOUT, support::chat(addr, false, max_tokens)).await;
    response.expect("no request hangs")
}

/// Number of requests that an engine has started.
async fn run_count(engine: net::SocketAddr) -> u64 {
    support::send("GET", engine, "/stats", &[], "").await.json()["run_count"].as_u64().unwrap()
}

/// Sends a request to each address at once and returns the time until all are answered.
async fn request_all(addrs: &[net::SocketAddr]) -> Duration {
    let start = Instant::now();
    let calls = addrs.iter().map(|addr| tokio::spawn(chat(*addr, 3)));
    for call in calls.collect::<Vec<_>>() {
        let response = call.await.unwrap();
        assert_eq!(response.result_code(), 0, "{response:?}");
    }
    start.elapsed()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

cases! {
    grants_resume_after_the_dispatcher_is_killed: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        fleet.routers[dispatcher].process.signal(Signal::KILL);
        fleet.routers[dispatcher].process.wait_for_exit(TIMEOUT);
        let took = request_all(&fleet.other_addrs()).await;
        println!("answered {took:?} after the kill");
        assert!(took < FAILOVER_TIMEOUT + MAX_RUN_TIME, "{took:?}");
    },
    grants_resume_while_the_dispatcher_is_frozen: {
        let fleet = Fleet::start().await;
        let dispatcher = &fleet.routers[fleet.dispatcher()];
        dispatcher.process.signal(Signal::STOP);
        let took = request_all(&fleet.other_addrs()).await;
        println!("answered {took:?} after the freeze");
        assert!(took < FAILOVER_TIMEOUT + MAX_RUN_TIME, "{took:?}");
        dispatcher.process.signal(Signal::CONT);
        for _ in 0..20 {
            let took = request_all(&fleet.callers_addrs()).await;
            assert!(took < FAILOVER_TIMEOUT + MAX_RUN_TIME, "{took:?}");
        }
    },
    grants_buffered_in_the_socket_of_a_frozen_router_are_discarded: {
        let fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let frozen = &fleet.routers[(dispatcher + 1) % NAMES.len()];
        // Requests through the dispatcher occupy the slots for half a second. Then it grants the
        // slots to requests that wait at the frozen router.
        let busy = (0..10).map(|_| tokio::spawn(chat(fleet.routers[dispatcher].callers_addr, 100)));
        let busy = busy.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(100)).await;
        let callers = frozen.callers_addr;
        let waiting = (0..10).map(|_| {
            tokio::spawn(support::chat_in_class(callers, "later", false, 3))
        });
        let waiting = waiting.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(100)).await;
        frozen.process.signal(Signal::STOP);
        let leaving = r#"{"leaving": true}"#;
        let headers = [("content-type", "application/json")];
        support::send("POST", fleet.engine_addrs[0], "/faults", &headers, leaving).await;
        time::sleep(LEAVE_TIMEOUT).await;
        let before = run_count(fleet.engine_addrs[0]).await;
        frozen.process.signal(Signal::CONT);
        for call in waiting {
            assert_eq!(call.await.unwrap().result_code(), 0);
        }
        for call in busy {
            call.await.unwrap();
        }
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
    },
    a_drain_told_to_any_router_is_final_also_for_the_next_dispatcher: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let other = &fleet.routers[(dispatcher + 1) % NAMES.len()];
        other.drain_target("m1").await;
        time::sleep(LEAVE_TIMEOUT).await;
        let before = run_count(fleet.engine_addrs[0]).await;
        // More requests than one engine has slots.
        request_all(&[other.callers_addr; 12]).await;
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
        fleet.routers[dispatcher].process.signal(Signal::KILL);
        fleet.routers[dispatcher].process.wait_for_exit(TIMEOUT);
        for _ in 0..5 {
            request_all(&[fleet.other_addrs(), fleet.other_addrs(), fleet.other_addrs()].concat())
                .await;
        }
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
    },
    a_drain_is_final_also_for_a_dispatcher_that_starts_later: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let other = (dispatcher + 1) % NAMES.len();
        fleet.routers[other].drain_target("m1").await;
        time::sleep(LEAVE_TIMEOUT).await;
        let before = run_count(fleet.engine_addrs[0]).await;
        fleet.restart(&[dispatcher]);
        fleet.wait_until_stable().await;
        request_all(&[fleet.routers[other].callers_addr; 12]).await;
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
    },
    the_metrics_show_the_fleet: {
        let fleet = Fleet::start().await;
        let until = time::Instant::now() + FAILOVER_TIMEOUT;
        let mut seen = String::new();
        while time::Instant::now() < until && !seen.contains("gentianhinge_live_routers 3") {
            let router = &fleet.routers[fleet.dispatcher()];
            seen = support::send("GET", router.operators_addr, "/metrics", &[], "").await.body;
            time::sleep(Duration::from_millis(20)).await;
        }
        for line in ["live_routers 3", "dispatched_cells ", "membership_sent_bytes_total "] {
            assert!(seen.contains(&format!("gentianhinge_{line}")), "{line} in {seen}");
        }
    },
    a_restarted_dispatcher_serves_again: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        fleet.restart(&[dispatcher]);
        fleet.wait_until_stable().await;
        for _ in 0..10 {
            let took = request_all(&fleet.callers_addrs()).await;
            assert!(took < FAILOVER_TIMEOUT + MAX_RUN_TIME, "{took:?}");
        }
    },
    most_of_the_fleet_restarts_at_once: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let other = fleet.other_addrs()[0];
        let call = tokio::spawn(chat(other, 300));
        time::sleep(Duration::from_millis(100)).await;
        // All but the router through which the call runs.
        let survivor = fleet.routers.iter().position(|router| router.callers_addr == other).unwrap();
        let killed = (0..NAMES.len()).filter(|i| *i != survivor).collect::<Vec<_>>();
        assert!(killed.contains(&dispatcher));
        fleet.restart(&killed);
        fleet.wait_until_stable().await;
        let response = call.await.unwrap();
        assert_eq!(response.result_code(), 0, "{response:?}");
        let took = request_all(&fleet.callers_addrs()).await;
        assert!(took < FAILOVER_TIMEOUT + MAX_RUN_TIME, "{took:?}");
    },
    a_graceful_shutdown_of_the_dispatcher_interrupts_no_request: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let callers_addrs = fleet.callers_addrs();
        // Three times as many requests as slots, so that some wait when the signal arrives.
        let calls = (0..24).map(|i| tokio::spawn(chat(callers_addrs[i % 3], 100)));
        let calls = calls.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(200)).await;
        fleet.routers[dispatcher].process.signal(Signal::TERM);
        for call in calls {
            let response = call.await.unwrap();
            assert_eq!(response.result_code(), 0, "{response:?}");
        }
        let status =
            fleet.routers[dispatcher].process.wait_for_exit(TIMEOUT).expect("the router ends");
        assert!(status.success());
        let took = request_all(&fleet.other_addrs()).await;
        assert!(took < MAX_RUN_TIME, "{took:?}");
    },
}
