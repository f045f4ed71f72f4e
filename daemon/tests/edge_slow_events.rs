//! Targets that send an event slowly, in several parts: the stream is whole.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{Router, Store, raw};
use futures_util::future;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Timeout of the routes, and the callers' deadline.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Pause between two events that aren't slow.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// How a target sends its slow events.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Time before the first part, in milliseconds.
    before_ms: u64,
    /// Time between two parts, in milliseconds.
    between_ms: u64,
    /// Ids of the slow events.
    slow: (u64, u64),
}

/// A silence just under the threshold, a long one, and servers that take several times as long.
const PACES: [Pace; 6] = [
    Pace { before_ms: 950, between_ms: 100, slow: (6, 6) },
    Pace { before_ms: 950, between_ms: 950, slow: (6, 6) },
    Pace { before_ms: 0, between_ms: 950, slow: (6, 6) },
    Pace { before_ms: 950, between_ms: 950, slow: (1, 1) },
    Pace { before_ms: 1500, between_ms: 1500, slow: (6, 6) },
    Pace { before_ms: 660, between_ms: 660, slow: (6, 8) },
];

async fn start_target(id: &str) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let id = id.to_string();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let id = id.clone();
            tokio::spawn(async move {
                // The router closes the connections of attempts that it gives up.
                serve(stream, &id).await.ok();
            });
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, id: &str) -> std::io::Result<()> {
    let Some(head) = raw::read_request(&mut stream).await else { return Ok(()) };
    if raw::refuse_misdirected(&mut stream, &head, id).await {
        return Ok(());
    }
    let pace = PACES[raw::header(&head, "x-pace").unwrap().parse::<usize>().unwrap()];
    let lines = "Content-Type: text/event-stream\r\nConnection: close\r\n";
    stream.write_all(raw::response_head(&head, lines).as_bytes()).await?;
    let last_id = raw::header(&head, "last-event-id").map_or(0, |id| id.parse().unwrap());
    for id in last_id + 1..=edge_kit::EVENT_COUNT {
        let (begin, middle, end) = (format!("id: {id}\nda"), format!("ta: event {id}"), "\n\n");
        let is_slow = (pace.slow.0..=pace.slow.1).contains(&id);
        let scale = |ms: u64| Duration::from_millis(if is_slow { ms } else { 0 });
        time::sleep(scale(pace.before_ms).max(EVENT_INTERVAL)).await;
        stream.write_all(begin.as_bytes()).await?;
        time::sleep(scale(pace.between_ms)).await;
        stream.write_all(middle.as_bytes()).await?;
        time::sleep(scale(pace.between_ms)).await;
        stream.write_all(end.as_bytes()).await?;
    }
    Ok(())
}

/// Streams at each pace that aren't whole.
async fn cut_streams(path: &str) -> Vec<String> {
    let (store, store_addr) = Store::start().await;
    store.put_config_with_timeout(3, TIMEOUT);
    for id in ["t0", "t1", "t2"] {
        store.put_target(id, start_target(id).await, "ready");
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    let calls = (0..PACES.len()).map(async |number| {
        let pace = number.to_string();
        let mut request = edge_kit::request(path, &format!("s{number}"), &[("x-pace", &pace)]);
        let deadline_ms = TIMEOUT.as_millis().to_string();
        request.headers_mut().insert("deadline-ms", deadline_ms.parse().unwrap());
        let response = edge_kit::call(&router, request).await;
        let is_whole = response.is_complete && response.body == edge_kit::full_stream();
        let event_count = response.body.matches("\n\n").count();
        (!is_whole).then(|| format!("{:?}: cut after {event_count} events", PACES[number]))
    });
    future::join_all(calls).await.into_iter().flatten().collect()
}

macro_rules! whole {
    ($($name:ident: $path:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_eq!(cut_streams($path).await, Vec::<String>::new());
        }
    )*};
}

// Guards against a stream that is cut while its target sends, as an event takes longer than a silence.
whole! {
    slow_events_cut_no_stream_that_runs_once: "/note/";
    slow_events_cut_no_stream_that_can_be_resumed: "/brief/";
}
