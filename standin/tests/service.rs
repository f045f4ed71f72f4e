//! Plain service: effects by idempotency key, and faults that lose the response.

#[macro_use]
mod common;

use common::{get, post};
use gentianhinge_standin::client::{CallError, Client, CompleteResponse};
use gentianhinge_standin::service::{self, Config, Faults, Handle};
use http::Method;

async fn spawn() -> Handle {
    service::spawn(Config { latency_ms: 0, ..Config::default() }).await.expect("service")
}

async fn book(handle: &Handle, key: &str) -> Result<CompleteResponse, CallError> {
    let headers = [("idempotency-key", key), ("x-attempt-id", "a1")];
    Client::new().call(Method::POST, handle.addr(), "/lanes/4?day=1", &headers, "book").await
}

cases! {
    effects_are_counted_by_idempotency_key => {
        let handle = spawn().await;
        let response = book(&handle, "k1").await.expect("response");
        let response: service::EchoResponse = response.json().expect("json");
        assert_eq!((response.path.as_str(), response.effect), ("/lanes/4?day=1", 1));
        book(&handle, "k1").await.expect("response");
        book(&handle, "k2").await.expect("response");
        let effects: service::Effects = get(handle.addr(), "/effects").await.json().expect("json");
        assert_eq!((effects.by_key["k1"], effects.by_key["k2"]), (2, 1));
        assert_eq!(effects.by_attempt["a1"], 3);
    }

    get_has_no_effect => {
        let handle = spawn().await;
        assert_eq!(get(handle.addr(), "/lanes/4").await.status, 200);
        assert_eq!(handle.service().effects().effect_count, 0);
    }

    response_is_dropped_after_the_effect => {
        let handle = spawn().await;
        let fault = r#"{"drop_reply": true, "fault_count": 1}"#;
        assert_eq!(post(handle.addr(), "/faults", fault).await.status, 204);
        assert!(book(&handle, "k1").await.is_err());
        assert_eq!(handle.service().effects().by_key["k1"], 1);
        assert!(book(&handle, "k2").await.is_ok());
    }

    body_is_truncated_after_the_effect => {
        let handle = spawn().await;
        handle.service().set_faults(Faults { cut_body: true, ..Faults::default() });
        assert!(matches!(book(&handle, "k1").await, Err(CallError::Body(_))));
        assert_eq!(handle.service().effects().by_key["k1"], 1);
    }

    status_fault_has_no_effect => {
        let handle = spawn().await;
        handle.service().set_faults(Faults { status: Some(500), ..Faults::default() });
        assert_eq!(book(&handle, "k1").await.expect("response").status, 500);
        assert_eq!(handle.service().effects().effect_count, 0);
    }

    refused_connection_has_no_effect => {
        let handle = spawn().await;
        handle.service().set_faults(Faults { refuse_ms: Some(60_000), ..Faults::default() });
        assert!(book(&handle, "k1").await.is_err());
        assert_eq!(handle.service().effects().call_count, 0);
    }
}
