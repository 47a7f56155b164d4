//! Metrics for collectors.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsoondeal_edge::Counts;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::GatewayError;

/// Bounds of the response time buckets, in seconds.
const RESPONSE_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.2, 0.4, 0.8, 2.0, 8.0,
];

/// `Metrics` export the counters of the direct path and the response times.
pub(crate) struct Metrics {
    registry: Registry,
    /// Counters as of the last export.
    counts: Arc<Mutex<Counts>>,
    response: Histogram<f64>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, GatewayError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("monsoondeal")
            .build()
            .map_err(|error| GatewayError::Metrics(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("monsoondeal");
        let counts = Arc::new(Mutex::new(Counts::default()));
        register(&meter, &counts);
        let response = meter
            .f64_histogram("response_time")
            .with_unit("s")
            .with_description("Time from a request to its response, by outcome")
            .with_boundaries(RESPONSE_BUCKETS.to_vec())
            .build();
        Ok(Self {
            registry,
            counts,
            response,
            _provider: provider,
        })
    }

    /// Records a response.
    pub(crate) fn on_reply(&self, outcome: &'static str, elapsed: Duration) {
        self.response
            .record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics as text.
    pub(crate) fn export(&self, counts: Counts) -> String {
        if let Ok(mut latest) = self.counts.lock() {
            *latest = counts;
        }
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// A counter: its name, its description and how it is read.
type CounterSpec = (&'static str, &'static str, fn(&Counts) -> u64);

/// All counters.
const COUNTERS: [CounterSpec; 14] = [
    ("requests", "Requests of callers", |c| c.requests),
    ("answered", "Requests answered in full", |c| c.answered),
    ("partial", "Responses that leave shards out", |c| c.partial),
    ("rejected", "Requests rejected as not run", |c| c.rejected),
    ("failed", "Requests that failed and may have run", |c| {
        c.failed
    }),
    ("timed_out", "Requests without an answer in time", |c| {
        c.timed_out
    }),
    ("no_route", "Requests without a route", |c| c.no_route),
    ("left", "Requests whose caller left", |c| c.left),
    ("calls", "Calls sent to leafs", |c| c.calls),
    ("hedges", "Hedged calls among them", |c| c.hedges),
    ("retries", "Retried calls among them", |c| c.retries),
    ("refused", "Calls that leafs refused", |c| c.refused),
    ("broken", "Calls whose answer was lost or unusable", |c| {
        c.broken
    }),
    ("unsent", "Calls that could not be sent", |c| c.unsent),
];

fn register(meter: &Meter, counts: &Arc<Mutex<Counts>>) {
    for (name, description, read) in COUNTERS {
        let counts = counts.clone();
        let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            if let Ok(latest) = counts.lock() {
                observer.observe(read(&latest), &[]);
            }
        };
        let counter = meter
            .u64_observable_counter(name)
            .with_description(description);
        counter.with_callback(observe).build();
    }
}
