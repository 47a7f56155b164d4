//! The configuration in force: routes, services and limits of one version.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::Revision;
use serde::{Deserialize, Serialize};

use crate::plan::{PlanId, QueryPlan};

/// Name of a service, route, leaf, version or failure domain. Cloning it is cheap.
pub type Name = Rc<str>;

/// `Repeat` says whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Repeat {
    /// The request is idempotent: it may be hedged and retried.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
}

/// `Gather` defines how the answers of shards are merged into one response.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Gather {
    /// Maximum number of records in a response.
    pub top_k: usize,
    /// Minimum share of the shards that a response must include, from 0 to 1.
    pub min_coverage: f64,
}

/// `Target` is the destination of a route's requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum Target {
    /// One leaf of a service.
    Service(Name),
    /// One leaf of one of several services, chosen in proportion to their weights.
    Split(Vec<(Name, f64)>),
    /// One leaf of each shard.
    FanOut(Vec<Name>, Gather),
}

/// `Route` says how requests under one path prefix are served.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: Name,
    /// Host that the route belongs to.
    pub host: String,
    /// Path prefix. Begins and ends with a slash.
    pub prefix: String,
    /// Destination of the requests.
    pub target: Target,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Maximum time to serve a request.
    pub timeout: Duration,
    /// Latency objective: time within which a response is of full use to the caller.
    pub objective: Duration,
    /// Maximum number of leafs of a service that one request may run on. At least 1.
    pub attempts: usize,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// `Service` is the configuration of a service's leafs.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Service {
    /// Number of connections that one leaf accepts from all nodes together.
    pub connections: usize,
    /// Requests per second that one cold leaf can take from all nodes together; `None` if unlimited.
    pub cold_rate: Option<f64>,
    /// How long a leaf stays cold after its start.
    pub warmup: Duration,
    /// Path that returns a leaf's name; `None` if the name cannot be checked.
    #[serde(default)]
    pub check_path: Option<Name>,
}

/// `Limits` bound what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// `Config` is one version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "StoredConfig")]
pub struct Config {
    /// Version; increases with each configuration.
    pub version: u64,
    /// Revision of the store at which it was read. The era is the newest one that the node that sends it knows.
    pub listed: Revision,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Services that are shards of some route.
    shards: HashSet<Name>,
    /// Routes by host, then by prefix.
    routes: RouteTable,
    /// Plans of the routes that are queries.
    #[serde(skip)]
    plans: HashMap<PlanId, QueryPlan>,
}

/// Routes by host, then by prefix.
type RouteTable = HashMap<String, HashMap<String, Rc<Route>>>;

/// The serialized form of a configuration, without what follows from the rest.
#[derive(Deserialize)]
struct StoredConfig {
    version: u64,
    /// Unknown if an earlier program wrote it.
    #[serde(default)]
    listed: Revision,
    services: HashMap<Name, Service>,
    limits: Limits,
    shards: HashSet<Name>,
    routes: RouteTable,
}

impl From<StoredConfig> for Config {
    fn from(stored: StoredConfig) -> Self {
        Self {
            version: stored.version,
            listed: stored.listed,
            services: stored.services,
            limits: stored.limits,
            shards: stored.shards,
            plans: plans(&stored.routes),
            routes: stored.routes,
        }
    }
}

/// Returns the plans of the routes that are queries.
fn plans(routes: &RouteTable) -> HashMap<PlanId, QueryPlan> {
    let routes = routes.values().flat_map(HashMap::values);
    let plans = routes.filter_map(QueryPlan::of);
    plans.map(|plan| (plan.id(), plan)).collect()
}

impl Config {
    /// Creates a configuration. Of two routes with the same host and prefix, the later one takes effect.
    pub fn new<R>(version: u64, routes: R, services: HashMap<Name, Service>, limits: Limits) -> Self
    where
        R: IntoIterator<Item = Route>,
    {
        let mut table = RouteTable::new();
        let mut shards = HashSet::new();
        for route in routes {
            if let Target::FanOut(services, _) = &route.target {
                shards.extend(services.iter().cloned());
            }
            table
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.prefix.clone(), Rc::new(route));
        }
        Self {
            version,
            listed: Revision::default(),
            services,
            limits,
            shards,
            plans: plans(&table),
            routes: table,
        }
    }

    /// Returns the route of a request: the route of `host` with the longest prefix that `path` begins with. A
    /// port in `host` and a query in `path` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// Returns the plan of a query, whatever path leads to it.
    pub(crate) fn plan(&self, id: PlanId) -> Option<&QueryPlan> {
        self.plans.get(&id)
    }

    /// Returns whether a service is a shard of some route.
    pub fn is_shard(&self, service: &str) -> bool {
        self.shards.contains(service)
    }

    /// Returns the shards of each route that has any, in no particular order.
    pub fn fan_outs(&self) -> impl Iterator<Item = &[Name]> {
        let routes = self.routes.values().flat_map(HashMap::values);
        routes.filter_map(|route| match &route.target {
            Target::FanOut(shards, _) => Some(shards.as_slice()),
            Target::Service(_) | Target::Split(_) => None,
        })
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
