//! Throughput of warm leafs, compared with an ideal scheduler that keeps all slots busy.

use std::time::Duration;

use fakenet::{Net, Options};
use monsoondeal::engine::io::Response;

/// Number of groups of the service, with two leafs each.
const GROUPS: usize = 20;
/// Median service time of a leaf.
const SERVICE: Duration = Duration::from_millis(2);
/// Duration of the measured part of each run.
const RUN_TIME: Duration = Duration::from_secs(10);

/// Offers 1.5 times the capacity of the leafs and prints the share of the capacity that is used.
///
/// An ideal scheduler knows the state of every leaf and keeps every slot busy, so it completes
/// `leafs * slots / mean service time` calls per second. Both have the same distribution of service times.
pub(crate) fn run(seed: u64) {
    println!(
        "fair: seed {seed}, {GROUPS} groups of 2 leafs, offered load 1.5 times their capacity"
    );
    println!("  nodes  slots  offered q/s  done q/s  all-knowing q/s  share");
    for (nodes, slots) in [(3, 2), (6, 2), (9, 2), (18, 2), (6, 3), (9, 3)] {
        let (offered, done, ideal) = measure(seed, nodes, slots);
        println!(
            "  {nodes:>5}  {slots:>5}  {offered:>11.0}  {done:>8.0}  {ideal:>15.0}  {:>5.3}",
            done / ideal
        );
    }
}

fn measure(seed: u64, nodes: usize, slots: u32) -> (f64, f64, f64) {
    let mut net = Net::start(Options {
        seed,
        nodes,
        slots,
        groups: GROUPS,
        hop_micros: (200, 600),
        codec: false,
        ..Options::default()
    });
    net.leafs.service_time = SERVICE;
    // A slot is also taken during the 0.4 ms to the leaf and back.
    let slot_time = SERVICE.as_secs_f64() * f64::exp(0.4_f64.powi(2) / 2.0) + 0.000_4;
    let ideal = 2.0 * f64::from(slots) / slot_time;
    let offered = ideal * 1.5;
    let interval = Duration::from_secs_f64(1.0 / offered);
    send_load(&mut net, Duration::from_secs(3), interval);
    let calls = leaf_calls(&net);
    let first = net.responses.len();
    send_load(&mut net, RUN_TIME, interval);
    let done = (leaf_calls(&net) - calls) as f64 / GROUPS as f64 / RUN_TIME.as_secs_f64();
    let full = net.responses[first..]
        .iter()
        .filter(|e| is_full(&e.response))
        .count();
    debug_assert!(full > 0);
    (offered, done, ideal)
}

fn is_full(response: &Response) -> bool {
    matches!(response, Response::Answered(answer) if answer.coverage.is_full())
}

fn leaf_calls(net: &Net) -> u64 {
    net.nodes.iter().map(|n| n.engine.counts().leaf_calls).sum()
}

fn send_load(net: &mut Net, duration: Duration, interval: Duration) {
    let end = net.now + duration;
    while net.now < end {
        let node = net.random_ready_node();
        net.request(node, "lookup", None);
        net.run_for(interval);
    }
}
