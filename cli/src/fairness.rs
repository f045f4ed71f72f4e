//! `gentianhinge fairness`: what each team got in its worst seconds against its share.
//!
//! Reads the lines `shares` that each router logs once a second and adds them up over the routers.

use std::collections::BTreeMap;
use std::path;

use gentianhinge_core::fairness::{self, Margin, TeamSecond};
use gentianhinge_core::ids::Name;
use serde_json::{Value, json};

use crate::exit::Exit;
use crate::explain;

/// Prints each team's worst span.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let files = matches.get_many::<path::PathBuf>("LOG").into_iter().flatten();
    let text = match explain::read(files) {
        Ok(text) => text,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Unreadable;
        }
    };
    let (began_s, seconds) = seconds(&explain::lines(&text));
    let margins = fairness::margins(&seconds);
    if matches.get_flag("json") {
        println!("{}", Value::Array(margins.iter().map(|margin| told(margin, began_s)).collect()));
    } else if seconds.is_empty() {
        eprintln!("these logs hold no line on shares");
    } else {
        print!("{}", table(&margins));
    }
    if seconds.is_empty() { Exit::Failed } else { Exit::Ok }
}

/// What each team asked for and got, by second since the first line; with the time of that line, in
/// seconds since 1970.
pub fn seconds(lines: &[Value]) -> (u64, Vec<BTreeMap<Name, TeamSecond>>) {
    let told = lines.iter().filter(|line| line["event"] == "shares").collect::<Vec<_>>();
    let began_s = told.first().map_or(0, |line| explain::at_ms(line) / 1000);
    let mut seconds = Vec::<BTreeMap<Name, TeamSecond>>::new();
    for line in told {
        // Lines are in the order of their time.
        let at = (explain::at_ms(line) / 1000 - began_s) as usize;
        seconds.resize_with(seconds.len().max(at + 1), BTreeMap::new);
        for (team, counts) in line["teams"].as_object().into_iter().flatten() {
            seconds[at].entry(team.as_str().into()).or_default().add(second(counts));
        }
    }
    (began_s, seconds)
}

fn second(counts: &Value) -> TeamSecond {
    let number = |key: &str| counts[key].as_f64().unwrap_or(0.0);
    TeamSecond {
        asked_tokens: number("asked"),
        got_tokens: number("begun"),
        sent_tokens: number("sent"),
        largest_tokens: number("largest"),
        turned_away_count: (number("refused") + number("late")) as u64,
    }
}

fn told(margin: &Margin, began_s: u64) -> Value {
    json!({
        "team": &*margin.team, "from_unix_s": began_s + margin.from as u64,
        "asked_tokens": margin.asked_tokens, "got_tokens": margin.got_tokens,
        "sent_tokens": margin.sent_tokens,
        "bound_tokens": margin.bound_tokens, "ratio": margin.ratio(),
    })
}

fn table(margins: &[Margin]) -> String {
    let mut out = format!(
        "{} teams had to wait through {} seconds; below 1.00 a team got less than is fair\n",
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
