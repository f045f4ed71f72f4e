//! Case 11: servers hand out wrong bytes, a status 101 that nobody asked for, in place of answers.
//!
//! `TROUBLE=0` leaves that out.

use std::fs;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::kit::{self, Answer, Conn, Request, Router, Store, ms};
use crate::server::{Servers, parts};

const SERVERS: usize = 5;
/// Servers that garble answers: a share of 0.6.
const GARBLING: usize = 3;
const GAP_MS: u64 = 4;
const CLIENTS: usize = 16;
const PLAY_MS: u64 = 9000;

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"lanes.example\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"{kind}\",\
             \"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"desk\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":1000000}},\
         \"tenants\":[{{\"name\":\"clubs\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        route("booking", "non_idempotent", 1),
        route("lookup", "idempotent", 2),
        kit::KEY
    )
}

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("review-3-case-11-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let dir = dir.to_str().unwrap().to_string();
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", config().as_bytes());
    let runs_path = format!("{dir}/runs.txt");
    let log = fs::File::create(&runs_path).unwrap();
    let start = |number: usize| -> Child {
        let framing = if has_trouble && number < GARBLING { "garbled" } else { "chunked" };
        Command::new(std::env::current_exe().unwrap())
            .args(["server", &store_addr.to_string(), &format!("i-{number}"), "desk", "0", framing])
            .args(["0".to_string(), GAP_MS.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .spawn()
            .unwrap()
    };
    let servers = Servers((0..SERVERS).map(start).collect());
    thread::sleep(ms(1500));
    let mut routers = (0..2).map(|i| Router::new(&dir, i, store_addr, 260)).collect::<Vec<_>>();
    routers.iter_mut().for_each(Router::start);
    let code = if routers.iter().all(Router::wait_until_ready) {
        thread::sleep(ms(1000));
        play(folder, &routers, &runs_path)
    } else {
        eprintln!("the routers aren't ready");
        2
    };
    drop(servers);
    routers.iter_mut().for_each(Router::kill);
    let _ = fs::remove_dir_all(&dir);
    code
}

/// Sends a request on a kept connection, or on a new one. Interim answers are passed over, as HTTP says.
fn call(router: &Router, kept: &mut Option<Conn>, request: &Request) -> Answer {
    let mut ask = || -> std::io::Result<Answer> {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => Conn::connect(router.callers, ms(1000))?,
        };
        conn.stream.set_read_timeout(Some(ms(4000)))?;
        conn.stream.write_all(&request.text())?;
        let mut interim = String::new();
        loop {
            let mut answer = kit::read_answer(&mut conn);
            if answer.status / 100 == 1 {
                interim += &format!("interim {}, ", answer.status);
                continue;
            }
            answer.error = interim + &answer.error;
            if answer.is_whole && !answer.is_closing {
                *kept = Some(conn);
            }
            return Ok(answer);
        }
    };
    ask().unwrap_or_else(|err| Answer { error: err.to_string(), ..Answer::default() })
}

fn play(folder: &str, routers: &[Router], runs_path: &str) -> i32 {
    let answers = Arc::new(Mutex::new(Vec::new()));
    let began_at = Instant::now();
    thread::scope(|scope| {
        for i in 0..CLIENTS {
            let (router, answers) = (&routers[i % routers.len()], answers.clone());
            scope.spawn(move || {
                let (route, method) =
                    if i % 4 < 2 { ("booking", "POST") } else { ("lookup", "GET") };
                let mut kept = None;
                for n in 0.. {
                    if began_at.elapsed() >= ms(PLAY_MS) {
                        break;
                    }
                    let request = Request {
                        method,
                        path: format!("/{route}/{i}-{n}"),
                        id: format!("a{i:02}{n:04}"),
                        deadline_ms: 2500,
                        lines: String::new(),
                        body: if method == "POST" { b"lane 4".to_vec() } else { Vec::new() },
                    };
                    let answer = call(router, &mut kept, &request);
                    answers.lock().unwrap().push((began_at.elapsed(), request, answer));
                }
            });
        }
    });
    let mut record = format!("servers {SERVERS}\n");
    record += &fs::read_to_string(runs_path).unwrap_or_default();
    let (mut whole, mut lost, mut other) = (0, 0, 0);
    let mut answers = answers.lock().unwrap();
    answers.sort_by_key(|(at, ..)| *at);
    for (at, request, answer) in answers.iter() {
        let expected = parts(&request.path).concat();
        let outcome = if answer.status == 200 && answer.body == expected.as_bytes() {
            whole += 1;
            "whole"
        } else if answer.error.contains("interim 101") {
            lost += 1;
            "BROKEN: a 101 without a request for it, and no answer"
        } else {
            other += 1;
            "no success"
        };
        record += &format!(
            "{:.3} s  {} {} {} -> status {}, {} bytes: {outcome} {}\n",
            at.as_secs_f64(),
            request.id,
            request.method,
            request.path,
            answer.status,
            answer.body.len(),
            answer.error
        );
    }
    record += &format!("whole {whole}, 101 and no answer {lost}, other {other}\n");
    println!("{}", record.lines().last().unwrap_or_default());
    fs::write(format!("{folder}/record.txt"), record).unwrap();
    if lost > 0 {
        1
    } else if whole < 100 {
        2
    } else {
        0
    }
}
