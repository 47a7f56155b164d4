//! Placement of leases, computed at the target size.

use std::collections::{HashMap, HashSet};

use monsoondeal_core::{LeafId, NodeId, PlacementItem, Position};
use monsoondeal_route::{Placement, load_bound, place, placement_item};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Cells of the target: 7,200 nodes and 37,000 leafs.
const CELLS: usize = 225;
const CELL_NODES: usize = 32;
const LEAFS: usize = 37_000;
/// Groups of the smaller cells; the larger ones have one more.
const GROUPS: usize = 82;
/// Connections that every leaf accepts at least.
const LEAF_CONNECTIONS: usize = 25;
/// Connections that one holder opens to a leaf: one per slot.
const HOLDER_CONNECTIONS: usize = 3;

fn nodes(rng: &mut SmallRng, count: usize) -> Vec<Position> {
    let position = |number| Position {
        number,
        node: NodeId(rng.random()),
    };
    (0..count as u32).map(position).collect()
}

fn items(cell: usize, groups: usize) -> Vec<PlacementItem> {
    let service = format!("service-{cell}");
    let leaf = |group: usize, replica: usize| LeafId((cell * 1_000 + group * 2 + replica) as u64);
    let pairs = (0..groups).flat_map(|g| [(g, 0), (g, 1)]);
    pairs
        .map(|(g, r)| placement_item(leaf(g, r), &service, g as u32))
        .collect()
}

/// Returns the cells of the target.
fn target_cells() -> Vec<(Vec<Position>, Vec<PlacementItem>)> {
    let mut rng = SmallRng::seed_from_u64(7_200);
    let larger = (LEAFS - CELLS * GROUPS * 2) / 2;
    let cell = |c: usize, rng: &mut SmallRng| {
        let groups = GROUPS + usize::from(c < larger);
        (nodes(rng, CELL_NODES), items(c, groups))
    };
    (0..CELLS).map(|c| cell(c, &mut rng)).collect()
}

fn loads(placement: &Placement) -> HashMap<NodeId, usize> {
    let mut loads = HashMap::new();
    placement
        .iter()
        .for_each(|(_, node)| *loads.entry(node).or_default() += 1);
    loads
}

/// Returns how many leafs change their holder.
fn moves(before: &Placement, after: &Placement) -> usize {
    before
        .iter()
        .filter(|(leaf, node)| after.holder(*leaf) != Some(*node))
        .count()
}

#[test]
fn place_target_load() {
    let cells = target_cells();
    assert_eq!(
        cells.iter().map(|(_, items)| items.len()).sum::<usize>(),
        LEAFS
    );
    assert_eq!(
        cells.iter().map(|(nodes, _)| nodes.len()).sum::<usize>(),
        7_200
    );
    let mean = LEAFS as f64 / 7_200.0;
    for (nodes, items) in &cells {
        let placement = place(nodes, items);
        assert_eq!(
            placement.iter().count(),
            items.len(),
            "every leaf has a holder"
        );
        let most = loads(&placement).values().copied().max().unwrap_or(0);
        assert!(
            most as f64 <= mean * 1.25,
            "load {most} at a mean of {mean}"
        );
    }
}

/// Change of the nodes of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Join,
    Leave,
    Replace,
}

/// During any single change, each leaf stays within its connections and each node within the load
/// bound; over all cells of the target, at most twice as many leases move as necessary.
#[rstest]
#[case::join(Change::Join)]
#[case::leave(Change::Leave)]
#[case::replace(Change::Replace)]
fn place_target_change(#[case] change: Change) {
    let mut rng = SmallRng::seed_from_u64(37_000);
    let (mut moved, mut least) = (0, 0);
    for (nodes, items) in target_cells() {
        let before = place(&nodes, &items);
        let mut next = nodes.clone();
        let leaving = rng.random_range(0..next.len());
        let joining = NodeId(rng.random());
        match change {
            Change::Join => next.push(Position {
                number: next.len() as u32,
                node: joining,
            }),
            Change::Leave => drop(next.swap_remove(leaving)),
            Change::Replace => next[leaving].node = joining,
        }
        let after = place(&next, &items);

        least += match change {
            // Even share of the joining node.
            Change::Join => items.len() / next.len(),
            // Leafs held by the leaving node.
            Change::Leave | Change::Replace => loads(&before)
                .get(&nodes[leaving].node)
                .copied()
                .unwrap_or(0),
        };
        moved += moves(&before, &after);
        let mean = items.len() as f64 / next.len() as f64;
        let most = loads(&after).values().copied().max().unwrap_or(0);
        assert!(
            most as f64 <= mean * 1.25,
            "load {most} at a mean of {mean}"
        );
        for item in &items {
            let holders: HashSet<_> = [before.holder(item.leaf), after.holder(item.leaf)]
                .into_iter()
                .collect();
            assert!(holders.len() * HOLDER_CONNECTIONS <= LEAF_CONNECTIONS);
        }
    }
    let ratio = moved as f64 / least as f64;
    println!("{change:?}: {moved} moved, {least} at the least, ratio {ratio:.2}");
    assert!(
        ratio <= 2.0,
        "{change:?}: moves are {ratio:.2} times the least possible"
    );
}

#[test]
fn place_ignores_order() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut nodes = nodes(&mut rng, 9);
    let mut items = items(1, 20);
    let expected = place(&nodes, &items);
    for _ in 0..20 {
        nodes.shuffle(&mut rng);
        items.shuffle(&mut rng);
        assert_eq!(place(&nodes, &items), expected);
    }
}

#[test]
fn place_replicas_apart() {
    let mut rng = SmallRng::seed_from_u64(2);
    for count in 3..12 {
        let nodes = nodes(&mut rng, count);
        let items = items(2, 30);
        let placement = place(&nodes, &items);
        let together = items
            .chunks(2)
            .filter(|pair| placement.holder(pair[0].leaf) == placement.holder(pair[1].leaf))
            .count();
        // In a small cell, the load bound may place the last few pairs of replicas on one node.
        assert!(
            together <= 3,
            "{together} of 30 pairs on one of {count} nodes"
        );
    }
}

#[rstest]
#[case::no_node(0, 4, 0)]
#[case::one_node(1, 4, 4)]
#[case::fewer_leafs_than_nodes(5, 3, 3)]
fn place_edge_cases(#[case] count: usize, #[case] leafs: usize, #[case] placed: usize) {
    let mut rng = SmallRng::seed_from_u64(3);
    let nodes = nodes(&mut rng, count);
    let items: Vec<PlacementItem> = items(3, leafs).into_iter().step_by(2).collect();
    let placement = place(&nodes, &items);
    assert_eq!(placement.iter().count(), placed);
    let bound = load_bound(count, leafs);
    assert!(loads(&placement).values().all(|load| *load <= bound));
}
