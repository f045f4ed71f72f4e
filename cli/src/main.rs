//! CLI.
fn main() {}
