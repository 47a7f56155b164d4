//! Stand-in for leafs. One process serves many leafs, each on its own port.
//!
//! A leaf answers `POST /query/{kind}` with its stamp and an echo of the request, and counts calls and
//! violations of its limits. On the control address, `POST /control` changes leafs and `GET /stats`
//! returns their counters.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use compio::time::sleep;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

use crate::serve::{self, Body, json, status};

/// `LeafAddrs` are the addresses that the program prints when it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeafAddrs {
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Addresses of the leafs, by position.
    pub leafs: Vec<SocketAddr>,
}

/// `LeafOptions` are the options of the leafs of one process.
#[derive(Clone, Debug, clap::Args)]
pub struct LeafOptions {
    /// Number of leafs
    #[arg(long, default_value_t = 1)]
    pub count: usize,
    /// Calls that a warm leaf can run at a time
    #[arg(long, default_value_t = 3)]
    pub slots: u32,
    /// Connections that a leaf allows at a time
    #[arg(long, default_value_t = 30)]
    pub connections: u32,
    /// Time to set up a connection, in milliseconds
    #[arg(long, default_value_t = 6)]
    pub connect_ms: u64,
    /// Median service time, in microseconds
    #[arg(long, default_value_t = 1_000)]
    pub service_us: u64,
    /// Standard deviation of the logarithm of the service time
    #[arg(long, default_value_t = 0.4)]
    pub sigma: f64,
    /// Share of calls that are 10 times slower
    #[arg(long, default_value_t = 0.0)]
    pub slow_share: f64,
    /// Calls after which a cold leaf is warm
    #[arg(long, default_value_t = 10)]
    pub warm_after: u32,
    /// Seed of the random service times
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// `LeafControl` changes the behavior of running leafs. Absent fields change nothing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeafControl {
    /// Positions of the leafs to change; empty for all.
    pub leafs: Vec<usize>,
    /// Index version to serve.
    pub index: Option<u64>,
    /// Version of the partition map to serve.
    pub map: Option<u64>,
    /// Median service time, in microseconds.
    pub service_us: Option<u64>,
    /// Whether to answer with an error after running a call.
    pub fail: Option<bool>,
    /// Whether to close the connection without an answer after running a call.
    pub cut: Option<bool>,
    /// Index version in the stamp of answers, instead of the served one.
    pub wrong_stamp: Option<u64>,
    /// Whether to make the leafs cold now.
    pub chill: bool,
}

/// `LeafStats` are the counters of one leaf.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LeafStats {
    /// Calls that the leaf has run.
    pub calls: u64,
    /// Maximum number of calls at a time.
    pub most_running: u32,
    /// Maximum number of connections at a time.
    pub most_connections: u32,
    /// Calls that began while all slots were taken.
    pub over_slots: u64,
    /// Calls that began while the leaf was cold and another call was running.
    pub over_cold: u64,
    /// Connections opened beyond the limit.
    pub over_connections: u64,
    /// Number of runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
}

#[derive(Debug)]
struct Leaf {
    position: usize,
    options: LeafOptions,
    index: Cell<u64>,
    map: Cell<u64>,
    service_us: Cell<u64>,
    fail: Cell<bool>,
    cut: Cell<bool>,
    wrong_stamp: Cell<Option<u64>>,
    /// Calls left until the leaf is warm.
    cold_calls: Cell<u32>,
    running: Cell<u32>,
    connections: Cell<u32>,
    stats: RefCell<LeafStats>,
    rng: RefCell<SmallRng>,
}

/// Prints the addresses and serves until the process ends.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub async fn run(options: LeafOptions) -> io::Result<()> {
    let control = TcpListener::bind("127.0.0.1:0").await?;
    let mut addrs = LeafAddrs {
        control: control.local_addr()?,
        leafs: Vec::new(),
    };
    let mut leafs = Vec::new();
    for at in 0..options.count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        addrs.leafs.push(listener.local_addr()?);
        let leaf = Rc::new(Leaf::new(at, options.clone()));
        leafs.push(leaf.clone());
        let serving = serve::listen(listener, move || {
            let connection = Rc::new(Connection::open(leaf.clone()));
            move |request| {
                let connection = connection.clone();
                async move { connection.handle(request).await }
            }
        });
        compio::runtime::spawn(serving).detach();
    }
    println!("{}", serde_json::to_string(&addrs).unwrap_or_default());

    let leafs = Rc::new(leafs);
    serve::listen(control, move || {
        let leafs = leafs.clone();
        move |request| handle_control(request, leafs.clone())
    })
    .await;
    Ok(())
}

async fn handle_control(
    request: Request<Incoming>,
    leafs: Rc<Vec<Rc<Leaf>>>,
) -> Option<Response<Body>> {
    if request.uri().path() == "/stats" {
        let stats: Vec<LeafStats> = leafs.iter().map(|l| l.stats.borrow().clone()).collect();
        return Some(json(&stats));
    }
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let Ok(control) = serde_json::from_slice::<LeafControl>(&body) else {
        return Some(status(StatusCode::BAD_REQUEST));
    };
    let is_selected =
        |leaf: &&Rc<Leaf>| control.leafs.is_empty() || control.leafs.contains(&leaf.position);
    leafs
        .iter()
        .filter(is_selected)
        .for_each(|leaf| leaf.apply_control(&control));
    Some(status(StatusCode::OK))
}

