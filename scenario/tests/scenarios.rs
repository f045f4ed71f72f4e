//! One test for each scenario in `testdata/scenarios`.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use gentianhinge_scenario::{parse, run, script};

fn directory() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../testdata/scenarios")
}

fn check(name: &str) {
    check_script(name, &read(name));
}

fn read(name: &str) -> script::Script {
    let file = directory().join(format!("{name}.txt"));
    let text = fs::read_to_string(&file).unwrap();
    parse::parse(&text).unwrap_or_else(|err| panic!("{name}.txt: {err}"))
}

fn check_script(name: &str, script: &script::Script) {
    let outcome = run::run(script);
    for line in &outcome.measured {
        println!("{line}");
    }
    assert!(outcome.failures.is_empty(), "{name}.txt:\n{}", outcome.failures.join("\n"));
}

macro_rules! scenarios {
    ($($name:ident,)*) => {
        const NAMES: &[&str] = &[$(stringify!($name),)*];

        $(
            #[test]
            fn $name() {
                check(stringify!($name));
            }
        )*
    };
}

scenarios! {
    adopted_requests_are_not_short,
    declined_grants_free_their_slots,
    dispatcher_killed,
    drained_dispatcher_hands_over,
    fair_gap,
    fair_gap_32_routers,
    flood,
    frozen_dispatcher_thawed,
    fuzz_27009,
    fuzz_51310,
    fuzz_256850,
    fuzz_251457,
    fuzz_250884,
    fuzz_249188,
    fuzz_245436,
    fuzz_220194,
    fuzz_214586,
    graceful_shutdown,
    grants_of_before_a_standstill,
    half_the_fleet_restarted,
    leaving_target,
    lost_requests_are_not_short,
    new_dispatcher_counts_what_runs,
    new_team_after_failover,
    not_run_means_not_run,
    pair_crashed_target_and_killed_dispatcher,
    pair_flood_and_killed_dispatcher,
    pair_flood_and_partition,
    pair_frozen_dispatcher_and_partition,
    pair_frozen_dispatcher_twice,
    pair_leaving_target_and_frozen_dispatcher,
    pair_leaving_target_and_killed_dispatcher,
    pair_leaving_target_and_lone_frozen_router,
    pair_leaving_target_and_partition,
    pair_partition_and_killed_dispatchers,
    pair_partition_twice,
    pair_restart_and_partition,
    pair_restart_within_partition,
    pair_shutdown_and_killed_dispatcher,
    partition_and_rejoin,
    partition_with_a_team_on_one_side,
    patient_work_does_not_starve,
    price_of_patience,
    rejoin_leaves_no_slot_idle,
    repeatable_work_moves_to_another_target,
    restart_without_memory,
    return_after_a_pause,
    rolling_restart,
    small_team_does_not_starve,
    table_edit,
    teams_return_while_the_role_moves,
    two_dispatchers_at_once,
    unrepeatable_runs_at_most_once,
    whole_fleet_restarted,
}

/// Seeds with which a target loses slots in the partition, or requests end between a load report and
/// its arrival.
#[test]
fn rejoin_leaves_no_slot_idle_with_other_seeds() {
    let name = "rejoin_leaves_no_slot_idle";
    let mut script = read(name);
    for seed in [104, 105, 106, 111, 112, 124, 252] {
        script.setup.seed = seed;
        check_script(name, &script);
    }
}

/// Guards against a scenario file that no test runs.
#[test]
fn each_file_has_a_test() {
    let files = fs::read_dir(directory()).unwrap();
    let stem = |file: fs::DirEntry| {
        file.path().file_stem().map(|stem| stem.to_string_lossy().into_owned())
    };
    let files = files.filter_map(|file| stem(file.unwrap())).collect::<BTreeSet<_>>();
    let names = NAMES.iter().map(|name| (*name).to_owned()).collect::<BTreeSet<_>>();
    assert_eq!(files, names);
}
