//! Replication of the table by edits and snapshots in a log with limited retention.

use std::collections::BTreeMap;
use std::time::Duration;

use gentianhinge_core::table::record::{Edit, LogRecord, Record, Snapshot};
use gentianhinge_core::table::replica::{EditOutcome, Replica};
use gentianhinge_core::table::row::{Row, RowKey, Rows, rows_of};
use gentianhinge_core::table::{Class, Limits, Table, Team};

/// A stream of records with limited retention.
#[derive(Default)]
struct Log {
    first_offset: u64,
    records: Vec<LogRecord>,
}

impl Log {
    fn append(&mut self, record: Record) -> u64 {
        let offset = self.records.len() as u64;
        self.records.push(LogRecord { offset, at_ms: offset, record });
        offset
    }

    fn read(&self, replica: &mut Replica) {
        self.read_some(replica, usize::MAX);
    }

    fn read_some(&self, replica: &mut Replica, max: usize) {
        let from = replica.read_offset().max(self.first_offset) as usize;
        let records = self.records.get(from..).unwrap_or_default().iter().take(max);
        replica.apply_records(self.first_offset, records.cloned().collect());
    }

    fn drop_before(&mut self, offset: u64) {
        self.first_offset = self.first_offset.max(offset);
    }
}

fn team(name: &str, weight: f64) -> Row {
    Row::Team(Team {
        name: name.into(),
        weight,
        key_hashes: Vec::new(),
        classes: Vec::new(),
        limits: Limits::default(),
    })
}

fn key(name: &str) -> RowKey {
    RowKey::Team(name.into())
}

fn edit(id: &str, name: &str, base_version: u64, weight: f64) -> Record {
    Record::Edit(Edit {
        id: id.into(),
        operator: "o".into(),
        key: key(name),
        base_version,
        row: Some(team(name, weight)),
    })
}

fn removal(id: &str, name: &str, base_version: u64) -> Record {
    let (id, operator) = (id.into(), "o".into());
    Record::Edit(Edit { id, operator, key: key(name), base_version, row: None })
}

fn first_snapshot() -> Record {
    let class =
        Class { name: "now".into(), price_ratio: 1.0, max_wait: Duration::from_millis(1000) };
    let table = Table { classes: [("now".into(), class)].into(), ..Table::default() };
    let mut rows = rows_of(&table);
    rows.extend(rows_of(&Table {
        teams: [("a", 1.0), ("b", 1.0)]
            .map(|(name, weight)| match team(name, weight) {
                Row::Team(team) => (name.into(), team),
                _ => unreachable!("a team's row"),
            })
            .into(),
        ..Table::default()
    }));
    Record::Snapshot(Snapshot { as_of_offset: 0, rows })
}

/// A log that begins with a snapshot, and a replica that has read it.
fn start() -> (Log, Replica) {
    let (mut log, mut replica) = (Log::default(), Replica::new());
    log.append(first_snapshot());
    log.read(&mut replica);
    (log, replica)
}

fn weight(replica: &Replica, name: &str) -> Option<f64> {
    let table = replica.table()?;
    table.teams.get(name).map(|team| team.weight)
}

fn snapshot_of(replica: &Replica) -> Record {
    Record::Snapshot(replica.export().expect("the replica has a table"))
}

fn read_new(log: &Log) -> Replica {
    let mut replica = Replica::new();
    log.read(&mut replica);
    replica
}

