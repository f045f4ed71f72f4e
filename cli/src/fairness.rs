//! `gentianhinge fairness`: compares what each team got in its worst span with its fair share.
//!
//! Reads the `shares` event that each router logs once per second and sums it over the routers.

use std::collections::BTreeMap;
use std::path;

use gentianhinge_core::fairness::{self, Margin, TeamSecond};
use gentianhinge_core::ids::Name;
use serde_json::{Value, json};

use crate::exit::Exit;
use crate::explain;

/// Prints each team's worst span, the least fairly served team first.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let files = matches.get_many::<path::PathBuf>("LOG").into_iter().flatten();
    let text = match explain::read_logs(files) {
        Ok(text) => text,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Unreadable;
        }
    };
    let (start_unix_s, seconds) = team_seconds(&explain::parse_lines(&text));
    let margins = fairness::margins(&seconds);
    if matches.get_flag("json") {
        println!(
            "{}",
            Value::Array(margins.iter().map(|margin| to_json(margin, start_unix_s)).collect())
        );
    } else if seconds.is_empty() {
        eprintln!("these logs contain no `shares` event");
    } else {
        print!("{}", format_table(&margins));
    }
    if seconds.is_empty() { Exit::Failed } else { Exit::Ok }
}

/// Sums what each team asked for and got, by second since the first `shares` event. Also returns the
/// time of that event, in seconds since the Unix epoch.
pub fn team_seconds(lines: &[Value]) -> (u64, Vec<BTreeMap<Name, TeamSecond>>) {
    let shares = lines.iter().filter(|line| line["event"] == "shares").collect::<Vec<_>>();
    let start_unix_s = shares.first().map_or(0, |line| explain::at_ms(line) / 1000);
    let mut seconds = Vec::<BTreeMap<Name, TeamSecond>>::new();
    for line in shares {
        // Lines are sorted by time, so this can't underflow.
        let at = (explain::at_ms(line) / 1000 - start_unix_s) as usize;
        seconds.resize_with(seconds.len().max(at + 1), BTreeMap::new);
        for (team, counts) in line["teams"].as_object().into_iter().flatten() {
            seconds[at].entry(team.as_str().into()).or_default().add(team_second(counts));
        }
    }
    (start_unix_s, seconds)
}

fn team_second(counts: &Value) -> TeamSecond {
    let number = |key: &str| counts[key].as_f64().unwrap_or(0.0);
    TeamSecond {
        asked_tokens: number("asked"),
        got_tokens: number("begun"),
        sent_tokens: number("sent"),
        largest_tokens: number("largest"),
        refused_or_late_count: (number("refused") + number("late")) as u64,
    }
}

fn to_json(margin: &Margin, start_unix_s: u64) -> Value {
    json!({
        "team": &*margin.team, "from_unix_s": start_unix_s + margin.from as u64,
        "asked_tokens": margin.asked_tokens, "got_tokens": margin.got_tokens,
        "sent_tokens": margin.sent_tokens,
        "bound_tokens": margin.bound_tokens, "ratio": margin.ratio(),
    })
}

fn format_table(margins: &[Margin]) -> String {
    let mut out = format!(
        "{} teams had late or refused requests in each of {} consecutive seconds; a ratio below 1.00 is \
         less than the fair share\n",
        margins.len(),
        fairness::SPAN_S
    );
    for margin in margins {
        out += &format!(
            "{:>6.2}  {:<16} from second {:>3}: asked {:>10.0}, got {:>10.0}, at least {:>10.0}, \
             sent {:>10.0}\n",
            margin.ratio(),
            margin.team,
            margin.from,
            margin.asked_tokens,
            margin.got_tokens,
            margin.bound_tokens,
            margin.sent_tokens,
        );
    }
    out
}
