//! Encoding and decoding of configuration records.

use std::fs;
use std::path;

use gentianhinge_core::table::record::{Edit, Record, Snapshot};
use gentianhinge_core::table::row::{RowKey, VersionedRow, rows_of, table_of};
use gentianhinge_core::table::{Table, TargetPolicy};
use gentianhinge_wire::{record, settings};

fn example_table() -> Table {
    let path = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/quebec.jsonc");
    let settings = settings::parse(&fs::read_to_string(path).unwrap()).unwrap();
    let mut table = record::table_from_settings(&settings.table);
    let policy = TargetPolicy { is_leaving: true, max_slots: Some(3) };
    table.targets.insert("assistant-01".into(), policy);
    table
}

#[test]
fn encoded_snapshot_decodes_unchanged() {
    let table = example_table();
    let mut rows = rows_of(&table);
    assert_eq!(table_of(&rows), table);
    rows.insert(RowKey::Team("gone".into()), VersionedRow { version: 7, row: None });
    let snapshot = Snapshot { as_of_offset: 12, rows };
    let decoded = record::decode(&record::encode_snapshot(&snapshot));
    assert_eq!(decoded, Record::Snapshot(snapshot));
}

#[test]
fn encoded_edit_of_each_row_decodes_unchanged() {
    for (key, versioned) in rows_of(&example_table()) {
        for row in [versioned.row, None] {
            let (id, operator) = ("e1".into(), "o".into());
            let edit = Edit { id, operator, key: key.clone(), base_version: 3, row };
            assert_eq!(record::decode(&record::encode_edit(&edit)), Record::Edit(edit));
        }
    }
}

/// Defines tests: bytes that aren't a valid record of this version, and what they decode to.
macro_rules! cases {
    ($($case:ident: $bytes:expr => $record:ident;)*) => {$(
        #[test]
        fn $case() {
            assert_eq!(record::decode(&$bytes[..]), Record::$record);
        }
    )*};
}

cases! {
    empty: b"" => Malformed;
    not_json: b"\xff\x00" => Malformed;
    not_an_object: b"[]" => Malformed;
    no_kind: b"{}" => Malformed;
    two_kinds: br#"{"edit": {}, "snapshot": {}}"# => Malformed;
    newer_kind: br#"{"lease": {"holder": "r1"}}"# => Unknown;
    edit_lacks_its_id: br#"{"edit": {"operator": "o", "kind": "team", "name": "a", "base_version": 0}}"# => Malformed;
    edit_of_an_unknown_kind: br#"{"edit": {"id": "e", "operator": "o", "kind": "zone", "name": "a", "base_version": 0}}"# => Malformed;
    team_name_is_a_formula: br#"{"edit": {"id": "e", "operator": "o", "kind": "team", "name": "=A1", "base_version": 0}}"# => Malformed;
    key_hash_is_short: br#"{"edit": {"id": "e", "operator": "o", "kind": "team", "name": "a", "base_version": 0, "row": {"key_hashes": ["12"]}}}"# => Malformed;
    deeply_nested: "[".repeat(1 << 20).as_bytes() => Malformed;
    too_long: vec![b' '; record::MAX_RECORD_BYTES + 1] => Malformed;
}
