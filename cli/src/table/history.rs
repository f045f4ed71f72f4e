//! `gentianhinge table history`.

use gentianhinge_wire::record::{EditAnswerOutcome, HistoryLine, VersionedRowRecord};

use super::show;
use crate::client::{CallError, Client};
use crate::exit::Exit;

/// Prints the edits in the log, newest first, limited to a kind or row if given.
///
/// # Errors
///
/// The history can't be fetched from a router.
pub fn run(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let text = |name| matches.get_one::<String>(name).cloned();
    let query = match (text("KIND"), text("NAME")) {
        (Some(kind), Some(name)) => format!("?kind={kind}&name={name}"),
        (Some(kind), None) => format!("?kind={kind}"),
        _ => String::new(),
    };
    let client = Client::new(matches)?;
    let lines = client.get::<Vec<HistoryLine>>(&format!("/table/history{query}"))?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&lines).unwrap_or_default());
        return Ok(Exit::Ok);
    }
    lines.iter().for_each(print_line);
    Ok(Exit::Ok)
}

fn print_line(line: &HistoryLine) {
    let outcome = match line.answer.outcome {
        EditAnswerOutcome::Accepted => "accepted",
        EditAnswerOutcome::Conflict => "conflict",
        EditAnswerOutcome::Invalid => "invalid",
        EditAnswerOutcome::Outage | EditAnswerOutcome::Unknown => "unknown",
    };
    let row = VersionedRowRecord {
        kind: line.kind.clone(),
        name: line.name.clone(),
        version: line.answer.offset.map_or(0, |offset| offset + 1),
        row: line.row.clone(),
    };
    let time = format_utc(line.at_ms);
    println!("{time} {} {outcome:8} {}", line.operator, show::one_line(&row));
}

/// Formats milliseconds since the Unix epoch as UTC, like `2026-12-04T05:00:00Z`.
fn format_utc(unix_ms: u64) -> String {
    const SECONDS_PER_DAY: u64 = 86_400;
    let seconds = unix_ms / 1000;
    let (days, rest) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    // Count days from 0000-03-01, so that the leap day is the last day of a year.
    let day = days + 719_468;
    let (era, day_of_era) = (day / 146_097, day % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    format!("{year:04}-{month:02}-{day_of_month:02}T{hour:02}:{minute:02}:{second:02}Z")
}
