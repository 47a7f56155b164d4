//! Plans of queries: what a query needs from which shards, independent of the path that led to it.

use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::num::ParseIntError;
use std::rc::Rc;
use std::str::FromStr;

use crate::config::{Gather, Name, Route, Target};

/// `PlanId` identifies a query's plan. Two nodes that give a plan the same identity call the same shards, merge the
/// same number of records and make the same number of attempts, whatever versions of the configuration they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlanId(u64);

impl PlanId {
    fn new(route: &Route, shards: &[Name], gather: Gather) -> Self {
        let mut hasher = DefaultHasher::new();
        route.name.hash(&mut hasher);
        shards.hash(&mut hasher);
        gather.top_k.hash(&mut hasher);
        gather.min_coverage.to_bits().hash(&mut hasher);
        route.attempts.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl fmt::Display for PlanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PlanId {
    type Err = ParseIntError;

    /// Parses an identity as [`Display`](fmt::Display) writes it.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// `QueryPlan` is a route whose requests are queries over shards.
#[derive(Clone, Debug)]
pub(crate) struct QueryPlan {
    id: PlanId,
    /// Its target is a fan-out.
    route: Rc<Route>,
}

impl QueryPlan {
    /// Returns the plan of a route; `None` if its requests go to a single leaf.
    pub(crate) fn of(route: &Rc<Route>) -> Option<Self> {
        match &route.target {
            Target::FanOut(shards, gather) => Some(Self {
                id: PlanId::new(route, shards, *gather),
                route: route.clone(),
            }),
            Target::Service(_) | Target::Split(_) => None,
        }
    }

    pub(crate) fn id(&self) -> PlanId {
        self.id
    }

    pub(crate) fn route(&self) -> &Rc<Route> {
        &self.route
    }

    /// Returns the shards, in the order in which they are cut into segments.
    pub(crate) fn shards(&self) -> &[Name] {
        match &self.route.target {
            Target::FanOut(shards, _) => shards,
            Target::Service(_) | Target::Split(_) => &[],
        }
    }
}
