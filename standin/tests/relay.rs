//! The fault relay: cut, delay, silence, lost answers.

#[macro_use]
mod common;

use std::time::Duration;

use common::until;
use gentianhinge_standin::client::{CallError, Client};
use gentianhinge_standin::relay::{self, DirectionFaults, Faults};
use gentianhinge_standin::service;
use http::Method;
use tokio::time;

/// Time after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(200);

struct Path {
    service: service::Handle,
    relay: relay::Handle,
}

async fn path() -> Path {
    let service = service::spawn(service::Config { latency_ms: 0, ..service::Config::default() });
    let service = service.await.expect("service");
    let relay = relay::spawn(relay::Config::to(service.addr())).await.expect("relay");
    Path { service, relay }
}

impl Path {
    async fn call(&self, client: &Client) -> Result<u16, CallError> {
        let call = client.call(Method::POST, self.relay.addr(), "/x", &[], "body");
        call.await.map(|answer| answer.status)
    }

    async fn is_silent(&self, client: &Client) -> bool {
        time::timeout(SILENCE, self.call(client)).await.is_err()
    }

    fn effect_count(&self) -> u64 {
        self.service.service().effects().effect_count
    }
}

cases! {
    passes_both_ways => {
        let path = path().await;
        assert_eq!(path.call(&Client::new()).await.expect("answer"), 200);
        let stats = path.relay.relay().stats();
        assert!(stats.connection_count == 1 && stats.up_bytes > 0 && stats.down_bytes > 0);
    }

    /// The answer is lost on the way back, so the effect was had.
    silence_towards_the_caller => {
        let path = path().await;
        let down = DirectionFaults { silent: true, ..DirectionFaults::default() };
        path.relay.relay().set_faults(Faults { down, ..Faults::default() });
        assert!(path.is_silent(&Client::new()).await);
        assert_eq!(path.effect_count(), 1);
    }

    silence_towards_the_service => {
        let path = path().await;
        let up = DirectionFaults { silent: true, ..DirectionFaults::default() };
        path.relay.relay().set_faults(Faults { up, ..Faults::default() });
        assert!(path.is_silent(&Client::new()).await);
        assert_eq!(path.effect_count(), 0);
    }

    open_connections_go_silent_while_new_ones_work => {
        let path = path().await;
        let old = Client::new();
        path.call(&old).await.expect("answer");
        let control = path.relay.control_addr();
        let done = old.call(Method::POST, control, "/silence", &[], "").await.expect("answer");
        assert_eq!(done.status, 204);
        assert!(path.is_silent(&old).await);
        assert_eq!(path.effect_count(), 1);
        assert_eq!(path.call(&Client::new()).await.expect("answer"), 200);
    }

    cut_ends_open_connections => {
        let path = path().await;
        path.service.service().set_faults(service::Faults { hang: true, ..Default::default() });
        let client = Client::new();
        let call = path.call(&client);
        let cut = async {
            let service = path.service.service().clone();
            until("call arrived", move || service.effects().call_count == 1).await;
            path.relay.relay().cut_open();
        };
        let (result, ()) = tokio::join!(call, cut);
        assert!(result.is_err());
    }

    reply_is_dropped_after_the_effect => {
        let path = path().await;
        path.relay.relay().set_faults(Faults { drop_reply_count: 1, ..Faults::default() });
        assert!(path.call(&Client::new()).await.is_err());
        assert_eq!(path.effect_count(), 1);
        assert_eq!(path.call(&Client::new()).await.expect("answer"), 200);
        assert_eq!(path.relay.relay().stats().dropped_reply_count, 1);
    }

    delay_holds_each_piece => {
        let path = path().await;
        let up = DirectionFaults { delay_ms: 60, ..DirectionFaults::default() };
        let down = DirectionFaults { delay_ms: 60, ..DirectionFaults::default() };
        path.relay.relay().set_faults(Faults { up, down, ..Faults::default() });
        let started_at = time::Instant::now();
        path.call(&Client::new()).await.expect("answer");
        assert!(started_at.elapsed() >= Duration::from_millis(120));
    }

    refused_connection_has_no_effect => {
        let path = path().await;
        path.relay.relay().set_faults(Faults { refuse: true, ..Faults::default() });
        assert!(path.call(&Client::new()).await.is_err());
        assert_eq!(path.effect_count(), 0);
    }
}
