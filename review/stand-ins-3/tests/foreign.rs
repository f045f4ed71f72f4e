//! Case 14: another writer puts an entry without `version` under the id of a server that has gone.
//!
//! `TROUBLE=0` leaves the entry out.

use std::fs;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use crate::kit::{self, Conn, Request, Router, Store, ms, unix_ms};
use crate::server::Servers;

const SERVERS: usize = 3;
const GAP_MS: u64 = 2;
const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 25;
/// Reports of the server that leaves: the last one is 6 s after its start.
const BEATS: u64 = 6;
const DRAIN_MS: u64 = 2000;
/// Time from the removal of the entry to the entry of the other writer.
const ENTRY_AFTER_MS: u64 = 4000;
const PLAY_MS: u64 = 14_000;

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

/// The last entry of the server without `version`, with a later number; all else is as the server wrote it.
fn entry(last: &str) -> String {
    let text = last.replace("\"version\":\"v1\",", "");
    assert_ne!(text, last);
    let (before, after) = text.split_once("\"seq_no\":").unwrap();
    let (number, after) = after.split_once(',').unwrap();
    format!("{before}\"seq_no\":{},{after}", number.parse::<u64>().unwrap() + 1)
}

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = std::env::temp_dir().join(format!("review-3-case-14-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let dir = dir.to_str().unwrap().to_string();
    let (store, store_addr) = Store::start();
    store.put("keyed.op", "config", config().as_bytes());
    let runs_path = format!("{dir}/runs.txt");
    let log = fs::File::create(&runs_path).unwrap();
    let start = |number: usize| -> Child {
        let beats = if number == 0 { BEATS } else { 1_000_000 };
        Command::new(std::env::current_exe().unwrap())
            .args(["server", &store_addr.to_string(), &format!("i-{number}"), "desk", "0", "chunked"])
            .args(["0".to_string(), GAP_MS.to_string()])
            .env("BEATS", beats.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .spawn()
            .unwrap()
    };
    let born = unix_ms();
    let servers = Servers((0..SERVERS).map(start).collect());
    let mut routers = (0..2).map(|i| Router::new(&dir, i, store_addr, 260)).collect::<Vec<_>>();
    routers.iter_mut().for_each(Router::start);
    let code = if routers.iter().all(Router::wait_until_ready) {
        play(folder, has_trouble, &routers, &store, born, &runs_path)
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
    routers: &[Router],
    store: &Store,
    born: u64,
    runs_path: &str,
) -> i32 {
    let began_at = Instant::now();
    let statuses = Mutex::new(Vec::new());
    let mut acked_at = 0;
    let mut record = format!("servers {SERVERS}, {CLIENTS} clients\n");
    thread::scope(|scope| {
        for i in 0..CLIENTS {
            let (router, statuses) = (&routers[i % routers.len()], &statuses);
            scope.spawn(move || {
                for n in 0.. {
                    if began_at.elapsed() >= ms(PLAY_MS) {
                        break;
                    }
                    let request = Request {
                        method: "GET",
                        path: format!("/lookup/{i}-{n}"),
                        id: format!("a{i:02}{n:04}"),
                        deadline_ms: 2500,
                        lines: String::new(),
                        body: Vec::new(),
                    };
                    let ask = || -> std::io::Result<u16> {
                        let mut conn = Conn::connect(router.callers, ms(1000))?;
                        conn.stream.set_read_timeout(Some(ms(4000)))?;
                        conn.stream.write_all(&request.text())?;
                        Ok(kit::read_answer(&mut conn).status)
                    };
                    statuses.lock().unwrap().push(ask().unwrap_or(0));
                    thread::sleep(ms(PAUSE_MS));
                }
            });
        }
        // The server's last report is written 6 s after its start; its entry is removed a little later.
        thread::sleep(ms((born + 6600).saturating_sub(unix_ms())));
        let last = store.value("keyed.servers", "i-0").unwrap();
        store.put("keyed.servers", "i-0", b"");
        acked_at = unix_ms();
        record += &format!("{acked_at} the entry of i-0 is removed\n");
        thread::sleep(ms(ENTRY_AFTER_MS));
        if has_trouble {
            let text = entry(&last);
            store.put("keyed.servers", "i-0", text.as_bytes());
            record += &format!("{} another writer's entry under i-0: {text}\n", unix_ms());
        }
    });
    let runs = fs::read_to_string(runs_path).unwrap_or_default();
    let at_server = runs.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let at = words.next()?.parse::<u64>().ok()?;
        (words.next()? == "i-0").then_some((at, line))
    });
    let at_server = at_server.collect::<Vec<_>>();
    let before = at_server.iter().filter(|(at, _)| *at < acked_at).count();
    let late = at_server.iter().filter(|(at, _)| *at > acked_at + DRAIN_MS).collect::<Vec<_>>();
    for (at, line) in &late {
        record += &format!("DRAIN: {line}: {} ms after the ack\n", at - acked_at);
    }
    let statuses = statuses.lock().unwrap();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record += &format!(
        "{} lookups reach i-0 more than 2,000 ms after the ack, {before} before it; {} sent, {served} served\n",
        late.len(),
        statuses.len()
    );
    println!("{}", record.lines().last().unwrap_or_default());
    fs::write(format!("{folder}/record.txt"), record).unwrap();
    if !late.is_empty() {
        1
    } else if before == 0 || served * 10 < statuses.len() * 9 {
        2
    } else {
        0
    }
}