/// Defines a test with a log and a replica that has read the log's first snapshot.
macro_rules! cases {
    ($($(#[$doc:meta])* $case:ident($log:ident, $replica:ident) $body:block)*) => {$(
        $(#[$doc])*
        #[test]
        fn $case() {
            #[allow(unused_mut)]
            let (mut $log, mut $replica) = start();
            $body
        }
    )*};
}

cases! {
    edit_on_the_present_version_is_accepted(log, replica) {
        let offset = log.append(edit("e1", "a", 0, 2.0));
        log.read(&mut replica);
        assert_eq!(replica.outcome("e1"), Some(&EditOutcome::Accepted { offset }));
        assert_eq!(weight(&replica, "a"), Some(2.0));
        assert_eq!(replica.applied_offset(), Some(offset + 1));
    }

    second_of_two_operators_on_one_row_conflicts(log, replica) {
        log.append(edit("e1", "a", 0, 2.0));
        log.append(edit("e2", "a", 0, 3.0));
        log.append(edit("e3", "b", 0, 4.0));
        log.read(&mut replica);
        let Some(EditOutcome::Conflict { present, .. }) = replica.outcome("e2") else {
            panic!("{:?}", replica.outcome("e2"));
        };
        assert_eq!(present.row, Some(team("a", 2.0)));
        assert_eq!((weight(&replica, "a"), weight(&replica, "b")), (Some(2.0), Some(4.0)));
    }

    edit_appended_twice_applies_once(log, replica) {
        let offset = log.append(edit("e1", "a", 0, 2.0));
        log.append(edit("e2", "a", offset + 1, 3.0));
        log.append(edit("e1", "a", 0, 2.0));
        log.read(&mut replica);
        assert_eq!(replica.outcome("e1"), Some(&EditOutcome::Accepted { offset }));
        assert_eq!(weight(&replica, "a"), Some(3.0));
    }

    removed_row_keeps_its_version(log, replica) {
        let offset = log.append(edit("e1", "c", 0, 2.0));
        log.append(removal("e2", "c", offset + 1));
        // Both are based on versions from before the removal.
        log.append(edit("e3", "c", offset + 1, 3.0));
        log.append(edit("e4", "c", 0, 4.0));
        log.read(&mut replica);
        assert_eq!(weight(&replica, "c"), None);
        assert_eq!(replica.counts().rejected_edits, 2);
    }

    a_snapshot_appended_after_newer_edits_is_usable(log, replica) {
        let snapshot = snapshot_of(&replica);
        log.append(edit("e1", "a", 0, 2.0));
        log.append(snapshot);
        log.append(edit("e2", "b", 0, 3.0));
        log.read(&mut replica);
        log.drop_before(1);
        let late = read_new(&log);
        assert_eq!(weight(&late, "a"), Some(2.0));
        assert_eq!(late.rows(), replica.rows());
    }

    a_snapshot_whose_later_edits_were_dropped_is_unusable(log, replica) {
        let snapshot = snapshot_of(&replica);
        log.append(edit("e1", "a", 0, 2.0));
        log.append(snapshot);
        log.read(&mut replica);
        log.drop_before(2);
        assert!(read_new(&log).table().is_none());
        assert!(replica.usable_snapshot(log.first_offset).is_none());
        log.append(snapshot_of(&replica));
        assert_eq!(weight(&read_new(&log), "a"), Some(2.0));
    }

    a_late_snapshot_of_a_paused_writer_changes_nothing(log, replica) {
        let paused = snapshot_of(&replica);
        let offset = log.append(edit("e1", "a", 0, 2.0));
        log.read(&mut replica);
        log.append(snapshot_of(&replica));
        log.append(edit("e2", "a", offset + 1, 3.0));
        log.append(paused);
        log.read(&mut replica);
        assert_eq!(weight(&replica, "a"), Some(3.0));
        for first_offset in 0..3 {
            log.drop_before(first_offset);
            assert_eq!(weight(&read_new(&log), "a"), Some(3.0), "log from {first_offset}");
        }
    }

    snapshot_appended_twice_changes_nothing(log, replica) {
        let snapshot = snapshot_of(&replica);
        log.append(snapshot.clone());
        log.append(edit("e1", "a", 0, 2.0));
        log.append(snapshot);
        log.read(&mut replica);
        assert_eq!(weight(&replica, "a"), Some(2.0));
        assert_eq!(weight(&read_new(&log), "a"), Some(2.0));
    }

    second_first_snapshot_is_ignored(log, replica) {
        let Record::Snapshot(mut other) = first_snapshot() else { unreachable!("a snapshot") };
        other.rows.remove(&key("a"));
        log.append(Record::Snapshot(other));
        log.read(&mut replica);
        assert_eq!(weight(&replica, "a"), Some(1.0));
        assert_eq!(weight(&read_new(&log), "a"), Some(1.0));
    }

    a_snapshot_with_a_future_offset_is_ignored(log, replica) {
        let future = Record::Snapshot(Snapshot { as_of_offset: 1000, rows: Rows::new() });
        log.append(future.clone());
        log.read(&mut replica);
        assert_eq!(replica.applied_offset(), Some(2));
        let mut log = Log::default();
        log.append(future);
        log.append(first_snapshot());
        let new = read_new(&log);
        assert_eq!((weight(&new, "a"), new.applied_offset()), (Some(1.0), Some(2)));
    }

    bad_records_are_skipped(log, replica) {
        log.append(Record::Malformed);
        log.append(edit("bad", "a", 0, f64::NAN));
        log.append(Record::Unknown);
        log.append(edit("e1", "a", 0, 2.0));
        log.read(&mut replica);
        assert_eq!(weight(&replica, "a"), Some(2.0));
        assert_eq!(replica.outcome("bad"), Some(&EditOutcome::Invalid { offset: 2 }));
        assert_eq!(replica.counts().malformed_records, 1);
        assert_eq!(replica.counts().unknown_records, 1);
    }

    a_replica_behind_the_retention_waits_for_a_peers_state(log, replica) {
        let mut ahead = read_new(&log);
        log.append(edit("e1", "a", 0, 2.0));
        log.append(edit("e2", "b", 0, 3.0));
        log.read(&mut ahead);
        log.drop_before(2);
        log.append(edit("e3", "c", 0, 4.0));
        log.read(&mut replica);
        assert!(replica.has_gap());
        assert_eq!((weight(&replica, "a"), weight(&replica, "c")), (Some(1.0), None));
        assert!(replica.import(ahead.export().unwrap()));
        assert!(!replica.has_gap());
        assert_eq!((weight(&replica, "a"), weight(&replica, "c")), (Some(2.0), Some(4.0)));
    }

    an_older_peer_state_is_ignored(log, replica) {
        let old = replica.export().unwrap();
        log.append(edit("e1", "a", 0, 2.0));
        log.read(&mut replica);
        assert!(!replica.import(old.clone()));
        assert_eq!(weight(&replica, "a"), Some(2.0));
        let mut empty = Replica::new();
        assert!(empty.import(old));
        assert!(empty.import(replica.export().unwrap()));
        assert!(!empty.import(replica.export().unwrap()));
        assert_eq!(weight(&empty, "a"), Some(2.0));
        // The replica continues to read the log from the peer's offset.
        log.append(edit("e2", "b", 0, 3.0));
        log.read(&mut empty);
        assert_eq!(weight(&empty, "b"), Some(3.0));
    }

    an_empty_replica_has_no_table(log, replica) {
        let mut new = Replica::new();
        new.apply_records(0, Vec::new());
        assert!(new.table().is_none());
        let whole = log.records.len() as u64;
        new.apply_records(whole, Vec::new());
        assert!(new.table().is_none());
        assert_eq!(new.read_offset(), whole);
        let _ = replica;
    }

    records_out_of_order_are_skipped(log, replica) {
        log.append(edit("e1", "a", 0, 2.0));
        log.append(edit("e2", "b", 0, 3.0));
        replica.apply_records(0, vec![log.records[2].clone(), log.records[0].clone()]);
        assert_eq!(replica.read_offset(), 1);
        log.read(&mut replica);
        assert_eq!(weight(&replica, "b"), Some(3.0));
    }
}

/// Expected version and weight of each team's row, computed independently of the replica.
type Oracle = BTreeMap<&'static str, (u64, Option<f64>)>;

const TEAMS: [&str; 3] = ["a", "b", "c"];

/// State of a random schedule.
struct Fleet {
    log: Log,
    replicas: Vec<Replica>,
    /// Snapshots of writers that were paused between making and appending one.
    paused: Vec<Snapshot>,
    /// Expected rows before each offset.
    oracles: Vec<Oracle>,
    edits: u32,
    applied_snapshots: u64,
}

impl Fleet {
    fn new() -> Fleet {
        let (log, replica) = start();
        let first = Oracle::from([("a", (0, Some(1.0))), ("b", (0, Some(1.0))), ("c", (0, None))]);
        Fleet {
            log,
            replicas: (0..4).map(|_| Replica::new()).chain([replica]).collect(),
            paused: Vec::new(),
            oracles: vec![first.clone(), first],
            edits: 0,
            applied_snapshots: 0,
        }
    }

    fn append(&mut self, record: Record) {
        let mut oracle = self.oracles.last().unwrap().clone();
        let offset = self.log.append(record.clone());
        if let Record::Edit(edit) = record {
            let name = TEAMS.into_iter().find(|name| key(name) == edit.key).unwrap();
            if oracle[name].0 == edit.base_version {
                let weight = edit.row.map(|row| match row {
                    Row::Team(team) => team.weight,
                    _ => unreachable!("a team's row"),
                });
                oracle.insert(name, (offset + 1, weight));
            }
        }
        self.oracles.push(oracle);
    }

    /// Checks that each replica's rows equal those of the oracle at the replica's offset.
    fn check(&self) {
        for replica in &self.replicas {
            let (Some(at), Some(rows)) = (replica.applied_offset(), replica.rows()) else {
                continue;
            };
            for (name, (version, expected)) in &self.oracles[at as usize] {
                let row = rows.get(&key(name));
                assert_eq!(row.map_or(0, |row| row.version), *version, "{name} at {at}");
                assert_eq!(weight(replica, name), *expected, "{name} at {at}");
            }
        }
    }

    fn edit(&mut self, index: usize, name: &str, is_removal: bool, is_twice: bool) {
        let rows = self.replicas[index].rows();
        let version = rows.and_then(|rows| rows.get(&key(name))).map_or(0, |row| row.version);
        self.edits += 1;
        let id = format!("e{}", self.edits);
        let record = match is_removal {
            true => removal(&id, name, version),
            false => edit(&id, name, version, f64::from(self.edits)),
        };
        if is_twice {
            self.append(record.clone());
        }
        self.append(record);
    }
}

fn step(
    fleet: &mut Fleet,
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let index = u.choose_index(fleet.replicas.len())?;
    let before = fleet.replicas[index].applied_offset();
    let applied = fleet.replicas[index].counts().applied_snapshots;
    match u.int_in_range(0..=9)? {
        0..=3 => fleet.edit(index, u.choose(&TEAMS)?, u.ratio(1, 5)?, u.ratio(1, 4)?),
        4..=5 => fleet.log.read_some(&mut fleet.replicas[index], u.int_in_range(0..=60)?),
        6 => {
            let snapshot = fleet.replicas[index].export();
            match u.ratio(1, 2)? {
                true => fleet.paused.extend(snapshot),
                false => snapshot.into_iter().for_each(|s| fleet.append(Record::Snapshot(s))),
            }
        }
        7 if !fleet.paused.is_empty() => {
            let at = u.choose_index(fleet.paused.len())?;
            let snapshot = fleet.paused.swap_remove(at);
            fleet.append(Record::Snapshot(snapshot));
        }
        8 => {
            let to = fleet.log.first_offset + u.int_in_range(0..=10)?;
            fleet.log.drop_before(to.min(fleet.log.records.len() as u64));
        }
        9 if u.ratio(2, 3)? => {
            fleet.replicas[index] = Replica::new();
            return Ok(());
        }
        _ => {
            let from = u.choose_index(fleet.replicas.len())?;
            if let Some(state) = fleet.replicas[from].export() {
                fleet.replicas[index].import(state);
            }
        }
    }
    assert!(fleet.replicas[index].applied_offset() >= before, "an applied offset decreased");
    fleet.applied_snapshots += fleet.replicas[index].counts().applied_snapshots - applied;
    Ok(())
}

#[test]
fn random_schedules_agree_with_the_oracle() {
    const SEEDS: u64 = 400;
    const SCHEDULE_BYTES: u64 = 4096;
    let mut applied = 0;
    for seed in 1..=SEEDS {
        arbtest::arbtest(|u| {
            let mut fleet = Fleet::new();
            // The schedule ends when its random bytes are used up.
            while step(&mut fleet, u).is_ok() && !u.is_empty() {
                fleet.check();
            }
            applied += fleet.applied_snapshots;
            Ok(())
        })
        .seed(seed << 32 | SCHEDULE_BYTES);
    }
    assert!(applied > SEEDS, "too few schedules start from a snapshot: {applied}");
}
