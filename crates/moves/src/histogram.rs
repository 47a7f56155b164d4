//! Response times in classes whose counts add up over nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Classes for each doubling of the response time.
pub(crate) const PER_DOUBLING: f64 = 4.0;
/// Response times from which on older ones count half.
const MOST_KEPT: u64 = 2_000;
/// Response times without which nothing is called usual.
const LEAST_KNOWN: u64 = 6;
/// Response times below which the usual one is taken to be higher by so many classes.
const FEW_KNOWN: u64 = 32;
const FEW_MARGIN: u8 = 2;
/// Share of the response times that are faster than the slow ones.
const USUAL_SHARE: f64 = 0.75;

/// `LatencyHistogram` counts response times by class. A class is a fourth of a doubling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    classes: BTreeMap<u8, u64>,
}

impl LatencyHistogram {
    /// Counts a response time.
    pub fn record(&mut self, response: Duration) {
        *self.classes.entry(class(response)).or_default() += 1;
    }

    /// Adds the counts of another node.
    pub fn merge(&mut self, other: &Self) {
        for (class, count) in &other.classes {
            *self.classes.entry(*class).or_default() += count;
        }
    }

    /// Returns the number of response times.
    pub fn count(&self) -> u64 {
        self.classes.values().sum()
    }

    /// Lets older response times fade once there are many.
    pub(crate) fn fade(&mut self) {
        if self.count() > MOST_KEPT {
            self.classes.values_mut().for_each(|count| *count /= 2);
            self.classes.retain(|_, count| *count > 0);
        }
    }

    /// Returns the class of the third quartile, or `None` while too little is known.
    pub(crate) fn usual(&self) -> Option<u8> {
        let all = self.count();
        if all < LEAST_KNOWN {
            return None;
        }
        let margin = if all < FEW_KNOWN { FEW_MARGIN } else { 0 };
        let mut faster = 0;
        self.classes.iter().find_map(|(class, count)| {
            faster += count;
            let is_usual = faster as f64 >= USUAL_SHARE * all as f64;
            is_usual.then_some(class.saturating_add(margin))
        })
    }

    /// Returns how many response times are more than `classes` above a class.
    pub(crate) fn above(&self, class: u8, classes: u8) -> u64 {
        let limit = class.saturating_add(classes);
        let above = self.classes.iter().filter(|(class, _)| **class > limit);
        above.map(|(_, count)| count).sum()
    }
}

fn class(response: Duration) -> u8 {
    let micros = response.as_micros().max(1) as f64;
    (PER_DOUBLING * micros.log2()) as u8
}
