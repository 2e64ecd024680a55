//! Counters and latency histograms of an instance, as Prometheus text.
//!
//! Each label has few values. There are hundreds of routes and thousands of workspaces, and each
//! series costs memory on every instance, so requests are distinguished only by prompt length and
//! outcome, and usage is shown for the largest workspaces only.

use std::{fmt, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::{FailCause, waiting::Class};
use prometheus::{Registry, TextEncoder};

use crate::{
    clock::Clock,
    filter::ResponseBody,
    request_body::RequestBody,
    resources::Resources,
    serve::{ConnectionLimits, MIN_BUFFER_BYTES, Service},
    state::{Configuration, Groups, Lifecycle},
};

/// Bucket bounds of the time histograms in seconds: from a refusal to the longest answer.
const HISTOGRAM_BOUNDS_S: [f64; 14] =
    [0.001, 0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0];

/// Number of workspaces per group whose usage is shown.
const SHOWN_WORKSPACES: usize = 16;

/// Idle timeout of a collector's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The metrics can't be set up.
#[derive(Debug)]
pub struct MetricsError;

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the metrics can't be set up")
    }
}

impl std::error::Error for MetricsError {}

/// All instruments of one instance.
#[derive(Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    failures: Counter<u64>,
    hedges: Counter<u64>,
    retries: Counter<u64>,
    forwards: Counter<u64>,
    waited: Histogram<f64>,
    returns_promised: Counter<u64>,
    returned: Counter<u64>,
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    registry: Registry,
    // Dropping the provider would end collection.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments; the gauges read from the given state.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the exporter can't be set up.
    pub fn new(
        configuration: &Arc<Configuration>,
        groups: &Arc<Groups>,
        lifecycle: &Arc<Lifecycle>,
        resources: &Arc<Resources>,
        clock: Clock,
    ) -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = exporter.build().map_err(|_| MetricsError)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trefoilhall");
        register_gauges(&meter, configuration, groups, lifecycle);
        register_usage(&meter, groups, clock);
        register_resources(&meter, resources);
        Ok(Metrics {
            requests: counter(&meter, "trefoilhall_requests", "requests that ended, by outcome"),
            refusals: counter(&meter, "trefoilhall_refusals", "own answers, by reason"),
            attempts: counter(&meter, "trefoilhall_attempts", "requests sent to endpoints"),
            failures: counter(&meter, "trefoilhall_attempt_failures", "failed attempts, by cause"),
            hedges: counter(&meter, "trefoilhall_hedges", "attempts beside a slow one"),
            retries: counter(
                &meter,
                "trefoilhall_retries",
                "retries taken from the budget or denied, by outcome",
            ),
            forwards: counter(&meter, "trefoilhall_forwards", "requests passed on to peers"),
            waited: seconds_histogram(&meter, "trefoilhall_waited", "time spent waiting for room"),
            returns_promised: counter(
                &meter,
                "trefoilhall_returns_promised",
                "refused requests told when to retry, by whether capacity was reserved",
            ),
            returned: counter(&meter, "trefoilhall_returned", "retries after refusal, by outcome"),
            first_byte: seconds_histogram(
                &meter,
                "trefoilhall_first_byte",
                "time to the first byte",
            ),
            duration: seconds_histogram(
                &meter,
                "trefoilhall_duration",
                "time to the end of the answer",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Counts a finished request and records its total time.
    pub fn ended(&self, outcome: &'static str, prompt: Option<u64>, total: Duration) {
        let labels =
            [KeyValue::new("outcome", outcome), KeyValue::new("prompt", prompt_band(prompt))];
        self.requests.add(1, &labels);
        self.duration.record(total.as_secs_f64(), &labels);
    }

    /// Counts a request that the instance answered itself instead of forwarding it.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt that is sent to an endpoint.
    pub fn sent(&self) {
        self.attempts.add(1, &[]);
    }

    /// Counts a failed attempt.
    pub fn failed(&self, cause: FailCause) {
        self.failures.add(1, &[KeyValue::new("cause", format!("{cause:?}"))]);
    }

    /// Counts a retry that the budget allows or denies.
    pub fn retry_decided(&self, is_allowed: bool) {
        let outcome = if is_allowed { "allowed" } else { "denied" };
        self.retries.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a hedge: another attempt while the first one is slow.
    pub fn hedged(&self) {
        self.hedges.add(1, &[]);
    }

    /// Counts a request that is passed on to a peer.
    pub fn forwarded(&self) {
        self.forwards.add(1, &[]);
    }

    /// Records how long a request waited for room, and what ended that.
    pub fn waited(&self, class: Class, outcome: &'static str, waited: Duration) {
        let labels = [KeyValue::new("class", class.as_str()), KeyValue::new("outcome", outcome)];
        self.waited.record(waited.as_secs_f64(), &labels);
    }

    /// Counts a refused request that is told when to retry.
    pub fn return_promised(&self, is_booked: bool) {
        let capacity = if is_booked { "booked" } else { "overbooked" };
        self.returns_promised.add(1, &[KeyValue::new("capacity", capacity)]);
    }

    /// Counts a request that was refused before, by what became of it now.
    pub fn returned(&self, outcome: &'static str) {
        self.returned.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time to the first byte of an answer.
    pub fn first_byte_received(&self, prompt: Option<u64>, elapsed: Duration) {
        let labels = [KeyValue::new("prompt", prompt_band(prompt))];
        self.first_byte.record(elapsed.as_secs_f64(), &labels);
    }

    /// All metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(e) => {
                log::warn!(cause:% = e; "metrics_not_written");
                String::new()
            }
        }
    }
}

/// The band of prompt lengths by which requests are counted.
fn prompt_band(prompt: Option<u64>) -> &'static str {
    match prompt {
        None => "none",
        Some(0..=12_000) => "to_12k",
        Some(12_001..=120_000) => "to_120k",
        Some(120_001..=450_000) => "to_450k",
        Some(_) => "over_450k",
    }
}

