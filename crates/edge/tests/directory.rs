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
    directory.close_domains(HashSet::from([Name::from("a")]), NOW);
    assert!(directory.usable("s").is_empty());
    directory.close_domains(HashSet::new(), NOW);
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

/// When the store is restored from an older copy, and when it has settled.
const RESTORED_AT: Time = Time::from_millis(20_000);
const SETTLED_AT: Time = Time::from_millis(25_001);

/// Guards against a leaf that gets work again since the copy says that it does not drain yet.
#[test]
fn draining_leaf_keeps_draining_over_the_return() {
    let mut directory = directory(2);
    let draining = LeafEntry {
        draining: true,
        ..leaf("l0", "s")
    };
    directory.upsert(draining, NOW);
    directory.store_restored(RESTORED_AT);
    directory.replace(vec![leaf("l0", "s"), leaf("l1", "s")], RESTORED_AT);
    assert_eq!(directory.usable("s").len(), 1);
    // Another incarnation of the name is another leaf.
    let next = LeafEntry {
        born: leaf("l0", "s").born + 1,
        ..leaf("l0", "s")
    };
    directory.upsert(next, RESTORED_AT);
    assert_eq!(directory.usable("s").len(), 2);
}

/// Guards against calls to a leaf that has left, and whose entry came back with the copy. If it is alive, it writes its
/// entry again.
#[rstest]
#[case::written_again(true)]
#[case::settled(false)]
fn retired_leaf_is_not_called_when_its_entry_comes_back(#[case] is_written: bool) {
    let mut directory = directory(10);
    directory.remove("l3", NOW);
    directory.store_restored(RESTORED_AT);
    directory.upsert(leaf("l3", "s"), RESTORED_AT);
    assert_eq!(directory.usable("s").len(), 9);
    if is_written {
        directory.upsert(leaf("l3", "s"), RESTORED_AT);
    } else {
        directory.expire(SETTLED_AT);
    }
    assert_eq!(directory.usable("s").len(), 10);
}

/// Guards against a living leaf that is dropped since the copy is older than its entry.
#[test]
fn leaf_missing_in_the_copy_is_held() {
    let mut directory = directory(10);
    directory.store_restored(RESTORED_AT);
    let rest = (1..10).map(|index| leaf(&format!("l{index}"), "s"));
    assert!(directory.replace(rest.collect(), RESTORED_AT).is_empty());
    assert_eq!(directory.usable("s").len(), 10);
    directory.expire(SETTLED_AT);
    assert_eq!(directory.usable("s").len(), 9);
}

/// Guards against a domain that is opened since the copy is older than its evacuation (EVAC).
#[rstest]
#[case::closed_again(true)]
#[case::settled(false)]
fn closed_domain_stays_closed_until_the_store_has_settled(#[case] is_closed_again: bool) {
    let mut directory = directory(2);
    let closed = || HashSet::from([Name::from("a")]);
    directory.close_domains(closed(), NOW);
    directory.store_restored(RESTORED_AT);
    directory.close_domains(HashSet::new(), RESTORED_AT);
    assert!(directory.usable("s").is_empty());
    if is_closed_again {
        directory.close_domains(closed(), RESTORED_AT);
    }
    assert_eq!(
        directory.next_expiry(),
        Some(RESTORED_AT + Duration::from_secs(5))
    );
    directory.expire(SETTLED_AT);
    assert_eq!(directory.usable("s").is_empty(), is_closed_again);
    assert_eq!(directory.next_expiry(), None);
}
