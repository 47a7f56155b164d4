//! A node's shares of the limits that all nodes have in common.

use monsoondeal_core::Time;
use monsoondeal_edge::{Name, Shares};
use proptest::prelude::*;

/// Repeats allowed per request.
const RATIO: f64 = 0.2;
/// Repeats allowed beyond the ratio, for all nodes together.
const SLACK: f64 = 52.0;

/// An event at one of the nodes.
#[derive(Clone, Debug)]
enum Event {
    /// Requests arrive, and each is repeated as often as the node's share allows.
    Requests(usize),
    /// The node restarts.
    Restart,
    /// The node's list of nodes has this many nodes too many.
    ExtraNodes(usize),
    /// The node's list of nodes is correct again.
    CorrectNodes,
    /// The node's settings hold this fraction of the correct bounds.
    Bounds(f64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1_usize..40).prop_map(Event::Requests),
        Just(Event::Restart),
        (1_usize..4).prop_map(Event::ExtraNodes),
        Just(Event::CorrectNodes),
        (0.5_f64..=1.0).prop_map(Event::Bounds),
    ]
}

proptest! {
    /// Repeats stay within the bound over any span, even if lists of nodes and bounds change and each node restarts
    /// once.
    #[test]
    fn repeats_stay_within_the_bound_through_changes(
        nodes in 1_usize..12,
        events in proptest::collection::vec((0_usize..12, event()), 1..200),
    ) {
        let service = Name::from("s");
        let mut listed_nodes = vec![nodes; nodes];
        let mut shares: Vec<Shares> = (0..nodes).map(|_| Shares::new(nodes, RATIO, SLACK)).collect();
        let mut has_restarted = vec![false; nodes];
        // Repeats beyond the ratio: the most over any span that ends now, and the most over any span so far.
        let (mut excess, mut max_excess) = (0.0_f64, 0.0_f64);
        for (node, event) in events {
            let node = node % nodes;
            let share = &mut shares[node];
            match event {
                Event::Requests(count) => {
                    for _ in 0..count {
                        share.count_request(&service, listed_nodes[node], Time::default());
                        excess = (excess - RATIO).max(-RATIO);
                        while share.try_repeat(&service, listed_nodes[node], Time::default()) {
                            excess = excess.max(0.0) + 1.0;
                            max_excess = max_excess.max(excess);
                        }
                    }
                }
                Event::Restart if has_restarted[node] => {}
                Event::Restart => {
                    *share = Shares::new(listed_nodes[node], RATIO, SLACK);
                    has_restarted[node] = true;
                }
                Event::ExtraNodes(extra) => listed_nodes[node] = nodes + extra,
                Event::CorrectNodes => listed_nodes[node] = nodes,
                Event::Bounds(fraction) => share.set_bounds(RATIO * fraction, SLACK * fraction),
            }
            share.set_nodes(listed_nodes[node]);
        }
        prop_assert!(max_excess <= SLACK, "{max_excess} repeats beyond the ratio");
    }

    /// The repeats of all nodes stay within the bound over any span that begins with the start of the nodes, however
    /// many repeats are attempted.
    #[test]
    fn repeats_of_all_nodes_stay_within_the_bound(
        nodes in 1_usize..12,
        attempts in proptest::collection::vec((0_usize..12, 0_u8..6), 1..400),
    ) {
        let (ratio, slack) = (RATIO, SLACK);
        let service = Name::from("s");
        let mut shares: Vec<Shares> = (0..nodes).map(|_| Shares::new(nodes, ratio, slack)).collect();
        let (mut requests, mut repeats) = (0, 0);
        for (node, count) in attempts {
            let share = &mut shares[node % nodes];
            share.count_request(&service, nodes, Time::default());
            requests += 1;
            repeats += (0..count).filter(|_| share.try_repeat(&service, nodes, Time::default())).count();
        }
        prop_assert!(repeats as f64 <= ratio * f64::from(requests) + slack);
    }
}

#[test]
fn connections_of_all_nodes_stay_within_the_bound() {
    for nodes in 1..=30 {
        let share = Shares::connections(30, nodes);
        assert!(share >= 1 && share * nodes <= 30);
    }
}
