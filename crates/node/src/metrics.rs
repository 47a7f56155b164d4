//! Metrics for collectors.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use quick_error::quick_error;

quick_error! {
    /// `MetricsError` is the reason why the metrics could not be set up.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The exporter could not be built.
        Exporter(text: String) {
            display("cannot set up metrics: {text}")
        }
    }
}

/// `Counter` is one counter of `C`: its name, its description and a function that returns its value.
pub type Counter<C> = (&'static str, &'static str, fn(&C) -> u64);

/// `Gauge` is one gauge of `C`: its name, its description and a function that returns its value.
pub type Gauge<C> = (&'static str, &'static str, fn(&C) -> i64);

/// `Metrics` export the counters and gauges in `C` and the response times.
pub struct Metrics<C> {
    registry: Registry,
    /// Values as of the last export.
    counts: Arc<Mutex<C>>,
    response: Histogram<f64>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl<C> Metrics<C>
where
    C: Default + Send + 'static,
{
    /// Registers `counters`, `gauges`, and a histogram of response times whose buckets have the bounds
    /// `buckets`, in seconds.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be built.
    pub fn new(
        counters: &[Counter<C>],
        gauges: &[Gauge<C>],
        buckets: &[f64],
    ) -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("monsoondeal")
            .build()
            .map_err(|error| MetricsError::Exporter(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("monsoondeal");
        let counts = Arc::new(Mutex::new(C::default()));
        for counter in counters {
            register_counter(&meter, *counter, &counts);
        }
        for gauge in gauges {
            register_gauge(&meter, *gauge, &counts);
        }
        let response = meter
            .f64_histogram("response_time")
            .with_unit("s")
            .with_description("Time from a request to its response, by outcome")
            .with_boundaries(buckets.to_vec())
            .build();
        Ok(Self {
            registry,
            counts,
            response,
            _provider: provider,
        })
    }

    /// Records the response time of a request with an outcome.
    pub fn on_response(&self, outcome: &'static str, elapsed: Duration) {
        self.response
            .record(elapsed.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Returns all metrics in text form, with the counters and gauges in `counts`.
    pub fn export(&self, counts: C) -> String {
        match self.counts.lock() {
            Ok(mut latest) => *latest = counts,
            Err(error) => log::error!("cannot update the counters: {error}"),
        }
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn register_counter<C>(meter: &Meter, (name, description, read): Counter<C>, counts: &Arc<Mutex<C>>)
where
    C: Send + 'static,
{
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

fn register_gauge<C>(meter: &Meter, (name, description, read): Gauge<C>, counts: &Arc<Mutex<C>>)
where
    C: Send + 'static,
{
    let counts = counts.clone();
    let observe = move |observer: &dyn opentelemetry::metrics::AsyncInstrument<i64>| {
        if let Ok(latest) = counts.lock() {
            observer.observe(read(&latest), &[]);
        }
    };
    let gauge = meter
        .i64_observable_gauge(name)
        .with_description(description);
    gauge.with_callback(observe).build();
}
