//! A histogram of response times that can be merged over nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets for each doubling of the response time.
pub(crate) const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Count above which all counts are halved, so that older response times weigh less.
const DECAY_COUNT: u64 = 2_000;
/// Fewest response times from which a baseline is taken.
const MIN_BASELINE_COUNT: u64 = 6;
/// Count below which the baseline is raised, and the number of buckets by which it is raised.
const FEW_SAMPLES: u64 = 32;
const FEW_SAMPLES_MARGIN: u8 = 2;
/// Quantile of the response times that is taken as the baseline.
const BASELINE_QUANTILE: f64 = 0.75;

/// `LatencyHistogram` counts response times in logarithmic buckets, four for each doubling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    #[serde(rename = "classes")]
    buckets: BTreeMap<u8, u64>,
}

impl LatencyHistogram {
    /// Counts a response time.
    pub fn record(&mut self, response: Duration) {
        *self.buckets.entry(bucket(response)).or_default() += 1;
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the number of response times.
    pub fn count(&self) -> u64 {
        self.buckets.values().sum()
    }

    /// Halves all counts once there are many, so that older response times weigh less.
    pub(crate) fn decay(&mut self) {
        if self.count() > DECAY_COUNT {
            self.buckets.values_mut().for_each(|count| *count /= 2);
            self.buckets.retain(|_, count| *count > 0);
        }
    }

    /// Returns the bucket of the third quartile, raised by [`FEW_SAMPLES_MARGIN`] while there are few response
    /// times, or `None` while there are too few.
    pub(crate) fn baseline_bucket(&self) -> Option<u8> {
        let all = self.count();
        if all < MIN_BASELINE_COUNT {
            return None;
        }
        let margin = if all < FEW_SAMPLES {
            FEW_SAMPLES_MARGIN
        } else {
            0
        };
        let mut faster = 0;
        self.buckets.iter().find_map(|(bucket, count)| {
            faster += count;
            let is_quantile = faster as f64 >= BASELINE_QUANTILE * all as f64;
            is_quantile.then_some(bucket.saturating_add(margin))
        })
    }

    /// Returns the number of response times that are more than `margin` buckets above a bucket.
    pub(crate) fn count_above(&self, bucket: u8, margin: u8) -> u64 {
        let limit = bucket.saturating_add(margin);
        let above = self.buckets.iter().filter(|(bucket, _)| **bucket > limit);
        above.map(|(_, count)| count).sum()
    }
}

fn bucket(response: Duration) -> u8 {
    let micros = response.as_micros().max(1) as f64;
    (BUCKETS_PER_DOUBLING * micros.log2()) as u8
}
