//! `gentianhinge table` against two routers and a log service.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;

use gentianhinge_standin::log as standin_log;
use gentianhinge_wire::settings;
use gentianhinged::server;
use tokio::runtime;

const OPERATOR_KEY: &str = "key-of-the-operator";

/// A log service, two routers, and a directory for the test's files.
struct Fleet {
    _runtime: runtime::Runtime,
    log: standin_log::Handle,
    routers: Vec<server::Server>,
    dir: path::PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in self.routers.drain(..) {
            router.stop();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn router(log: net::SocketAddr, name: &str, seed: Option<net::SocketAddr>) -> server::Server {
    let seeds = seed.map(|seed| format!("{seed:?}")).unwrap_or_default();
    let seeds = if seeds.is_empty() { seeds } else { format!("\"{seeds}\"") };
    let hash = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
    let text = format!(
        r#"{{
        "router": {{ "name": "{name}", "region": "here", "zone": "a" }},
        "listen": {{ "callers_addr": "127.0.0.1:0", "operators_addr": "127.0.0.1:0",
                    "peers_addr": "127.0.0.1:0" }},
        "peers": {{ "secret": "secret of this test's fleet", "seed_addrs": [{seeds}] }},
        "platform": {{ "log_url": "http://{log}", "timeout_ms": 300 }},
        "table": {{
            "classes": [{{ "name": "now", "price_ratio": 1.0, "max_wait_ms": 10000 }}],
            "teams": [{{ "name": "lanes", "key_hashes": [] }}, {{ "name": "clubs", "key_hashes": [] }}],
            "operator_key_hashes": ["{hash}"] }}
        }}"#
    );
    server::start(settings::parse(&text).unwrap()).unwrap()
}

