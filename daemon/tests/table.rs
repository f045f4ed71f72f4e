//! The replicated table against a log service with injected faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::table::record::Edit;
use gentianhinge_core::table::replica::EditOutcome;
use gentianhinge_core::table::row::{Row, RowKey};
use gentianhinge_core::table::{Limits, Table, Team};
use gentianhinge_standin::log as standin_log;
use gentianhinged::platform::log::Log;
use gentianhinged::platform::table::{EditResult, Options, TableLog};
use tokio::{task, time};

/// Service objective: an accepted edit is in force on all routers within this time.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Service objective: a router without state is ready within this time.
const START_TIMEOUT: Duration = Duration::from_secs(2);

fn team(name: &str, weight: f64) -> Team {
    Team {
        name: name.into(),
        weight,
        key_hashes: Vec::new(),
        classes: Vec::new(),
        limits: Limits::default(),
    }
}

fn edit(id: &str, base_version: u64, weight: f64) -> Edit {
    Edit {
        id: id.into(),
        operator: "o".into(),
        key: RowKey::Team("a".into()),
        base_version,
        row: Some(Row::Team(team("a", weight))),
    }
}

/// A router's replica of the table, which is updated from the log until the end of the test.
struct Router {
    table: TableLog,
    task: task::JoinHandle<()>,
}

impl Drop for Router {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Router {
    fn start(fleet: &Fleet, is_snapshot_writer: bool) -> Router {
        let settings_table =
            Table { teams: [("a".into(), team("a", 1.0))].into(), ..Table::default() };
        let table = TableLog::new(Options {
            log: Some(Log::new(&fleet.url(), Duration::from_millis(300))),
            settings_table: Arc::new(settings_table),
            retention: Duration::from_secs(3600),
            is_snapshot_writer: Box::new(move || Box::pin(async move { is_snapshot_writer })),
        });
        let followed = table.clone();
        let task = tokio::spawn(async move { followed.run().await });
        Router { table, task }
    }

    fn weight(&self) -> Option<f64> {
        let view = self.table.subscribe().borrow().clone();
        view.table?.teams.get("a").map(|team| team.weight)
    }

    fn offset(&self) -> Option<u64> {
        self.table.subscribe().borrow().applied_offset
    }

    async fn wait_weight(&self, weight: f64, timeout: Duration) {
        let mut view = self.table.subscribe();
        let matching = view.wait_for(|view| {
            let row = view.table.as_ref().and_then(|table| table.teams.get("a"));
            row.is_some_and(|row| row.weight == weight)
        });
        time::timeout(timeout, matching).await.expect("in time").expect("channel is open");
    }

    async fn wait_offset(&self, offset: u64, timeout: Duration) {
        let mut view = self.table.subscribe();
        let matching = view.wait_for(|view| view.applied_offset.is_some_and(|at| at >= offset));
        time::timeout(timeout, matching).await.expect("in time").expect("channel is open");
    }

    async fn accept(&self, id: &str, base_version: u64, weight: f64) -> u64 {
        match self.table.edit(edit(id, base_version, weight)).await {
            EditResult::Settled(EditOutcome::Accepted { offset }) => offset,
            other => panic!("{id}: {other:?}"),
        }
    }
}

struct Fleet {
    log: standin_log::Handle,
}

impl Fleet {
    async fn start() -> Fleet {
        Fleet { log: standin_log::spawn(standin_log::Config::default()).await.unwrap() }
    }

    fn url(&self) -> String {
        format!("http://{}", self.log.addr())
    }

    fn set(&self, faults: standin_log::Faults) {
        self.log.log().set_faults(faults);
    }

    fn clear(&self) {
        self.set(standin_log::Faults::default());
    }

    fn records(&self) -> u64 {
        self.log.log().read("config", 0, usize::MAX).next_offset
    }

