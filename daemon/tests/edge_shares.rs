//! The log lines with counts of teams and of retries.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gentianhinged::edge::{retry_counts, team_counts};
use serde_json::Value;
use tokio::time;

mod edge_context;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Output {
    /// The lines as JSON and as text.
    fn lines(&self) -> (Vec<Value>, String) {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        (lines.collect(), text)
    }
}

#[tokio::test(start_paused = true)]
async fn requested_and_served_tokens_are_logged_once_a_second() {
    let output = Output::default();
    let context = edge_context::context(output.clone());
    let team = "clubs".into();
    context.team_counts.count_arrival(&team, 300);
    context.team_counts.count_arrival(&team, 500);
    context.team_counts.count_send(&team, 300);
    context.team_counts.count_first_event(&team, 300, true);
    context.team_counts.count_refusal(&team, true);
    let writer = tokio::spawn(team_counts::log_counts(context.clone()));
    time::sleep(Duration::from_millis(2500)).await;
    writer.abort();
    context.log.flush();
    let (lines, text) = output.lines();
    // There is no line for a second without requests.
    assert_eq!(lines.len(), 1, "{text}");
    let clubs = &lines[0]["teams"]["clubs"];
    let counts = ["asked", "sent", "begun", "largest", "refused", "crowded_out", "late"];
    let counts = counts.map(|key| clubs[key].as_u64().unwrap());
    assert_eq!(counts, [800, 300, 300, 500, 1, 1, 1], "{text}");
    assert!(lines[0]["level"].is_u64() && lines[0]["oldest_sums_ms"] == 0, "{text}");
}

#[tokio::test(start_paused = true)]
async fn sent_and_denied_retries_are_logged_once_a_second_with_what_decided_them() {
    let output = Output::default();
    let context = edge_context::context(output.clone());
    let service = "desk".into();
    for is_sent in [true, true, false] {
        context.retry_counts.count(&service, is_sent);
    }
    let writer = tokio::spawn(retry_counts::log_counts(context.clone()));
    time::sleep(Duration::from_millis(2500)).await;
    writer.abort();
    context.log.flush();
    let (lines, text) = output.lines();
    assert_eq!(lines.len(), 1, "{text}");
    let line = &lines[0];
    assert!(line["event"] == "retries" && line["service"] == "desk", "{text}");
    assert!(line["sent"] == 2 && line["denied"] == 1 && line["up_ms"] == 1000, "{text}");
    for key in ["requests", "retries", "allowed", "own_retries", "own_allowed", "oldest_report_ms"]
    {
        assert!(line[key].is_u64(), "{key}: {text}");
    }
}
