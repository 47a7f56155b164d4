//! What tells the orders of a service apart.

use monsoondeal_core::Revision;
use monsoondeal_moves::{OrderId, OrderKey};
use proptest::prelude::*;

fn id() -> impl Strategy<Value = OrderId> {
    (0_u64..4, prop::option::of(0_u64..2), 0_u64..4).prop_map(|(created, era, number)| OrderId {
        created,
        revision: Revision::new(era, number),
    })
}

proptest! {
    /// Of two orders at most one is before the other, and none is before itself.
    #[test]
    fn order_id_is_before(a in id(), b in id()) {
        let relations = [a.is_before(b), b.is_before(a), a.is_same(b)];
        prop_assert_eq!(relations.iter().filter(|holds| **holds).count(), 1);
        prop_assert_eq!(a.is_same(b), b.is_same(a));
        prop_assert!(a.is_same(a));
    }
}

/// A key that an earlier program wrote has no revision, and one that it reads keeps its form.
#[test]
fn order_key_is_read_across_versions() {
    let earlier: OrderKey = serde_json::from_str(r#"{"id":7,"version":"v2"}"#).expect("a key");
    let later = OrderKey {
        id: OrderId {
            created: 7,
            revision: Revision::new(None, 9),
        },
        version: "v2".to_owned(),
    };
    assert!(earlier.is_same(&later));
    let text = serde_json::to_string(&earlier).expect("JSON");
    assert_eq!(text, r#"{"id":7,"version":"v2"}"#);
    let text = serde_json::to_string(&later).expect("JSON");
    assert_eq!(text, r#"{"id":7,"revision":9,"version":"v2"}"#);
}

/// Guards against an order after a return of the store that is taken for an older one (EXPOSURE): numbers go back then,
/// and are given out again.
#[test]
fn order_id_is_ordered_by_era_first() {
    let id = |created, era: Option<u64>, number| OrderId {
        created,
        revision: Revision::new(era, number),
    };
    assert!(id(9, Some(0), 20).is_before(id(3, Some(1), 4)));
    assert!(!id(3, Some(1), 4).is_before(id(9, Some(0), 20)));
    assert!(!id(9, Some(0), 20).is_same(id(9, Some(1), 20)));
    // An earlier program names no era.
    assert!(id(9, None, 20).is_same(id(9, Some(1), 20)));
}

/// The era is stored beside the revision, where earlier programs do not look.
#[test]
fn order_id_keeps_its_era() {
    let id = OrderId {
        created: 7,
        revision: Revision::new(2, 9),
    };
    let text = serde_json::to_string(&id).expect("JSON");
    assert_eq!(text, r#"{"id":7,"revision":9,"era":2}"#);
    assert_eq!(serde_json::from_str::<OrderId>(&text).expect("an id"), id);
}
