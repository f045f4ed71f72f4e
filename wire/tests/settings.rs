//! Validation of settings texts.

use std::fs;
use std::path;

use gentianhinge_wire::{record, settings};

/// Reads a file of the workspace by its path relative to the root.
fn read(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_to_string(root.join(name)).unwrap()
}

fn mistakes_of(text: &str) -> String {
    let mistakes = settings::parse(text).err().unwrap_or_default();
    mistakes.iter().map(|mistake| format!("{mistake}\n")).collect()
}

fn many_unknown_keys() -> String {
    let keys = (0..100_000).map(|i| format!("\"k{i}\": 1,\n")).collect::<String>();
    format!("{{{keys}}}")
}

/// Defines tests: a text in `testdata/settings`, with all its expected mistakes in the file
/// `*.mistakes` next to it.
macro_rules! mistakes {
    ($($case:ident: $file:literal;)*) => {$(
        #[test]
        fn $case() {
            let text = read(concat!("testdata/settings/", $file, ".jsonc"));
            let expected = read(concat!("testdata/settings/", $file, ".mistakes"));
            assert_eq!(mistakes_of(&text), expected);
        }
    )*};
}

mistakes! {
    smallest_valid_text: "smallest";
    types_bounds_and_keys: "types-and-keys";
    addresses: "addresses";
    names: "names";
    table: "table";
    missing_comma: "missing-comma";
    truncated: "cut-off";
    empty: "empty";
    other_dialect: "other-dialect";
}

/// Defines tests: an example file, which must be valid with 20 targets of one model, 3 targets of one
/// service and 16 teams.
macro_rules! examples {
    ($($case:ident: $file:literal;)*) => {$(
        #[test]
        fn $case() {
            let settings = settings::parse(&read($file)).unwrap();
            assert_eq!(settings.models[0].targets.len(), 20);
            assert_eq!(settings.services[0].targets.len(), 3);
            assert!(settings.services[0].routes.iter().any(|route| !route.repeatable));
            let table = record::table_from_settings(&settings.table);
            assert_eq!(table.teams.len(), 16);
            assert_eq!(table.classes.len(), 3);
            assert_eq!(table.operator_key_hashes.len(), 1);
            assert_eq!(table.default_class().unwrap().as_ref(), settings.table.classes[0].name);
        }
    )*};
}

examples! {
    quebec_example_is_valid: "examples/quebec.jsonc";
    dakar_example_is_valid: "examples/dakar.jsonc";
}

/// Defines tests: a hostile text, which must be rejected without a panic and with a bounded message.
macro_rules! hostile {
    ($($case:ident: $text:expr, $message:literal;)*) => {$(
        #[test]
        fn $case() {
            let mistakes = mistakes_of(&String::from($text));
            assert!(mistakes.contains($message), "{}", &mistakes[..mistakes.len().min(500)]);
            assert!(mistakes.len() < 1 << 20, "{} bytes of mistakes", mistakes.len());
        }
    )*};
}

hostile! {
    deep_arrays: "[".repeat(1 << 20), "Maximum nesting depth exceeded";
    deep_objects: "{\"a\":".repeat(1 << 20), "Maximum nesting depth exceeded";
    deepest_nesting_that_is_parsed: format!("{}{}", "[".repeat(500), "]".repeat(500)), "line 1";
    too_long: " ".repeat(settings::MAX_SETTINGS_BYTES + 1), "longer than";
    long_string: format!("{{\"router\": \"{}\"}}", "x".repeat(1 << 20)), "is not of type";
    many_mistakes: many_unknown_keys(), "unknown key";
    control_characters: "\u{0}\u{feff}{", "line 1";
}

#[test]
fn truncated_or_damaged_examples_do_not_panic() {
    let text = read("examples/quebec.jsonc");
    let mut at = 0;
    while at < text.len() {
        if text.is_char_boundary(at) {
            let (before, after) = text.split_at(at);
            assert!(settings::parse(before).is_err());
            let rest = after.char_indices().nth(7).map_or("", |(skip, _)| &after[skip..]);
            let _ = settings::parse(&format!("{before}{rest}"));
        }
        at += 97;
    }
}

/// Guards against an omitted section taking the defaults of its Rust types instead of the schema's.
#[test]
fn omitted_sections_have_the_schema_defaults() {
    let text = include_str!("../../testdata/settings/smallest.jsonc");
    let parsed = settings::parse(text).unwrap();
    assert_eq!(format!("{:?}", parsed.callers), format!("{:?}", settings::Callers::default()));
    assert_eq!(format!("{:?}", parsed.control), format!("{:?}", settings::Control::default()));
    assert_eq!(format!("{:?}", parsed.peers), format!("{:?}", settings::Peers::default()));
    assert_eq!(format!("{:?}", parsed.platform), format!("{:?}", settings::Platform::default()));
    assert_eq!(format!("{:?}", parsed.upstream), format!("{:?}", settings::Upstream::default()));
    assert_eq!(format!("{:?}", parsed.log), format!("{:?}", settings::LogSettings::default()));
}