impl Leaf {
    fn new(position: usize, options: LeafOptions) -> Self {
        Self {
            position,
            index: Cell::new(1),
            map: Cell::new(1),
            service_us: Cell::new(options.service_us),
            fail: Cell::new(false),
            cut: Cell::new(false),
            wrong_stamp: Cell::new(None),
            cold_calls: Cell::new(options.warm_after),
            running: Cell::new(0),
            connections: Cell::new(0),
            stats: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(options.seed ^ position as u64)),
            options,
        }
    }

    fn apply_control(&self, control: &LeafControl) {
        self.index.set(control.index.unwrap_or(self.index.get()));
        self.map.set(control.map.unwrap_or(self.map.get()));
        self.service_us
            .set(control.service_us.unwrap_or(self.service_us.get()));
        self.fail.set(control.fail.unwrap_or(self.fail.get()));
        self.cut.set(control.cut.unwrap_or(self.cut.get()));
        self.wrong_stamp
            .set(control.wrong_stamp.or(self.wrong_stamp.get()));
        if control.chill {
            self.cold_calls.set(self.options.warm_after);
        }
    }

    /// Draws a random service time for a call.
    fn draw_service_time(&self) -> Duration {
        let mut rng = self.rng.borrow_mut();
        let median = self.service_us.get() as f64;
        let factor = LogNormal::new(0.0, self.options.sigma).map_or(1.0, |d| d.sample(&mut *rng));
        let slow = rng.random_bool(self.options.slow_share);
        let micros = median * factor * if slow { 10.0 } else { 1.0 };
        Duration::from_micros(micros as u64)
    }

    /// Counts a call that begins, and its violations of limits.
    fn begin_call(&self, key: Option<&str>) {
        let running = self.running.get() + 1;
        self.running.set(running);
        let mut stats = self.stats.borrow_mut();
        stats.calls += 1;
        stats.most_running = stats.most_running.max(running);
        stats.over_slots += u64::from(running > self.options.slots);
        stats.over_cold += u64::from(self.cold_calls.get() > 0 && running > 1);
        if let Some(key) = key {
            *stats.runs.entry(key.to_owned()).or_default() += 1;
        }
    }

    fn end_call(&self) {
        self.running.set(self.running.get() - 1);
        self.cold_calls.set(self.cold_calls.get().saturating_sub(1));
    }
}

/// A connection to a leaf.
#[derive(Debug)]
struct Connection {
    leaf: Rc<Leaf>,
    opened: Instant,
}

impl Connection {
    fn open(leaf: Rc<Leaf>) -> Self {
        let count = leaf.connections.get() + 1;
        leaf.connections.set(count);
        let mut stats = leaf.stats.borrow_mut();
        stats.most_connections = stats.most_connections.max(count);
        stats.over_connections += u64::from(count > leaf.options.connections);
        drop(stats);
        Self {
            leaf,
            opened: Instant::now(),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        // Simulates the time for the set-up of the connection, which delays the first call.
        let setup = Duration::from_millis(self.leaf.options.connect_ms);
        sleep(setup.saturating_sub(self.opened.elapsed())).await;

        let number = |headers: &HeaderMap, name| headers.get(name)?.to_str().ok()?.parse().ok();
        let wanted_index = number(request.headers(), "x-index-version");
        let wanted_map = number(request.headers(), "x-partition-map");
        let group = number(request.headers(), "x-group").unwrap_or(0_u64);
        let leaf = &self.leaf;
        if wanted_index != Some(leaf.index.get()) || wanted_map != Some(leaf.map.get()) {
            return Some(status(StatusCode::CONFLICT));
        }
        let key = request.headers().get("idempotency-key");
        let key = key.and_then(|k| k.to_str().ok()).map(str::to_owned);
        let body = request.into_body().collect().await.ok()?.to_bytes();

        leaf.begin_call(key.as_deref());
        sleep(leaf.draw_service_time()).await;
        leaf.end_call();
        if leaf.cut.get() {
            return None;
        }
        if leaf.fail.get() {
            return Some(status(StatusCode::INTERNAL_SERVER_ERROR));
        }
        Some(self.answer(group, &body))
    }

    fn answer(&self, group: u64, body: &Bytes) -> Response<Body> {
        let echo = String::from_utf8_lossy(body);
        let leaf = &self.leaf;
        let value = serde_json::json!({ "leaf": leaf.position, "group": group, "echo": echo });
        let mut response = Response::new(Full::from(value.to_string()));
        let stamp = leaf.wrong_stamp.get().unwrap_or(leaf.index.get());
        response
            .headers_mut()
            .insert("x-index-version", stamp.into());
        response
            .headers_mut()
            .insert("x-partition-map", leaf.map.get().into());
        response
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.leaf.connections.set(self.leaf.connections.get() - 1);
    }
}
