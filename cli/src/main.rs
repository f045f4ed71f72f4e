//! Entry point of the `gentianhinge` command line.

use std::env;
use std::process;

fn main() -> process::ExitCode {
    let args = env::args_os().collect();
    gentianhinge::run(args).into()
}
