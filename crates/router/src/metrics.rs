//! Counters and latency histograms of an instance, as Prometheus text.
//!
//! Labels have few values each: routes and workspaces number hundreds and thousands, and each series
//! costs memory on every instance, so requests are told apart by the length of their prompt and by
//! what became of them.

use std::{fmt, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::FailCause;
use prometheus::{Registry, TextEncoder};

use crate::{
    filter::ResponseBody,
    serve::{ConnectionLimits, Service},
    state::{Configuration, Groups, Lifecycle},
};

/// Bounds of the time histograms in seconds: from a refusal to the longest answer.
const SECONDS: [f64; 14] =
    [0.001, 0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0];

/// How long a connection of a collector may stay idle.
const IDLE: Duration = Duration::from_secs(60);

/// Metrics can't be set up.
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
    first_byte: Histogram<f64>,
    duration: Histogram<f64>,
    registry: Registry,
    // Dropping the provider would end collection.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Instruments of an instance with these beliefs.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] where the exporter refuses its registry.
    pub fn new(
        configuration: &Arc<Configuration>,
        groups: &Arc<Groups>,
        lifecycle: &Arc<Lifecycle>,
    ) -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = exporter.build().map_err(|_| MetricsError)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trefoilhall");
        observe(&meter, configuration, groups, lifecycle);
        Ok(Metrics {
            requests: counter(&meter, "trefoilhall_requests", "requests that ended, by outcome"),
            refusals: counter(&meter, "trefoilhall_refusals", "own answers, by reason"),
            attempts: counter(&meter, "trefoilhall_attempts", "requests sent to endpoints"),
            failures: counter(&meter, "trefoilhall_attempt_failures", "failed attempts, by cause"),
            hedges: counter(&meter, "trefoilhall_hedges", "attempts beside a slow one"),
            first_byte: seconds(&meter, "trefoilhall_first_byte", "time to the first byte"),
            duration: seconds(&meter, "trefoilhall_duration", "time to the end of the answer"),
            registry,
            _provider: provider,
        })
    }

    /// A request ended.
    pub fn ended(&self, outcome: &'static str, prompt: Option<u64>, total: Duration) {
        let labels = [KeyValue::new("outcome", outcome), KeyValue::new("prompt", band(prompt))];
        self.requests.add(1, &labels);
        self.duration.record(total.as_secs_f64(), &labels);
    }

    /// An answer of the instance's own.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// A request goes to an endpoint.
    pub fn sent(&self) {
        self.attempts.add(1, &[]);
    }

    /// An attempt failed.
    pub fn failed(&self, cause: FailCause) {
        self.failures.add(1, &[KeyValue::new("cause", format!("{cause:?}"))]);
    }

    /// Another endpoint is asked beside a slow one.
    pub fn hedged(&self) {
        self.hedges.add(1, &[]);
    }

    /// The first byte of an answer came.
    pub fn first_byte_received(&self, prompt: Option<u64>, taken: Duration) {
        let labels = [KeyValue::new("prompt", band(prompt))];
        self.first_byte.record(taken.as_secs_f64(), &labels);
    }

    /// Everything as Prometheus text.
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

/// The band of prompt lengths that figures are broken down by.
fn band(prompt: Option<u64>) -> &'static str {
    match prompt {
        None => "none",
        Some(0..=12_000) => "to_12k",
        Some(12_001..=120_000) => "to_120k",
        Some(120_001..=450_000) => "to_450k",
        Some(_) => "over_450k",
    }
}

fn observe(
    meter: &Meter,
    configuration: &Arc<Configuration>,
    groups: &Arc<Groups>,
    lifecycle: &Arc<Lifecycle>,
) {
    let known = configuration.clone();
    let age = meter.f64_observable_gauge("trefoilhall_configuration_age");
    age.with_description("seconds since the configuration was known to be the newest")
        .with_callback(move |gauge| {
            gauge.observe(known.age().map_or(-1.0, |age| age.as_secs_f64()), &[]);
        })
        .build();
    let known = configuration.clone();
    let version = meter.u64_observable_gauge("trefoilhall_configuration_version");
    version
        .with_description("version of the configuration in force")
        .with_callback(move |gauge| gauge.observe(known.table().version.0, &[]))
        .build();
    let lifecycle = lifecycle.clone();
    let open = meter.u64_observable_gauge("trefoilhall_requests_under_way");
    open.with_description("requests under way")
        .with_callback(move |gauge| gauge.observe(lifecycle.in_flight() as u64, &[]))
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

fn counter(meter: &Meter, name: &'static str, text: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(text).build()
}

fn seconds(meter: &Meter, name: &'static str, text: &'static str) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_description(text).with_unit("s");
    histogram.with_boundaries(SECONDS.to_vec()).build()
}

/// Answers collectors.
pub(crate) struct MetricsPage {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) lifecycle: Arc<Lifecycle>,
}

impl Service for MetricsPage {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        if req.method() != Method::GET || req.uri().path() != "/metrics" {
            let mut resp = Response::new(ResponseBody::whole(bytes::Bytes::new()));
            *resp.status_mut() = StatusCode::NOT_FOUND;
            return resp;
        }
        Response::new(ResponseBody::whole(bytes::Bytes::from(self.metrics.to_text())))
    }

    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits { max_head_bytes: 0, idle_timeout: IDLE }
    }

    fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }
}
