//! Metrics and log output.
//!
//! Each router has a metrics recorder of its own, so that several routers in one process don't mix
//! their metrics.

use std::sync;
use std::time::Duration;

use gentianhinge_core::code;
use gentianhinge_core::ids::Flow;
use gentianhinge_wire::settings;
use metrics::Recorder;
use metrics_exporter_prometheus as prometheus;

/// Upper bounds of the histogram buckets, in seconds.
const SECONDS_BUCKETS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.045, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0, 10.0, 30.0, 120.0,
];

/// Upper bounds of the buckets of `gentianhinge_first_event_ratio`.
const RATIO_BUCKETS: [f64; 12] = [0.2, 0.4, 0.6, 0.8, 0.9, 1.0, 1.1, 1.3, 1.6, 2.0, 3.0, 5.0];

/// Interval at which the recorder's internal buffers must be drained.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static METADATA: metrics::Metadata<'_> =
    metrics::Metadata::new(module_path!(), metrics::Level::INFO, Some(module_path!()));

/// Metrics recorder of one router.
pub struct Telemetry {
    recorder: prometheus::PrometheusRecorder,
}

/// Histograms and counters of one team and class.
pub struct FlowMetrics {
    /// Time from arrival until a slot was granted, in seconds.
    pub queue_wait: metrics::Histogram,
    /// Time from arrival to the first token, in seconds.
    pub time_to_first_token: metrics::Histogram,
    /// Time between two consecutive tokens, in seconds.
    pub inter_token_latency: metrics::Histogram,
    /// Time from arrival to the end of the request, in seconds.
    pub request_duration: metrics::Histogram,
    /// Output tokens that were delivered to callers.
    pub output_tokens: metrics::Counter,
    results: Vec<metrics::Counter>,
}

impl std::fmt::Debug for FlowMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FlowMetrics").finish_non_exhaustive()
    }
}

impl FlowMetrics {
    /// Counts a finished request by its result code.
    pub fn count_result(&self, code: code::ResultCode) {
        let index = code::ResultCode::ALL.iter().position(|known| *known == code);
        if let Some(counter) = index.and_then(|index| self.results.get(index)) {
            counter.increment(1);
        }
    }
}

impl Default for Telemetry {
    fn default() -> Telemetry {
        Telemetry::new()
    }
}

impl Telemetry {
    /// Creates a recorder without metrics.
    pub fn new() -> Telemetry {
        let builder = prometheus::PrometheusBuilder::new();
        let ratio = prometheus::Matcher::Full("gentianhinge_first_event_ratio".to_string());
        let builder = builder
            .set_buckets(&SECONDS_BUCKETS)
            .and_then(|builder| builder.set_buckets_for_metric(ratio, &RATIO_BUCKETS));
        let builder = match builder {
            Ok(builder) => builder,
            // Buckets are refused only if the list is empty; the exporter would then use summaries.
            Err(_) => prometheus::PrometheusBuilder::new(),
        };
        Telemetry { recorder: builder.build_recorder() }
    }

    /// Registers the metrics of one team and class.
    pub fn flow_metrics(&self, flow: &Flow) -> FlowMetrics {
        let labels = [("team", flow.team.clone()), ("class", flow.class.clone())];
        let histogram =
            |name: &'static str| self.recorder.register_histogram(&key(name, &labels), &METADATA);
        let results = code::ResultCode::ALL.iter().map(|code| {
            let labels = [labels[0].clone(), labels[1].clone(), ("code", code.name().into())];
            self.recorder.register_counter(&key("gentianhinge_requests_total", &labels), &METADATA)
        });
        let output_key = key("gentianhinge_output_tokens_total", &labels);
        FlowMetrics {
            queue_wait: histogram("gentianhinge_waiting_seconds"),
            time_to_first_token: histogram("gentianhinge_first_token_seconds"),
            inter_token_latency: histogram("gentianhinge_between_tokens_seconds"),
            request_duration: histogram("gentianhinge_whole_seconds"),
            output_tokens: self.recorder.register_counter(&output_key, &METADATA),
            results: results.collect(),
        }
    }

    /// Registers a counter without labels.
    pub fn counter(&self, name: &'static str) -> metrics::Counter {
        self.recorder.register_counter(&metrics::Key::from_name(name), &METADATA)
    }

    /// Registers a counter with labels.
    pub fn labelled_counter(
        &self,
        name: &'static str,
        labels: &[(&'static str, &str)],
    ) -> metrics::Counter {
        self.recorder.register_counter(&labelled_key(name, labels), &METADATA)
    }

    /// Registers a histogram with labels.
    pub fn histogram(
        &self,
        name: &'static str,
        labels: &[(&'static str, &str)],
    ) -> metrics::Histogram {
        self.recorder.register_histogram(&labelled_key(name, labels), &METADATA)
    }

    /// Registers a gauge without labels.
    pub fn gauge(&self, name: &'static str) -> metrics::Gauge {
        self.recorder.register_gauge(&metrics::Key::from_name(name), &METADATA)
    }

    /// Runs `body` with this recorder as the thread's recorder for the `metrics` macros.
    pub fn with_recorder<T>(&self, body: impl FnOnce() -> T) -> T {
        metrics::with_local_recorder(&self.recorder, body)
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.recorder.handle().render()
    }

    /// Drains the recorder's internal buffers; must be called every [`UPKEEP_INTERVAL`].
    pub fn run_upkeep(&self) {
        self.recorder.handle().run_upkeep();
    }
}

fn key(name: &'static str, labels: &[(&'static str, sync::Arc<str>)]) -> metrics::Key {
    let labels = labels.iter().map(|(key, value)| (*key, &**value)).collect::<Vec<_>>();
    labelled_key(name, &labels)
}

fn labelled_key(name: &'static str, labels: &[(&'static str, &str)]) -> metrics::Key {
    let labels = labels.iter().map(|(key, value)| metrics::Label::new(*key, (*value).to_string()));
    metrics::Key::from_parts(name, labels.collect::<Vec<_>>())
}

/// Initializes log output to standard error.
///
/// # Errors
///
/// The filter is invalid, or log output is initialized already.
pub fn init_logs(log: &settings::LogSettings) -> Result<(), String> {
    let filter = tracing_subscriber::EnvFilter::try_new(&log.filter);
    let filter = filter.map_err(|err| format!("log.filter: {err}"))?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let result = match log.format {
        settings::LogSettingsFormat::Json => builder.json().try_init(),
        settings::LogSettingsFormat::Text => builder.try_init(),
    };
    result.map_err(|err| err.to_string())
}
