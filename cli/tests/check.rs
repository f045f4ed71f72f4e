//! Exit codes and output of `gentianhinge check` and `gentianhinge key-hash`.

use std::path;
use std::process;

fn gentianhinge(args: &[&str]) -> process::Output {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_gentianhinge"));
    command.args(args).current_dir(root).stdin(process::Stdio::null()).output().unwrap()
}

/// Defines tests: arguments, exit code, and a part of the output.
macro_rules! cases {
    ($($case:ident: $args:expr, $code:literal, $part:literal;)*) => {$(
        #[test]
        fn $case() {
            let output = gentianhinge(&$args);
            let text = [output.stdout, output.stderr].concat();
            let text = String::from_utf8(text).unwrap();
            assert_eq!(output.status.code(), Some($code), "{text}");
            assert!(text.contains($part), "{text}");
        }
    )*};
}

cases! {
    correct_file: ["check", "examples/quebec.jsonc"], 0, "1 models on 20 targets";
    file_with_mistakes: ["check", "testdata/settings/table.jsonc"], 3,
        "testdata/settings/table.jsonc: line 13: table.teams[0].key_hashes[1]: isn't hexadecimal";
    no_such_file: ["check", "testdata/settings/none.jsonc"], 4, "none.jsonc";
    folder: ["check", "testdata"], 4, "testdata: ";
    wrong_command_line: ["check"], 2, "FILE";
    no_key_to_hash: ["key-hash"], 2, "no key";
}
