//! `gentianhinge key-hash`: computes the hash of a key, as the table stores it.

use std::io;

use crate::exit::Exit;

/// Reads a key from standard input and prints its hash.
///
/// The key isn't an argument because other users of the host can see a process's arguments.
pub fn run() -> Exit {
    let mut key = String::new();
    if let Err(err) = io::stdin().read_line(&mut key) {
        eprintln!("standard input: {err}");
        return Exit::Unreadable;
    }
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        eprintln!("standard input: no key in the first line");
        return Exit::Usage;
    }
    println!("{}", blake3::hash(key.as_bytes()).to_hex());
    Exit::Ok
}