    /// Starts the fleet's first router and waits until it has written the first snapshot.
    async fn first_router(&self) -> Router {
        let router = Router::start(self, true);
        router.wait_offset(1, START_TIMEOUT).await;
        router
    }
}

/// Defines tests, each with a log service and a router that has written the first snapshot.
macro_rules! cases {
    ($($case:ident($fleet:ident, $first:ident) $body:block)*) => {$(
        #[tokio::test]
        async fn $case() {
            let $fleet = Fleet::start().await;
            let $first = $fleet.first_router().await;
            $body
        }
    )*};
}

cases! {
    edit_is_in_force_everywhere(fleet, first) {
        let others = [(); 7].map(|()| Router::start(&fleet, false));
        first.accept("e1", 0, 2.0).await;
        for router in &others {
            router.wait_weight(2.0, IN_FORCE_TIMEOUT).await;
        }
    }

    edit_through_a_slow_log_is_in_force_in_time(fleet, first) {
        let other = Router::start(&fleet, false);
        fleet.set(standin_log::Faults { slow_ms: Some(250), ..Default::default() });
        let start = time::Instant::now();
        first.accept("e1", 0, 2.0).await;
        other.wait_weight(2.0, IN_FORCE_TIMEOUT.saturating_sub(start.elapsed())).await;
    }

    edit_with_a_lost_reply_is_appended_once(fleet, first) {
        let faults = standin_log::Faults {
            drop_reply: true,
            drop_reply_count: Some(1),
            ..Default::default()
        };
        fleet.set(faults);
        let offset = first.accept("e1", 0, 2.0).await;
        assert_eq!((offset, fleet.records()), (1, 2), "appended once");
    }

    edit_applies_once_if_every_reply_is_lost(fleet, first) {
        fleet.set(standin_log::Faults { drop_reply: true, ..Default::default() });
        first.accept("e1", 0, 2.0).await;
        let second = first.table.edit(edit("e1", 0, 2.0)).await;
        assert_eq!(second, EditResult::Settled(EditOutcome::Accepted { offset: 1 }));
        assert_eq!(fleet.records(), 2);
    }

    edit_during_an_outage_is_not_applied(fleet, first) {
        fleet.set(standin_log::Faults { append_outage: true, ..Default::default() });
        let result = first.table.edit(edit("e1", 0, 2.0)).await;
        assert!(matches!(result, EditResult::Outage(_)), "{result:?}");
        fleet.clear();
        first.accept("e2", 0, 3.0).await;
        assert_eq!((first.weight(), fleet.records()), (Some(3.0), 2));
    }

    log_that_hangs_leaves_the_outcome_unknown(fleet, first) {
        fleet.set(standin_log::Faults { hang: true, ..Default::default() });
        let result = first.table.edit(edit("e1", 0, 2.0)).await;
        assert!(matches!(result, EditResult::Unknown(_)), "{result:?}");
        fleet.clear();
        // Repeated with its id, the edit applies once, whether or not the first append succeeded.
        let offset = first.accept("e1", 0, 2.0).await;
        assert_eq!(first.table.outcome("e1"), Some(EditOutcome::Accepted { offset }));
        assert_eq!(first.weight(), Some(2.0));
    }

    one_of_two_concurrent_edits_is_accepted(fleet, first) {
        let other = Router::start(&fleet, false);
        other.wait_offset(1, START_TIMEOUT).await;
        let (one, two) =
            tokio::join!(first.table.edit(edit("e1", 0, 2.0)), other.table.edit(edit("e2", 0, 3.0)));
        let is_accepted =
            |result: &EditResult| matches!(result, EditResult::Settled(EditOutcome::Accepted { .. }));
        let is_conflict = |result: &EditResult| {
            matches!(result, EditResult::Settled(EditOutcome::Conflict { .. })
                | EditResult::Refused(EditOutcome::Conflict { .. }))
        };
        let winner = if is_accepted(&one) { 2.0 } else { 3.0 };
        assert!(is_accepted(&one) != is_accepted(&two), "{one:?} {two:?}");
        assert!(is_conflict(&one) != is_conflict(&two), "{one:?} {two:?}");
        first.wait_weight(winner, IN_FORCE_TIMEOUT).await;
        other.wait_weight(winner, IN_FORCE_TIMEOUT).await;
    }

    late_snapshot_does_not_revert_edits(fleet, first) {
        // A snapshot writer that was paused before its append writes a state that lacks an edit.
        let paused = Bytes::from(first.table.export_state().unwrap());
        let offset = first.accept("e1", 0, 2.0).await;
        fleet.log.log().append("config", paused).unwrap();
        first.accept("e2", offset + 1, 3.0).await;
        let new = Router::start(&fleet, false);
        new.wait_weight(3.0, START_TIMEOUT).await;
        assert_eq!(first.weight(), Some(3.0));
    }

    snapshot_is_replaced_after_its_record_expired(fleet, first) {
        first.accept("e1", 0, 2.0).await;
        fleet.log.log().expire_before("config", fleet.records());
        // Reading a new record shows the first router that the log has deleted older ones.
        fleet.log.log().append("config", Bytes::from_static(b"{\"newer\": {}}")).unwrap();
        first.wait_offset(4, IN_FORCE_TIMEOUT).await;
        let new = Router::start(&fleet, false);
        new.wait_weight(2.0, START_TIMEOUT).await;
    }

    empty_router_while_the_log_is_down(fleet, first) {
        first.accept("e1", 0, 2.0).await;
        let state = first.table.export_state().unwrap();
        fleet.set(standin_log::Faults { read_outage: true, append_outage: true, ..Default::default() });
        let new = Router::start(&fleet, true);
        // Several reads fail in this time; the router must have no table, not even that of the
        // settings.
        time::sleep(Duration::from_millis(300)).await;
        assert_eq!((new.weight(), new.offset()), (None, None));
        assert!(new.table.import_state(&state));
        assert!(!new.table.import_state(&state));
        assert!(!new.table.import_state(b"not a state"));
        assert_eq!(new.weight(), Some(2.0));
        fleet.clear();
        new.accept("e2", 2, 3.0).await;
        first.wait_weight(3.0, IN_FORCE_TIMEOUT).await;
    }

    undecodable_records_are_skipped(fleet, first) {
        for bytes in [&b"\xff"[..], b"{\"lease\": {}}", b"{}"] {
            fleet.log.log().append("config", Bytes::copy_from_slice(bytes)).unwrap();
        }
        first.accept("e1", 0, 2.0).await;
        let new = Router::start(&fleet, false);
        new.wait_weight(2.0, START_TIMEOUT).await;
        assert_eq!(new.table.rows(), first.table.rows());
    }

    two_first_snapshots_agree(fleet, first) {
        let other = Router::start(&fleet, true);
        other.wait_offset(1, START_TIMEOUT).await;
        assert_eq!(other.table.rows(), first.table.rows());
    }
}
