//! `gentianhinge explain`: tells a request's or a team's story from routers' logs.
//!
//! Each line of a log is a JSON object, with anything before it, such as a collector's prefix,
//! passed over. Lines that hold no object are passed over, too.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read};
use std::path;

use gentianhinged::edge::reply;
use serde_json::Value;

use crate::exit::Exit;

/// Time before a request's arrival within which its router's other changes are shown.
const BEFORE_MS: u64 = 3_000;

/// Most failed requests of a team that are listed.
const MAX_LISTED: usize = 20;

/// Prints the story of a request or a team.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let Some(what) = matches.get_one::<String>("WHAT") else { return Exit::Usage };
    let files = matches.get_many::<path::PathBuf>("LOG").into_iter().flatten();
    let text = match read(files) {
        Ok(text) => text,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Unreadable;
        }
    };
    let lines = lines(&text);
    let story = story(&lines, what);
    if matches.get_flag("json") {
        println!("{}", Value::Array(story.iter().map(|line| (*line).clone()).collect()));
    } else if story.is_empty() {
        eprintln!("no line of these logs names {what}");
    } else if is_team(&story, what) {
        print!("{}", team(&story, what));
    } else {
        print!("{}", request(&lines, &story));
    }
    if story.is_empty() { Exit::Failed } else { Exit::Ok }
}

/// Reads logs, or standard input if no file is named.
///
/// # Errors
///
/// The file that can't be read, and why.
pub fn read<'a>(files: impl Iterator<Item = &'a path::PathBuf>) -> Result<String, String> {
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

/// The JSON objects of a log, in the order of their time.
pub fn lines(text: &str) -> Vec<Value> {
    let objects =
        text.lines().filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok());
    let mut lines = objects.collect::<Vec<Value>>();
    lines.sort_by_key(at_ms);
    lines
}

/// Time of a line, in milliseconds since 1970.
pub fn at_ms(line: &Value) -> u64 {
    line["at_unix_ms"].as_u64().unwrap_or(0)
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line[key].as_str().unwrap_or_default()
}

/// The lines on a request, or on all requests of a team.
pub fn story<'a>(lines: &'a [Value], what: &str) -> Vec<&'a Value> {
    let requests = lines.iter().filter(|line| text(line, "event") == "request");
    let told = requests.filter(|line| text(line, "id") == what || text(line, "team") == what);
    told.collect()
}

fn is_team(story: &[&Value], what: &str) -> bool {
    story.iter().all(|line| text(line, "id") != what)
}

/// Tells a request's story, with what its router noted around it.
pub fn request(lines: &[Value], story: &[&Value]) -> String {
    let mut out = String::new();
    for line in story {
        let whole_ms = line["whole_ms"].as_u64().unwrap_or(0);
        let arrived_ms = at_ms(line).saturating_sub(whole_ms);
        out += &format!(
            "request {} at router {}: route {}, team {}, configuration {}\n",
            text(line, "id"),
            text(line, "router"),
            or_none(text(line, "route")),
            or_none(text(line, "team")),
            line["config"],
        );
        for send in line["sends"].as_array().into_iter().flatten() {
            out += &sent(send);
        }
        out += &turned_away(line);
        let outcome = text(line, "outcome");
        out += &format!("  +{whole_ms} ms: {outcome}, status {}\n", line["status"]);
        out += &format!("  meaning: {}\n", reply::meaning(outcome));
        if let Some(detail) = line["detail"].as_str() {
            out += &format!("  detail: {detail}\n");
        }
        out += &around(lines, text(line, "router"), arrived_ms, at_ms(line));
    }
    out
}

fn sent(send: &Value) -> String {
    format!(
        "  +{} ms: sent to {}; expected {} ms until it is free and {} ms to read {} tokens \
         ({} of shared parts), {} requests there: {}\n",
        send["at_ms"],
        text(send, "target"),
        send["wait_ms"],
        send["read_ms"],
        send["unread"],
        send["missed"],
        send["running"],
        send["result"].as_str().unwrap_or("ended by the caller"),
    )
}

/// What kept a request from being sent, or from being sent once more; empty if nothing did.
fn turned_away(line: &Value) -> String {
    let Some(share) = line["share"].as_f64() else { return String::new() };
    let shortfall = line["shortfall"].as_f64().unwrap_or(0.0);
    let cause = if line["crowded_out"] == true {
        "its router held as many as may wait, and this one was last in their order".to_string()
    } else {
        let (best, mean) = (&line["backlog_ms"], &line["mean_backlog_ms"]);
        format!("{best} ms of unread work at the best target, {mean} ms at the mean")
    };
    format!(
        "  not sent further: its team had {share:.2} of its fair share and lacked {shortfall:.2} of its \
         due; {cause}\n",
    )
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

/// Changes that a router noted while a request was there, and shortly before.
fn around(lines: &[Value], router: &str, arrived_ms: u64, ended_ms: u64) -> String {
    let from_ms = arrived_ms.saturating_sub(BEFORE_MS);
    let changes = lines.iter().filter(|line| {
        let is_near = (from_ms..=ended_ms).contains(&at_ms(line));
        is_near && text(line, "router") == router && text(line, "event") != "request"
    });
    let told = changes.map(|line| {
        let mut fields = line.as_object().cloned().unwrap_or_default();
        for key in ["at_unix_ms", "t_ms", "router", "event"] {
            fields.remove(key);
        }
        let after_ms = i128::from(at_ms(line)) - i128::from(arrived_ms);
        format!("  {after_ms:+} ms: {} {}\n", text(line, "event"), Value::Object(fields))
    });
    told.collect()
}

/// Tells how a team's requests ended.
pub fn team(story: &[&Value], name: &str) -> String {
    let mut outcomes = BTreeMap::<&str, usize>::new();
    for line in story {
        *outcomes.entry(text(line, "outcome")).or_default() += 1;
    }
    let mut out = format!("team {name}: {} requests in these logs\n", story.len());
    for (outcome, count) in outcomes {
        out += &format!("  {count} {outcome}: {}\n", reply::meaning(outcome));
    }
    let failed = story.iter().filter(|line| text(line, "outcome") != "served");
    for line in failed.take(MAX_LISTED) {
        let (id, outcome) = (text(line, "id"), text(line, "outcome"));
        out += &format!("  {id} {outcome} at router {}\n", text(line, "router"));
    }
    out
}
