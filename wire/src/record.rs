//! JSON encoding of records in the log's stream `config`, and conversion of settings to a table.
//!
//! The core's types are independent of the log's format. This module converts between them and the
//! generated types, which define the format.

use std::collections::BTreeMap;
use std::sync;
use std::time::Duration;

use gentianhinge_core::table::record::{Edit, Record, Snapshot};
use gentianhinge_core::table::row::{Row, RowKey, VersionedRow};
use gentianhinge_core::table::{Class, KeyHash, Limits, Table, TargetPolicy, Team};

pub use crate::generated::record::*;
use crate::settings;

/// Maximum size of a record that is decoded.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Record kinds known to this version.
const RECORD_KINDS: [&str; 2] = ["edit", "snapshot"];

/// Decodes a record.
///
/// Invalid bytes give [`Record::Malformed`], and a kind unknown to this version gives
/// [`Record::Unknown`]. All routers of a version thus handle a record the same way, and none
/// stops reading at it.
pub fn decode(bytes: &[u8]) -> Record {
    if bytes.len() > MAX_RECORD_BYTES {
        return Record::Malformed;
    }
    let Ok(serde_json::Value::Object(map)) = serde_json::from_slice(bytes) else {
        return Record::Malformed;
    };
    let mut keys = map.keys();
    let (Some(kind), None) = (keys.next(), keys.next()) else { return Record::Malformed };
    if !RECORD_KINDS.contains(&kind.as_str()) {
        return Record::Unknown;
    }
    let value = serde_json::Value::Object(map);
    let Ok(record) = serde_json::from_value::<ConfigRecord>(value) else {
        return Record::Malformed;
    };
    let edit = record.edit.map(|edit| edit_from_record(&edit).map(Record::Edit));
    let snapshot = record.snapshot.map(|state| snapshot_from_record(&state).map(Record::Snapshot));
    edit.or(snapshot).flatten().unwrap_or(Record::Malformed)
}

/// Encodes an edit as a record.
pub fn encode_edit(edit: &Edit) -> Vec<u8> {
    let record = EditRecord {
        id: edit.id.to_string(),
        operator: edit.operator.to_string(),
        kind: edit.key.kind().to_string(),
        name: edit.key.name().to_string(),
        base_version: edit.base_version,
        row: edit.row.as_ref().map(row_to_record),
    };
    to_json(&ConfigRecord { edit: Some(record), snapshot: None })
}

/// Encodes a snapshot as a record.
pub fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let row = |(key, row): (&RowKey, &VersionedRow)| versioned_row_to_record(key, row);
    let record = SnapshotRecord {
        as_of_offset: snapshot.as_of_offset,
        rows: snapshot.rows.iter().map(row).collect(),
    };
    to_json(&ConfigRecord { edit: None, snapshot: Some(record) })
}

/// Converts a row with its key and version to the log's format. A removed row has no content.
pub fn versioned_row_to_record(key: &RowKey, row: &VersionedRow) -> VersionedRowRecord {
    VersionedRowRecord {
        kind: key.kind().to_string(),
        name: key.name().to_string(),
        version: row.version,
        row: row.row.as_ref().map(row_to_record),
    }
}

/// Converts a row with its key and version from the log's format; `None` if it is invalid.
pub fn versioned_row_from_record(record: &VersionedRowRecord) -> Option<(RowKey, VersionedRow)> {
    let key = parse_row_key(&record.kind, &record.name)?;
    let row = match &record.row {
        Some(row) => Some(row_from_record(&key, row)?),
        None => None,
    };
    Some((key, VersionedRow { version: record.version, row }))
}

fn to_json(record: &ConfigRecord) -> Vec<u8> {
    serde_json::to_vec(record)
        .expect("a record serializes to JSON, as all its map keys are strings")
}

fn parse_row_key(kind: &str, name: &str) -> Option<RowKey> {
    if !name.is_empty() && !settings::check::is_valid_name(name) {
        return None;
    }
    RowKey::new(kind, name)
}

fn edit_from_record(record: &EditRecord) -> Option<Edit> {
    let key = parse_row_key(&record.kind, &record.name)?;
    let row = match &record.row {
        Some(row) => Some(row_from_record(&key, row)?),
        None => None,
    };
    Some(Edit {
        id: record.id.as_str().into(),
        operator: record.operator.as_str().into(),
        key,
        base_version: record.base_version,
        row,
    })
}

fn snapshot_from_record(record: &SnapshotRecord) -> Option<Snapshot> {
    let rows = record.rows.iter().map(versioned_row_from_record).collect::<Option<_>>()?;
    Some(Snapshot { as_of_offset: record.as_of_offset, rows })
}

