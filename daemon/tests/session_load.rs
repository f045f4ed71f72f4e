//! Bytes that a session transfers for each request.

use std::rc;
use std::time::Duration;

use gentianhinge_core::ids::{Flow, GrantId, Name, RouterId};
use gentianhinge_core::message::{Demand, Grant, GrantBatch, Progress, Report, TeamVirtualTime};
use gentianhinged::peer::{self, client, server};
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

/// Budget for all control traffic of one router, in bytes per second.
const CONTROL_BYTES_PER_S: f64 = 3_000.0;

/// Requests per second of one router: 3,600 requests per second over 370 routers.
const REQUESTS_PER_S: f64 = 3_600.0 / 370.0;

/// Membership traffic of one router, in bytes per second.
const MEMBERSHIP_BYTES_PER_S: f64 = 480.0;

const REQUEST_COUNT: u64 = 200;

fn id(name: &str) -> RouterId {
    // As large as an incarnation from the clock, since the encoded size depends on the value.
    RouterId::new(name, 1_790_000_000_000 << 12)
}

fn report(seq: u64, waiting_count: u32, ended: Option<u64>, now: time::Instant) -> Report {
    let demand = Demand {
        flow: Flow::new(format!("team-{:04}", seq % 40), "standard"),
        waiting_count,
        oldest_deadline: now + Duration::from_secs(20),
        newest_deadline: now + Duration::from_secs(20),
        preferred_targets: Default::default(),
    };
    let progress = ended.map(|id| Progress { grant: GrantId(id), cost: 317.0 + id as f64 });
    Report {
        router: id("router-007"),
        cell: "assistant/quebec-est/17".into(),
        seq,
        acked_seq: seq,
        full: false,
        demand: if waiting_count > 0 { vec![demand] } else { Vec::new() },
        progress: progress.into_iter().collect(),
        finished: ended.into_iter().map(GrantId).collect(),
        declined: Vec::new(),
        failed: Vec::new(),
        in_flight: Vec::new(),
        accounts: Vec::new(),
        virtual_times: Vec::new(),
        lineage: 0,
    }
}

fn grant(seq: u64) -> GrantBatch {
    let team = Name::from(format!("team-{:04}", seq % 40));
    GrantBatch {
        dispatcher: id("router-200"),
        cell: "assistant/quebec-est/17".into(),
        seq,
        grants: vec![Grant {
            id: GrantId(100_000 + seq),
            flow: Flow::new(team.clone(), "standard"),
            target: format!("target-{:04}", 4000 + seq % 16).into(),
        }],
        moves: Vec::new(),
        virtual_times: vec![TeamVirtualTime { team, cost: 123_456.789 * seq as f64 }],
        lineage: 7,
    }
}

async fn event(events: &mut mpsc::Receiver<peer::Event>) -> peer::Event {
    time::timeout(Duration::from_secs(5), events.recv()).await.unwrap().unwrap()
}

async fn measure() -> f64 {
    let secret = "shared by the test fleet";
    let (local, mut local_events) = peer::Context::new(id("router-007"), secret);
    let (remote, mut remote_events) = peer::Context::new(id("router-200"), secret);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn_local(server::serve(listener, remote));
    let _attempt = client::connect(&local, &id("router-200"), addr);
    let peer::Event::Connected { link, .. } = event(&mut local_events).await else { panic!() };
    let cell = Name::from("assistant/quebec-est/17");
    let session = link.join(&local, &id("router-200"), &cell);
    let peer::Event::Join { sink, reply, .. } = event(&mut remote_events).await else { panic!() };
    reply.send(true).unwrap();
    let joined = event(&mut local_events).await;
    let peer::Event::Joined { lease: Some(_lease), .. } = joined else { panic!() };
    let start_bytes = link.channel.sent_bytes.get() + link.channel.received_bytes.get();
    for seq in 0..REQUEST_COUNT {
        let now = time::Instant::now();
        link.report(session, &report(seq, 1, None, now));
        assert!(matches!(event(&mut remote_events).await, peer::Event::Report { .. }));
        sink.grant(&grant(seq));
        assert!(matches!(event(&mut local_events).await, peer::Event::Granted { .. }));
        link.report(session, &report(seq, 0, Some(100_000 + seq), now));
        assert!(matches!(event(&mut remote_events).await, peer::Event::Report { .. }));
    }
    let channel = rc::Rc::clone(&link.channel);
    let bytes = channel.sent_bytes.get() + channel.received_bytes.get() - start_bytes;
    bytes as f64 / REQUEST_COUNT as f64
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { task::LocalSet::new().run_until($body).await }
    )* };
}

cases! {
    reports_and_grants_fit_the_budget: async {
        let request_bytes = measure().await;
        let bytes_per_s = request_bytes * REQUESTS_PER_S + MEMBERSHIP_BYTES_PER_S;
        println!("request_bytes {request_bytes:.0} bytes_per_s {bytes_per_s:.0}");
        assert!(bytes_per_s < CONTROL_BYTES_PER_S, "{bytes_per_s}");
    },
}
