//! The program of the scripts `run.sh` of this review: `stand-in case-N`, and `stand-in server …` for the
//! servers, which are processes of their own.

mod bodies;
mod foreign;
mod garbled;
#[allow(dead_code)]
mod kit;
mod server;
mod unframed;

fn main() {
    let args = std::env::args().skip(1).collect::<Vec<_>>();
    // A case that panics couldn't run; what it started ends as the stack unwinds.
    let code = std::panic::catch_unwind(|| run(&args)).unwrap_or(2);
    std::process::exit(code);
}

fn run(args: &[String]) -> i32 {
    match args.first().map(String::as_str) {
        Some("server") => server::run(&args[1..]),
        Some("case-11") => garbled::run("review/11"),
        Some("case-12") => unframed::run("review/12"),
        Some("case-13") => bodies::run("review/13"),
        Some("case-14") => foreign::run("review/14"),
        _ => 2,
    }
}
