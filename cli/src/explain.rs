//! `gentianhinge explain`: reconstructs from router logs what happened to a request or a team's
//! requests.
//!
//! Each log line is a JSON object; text before it, such as a log collector's prefix, is skipped, and
//! so are lines without an object.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};
use std::path;

use gentianhinged::edge::reply;
use serde_json::Value;

use crate::exit::Exit;

/// Events of the router from this long before a request's arrival are printed with the request.
const CONTEXT_BEFORE_MS: u64 = 3_000;

/// Maximum number of failed requests listed for a team.
const MAX_LISTED_FAILURES: usize = 20;

/// Prints what the logs hold on a request or a team.
///
/// A `WHAT` that is the id of no request is taken as the name of a team.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let Some(what) = matches.get_one::<String>("WHAT") else { return Exit::Usage };
    let files = matches.get_many::<path::PathBuf>("LOG").into_iter().flatten();
    let text = match read_logs(files) {
        Ok(text) => text,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Unreadable;
        }
    };
    let lines = parse_lines(&text);
    let requests = matching_requests(&lines, what);
    if matches.get_flag("json") {
        println!("{}", Value::Array(requests.iter().map(|line| (*line).clone()).collect()));
    } else if requests.is_empty() {
        eprintln!("no request in these logs has the id or team {what}");
    } else if is_team(&requests, what) {
        print!("{}", format_team(&requests, what));
    } else {
        print!("{}", format_requests(&lines, &requests));
    }
    if requests.is_empty() { Exit::Failed } else { Exit::Ok }
}

/// Concatenates log files, or reads standard input if `files` is empty. Invalid UTF-8 is replaced.
///
/// # Errors
///
/// A file can't be read; the message names the file and the cause.
pub fn read_logs<'a>(files: impl Iterator<Item = &'a path::PathBuf>) -> Result<String, String> {
    let mut text = String::new();
    let mut is_empty = true;
    for file in files {
        is_empty = false;
        let more = fs::read(file).map_err(|err| format!("{}: {err}", file.display()))?;
        text.push_str(&String::from_utf8_lossy(&more));
        text.push('\n');
    }
    if is_empty {
        let mut bytes = Vec::new();
        io::stdin().read_to_end(&mut bytes).map_err(|err| format!("standard input: {err}"))?;
        text = String::from_utf8_lossy(&bytes).into_owned();
    }
    Ok(text)
}

/// Parses the JSON objects of a log and sorts them by time.
pub fn parse_lines(text: &str) -> Vec<Value> {
    let objects =
        text.lines().filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok());
    let mut lines = objects.collect::<Vec<Value>>();
    lines.sort_by_key(at_ms);
    lines
}

/// Time of a line in milliseconds since the Unix epoch; 0 if the line has none.
pub fn at_ms(line: &Value) -> u64 {
    line["at_unix_ms"].as_u64().unwrap_or(0)
}

fn str_field<'a>(line: &'a Value, key: &str) -> &'a str {
    line[key].as_str().unwrap_or_default()
}

/// Selects the `request` lines whose id or team is `what`.
pub fn matching_requests<'a>(lines: &'a [Value], what: &str) -> Vec<&'a Value> {
    let requests = lines.iter().filter(|line| str_field(line, "event") == "request");
    let matching =
        requests.filter(|line| str_field(line, "id") == what || str_field(line, "team") == what);
    matching.collect()
}

fn is_team(requests: &[&Value], what: &str) -> bool {
    requests.iter().all(|line| str_field(line, "id") != what)
}

/// Formats each request with its attempts, its outcome and the events that its router logged nearby.
pub fn format_requests(lines: &[Value], requests: &[&Value]) -> String {
    let mut out = String::new();
    for line in requests {
        let whole_ms = line["whole_ms"].as_u64().unwrap_or(0);
        let arrived_ms = at_ms(line).saturating_sub(whole_ms);
        out += &format!(
            "request {} at router {}: route {}, team {}, configuration {}\n",
            str_field(line, "id"),
            str_field(line, "router"),
            or_none(str_field(line, "route")),
            or_none(str_field(line, "team")),
            line["config"],
        );
        for attempt in line["sends"].as_array().into_iter().flatten() {
            out += &format_attempt(attempt);
        }
        out += &format_refusal(line);
        let outcome = str_field(line, "outcome");
        out += &format!("  +{whole_ms} ms: {outcome}, status {}\n", line["status"]);
        out += &format!("  meaning: {}\n", reply::meaning(outcome));
        if let Some(detail) = line["detail"].as_str() {
            out += &format!("  detail: {detail}\n");
        }
        out += &format_nearby_events(lines, str_field(line, "router"), arrived_ms, at_ms(line));
    }
    out
}

fn format_attempt(attempt: &Value) -> String {
    format!(
        "  +{} ms: sent to {}; estimated wait {} ms, then {} ms to process {} prompt tokens \
         ({} of shared parts not cached), {} requests running there: {}\n",
        attempt["at_ms"],
        str_field(attempt, "target"),
        attempt["wait_ms"],
        attempt["read_ms"],
        attempt["unread"],
        attempt["missed"],
        attempt["running"],
        attempt["result"].as_str().unwrap_or("ended by the caller"),
    )
}

/// Formats why a request got no (further) attempt; empty if its line has no refusal.
fn format_refusal(line: &Value) -> String {
    let Some(share) = line["share"].as_f64() else { return String::new() };
    let shortfall = line["shortfall"].as_f64().unwrap_or(0.0);
    let cause = if line["crowded_out"] == true {
        "the router's queue was full and this request ranked last".to_string()
    } else {
        let (best, mean) = (&line["backlog_ms"], &line["mean_backlog_ms"]);
        format!("backlog {best} ms at the best target, {mean} ms on average")
    };
    format!(
        "  no further attempt: its team had {share:.2} of its fair share and a shortfall of {shortfall:.2}; \
         {cause}\n",
    )
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

/// Formats the other events that a router logged while it had the request, and up to
/// [`CONTEXT_BEFORE_MS`] before.
fn format_nearby_events(lines: &[Value], router: &str, arrived_ms: u64, ended_ms: u64) -> String {
    let from_ms = arrived_ms.saturating_sub(CONTEXT_BEFORE_MS);
    let events = lines.iter().filter(|line| {
        let is_near = (from_ms..=ended_ms).contains(&at_ms(line));
        is_near && str_field(line, "router") == router && str_field(line, "event") != "request"
    });
    let formatted = events.map(|line| {
        let mut fields = line.as_object().cloned().unwrap_or_default();
        for key in ["at_unix_ms", "t_ms", "router", "event"] {
            fields.remove(key);
        }
        let after_ms = i128::from(at_ms(line)) - i128::from(arrived_ms);
        format!("  {after_ms:+} ms: {} {}\n", str_field(line, "event"), Value::Object(fields))
    });
    formatted.collect()
}

/// Formats how many of a team's requests had each outcome, then the first that failed.
pub fn format_team(requests: &[&Value], name: &str) -> String {
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for line in requests {
        *outcomes.entry(str_field(line, "outcome")).or_default() += 1;
    }
    let mut out = format!("team {name}: {} requests in these logs\n", requests.len());
    for (outcome, count) in outcomes {
        out += &format!("  {count} {outcome}: {}\n", reply::meaning(outcome));
    }
    let failed = requests.iter().filter(|line| str_field(line, "outcome") != "served");
    for line in failed.take(MAX_LISTED_FAILURES) {
        let (id, outcome) = (str_field(line, "id"), str_field(line, "outcome"));
        out += &format!("  {id} {outcome} at router {}\n", str_field(line, "router"));
    }
    out
}
