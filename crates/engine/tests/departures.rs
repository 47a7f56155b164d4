//! Failure domains, leafs and nodes leave and return without lost or partial answers.

use std::time::Duration;

use fakenet::{DOMAINS, Net, Options, initial_map};
use monsoondeal_config::Edit;
use monsoondeal_core::{LeafId, Time};
use monsoondeal_engine::io::{Response, Token};
use rand::RngExt;
use rstest::rstest;

/// Maximum time until a failure domain or a leaf that was taken out gets no new calls.
const MAX_REMOVAL_TIME: Duration = Duration::from_secs(8);

/// Sends a request every 5 ms for a time, and returns their tokens.
fn send_load(net: &mut Net, span: Duration) -> Vec<Token> {
    let end = net.now + span;
    let mut tokens = Vec::new();
    while net.now < end {
        let node = net.random_ready_node();
        tokens.push(net.request(node, "lookup", None));
        net.run_for(Duration::from_millis(5));
    }
    tokens
}

/// Returns the leafs of a failure domain in the partition map with 8 groups.
fn domain_leafs(domain: &str) -> Vec<LeafId> {
    let map = initial_map(8, 1);
    map.leafs()
        .filter(|(_, leaf)| leaf.domain == domain)
        .map(|(_, leaf)| leaf.leaf)
        .collect()
}

/// Counts the requests that were answered in full, and prints the others.
fn count_full_answers(net: &Net, tokens: &[Token]) -> usize {
    let full = |token: &&Token| match net.response(**token) {
        Some(Response::Answered(answer)) if answer.coverage.is_full() => true,
        other => {
            let node = net
                .responses
                .iter()
                .find(|e| e.token == **token)
                .map(|e| (e.node, e.at));
            println!("{token:?} at {node:?}: {other:?}");
            false
        }
    };
    tokens.iter().filter(full).count()
}

fn last_call_start(net: &Net, leafs: &[LeafId]) -> Time {
    leafs
        .iter()
        .map(|leaf| net.leafs.last_start(*leaf))
        .max()
        .unwrap_or_default()
}

fn no_fault(_: &mut Net) {}

fn isolate_one(net: &mut Net) {
    let node = net.random_running_node();
    net.isolate(node);
}

fn freeze_one(net: &mut Net) {
    let node = net.random_running_node();
    net.freeze(node);
}

fn kill_watchers(net: &mut Net) {
    for node in net.store_watchers() {
        net.kill(node, true);
    }
}

#[rstest]
#[case::no_fault(no_fault)]
#[case::node_isolated(isolate_one)]
#[case::node_frozen(freeze_one)]
#[case::watchers_killed(kill_watchers)]
fn domain_out_gets_no_new_work(#[case] fault: fn(&mut Net)) {
    for (seed, domain) in (0..8).zip(DOMAINS.iter().cycle()) {
        let mut net = Net::start(Options {
            seed,
            nodes: 9,
            ..Options::default()
        });
        send_load(&mut net, Duration::from_millis(500));
        fault(&mut net);
        net.edit(Edit::DomainOut {
            domain: (*domain).to_owned(),
        });
        let taken_out = net.now;
        send_load(&mut net, Duration::from_secs(12));
        for node in 0..net.nodes.len() {
            net.thaw(node);
        }
        let later = send_load(&mut net, Duration::from_secs(6));
        net.run_for(Duration::from_secs(3));
        let last = last_call_start(&net, &domain_leafs(domain));
        assert!(
            last <= taken_out + MAX_REMOVAL_TIME,
            "last call {:?} after the domain was taken out, seed {seed}",
            last.since(taken_out)
        );
        // Replicas in other failure domains cover every group.
        let full = count_full_answers(&net, &later[later.len() / 2..]);
        assert_eq!(
            full,
            later.len() - later.len() / 2,
            "full answers, seed {seed}"
        );
    }
}

#[test]
fn domain_in_gets_calls_again() {
    let mut net = Net::start(Options::default());
    net.edit(Edit::DomainOut {
        domain: "p1".to_owned(),
    });
    net.run_for(Duration::from_secs(5));
    net.edit(Edit::DomainIn {
        domain: "p1".to_owned(),
    });
    net.run_for(Duration::from_secs(5));
    let before = net.now;
    send_load(&mut net, Duration::from_secs(5));
    assert!(last_call_start(&net, &domain_leafs("p1")) > before);
}

/// All requests are answered in full while a failure domain leaves and returns.
#[test]
fn domain_out_and_in_keeps_full_answers() {
    let mut net = Net::start(Options::default());
    let mut tokens = send_load(&mut net, Duration::from_secs(2));
    net.edit(Edit::DomainOut {
        domain: "p2".to_owned(),
    });
    tokens.extend(send_load(&mut net, Duration::from_secs(4)));
    net.edit(Edit::DomainIn {
        domain: "p2".to_owned(),
    });
    tokens.extend(send_load(&mut net, Duration::from_secs(4)));
    net.run_for(Duration::from_secs(2));
    assert_eq!(count_full_answers(&net, &tokens), tokens.len());
}

#[test]
fn leaf_out_gets_no_new_work() {
    let mut net = Net::start(Options::default());
    net.edit(Edit::LeafOut { leaf: LeafId(5) });
    let taken_out = net.now;
    let tokens = send_load(&mut net, Duration::from_secs(10));
    net.run_for(Duration::from_secs(2));
    assert!(net.leafs.last_start(LeafId(5)) <= taken_out + MAX_REMOVAL_TIME);
    assert_eq!(count_full_answers(&net, &tokens), tokens.len());
}

