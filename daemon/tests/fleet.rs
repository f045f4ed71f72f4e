//! Several routers as processes: one dispatches, is lost and comes back.

mod support;

use std::net;
use std::sync::atomic;
use std::time::{Duration, Instant};

use gentianhinge_core::cell;
use gentianhinge_core::ids::Name;
use rustix::process::Signal;
use support::{Process, SettingsFile};
use tokio::time;

/// Time in which grants flow again after a dispatcher was lost.
const FAILOVER_BOUND: Duration = Duration::from_secs(2);

/// Longest time until a leaving target gets no new work.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

/// Longest time for a test's request; above the class's longest wait.
const BOUND: Duration = Duration::from_secs(10);

/// Time for which an undisturbed request runs, generously.
const RUN_BOUND: Duration = Duration::from_millis(500);

const NAMES: [&str; 3] = ["r1", "r2", "r3"];

struct Router {
    process: Process,
    callers: net::SocketAddr,
    operators: net::SocketAddr,
    peers: net::SocketAddr,
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
        let callers = process.wait_for_addr("callers at ");
        let operators = process.wait_for_addr("operators at ");
        let peers = process.wait_for_addr("peers at ");
        Router { process, callers, operators, peers, settings }
    }

    async fn ready(&self) -> bool {
        support::send("GET", self.operators, "/readyz", &[], "").await.status == 200
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
        // Each fleet has a secret of its own: ports of killed routers may be given to another one.
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let secret = format!("shared by test fleet {number} of {}", std::process::id());
        let mut routers = Vec::<Router>::new();
        for name in NAMES {
            let seeds = routers.iter().map(|router| format!("\"{}\"", router.peers));
            let seeds = seeds.collect::<Vec<_>>().join(", ");
            // Probes by turn would take minutes to find a lost router in a large fleet; with these
            // rare ones only the sessions can find it in time.
            let more = format!(
                r#""peers": {{ "secret": "{secret}", "probe_interval_ms": 60000,
                    "seed_addrs": [{seeds}] }},"#
            );
            let text = support::settings(&addrs, service_addr, &more);
            let text = text
                .replace(r#""name": "r1", "region""#, &format!(r#""name": "{name}", "region""#));
            routers.push(Router::start(SettingsFile::new(&text)));
        }
        let fleet =
            Fleet { routers, engine_addrs: addrs, _engines: engines.into(), _service: service };
        fleet.settle().await;
        fleet
    }

    /// Waits until each router is ready and serves.
    async fn settle(&self) {
        let until = time::Instant::now() + BOUND;
        for router in &self.routers {
            while !router.ready().await {
                assert!(time::Instant::now() < until, "a router isn't ready");
                time::sleep(Duration::from_millis(20)).await;
            }
        }
        for router in &self.routers {
            assert_eq!(chat(router.callers, 3).await.result_code(), 0);
        }
    }

    /// Index of the router that dispatches the model's only cell.
    fn dispatcher(&self) -> usize {
        let names = NAMES.map(Name::from);
        let role = cell::Role::Dispatcher { cell: cell::cell_name("assistant", "here", 0) };
        let holder = cell::holder(&role, &names).unwrap();
        names.iter().position(|name| name == holder).unwrap()
    }

    fn everywhere(&self) -> Vec<net::SocketAddr> {
        self.routers.iter().map(|router| router.callers).collect()
    }

    /// Kills routers at once and starts them anew at the same peers addresses, without memory.
    fn restart(&mut self, indexes: &[usize]) {
        for index in indexes {
            self.routers[*index].process.signal(Signal::KILL);
            self.routers[*index].process.wait_for_exit(BOUND);
        }
        let kept = (0..self.routers.len()).find(|i| !indexes.contains(i)).unwrap();
        let seed = self.routers[kept].peers;
        for index in indexes {
            let old = &self.routers[*index];
            let text = std::fs::read_to_string(old.settings.path()).unwrap();
            let peers_addr = format!(r#""peers_addr": "{}""#, old.peers);
            let text = text.replace(r#""peers_addr": "127.0.0.1:0""#, &peers_addr);
            let (head, rest) = text.split_once(r#""seed_addrs": ["#).unwrap();
            let (_, tail) = rest.split_once(']').unwrap();
            let text = format!(r#"{head}"seed_addrs": ["{seed}"]{tail}"#);
            self.routers[*index] = Router::start(SettingsFile::new(&text));
        }
    }

    fn others(&self) -> Vec<net::SocketAddr> {
        let dispatcher = self.dispatcher();
        let others = self.routers.iter().enumerate().filter(|(i, _)| *i != dispatcher);
        others.map(|(_, router)| router.callers).collect()
    }
}

async fn chat(addr: net::SocketAddr, max_tokens: u32) -> support::Response {
    let answer = time::timeout(BOUND, support::chat(addr, false, max_tokens)).await;
    answer.expect("no request hangs")
}

/// Requests that an engine has begun to run.
async fn run_count(engine: net::SocketAddr) -> u64 {
    support::send("GET", engine, "/stats", &[], "").await.json()["run_count"].as_u64().unwrap()
}

/// Sends a request to each address and returns the longest time to a whole answer.
async fn all_answer(addrs: &[net::SocketAddr]) -> Duration {
    let start = Instant::now();
    let calls = addrs.iter().map(|addr| tokio::spawn(chat(*addr, 3)));
    for call in calls.collect::<Vec<_>>() {
        let answer = call.await.unwrap();
        assert_eq!(answer.result_code(), 0, "{answer:?}");
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
    grants_flow_again_after_the_dispatcher_was_killed: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        fleet.routers[dispatcher].process.signal(Signal::KILL);
        fleet.routers[dispatcher].process.wait_for_exit(BOUND);
        let took = all_answer(&fleet.others()).await;
        println!("answered {took:?} after the kill");
        assert!(took < FAILOVER_BOUND + RUN_BOUND, "{took:?}");
    },
    grants_flow_again_while_the_dispatcher_is_frozen: {
        let fleet = Fleet::start().await;
        let dispatcher = &fleet.routers[fleet.dispatcher()];
        dispatcher.process.signal(Signal::STOP);
        let took = all_answer(&fleet.others()).await;
        println!("answered {took:?} after the freeze");
        assert!(took < FAILOVER_BOUND + RUN_BOUND, "{took:?}");
        dispatcher.process.signal(Signal::CONT);
        for _ in 0..20 {
            let took = all_answer(&fleet.everywhere()).await;
            assert!(took < FAILOVER_BOUND + RUN_BOUND, "{took:?}");
        }
    },
    grants_that_lay_in_the_socket_of_a_frozen_router_are_void: {
        let fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let frozen = &fleet.routers[(dispatcher + 1) % NAMES.len()];
        // The slots are taken for half a second through the dispatcher; then it grants them to the
        // requests that wait at the frozen router.
        let busy = (0..10).map(|_| tokio::spawn(chat(fleet.routers[dispatcher].callers, 100)));
        let busy = busy.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(100)).await;
        let callers = frozen.callers;
        let waiting = (0..10).map(|_| {
            tokio::spawn(support::chat_in_class(callers, "later", false, 3))
        });
        let waiting = waiting.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(100)).await;
        frozen.process.signal(Signal::STOP);
        let leaving = r#"{"leaving": true}"#;
        let headers = [("content-type", "application/json")];
        support::send("POST", fleet.engine_addrs[0], "/faults", &headers, leaving).await;
        time::sleep(LEAVE_BOUND).await;
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
        let auth = format!("Bearer {}", support::OPERATOR_KEY);
        let headers = [("authorization", auth.as_str())];
        let path = "/targets/m1/drain";
        let answer = support::send("POST", other.operators, path, &headers, "").await;
        assert_eq!(answer.status, 202);
        time::sleep(LEAVE_BOUND).await;
        let before = run_count(fleet.engine_addrs[0]).await;
        // More than one engine has slots.
        all_answer(&[other.callers; 12]).await;
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
        fleet.routers[dispatcher].process.signal(Signal::KILL);
        fleet.routers[dispatcher].process.wait_for_exit(BOUND);
        for _ in 0..5 {
            all_answer(&[fleet.others(), fleet.others(), fleet.others()].concat()).await;
        }
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
    },
    the_metrics_show_the_fleet: {
        let fleet = Fleet::start().await;
        let until = time::Instant::now() + FAILOVER_BOUND;
        let mut seen = String::new();
        while time::Instant::now() < until && !seen.contains("gentianhinge_live_routers 3") {
            let router = &fleet.routers[fleet.dispatcher()];
            seen = support::send("GET", router.operators, "/metrics", &[], "").await.body;
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
        fleet.settle().await;
        for _ in 0..10 {
            let took = all_answer(&fleet.everywhere()).await;
            assert!(took < FAILOVER_BOUND + RUN_BOUND, "{took:?}");
        }
    },
    most_of_the_fleet_restarts_at_once: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let other = fleet.others()[0];
        let call = tokio::spawn(chat(other, 300));
        time::sleep(Duration::from_millis(100)).await;
        // All but the router that the call runs through.
        let kept = fleet.routers.iter().position(|router| router.callers == other).unwrap();
        let killed = (0..NAMES.len()).filter(|i| *i != kept).collect::<Vec<_>>();
        assert!(killed.contains(&dispatcher));
        fleet.restart(&killed);
        fleet.settle().await;
        let answer = call.await.unwrap();
        assert_eq!(answer.result_code(), 0, "{answer:?}");
        let took = all_answer(&fleet.everywhere()).await;
        assert!(took < FAILOVER_BOUND + RUN_BOUND, "{took:?}");
    },
    a_graceful_shutdown_of_the_dispatcher_cuts_nothing: {
        let mut fleet = Fleet::start().await;
        let dispatcher = fleet.dispatcher();
        let everywhere = fleet.everywhere();
        // Three times as many as there are slots, so that some wait when the signal comes.
        let calls = (0..24).map(|i| tokio::spawn(chat(everywhere[i % 3], 100)));
        let calls = calls.collect::<Vec<_>>();
        time::sleep(Duration::from_millis(200)).await;
        fleet.routers[dispatcher].process.signal(Signal::TERM);
        for call in calls {
            let answer = call.await.unwrap();
            assert_eq!(answer.result_code(), 0, "{answer:?}");
        }
        let status = fleet.routers[dispatcher].process.wait_for_exit(BOUND).expect("the router ends");
        assert!(status.success());
        let took = all_answer(&fleet.others()).await;
        assert!(took < RUN_BOUND, "{took:?}");
    },
}
