//! Distribution of a route's requests among services by weight.

use std::collections::HashMap;

use crate::config::Name;

/// `WeightedRoundRobin` distributes requests by smooth weighted round-robin, so that short runs of requests
/// follow the weights, too.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// Credit of each service, by route.
    route_credits: HashMap<Name, Vec<(Name, f64)>>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request of a route, or `None` if no weight is above zero.
    pub fn next(&mut self, route: &Name, parts: &[(Name, f64)]) -> Option<Name> {
        let total: f64 = parts.iter().map(|(_, weight)| weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        let credits = self.route_credits.entry(route.clone()).or_default();
        let is_same = credits.len() == parts.len()
            && credits
                .iter()
                .zip(parts)
                .all(|(credit, part)| credit.0 == part.0);
        if !is_same {
            *credits = parts.iter().map(|(name, _)| (name.clone(), 0.0)).collect();
        }
        for (credit, part) in credits.iter_mut().zip(parts) {
            credit.1 += part.1.max(0.0);
        }
        let best = credits.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1))?;
        best.1 -= total;
        Some(best.0.clone())
    }
}