/// All requests are answered in full while nodes are replaced one after the other: a new node joins,
/// then the old one stops.
#[test]
fn planned_stop_keeps_full_answers() {
    for seed in 0..5 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        let mut tokens = Vec::new();
        for old in 0..6 {
            net.add_node();
            tokens.extend(send_load(&mut net, Duration::from_secs(4)));
            net.stop(old);
            tokens.extend(send_load(&mut net, Duration::from_secs(4)));
            assert!(
                net.nodes[old].stopped,
                "node {old} has not stopped, seed {seed}"
            );
            net.kill(old, false);
        }
        net.run_for(Duration::from_secs(3));
        let full = count_full_answers(&net, &tokens);
        assert_eq!(full, tokens.len(), "full answers, seed {seed}");
    }
}

/// A stopping node completes its requests in flight, including at-most-once requests.
#[test]
fn planned_stop_completes_running_requests() {
    let mut net = Net::start(Options::default());
    net.leafs.service_time = Duration::from_millis(100);
    let mut tokens = Vec::new();
    for i in 0..5 {
        tokens.push(net.request(2, "lookup", None));
        tokens.push(net.request(2, "order", Some(&format!("find-{i}"))));
    }
    net.stop(2);
    net.run_for(Duration::from_secs(5));
    assert!(net.nodes[2].stopped);
    for token in tokens {
        let response = net.response(token);
        let answered = matches!(response, Some(Response::Answered(_)));
        assert!(answered, "{token:?}: {response:?}");
    }
}

/// When all nodes of a failure domain are lost at the same time, the others take over their leafs.
#[test]
fn nodes_of_domain_lost_and_replaced() {
    for seed in 0..5 {
        let mut net = Net::start(Options {
            seed,
            nodes: 8,
            ..Options::default()
        });
        net.kill(1, true);
        net.kill(5, true);
        net.run_for(Duration::from_secs(9));
        let tokens = send_load(&mut net, Duration::from_secs(3));
        net.run_for(Duration::from_secs(2));
        assert_eq!(
            count_full_answers(&net, &tokens),
            tokens.len(),
            "full answers after the loss, seed {seed}"
        );
        net.add_node();
        net.add_node();
        let tokens = send_load(&mut net, Duration::from_secs(8));
        net.run_for(Duration::from_secs(2));
        assert_eq!(
            count_full_answers(&net, &tokens),
            tokens.len(),
            "full answers while new nodes join, seed {seed}"
        );
        net.assert_settled(8);
    }
}

/// After nodes have joined and failed at random, the roster consists of the living ones.
#[test]
fn roster_settles_after_churn() {
    for seed in 0..10 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        for _ in 0..12 {
            if net.running_nodes().len() > 5 && net.rng.random_bool(0.5) {
                let node = net.random_running_node();
                let silently = net.rng.random_bool(0.5);
                net.kill(node, silently);
            } else {
                net.add_node();
            }
            let delay_ms = net.rng.random_range(0..3_000);
            net.run_for(Duration::from_millis(delay_ms));
        }
        net.run_for(Duration::from_secs(60));
        net.assert_settled(net.running_nodes().len());
    }
}

/// When all nodes of a cell are replaced at the same time, the new ones take over after the
/// platform's list shows that the old VMs are gone.
#[test]
fn cell_with_all_nodes_replaced_recovers() {
    for seed in 0..5 {
        let mut net = Net::start(Options {
            seed,
            ..Options::default()
        });
        for node in 0..6 {
            net.kill(node, true);
        }
        for _ in 0..6 {
            net.add_node();
        }
        net.run_for(Duration::from_secs(60));
        net.assert_settled(6);
        let tokens = send_load(&mut net, Duration::from_secs(3));
        net.run_for(Duration::from_secs(2));
        assert_eq!(
            count_full_answers(&net, &tokens),
            tokens.len(),
            "seed {seed}"
        );
    }
}

/// Without the platform's list, the new nodes take over after an operator has declared the old ones
/// gone.
#[test]
fn cell_with_all_nodes_replaced_recovers_by_operator() {
    let mut net = Net::start(Options::default());
    net.stop_vm_updates();
    for node in 0..6 {
        net.kill(node, true);
        let gone = net.nodes[node].member.node;
        net.edit(Edit::NodeGone { node: gone });
    }
    for _ in 0..6 {
        net.add_node();
    }
    net.run_for(Duration::from_secs(60));
    net.assert_settled(6);
}

/// New nodes don't take over a cell that is alive but can't be reached by them, however long they wait.
#[test]
fn cell_unreachable_for_new_nodes_is_not_taken_over() {
    let mut net = Net::start(Options::default());
    for _ in 0..3 {
        let new_node = net.add_node();
        (0..6).for_each(|old| net.cut(old, new_node));
    }
    for _ in 0..100 {
        let node = net.rng.random_range(0..6);
        net.request(node, "lookup", None);
        net.run_for(Duration::from_secs(1));
    }
    assert_eq!(net.leafs.node_overlaps, 0);
    assert_eq!(net.nodes[0].engine.cell().roster().members.len(), 6);
}
