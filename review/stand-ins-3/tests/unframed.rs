//! Case 12: a server crashes (SIGKILL) while it sends streams without a length.
//!
//! `TROUBLE=0` leaves the crash out. `FRAMING=chunked` has the servers send chunks instead: to compare.

use std::fs;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::kit::{self, Answer, Conn, Request, Router, Store, ms};
use crate::server::{Servers, event};

const SERVERS: usize = 7;
const EVENTS: u64 = 60;
const GAP_MS: u64 = 50;
const STREAMS: usize = 42;

fn config() -> String {
    let route = |name: &str, is_resumable: bool, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"lanes.example\",\"path_prefix\":\"/{name}/\",\"route_kind\":\"streaming\",\
             \"timeout_ms\":15000,\"target_latency_ms\":1500,\"priority\":1,\"service\":\"model\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":true,\"resumable\":{is_resumable},\"gap_aim_ms\":200}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_conns\":620,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":1000000}},\
         \"tenants\":[{{\"name\":\"clubs\",\"api_keys\":[\"{}\"],\"priority\":1}}]}}",
        route("report", true, 2),
        route("briefing", false, 1),
        kit::KEY
    )
}

fn start_server(store: &str, number: usize, framing: &str, log: &fs::File) -> Child {
    Command::new(std::env::current_exe().unwrap())
        .args(["server", store, &format!("i-{number}"), "model", "0", framing])
        .args([EVENTS.to_string(), GAP_MS.to_string()])
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .spawn()
        .unwrap()
}

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let framing = std::env::var("FRAMING").unwrap_or_else(|_| "unframed".to_string());
    let dir = std::env::temp_dir().join(format!("review-3-case-12-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let dir = dir.to_str().unwrap().to_string();
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", config().as_bytes());
    let runs_path = format!("{dir}/runs.txt");
    let log = fs::File::create(&runs_path).unwrap();
    let text = store_addr.to_string();
    let mut servers =
        Servers((0..SERVERS).map(|i| start_server(&text, i, &framing, &log)).collect());
    thread::sleep(ms(1500));
    let mut routers =
        (0..2).map(|i| Router::new(&dir, i, store_addr, 260)).collect::<Vec<_>>();
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
    let clients = (0..STREAMS).map(|i| {
        let (addr, answers) = (routers[i % routers.len()].callers, answers.clone());
        let route = if i % 4 < 2 { "report" } else { "briefing" };
        thread::spawn(move || {
            thread::sleep(ms(20 * i as u64));
            let request = Request {
                method: "POST",
                path: format!("/{route}/{i}"),
                id: format!("a{i:04}"),
                deadline_ms: 15_000,
                lines: format!(
                    "Model: m\r\nToken-Counts: 1460,120\r\nPrefix-Hash: {i:x}00:800,{i:x}01:410,{i:x}02:250\r\n"
                ),
                body: b"prompt".to_vec(),
            };
            let mut answer = Answer::default();
            match Conn::connect(addr, ms(1000)) {
                Ok(mut conn) => {
                    let _ = conn.stream.set_read_timeout(Some(ms(16_000)));
                    match conn.stream.write_all(&request.text()) {
                        Ok(()) => answer = kit::read_answer(&mut conn),
                        Err(err) => answer.error = err.to_string(),
                    }
                }
                Err(err) => answer.error = err.to_string(),
            }
            answers.lock().unwrap().push((began_at.elapsed(), request, answer));
        })
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(ms(2000));
    let mut record = format!("servers {SERVERS}, framing {framing}\n");
    if has_trouble {
        // SIGKILL, as a crash of the server's process.
        let _ = servers[0].kill();
        let _ = servers[0].wait();
        record += &format!("{:.3} s  server i-0 is killed\n", began_at.elapsed().as_secs_f64());
    }
    for client in clients {
        let _ = client.join();
    }
    record += &fs::read_to_string(runs_path).unwrap_or_default();
    let (mut whole, mut early, mut cut, mut other) = (0, 0, 0, 0);
    let mut answers = answers.lock().unwrap();
    answers.sort_by(|a, b| a.1.id.cmp(&b.1.id));
    for (at, request, answer) in answers.iter() {
        let expected = (1..=EVENTS).map(|id| event(&request.path, id)).collect::<String>();
        let count = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        let outcome = if answer.status != 200 {
            other += 1;
            "not a success"
        } else if !answer.is_whole {
            cut += 1;
            "cut, and looks cut"
        } else if answer.body == expected.as_bytes() {
            whole += 1;
            "whole"
        } else {
            early += 1;
            "BROKEN: complete to its client before its last piece"
        };
        record += &format!(
            "{:.3} s  {} {} -> status {}, {count} of {EVENTS} events, last chunk {}: {outcome} {}\n",
            at.as_secs_f64(),
            request.id,
            request.path,
            answer.status,
            answer.is_whole,
            answer.error
        );
    }
    record += &format!("whole {whole}, ended early as complete {early}, cut {cut}, other {other}\n");
    print!("{}", record.lines().last().unwrap_or_default());
    println!();
    fs::write(format!("{folder}/record.txt"), record).unwrap();
    if early > 0 {
        1
    } else if whole * 2 < STREAMS {
        2
    } else {
        0
    }
}
