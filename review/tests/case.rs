//! The scripts of the cases.

use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::{
    Attempt, Ended, Handler, Message, Record, Server, Stage, call, ms, read_message, respond,
};

/// Plays a case; returns whether the rule was broken.
pub fn run(name: &str, stage: &Stage) -> io::Result<bool> {
    match name {
        "hang" => hang(stage),
        "uploads" => uploads(stage),
        "late" => late_write(stage),
        "slow" => slow(stage),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Reads nothing more and sends nothing more until the peer closes the channel.
fn fall_silent(stream: &mut TcpStream) -> io::Result<()> {
    let mut byte = [0; 1];
    let _ = io::Read::read(stream, &mut byte);
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Sends a stream of `count` events, each of which holds the id of the request.
fn send_stream(
    server: &Server,
    request: &Message,
    stream: &mut TcpStream,
    count: u64,
) -> io::Result<()> {
    send_stream_head(server, request, stream)?;
    thread::sleep(ms(150));
    let after = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
    for number in after + 1..=count {
        let id = request.header("attempt-id").unwrap_or_default();
        let event = format!("id: {number}\ndata: {id} {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(ms(30));
    }
    stream.write_all(b"0\r\n\r\n")
}

fn send_stream_head(server: &Server, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
    let headers = server.answer_headers(request);
    write!(
        stream,
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn write_attempts(record: &Record, attempts: &[Attempt]) {
    for attempt in attempts {
        let Attempt { id, router, sent_s, ended_s, ended, has_head, .. } = attempt;
        record.line(&format!(
            "request {id} to {router}: sent {sent_s:.3}, ended {ended_s:.3}, {ended:?}, head {has_head}"
        ));
    }
}

/// A number from 0 to 99 that follows from a text.
fn draw(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    (hash ^ (hash >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff_ffff
}

/// A part of the requests hangs at two of eight model servers.
fn hang(stage: &Stage) -> io::Result<bool> {
    const TIMEOUT_S: f64 = 5.0;
    const EVENTS: u64 = 10;
    const RATE: u64 = 60;
    const COUNT: u64 = 12 * RATE;
    let record = &stage.record;
    stage.store.put(
        "keyed.op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"brief\",\"host\":\"desk.example\",\"path_prefix\":\"/brief/\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":1500,\"priority\":1,\
         \"service\":\"model\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
         \"gap_aim_ms\":250}],\"services\":[{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_conns\":370,\"engine\":{\"slots\":64,\"kv_capacity\":542899}}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":530000},\
         \"tenants\":[{\"name\":\"clubs\",\"api_keys\":[\"key-of-clubs\"],\"priority\":1}]}",
    );
    // Servers by id: how many requests came, and what they do with a part of the requests.
    let arrivals = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let grey = Arc::new(Mutex::new(HashMap::<String, &'static str>::new()));
    let hung = Mutex::new(HashSet::<String>::new());
    let (counted, modes, log) = (arrivals.clone(), grey.clone(), record.clone());
    let handler: Arc<Handler> = Arc::new(move |server, request, stream| {
        *counted.lock().unwrap().entry(server.id.clone()).or_default() += 1;
        let id = request.header("attempt-id").unwrap_or_default();
        let mut modes = modes.lock().unwrap();
        let hangs_elsewhere = hung.lock().unwrap().contains(id);
        if modes.len() == 1 && hangs_elsewhere {
            log.line(&format!("trouble: server {} falls mute on 45 in 100 requests", server.id));
            modes.insert(server.id.clone(), "falls mute on");
        }
        let mode = modes.get(&server.id).copied();
        drop(modes);
        let mode =
            mode.filter(|_| draw(&format!("{id} {}", server.id)) % 100 < 45).unwrap_or("serves");
        log.line(&format!("server {} {mode} {id}", server.id));
        match mode {
            "hangs on" => {
                hung.lock().unwrap().insert(id.to_string());
                fall_silent(stream)
            }
            "falls mute on" => {
                send_stream_head(server, request, stream)?;
                fall_silent(stream)
            }
            _ => send_stream(server, request, stream, EVENTS),
        }
    });
    let servers =
        (1..=8).map(|i| Server::start(&format!("i-{i}"), "model", &stage.store, handler.clone()));
    let servers = servers.collect::<io::Result<Vec<_>>>()?;
    let routers = stage.start_routers(3)?;
    let fronts =
        routers.iter().map(|router| (router.name.clone(), router.front)).collect::<Vec<_>>();
    let attempts = Arc::new(Mutex::new(Vec::<Attempt>::new()));
    let begin_s = record.now();
    let mut clients = Vec::new();
    // Requests at an even rate, which share a long part of their prompts.
    for number in 0..COUNT {
        record.sleep_until(begin_s + number as f64 / RATE as f64);
        if number == 5 * RATE && stage.has_trouble {
            let counts = arrivals.lock().unwrap().clone();
            let hanging = counts.iter().max_by_key(|(_, count)| **count).map(|(id, _)| id.clone());
            let hanging = hanging.unwrap_or_default();
            record.line(&format!("trouble: server {hanging} hangs on 45 in 100 requests"));
            grey.lock().unwrap().insert(hanging, "hangs on");
        }
        if number == 7 * RATE && stage.has_trouble {
            // What hangs, hangs; new requests are served.
            for mode in grey.lock().unwrap().values_mut() {
                *mode = "serves";
            }
            record.line("trouble: new requests are served again there");
        }
        if number == 5 * RATE + 13 * RATE / 2 {
            // 6.5 s later.
            grey.lock().unwrap().clear();
            record.line("trouble ends");
        }
        let (attempts, record) = (attempts.clone(), record.clone());
        let (router, front) = fronts[number as usize % fronts.len()].clone();
        clients.push(thread::spawn(move || {
            let id = format!("r{number:04}");
            let headers = format!(
                "Authorization: Bearer key-of-clubs\r\nModel: m\r\nToken-Counts: 13800,80\r\n\
                 Prefix-Hash: 5c1e07a2:13300,{:x}:500\r\n",
                0xaa00_0000 + number
            );
            // The client leaves after four times the objective without an event.
            let (limit, patience) = (ms(12_000), ms(6000));
            let attempt = call(
                &record,
                &router,
                front,
                &id,
                "POST /brief/2f",
                &headers,
                b"a prompt",
                limit,
                patience,
            );
            attempts.lock().unwrap().push(attempt);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(servers);
    let mut attempts = attempts.lock().unwrap().clone();
    attempts.sort_by(|a, b| a.id.cmp(&b.id));
    write_attempts(record, &attempts);
    let lasts = |attempt: &&Attempt, time_s: f64| attempt.ended_s - attempt.sent_s > time_s;
    let long = attempts.iter().filter(|a| lasts(a, TIMEOUT_S)).count();
    let late = attempts.iter().filter(|a| lasts(a, TIMEOUT_S + 0.5)).count();
    let never = attempts.iter().filter(|a| a.ended == Ended::GaveUp).count();
    record.line(&format!(
        "CONFIG: of {} requests, {long} were unfinished at timeout_ms, {late} of them half a second later \
         ({never} had no answer when their client left after 6 s)",
        attempts.len()
    ));
    Ok(late >= 8 && late * 4 > long)
}

/// Clients upload drawings, and for 3 s 1.67 times as many of them come.
fn uploads(stage: &Stage) -> io::Result<bool> {
    // 260 MiB, the larger reading of `memory_mb`.
    const MEMORY_MB: f64 = 272.6;
    const CLIENTS: usize = 18;
    const BURST_CLIENTS: usize = 12;
    const BYTES: usize = 4_190_000;
    let record = &stage.record;
    stage.store.put(
        "keyed.op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"order\",\"host\":\"desk.example\",\"path_prefix\":\"/order/\",\
         \"route_kind\":\"non_idempotent\",\"timeout_ms\":12000,\"target_latency_ms\":1500,\"priority\":1,\
         \"service\":\"desk\",\"max_attempts\":2,\"public\":false,\"sticky\":false}],\
         \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":370}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"clubs\",\"api_keys\":[\"key-of-clubs\"],\"priority\":1}]}",
    );
    let run = Arc::new(Mutex::new(HashSet::<String>::new()));
    let (log, begun) = (record.clone(), run.clone());
    let handler: Arc<Handler> = Arc::new(move |server, request, stream| {
        let id = request.header("attempt-id").unwrap_or_default();
        log.line(&format!("server {} runs {id}, {} bytes", server.id, request.body.len()));
        begun.lock().unwrap().insert(id.to_string());
        thread::sleep(ms(1500));
        respond(stream, "200 OK", &server.answer_headers(request), b"done")
    });
    let servers =
        (1..=3).map(|i| Server::start(&format!("i-{i}"), "desk", &stage.store, handler.clone()));
    let _servers = servers.collect::<io::Result<Vec<_>>>()?;
    let mut routers = stage.start_routers(2)?;
    let begin_s = record.now();
    let body = Arc::new(vec![b'x'; BYTES]);
    let lost = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut clients = Vec::new();
    for (at, router) in routers.iter().enumerate() {
        let burst = if stage.has_trouble { BURST_CLIENTS } else { 0 };
        for number in 0..CLIENTS + burst {
            let (from_s, until_s) = if number < CLIENTS { (0.0, 16.0) } else { (8.0, 11.0) };
            // Clients don't come in step.
            let from_s = begin_s + from_s + (number * 2 + at) as f64 * 0.02;
            let (record, body, lost) = (record.clone(), body.clone(), lost.clone());
            let (front, router) = (router.front, router.name.clone());
            clients.push(thread::spawn(move || {
                let name = format!("c{at}{number:02}");
                upload_until(
                    &record,
                    front,
                    &name,
                    &router,
                    from_s,
                    begin_s + until_s,
                    &body,
                    &lost,
                )
            }));
        }
    }
    // The platform kills a process that exceeds its memory, and starts it again.
    let mut kills = 0;
    let mut most_mb = 0.0_f64;
    while record.now() < begin_s + 20.0 {
        for router in &mut routers {
            let memory_mb = router.memory_mb();
            most_mb = most_mb.max(memory_mb);
            if memory_mb > MEMORY_MB {
                kills += 1;
                record.line(&format!(
                    "platform: {} has {memory_mb:.0} MB and is killed",
                    router.name
                ));
                router.kill();
                thread::sleep(ms(300));
                router.spawn()?;
            }
        }
        thread::sleep(ms(20));
    }
    for client in clients {
        let _ = client.join();
    }
    let run = run.lock().unwrap();
    let mut lost = lost.lock().unwrap();
    lost.retain(|id| run.contains(id));
    record.line(&format!(
        "LOST: {kills} processes exceeded {MEMORY_MB} MB (most {most_mb:.0} MB); {} requests on kept channels were \
         passed on to a server and their channel was closed without an answer",
        lost.len()
    ));
    Ok(kills > 0 && lost.len() > 3)
}

/// Sends one upload after the other on a kept channel.
#[allow(clippy::too_many_arguments)]
fn upload_until(
    record: &Record,
    front: SocketAddr,
    name: &str,
    router: &str,
    from_s: f64,
    until_s: f64,
    body: &[u8],
    lost: &Mutex<Vec<String>>,
) {
    record.sleep_until(from_s);
    let mut channel: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut count = 0;
    while record.now() < until_s {
        let is_kept = channel.is_some();
        let id = format!("{name}-{count}");
        count += 1;
        record.line(&format!("client {name} sends {id} to {router}"));
        let mut is_sent = false;
        let result = (|| -> io::Result<Message> {
            let (mut stream, mut reader) = match channel.take() {
                Some(kept) => kept,
                None => {
                    let stream = TcpStream::connect_timeout(&front, ms(1000))?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(ms(12_000)))?;
                    (stream.try_clone()?, BufReader::new(stream))
                }
            };
            write!(
                stream,
                "POST /order/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 12000\r\n\
                 Authorization: Bearer key-of-clubs\r\nContent-Length: {}\r\n\r\n",
                body.len()
            )?;
            stream.write_all(body)?;
            is_sent = true;
            let answer = read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if answer.header("connection") != Some("close") {
                channel = Some((stream, reader));
            }
            Ok(answer)
        })();
        match result {
            Ok(answer) => record.line(&format!("client {name}: {id} answered {}", answer.status())),
            Err(err) => {
                record.line(&format!(
                    "client {name}: {id} cut, {} (kept {is_kept}, sent {is_sent})",
                    err.kind()
                ));
                if is_kept && is_sent {
                    lost.lock().unwrap().push(id);
                }
                thread::sleep(ms(500));
            }
        }
    }
}

/// A liveness report of a server is executed by the store 6 s late, after the server's entry was removed.
fn late_write(stage: &Stage) -> io::Result<bool> {
    let record = &stage.record;
    stage.store.put(
        "keyed.op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"order\",\"host\":\"desk.example\",\"path_prefix\":\"/order/\",\
         \"route_kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":1,\
         \"service\":\"desk\",\"max_attempts\":2,\"public\":false,\"sticky\":false}],\
         \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"clubs\",\"api_keys\":[\"key-of-clubs\"],\"priority\":1}]}",
    );
    let runs = Arc::new(Mutex::new(Vec::<(f64, String, String)>::new()));
    let (log, noted) = (record.clone(), runs.clone());
    let handler: Arc<Handler> = Arc::new(move |server, request, stream| {
        let id = request.header("attempt-id").unwrap_or_default();
        log.line(&format!("server {} runs {id}", server.id));
        noted.lock().unwrap().push((log.now(), server.id.clone(), id.to_string()));
        thread::sleep(ms(15));
        respond(stream, "200 OK", &server.answer_headers(request), b"done")
    });
    let servers =
        (1..=3).map(|i| Server::start(&format!("i-{i}"), "desk", &stage.store, handler.clone()));
    let servers = servers.collect::<io::Result<Vec<_>>>()?;
    let routers = stage.start_routers(2)?;
    let begin_s = record.now();
    let leaving = servers[0].clone();
    let (store, has_trouble, log) = (stage.store.clone(), stage.has_trouble, record.clone());
    let removed_s = begin_s + 6.5;
    let plan = thread::spawn(move || {
        log.sleep_until(begin_s + 3.0);
        let report = leaving.entry("ready");
        log.line("the store gives no answer to a liveness report of i-1");
        log.sleep_until(removed_s);
        leaving.stop_reporting();
        log.line("the entry of i-1 is removed; it serves on for a while");
        store.put("keyed.servers", "i-1", "");
        log.sleep_until(begin_s + 9.0);
        if has_trouble {
            log.line("trouble: the store executes the report 6 s late");
            store.put("keyed.servers", "i-1", &report);
        }
        log.sleep_until(begin_s + 12.6);
        store.put("keyed.servers", "i-1", "");
        log.line("after three silent intervals the entry is removed again");
    });
    let mut clients = Vec::new();
    let attempts = Arc::new(Mutex::new(Vec::<Attempt>::new()));
    for number in 0..14 * 60_u64 {
        record.sleep_until(begin_s + number as f64 / 60.0);
        let (record, attempts) = (record.clone(), attempts.clone());
        let router = &routers[number as usize % 2];
        let (front, name) = (router.front, router.name.clone());
        clients.push(thread::spawn(move || {
            let id = format!("r{number:04}");
            let headers = "Authorization: Bearer key-of-clubs\r\n";
            let limit = ms(1500);
            let attempt = call(
                &record,
                &name,
                front,
                &id,
                "POST /order/2f",
                headers,
                b"an order",
                limit,
                limit,
            );
            attempts.lock().unwrap().push(attempt);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = plan.join();
    write_attempts(record, &attempts.lock().unwrap());
    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|(at, id, _)| id == "i-1" && *at > removed_s + 2.0 + 0.1)
        .collect::<Vec<_>>();
    let last_s = late.iter().map(|(at, _, _)| at - removed_s).fold(0.0, f64::max);
    record.line(&format!("DRAIN: {} requests reached i-1 later than drain_ms after its removal, the last {last_s:.1} s after", late.len()));
    Ok(!late.is_empty())
}

/// A model server turns slow; it sends each token as it is made.
fn slow(stage: &Stage) -> io::Result<bool> {
    const CLIENTS: usize = 60;
    const EVENTS: u64 = 8;
    const TOKENS: usize = 3;
    const TOKEN_MS: u64 = 83;
    const SLOW_FACTOR: u64 = 8;
    let record = &stage.record;
    stage.store.put(
        "keyed.op",
        "config",
        "{\"version\":3,\"routes\":[{\"name\":\"quote\",\"host\":\"desk.example\",\"path_prefix\":\"/quote/\",\
         \"route_kind\":\"streaming\",\"timeout_ms\":30000,\"target_latency_ms\":800,\"priority\":1,\
         \"service\":\"model\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":false,\
         \"gap_aim_ms\":250}],\"services\":[{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_conns\":370,\"engine\":{\"slots\":64,\"kv_capacity\":542899}}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":530000},\
         \"tenants\":[{\"name\":\"clubs\",\"api_keys\":[\"key-of-clubs\"],\"priority\":1}]}",
    );
    let running = Arc::new(Mutex::new(HashMap::<String, i64>::new()));
    let slow_server = Arc::new(Mutex::new(String::new()));
    let cut = Arc::new(Mutex::new(HashSet::<String>::new()));
    let (counts, slow_one, noted, log) =
        (running.clone(), slow_server.clone(), cut.clone(), record.clone());
    let handler: Arc<Handler> = Arc::new(move |server, request, stream| {
        let id = request.header("attempt-id").unwrap_or_default().to_string();
        log.line(&format!("server {} runs {id}", server.id));
        *counts.lock().unwrap().entry(server.id.clone()).or_default() += 1;
        let send = |stream: &mut TcpStream| -> io::Result<()> {
            send_stream_head(server, request, stream)?;
            thread::sleep(ms(100));
            for number in 1..=EVENTS {
                for token in 0..TOKENS {
                    let is_slow = *slow_one.lock().unwrap() == server.id;
                    thread::sleep(ms(TOKEN_MS * if is_slow { SLOW_FACTOR } else { 1 }));
                    let mut text = format!(" token{token}");
                    if token == 0 {
                        text = format!("id: {number}\ndata:{text}");
                    }
                    if token + 1 == TOKENS {
                        text.push_str("\n\n");
                    }
                    write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
                }
            }
            stream.write_all(b"0\r\n\r\n")
        };
        let result = send(stream);
        *counts.lock().unwrap().entry(server.id.clone()).or_default() -= 1;
        if let Err(err) = &result {
            log.line(&format!(
                "server {}: its channel was closed while it ran {id} ({})",
                server.id,
                err.kind()
            ));
            noted.lock().unwrap().insert(id);
        }
        result
    });
    let servers =
        (1..=8).map(|i| Server::start(&format!("i-{i}"), "model", &stage.store, handler.clone()));
    let _servers = servers.collect::<io::Result<Vec<_>>>()?;
    let routers = stage.start_routers(2)?;
    let begin_s = record.now();
    let lost = Arc::new(Mutex::new(Vec::<String>::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let router = &routers[number % 2];
        let (front, router) = (router.front, router.name.clone());
        let (record, lost) = (record.clone(), lost.clone());
        clients.push(thread::spawn(move || {
            record.sleep_until(begin_s + number as f64 * 0.04);
            stream_until(
                &record,
                front,
                &format!("c{number:02}"),
                &router,
                begin_s + 18.0,
                EVENTS,
                &lost,
            )
        }));
    }
    record.sleep_until(begin_s + 6.0);
    if stage.has_trouble {
        let counts = running.lock().unwrap().clone();
        let busiest = counts
            .into_iter()
            .max_by_key(|(_, count)| *count)
            .map(|(id, _)| id)
            .unwrap_or_default();
        record.line(&format!("trouble: server {busiest} takes {SLOW_FACTOR} times as long"));
        *slow_server.lock().unwrap() = busiest;
    }
    record.sleep_until(begin_s + 12.5);
    slow_server.lock().unwrap().clear();
    record.line("trouble ends");
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(1000));
    let (cut, lost) = (cut.lock().unwrap(), lost.lock().unwrap());
    let both = lost.iter().filter(|id| cut.contains(*id)).count();
    record.line(&format!(
        "LOST: {} streams from kept channels ended without a whole answer, {both} of them while their server was \
         sending on",
        lost.len()
    ));
    Ok(both > 3)
}

/// Asks for one stream after the other on a kept channel. The client leaves after 3.2 s without a byte, four
/// times the objective.
fn stream_until(
    record: &Record,
    front: SocketAddr,
    name: &str,
    router: &str,
    until_s: f64,
    events: u64,
    lost: &Mutex<Vec<String>>,
) {
    let mut channel: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut count = 0;
    while record.now() < until_s {
        let is_kept = channel.is_some();
        let id = format!("{name}-{count}");
        count += 1;
        record.line(&format!("client {name} sends {id} to {router}"));
        let result = (|| -> io::Result<u16> {
            let (mut stream, mut reader) = match channel.take() {
                Some(kept) => kept,
                None => {
                    let stream = TcpStream::connect_timeout(&front, ms(1000))?;
                    stream.set_nodelay(true)?;
                    stream.set_read_timeout(Some(ms(3200)))?;
                    (stream.try_clone()?, BufReader::new(stream))
                }
            };
            let part = draw(&id);
            let head = format!(
                "POST /quote/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 30000\r\n\
                 Authorization: Bearer key-of-clubs\r\nModel: m\r\nToken-Counts: 500,24\r\n\
                 Prefix-Hash: {part:x}:500\r\nContent-Length: 8\r\n\r\na prompt"
            );
            stream.write_all(head.as_bytes())?;
            let answer = read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let text = String::from_utf8_lossy(&answer.body).to_string();
            if answer.status() == 200 && text.matches("\n\n").count() as u64 != events {
                return Err(io::ErrorKind::InvalidData.into());
            }
            channel = Some((stream, reader));
            Ok(answer.status())
        })();
        match result {
            Ok(status) => record.line(&format!("client {name}: {id} answered {status}")),
            Err(err) => {
                record.line(&format!("client {name}: {id} cut, {} (kept {is_kept})", err.kind()));
                if is_kept && err.kind() == io::ErrorKind::UnexpectedEof {
                    lost.lock().unwrap().push(id);
                }
            }
        }
    }
}
