//! Case 13: a server crashes (SIGKILL) while it sends answers without a length, which aren't streams.
//!
//! `TROUBLE=0` leaves the crash out. `FRAMING=length` has the servers state the length: to compare.

use std::fs;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::kit::{self, Answer, Conn, Request, Router, Store, ms};
use crate::server::{Servers, parts};

const SERVERS: usize = 7;
const GAP_MS: u64 = 15;
const CLIENTS: usize = 28;
const PLAY_MS: u64 = 5000;
const CRASH_MS: u64 = 2500;

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
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| "unframed".to_string());
    let dir = std::env::temp_dir().join(format!("review-3-case-13-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let dir = dir.to_str().unwrap().to_string();
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", config().as_bytes());
    let runs_path = format!("{dir}/runs.txt");
    let log = fs::File::create(&runs_path).unwrap();
    let start = |number: usize| -> Child {
        Command::new(std::env::current_exe().unwrap())
            .args(["server", &store_addr.to_string(), &format!("i-{number}"), "desk", "0", &framing])
            .args(["0".to_string(), GAP_MS.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .spawn()
            .unwrap()
    };
    let mut servers = Servers((0..SERVERS).map(start).collect());
    thread::sleep(ms(1500));
    let mut routers = (0..2).map(|i| Router::new(&dir, i, store_addr, 260)).collect::<Vec<_>>();
    routers.iter_mut().for_each(Router::start);
    let code = if routers.iter().all(Router::wait_until_ready) {
        thread::sleep(ms(1000));
        play(folder, has_trouble, &framing, &routers, &mut servers.0, &runs_path)
    } else {
        eprintln!("the routers aren't ready");
        2
    };
    drop(servers);
    routers.iter_mut().for_each(Router::kill);
    let _ = fs::remove_dir_all(&dir);
    code
}

fn call(router: &Router, request: &Request) -> Answer {
    let mut answer = Answer::default();
    let ask = || -> std::io::Result<Answer> {
        let mut conn = Conn::connect(router.callers, ms(1000))?;
        conn.stream.set_read_timeout(Some(ms(4000)))?;
        conn.stream.write_all(&request.text())?;
        Ok(kit::read_answer(&mut conn))
    };
    match ask() {
        Ok(got) => answer = got,
        Err(err) => answer.error = err.to_string(),
    }
    answer
}

fn play(
    folder: &str,
    has_trouble: bool,
    framing: &str,
    routers: &[Router],
    servers: &mut [Child],
    runs_path: &str,
) -> i32 {
    let answers = Arc::new(Mutex::new(Vec::new()));
    let began_at = Instant::now();
    let mut crashed_at = String::new();
    thread::scope(|scope| {
        for i in 0..CLIENTS {
            let (router, answers) = (&routers[i % routers.len()], answers.clone());
            scope.spawn(move || {
                let (route, method) =
                    if i % 4 < 2 { ("booking", "POST") } else { ("lookup", "GET") };
                thread::sleep(ms(5 * i as u64));
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
                    let answer = call(router, &request);
                    answers.lock().unwrap().push((began_at.elapsed(), request, answer));
                }
            });
        }
        thread::sleep(ms(CRASH_MS));
        if has_trouble {
            // SIGKILL, as a crash of the server's process.
            let _ = servers[0].kill();
            let _ = servers[0].wait();
            crashed_at = format!("{:.3} s  server i-0 is killed\n", began_at.elapsed().as_secs_f64());
        }
    });
    let mut record = format!("servers {SERVERS}, framing {framing}\n{crashed_at}");
    record += &fs::read_to_string(runs_path).unwrap_or_default();
    let (mut whole, mut early, mut other) = (0, 0, 0);
    let mut answers = answers.lock().unwrap();
    answers.sort_by_key(|(at, ..)| *at);
    for (at, request, answer) in answers.iter() {
        let expected = parts(&request.path).concat();
        let outcome = if answer.status != 200 || !answer.is_whole {
            other += 1;
            "no success"
        } else if answer.body == expected.as_bytes() {
            whole += 1;
            "whole"
        } else {
            early += 1;
            "BROKEN: a success whose body isn't the server's whole body"
        };
        record += &format!(
            "{:.3} s  {} {} {} -> status {}, {} of {} bytes, stamp {}: {outcome} {}\n",
            at.as_secs_f64(),
            request.id,
            request.method,
            request.path,
            answer.status,
            answer.body.len(),
            expected.len(),
            answer.stamp,
            answer.error
        );
    }
    record += &format!("whole {whole}, cut but complete to the client {early}, no success {other}\n");
    println!("{}", record.lines().last().unwrap_or_default());
    fs::write(format!("{folder}/record.txt"), record).unwrap();
    if early > 0 {
        1
    } else if whole < 100 {
        2
    } else {
        0
    }
}
