//! Metrics for collectors.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsoondeal_engine::Counts;
use monsoondeal_engine::io::Response;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::NodeError;

/// Bounds of the response time buckets, in seconds.
const RESPONSE_BUCKETS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.25, 0.5, 1.0,
];

/// `Metrics` export the counters of the engine and the response times.
pub(crate) struct Metrics {
    registry: Registry,
    /// Counters as of the last export.
    counts: Arc<Mutex<Counts>>,
    response: Histogram<f64>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, NodeError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("monsoondeal")
            .build()
            .map_err(|error| NodeError::Metrics(error.to_string()))?;
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
    pub(crate) fn on_response(&self, response: &Response, elapsed: Duration) {
        let outcome = match response {
            Response::Answered(_) => "answered",
            Response::NotRun(_) => "not_run",
            Response::Unknown(_) => "unknown",
            Response::Fault(_) => "fault",
        };
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
const COUNTERS: [CounterSpec; 13] = [
    ("requests", "Requests of callers", |c| c.requests),
    ("answered", "Requests answered", |c| c.answered),
    (
        "full_answers",
        "Answers that cover the whole partition map",
        |c| c.full,
    ),
    ("not_run", "Requests proved not run", |c| c.not_run),
    ("unknown", "Requests that may have run", |c| c.unknown),
    ("faults", "Requests at fault themselves", |c| c.faults),
    ("calls", "Calls issued for queries", |c| c.calls),
    ("hedges", "Hedged calls among them", |c| c.hedges),
    ("leaf_calls", "Calls sent to leafs held by this node", |c| {
        c.leaf_calls
    }),
    (
        "refused_calls",
        "Calls refused by this node as the holder",
        |c| c.refused,
    ),
    ("mismatches", "Leaf answers from another snapshot", |c| {
        c.mismatches
    }),
    (
        "control_messages",
        "Messages sent to peers for control",
        |c| c.control_messages,
    ),
    ("store_calls", "Store reads and writes", |c| c.store_calls),
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
