//! What tells the orders of a service apart.

use monsoondeal_moves::{OrderId, OrderKey};
use proptest::prelude::*;

fn id() -> impl Strategy<Value = OrderId> {
    (0_u64..4, 0_u64..4).prop_map(|(created, revision)| OrderId { created, revision })
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
            revision: 9,
        },
        version: "v2".to_owned(),
    };
    assert!(earlier.is_same(&later));
    let text = serde_json::to_string(&earlier).expect("JSON");
    assert_eq!(text, r#"{"id":7,"version":"v2"}"#);
    let text = serde_json::to_string(&later).expect("JSON");
    assert_eq!(text, r#"{"id":7,"revision":9,"version":"v2"}"#);
}
