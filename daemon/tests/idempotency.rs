//! Calls with an idempotency key through several routers; the service counts the effects per key.

mod support;

use std::net;
use std::time::Duration;

use gentianhinge_standin::{log as standin_log, service as standin_service};
use gentianhinge_wire::settings;
use gentianhinged::server;
use support::Response;
use tokio::time;

/// Timeout for a router to become ready, and for a settlement to reach the other routers.
const TIMEOUT: Duration = Duration::from_secs(4);

const LANES: (&str, &str) = ("authorization", "Bearer key-of-lanes");
const CLUBS: (&str, &str) = ("authorization", "Bearer key-of-clubs");
const BOOKINGS: &str = "/services/desk/bookings";

struct Fleet {
    log: standin_log::Handle,
    service: standin_service::Handle,
    routers: Vec<server::Server>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.routers.iter().for_each(server::Server::stop);
    }
}

fn settings_text(log: net::SocketAddr, service: net::SocketAddr, name: &str) -> String {
    // No model is called in these tests, so nothing connects to its target's address.
    let engine = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let platform = format!(r#""platform": {{ "log_url": "http://{log}", "timeout_ms": 300 }},"#);
    let text = support::settings(&[engine], service, &platform);
    text.replace(r#""name": "r1""#, &format!(r#""name": "{name}""#))
}

impl Fleet {
    async fn start() -> Fleet {
        let log = standin_log::spawn(standin_log::Config::default()).await.unwrap();
        let service = standin_service::spawn(standin_service::Config::default()).await.unwrap();
        let routers = ["r1", "r2", "r3"].map(|name| {
            let text = settings_text(log.addr(), service.addr(), name);
            server::start(settings::parse(&text).unwrap()).unwrap()
        });
        let fleet = Fleet { log, service, routers: routers.into() };
        for router in &fleet.routers {
            wait_ready(router.operators_addr()).await;
        }
        fleet
    }

    async fn book(&self, router: usize, key: &str) -> Response {
        book(self.routers[router].callers_addr(), LANES, key).await
    }

    /// Repeats a call at a router until the result isn't "in progress".
    async fn wait_settled(&self, router: usize, key: &str) -> Response {
        let poll = async {
            loop {
                let answer = self.book(router, key).await;
                if answer.result_code() != 500 {
                    return answer;
                }
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        time::timeout(TIMEOUT, poll).await.expect("settled in time")
    }

    fn effects(&self, key: &str) -> u32 {
        self.service.service().effects().by_key.get(key).copied().unwrap_or(0)
    }
}

async fn book(addr: net::SocketAddr, team: (&str, &str), key: &str) -> Response {
    let headers = [team, ("idempotency-key", key)];
    support::send("POST", addr, BOOKINGS, &headers, r#"{"lane": 3}"#).await
}

async fn wait_ready(operators: net::SocketAddr) {
    let poll = async {
        while support::send("GET", operators, "/readyz", &[], "").await.status != 200 {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.expect("ready in time");
}

/// Defines tests, each with three routers, a log service and a plain service.
macro_rules! cases {
    ($($case:ident($fleet:ident) $body:block)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() {
            let $fleet = Fleet::start().await;
            $body
        }
    )*};
}

cases! {
    retry_gets_the_stored_answer(fleet) {
        let first = fleet.book(0, "k").await;
        assert_eq!((first.result_code(), first.status), (0, 200), "{first:?}");
        for router in [0, 1, 2] {
            let again = fleet.wait_settled(router, "k").await;
            assert_eq!((again.result_code(), &again.body), (0, &first.body));
        }
        assert_eq!(fleet.effects("k"), 1);
    }

    one_key_through_all_routers_at_once(fleet) {
        for number in 0..10 {
            let key = format!("k{number}");
            let (a, b, c) = tokio::join!(fleet.book(0, &key), fleet.book(1, &key), fleet.book(2, &key));
            let ran = [&a, &b, &c].iter().filter(|answer| answer.result_code() == 0).count();
            assert!(ran >= 1, "{a:?} {b:?} {c:?}");
            assert_eq!(fleet.effects(&key), 1);
        }
    }

    two_teams_may_use_one_key(fleet) {
        assert_eq!(fleet.book(0, "k").await.result_code(), 0);
        let headers = [CLUBS, ("idempotency-key", "k"), ("gentianhinge-class", "later")];
        let addr = fleet.routers[1].callers_addr();
        let other = support::send("POST", addr, BOOKINGS, &headers, "{}").await;
        assert_eq!(other.result_code(), 0, "{other:?}");
    }

    key_used_for_another_call(fleet) {
        assert_eq!(fleet.book(0, "k").await.result_code(), 0);
        let headers = [LANES, ("idempotency-key", "k")];
        let addr = fleet.routers[0].callers_addr();
        let other = support::send("POST", addr, BOOKINGS, &headers, r#"{"lane": 4}"#).await;
        assert_eq!((other.result_code(), other.ran().as_str()), (502, "no"));
        assert_eq!(fleet.effects("k"), 1);
    }

    refused_while_the_log_is_down(fleet) {
        fleet.log.log().set_faults(standin_log::Faults { append_outage: true, ..Default::default() });
        let refused = fleet.book(0, "k").await;
        assert_eq!((refused.result_code(), refused.ran().as_str()), (303, "no"));
        assert_eq!(fleet.effects("k"), 0);
        fleet.log.log().set_faults(standin_log::Faults::default());
        assert_eq!(fleet.wait_settled(1, "k").await.result_code(), 0);
        assert_eq!(fleet.effects("k"), 1);
    }

    lost_reply_of_the_log(fleet) {
        fleet.log.log().set_faults(standin_log::Faults { drop_reply: true, ..Default::default() });
        assert_eq!(fleet.book(0, "k").await.result_code(), 0);
        assert_eq!(fleet.effects("k"), 1);
    }

    answer_lost_after_the_call_ran(fleet) {
        let faults = standin_service::Faults { drop_reply: true, ..Default::default() };
        fleet.service.service().set_faults(faults);
        let lost = fleet.book(0, "k").await;
        assert_eq!((lost.result_code(), lost.ran().as_str()), (400, "unknown"), "{lost:?}");
        fleet.service.service().set_faults(standin_service::Faults::default());
        for router in [0, 1, 2] {
            let again = fleet.wait_settled(router, "k").await;
            assert_eq!((again.result_code(), again.ran().as_str()), (501, "unknown"));
        }
        assert_eq!(fleet.effects("k"), 1);
    }

    caller_that_leaves_after_the_send(fleet) {
        let faults = standin_service::Faults { slow_ms: Some(500), ..Default::default() };
        fleet.service.service().set_faults(faults);
        let left = time::timeout(Duration::from_millis(250), fleet.book(0, "k")).await;
        assert!(left.is_err());
        let again = fleet.wait_settled(1, "k").await;
        assert_eq!(again.result_code(), 501, "{again:?}");
        assert!(fleet.effects("k") <= 1);
    }

    killed_after_the_send(fleet) {
        let faults = standin_service::Faults { slow_ms: Some(300), ..Default::default() };
        fleet.service.service().set_faults(faults);
        let text = settings_text(fleet.log.addr(), fleet.service.addr(), "r4");
        let file = support::SettingsFile::new(&text);
        let router = support::Process::start("gentianhinged", &[file.path()]);
        let (callers, operators) = (router.wait_for_addr("callers at "), router.wait_for_addr("operators at "));
        wait_ready(operators).await;
        let sent = tokio::spawn(async move {
            let headers = [LANES, ("idempotency-key", "k")];
            support::try_send("POST", callers, BOOKINGS, &headers, r#"{"lane": 3}"#).await
        });
        let service = fleet.service.service();
        let running = async {
            while service.effects().call_count == 0 {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(TIMEOUT, running).await.expect("sent in time");
        drop(router);
        assert!(sent.await.unwrap().is_none());
        for router in [0, 1, 2] {
            let again = fleet.book(router, "k").await;
            assert_eq!((again.result_code(), again.ran().as_str()), (500, "unknown"), "{again:?}");
        }
        time::sleep(Duration::from_millis(400)).await;
        assert!(fleet.effects("k") <= 1);
    }
}
