//! Simulated log service and host list of the platform.

#[macro_use]
mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{get, post, wait_until};
use gentianhinge_standin::client::Client;
use gentianhinge_standin::hosts::{self, HostList};
use gentianhinge_standin::log::{self, AppendError, Config, Faults, Page};
use http::Method;
use tokio::time;

async fn spawn(config: Config) -> log::Handle {
    log::spawn(Config { latency_ms: 0, ..config }).await.expect("log")
}

async fn read(addr: SocketAddr, query: &str) -> Page {
    let path = format!("/streams/config/records?{query}");
    get(addr, &path).await.json().expect("page")
}

const HOST: &str = r#"{"name": "r1", "addr": "127.0.0.1:1", "region": "quebec-est", "zone": "a",
    "kind": "router", "state": "live"}"#;

cases! {
    records_are_read_from_the_given_offset => {
        let handle = spawn(Config::default()).await;
        for text in ["one", "two", "three"] {
            assert_eq!(post(handle.addr(), "/streams/config/records", text).await.status, 200);
        }
        let page = read(handle.addr(), "from=1&max=1").await;
        assert_eq!((page.first_offset, page.next_offset), (0, 2));
        assert_eq!((page.records[0].offset, page.records[0].data_base64.as_str()), (1, "dHdv"));
        assert_eq!(read(handle.addr(), "from=3").await.records, []);
    }

    streams_have_separate_offsets => {
        let handle = spawn(Config::default()).await;
        assert_eq!(handle.log().append("a", "x".into()), Ok(0));
        assert_eq!(handle.log().append("b", "y".into()), Ok(0));
    }

    long_poll_ends_when_a_record_is_appended => {
        let handle = spawn(Config::default()).await;
        let addr = handle.addr();
        let waiting = tokio::spawn(async move { read(addr, "from=0&wait_ms=20000").await });
        time::sleep(Duration::from_millis(50)).await;
        let appended_at = time::Instant::now();
        handle.log().append("config", "x".into()).expect("append");
        assert_eq!(waiting.await.expect("page").records.len(), 1);
        assert!(appended_at.elapsed() < Duration::from_secs(5));
    }

    long_poll_without_records_ends_after_its_wait_time => {
        let handle = spawn(Config::default()).await;
        let started_at = time::Instant::now();
        assert_eq!(read(handle.addr(), "from=0&wait_ms=100").await.records, []);
        assert!(started_at.elapsed() >= Duration::from_millis(100));
    }

    records_expire_after_the_retention_time => {
        let handle = spawn(Config { retention_ms: 100, ..Config::default() }).await;
        handle.log().append("config", "old".into()).expect("append");
        time::sleep(Duration::from_millis(150)).await;
        handle.log().append("config", "new".into()).expect("append");
        let page = read(handle.addr(), "from=0").await;
        assert_eq!((page.first_offset, page.next_offset, page.records.len()), (1, 2, 1));
    }

    appends_above_the_rate_limit_are_rejected => {
        let handle = spawn(Config { max_appends_per_s: 8, ..Config::default() }).await;
        let results: Vec<_> = (0..10).map(|_| handle.log().append("config", "x".into())).collect();
        assert!(results[1].is_ok());
        assert_eq!(results[9], Err(AppendError::RateLimit));
        assert_eq!(post(handle.addr(), "/streams/config/records", "x").await.status, 429);
        time::sleep(Duration::from_millis(300)).await;
        assert!(handle.log().append("config", "x".into()).is_ok());
    }

    too_large_record_is_rejected => {
        let handle = spawn(Config { max_record_bytes: 10, ..Config::default() }).await;
        assert_eq!(post(handle.addr(), "/streams/config/records", "12345678901").await.status, 413);
        assert_eq!(post(handle.addr(), "/streams/config/records", "1234567890123").await.status, 413);
        assert_eq!(handle.log().stats().append_count, 0);
    }

    response_is_dropped_after_the_append => {
        let handle = spawn(Config::default()).await;
        let fault = r#"{"drop_reply": true, "drop_reply_count": 1, "drop_reply_stream": "config"}"#;
        assert_eq!(post(handle.addr(), "/faults", fault).await.status, 204);
        assert_eq!(post(handle.addr(), "/streams/other/records", "x").await.status, 200);
        let path = "/streams/config/records";
        assert!(Client::new().call(Method::POST, handle.addr(), path, &[], "x").await.is_err());
        assert_eq!(read(handle.addr(), "from=0").await.records.len(), 1);
        assert_eq!(post(handle.addr(), path, "x").await.status, 200);
    }

    outage_rejects_appends_and_reads_but_keeps_records => {
        let handle = spawn(Config::default()).await;
        handle.log().append("config", "x".into()).expect("append");
        handle.log().set_faults(Faults { append_outage: true, read_outage: true, ..Faults::default() });
        assert_eq!(post(handle.addr(), "/streams/config/records", "x").await.status, 503);
        assert_eq!(get(handle.addr(), "/streams/config/records?from=0").await.status, 503);
        handle.log().set_faults(Faults::default());
        assert_eq!(read(handle.addr(), "from=0").await.records.len(), 1);
    }

    host_list_changes_are_delayed => {
        let handle = hosts::spawn(hosts::Config { lag_ms: 200, ..hosts::Config::default() }).await;
        let handle = handle.expect("hosts");
        let put = Client::new().call(Method::PUT, handle.addr(), "/hosts/r1", &[], HOST).await;
        assert_eq!(put.expect("response").status, 204);
        let list: HostList = get(handle.addr(), "/hosts").await.json().expect("list");
        assert_eq!(list.hosts, []);
        let hosts = handle.hosts().clone();
        wait_until("host is listed", move || hosts.list().hosts.len() == 1).await;
        handle.hosts().remove("r1");
        assert_eq!(handle.hosts().list().hosts.len(), 1);
        let hosts = handle.hosts().clone();
        wait_until("host is removed", move || hosts.list().hosts.is_empty()).await;
    }

    host_list_outage_rejects_reads => {
        let handle = hosts::spawn(hosts::Config::default()).await.expect("hosts");
        assert_eq!(post(handle.addr(), "/faults", r#"{"outage": true}"#).await.status, 204);
        assert_eq!(get(handle.addr(), "/hosts").await.status, 503);
    }
}