impl Fleet {
    fn start() -> Fleet {
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("gentianhinge-table-{}-{number}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("key"), format!("{OPERATOR_KEY}\n")).unwrap();
        fs::write(dir.join("wrong-key"), "key-of-nobody").unwrap();
        let runtime = runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let log = runtime.block_on(standin_log::spawn(standin_log::Config::default())).unwrap();
        let first = router(log.addr(), "r1", None);
        let second = router(log.addr(), "r2", first.peers_addr());
        let routers = vec![first, second];
        let fleet = Fleet { _runtime: runtime, log, routers, dir };
        // The fleet is ready when a router has read back the first snapshot of the log.
        fleet.wait("up to offset", &["show"]);
        fleet
    }

    fn file(&self, name: &str) -> String {
        self.dir.join(name).to_str().unwrap().to_string()
    }

    /// Runs a `table` command; returns its exit code and its standard output and error.
    fn run_with_key(&self, key: &str, args: &[&str]) -> (i32, String) {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
        command.arg("table").arg(args[0]).args(["--key-file", &self.file(key)]);
        for router in &self.routers {
            command.args(["--router", &router.operators_addr().to_string()]);
        }
        let output = command.args(&args[1..]).stdin(process::Stdio::null()).output().unwrap();
        let text = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        (output.status.code().unwrap(), text)
    }

    fn run(&self, args: &[&str]) -> (i32, String) {
        self.run_with_key("key", args)
    }

    fn expect(&self, args: &[&str], code: i32, part: &str) {
        let (status, text) = self.run(args);
        assert_eq!(status, code, "{args:?}: {text}");
        assert!(text.contains(part), "{args:?}: {text}");
    }

    /// Repeats a command until it prints `part`. Fails after 4 s, the bound for an edit to be in force.
    fn wait(&self, part: &str, args: &[&str]) {
        let deadline = std::time::Instant::now() + std::time::Duration::from_secs(4);
        loop {
            let (_, text) = self.run(args);
            if text.contains(part) {
                return;
            }
            assert!(std::time::Instant::now() < deadline, "{args:?}: {text}");
        }
    }

    /// Waits until both routers are members of the same fleet.
    fn wait_joined(&self) {
        self.wait("in force on 2 of 2", &["set", "team", "clubs", "weight=1"]);
    }

    fn set_faults(&self, faults: standin_log::Faults) {
        self.log.log().set_faults(faults);
    }
}

/// Defines tests that each start a fleet of their own.
macro_rules! cases {
    ($($case:ident($fleet:ident) $body:block)*) => {$(
        #[test]
        fn $case() {
            let $fleet = Fleet::start();
            $body
        }
    )*};
}

cases! {
    set_waits_until_in_force(fleet) {
        fleet.wait_joined();
        fleet.expect(
            &["set", "team", "lanes", "weight=2.5"],
            0,
            "in force on 2 of 2 live routers after",
        );
        fleet.expect(&["show"], 0, "weight=2.5");
        fleet.expect(&["history"], 0, "accepted team      lanes");
        fleet.expect(&["history", "team", "clubs"], 0, "");
    }

    row_is_created_and_removed(fleet) {
        fleet.expect(&["set", "target", "m1", "is_leaving=true"], 0, "accepted");
        fleet.expect(&["show"], 0, "is_leaving=true");
        fleet.expect(&["remove", "target", "m1"], 0, "accepted");
        fleet.expect(&["remove", "target", "m1"], 2, "the table has no target m1");
        fleet.expect(&["remove", "operators", "-"], 3, "can't stand in the table");
    }

    wrong_key_is_refused(fleet) {
        let (status, text) = fleet.run_with_key("wrong-key", &["set", "team", "lanes", "weight=2"]);
        assert_eq!(status, 5, "{text}");
    }

    invalid_values_are_reported(fleet) {
        fleet.expect(&["set", "team", "lanes", "weight=x"], 2, "isn't a number");
        fleet.expect(&["set", "team", "lanes", "price_ratio=1"], 2, "no field");
        fleet.expect(&["set", "team", "lanes", "weight=-1"], 3, "can't stand in the table");
        fleet.expect(&["set", "class", "later", "price_ratio=0.5"], 3, "can't be read");
    }

    outage_has_its_exit_code(fleet) {
        fleet.set_faults(standin_log::Faults { append_outage: true, ..Default::default() });
        fleet.expect(&["set", "team", "lanes", "weight=2"], 11, "outage, nothing was changed");
        fleet.set_faults(standin_log::Faults::default());
        fleet.expect(&["show"], 0, "weight=1");
    }

    unknown_outcome_has_its_exit_code(fleet) {
        fleet.set_faults(standin_log::Faults { hang: true, ..Default::default() });
        fleet.expect(&["set", "team", "lanes", "weight=2"], 12, "unknown outcome");
    }

    exported_csv_can_be_edited_and_imported(fleet) {
        let csv = fleet.file("table.csv");
        fleet.expect(&["export", &csv], 0, "");
        fleet.expect(&["import", &csv], 0, "no difference");
        let text = fs::read_to_string(&csv).unwrap();
        let edited = text.replace("team,lanes,0,1,", "team,lanes,0,3,");
        assert_ne!(text, edited, "{text}");
        fs::write(&csv, &edited).unwrap();
        fleet.expect(&["import", &csv], 6, "~ team lanes: weight: \"1\" -> \"3\"");
        fleet.expect(&["show"], 0, "lanes                    v0      weight=1");
        fleet.expect(&["import", &csv, "--yes"], 0, "live routers after");
        fleet.expect(&["show"], 0, "weight=3");
        // The file still has the versions from before the first import.
        fs::write(&csv, edited.replace("team,lanes,0,3,", "team,lanes,0,4,")).unwrap();
        fleet.expect(&["import", &csv, "--yes"], 10, "changed since the export");
        fs::write(&csv, "kind;name;weight\nteam;clubs;2,5\n").unwrap();
        fleet.expect(&["import", &csv, "--yes"], 0, "live routers after");
        fleet.expect(&["show"], 0, "weight=2.5");
    }

    import_reports_all_mistakes(fleet) {
        let csv = fleet.file("table.csv");
        fs::write(&csv, "kind,name,weight\nteam,lanes,x\nteam,clubs,1\nteam,clubs,2\n").unwrap();
        let (status, text) = fleet.run(&["import", &csv, "--yes"]);
        assert_eq!(status, 3, "{text}");
        assert!(text.contains("line 2: weight") && text.contains("line 4: duplicate row team clubs"), "{text}");
        fs::write(&csv, "kind,nom,poids\n").unwrap();
        fleet.expect(&["import", &csv], 3, "column \"name\" is missing");
    }
}

#[test]
fn no_router_is_an_outage() {
    let fleet = Fleet::start();
    let output = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"))
        .args(["table", "show", "--router", "127.0.0.1:1", "--key-file", &fleet.file("key")])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(11));
}
