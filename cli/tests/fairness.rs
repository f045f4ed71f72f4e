//! `gentianhinge fairness` on the `shares` events of two routers.

use std::process;

/// Log of two routers over 8 s. Each second, team `large` asks for 1,000 tokens at each router and gets
/// 500; team `small` asks for 400 at one router and gets `small_got_tokens`.
fn log(small_got_tokens: u64) -> String {
    let line = |second: u64, router: &str, small: &str| {
        format!(
            "prefix {{\"event\":\"shares\",\"at_unix_ms\":{},\"router\":\"{router}\",\"teams\":{{\
             \"large\":{{\"asked\":1000,\"sent\":700,\"begun\":500,\"largest\":10,\"refused\":3,\"late\":0}}{small}}}}}\n",
            1_000_000 + second * 1000,
        )
    };
    let small = format!(
        ",\"small\":{{\"asked\":400,\"sent\":700,\"begun\":{small_got_tokens},\"largest\":20,\"refused\":1,\"late\":0}}"
    );
    let lines = (0..8).map(|second| line(second, "r1", &small) + &line(second, "r2", ""));
    lines.collect()
}

fn fairness(name: &str, text: &str, args: &[&str]) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("fairness-{name}-{}.log", process::id()));
    std::fs::write(&path, text).unwrap();
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
    let output = command.arg("fairness").arg(&path).args(args).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
    (output.status.code(), text)
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    team_below_its_fair_share_is_listed_first: {
        // Half of 400 tokens/s over 6 s, less 3 requests of 20 tokens, is 1,140 tokens.
        let (code, text) = fairness("below", &log(95), &[]);
        assert_eq!(code, Some(0), "{text}");
        let line = text.lines().nth(1).unwrap();
        assert!(line.contains("0.50  small"), "{text}");
        assert!(line.contains("asked       2400, got        570, at least       1140, sent       4200"), "{text}");
        // Team `large` got 1,000 of 2,000 tokens/s, more than any other, so its due is half of that.
        assert!(text.lines().nth(2).unwrap().contains("2.02  large"), "{text}");
    },
    team_above_its_fair_share_has_ratio_above_one: {
        let (_, text) = fairness("above", &log(210), &["--json"]);
        let margins: Vec<serde_json::Value> = serde_json::from_str(&text).unwrap();
        let small = margins.iter().find(|margin| margin["team"] == "small").unwrap();
        assert!(small["ratio"].as_f64().unwrap() > 1.1, "{text}");
    },
    logs_without_shares_events_are_reported: {
        let (code, text) = fairness("none", "{\"event\":\"start\"}\n", &[]);
        assert_eq!((code, text.trim()), (Some(1), "these logs contain no `shares` event"));
    },
}
