//! Shares of what all nodes use together.

use monsoondeal_core::Time;
use monsoondeal_edge::{Name, Shares};
use proptest::prelude::*;

const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;

/// What happens to one of the nodes.
#[derive(Clone, Debug)]
enum Event {
    /// It gets requests, and wants as many repeats of each as it may have.
    Requests(usize),
    /// Its process ends and starts anew.
    Restart,
    /// Its list of nodes shows more nodes than there are.
    LongerList(usize),
    /// Its list of nodes is right again.
    RightList,
    /// Its settings hold other bounds, up to the right ones, as a share of them.
    Bounds(f64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (1_usize..40).prop_map(Event::Requests),
        Just(Event::Restart),
        (1_usize..4).prop_map(Event::LongerList),
        Just(Event::RightList),
        (0.5_f64..=1.0).prop_map(Event::Bounds),
    ]
}

proptest! {
    /// Neither changes of the list of nodes or of the bounds nor one restart of each node let repeats go over
    /// the bound, in any span.
    #[test]
    fn repeats_stay_within_the_bound_through_changes(
        nodes in 1_usize..12,
        events in proptest::collection::vec((0_usize..12, event()), 1..200),
    ) {
        let service = Name::from("s");
        let mut counts = vec![nodes; nodes];
        let mut shares: Vec<Shares> = (0..nodes).map(|_| Shares::new(nodes, RATIO, SLACK)).collect();
        // Repeats beyond the ratio in the span that ends now and has the most of them.
        let mut has_restarted = vec![false; nodes];
        let (mut excess, mut most) = (0.0_f64, 0.0_f64);
        for (node, event) in events {
            let node = node % nodes;
            let share = &mut shares[node];
            match event {
                Event::Requests(count) => {
                    for _ in 0..count {
                        share.count_request(&service, counts[node], Time::default());
                        excess = (excess - RATIO).max(-RATIO);
                        while share.try_repeat(&service, counts[node], Time::default()) {
                            excess = excess.max(0.0) + 1.0;
                            most = most.max(excess);
                        }
                    }
                }
                Event::Restart if has_restarted[node] => {}
                Event::Restart => {
                    *share = Shares::new(counts[node], RATIO, SLACK);
                    has_restarted[node] = true;
                }
                Event::LongerList(more) => counts[node] = nodes + more,
                Event::RightList => counts[node] = nodes,
                Event::Bounds(part) => share.set_bounds(RATIO * part, SLACK * part),
            }
            share.set_nodes(counts[node]);
        }
        prop_assert!(most <= SLACK, "{most} repeats beyond the ratio");
    }
    /// Whatever the requests and however often repeats are wanted, all nodes together keep to the
    /// bound in any span that starts with their start.
    #[test]
    fn repeats_of_all_nodes_stay_within_the_bound(
        nodes in 1_usize..12,
        wants in proptest::collection::vec((0_usize..12, 0_u8..6), 1..400),
    ) {
        let (ratio, slack) = (RATIO, SLACK);
        let service = Name::from("s");
        let mut shares: Vec<Shares> = (0..nodes).map(|_| Shares::new(nodes, ratio, slack)).collect();
        let (mut requests, mut repeats) = (0, 0);
        for (node, wanted) in wants {
            let share = &mut shares[node % nodes];
            share.count_request(&service, nodes, Time::default());
            requests += 1;
            repeats += (0..wanted).filter(|_| share.try_repeat(&service, nodes, Time::default())).count();
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
