//! `gentianhinge table import`: edits the table to match a CSV file.

use std::fs;
use std::io::{self, Write};
use std::path;
use std::time::Instant;

use gentianhinge_wire::record::{RowRecord, TableAnswer, VersionedRowRecord};

use super::{cells, send_edit, show, wait_in_force};
use crate::client::{CallError, Client};
use crate::exit::Exit;

/// Maximum size of a CSV file.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// A row of the CSV file.
#[derive(Clone, Debug)]
struct FileRow {
    line: u64,
    kind: String,
    name: String,
    /// Version of the row at the export; `None` if the file doesn't state it.
    version: Option<u64>,
    /// Field names and texts of the columns present in the file.
    cells: Vec<(String, String)>,
}

/// A difference between the file and the table. `row` is the new content, `None` for a removal.
#[derive(Clone, Debug)]
struct Change {
    present: VersionedRowRecord,
    row: Option<RowRecord>,
}

/// Prints the changes, asks for confirmation, and sends the edits one by one.
/// Edits that were accepted before an error stay in force.
///
/// # Errors
///
/// The table can't be fetched, or the outcome of an edit isn't received.
pub fn run(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let Some(file) = matches.get_one::<path::PathBuf>("FILE") else { return Ok(Exit::Usage) };
    let rows = match read_csv(file) {
        Ok(rows) => rows,
        Err(messages) => {
            messages.iter().for_each(|message| eprintln!("{}: {message}", file.display()));
            return Ok(Exit::Mistakes);
        }
    };
    let client = Client::new(matches)?;
    let table = client.get::<TableAnswer>("/table")?;
    let changes = match find_changes(&rows, &table, matches.get_flag("remove-absent")) {
        Ok(changes) => changes,
        Err((exit, messages)) => {
            messages.iter().for_each(|message| eprintln!("{}: {message}", file.display()));
            return Ok(exit);
        }
    };
    changes.iter().for_each(print_change);
    if changes.is_empty() {
        println!("no difference");
        return Ok(Exit::Ok);
    }
    if !matches.get_flag("yes") && !confirm(changes.len()) {
        println!("nothing was changed");
        return Ok(Exit::Declined);
    }
    apply(&client, matches, changes)
}

fn apply(
    client: &Client,
    matches: &clap::ArgMatches,
    changes: Vec<Change>,
) -> Result<Exit, CallError> {
    let start = Instant::now();
    let (count, mut accepted_count, mut last_offset) = (changes.len(), 0, 0);
    for change in changes {
        match send_edit(client, &change.present, change.row)? {
            Ok(offset) => (accepted_count, last_offset) = (accepted_count + 1, offset),
            Err(exit) => {
                eprintln!(
                    "{accepted_count} of {count} edits were accepted; import again to apply the rest"
                );
                return Ok(exit);
            }
        }
    }
    wait_in_force(client, matches, last_offset, start)
}

fn confirm(count: usize) -> bool {
    print!("apply these {count} edits? [y/N] ");
    let _ = io::stdout().flush();
    let mut answer = String::new();
    let is_read = io::stdin().read_line(&mut answer).is_ok();
    is_read && matches!(answer.trim().to_lowercase().as_str(), "y" | "yes" | "o" | "oui")
}

fn print_change(change: &Change) {
    let present = &change.present;
    let Some(row) = &change.row else {
        println!("- {}", show::one_line(present));
        return;
    };
    let Some(old) = &present.row else {
        let row = VersionedRowRecord { row: Some(row.clone()), ..present.clone() };
        println!("+ {}", show::one_line(&row));
        return;
    };
    for field in cells::FIELDS {
        let (old, new) = (cells::get(old, field), cells::get(row, field));
        if old != new {
            println!("~ {} {}: {field}: {old:?} -> {new:?}", present.kind, present.name);
        }
    }
}

