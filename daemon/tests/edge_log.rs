//! The decision log limits its rate, never blocks, and counts the lines it drops.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gentianhinged::edge::decisions::{LineKind, Log};
use serde_json::{Value, json};

/// Output that stores the written text, after a delay for each write.
#[derive(Clone, Default)]
struct Output {
    text: Arc<Mutex<Vec<u8>>>,
    wait: Duration,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(self.wait);
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn lines(&self) -> Vec<Value> {
        let text = String::from_utf8(self.text.lock().unwrap().clone()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

fn dropped_count(lines: &[Value], kind: &str) -> u64 {
    lines.iter().filter_map(|line| line["lines"][kind].as_u64()).sum()
}

fn count(lines: &[Value], event: &str) -> u64 {
    lines.iter().filter(|line| line["event"] == event).count() as u64
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_flood_of_lines_is_limited_and_counted: {
        let output = Output::default();
        let log = Log::start_on("r1".into(), 100, output.clone()).unwrap();
        for _ in 0..5_000 {
            log.write(LineKind::Request, || json!({ "event": "request" }));
        }
        std::thread::sleep(Duration::from_millis(700));
        log.state_change(json!({ "event": "end" }));
        log.flush();
        let lines = output.lines();
        assert!(lines.len() < 300, "{} lines", lines.len());
        assert_eq!(count(&lines, "request") + dropped_count(&lines, "request"), 5_000);
    },
    failed_requests_are_dropped_last: {
        let output = Output::default();
        let log = Log::start_on("r1".into(), 100, output.clone()).unwrap();
        for _ in 0..1_000 {
            log.write(LineKind::Request, || json!({ "event": "request" }));
        }
        for _ in 0..20 {
            log.write(LineKind::Failed, || json!({ "event": "failed" }));
        }
        log.flush();
        assert_eq!(count(&output.lines(), "failed"), 20);
    },
    a_slow_reader_does_not_block_logging: {
        let output = Output { wait: Duration::from_secs(2), ..Output::default() };
        let log = Log::start_on("r1".into(), 1_000_000, output).unwrap();
        let began = Instant::now();
        for _ in 0..20_000 {
            log.write(LineKind::Failed, || json!({ "event": "failed" }));
        }
        // Far below the 2 s of a single write.
        assert!(began.elapsed() < Duration::from_millis(1500), "{:?}", began.elapsed());
    },
    lines_name_their_router_and_time: {
        let output = Output::default();
        let log = Log::start_on("r1".into(), 100, output.clone()).unwrap();
        log.state_change(json!({ "event": "start" }));
        log.flush();
        let lines = output.lines();
        assert_eq!(lines[0]["router"], "r1");
        assert!(lines[0]["at_unix_ms"].as_u64().unwrap() > 1_600_000_000_000);
    },
}
