//! Metrics, collected with opentelemetry and exported as Prometheus text at `/metrics`.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use policy::{Deployment, FailCause, Tokens, Workspace};
use prometheus::{Registry, TextEncoder};

use crate::record::RequestSummary;

/// Bucket bounds of the duration histograms, in seconds: from a refused request to the longest
/// review.
const DURATION_BUCKETS_S: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, 600.0,
];

/// The instruments of one instance.
#[derive(Debug)]
pub struct Metrics {
    /// The number of requests in flight.
    pub requests_in_flight: UpDownCounter<i64>,
    /// The number of open connections of callers.
    pub connections: UpDownCounter<i64>,
    requests: Counter<u64>,
    attempt_failures: Counter<u64>,
    at_most_once_calls: Counter<u64>,
    first_token: Histogram<f64>,
    duration: Histogram<f64>,
    registry: Registry,
    // Kept because dropping the provider would end collection.
    _provider: SdkMeterProvider,
}

/// The metrics exporter can't be set up.
#[derive(Debug)]
pub struct MetricsError;

impl std::fmt::Display for MetricsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the metrics can't be set up")
    }
}

impl std::error::Error for MetricsError {}

impl Metrics {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if the exporter can't use the registry.
    pub fn new() -> Result<Metrics, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let exporter = exporter.build().map_err(|_| MetricsError)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("trefoilhall");
        Ok(Metrics {
            requests_in_flight: up_down_counter(
                &meter,
                "trefoilhall_requests_under_way",
                "requests under way",
            ),
            connections: up_down_counter(
                &meter,
                "trefoilhall_connections",
                "connections of callers",
            ),
            requests: counter(&meter, "trefoilhall_requests", "requests that ended"),
            attempt_failures: counter(&meter, "trefoilhall_attempt_failures", "failed attempts"),
            at_most_once_calls: counter(
                &meter,
                "trefoilhall_once_calls",
                "calls that may not be repeated, by what the ledger said",
            ),
            first_token: duration_histogram(
                &meter,
                "trefoilhall_first_token",
                "time to first token",
            ),
            duration: duration_histogram(&meter, "trefoilhall_duration", "time from head to end"),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that has ended and records its durations.
    pub fn record_request(
        &self,
        summary: &RequestSummary,
        first_token: Option<Duration>,
        total: Duration,
    ) {
        let deployment = summary.deployment.as_ref().map_or("-", Deployment::as_str).to_owned();
        let workspace = summary.workspace.as_ref().map_or("-", Workspace::as_str).to_owned();
        let deployment = KeyValue::new("deployment", deployment);
        let outcome = KeyValue::new("outcome", summary.outcome);
        let labels = [deployment.clone(), KeyValue::new("workspace", workspace), outcome.clone()];
        self.requests.add(1, &labels);
        self.duration.record(total.as_secs_f64(), &[deployment.clone(), outcome]);
        if let Some(first_token) = first_token {
            let band_label = KeyValue::new("prompt", prompt_band(summary.prompt));
            self.first_token.record(first_token.as_secs_f64(), &[deployment, band_label]);
        }
    }

    /// Counts a failed attempt.
    pub fn record_failed_attempt(&self, deployment: &Deployment, cause: FailCause) {
        let deployment = KeyValue::new("deployment", deployment.as_str().to_owned());
        let cause = KeyValue::new("cause", format!("{cause:?}"));
        self.attempt_failures.add(1, &[deployment, cause]);
    }

    /// Counts a call that may not be repeated, by the outcome of its ledger lookup.
    pub fn record_at_most_once_call(&self, deployment: &Deployment, outcome: &'static str) {
        let deployment = KeyValue::new("deployment", deployment.as_str().to_owned());
        self.at_most_once_calls.add(1, &[deployment, KeyValue::new("outcome", outcome)]);
    }

    /// Encodes all metrics in Prometheus' text format; empty if the encoding fails.
    pub fn to_text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// The range of prompt lengths by which the time to the first token is broken down.
pub fn prompt_band(prompt: Tokens) -> &'static str {
    match prompt.0 {
        0..=2_000 => "to_2k",
        2_001..=10_000 => "to_10k",
        10_001..=50_000 => "to_50k",
        50_001..=200_000 => "to_200k",
        _ => "over_200k",
    }
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn up_down_counter(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> UpDownCounter<i64> {
    meter.i64_up_down_counter(name).with_description(description).build()
}

fn duration_histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_description(description).with_unit("s");
    histogram.with_boundaries(DURATION_BUCKETS_S.to_vec()).build()
}
