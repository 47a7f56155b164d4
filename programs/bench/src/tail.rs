//! Tail latency of queries with stragglers.

use std::time::Duration;

use fakenet::{Net, Options};
use hdrhistogram::Histogram;
use monsoondeal::core::{LeafId, Time};
use monsoondeal::engine::io::{Response, Token};
use monsoondeal::route::{QuerySettings, ReplicaSelectorSettings};

/// Hedge delay of the fixed-delay baseline: the 95th percentile of a call without stragglers.
const FIXED_DELAY: Duration = Duration::from_micros(2_700);
/// Number of uncounted queries at the start, which warm the leafs and the nodes' estimates.
const WARM_UP: usize = 600;
/// Median service time of a leaf.
const SERVICE: Duration = Duration::from_millis(1);
/// Time for which the same leafs are slow, before others are slow instead.
const SLOW_PERIOD: Duration = Duration::from_secs(120);

/// Load of queries, and the stragglers among leafs and calls.
#[derive(Clone, Copy, Debug)]
struct Workload {
    name: &'static str,
    groups: usize,
    slots: u32,
    /// Share of calls that are 10 times slower.
    slow_calls: f64,
    /// Share of leafs that are 10 times slower, for [`SLOW_PERIOD`] each.
    slow_leafs: f64,
}

/// Settings of hedging and of the selection of replicas.
#[derive(Clone, Copy, Debug)]
struct Policy {
    name: &'static str,
    query: QuerySettings,
    replicas: ReplicaSelectorSettings,
}

fn workloads() -> Vec<Workload> {
    let largest = Workload {
        name: "83x2",
        groups: 83,
        slots: 3,
        slow_calls: 0.0,
        slow_leafs: 0.0,
    };
    let catalogue = Workload {
        name: "catalogue 20x2",
        groups: 20,
        ..largest
    };
    let reviewer = Workload {
        name: "reviewer desk 30x2",
        groups: 30,
        slots: 2,
        ..largest
    };
    let mut workloads = Vec::new();
    for base in [largest, catalogue, reviewer] {
        workloads.push(base);
        workloads.push(Workload {
            slow_calls: 0.01,
            ..base
        });
        workloads.push(Workload {
            slow_calls: 0.01,
            slow_leafs: 0.01,
            ..base
        });
    }
    workloads
}

fn policies() -> [Policy; 4] {
    let tracked = Policy {
        name: "tracked delay",
        query: QuerySettings::default(),
        replicas: ReplicaSelectorSettings::default(),
    };
    let never = Some(Duration::from_secs(3_600));
    let no_hedge = QuerySettings {
        hedge_delay: never,
        ..tracked.query
    };
    let fixed = QuerySettings {
        hedge_delay: Some(FIXED_DELAY),
        ..tracked.query
    };
    // With a smoothing factor of 0, no response times are learned, so all replicas tie and one of them is
    // selected at random.
    let random = ReplicaSelectorSettings {
        smoothing: 0.0,
        ..tracked.replicas
    };
    [
        Policy {
            name: "no hedge",
            query: no_hedge,
            ..tracked
        },
        tracked,
        Policy {
            name: "fixed-delay hedge",
            query: fixed,
            ..tracked
        },
        Policy {
            name: "random replica",
            query: no_hedge,
            replicas: random,
        },
    ]
}

/// Results of one run.
#[derive(Debug)]
struct RunResult {
    times: Histogram<u64>,
    coverage: f64,
    hedge_share: f64,
    over_limits: u64,
}

