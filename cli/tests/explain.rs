//! `gentianhinge explain` on the logs of a simulated day.

use std::io::Write;
use std::path;
use std::process;

/// Lines of two routers, each with a log collector's prefix.
const LOG: &str = include_str!("../../testdata/logs/day.log");

fn explain(args: &[&str]) -> (Option<i32>, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
    command.arg("explain").args(args).stdin(process::Stdio::piped());
    let mut child =
        command.stdout(process::Stdio::piped()).stderr(process::Stdio::piped()).spawn().unwrap();
    // A program that reads files may exit before the write, which then fails.
    let _ = child.stdin.take().unwrap().write_all(LOG.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code(), text)
}

/// Defines tests: arguments, exit code, and parts of the output in order.
macro_rules! cases {
    ($($case:ident: $args:expr, $code:literal, $parts:expr;)*) => {$(
        #[test]
        fn $case() {
            let (code, text) = explain(&$args);
            assert_eq!(code, Some($code), "{text}");
            let mut rest = text.as_str();
            for part in $parts {
                let at = rest.find(part).unwrap_or_else(|| panic!("{part:?} isn't in {text}"));
                rest = &rest[at + part.len()..];
            }
        }
    )*};
}

cases! {
    refused_under_load: ["aa01"], 0,
        ["router r1: route quotes, team clubs, configuration 7", "+500 ms: overload, status 503",
         "not run: every target was too busy", "health {\"cause\":\"500\",\"outcome\":\"left out\""];
    crowded_out: ["aa04"], 0,
        ["its team had 0.04 of its fair share and a shortfall of 0.97", "the router's queue was full",
         "overload, status 503"];
    cut_in_a_stream: ["aa02"], 0,
        ["sent to t1", "silence", "stream-cut", "could not be resumed", "no budget for a repeat"];
    lost_outcome: ["aa03"], 0,
        ["sent to t2", "connection closed before message completed", "unknown-outcome, status 502",
         "it may have run"];
    of_a_team: ["clubs"], 0, ["team clubs: 2 requests", "1 overload", "1 stream-cut", "aa01 overload"];
    as_json: ["aa03", "--json"], 0, ["[{", "\"id\":\"aa03\""];
    unknown_id: ["zz99"], 1, ["no request in these logs has the id or team zz99"];
}

/// Explains a request from 1.5 s of the logs of eight routers in a simulated day with target failures.
fn explain_played(id: &str) -> String {
    let log = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../testdata/logs/played.log");
    let (code, text) = explain(&[id, log.to_str().unwrap()]);
    assert_eq!(code, Some(0), "{text}");
    text
}

#[test]
fn explains_refusal_by_the_teams_share() {
    let text = explain_played("f71dd7846c62bf9a");
    assert!(text.contains("its team had 1.08 of its fair share"), "{text}");
    assert!(text.contains("backlog 114 ms at the best target, 212 ms on average"), "{text}");
    assert!(text.contains("+258 ms: overload, status 503"), "{text}");
}

#[test]
fn explains_cut_stream_by_its_target() {
    let text = explain_played("efe3f06535c87695");
    assert!(text.contains("sent to i-0db0702db8"), "{text}");
    assert!(text.contains("time limit\n  +693 ms: stream-cut"), "{text}");
}

#[test]
fn explains_unknown_outcome_by_its_target() {
    let text = explain_played("7f711156fb03b4fc");
    assert!(text.contains("sent to i-2f4fa44648"), "{text}");
    assert!(text.contains(": 500\n"), "{text}");
    assert!(text.contains("unknown-outcome, status 502"), "{text}");
}

#[test]
fn logs_are_read_from_files() {
    let log = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../testdata/logs/day.log");
    let (code, text) = explain(&["aa03", log.to_str().unwrap()]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("unknown-outcome"));
}
