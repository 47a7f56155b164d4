//! The directory of leafs: which ones may get new calls.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::leaf;
use monsoondeal_core::Time;
use monsoondeal_edge::{Directory, LeafEntry, Name, Removal};
use rstest::rstest;

const NOW: Time = Time::from_millis(10_000);

fn directory(count: usize) -> Directory {
    let mut directory = Directory::default();
    let leafs = (0..count)
        .map(|index| leaf(&format!("l{index}"), "s"))
        .collect();
    assert!(directory.replace(leafs, NOW).is_empty());
    directory
}

#[test]
fn usable_excludes_draining_leafs_and_closed_domains() {
    let mut directory = directory(2);
    let draining = LeafEntry {
        draining: true,
        ..leaf("l0", "s")
    };
    directory.upsert(draining, NOW);
    assert_eq!(directory.usable("s").len(), 1);
    directory.close_domains(HashSet::from([Name::from("a")]));
    assert!(directory.usable("s").is_empty());
    directory.close_domains(HashSet::new());
    assert_eq!(directory.usable("s").len(), 1);
}

#[test]
fn remove_single_leaf_retires_at_once() {
    let mut directory = directory(10);
    let removal = directory.remove("l3", NOW);
    assert!(matches!(removal, Removal::Retired(_)));
    assert_eq!(directory.usable("s").len(), 9);
    assert_eq!(directory.remove("l3", NOW), Removal::Unknown);
}

#[rstest]
#[case::many_at_once(false)]
#[case::after_an_outage(true)]
fn remove_holds_leafs_while_registry_is_unreliable(#[case] outage: bool) {
    let mut directory = directory(10);
    let removed: Vec<String> = if outage {
        directory.hold_vanished(NOW);
        vec!["l0".to_owned()]
    } else {
        (0..10).map(|index| format!("l{index}")).collect()
    };
    for name in &removed {
        directory.remove(name, NOW);
    }
    let expiry = directory.next_expiry().expect("a removed leaf is held");
    // Running leafs register again within two seconds, and a drained leaf must not get calls after three.
    assert!(expiry >= NOW + Duration::from_secs(2) && expiry < NOW + Duration::from_millis(2_800));

    let last = removed.last().expect("a leaf was removed");
    directory.upsert(leaf(last, "s"), NOW + Duration::from_secs(2));
    directory.expire(NOW + Duration::from_millis(2_800));
    let usable = directory.usable("s");
    let names: Vec<&str> = usable
        .iter()
        .filter_map(|id| directory.entry(*id).map(|entry| &*entry.name))
        .collect();
    assert!(names.contains(&last.as_str()));
    for name in &removed[..removed.len() - 1] {
        let was_retired = !names.contains(&name.as_str());
        assert!(was_retired, "{name} is still usable");
    }
}

#[rstest]
#[case::same_incarnation(1, false)]
#[case::new_incarnation(2, true)]
fn upsert_incarnation(#[case] born: u64, #[case] replaced: bool) {
    let mut directory = directory(1);
    let entry = LeafEntry {
        born,
        ..leaf("l0", "s")
    };
    assert_eq!(directory.upsert(entry, NOW).is_some(), replaced);
    assert_eq!(directory.usable("s").len(), 1);
}

#[test]
fn upsert_ignores_an_older_incarnation() {
    let mut directory = directory(0);
    let newer = LeafEntry {
        born: 5,
        ..leaf("l0", "s")
    };
    let older = LeafEntry {
        born: 4,
        draining: true,
        ..leaf("l0", "s")
    };
    directory.upsert(newer, NOW);
    assert_eq!(directory.upsert(older, NOW), None);
    assert_eq!(directory.usable("s").len(), 1);
}

#[test]
fn replace_drops_unlisted_leafs() {
    let mut directory = directory(10);
    let listed = (1..10)
        .map(|index| leaf(&format!("l{index}"), "s"))
        .collect();
    assert_eq!(directory.replace(listed, NOW).len(), 1);
    assert_eq!(directory.len(), 9);
}
