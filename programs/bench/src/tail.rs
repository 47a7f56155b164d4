//! Tail latency with stragglers.

use std::time::Duration;

use fakenet::{Net, Options};
use hdrhistogram::Histogram;
use monsoondeal::core::{LeafId, Time};
use monsoondeal::engine::io::{Response, Token};
use monsoondeal::route::{QuerySettings, ReplicaSelectorSettings};

/// Delay of the baseline with a fixed one: the 95th percentile of a call without stragglers.
const FIXED_DELAY: Duration = Duration::from_micros(2_700);
/// Queries that warm the leafs and the knowledge of them, not counted.
const WARM_UP: usize = 600;
/// Median service time of a leaf.
const SERVICE: Duration = Duration::from_millis(1);
/// How long the slow leafs of a run stay slow before others take their place.
const SLOW_SPAN: Duration = Duration::from_secs(120);

/// A workload.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    groups: usize,
    slots: u32,
    /// Share of calls that are 10 times slower.
    slow_calls: f64,
    /// Share of leafs that are 10 times slower for minutes.
    slow_leafs: f64,
}

/// How calls are hedged and replicas chosen.
#[derive(Clone, Copy, Debug)]
struct Policy {
    name: &'static str,
    query: QuerySettings,
    replicas: ReplicaSelectorSettings,
}

fn loads() -> Vec<Load> {
    let target = Load {
        name: "83x2",
        groups: 83,
        slots: 3,
        slow_calls: 0.0,
        slow_leafs: 0.0,
    };
    let catalogue = Load {
        name: "catalogue 20x2",
        groups: 20,
        ..target
    };
    let reviewer = Load {
        name: "reviewer desk 30x2",
        groups: 30,
        slots: 2,
        ..target
    };
    let mut loads = Vec::new();
    for base in [target, catalogue, reviewer] {
        loads.push(base);
        loads.push(Load {
            slow_calls: 0.01,
            ..base
        });
        loads.push(Load {
            slow_calls: 0.01,
            slow_leafs: 0.01,
            ..base
        });
    }
    loads
}

fn policies() -> [Policy; 4] {
    let ours = Policy {
        name: "tracked delay",
        query: QuerySettings::default(),
        replicas: ReplicaSelectorSettings::default(),
    };
    let never = Some(Duration::from_secs(3_600));
    let no_hedge = QuerySettings {
        hedge_delay: never,
        ..ours.query
    };
    let fixed = QuerySettings {
        hedge_delay: Some(FIXED_DELAY),
        ..ours.query
    };
    // Without smoothing no response time is learned, and ties are broken at random.
    let random = ReplicaSelectorSettings {
        smoothing: 0.0,
        ..ours.replicas
    };
    [
        Policy {
            name: "no hedge",
            query: no_hedge,
            ..ours
        },
        ours,
        Policy {
            name: "fixed-delay hedge",
            query: fixed,
            ..ours
        },
        Policy {
            name: "random replica",
            query: no_hedge,
            replicas: random,
        },
    ]
}

/// What one run showed.
#[derive(Debug)]
struct Figures {
    times: Histogram<u64>,
    coverage: f64,
    extra: f64,
    over_limits: u64,
}

impl Figures {
    fn millis(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Runs all workloads under all policies and prints a table.
pub(crate) fn run(seed: u64, queries: usize, brief: bool) {
    let shown = if brief { 2 } else { 4 };
    println!("tail: seed {seed}, {queries} queries a run, 6 nodes, hop 0.2 to 0.6 ms,");
    println!("service log-normal, median 1 ms, sigma 0.4; ratio: p99 over that of the same policy");
    println!("and of no hedge, both without stragglers; extra: hedged calls over first calls");
    let mut clean = [0.0; 4];
    for load in loads() {
        println!(
            "\n{}, {} slots, {} % of calls and {} % of leafs 10 times slow",
            load.name,
            load.slots,
            load.slow_calls * 100.0,
            load.slow_leafs * 100.0
        );
        println!(
            "  policy               p50 ms  p99 ms p99.9 ms  ratios       coverage  extra  over"
        );
        for (at, policy) in policies().into_iter().enumerate().take(shown) {
            let figures = measure(seed, queries, load, policy);
            let p99 = figures.millis(0.99);
            if load.slow_calls == 0.0 {
                clean[at] = p99;
            }
            println!(
                "  {:<19} {:>7.2} {:>7.2} {:>8.2}  {:>4.2} {:>5.2}  {:>9.5}  {:>4.1}%  {:>3}",
                policy.name,
                figures.millis(0.5),
                p99,
                figures.millis(0.999),
                p99 / clean[at],
                p99 / clean[0],
                figures.coverage,
                figures.extra * 100.0,
                figures.over_limits,
            );
        }
    }
}

fn measure(seed: u64, queries: usize, load: Load, policy: Policy) -> Figures {
    let mut net = Net::start(Options {
        seed,
        groups: load.groups,
        slots: load.slots,
        query: policy.query,
        replicas: policy.replicas,
        hop_micros: (200, 600),
        codec: false,
        ..Options::default()
    });
    net.leafs.service_time = SERVICE;
    send(&mut net, WARM_UP, load);
    net.leafs.slow_share = load.slow_calls;

    let before = counts(&net);
    let sent = send(&mut net, queries, load);
    net.run_for(Duration::from_secs(2));
    let after = counts(&net);

    let mut times = Histogram::new(3).expect("3 digits are allowed");
    let (mut answered, mut total) = (0, 0);
    let ends: std::collections::HashMap<Token, (Time, &Response)> = net
        .responses
        .iter()
        .map(|e| (e.token, (e.at, &e.response)))
        .collect();
    for (token, at) in sent {
        total += load.groups as u64;
        let Some((end, response)) = ends.get(&token) else {
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
    Figures {
        times,
        coverage: answered as f64 / total as f64,
        extra: hedges / (calls - hedges),
        over_limits: net.leafs.over_slots,
    }
}

/// Sends queries at an even rate, at about a tenth of what the leafs can do.
fn send(net: &mut Net, count: usize, load: Load) -> Vec<(Token, Time)> {
    let pause = Duration::from_micros(2_000);
    let mut sent = Vec::with_capacity(count);
    let mut slow_until = net.now;
    for i in 0..count {
        if load.slow_leafs > 0.0 && net.now >= slow_until {
            slow_until = net.now + SLOW_SPAN;
            slow_some(net, load, i);
        }
        let node = net.random_ready_node();
        sent.push((net.request(node, "lookup", None), net.now));
        net.run_for(pause);
    }
    sent
}

/// Makes a share of the leafs slow, spread over the groups, and the others fast again.
fn slow_some(net: &mut Net, load: Load, turn: usize) {
    let leafs = load.groups * 2;
    let slow = ((leafs as f64 * load.slow_leafs).round() as usize).max(1);
    for at in 0..leafs {
        let is_slow = (0..slow).any(|s| (turn + s * leafs / slow + s) % leafs == at);
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
