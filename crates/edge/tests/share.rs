//! Shares of what all nodes use together.

use monsoondeal_core::Time;
use monsoondeal_edge::{Name, Shares};
use proptest::prelude::*;

proptest! {
    /// Whatever the requests and however often repeats are wanted, all nodes together keep to the
    /// bound in any span that starts with their start.
    #[test]
    fn repeats_of_all_nodes_stay_within_the_bound(
        nodes in 1_usize..12,
        wants in proptest::collection::vec((0_usize..12, 0_u8..6), 1..400),
    ) {
        let (ratio, slack) = (0.2, 52.0);
        let service = Name::from("s");
        let mut shares: Vec<Shares> = (0..nodes).map(|_| Shares::new(nodes, ratio, slack)).collect();
        let (mut requests, mut repeats) = (0, 0);
        for (node, wanted) in wants {
            let share = &mut shares[node % nodes];
            share.earn(&service, nodes, Time::default());
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
