//! Fault-injecting relay: closed connections, delays, lost data and lost responses.

#[macro_use]
mod common;

use std::time::Duration;

use common::wait_until;
use gentianhinge_standin::client::{CallError, Client};
use gentianhinge_standin::relay::{self, DirectionFaults, Faults};
use gentianhinge_standin::service;
use http::Method;
use tokio::time;

/// Time without a response after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(200);

struct RelayedService {
    service: service::Handle,
    relay: relay::Handle,
}

async fn relayed_service() -> RelayedService {
    let service = service::spawn(service::Config { latency_ms: 0, ..service::Config::default() });
    let service = service.await.expect("service");
    let relay = relay::spawn(relay::Config::to(service.addr())).await.expect("relay");
    RelayedService { service, relay }
}

impl RelayedService {
    async fn call(&self, client: &Client) -> Result<u16, CallError> {
        let call = client.call(Method::POST, self.relay.addr(), "/x", &[], "body");
        call.await.map(|response| response.status)
    }

    async fn is_silent(&self, client: &Client) -> bool {
        time::timeout(SILENCE, self.call(client)).await.is_err()
    }

    fn effect_count(&self) -> u64 {
        self.service.service().effects().effect_count
    }
}

cases! {
    bytes_are_forwarded_in_both_directions => {
        let relayed = relayed_service().await;
        assert_eq!(relayed.call(&Client::new()).await.expect("response"), 200);
        let stats = relayed.relay.relay().stats();
        assert!(stats.connection_count == 1 && stats.up_bytes > 0 && stats.down_bytes > 0);
    }

    /// The call reaches the service and has its effect; only the response is lost.
    silence_towards_the_caller_loses_the_response => {
        let relayed = relayed_service().await;
        let down = DirectionFaults { silent: true, ..DirectionFaults::default() };
        relayed.relay.relay().set_faults(Faults { down, ..Faults::default() });
        assert!(relayed.is_silent(&Client::new()).await);
        assert_eq!(relayed.effect_count(), 1);
    }

    silence_towards_the_service_loses_the_request => {
        let relayed = relayed_service().await;
        let up = DirectionFaults { silent: true, ..DirectionFaults::default() };
        relayed.relay.relay().set_faults(Faults { up, ..Faults::default() });
        assert!(relayed.is_silent(&Client::new()).await);
        assert_eq!(relayed.effect_count(), 0);
    }

    silence_affects_only_open_connections => {
        let relayed = relayed_service().await;
        let old = Client::new();
        relayed.call(&old).await.expect("response");
        let control = relayed.relay.control_addr();
        let done = old.call(Method::POST, control, "/silence", &[], "").await.expect("response");
        assert_eq!(done.status, 204);
        assert!(relayed.is_silent(&old).await);
        assert_eq!(relayed.effect_count(), 1);
        assert_eq!(relayed.call(&Client::new()).await.expect("response"), 200);
    }

    cut_closes_open_connections => {
        let relayed = relayed_service().await;
        relayed.service.service().set_faults(service::Faults { hang: true, ..Default::default() });
        let client = Client::new();
        let call = relayed.call(&client);
        let cut = async {
            let service = relayed.service.service().clone();
            wait_until("call arrived", move || service.effects().call_count == 1).await;
            relayed.relay.relay().cut_open();
        };
        let (result, ()) = tokio::join!(call, cut);
        assert!(result.is_err());
    }

    response_is_dropped_after_the_effect => {
        let relayed = relayed_service().await;
        relayed.relay.relay().set_faults(Faults { drop_reply_count: 1, ..Faults::default() });
        assert!(relayed.call(&Client::new()).await.is_err());
        assert_eq!(relayed.effect_count(), 1);
        assert_eq!(relayed.call(&Client::new()).await.expect("response"), 200);
        assert_eq!(relayed.relay.relay().stats().dropped_reply_count, 1);
    }

    delay_applies_to_both_directions => {
        let relayed = relayed_service().await;
        let up = DirectionFaults { delay_ms: 60, ..DirectionFaults::default() };
        let down = DirectionFaults { delay_ms: 60, ..DirectionFaults::default() };
        relayed.relay.relay().set_faults(Faults { up, down, ..Faults::default() });
        let started_at = time::Instant::now();
        relayed.call(&Client::new()).await.expect("response");
        assert!(started_at.elapsed() >= Duration::from_millis(120));
    }

    refused_connection_has_no_effect => {
        let relayed = relayed_service().await;
        relayed.relay.relay().set_faults(Faults { refuse: true, ..Faults::default() });
        assert!(relayed.call(&Client::new()).await.is_err());
        assert_eq!(relayed.effect_count(), 0);
    }
}
