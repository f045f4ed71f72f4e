//! `gentianhinge status`: the state of a router on the platform.

use std::io::{Read, Write};
use std::net;
use std::time::Duration;

use serde_json::Value;

use crate::exit::Exit;

/// Timeout for connecting to a router and for each read from it.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the status of the first router that responds.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let routers = matches.get_many::<net::SocketAddr>("router").into_iter().flatten();
    for router in routers {
        match fetch(*router) {
            Ok(status) if matches.get_flag("json") => println!("{status}"),
            Ok(status) => print!("{}", format_status(&status)),
            Err(message) => {
                eprintln!("{router}: {message}");
                continue;
            }
        }
        return Exit::Ok;
    }
    Exit::Outage
}

fn fetch(router: net::SocketAddr) -> Result<Value, String> {
    let mut stream =
        net::TcpStream::connect_timeout(&router, TIMEOUT).map_err(|err| err.to_string())?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(|err| err.to_string())?;
    let request = format!("GET /status HTTP/1.1\r\nHost: {router}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(|err| err.to_string())?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(|err| err.to_string())?;
    let (_, body) = response.split_once("\r\n\r\n").ok_or("the response has no body")?;
    serde_json::from_str(body).map_err(|err| format!("invalid response: {err}"))
}

/// Formats an evacuation as a line: how far it has come.
fn format_evacuation(evacuation: &Value) -> String {
    let zone = evacuation["zone"].as_str().unwrap_or_default();
    let seconds = evacuation["for_ms"].as_f64().unwrap_or_default() / 1e3;
    let progress = match (evacuation["targets"].as_u64(), evacuation["empty"].as_bool()) {
        (Some(0), _) => "no targets",
        (_, Some(true)) => "empty",
        _ => "not empty yet",
    };
    format!(
        "evacuation of zone {zone} for {seconds:.1} s: {progress}, {} targets, {} requests in flight, {} of them from this router\n",
        evacuation["targets"], evacuation["requests"], evacuation["own_requests"],
    )
}

/// Formats a status as text: the router, its evacuations, then a line for each target.
fn format_status(status: &Value) -> String {
    let text =
        |value: &Value| value.as_str().map_or_else(|| value.to_string(), ToString::to_string);
    let mut out = format!(
        "router {}, zone {}, {}, ready {}, configuration {}, {} routers\n",
        text(&status["router"]),
        text(&status["zone"]),
        text(&status["phase"]),
        status["ready"],
        status["config_version"],
        status["routers"],
    );
    for evacuation in status["evacuations"].as_array().into_iter().flatten() {
        out += &format_evacuation(evacuation);
    }
    for target in status["targets"].as_array().into_iter().flatten() {
        let mut flags = String::new();
        for flag in ["leaving", "ejected"] {
            if target[flag] == true {
                flags += " ";
                flags += flag;
            }
        }
        if let Some(tokens_per_ms) = target["tokens_per_ms"].as_f64() {
            flags += &format!(", {tokens_per_ms:.1} prompt tokens per ms");
        }
        if let Some(percent) = target["host_percent"].as_u64() {
            flags += &format!(", host at {percent}% of the usual time");
        }
        out += &format!(
            "  {} of {} at {} in {}: {} running of {}, {} unprocessed prompt tokens{flags}\n",
            text(&target["id"]),
            text(&target["service"]),
            text(&target["addr"]),
            text(&target["zone"]),
            target["running"],
            target["slots"],
            target["unread_tokens"],
        );
    }
    out
}
