//! `gentianhinge table show` and `gentianhinge table export`.

use std::fs;
use std::io::{self, Write};
use std::path;

use gentianhinge_wire::record::{TableAnswer, VersionedRowRecord};

use super::cells;
use crate::client::{CallError, Client};
use crate::exit::Exit;

/// CSV columns before the fields: the row's key and version.
pub const KEY_COLUMNS: [&str; 3] = ["kind", "name", "version"];

/// Marks a file as UTF-8; without it, spreadsheets misread accented letters.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Prints the table in force at a router, one row per line.
///
/// # Errors
///
/// The table can't be fetched from a router.
pub fn show(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let table = Client::new(matches)?.get::<TableAnswer>("/table")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&table).unwrap_or_default());
        return Ok(Exit::Ok);
    }
    match table.applied_offset {
        Some(offset) => println!("table of {} up to offset {offset}", table.router),
        None => println!("table from the settings of {}; the log has no table", table.router),
    }
    if table.has_gap {
        println!("warning: the log dropped records before this router read them");
    }
    for row in table.rows.iter().filter(|row| row.row.is_some()) {
        println!("{}", one_line(row));
    }
    Ok(Exit::Ok)
}

/// Formats a row as one line, with the number of key hashes instead of the hashes.
pub fn one_line(row: &VersionedRowRecord) -> String {
    let mut line = format!("{:9} {:24} v{:<6}", row.kind, row.name, row.version);
    let Some(record) = &row.row else { return line + " removed" };
    for field in cells::FIELDS.iter().filter(|field| **field != "key_hashes") {
        let value = cells::get(record, field);
        if !value.is_empty() {
            line.push_str(&format!(" {field}={value}"));
        }
    }
    if !record.key_hashes.is_empty() {
        line.push_str(&format!(" keys={}", record.key_hashes.len()));
    }
    line
}

/// Writes the table as CSV to a file or to standard output.
///
/// # Errors
///
/// The table can't be fetched from a router, or the file can't be written.
pub fn export(matches: &clap::ArgMatches) -> Result<Exit, CallError> {
    let table = Client::new(matches)?.get::<TableAnswer>("/table")?;
    let text = to_csv(&table).map_err(|err| CallError::Setup(err.to_string()))?;
    match matches.get_one::<path::PathBuf>("FILE") {
        Some(file) => fs::write(file, text)
            .map_err(|err| CallError::Setup(format!("{}: {err}", file.display())))?,
        None => io::stdout()
            .write_all(text.as_bytes())
            .map_err(|err| CallError::Setup(err.to_string()))?,
    }
    Ok(Exit::Ok)
}

fn to_csv(table: &TableAnswer) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer.write_record(KEY_COLUMNS.iter().chain(cells::FIELDS.iter()))?;
    for versioned in &table.rows {
        let Some(row) = &versioned.row else { continue };
        let key = [versioned.kind.clone(), versioned.name.clone(), versioned.version.to_string()];
        let fields = cells::FIELDS.iter().map(|field| cells::get(row, field));
        writer.write_record(key.into_iter().chain(fields))?;
    }
    let bytes = writer.into_inner().map_err(|err| err.into_error())?;
    Ok(BYTE_ORDER_MARK.to_string() + &String::from_utf8_lossy(&bytes))
}
