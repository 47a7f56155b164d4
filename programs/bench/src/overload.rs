//! Closing of a failure domain at full load, and its return with all its leafs cold.

use std::time::Duration;

use fakenet::{DOMAINS, Net, Options};
use monsoondeal::config::Edit;
use monsoondeal::core::Time;
use monsoondeal::engine::io::{Response, Token};

/// Number of groups of the service, with two leafs each.
const GROUPS: usize = 20;
/// Slots of a leaf.
const SLOTS: u32 = 3;
/// Median service time of a leaf.
const SERVICE: Duration = Duration::from_millis(2);
/// Number of calls after which a leaf that has returned is warm.
const COLD_CALLS: u32 = 20;
/// Kinds of requests and their weights in the load.
const KINDS: [(&str, u64); 3] = [("urgent", 3), ("lookup", 5), ("report", 2)];

/// Runs three phases and prints the share of requests answered in time for each kind.
pub(crate) fn run(seed: u64) {
    println!(
        "overload: seed {seed}, 8 nodes, {GROUPS} groups of 2 leafs in 4 domains, {SLOTS} slots,"
    );
    println!("load 0.9 of the capacity of all leafs: 30 % first, 50 % normal, 20 % bulk priority");
    let mut net = Net::start(Options {
        seed,
        nodes: 8,
        slots: SLOTS,
        groups: GROUPS,
        hop_micros: (200, 600),
        codec: false,
        ..Options::default()
    });
    net.leafs.service_time = SERVICE;
    let slot_time = SERVICE.as_secs_f64() * f64::exp(0.4_f64.powi(2) / 2.0) + 0.000_4;
    let interval = Duration::from_secs_f64(slot_time / (2.0 * f64::from(SLOTS)) / 0.9);

    send_load(&mut net, Duration::from_secs(4), interval);
    let mut sent = send_load(&mut net, Duration::from_secs(10), interval);
    report(&mut net, "all domains in", &mut sent);

    net.edit(Edit::DomainOut {
        domain: DOMAINS[1].to_owned(),
    });
    let mut sent = send_load(&mut net, Duration::from_secs(20), interval);
    report(&mut net, "one domain out", &mut sent);

    net.leafs.mark_domain_cold(DOMAINS[1], COLD_CALLS);
    net.edit(Edit::DomainIn {
        domain: DOMAINS[1].to_owned(),
    });
    let mut sent = send_load(&mut net, Duration::from_secs(20), interval);
    report(&mut net, "the domain back, cold", &mut sent);
    println!(
        "calls beyond the slots {}, beyond the limit of a cold leaf {}, from two nodes at a time {}",
        net.leafs.over_slots, net.leafs.over_cold, net.leafs.node_overlaps
    );
}

type SentRequests = Vec<(&'static str, Token, Time)>;

fn send_load(net: &mut Net, duration: Duration, interval: Duration) -> SentRequests {
    let end = net.now + duration;
    let mut sent = Vec::new();
    let total: u64 = KINDS.iter().map(|(_, share)| share).sum();
    let mut count = 0;
    while net.now < end {
        count += 1;
        let kind = pick_kind(count * 7 % total);
        let node = net.random_ready_node();
        sent.push((kind, net.request(node, kind, None), net.now));
        net.run_for(interval);
    }
    sent
}

fn pick_kind(mut index: u64) -> &'static str {
    for (kind, share) in KINDS {
        if index < share {
            return kind;
        }
        index -= share;
    }
    KINDS[0].0
}

fn report(net: &mut Net, phase: &str, sent: &mut SentRequests) {
    net.run_for(Duration::from_secs(2));
    println!("\n{phase}");
    println!("  kind      sent  answered in time  full  not run  p50 ms   p99 ms");
    let responses: std::collections::HashMap<Token, (Time, &Response)> = net
        .responses
        .iter()
        .map(|e| (e.token, (e.at, &e.response)))
        .collect();
    for (kind, _) in KINDS {
        let mut times = hdrhistogram::Histogram::<u64>::new(3).expect("3 digits are allowed");
        let (mut count, mut answered, mut full, mut not_run) = (0.0, 0.0, 0.0, 0.0);
        for (_, token, at) in sent.iter().filter(|(k, _, _)| *k == kind) {
            count += 1.0;
            match responses.get(token) {
                Some((end, Response::Answered(answer))) => {
                    answered += 1.0;
                    full += f64::from(u8::from(answer.coverage.is_full()));
                    times
                        .record(end.since(*at).as_micros() as u64)
                        .expect("in range");
                }
                Some((_, Response::NotRun(_))) => not_run += 1.0,
                _ => {}
            }
        }
        println!(
            "  {kind:<8} {count:>5}  {:>15.2}%  {:>4.1}%  {:>6.1}%  {:>6.2}  {:>7.2}",
            answered / count * 100.0,
            full / count * 100.0,
            not_run / count * 100.0,
            times.value_at_quantile(0.5) as f64 / 1_000.0,
            times.value_at_quantile(0.99) as f64 / 1_000.0,
        );
    }
}
