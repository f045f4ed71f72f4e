//! Command line of the program.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gentianhinge-standin"));
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn run(args: &[&str]) -> Output {
    program(args).output().expect("program starts")
}

fn start(args: &[&str]) -> (Process, String) {
    let mut child = program(args).spawn().expect("program starts");
    let mut line = String::new();
    let stdout = child.stdout.take().expect("standard output");
    let process = Process(child);
    BufReader::new(stdout).read_line(&mut line).expect("first line");
    let addr = line.strip_prefix("listening on ").expect("address").trim().to_owned();
    (process, addr)
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    each_server_prints_its_address => {
        for args in [
            &["engine"][..], &["service"], &["log"], &["hosts"], &["relay", "--upstream", "127.0.0.1:1"],
        ] {
            let (_process, addr) = start(args);
            assert!(addr.starts_with("127.0.0.1:") && !addr.ends_with(":0"), "{addr}");
        }
    }

    load_prints_a_report_and_succeeds => {
        let (_engine, addr) = start(&["engine", "--token-ms", "0", "--name", "m"]);
        let url = format!("http://{addr}");
        let output = run(&["load", "--router", &url, "--teams", "2", "--rate", "50", "--model", "m",
            "--seconds", "0.5", "--tokens", "1..5", "--prompt-bytes", "64"]);
        let table = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success() && table.contains("| team-0002 | 1 |"), "{table}");
    }

    load_fails_on_broken_responses => {
        let (_engine, addr) = start(&["engine", "--token-ms", "0", "--name", "other"]);
        let url = format!("http://{addr}");
        let output = run(&["load", "--router", &url, "--model", "m", "--seconds", "0.5"]);
        assert_eq!(output.status.code(), Some(1));
    }

    invalid_options_are_named_in_the_error => {
        for (args, word) in [
            (&["engine", "--token-ms", "fast"][..], "--token-ms"),
            (&["load", "--router", "http://x", "--tokens", "9..3"], "9..3"),
            (&["load"], "--router"),
            (&["relay"], "--upstream"),
        ] {
            let output = run(args);
            assert_eq!(output.status.code(), Some(2));
            assert!(String::from_utf8_lossy(&output.stderr).contains(word));
        }
    }
}
