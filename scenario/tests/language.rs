//! Parse errors, the text form of scripts, deterministic runs, and checks that must fail.

use gentianhinge_scenario::{fuzz, parse, run};

macro_rules! errors {
    ($($name:ident: $text:expr => $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let err = parse::parse($text).unwrap_err();
                assert_eq!(err.to_string(), $message);
            }
        )*
    };
}

errors! {
    unknown_verb: "routers 2\n\nfly r1" => "line 3: unknown verb `fly`";
    unknown_check: "expect peace" => "line 1: unknown check `peace`";
    unknown_team: "team lanes\nsubmit lane on r1 count 1" => "line 2: no team `lane`";
    unknown_class: "team lanes\nbacklog lanes class slow on r1 count 1" => "line 2: no class `slow`";
    unknown_router: "routers 2\nkill r3" => "line 2: r1 to r2 expected, found `r3`";
    router_zero: "routers 2\nkill r0" => "line 2: r1 to r2 expected, found `r0`";
    backward_range: "routers 4\nkill r3..r2" => "line 2: `r3..r2` names no router";
    unknown_target: "targets 2 slots 1\nleave t9" => "line 2: t1 to t2 expected, found `t9`";
    no_unit: "run 5" => "line 1: a duration (ms, s or m) expected, found `5`";
    negative_duration: "run -1s" => "line 1: `-1s`: cannot convert float seconds to Duration: value is negative";
    missing_word: "targets 4" => "line 1: slots is missing";
    wrong_word: "team lanes\nsubmit lanes at r1 count 1" => "line 2: `on` expected, found `at`";
    too_many_words: "heal now" => "line 1: end of line expected, found `now`";
    late_setup: "run 1s\nrouters 2" => "line 2: setup must come before all actions";
    scheduled_check: "at 2s run 1s" => "line 1: `run` and `expect` can't be scheduled with `at`";
    too_many_routers: "routers 100000" => "line 1: the number of routers must be 1 to 1000, found 100000";
    weight_zero: "team lanes weight 0" => "line 1: the weight must be > 0";
    bad_costs: "team lanes cost 9..3" => "line 1: costs as `20..2000` expected, found `9..3`";
}

#[test]
fn comments_and_blank_lines_are_skipped() {
    let script = parse::parse("# nothing\n\n  routers 3 # three\n").unwrap();
    assert_eq!(script.setup.router_count, 3);
    assert!(script.steps.is_empty());
}

#[test]
fn a_script_written_as_text_parses_to_the_same_script() {
    for seed in 0..200 {
        let script = fuzz::schedule(seed);
        let mut parsed = parse::parse(&script.to_string()).unwrap();
        parsed.steps.iter_mut().for_each(|step| step.line = 0);
        assert_eq!(parsed, script, "seed {seed}");
    }
}

#[test]
fn two_runs_of_a_script_are_the_same() {
    for seed in 0..20 {
        let script = fuzz::schedule(seed);
        assert_eq!(run::run(&script), run::run(&script), "seed {seed}");
    }
}

macro_rules! failing_checks {
    ($($name:ident: $text:expr;)*) => {
        $(
            /// A check fails without a measurement, and if the measurement is out of bounds.
            #[test]
            fn $name() {
                let setup = "routers 2\nteam a\nteam b\n";
                let script = parse::parse(&format!("{setup}{}", $text)).unwrap();
                assert_eq!(run::run(&script).failures.len(), 1);
            }
        )*
    };
}

failing_checks! {
    gap_without_backlog: "run 5s\nexpect gap <= 9 largest";
    utilisation_without_work: "run 5s\nexpect utilisation >= 0.1";
    resume_without_loss: "run 5s\nexpect grants-resume-within 9s";
    share_without_service: "run 5s\nexpect share a 0.5 +- 0.5";
    runs_without_request: "run 5s\nexpect runs-per-request <= 1";
    answers_without_request: "run 5s\nexpect all-answered";
    no_work_on_a_target_that_stays: "run 5s\nexpect no-work-on t1 after 3s";
    second_dispatcher_without_cut: "submit a on r1 count 1\nrun 5s\nexpect dispatchers >= 2";
    refusal_within_limits: "submit a on r1 count 1\nrun 5s\nexpect refused a >= 1";
    expiry_without_wait: "submit a on r1 count 1\nrun 5s\nexpect expired >= 1";
    drain_not_begun: "run 5s\nexpect drained r1";
    idle_slots_before_the_first_grant: "backlog a on all count 3\nrun 5s\nexpect idle-while-waiting <= 1ms";
}
