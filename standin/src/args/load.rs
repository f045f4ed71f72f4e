//! Options of the commands that send requests.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use gentianhinge_standin::load::{Arrivals, Class, Config, Range, ServiceCalls, Team};
use gentianhinge_standin::{demo, latency};
use gentianhinge_wire::settings;

use super::{f64_option, get, option, u32_option, u64_option, usize_option};

pub(super) fn load_command() -> Command {
    let config = Config::default();
    Command::new("load")
        .about("Callers of many teams, and a check of each answer")
        .args(team_args())
        .args(request_args(&config))
        .args(service_args())
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(value_parser!(f64))
                .help("Requests a second of all teams together [default: 10]"),
        )
        .arg(
            Arg::new("closed-loop")
                .long("closed-loop")
                .conflicts_with("rate")
                .value_parser(value_parser!(usize))
                .help("Requests that each team keeps in progress, in place of a rate"),
        )
        .arg(seconds("seconds", "Time for which requests are sent", config.duration))
        .arg(seconds("drain-seconds", "Longest wait for answers after that", config.drain_timeout))
        .arg(u64_option("seed", "Seed of all that is random", config.seed))
}

fn seconds(name: &'static str, help: &'static str, default: Duration) -> Arg {
    f64_option(name, help, default.as_secs_f64())
}

fn team_args() -> Vec<Arg> {
    vec![
        Arg::new("router")
            .long("router")
            .required(true)
            .action(ArgAction::Append)
            .help("Base URL of a router; may be given several times"),
        usize_option("routers-per-team", "Routers that each team calls; 0 for all", 0),
        usize_option("teams", "Number of teams, named team-0001 and so on", 1),
        Arg::new("settings")
            .long("settings")
            .value_parser(value_parser!(PathBuf))
            .conflicts_with_all(["teams", "classes"])
            .help("Takes the teams, weights and classes of a router's settings"),
        option("key-prefix", "Start of each team's key; its name follows", demo::KEY_PREFIX),
        f64_option("skew", "Load of the n-th team is 1 ÷ n to this power", 0),
        Arg::new("classes").long("classes").value_delimiter(',').help("Classes, evenly drawn"),
    ]
}

fn request_args(config: &Config) -> Vec<Arg> {
    let range = |range: Range| format!("{}..{}", range.min, range.max);
    vec![
        option("model", "Name of the model", &config.model),
        option("prompt-bytes", "Length of a prompt, MIN..MAX", range(config.prompt_bytes))
            .value_parser(value_parser!(Range)),
        option("tokens", "Length of an answer, MIN..MAX", range(config.answer_tokens))
            .value_parser(value_parser!(Range)),
        f64_option("streamed", "Share of answers that are streamed", config.streamed_ratio),
    ]
}

fn service_args() -> Vec<Arg> {
    vec![
        Arg::new("service").long("service").help("Plain service that is called, too"),
        option("service-path", "Path of these calls", "/"),
        f64_option("service-ratio", "Share of these calls", 0.1),
        Arg::new("service-keys")
            .long("service-keys")
            .action(ArgAction::SetTrue)
            .help("Sends an idempotency key with each of these calls"),
    ]
}

/// Configuration of a load from its options.
///
/// # Errors
///
/// Fails if the settings can't be read.
pub(crate) fn load_config(matches: &ArgMatches) -> Result<Config, settings::ReadError> {
    let arrivals = match matches.get_one::<usize>("closed-loop") {
        Some(&concurrency) => Arrivals::Closed { concurrency },
        None => {
            let rate = matches.get_one::<f64>("rate").copied();
            Arrivals::Open { requests_per_s: rate.unwrap_or(10.0) }
        }
    };
    let service = matches.get_one::<String>("service").map(|service| ServiceCalls {
        service: service.clone(),
        path: get(matches, "service-path"),
        ratio: get(matches, "service-ratio"),
        has_keys: matches.get_flag("service-keys"),
    });
    let routers = matches.get_many::<String>("router").into_iter().flatten();
    Ok(Config {
        router_urls: routers.map(|url| url.trim_end_matches('/').to_owned()).collect(),
        routers_per_team: get(matches, "routers-per-team"),
        teams: teams(matches)?,
        arrivals,
        model: get(matches, "model"),
        prompt_bytes: get(matches, "prompt-bytes"),
        answer_tokens: get(matches, "tokens"),
        streamed_ratio: get(matches, "streamed"),
        service,
        duration: Duration::from_secs_f64(get(matches, "seconds")),
        drain_timeout: Duration::from_secs_f64(get(matches, "drain-seconds")),
        seed: get(matches, "seed"),
        ..Config::default()
    })
}

fn teams(matches: &ArgMatches) -> Result<Vec<Team>, settings::ReadError> {
    let key_prefix: String = get(matches, "key-prefix");
    let skew: f64 = get(matches, "skew");
    let mut teams = match matches.get_one::<PathBuf>("settings") {
        Some(path) => demo::teams(&settings::read_file(path)?, &key_prefix),
        None => named_teams(matches, &key_prefix),
    };
    for (i, team) in teams.iter_mut().enumerate() {
        team.load_share = ((i + 1) as f64).powf(-skew);
    }
    Ok(teams)
}

fn named_teams(matches: &ArgMatches, key_prefix: &str) -> Vec<Team> {
    let names = matches.get_many::<String>("classes").into_iter().flatten();
    let classes = names.map(|name| Class { name: name.as_str().into(), price_ratio: 1.0 });
    let classes: Vec<_> = classes.collect();
    let teams = (1..=get(matches, "teams")).map(|number: usize| {
        let name = format!("team-{number:04}");
        let key = format!("{key_prefix}{name}");
        Team { classes: classes.clone(), ..Team::new(name, key) }
    });
    teams.collect()
}

pub(super) fn latency_command() -> Command {
    let config = latency::Config::default();
    Command::new("latency")
        .about("What the router adds, against calling the engine directly in the same run")
        .arg(usize_option("streams", "Streams of the first-token part", config.stream_count))
        .arg(usize_option(
            "parallel",
            "Streams at once of the per-chunk part",
            config.parallel_streams,
        ))
        .arg(u32_option("tokens", "Tokens of each of them", config.tokens_per_stream))
        .arg(usize_option("callers", "Callers of the throughput part", config.caller_count))
        .arg(seconds("seconds", "Time of the throughput part, on each way", config.duration))
}

/// Configuration of the latency measurement from its options.
pub(crate) fn latency_config(matches: &ArgMatches) -> latency::Config {
    latency::Config {
        stream_count: get(matches, "streams"),
        parallel_streams: get(matches, "parallel"),
        tokens_per_stream: get(matches, "tokens"),
        caller_count: get(matches, "callers"),
        duration: Duration::from_secs_f64(get(matches, "seconds")),
    }
}

pub(super) fn demo_command() -> Command {
    let config = demo::Config::default();
    Command::new("demo")
        .about("A deployment in one process, with callers that ask for more than there is")
        .arg(usize_option("routers", "Number of routers", config.router_count))
        .arg(seconds("seconds", "Time for which requests are sent", config.duration))
        .arg(u64_option("seed", "Seed of the load", config.seed))
}

/// Configuration of the demonstration from its options.
pub(crate) fn demo_config(matches: &ArgMatches) -> demo::Config {
    demo::Config {
        router_count: get(matches, "routers"),
        duration: Duration::from_secs_f64(get(matches, "seconds")),
        seed: get(matches, "seed"),
        ..demo::Config::default()
    }
}
