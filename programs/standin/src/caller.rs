//! Stand-in for callers behind the platform's load balancer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use compio::time::{sleep, sleep_until, timeout};
use cyper::Client;
use hdrhistogram::Histogram;
use hyper::StatusCode;
use serde_json::Value;

/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of a node's readiness.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// `NodeAddrs` are the addresses of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddrs {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// `LoadOptions` describe a steady load on one request kind.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Service that the requests are for.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Whether each request carries a new idempotency key.
    pub keyed: bool,
}

/// `LoadReport` counts the outcomes of requests.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers that cover the whole partition map.
    pub full: u64,
    /// Answers with parts of another request or group, or with a wrong count of parts.
    pub wrong: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests without a response, because the connection was closed or the request timed out.
    pub cut: u64,
    /// Response times of answered requests, in microseconds.
    pub response_times: Histogram<u64>,
    /// Idempotency keys of requests that ended as not run.
    pub refused_keys: Vec<String>,
    /// Number of answers for each index version.
    pub by_index: std::collections::BTreeMap<u64, u64>,
    /// Number of requests without an answer for each reason that the response gave.
    pub reasons: std::collections::BTreeMap<String, u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            sent: 0,
            answered: 0,
            full: 0,
            wrong: 0,
            not_run: 0,
            unknown: 0,
            cut: 0,
            response_times: Histogram::new(3).expect("3 digits are allowed"),
            refused_keys: Vec::new(),
            by_index: Default::default(),
            reasons: Default::default(),
        }
    }
}

impl LoadReport {
    /// Returns a quantile (0 to 1) of the response times in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.response_times.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// `Balancer` distributes requests round-robin over ready nodes, as the platform's load balancer does.
#[derive(Clone, Debug)]
pub struct Balancer {
    client: Client,
    ready: Rc<RefCell<Vec<NodeAddrs>>>,
    next: Rc<Cell<usize>>,
}

impl Balancer {
    /// Creates a balancer over `nodes`, which checks their readiness every 200 ms.
    pub async fn start(nodes: Vec<NodeAddrs>) -> Self {
        let balancer = Self {
            client: Client::new(),
            ready: Rc::default(),
            next: Rc::default(),
        };
        balancer.check_readiness(&nodes).await;
        let checker = balancer.clone();
        spawn(async move {
            loop {
                sleep(READY_CHECK_INTERVAL).await;
                checker.check_readiness(&nodes).await;
            }
        })
        .detach();
        balancer
    }

    /// Returns the number of ready nodes.
    pub fn ready_count(&self) -> usize {
        self.ready.borrow().len()
    }

    async fn check_readiness(&self, nodes: &[NodeAddrs]) {
        let checks = nodes.iter().map(|node| async {
            let url = format!("http://{}/ready", node.admin);
            let response = timeout(READY_CHECK_INTERVAL * 2, async {
                self.client.get(url).ok()?.send().await.ok()
            });
            let ready = matches!(response.await, Ok(Some(r)) if r.status() == StatusCode::OK);
            ready.then_some(*node)
        });
        let ready = futures_util::future::join_all(checks).await;
        *self.ready.borrow_mut() = ready.into_iter().flatten().collect();
    }

    /// Sends a request to the next ready node. Returns the status and the body, or `None` if there was no
    /// response within 15 s or no node is ready.
    pub async fn send(
        &self,
        service: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> Option<(StatusCode, Value)> {
        let node = {
            let ready = self.ready.borrow();
            let next = self.next.get();
            self.next.set(next + 1);
            *ready.get(next % ready.len().max(1))?
        };
        self.send_to(node, service, kind, key, body).await
    }

    /// Sends a request to the given node. Returns the status and the body, or `None` if there was no
    /// response within 15 s.
    pub async fn send_to(
        &self,
        node: NodeAddrs,
        service: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) -> Option<(StatusCode, Value)> {
        let url = format!("http://{}/v1/{service}/{kind}", node.callers);
        let mut request = self.client.post(url).ok()?;
        if let Some(key) = key {
            request = request.header("idempotency-key", key).ok()?;
        }
        let sending = async {
            let response = request.body(body.to_owned()).send().await.ok()?;
            let status = response.status();
            Some((status, response.json().await.ok()?))
        };
        timeout(RESPONSE_TIMEOUT, sending).await.ok().flatten()
    }

    /// Sends requests at a constant rate, without waiting for responses, and reports their outcomes.
    pub async fn load(&self, options: LoadOptions) -> LoadReport {
        let report = Rc::new(RefCell::new(LoadReport::default()));
        let count = (options.rate * options.duration.as_secs_f64()) as u64;
        let start = Instant::now();
        let mut tasks = Vec::new();
        for i in 0..count {
            sleep_until(start + Duration::from_secs_f64(i as f64 / options.rate)).await;
            let (balancer, report, options) = (self.clone(), report.clone(), options.clone());
            tasks.push(spawn(async move {
                balancer.send_and_record(i, &options, &report).await
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
        let report = report.borrow();
        report.clone()
    }

    async fn send_and_record(&self, i: u64, options: &LoadOptions, report: &RefCell<LoadReport>) {
        let body = format!("{}-{}-{i}", options.service, options.kind);
        let key = options.keyed.then(|| format!("key-{body}"));
        report.borrow_mut().sent += 1;
        let start = Instant::now();
        let received = self
            .send(&options.service, &options.kind, key.as_deref(), &body)
            .await;
        let elapsed = start.elapsed();

        let mut report = report.borrow_mut();
        let Some((status, value)) = received else {
            report.cut += 1;
            return;
        };
        if status != StatusCode::OK {
            let reason = value["reason"].as_str().unwrap_or("none").to_owned();
            *report.reasons.entry(reason).or_default() += 1;
        }
        match (status, value["outcome"].as_str()) {
            (StatusCode::OK, Some("answered")) => {
                report.answered += 1;
                let index = value["snapshot"]["index"].as_u64().unwrap_or(0);
                *report.by_index.entry(index).or_default() += 1;
                report.wrong += u64::from(!is_answer_to(&value, &body));
                report.full +=
                    u64::from(value["coverage"]["answered"] == value["coverage"]["total"]);
                let _ = report.response_times.record(elapsed.as_micros() as u64);
            }
            (_, Some("not_run")) => {
                report.not_run += 1;
                report.refused_keys.extend(key);
            }
            _ => report.unknown += 1,
        }
    }
}

/// Returns whether every part of an answer echoes the request `body` and comes from the right group, and
/// whether the coverage counts all parts.
pub fn is_answer_to(value: &Value, body: &str) -> bool {
    let Some(parts) = value["parts"].as_array() else {
        return false;
    };
    let is_own = |part: &Value| {
        part["data"]["echo"].as_str() == Some(body) && part["data"]["group"] == part["group"]
    };
    parts.iter().all(is_own) && value["coverage"]["answered"].as_u64() == Some(parts.len() as u64)
}