/// Converts a row from the log's format. Absent fields take the defaults of the settings; `None` if a
/// field without a default is absent or a key hash is invalid.
pub fn row_from_record(key: &RowKey, record: &RowRecord) -> Option<Row> {
    match key {
        RowKey::Defaults => Some(Row::Defaults {
            default_class: record.default_class.as_deref().map(sync::Arc::from),
        }),
        RowKey::Operators => Some(Row::Operators { key_hashes: parse_hashes(&record.key_hashes)? }),
        RowKey::Class(name) => Some(Row::Class(Class {
            name: name.clone(),
            price_ratio: record.price_ratio?,
            max_wait: Duration::from_millis(record.max_wait_ms?),
        })),
        RowKey::Team(name) => Some(Row::Team(Team {
            name: name.clone(),
            weight: record.weight.unwrap_or(1.0),
            key_hashes: parse_hashes(&record.key_hashes)?,
            classes: record.classes.iter().map(|class| class.as_str().into()).collect(),
            limits: limits_from_record(record),
        })),
        RowKey::Target(name) => {
            let policy = TargetPolicy {
                is_leaving: record.is_leaving.unwrap_or(false),
                max_slots: record.max_slots,
            };
            Some(Row::Target(name.clone(), policy))
        }
    }
}

fn limits_from_record(record: &RowRecord) -> Limits {
    let default = Limits::default();
    Limits {
        max_concurrent_requests: record.max_concurrent_requests.filter(|count| *count > 0),
        max_tokens_per_s: record.max_tokens_per_s.filter(|rate| *rate > 0),
        max_waiting_requests: record.max_waiting_requests.unwrap_or(default.max_waiting_requests),
        max_waiting_bytes: record.max_waiting_bytes.unwrap_or(default.max_waiting_bytes),
    }
}

/// Converts a row to the log's format. Fields that its kind lacks are absent.
pub fn row_to_record(row: &Row) -> RowRecord {
    let mut record = RowRecord::default();
    match row {
        Row::Defaults { default_class } => {
            record.default_class = default_class.as_ref().map(|class| class.to_string());
        }
        Row::Operators { key_hashes } => record.key_hashes = format_hashes(key_hashes),
        Row::Class(class) => {
            record.price_ratio = Some(class.price_ratio);
            record.max_wait_ms = u64::try_from(class.max_wait.as_millis()).ok();
        }
        Row::Team(team) => {
            record.weight = Some(team.weight);
            record.key_hashes = format_hashes(&team.key_hashes);
            record.classes = team.classes.iter().map(|class| class.to_string()).collect();
            record.max_concurrent_requests = team.limits.max_concurrent_requests;
            record.max_tokens_per_s = team.limits.max_tokens_per_s;
            record.max_waiting_requests = Some(team.limits.max_waiting_requests);
            record.max_waiting_bytes = Some(team.limits.max_waiting_bytes);
        }
        Row::Target(_, policy) => {
            record.is_leaving = Some(policy.is_leaving);
            record.max_slots = policy.max_slots;
        }
    }
    record
}

/// Encodes a key hash as 64 hexadecimal digits.
pub fn encode_key_hash(hash: &KeyHash) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn format_hashes(hashes: &[KeyHash]) -> Vec<String> {
    hashes.iter().map(encode_key_hash).collect()
}

fn parse_hashes(texts: &[String]) -> Option<Vec<KeyHash>> {
    texts.iter().map(|text| settings::check::decode_key_hash(text)).collect()
}

/// Converts the table in settings. The first class becomes the default class; 0 for
/// `max_concurrent_requests` or `max_tokens_per_s` means no limit.
///
/// # Example
///
/// ```
/// use gentianhinge_wire::{record, settings};
///
/// let text = include_str!("../../examples/quebec.jsonc");
/// let table = record::table_from_settings(&settings::parse(text).unwrap().table);
/// assert_eq!(table.default_class().unwrap().as_ref(), "now");
/// ```
pub fn table_from_settings(source: &settings::TableSettings) -> Table {
    let decode = settings::check::decode_key_hash;
    let hashes = |texts: &[String]| texts.iter().filter_map(|text| decode(text)).collect();
    let classes = source.classes.iter().map(|class| Class {
        name: class.name.as_str().into(),
        price_ratio: class.price_ratio,
        max_wait: Duration::from_millis(class.max_wait_ms),
    });
    let teams = source.teams.iter().map(|team| Team {
        name: team.name.as_str().into(),
        weight: team.weight,
        key_hashes: hashes(&team.key_hashes),
        classes: team.classes.iter().map(|class| class.as_str().into()).collect(),
        limits: Limits {
            max_concurrent_requests: Some(team.max_concurrent_requests).filter(|max| *max > 0),
            max_tokens_per_s: Some(team.max_tokens_per_s).filter(|max| *max > 0),
            max_waiting_requests: team.max_waiting_requests,
            max_waiting_bytes: team.max_waiting_bytes,
        },
    });
    Table {
        teams: teams.map(|team| (team.name.clone(), team)).collect(),
        default_class: source.classes.first().map(|class| class.name.as_str().into()),
        classes: classes.map(|class| (class.name.clone(), class)).collect(),
        operator_key_hashes: hashes(&source.operator_key_hashes),
        targets: BTreeMap::new(),
    }
}
