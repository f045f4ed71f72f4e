//! Settings of a router on the platform, and the encoding of load reports.

use gentianhinge_core::report;
use gentianhinge_wire::{edge, load};

const VALID: &str = r#"{ // filled in by the platform
  "router": { "name": "r1", "region": "here", "zone": "a" },
  "listen": { "callers_addr": "127.0.0.1:1", "readiness_addr": "127.0.0.1:2",
              "operators_addr": "127.0.0.1:3", "peers_addr": "127.0.0.1:4" },
  "store": { "addr": "127.0.0.1:5" },
  "bounds": { "drain_ms": 2000, "config_apply_ms": 2000, "grace_ms": 8000, "retry_ratio": 0.2,
              "retry_window_ms": 10000, "extra_retries": 54 }
}"#;

fn mistakes(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let mistakes = edge::parse(&VALID.replace(from, to)).err().unwrap_or_default();
    mistakes.iter().map(|mistake| format!("{mistake}\n")).collect()
}

/// Defines tests: a change of the valid settings and the mistake that it causes.
macro_rules! mistakes {
    ($($case:ident: $from:literal => $to:literal, $mistake:literal;)*) => {$(
        #[test]
        fn $case() {
            let found = mistakes($from, $to);
            assert!(found.contains($mistake), "{found}");
        }
    )*};
}

mistakes! {
    an_address_without_a_port: "127.0.0.1:5" => "store",
        "line 5: store.addr: \"store\" isn't an IP address and port";
    an_unknown_key: "\"region\"" => "\"area\"", "line 2: router.area: unknown key";
    a_missing_bound: "\"drain_ms\": 2000, " => "", "line 6: bounds: \"drain_ms\" is a required property";
    a_text_for_a_number: "\"extra_retries\": 54" => "\"extra_retries\": \"many\"",
        "line 7: bounds.extra_retries: ";
    a_bound_below_its_minimum: "\"grace_ms\": 8000" => "\"grace_ms\": 5", "line 6: bounds.grace_ms: ";
    a_repeated_key: "\"zone\": \"a\"" => "\"zone\": \"a\", \"zone\": \"b\"", "line 2: router.zone: ";
    a_truncated_text: "\"extra_retries\": 54 }\n}" => "\"extra_retries\": 54", "line 6: Unterminated object";
}

#[test]
fn valid_settings_have_no_mistake() {
    let settings = edge::parse(VALID).unwrap();
    assert_eq!(settings.bounds.share_window_ms, 4000);
    assert_eq!(settings.log.max_lines_per_s, 200);
}

fn example_report() -> report::LoadReport {
    report::LoadReport {
        sender: "r1".into(),
        incarnation: 1_700_000_000_000,
        seq: 7,
        targets: vec![report::TargetLoad {
            target: 1 << 60,
            unread_tokens: 17_000,
            running_count: 3,
        }],
        teams: vec![report::TeamUse { team: 5, asked_tokens: 9, begun_tokens: 8 }],
        services: vec![report::ServiceUse { service: 6, request_count: 100, retry_count: 2 }],
        cached_parts: vec![report::CachedPart { target: 1 << 60, part: 77 }],
        is_full: true,
        offsets: report::Offsets { config: 12, targets: 340 },
        forward_in_zone: true,
    }
}

#[test]
fn encoded_report_decodes_unchanged() {
    assert_eq!(load::decode(&load::encode(&example_report())).unwrap(), example_report());
}

#[test]
fn invalid_reports_do_not_panic() {
    let datagram = load::encode(&example_report());
    for len in 0..datagram.len() {
        // A truncated datagram may decode to another report or give an error.
        let _ = load::decode(&datagram[..len]);
    }
    arbtest::arbtest(|u| {
        let bytes = u.arbitrary::<Vec<u8>>()?;
        let _ = load::decode(&bytes);
        Ok(())
    });
}

#[test]
fn report_of_a_typical_fleet_fits_one_datagram() {
    let mut report = example_report();
    report.targets = (0..21)
        .map(|i| report::TargetLoad {
            target: report::hash("t", i),
            unread_tokens: 40_000,
            running_count: 60,
        })
        .collect();
    report.teams = (0..16)
        .map(|i| report::TeamUse {
            team: report::hash("team", i),
            asked_tokens: 900_000,
            begun_tokens: 800_000,
        })
        .collect();
    assert!(load::encode(&report).len() < 1400, "{}", load::encode(&report).len());
}
