//! Callers that keep their connections until the router's process is gone, and check each answer.

use std::fmt;
use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use edge_kit::Answer;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{ROUTERS, World, edge_kit};

/// Time limit that callers tell.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time beyond the limit within which an answer has come, at a router that was left alone.
const SLACK: Duration = Duration::from_secs(1);

/// Longest wait for an answer from a router that was not.
const GIVE_UP: Duration = Duration::from_secs(12);

/// What callers saw.
#[derive(Default)]
pub struct Tally {
    served: usize,
    cut: usize,
    unknown: usize,
    closed: usize,
    /// Requests that were answered "not run".
    pub not_run: Vec<String>,
    /// Requests that may run once.
    pub once: Vec<String>,
}

impl Tally {
    /// Adds what another caller saw.
    pub fn add(&mut self, more: Tally) {
        self.served += more.served;
        self.cut += more.cut;
        self.unknown += more.unknown;
        self.closed += more.closed;
        self.not_run.extend(more.not_run);
        self.once.extend(more.once);
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally { served, cut, unknown, closed, not_run, .. } = self;
        let not_run = not_run.len();
        write!(
            f,
            "{served} served, {cut} cut, {unknown} unknown, {closed} closed, {not_run} not run"
        )
    }
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(addr: net::SocketAddr) -> Option<Sender> {
    let connecting = tokio::time::timeout(SLACK, tokio::net::TcpStream::connect(addr)).await;
    let (sender, connection) = http1::handshake(TokioIo::new(connecting.ok()?.ok()?)).await.ok()?;
    tokio::spawn(async move { connection.await.ok() });
    Some(sender)
}

async fn send(sender: &mut Sender, path: &str, id: &str) -> Option<Answer> {
    sender.ready().await.ok()?;
    let answer = sender.send_request(edge_kit::request(path, id, &[])).await.ok()?;
    Some(edge_kit::read_answer(answer).await)
}

fn header<'a>(answer: &'a Answer, name: &str) -> &'a str {
    answer.headers.get(name).map_or("", |value| value.to_str().unwrap())
}

/// Sends one request on a connection of its own.
pub async fn once(addr: net::SocketAddr, path: &str, id: &str) -> Option<Answer> {
    let mut sender = connect(addr).await?;
    tokio::time::timeout(GIVE_UP, send(&mut sender, path, id)).await.ok()?
}

/// Calls until the faults are over.
pub async fn run(world: Arc<World>, number: usize, mut random: SmallRng) -> Tally {
    let mut tally = Tally::default();
    let mut place = number % ROUTERS;
    let mut connection: Option<Sender> = None;
    let mut count = 0;
    while Instant::now() < world.ends_at {
        if connection.is_none() {
            connection = match world.callers_addr(place) {
                Some(addr) => connect(addr).await,
                None => None,
            };
        }
        let Some(mut sender) = connection.take() else {
            place = (place + 1) % ROUTERS;
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        count += 1;
        let path = ["/book/", "/look/", "/brief/", "/note/"][random.random_range(0..4)];
        let id = format!("{number}-{count}{path}");
        if path == "/book/" || path == "/note/" {
            tally.once.push(id.clone());
        }
        let began = Instant::now();
        let answer = tokio::time::timeout(GIVE_UP, send(&mut sender, path, &id)).await;
        let is_calm = world.is_calm_since(place, began - SLACK);
        if is_calm && began.elapsed() > DEADLINE + SLACK {
            world.wrong(format!("{id} had no answer for {:?} at r{place}", began.elapsed()));
        }
        match answer.ok().flatten() {
            Some(answer) => {
                check(&world, path, &id, &answer, &mut tally);
                let stays = answer.is_whole && header(&answer, "connection") != "close";
                connection = stays.then_some(sender);
            }
            None => {
                tally.closed += 1;
                if is_calm && world.arrivals(&id) > 0 {
                    world.wrong(format!(
                        "{id} reached a target and r{place} closed without an answer"
                    ));
                }
                place = random.random_range(0..ROUTERS);
            }
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..60))).await;
    }
    tally
}

fn check(world: &World, path: &str, id: &str, answer: &Answer, tally: &mut Tally) {
    let Answer { status, body, is_whole, .. } = answer;
    let answered_id = header(answer, "attempt-id");
    if answered_id != id {
        world.wrong(format!("{id} got the answer to {answered_id:?}"));
    }
    let is_stream = path == "/brief/" || path == "/note/";
    match status {
        200 if is_stream => {
            let all = edge_kit::all_events();
            let is_right = if *is_whole { *body == all } else { all.starts_with(body.as_str()) };
            if !is_right {
                world.wrong(format!("{id}: whole {is_whole}, events {body:?}"));
            }
            tally.served += usize::from(*is_whole);
            tally.cut += usize::from(!is_whole);
        }
        200 => {
            if !is_whole || !body.starts_with("served by t") {
                world.wrong(format!("{id}: whole {is_whole}, body {body:?}"));
            }
            tally.served += 1;
        }
        503 => tally.not_run.push(id.to_string()),
        502 | 504 => tally.unknown += 1,
        status => world.wrong(format!("{id}: status {status}")),
    }
}
