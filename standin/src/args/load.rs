//! Options of the commands `load`, `latency` and `demo`, which send requests.

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
        .about("Sends requests of many teams and checks each response")
        .args(team_args())
        .args(request_args(&config))
        .args(service_args())
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(value_parser!(f64))
                .help("Total requests per second of all teams [default: 10]"),
        )
        .arg(
            Arg::new("closed-loop")
                .long("closed-loop")
                .conflicts_with("rate")
                .value_parser(value_parser!(usize))
                .help("Number of requests that each team keeps in progress, instead of a rate"),
        )
        .arg(seconds("seconds", "Time during which requests are sent", config.duration))
        .arg(seconds(
            "drain-seconds",
            "Maximum time to wait for responses after that",
            config.drain_timeout,
        ))
        .arg(u64_option("seed", "Random seed", config.seed))
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
            .help("Base URL of a router; can be given several times"),
        usize_option("routers-per-team", "Number of routers that each team calls; 0 for all", 0),
        usize_option("teams", "Number of teams, named team-0001 and so on", 1),
        Arg::new("settings")
            .long("settings")
            .value_parser(value_parser!(PathBuf))
            .conflicts_with_all(["teams", "classes"])
            .help("Reads teams, weights and classes from a settings file of a router"),
        option(
            "key-prefix",
            "Prefix of each team's API key; the team's name follows",
            demo::KEY_PREFIX,
        ),
        f64_option(
            "skew",
            "Exponent s of the teams' load: the n-th team has a load share of 1 ÷ n^s",
            0,
        ),
        Arg::new("classes")
            .long("classes")
            .value_delimiter(',')
            .help("Classes of the requests, uniformly distributed"),
    ]
}

fn request_args(config: &Config) -> Vec<Arg> {
    let range = |range: Range| format!("{}..{}", range.min, range.max);
    vec![
        option("model", "Name of the model", &config.model),
        option("prompt-bytes", "Length of prompts in bytes, MIN..MAX", range(config.prompt_bytes))
            .value_parser(value_parser!(Range)),
        option("tokens", "Length of responses in tokens, MIN..MAX", range(config.response_tokens))
            .value_parser(value_parser!(Range)),
        f64_option(
            "streamed",
            "Ratio of requests whose responses are streamed",
            config.streamed_ratio,
        ),
    ]
}

fn service_args() -> Vec<Arg> {
    vec![
        Arg::new("service").long("service").help("Plain service to call in addition to the model"),
        option("service-path", "Path of the service calls", "/"),
        f64_option("service-ratio", "Ratio of requests that are service calls", 0.1),
        Arg::new("service-keys")
            .long("service-keys")
            .action(ArgAction::SetTrue)
            .help("Sends a unique idempotency key with each service call"),
    ]
}

/// Configuration of a load from its options.
///
/// # Errors
///
/// Fails if the settings file can't be read or is invalid.
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
        response_tokens: get(matches, "tokens"),
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
        .about("Measures the router's overhead, compared with calling the engine directly")
        .arg(usize_option(
            "streams",
            "Number of sequential streams for the first-token measurement",
            config.stream_count,
        ))
        .arg(usize_option(
            "parallel",
            "Number of concurrent streams for the per-chunk measurement",
            config.parallel_streams,
        ))
        .arg(u32_option(
            "tokens",
            "Tokens of each stream of the per-chunk measurement",
            config.tokens_per_stream,
        ))
        .arg(usize_option(
            "callers",
            "Number of concurrent callers of the throughput measurement",
            config.caller_count,
        ))
        .arg(seconds("seconds", "Time of the throughput measurement on each path", config.duration))
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
        .about("Runs a deployment in one process with callers whose demand exceeds its capacity")
        .arg(usize_option("routers", "Number of routers", config.router_count))
        .arg(seconds("seconds", "Time during which requests are sent", config.duration))
        .arg(u64_option("seed", "Random seed of the load", config.seed))
}

/// Configuration of a demonstration from its options.
pub(crate) fn demo_config(matches: &ArgMatches) -> demo::Config {
    demo::Config {
        router_count: get(matches, "routers"),
        duration: Duration::from_secs_f64(get(matches, "seconds")),
        seed: get(matches, "seed"),
        ..demo::Config::default()
    }
}
