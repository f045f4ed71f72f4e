//! Generates the documentation page of the result codes.

use std::fmt::Write;

use gentianhinge_core::code::{Ran, ResultCode};

/// Text before the tables.
const INTRODUCTION: &str = "# Result codes

Every answer to a caller carries the header `Gentianhinge-Result` with the number of its result
code, and `Gentianhinge-Request-Id`. An error body repeats both, with the code's name and whether
the request was run:

```json
{\"error\": {\"code\": 200, \"name\": \"waiting-limit\", \"ran\": \"no\", \"message\": \"…\", \"request_id\": \"…\"}}
```

In a stream that breaks off, the same object is the last event, named `error`; the HTTP status was
sent before.

`ran` says `no` only if no target has run the request and none will. `unknown` means that a target
may have run it: send the request again only if it may run twice. `yes` means that a target has run
it.

This page is generated: `cargo run -p gentianhinge-standin -- result-codes > docs/RESULT-CODES.md`.
";

/// The complete page, as Markdown.
pub fn page() -> String {
    let mut out = INTRODUCTION.to_owned();
    let mut last_group = None;
    for &code in ResultCode::ALL {
        let group = group(code);
        if last_group != Some(group) {
            let _ = write!(
                out,
                "\n## {group}\n\n| code | name | status | ran | meaning | send again |\n\
                 |--:|---|--:|---|---|---|\n"
            );
            last_group = Some(group);
        }
        let _ = writeln!(
            out,
            "| {} | `{}` | {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.http_status(),
            code.ran(),
            code.summary(),
            retry_advice(code)
        );
    }
    out
}

/// Heading of the group of codes with the same hundreds digit.
fn group(code: ResultCode) -> &'static str {
    match code.number() / 100 {
        0 => "Success",
        1 => "The request",
        2 => "Limits",
        3 => "The fleet",
        4 => "The target",
        5 => "Calls that may not be repeated",
        _ => "The caller",
    }
}

/// Whether the caller should send the request again.
fn retry_advice(code: ResultCode) -> &'static str {
    match (code, code.ran()) {
        (ResultCode::Ok | ResultCode::CallerLeft, _) => "",
        (ResultCode::InProgress, _) => "later, with the same key",
        (ResultCode::OutcomeUnknown, _) => "no; find out what happened",
        (_, Ran::Unknown | Ran::Yes) => "if it may run twice",
        (ResultCode::BodyTimeout, Ran::No) => "yes",
        (_, Ran::No) if matches!(code.number() / 100, 2 | 3) => "yes, after a pause",
        (_, Ran::No) => "after a correction",
    }
}
