//! A prompt part that ends each target that begins to answer it, and responses that end with their
//! connection.

mod edge_kit;
mod support;

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge_kit::{Router, Store, raw};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Part that ends its target, in the middle of the prompt.
const DEADLY_PART: &str = "dead";

/// Pause between two requests, more than targets need to end and routers to hear of it.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// How a target answers a sound request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// With chunks.
    Chunks,
    /// Without length or chunks, by closing the connection after the last event.
    Close,
    /// The same, with bytes of another event at the end.
    CloseWithinEvent,
    /// By closing the connection before the first event.
    CloseWithoutEvent,
    /// By closing the connection after the number of bytes that the request names in `x-cut`.
    CloseAt,
}

/// Starts a target that ends, with all its connections, when it begins to answer a deadly request.
/// `ended_count` counts those that did.
async fn start_target(id: &str, ending: Ending, ended_count: &Arc<AtomicUsize>) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (id, ended_count) = (id.to_string(), ended_count.clone());
    tokio::spawn(async move {
        let has_ended = watch::Sender::new(false);
        let mut ends = has_ended.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                _ = ends.wait_for(|has_ended| *has_ended) => break,
            };
            let (id, sender, mut ends) = (id.clone(), has_ended.clone(), has_ended.subscribe());
            tokio::spawn(async move {
                tokio::select! {
                    () = serve(stream, &id, ending, sender) => {}
                    _ = ends.wait_for(|has_ended| *has_ended) => {}
                }
            });
        }
        ended_count.fetch_add(1, Ordering::Relaxed);
    });
    addr
}

async fn serve(mut stream: TcpStream, id: &str, ending: Ending, has_ended: watch::Sender<bool>) {
    while let Some(head) = raw::read_request(&mut stream).await {
        if raw::refuse_misdirected(&mut stream, &head, id).await {
            continue;
        }
        let is_chunked = ending == Ending::Chunks;
        let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
        let lines = format!("Content-Type: text/event-stream\r\n{framing}");
        let response_head = raw::response_head(&head, &lines);
        stream.write_all(response_head.as_bytes()).await.ok();
        if raw::header(&head, "prefix-hash").unwrap_or_default().contains(DEADLY_PART) {
            tokio::time::sleep(Duration::from_millis(10)).await;
            stream.set_zero_linger().unwrap();
            has_ended.send_replace(true);
            return;
        }
        let mut events = edge_kit::full_stream();
        match ending {
            Ending::Chunks => events = format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len()),
            Ending::Close => {}
            Ending::CloseWithinEvent => events += "id: 13\ndata: ev",
            Ending::CloseWithoutEvent => events.clear(),
            Ending::CloseAt => {
                events.truncate(raw::header(&head, "x-cut").unwrap().parse().unwrap());
            }
        }
        stream.write_all(events.as_bytes()).await.ok();
        if !is_chunked {
            return;
        }
    }
}

/// Routers and `target_count` targets; also returns the number of targets that have ended.
async fn fleet(
    router_names: &[&str],
    target_count: usize,
    ending: Ending,
) -> (Store, Vec<Router>, Arc<AtomicUsize>) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let ended_count = Arc::new(AtomicUsize::new(0));
    for i in 0..target_count {
        let id = format!("t{i}");
        store.put_target(&id, start_target(&id, ending, &ended_count).await, "ready");
    }
    let routers = router_names.iter().map(|name| Router::start_as(name, store_addr, 4096));
    let routers = routers.collect::<Vec<_>>();
    for router in &routers {
        router.wait_for_readiness(200).await;
    }
    (store, routers, ended_count)
}

/// Sends a request with these prompt parts before its own one; returns whether the whole stream was
/// received.
async fn is_answered(router: &Router, path: &str, id: &str, parts: &str) -> bool {
    let prefix = format!("{parts},f{}:20", id.trim_start_matches(|c: char| c.is_ascii_lowercase()));
    let headers = [("model", "m"), ("token-counts", "1000,40"), ("prefix-hash", prefix.as_str())];
    let response = edge_kit::call(router, edge_kit::request(path, id, &headers)).await;
    response.status == 200 && response.is_complete && response.body == edge_kit::full_stream()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_deadly_part_ends_few_targets_and_sound_requests_are_served: {
        // Five crashes are allowed until it must be known, and three requests beyond.
        const MAX_ENDED: usize = 8;
        let (_store, routers, ended_count) = fleet(&["r1", "r2", "r3"], 24, Ending::Chunks).await;
        let (mut sound_count, mut served_count) = (0, 0);
        for i in 0..24 {
            let router = &routers[i % routers.len()];
            let parts = format!("c0ffee:900,{DEADLY_PART}:60");
            assert!(!is_answered(router, "/brief/", &format!("d{i}"), &parts).await);
            tokio::time::sleep(REQUEST_INTERVAL).await;
            let router = &routers[(i + 1) % routers.len()];
            let is_served = is_answered(router, "/brief/", &format!("s{i}"), "c0ffee:900").await;
            if i >= 12 {
                sound_count += 1;
                served_count += usize::from(is_served);
            }
        }
        let ended_count = ended_count.load(Ordering::Relaxed);
        assert!(ended_count <= MAX_ENDED, "{ended_count} targets ended");
        assert_eq!(served_count, sound_count);
    },
    a_stream_that_ends_with_its_connection_is_complete: {
        let (_store, routers, _) = fleet(&["r1"], 2, Ending::Close).await;
        assert!(is_answered(&routers[0], "/brief/", "a1", "c0ffee:900").await);
        assert!(is_answered(&routers[0], "/note/", "a2", "c0ffee:900").await);
    },
    a_stream_that_ends_within_an_event_is_incomplete: {
        let (_store, routers, _) = fleet(&["r1"], 2, Ending::CloseWithinEvent).await;
        assert!(!is_answered(&routers[0], "/note/", "a1", "c0ffee:900").await);
    },
    a_stream_that_ends_with_its_connection_before_any_event_is_incomplete: {
        let (_store, routers, _) = fleet(&["r1"], 2, Ending::CloseWithoutEvent).await;
        let headers = [("model", "m"), ("token-counts", "1000,40"), ("prefix-hash", "c0ffee:900,f1:20")];
        let response =
            edge_kit::call(&routers[0], edge_kit::request("/note/", "a1", &headers)).await;
        assert!(!response.is_complete);
    },
    a_stream_cut_at_any_byte_is_complete_only_after_a_whole_event: {
        let (_store, routers, _) = fleet(&["r1"], 2, Ending::CloseAt).await;
        let whole = edge_kit::full_stream();
        for cut in 0..whole.len() {
            let (id, cut_text) = (format!("a{cut}"), cut.to_string());
            let headers = [("x-cut", cut_text.as_str())];
            let request = edge_kit::request("/note/", &id, &headers);
            let response = edge_kit::call(&routers[0], request).await;
            let is_whole_event = cut > 0 && whole[..cut].ends_with("\n\n");
            assert_eq!(response.is_complete, is_whole_event, "cut at {cut}");
            // What is passed on is whole events, and only what the target sent.
            assert!(whole[..cut].starts_with(&response.body), "cut at {cut}");
            assert!(response.body.is_empty() || response.body.ends_with("\n\n"), "cut at {cut}");
        }
    },
}