impl RunResult {
    fn millis(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Runs all workloads under all policies and prints a table.
pub(crate) fn run(seed: u64, queries: usize, brief: bool) {
    let count = if brief { 2 } else { 4 };
    println!("tail: seed {seed}, {queries} queries a run, 6 nodes, hop 0.2 to 0.6 ms,");
    println!(
        "service time log-normal, median 1 ms, sigma 0.4; ratios: p99 over that of the same policy"
    );
    println!(
        "and over that of no hedge, both without stragglers; extra: hedged calls over first calls"
    );
    let mut base_p99 = [0.0; 4];
    for workload in workloads() {
        println!(
            "\n{}, {} slots, {} % of calls and {} % of leafs 10 times slower",
            workload.name,
            workload.slots,
            workload.slow_calls * 100.0,
            workload.slow_leafs * 100.0
        );
        println!(
            "  policy               p50 ms  p99 ms p99.9 ms  ratios       coverage  extra  over"
        );
        for (at, policy) in policies().into_iter().enumerate().take(count) {
            let result = measure(seed, queries, workload, policy);
            let p99 = result.millis(0.99);
            if workload.slow_calls == 0.0 {
                base_p99[at] = p99;
            }
            println!(
                "  {:<19} {:>7.2} {:>7.2} {:>8.2}  {:>4.2} {:>5.2}  {:>9.5}  {:>4.1}%  {:>3}",
                policy.name,
                result.millis(0.5),
                p99,
                result.millis(0.999),
                p99 / base_p99[at],
                p99 / base_p99[0],
                result.coverage,
                result.hedge_share * 100.0,
                result.over_limits,
            );
        }
    }
}

fn measure(seed: u64, queries: usize, workload: Workload, policy: Policy) -> RunResult {
    let mut net = Net::start(Options {
        seed,
        groups: workload.groups,
        slots: workload.slots,
        query: policy.query,
        replicas: policy.replicas,
        hop_micros: (200, 600),
        codec: false,
        ..Options::default()
    });
    net.leafs.service_time = SERVICE;
    send(&mut net, WARM_UP, workload);
    net.leafs.slow_share = workload.slow_calls;

    let before = counts(&net);
    let sent = send(&mut net, queries, workload);
    net.run_for(Duration::from_secs(2));
    let after = counts(&net);

    let mut times = Histogram::new(3).expect("3 digits are allowed");
    let (mut answered, mut total) = (0, 0);
    let responses: std::collections::HashMap<Token, (Time, &Response)> = net
        .responses
        .iter()
        .map(|e| (e.token, (e.at, &e.response)))
        .collect();
    for (token, at) in sent {
        total += workload.groups as u64;
        let Some((end, response)) = responses.get(&token) else {
            continue;
        };
        times
            .record(end.since(at).as_micros() as u64)
            .expect("times are in range");
        if let Response::Answered(answer) = response {
            answered += u64::from(answer.coverage.answered);
        }
    }
    let calls = (after.0 - before.0) as f64;
    let hedges = (after.1 - before.1) as f64;
    RunResult {
        times,
        coverage: answered as f64 / total as f64,
        hedge_share: hedges / (calls - hedges),
        over_limits: net.leafs.over_slots,
    }
}

/// Sends queries at a constant rate, at about a tenth of the leafs' capacity.
fn send(net: &mut Net, count: usize, workload: Workload) -> Vec<(Token, Time)> {
    let interval = Duration::from_micros(2_000);
    let mut sent = Vec::with_capacity(count);
    let mut slow_until = net.now;
    for i in 0..count {
        if workload.slow_leafs > 0.0 && net.now >= slow_until {
            slow_until = net.now + SLOW_PERIOD;
            rotate_slow_leafs(net, workload, i);
        }
        let node = net.random_ready_node();
        sent.push((net.request(node, "lookup", None), net.now));
        net.run_for(interval);
    }
    sent
}

/// Makes a share of the leafs slow, spread over the groups from `start` on, and resets all others.
fn rotate_slow_leafs(net: &mut Net, workload: Workload, start: usize) {
    let leafs = workload.groups * 2;
    let slow_count = ((leafs as f64 * workload.slow_leafs).round() as usize).max(1);
    for at in 0..leafs {
        let is_slow = (0..slow_count).any(|s| (start + s * leafs / slow_count + s) % leafs == at);
        net.leafs
            .set_time_factor(LeafId(1 + at as u64), if is_slow { 10.0 } else { 1.0 });
    }
}

fn counts(net: &Net) -> (u64, u64) {
    let counts = net.nodes.iter().map(|n| n.engine.counts());
    counts.fold((0, 0), |(calls, hedges), c| {
        (calls + c.calls, hedges + c.hedges)
    })
}
