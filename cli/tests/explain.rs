//! `gentianhinge explain` on a day's logs: from the id to the cause.

use std::io::Write;
use std::path;
use std::process;

/// Lines of two routers as a collector prints them, with a prefix.
const LOG: &str = include_str!("../../testdata/logs/day.log");

fn explain(args: &[&str]) -> (Option<i32>, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
    command.arg("explain").args(args).stdin(process::Stdio::piped());
    let mut child =
        command.stdout(process::Stdio::piped()).stderr(process::Stdio::piped()).spawn().unwrap();
    // With files named, the program doesn't read it, and its end may already be closed.
    let _ = child.stdin.take().unwrap().write_all(LOG.as_bytes());
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code(), text)
}

/// Names a request or team, the exit code, and parts of what is told, in their order.
macro_rules! stories {
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

stories! {
    refused_under_load: ["aa01"], 0,
        ["router r1: route quotes, team clubs, configuration 7", "+500 ms: overload, status 503",
         "not run: every target was too busy", "health {\"cause\":\"500\",\"outcome\":\"left out\""];
    crowded_out: ["aa04"], 0,
        ["its team had 0.04 of its fair share and lacked 0.97 of its due", "held as many as may wait",
         "overload, status 503"];
    cut_in_a_stream: ["aa02"], 0,
        ["sent to t1", "silence", "stream-cut", "could not be resumed", "no budget for a repeat"];
    lost_outcome: ["aa03"], 0,
        ["sent to t2", "connection closed before message completed", "unknown-outcome, status 502",
         "it may have run"];
    of_a_team: ["clubs"], 0, ["team clubs: 2 requests", "1 overload", "1 stream-cut", "aa01 overload"];
    as_json: ["aa03", "--json"], 0, ["[{", "\"id\":\"aa03\""];
    unknown_id: ["zz99"], 1, ["no line of these logs names zz99"];
}

/// A second and a half of a played day: what eight routers wrote, with some of their targets failing.
fn played(id: &str) -> String {
    let log = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../testdata/logs/played.log");
    let (code, text) = explain(&[id, log.to_str().unwrap()]);
    assert_eq!(code, Some(0), "{text}");
    text
}

#[test]
fn a_played_days_refusal_is_traced_to_its_teams_share() {
    let text = played("f71dd7846c62bf9a");
    assert!(text.contains("its team had 1.08 of its fair share"), "{text}");
    assert!(
        text.contains("114 ms of unread work at the best target, 212 ms at the mean"),
        "{text}"
    );
    assert!(text.contains("+258 ms: overload, status 503"), "{text}");
}

#[test]
fn a_played_days_cut_stream_is_traced_to_its_target() {
    let text = played("efe3f06535c87695");
    assert!(text.contains("sent to i-0db0702db8"), "{text}");
    assert!(text.contains("time limit\n  +693 ms: stream-cut"), "{text}");
}

#[test]
fn a_played_days_lost_outcome_is_traced_to_its_target() {
    let text = played("7f711156fb03b4fc");
    assert!(text.contains("sent to i-2f4fa44648"), "{text}");
    assert!(text.contains(": 500\n"), "{text}");
    assert!(text.contains("unknown-outcome, status 502"), "{text}");
}

#[test]
fn logs_are_read_from_files() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../testdata/logs/day.log");
    let (code, text) = explain(&["aa03", root.to_str().unwrap()]);
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("unknown-outcome"));
}
