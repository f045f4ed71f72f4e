//! `gentianhinge table`: shows and edits the fleet's table.

use std::thread;
use std::time::{Duration, Instant};

use gentianhinge_wire::record::{
    EditAnswer, EditAnswerOutcome, EditRequest, InForceAnswer, RowRecord, TableAnswer,
    VersionedRowRecord,
};

use crate::client::{self, CallError, Client};
use crate::exit::Exit;

pub mod cells;
pub mod history;
pub mod import;
pub mod show;

/// Interval between polls of the routers' applied offsets.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a subcommand of `gentianhinge table`.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let result = match matches.subcommand() {
        Some(("show", matches)) => show::show(matches),
        Some(("export", matches)) => show::export(matches),
        Some(("set", matches)) => set(matches),
        Some(("remove", matches)) => remove(matches),
        Some(("import", matches)) => import::run(matches),
        Some(("history", matches)) => history::run(matches),
        _ => return Exit::Usage,
    };
    result.unwrap_or_else(|err| {
        eprintln!("{err}");
        err.exit()
    })
}

/// Returns the row given by the arguments `KIND` and `NAME`, with version 0 and no content if the table
/// lacks it.
fn row_from_args(matches: &clap::ArgMatches, table: &TableAnswer) -> VersionedRowRecord {
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let (kind, name) = (text("KIND"), text("NAME"));
    let name = if name == "-" { String::new() } else { name };
    let present = table.rows.iter().find(|row| row.kind == kind && row.name == name).cloned();
    present.unwrap_or(VersionedRowRecord { kind, name, version: 0, row: None })
}

fn set(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let client = Client::new(matches)?;
    let table = client.get::<TableAnswer>("/table")?;
    let present = row_from_args(matches, &table);
    let mut row = present.row.clone().unwrap_or_default();
    for change in matches.get_many::<String>("FIELD=VALUE").unwrap_or_default() {
        let (field, value) = change.split_once('=').unwrap_or((change, ""));
        if let Err(message) = cells::set(&mut row, &present.kind, field, value) {
            eprintln!("{message}");
            return Ok(Exit::Usage);
        }
    }
    edit_and_wait(&client, matches, &present, Some(row))
}

fn remove(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let client = Client::new(matches)?;
    let table = client.get::<TableAnswer>("/table")?;
    let present = row_from_args(matches, &table);
    if present.row.is_none() {
        eprintln!("the table has no {} {}", present.kind, present.name);
        return Ok(Exit::Usage);
    }
    edit_and_wait(&client, matches, &present, None)
}

fn edit_and_wait(
    client: &Client,
    matches: &clap::ArgMatches,
    present: &VersionedRowRecord,
    row: Option<RowRecord>,
) -> Result<Exit, CallError> {
    let start = Instant::now();
    match send_edit(client, present, row)? {
        Ok(offset) => wait_in_force(client, matches, offset, start),
        Err(exit) => Ok(exit),
    }
}

/// Sends one edit and prints its outcome. Returns the offset of an accepted edit, otherwise an exit
/// code.
fn send_edit(
    client: &Client,
    present: &VersionedRowRecord,
    row: Option<RowRecord>,
) -> Result<Result<u64, Exit>, CallError> {
    let request = EditRequest {
        id: client::new_edit_id(),
        kind: present.kind.clone(),
        name: present.name.clone(),
        base_version: present.version,
        row,
    };
    let answer = match client.edit(&request) {
        Err(CallError::Lost(message)) => {
            eprintln!("unknown outcome of edit {}: {message}", request.id);
            return Ok(Err(Exit::UnknownOutcome));
        }
        other => other?,
    };
    Ok(report_outcome(&answer, &request))
}

fn report_outcome(answer: &EditAnswer, request: &EditRequest) -> Result<u64, Exit> {
    let row = format!("{} {}", request.kind, request.name);
    let message = answer.message.as_deref().unwrap_or_default();
    match (answer.outcome, answer.offset) {
        (EditAnswerOutcome::Accepted, Some(offset)) => {
            println!("accepted: {row} at offset {offset}");
            Ok(offset)
        }
        (EditAnswerOutcome::Conflict, _) => {
            eprintln!("conflict: {message}");
            if let Some(present) = &answer.present {
                eprintln!("current row: {}", show::one_line(present));
            }
            Err(Exit::Conflict)
        }
        (EditAnswerOutcome::Outage, _) => {
            eprintln!("outage, nothing was changed: {message}");
            Err(Exit::Outage)
        }
        (EditAnswerOutcome::Invalid, _) => {
            eprintln!("{row}: {message}");
            Err(Exit::Mistakes)
        }
        (EditAnswerOutcome::Unknown | EditAnswerOutcome::Accepted, _) => {
            eprintln!("unknown outcome: {message}; see `table history` once the log is reachable");
            Err(Exit::UnknownOutcome)
        }
    }
}

/// Waits up to `--wait-s` until every live router has applied the record at `offset`, then prints how
/// many have and which haven't.
fn wait_in_force(
    client: &Client,
    matches: &clap::ArgMatches,
    offset: u64,
    start: Instant,
) -> Result<Exit, CallError> {
    let wait_s = matches.get_one::<u64>("wait-s").copied().unwrap_or_default();
    let deadline = start + Duration::from_secs(wait_s);
    loop {
        let answer = client.get::<InForceAnswer>("/table/in-force")?;
        let lags = |applied: Option<u64>| applied.is_none_or(|applied| applied <= offset);
        let lagging = answer.routers.iter().filter(|router| lags(router.applied_offset));
        let lagging = lagging.map(|router| router.router.as_str()).collect::<Vec<_>>();
        if lagging.is_empty() || Instant::now() >= deadline {
            let (live, elapsed) = (answer.routers.len(), start.elapsed().as_secs_f64());
            let count = live - lagging.len();
            println!("in force on {count} of {live} live routers after {elapsed:.3} s");
            if lagging.is_empty() {
                return Ok(Exit::Ok);
            }
            eprintln!("not yet in force on {}", lagging.join(", "));
            return Ok(Exit::NotYetInForce);
        }
        thread::sleep(IN_FORCE_POLL_INTERVAL);
    }
}
