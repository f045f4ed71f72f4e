//! Command-line options of the program.

mod load;

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use gentianhinge_standin::{engine, hosts, log, relay, service};

pub(crate) use load::{demo_config, latency_config, load_config};

/// Defines the commands of the program.
pub(crate) fn command() -> Command {
    Command::new("gentianhinge-standin")
        .about("Simulated targets, platform and callers of gentianhinge; development only")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(engine_command())
        .subcommand(service_command())
        .subcommand(log_command())
        .subcommand(hosts_command())
        .subcommand(relay_command())
        .subcommand(load::load_command())
        .subcommand(load::latency_command())
        .subcommand(load::demo_command())
        .subcommand(Command::new("result-codes").about("Prints the page docs/RESULT-CODES.md"))
}

/// Defines an option with a default value.
pub(crate) fn option(name: &'static str, help: &'static str, default: impl ToString) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default.to_string())
}

/// Defines an option of type `usize`.
pub(crate) fn usize_option(name: &'static str, help: &'static str, default: impl ToString) -> Arg {
    option(name, help, default).value_parser(value_parser!(usize))
}

/// Defines an option of type `u64`.
pub(crate) fn u64_option(name: &'static str, help: &'static str, default: impl ToString) -> Arg {
    option(name, help, default).value_parser(value_parser!(u64))
}

/// Defines an option of type `u32`.
pub(crate) fn u32_option(name: &'static str, help: &'static str, default: impl ToString) -> Arg {
    option(name, help, default).value_parser(value_parser!(u32))
}

/// Defines an option of type `f64`.
pub(crate) fn f64_option(name: &'static str, help: &'static str, default: impl ToString) -> Arg {
    option(name, help, default).value_parser(value_parser!(f64))
}

/// Value of an option with a default.
pub(crate) fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("option has a default")
}

fn listen() -> Arg {
    option("listen", "IP address and port to listen on; port 0 selects a free one", "127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
}

fn engine_command() -> Command {
    let config = engine::Config::default();
    Command::new("engine")
        .about("Runs an inference engine with batching, prefix cache and resumable streams")
        .arg(listen())
        .arg(option("name", "Name of the model", config.model))
        .arg(usize_option(
            "slots",
            "Maximum number of streams in the batch",
            config.max_running_count,
        ))
        .arg(usize_option(
            "max-waiting",
            "Maximum number of queued requests",
            config.max_waiting_count,
        ))
        .arg(f64_option(
            "token-ms",
            "Duration of a step with one stream; 0 responds immediately",
            config.token_ms,
        ))
        .arg(f64_option(
            "batch-growth",
            "Relative increase of the step duration for each additional stream",
            config.batch_growth_ratio,
        ))
        .arg(f64_option(
            "prefill-token-ms",
            "Prefill time of a prompt token that isn't cached",
            config.prefill_token_ms,
        ))
        .arg(usize_option(
            "cache-blocks",
            "Capacity of the prefix cache in blocks",
            config.max_cached_blocks,
        ))
        .arg(u64_option("load-lag-ms", "Interval and delay of load reports", config.load_lag_ms))
        .arg(u64_option(
            "event-lag-ms",
            "Delay until a cache event is visible",
            config.cache_event_lag_ms,
        ))
        .arg(f64_option(
            "event-loss",
            "Ratio of cache events that are lost",
            config.cache_event_loss_ratio,
        ))
        .arg(u64_option(
            "resume-window-ms",
            "Time for which a stream without a reader continues",
            config.resume_window_ms,
        ))
        .arg(u32_option(
            "default-max-tokens",
            "Maximum response length in tokens for requests that state none",
            config.default_max_tokens,
        ))
        .arg(u64_option("seed", "Random seed for the loss of cache events", config.seed))
}

/// Configuration of an engine from its options.
pub(crate) fn engine_config(matches: &ArgMatches) -> engine::Config {
    engine::Config {
        listen: get(matches, "listen"),
        model: get(matches, "name"),
        max_running_count: get(matches, "slots"),
        max_waiting_count: get(matches, "max-waiting"),
        token_ms: get(matches, "token-ms"),
        batch_growth_ratio: get(matches, "batch-growth"),
        prefill_token_ms: get(matches, "prefill-token-ms"),
        max_cached_blocks: get(matches, "cache-blocks"),
        load_lag_ms: get(matches, "load-lag-ms"),
        cache_event_lag_ms: get(matches, "event-lag-ms"),
        cache_event_loss_ratio: get(matches, "event-loss"),
        resume_window_ms: get(matches, "resume-window-ms"),
        default_max_tokens: get(matches, "default-max-tokens"),
        seed: get(matches, "seed"),
    }
}

fn service_command() -> Command {
    let config = service::Config::default();
    Command::new("service")
        .about("Runs a plain service that counts the effects of its calls")
        .arg(listen())
        .arg(u64_option("latency-ms", "Processing time of each call", config.latency_ms))
        .arg(usize_option(
            "slots",
            "Maximum number of concurrent calls stated in the load report",
            config.max_running_count,
        ))
}

/// Configuration of a service from its options.
pub(crate) fn service_config(matches: &ArgMatches) -> service::Config {
    service::Config {
        listen: get(matches, "listen"),
        latency_ms: get(matches, "latency-ms"),
        max_running_count: get(matches, "slots"),
    }
}

fn log_command() -> Command {
    let config = log::Config::default();
    Command::new("log")
        .about("Runs an append-only log service")
        .arg(listen())
        .arg(u32_option("appends-per-s", "Maximum appends per second", config.max_appends_per_s))
        .arg(u64_option("retention-ms", "Retention time of a record", config.retention_ms))
        .arg(usize_option("max-record-bytes", "Maximum size of a record", config.max_record_bytes))
        .arg(u64_option("latency-ms", "Processing time of each call", config.latency_ms))
}

/// Configuration of a log service from its options.
pub(crate) fn log_config(matches: &ArgMatches) -> log::Config {
    log::Config {
        listen: get(matches, "listen"),
        max_appends_per_s: get(matches, "appends-per-s"),
        retention_ms: get(matches, "retention-ms"),
        max_record_bytes: get(matches, "max-record-bytes"),
        latency_ms: get(matches, "latency-ms"),
    }
}

fn hosts_command() -> Command {
    let config = hosts::Config::default();
    Command::new("hosts")
        .about("Runs a host list with a propagation delay")
        .arg(listen())
        .arg(u64_option("lag-ms", "Propagation delay of a change", config.lag_ms))
}

/// Configuration of a host list from its options.
pub(crate) fn hosts_config(matches: &ArgMatches) -> hosts::Config {
    hosts::Config { listen: get(matches, "listen"), lag_ms: get(matches, "lag-ms") }
}

fn relay_command() -> Command {
    Command::new("relay")
        .about("Runs a TCP relay that injects network faults")
        .arg(listen())
        .arg(
            option("control", "IP address and port of the HTTP control interface", "127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("upstream")
                .long("upstream")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port that connections are forwarded to"),
        )
}

/// Configuration of a relay from its options.
pub(crate) fn relay_config(matches: &ArgMatches) -> relay::Config {
    relay::Config {
        listen: get(matches, "listen"),
        upstream: get(matches, "upstream"),
        control: get(matches, "control"),
    }
}
