//! A server as a process of its own: registers itself in the store, and answers with streams on the
//! routes `report` and `briefing`, with one body on others.
//!
//! `server STORE ID SERVICE PORT FRAMING EVENTS GAP_MS`; FRAMING is `chunked` (bodies that aren't streams have
//! a length), `unframed` for answers without a length, which end with their channel, or `garbled`: as `chunked`,
//! but for 5 s one answer in 34 is no answer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::{Conn, ms, unix_ms};

#[derive(Clone)]
struct Server {
    id: String,
    is_unframed: bool,
    count: u64,
    gap: Duration,
    /// Since when the server runs, and its requests so far, if it garbles answers.
    garbles: Option<(Instant, Arc<AtomicU64>)>,
}

/// Time after the start of the process for which answers are garbled.
const GARBLED: std::ops::Range<Duration> = Duration::from_secs(6)..Duration::from_secs(11);

/// One request in so many gets a garbled answer then.
const GARBLED_PART: u64 = 34;

/// Server processes, which end with their case, also if it panics.
pub struct Servers(pub Vec<std::process::Child>);

impl Drop for Servers {
    fn drop(&mut self) {
        for server in &mut self.0 {
            let _ = server.kill();
            let _ = server.wait();
        }
    }
}

/// An event of the stream of a path.
pub fn event(path: &str, id: u64) -> String {
    format!("id: {id}\ndata: {path} part {id}\n\n")
}

pub fn run(args: &[String]) -> i32 {
    let [store, id, service, port, framing, count, gap_ms] = args else { return 2 };
    let store: SocketAddr = store.parse().unwrap();
    let listener = TcpListener::bind(("127.0.0.1", port.parse::<u16>().unwrap())).unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Server {
        id: id.clone(),
        is_unframed: framing == "unframed",
        count: count.parse().unwrap(),
        gap: ms(gap_ms.parse().unwrap()),
        garbles: (framing == "garbled").then(|| (Instant::now(), Arc::default())),
    };
    let (beat_id, service, born) = (id.clone(), service.clone(), unix_ms());
    thread::spawn(move || {
        // A server that leaves without a word writes no more, and goes on serving.
        let last = std::env::var("BEATS").ok().and_then(|n| n.parse().ok()).unwrap_or(u64::MAX);
        for seq_no in 1..=last {
            let record = format!(
                "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":{seq_no},\"born\":{born}}}"
            );
            let _ = append(store, &beat_id, record.as_bytes());
            thread::sleep(ms(1200));
        }
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || {
            let _ = server.serve(Conn::new(stream));
        });
    }
    0
}

/// Writes a record of the servers' topic.
fn append(store: SocketAddr, key: &str, value: &[u8]) -> io::Result<()> {
    let mut record = ((1 + key.len() + value.len()) as u32).to_be_bytes().to_vec();
    record.push(key.len() as u8);
    record.extend(key.as_bytes());
    record.extend(value);
    let mut conn = Conn::connect(store, ms(1000))?;
    conn.stream.set_read_timeout(Some(ms(2000)))?;
    let head = format!(
        "POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n",
        record.len()
    );
    conn.stream.write_all(&[head.as_bytes(), &record].concat())?;
    conn.head()?;
    Ok(())
}

/// The body of an answer that isn't a stream, in the parts in which it is written.
pub fn parts(path: &str) -> Vec<String> {
    (1..=PARTS).map(|part| format!("{path} part {part} of {PARTS} {}\n", "x".repeat(70))).collect()
}

/// Number of parts of such a body.
const PARTS: usize = 8;

impl Server {
    fn is_garbled(&self) -> bool {
        let Some((started_at, count)) = &self.garbles else { return false };
        GARBLED.contains(&started_at.elapsed())
            && count.fetch_add(1, Ordering::Relaxed) % GARBLED_PART == 0
    }

    /// Answers with one body; returns whether the connection is kept.
    fn answer(&self, conn: &mut Conn, attempt: &str, path: &str) -> io::Result<bool> {
        if self.is_garbled() {
            println!("{} hands out wrong bytes to {attempt}: 101", self.id);
            // Nobody has asked for another protocol, so this is no answer to any request.
            write!(
                conn.stream,
                "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: {attempt}\r\n\r\n"
            )?;
            return Ok(true);
        }
        let parts = parts(path);
        let framing = if self.is_unframed {
            "Connection: close\r\n".to_string()
        } else {
            format!("Content-Length: {}\r\n", parts.iter().map(String::len).sum::<usize>())
        };
        write!(
            conn.stream,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\n{framing}\r\n",
            self.id
        )?;
        for part in parts {
            conn.stream.write_all(part.as_bytes())?;
            thread::sleep(self.gap);
        }
        Ok(!self.is_unframed)
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.head()? {
            conn.request_body(&head)?;
            let attempt = head.get("attempt-id").unwrap_or_default().to_string();
            if head.get("expect-instance").is_some_and(|id| id != self.id) {
                write!(
                    conn.stream,
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            if !head.path().starts_with("/report/") && !head.path().starts_with("/briefing/") {
                println!("{} {} runs {attempt} {} {}", unix_ms(), self.id, head.method(), head.path());
                if !self.answer(&mut conn, &attempt, head.path())? {
                    return Ok(());
                }
                continue;
            }
            let from = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            // One line for each run: the case reads it from this process's output.
            println!("{} {} runs {attempt} {} after {from}", unix_ms(), self.id, head.path());
            let framing = if self.is_unframed {
                "Connection: close\r\n"
            } else {
                "Transfer-Encoding: chunked\r\n"
            };
            write!(
                conn.stream,
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\n\
                 Content-Type: text/event-stream\r\n{framing}\r\n",
                self.id
            )?;
            for id in from + 1..=self.count {
                let event = event(head.path(), id);
                let text = if self.is_unframed {
                    event
                } else {
                    format!("{:x}\r\n{event}\r\n", event.len())
                };
                conn.stream.write_all(text.as_bytes())?;
                thread::sleep(self.gap);
            }
            if self.is_unframed {
                return Ok(());
            }
            conn.stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}