/// Parses a CSV file as spreadsheets write it: separated by commas or semicolons, with or without a
/// byte order mark.
fn read_csv(file: &path::Path) -> Result<Vec<FileRow>, Vec<String>> {
    let size_bytes = fs::metadata(file).map_err(|err| vec![err.to_string()])?.len();
    if size_bytes > MAX_FILE_BYTES {
        return Err(vec![format!("longer than {MAX_FILE_BYTES} bytes")]);
    }
    let text = fs::read_to_string(file).map_err(|err| vec![err.to_string()])?;
    let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
    let first_line = text.lines().next().unwrap_or_default();
    let delimiter = if first_line.contains(';') { b';' } else { b',' };
    let mut reader = csv::ReaderBuilder::new().delimiter(delimiter).from_reader(text.as_bytes());
    let headers = reader.headers().map_err(|err| vec![err.to_string()])?.clone();
    let mut mistakes = Vec::new();
    for column in headers.iter() {
        if !show::KEY_COLUMNS.contains(&column) && !cells::FIELDS.contains(&column) {
            mistakes.push(format!("no field {column:?}"));
        }
    }
    for column in ["kind", "name"] {
        if !headers.iter().any(|header| header == column) {
            mistakes.push(format!("column {column:?} is missing"));
        }
    }
    let mut rows = Vec::new();
    for record in reader.records() {
        match record {
            Ok(record) => rows.extend(parse_row(&headers, &record, &mut mistakes)),
            Err(err) => mistakes.push(err.to_string()),
        }
    }
    if mistakes.is_empty() { Ok(rows) } else { Err(mistakes) }
}

fn parse_row(
    headers: &csv::StringRecord,
    record: &csv::StringRecord,
    mistakes: &mut Vec<String>,
) -> Option<FileRow> {
    let line = record.position().map_or(0, csv::Position::line);
    let cell = |column: &str| {
        let index = headers.iter().position(|header| header == column)?;
        record.get(index).map(str::trim)
    };
    if record.iter().all(|cell| cell.trim().is_empty()) {
        return None;
    }
    let version = cell("version").filter(|text| !text.is_empty());
    let version = version.map(|text| text.parse::<u64>()).transpose();
    if version.is_err() {
        mistakes.push(format!("line {line}: the version isn't a whole number"));
    }
    let fields = cells::FIELDS
        .iter()
        .filter_map(|field| cell(field).map(|text| ((*field).to_string(), text.to_string())));
    Some(FileRow {
        line,
        kind: cell("kind").unwrap_or_default().to_string(),
        name: cell("name").unwrap_or_default().to_string(),
        version: version.ok().flatten(),
        cells: fields.collect(),
    })
}

/// Finds the edits that make the table match the file. A row that was edited since the export is a
/// conflict.
fn find_changes(
    rows: &[FileRow],
    table: &TableAnswer,
    removes_absent: bool,
) -> Result<Vec<Change>, (Exit, Vec<String>)> {
    let (mut changes, mut mistakes, mut conflicts) = (Vec::new(), Vec::new(), Vec::new());
    for (index, row) in rows.iter().enumerate() {
        let FileRow { line, kind, name, .. } = row;
        if rows[..index].iter().any(|other| other.kind == *kind && other.name == *name) {
            mistakes.push(format!("line {line}: duplicate row {kind} {name}"));
            continue;
        }
        let present = table.rows.iter().find(|p| p.kind == *kind && p.name == *name).cloned();
        let present = present.unwrap_or_else(|| VersionedRowRecord {
            kind: kind.clone(),
            name: name.clone(),
            version: 0,
            row: None,
        });
        let mut record = present.row.clone().unwrap_or_default();
        for (field, text) in &row.cells {
            if let Err(message) = cells::set(&mut record, kind, field, text) {
                mistakes.push(format!("line {line}: {message}"));
            }
        }
        let is_same = |old: &RowRecord| {
            cells::FIELDS.iter().all(|field| cells::get(old, field) == cells::get(&record, field))
        };
        if present.row.as_ref().is_some_and(is_same) {
            continue;
        }
        if row.version.is_some_and(|version| version != present.version) {
            let now = show::one_line(&present);
            conflicts.push(format!("line {line}: changed since the export: {now}"));
        }
        changes.push(Change { present, row: Some(record) });
    }
    if removes_absent {
        let is_absent = |present: &&VersionedRowRecord| {
            let is_named = !present.name.is_empty() && present.row.is_some();
            is_named && !rows.iter().any(|r| r.kind == present.kind && r.name == present.name)
        };
        let absent = table.rows.iter().filter(is_absent).cloned();
        changes.extend(absent.map(|present| Change { present, row: None }));
    }
    match (mistakes.is_empty(), conflicts.is_empty()) {
        (false, _) => Err((Exit::Mistakes, mistakes)),
        (_, false) => Err((Exit::Conflict, conflicts)),
        _ => Ok(changes),
    }
}
