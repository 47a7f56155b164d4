//! Overload, cold leafs and fairness: leaf limits hold, and requests of first priority are served.

use std::time::Duration;

use fakenet::{DOMAINS, Net, Options};
use monsoondeal_config::Edit;
use monsoondeal_engine::io::{Response, Token};
use rstest::rstest;

/// Number of calls after which a cold leaf is warm.
const COLD_CALLS: u32 = 20;
/// Minimum share of first-priority requests that are answered in time.
const MIN_FIRST_SHARE: f64 = 0.99;
/// Minimum throughput, as a share of that of an ideal scheduler with the same slots.
const MIN_THROUGHPUT_SHARE: f64 = 0.9;
/// Mean time that a call occupies a slot, in seconds: log-normal service time with a median of 2 ms and
/// sigma 0.4, plus the network latency in both directions.
const SLOT_SECONDS: f64 = 0.002 * 1.083 + 0.000_4;

fn options(seed: u64) -> Options {
    Options {
        seed,
        nodes: 8,
        hop_micros: (200, 600),
        codec: false,
        ..Options::default()
    }
}

/// Sends a mix of request kinds at `load` times the capacity of all leafs: 30 % urgent, 50 % lookups,
/// 20 % reports.
fn send_mix(net: &mut Net, span: Duration, load: f64) -> Vec<(&'static str, Token)> {
    const KINDS: [&str; 10] = [
        "urgent", "lookup", "report", "lookup", "urgent", "lookup", "lookup", "report", "urgent",
        "lookup",
    ];
    // 2 leafs per group, 2 slots per leaf.
    let pause = Duration::from_secs_f64(SLOT_SECONDS / 4.0 / load);
    let end = net.now + span;
    let mut sent = Vec::new();
    while net.now < end {
        let kind = KINDS[sent.len() % KINDS.len()];
        let node = net.random_ready_node();
        sent.push((kind, net.request(node, kind, None)));
        net.run_for(pause);
    }
    sent
}

/// Returns the share of the requests of a kind that were answered, and the share answered in full.
fn answered_shares(net: &Net, sent: &[(&str, Token)], kind: &str) -> (f64, f64) {
    let of_kind: Vec<Token> = sent
        .iter()
        .filter(|(k, _)| *k == kind)
        .map(|(_, t)| *t)
        .collect();
    let answers = of_kind
        .iter()
        .filter_map(|token| match net.response(*token) {
            Some(Response::Answered(answer)) => Some(answer.coverage.is_full()),
            _ => None,
        });
    let (mut answered, mut full) = (0.0, 0.0);
    for is_full in answers {
        answered += 1.0;
        full += f64::from(u8::from(is_full));
    }
    let count = of_kind.len() as f64;
    (answered / count, full / count)
}

#[test]
fn domain_out_at_full_load_first_priority_is_served() {
    for seed in 0..2 {
        let mut net = Net::start(options(seed));
        send_mix(&mut net, Duration::from_secs(3), 0.5);
        net.edit(Edit::DomainOut {
            domain: DOMAINS[1].to_owned(),
        });
        let sent = send_mix(&mut net, Duration::from_secs(4), 0.9);
        net.run_for(Duration::from_secs(2));
        let (answered, full) = answered_shares(&net, &sent, "urgent");
        assert!(
            answered >= MIN_FIRST_SHARE,
            "urgent requests answered {answered}, seed {seed}"
        );
        assert!(
            full >= MIN_FIRST_SHARE,
            "urgent requests answered in full {full}, seed {seed}"
        );
        assert_eq!(net.leafs.over_slots, 0);

        // Lower priorities get the remaining capacity.
        let (answered, _) = answered_shares(&net, &sent, "lookup");
        assert!(answered >= 0.3, "lookups answered {answered}, seed {seed}");
    }
}

#[test]
fn domain_in_cold_stays_within_limits() {
    for seed in 0..2 {
        let mut net = Net::start(options(seed));
        send_mix(&mut net, Duration::from_secs(3), 0.5);
        net.edit(Edit::DomainOut {
            domain: DOMAINS[1].to_owned(),
        });
        send_mix(&mut net, Duration::from_secs(2), 0.8);
        net.leafs.mark_domain_cold(DOMAINS[1], COLD_CALLS);
        net.edit(Edit::DomainIn {
            domain: DOMAINS[1].to_owned(),
        });
        let sent = send_mix(&mut net, Duration::from_secs(4), 0.8);
        net.run_for(Duration::from_secs(2));
        assert_eq!(
            net.leafs.over_cold, 0,
            "calls beyond the limit of cold leafs, seed {seed}"
        );
        let (answered, _) = answered_shares(&net, &sent, "urgent");
        assert!(
            answered >= MIN_FIRST_SHARE,
            "urgent requests answered {answered}, seed {seed}"
        );
    }
}

/// Limits of cold leafs hold when all leafs are cold and the load is twice their capacity.
#[test]
fn cold_start_stays_within_limits() {
    let mut net = Net::start(options(1));
    net.leafs.mark_all_cold(COLD_CALLS);
    send_mix(&mut net, Duration::from_secs(3), 2.0);
    assert_eq!(net.leafs.over_cold, 0);
    assert_eq!(net.leafs.over_slots, 0);
}

/// Leafs that restart unannounced are presumed cold because their connections broke.
#[test]
fn cold_leafs_are_detected_by_broken_connections() {
    let mut net = Net::start(options(1));
    send_mix(&mut net, Duration::from_secs(3), 0.5);
    net.restart_leafs(COLD_CALLS);
    send_mix(&mut net, Duration::from_secs(3), 0.5);
    assert_eq!(net.leafs.over_cold, 0);
}

/// Under saturation the slots of warm leafs are kept busy, although each leaf is called by one node
/// only.
#[rstest]
#[case::three_nodes(3, 2)]
#[case::six_nodes(6, 2)]
#[case::nine_nodes(9, 3)]
fn warm_leafs_are_kept_busy(#[case] nodes: usize, #[case] slots: u32) {
    let mut net = Net::start(Options {
        nodes,
        slots,
        ..options(1)
    });
    let capacity = f64::from(slots) / 2.0;
    send_mix(&mut net, Duration::from_secs(3), 1.3 * capacity);
    let before: u64 = net.nodes.iter().map(|n| n.engine.counts().leaf_calls).sum();
    let span = Duration::from_secs(4);
    send_mix(&mut net, span, 1.3 * capacity);
    let after: u64 = net.nodes.iter().map(|n| n.engine.counts().leaf_calls).sum();
    let throughput = (after - before) as f64 / 16.0;
    let ideal = span.as_secs_f64() * f64::from(slots) / SLOT_SECONDS;
    assert!(
        throughput >= ideal * MIN_THROUGHPUT_SHARE,
        "{throughput} calls per leaf, {ideal} with all slots busy"
    );
}