fn register_gauges(
    meter: &Meter,
    configuration: &Arc<Configuration>,
    groups: &Arc<Groups>,
    lifecycle: &Arc<Lifecycle>,
) {
    let in_force = configuration.clone();
    let age = meter.f64_observable_gauge("trefoilhall_configuration_age");
    age.with_description("seconds since the configuration was known to be the newest")
        .with_callback(move |gauge| {
            gauge.observe(in_force.age().map_or(-1.0, |age| age.as_secs_f64()), &[]);
        })
        .build();
    let in_force = configuration.clone();
    let version = meter.u64_observable_gauge("trefoilhall_configuration_version");
    version
        .with_description("version of the configuration in force")
        .with_callback(move |gauge| gauge.observe(in_force.table().version.0, &[]))
        .build();
    let lifecycle = lifecycle.clone();
    let open = meter.u64_observable_gauge("trefoilhall_requests_under_way");
    open.with_description("requests under way")
        .with_callback(move |gauge| gauge.observe(lifecycle.in_flight() as u64, &[]))
        .build();
    let waiting_groups = groups.clone();
    let waiting = meter.u64_observable_gauge("trefoilhall_waiting");
    waiting
        .with_description("requests that wait for room, by group and class")
        .with_callback(move |gauge| {
            for group in waiting_groups.all() {
                let line = crate::lock(&group.waiting);
                for class in [Class::Short, Class::Middle, Class::Long] {
                    let labels = [
                        KeyValue::new("group", group.name.as_str().to_owned()),
                        KeyValue::new("class", class.as_str()),
                    ];
                    gauge.observe(line.count(class) as u64, &labels);
                }
            }
        })
        .build();
    let groups = groups.clone();
    let usable = meter.u64_observable_gauge("trefoilhall_endpoints_usable");
    usable
        .with_description("endpoints that may get work, by group")
        .with_callback(move |gauge| {
            for group in groups.all() {
                let usable = crate::lock(&group.scheduler).usable_endpoints() as u64;
                gauge.observe(usable, &[KeyValue::new("group", group.name.as_str().to_owned())]);
            }
        })
        .build();
}

/// Registers what callers make the instance hold, and how often room was short.
fn register_resources(meter: &Meter, resources: &Arc<Resources>) {
    let used = resources.clone();
    let connections = meter.u64_observable_gauge("trefoilhall_connections");
    connections
        .with_description("open connections of all listeners")
        .with_callback(move |gauge| gauge.observe(used.usage().connections as u64, &[]))
        .build();
    let used = resources.clone();
    let buffered = meter.u64_observable_gauge("trefoilhall_buffered_bytes");
    buffered
        .with_description("bytes buffered for callers")
        .with_callback(move |gauge| gauge.observe(used.usage().buffered_bytes as u64, &[]))
        .build();
    let used = resources.clone();
    let closed = meter.u64_observable_counter("trefoilhall_connections_closed");
    closed
        .with_description("connections closed or refused because room was short, by cause")
        .with_callback(move |counter| {
            let totals = used.usage().totals;
            for (cause, count) in [
                ("connections", totals.evicted_for_connections),
                ("memory", totals.evicted_for_memory),
                ("refused", totals.refused_connections),
            ] {
                counter.observe(count, &[KeyValue::new("cause", cause)]);
            }
        })
        .build();
}

/// Registers the recent usage of the largest workspaces. All of them would be too many series.
fn register_usage(meter: &Meter, groups: &Arc<Groups>, clock: Clock) {
    let groups = groups.clone();
    let usage = meter.f64_observable_gauge("trefoilhall_workspace_usage");
    usage
        .with_description("recent milliseconds of engines' time, by group and workspace")
        .with_callback(move |gauge| {
            for group in groups.all() {
                let largest = crate::lock(&group.shares).largest(SHOWN_WORKSPACES, clock.now());
                for (workspace, used_ms) in largest {
                    let labels = [
                        KeyValue::new("group", group.name.as_str().to_owned()),
                        KeyValue::new("workspace", workspace.as_str().to_owned()),
                    ];
                    gauge.observe(used_ms, &labels);
                }
            }
        })
        .build();
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn seconds_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_description(description).with_unit("s");
    histogram.with_boundaries(HISTOGRAM_BOUNDS_S.to_vec()).build()
}

/// Serves the metrics to collectors.
pub(crate) struct MetricsPage {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl Service for MetricsPage {
    async fn respond(&self, req: Request<RequestBody>) -> Response<ResponseBody> {
        if req.method() != Method::GET || req.uri().path() != "/metrics" {
            let mut resp = Response::new(ResponseBody::whole(bytes::Bytes::new()));
            *resp.status_mut() = StatusCode::NOT_FOUND;
            return resp;
        }
        Response::new(ResponseBody::whole(bytes::Bytes::from(self.metrics.to_text())))
    }

    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_head_bytes: MIN_BUFFER_BYTES,
            head_timeout: IDLE_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }
}
