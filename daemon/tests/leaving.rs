//! Targets that leave by the host list, by their own load report or by an operator's drain.

mod support;

use std::net;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use support::{Deployment, Process};
use tokio::time;

/// Time after which a leaving target must get no new work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of requests that are sent after [`LEAVE_TIMEOUT`] to see where they run.
const PROBE_COUNT: u64 = 20;

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

/// Number of requests that an engine has started.
async fn run_count(engine: net::SocketAddr) -> u64 {
    support::send("GET", engine, "/stats", &[], "").await.json()["run_count"].as_u64().unwrap()
}

/// Sends more concurrent requests than one engine has slots.
async fn probe(fleet: &Deployment) {
    let calls = (0..PROBE_COUNT).map(|_| support::chat(fleet.callers_addr, true, 20));
    let responses = futures_util::future::join_all(calls).await;
    assert!(responses.iter().all(|response| response.result_code() == 0), "{responses:?}");
}

/// Checks that after [`LEAVE_TIMEOUT`] the first engine gets no new work, and the second gets all.
async fn check_drained(fleet: &Deployment) {
    time::sleep(LEAVE_TIMEOUT).await;
    let before = [run_count(fleet.engine_addrs[0]).await, run_count(fleet.engine_addrs[1]).await];
    probe(fleet).await;
    assert_eq!(run_count(fleet.engine_addrs[0]).await, before[0]);
    assert_eq!(run_count(fleet.engine_addrs[1]).await, before[1] + PROBE_COUNT);
}

/// Starts two engines and a host list that lags by `lag_ms`.
async fn start(lag_ms: &str) -> (Deployment, Process, net::SocketAddr) {
    let args = ["hosts", "--listen", "127.0.0.1:0", "--lag-ms", lag_ms];
    let hosts = Process::start("gentianhinge-standin", &args);
    let hosts_addr = hosts.wait_for_addr("listening on ");
    let platform = format!(
        r#""platform": {{"hosts_url": "http://{hosts_addr}/hosts", "hosts_interval_ms": 500}},"#
    );
    let fleet = Deployment::with_engines(2, "5", &platform);
    for engine in 0..2 {
        set_host_state(&fleet, hosts_addr, engine, "live").await;
    }
    (fleet, hosts, hosts_addr)
}

async fn set_host_state(fleet: &Deployment, hosts: net::SocketAddr, engine: usize, state: &str) {
    let name = format!("m{}", engine + 1);
    let host = json!({"name": name, "addr": fleet.engine_addrs[engine].to_string(),
        "region": "here", "zone": "a", "kind": "target", "state": state});
    let headers = [("content-type", "application/json")];
    let response =
        support::send("PUT", hosts, &format!("/hosts/{name}"), &headers, &host.to_string()).await;
    assert!((200..300).contains(&response.status), "{response:?}");
}

cases! {
    a_target_leaves_by_the_host_list: {
        let (fleet, _hosts, hosts_addr) = start("1000").await;
        set_host_state(&fleet, hosts_addr, 0, "leaving").await;
        check_drained(&fleet).await;
    },
    a_target_leaves_by_its_own_report_though_the_list_shows_it_live: {
        let (fleet, _hosts, _) = start("0").await;
        fleet.set_faults(fleet.engine_addrs[0], json!({"leaving": true})).await;
        check_drained(&fleet).await;
        // A leave is final for an incarnation, whatever the target reports later.
        fleet.set_faults(fleet.engine_addrs[0], json!({})).await;
        check_drained(&fleet).await;
    },
    a_resumed_router_sends_nothing_to_a_target_that_left_meanwhile: {
        let fleet = Deployment::with_engines(2, "5", "");
        // More requests than slots, so that grants are due as soon as the router resumes.
        let callers = fleet.callers_addr;
        let calls = (0..PROBE_COUNT).map(|_| support::chat_in_class(callers, "later", true, 100));
        let calls = tokio::spawn(futures_util::future::join_all(calls.collect::<Vec<_>>()));
        time::sleep(Duration::from_millis(200)).await;
        fleet.router.signal(Signal::STOP);
        fleet.set_faults(fleet.engine_addrs[0], json!({"leaving": true})).await;
        time::sleep(LEAVE_TIMEOUT).await;
        let before = run_count(fleet.engine_addrs[0]).await;
        fleet.router.signal(Signal::CONT);
        calls.await.unwrap();
        assert_eq!(run_count(fleet.engine_addrs[0]).await, before);
    },
    an_operator_drains_a_target: {
        let fleet = Deployment::with_engines(2, "5", "");
        let refused =
            support::send("POST", fleet.operators_addr, "/targets/m1/drain", &[], "").await;
        assert_eq!(refused.status, 401);
        let auth = format!("Bearer {}", support::OPERATOR_KEY);
        let headers = [("authorization", auth.as_str())];
        let path = "/targets/m1/drain";
        assert_eq!(
            support::send("POST", fleet.operators_addr, path, &headers, "").await.status,
            202
        );
        check_drained(&fleet).await;
    },
    a_restarted_target_gets_work_again: {
        // The list continues to show the old incarnation as leaving.
        let (mut fleet, _hosts, hosts_addr) = start("0").await;
        set_host_state(&fleet, hosts_addr, 0, "leaving").await;
        check_drained(&fleet).await;
        fleet.engines[0].signal(Signal::KILL);
        fleet.engines[0].wait_for_exit(LEAVE_TIMEOUT);
        probe(&fleet).await;
        let addr = fleet.engine_addrs[0].to_string();
        let args = ["engine", "--name", "assistant", "--slots", "4", "--listen", &addr];
        fleet.engines[0] = Process::start("gentianhinge-standin", &args);
        time::sleep(LEAVE_TIMEOUT).await;
        probe(&fleet).await;
        assert!(run_count(fleet.engine_addrs[0]).await > 0);
    },
}
