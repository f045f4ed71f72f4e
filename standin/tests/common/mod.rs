//! Shared helpers of the integration tests.

#![allow(dead_code, unused_macros)]

use std::net::SocketAddr;
use std::time::Duration;

use gentianhinge_standin::client::{Client, CompleteResponse};
use gentianhinge_standin::engine::{Completion, Message};
use http::Method;
use tokio::time;

/// Defines each case as a test that runs on its own runtime and fails after [`CASE_TIMEOUT`].
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let case = async { $body };
                tokio::time::timeout(common::CASE_TIMEOUT, case).await.expect("test case timed out");
            }
        )*
    };
}

/// Maximum time of a test case.
pub const CASE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time to wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub fn chat(prompt: &str, tokens: u32) -> Completion {
    Completion {
        model: "m1".to_owned(),
        messages: vec![Message { role: "user".to_owned(), content: prompt.to_owned() }],
        max_tokens: Some(tokens),
        stream: true,
        ..Completion::default()
    }
}

pub fn base_url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}

pub async fn get(addr: SocketAddr, path: &str) -> CompleteResponse {
    Client::new().call(Method::GET, addr, path, &[], "").await.expect("response")
}

pub async fn post(addr: SocketAddr, path: &str, body: &str) -> CompleteResponse {
    let body = body.to_owned();
    Client::new().call(Method::POST, addr, path, &[], body).await.expect("response")
}

/// Polls until `is_true` returns `true`; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    while !is_true() {
        assert!(time::Instant::now() < deadline, "timed out waiting for: {what}");
        time::sleep(Duration::from_millis(5)).await;
    }
}
