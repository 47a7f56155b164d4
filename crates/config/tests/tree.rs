//! The configuration tree: inheritance, the final say, and invalid input.

use std::time::Duration;

use monsoondeal_config::{Change, ChangeId, Edit, Level, Tree};
use monsoondeal_core::{LeafId, Priority, TreeVersion};
use rstest::rstest;
use serde_json::{Value, json};

fn level(text: &str) -> Level {
    text.parse().expect("a level")
}

fn set(at: &str, setting: &str, value: Value) -> Edit {
    Edit::Set {
        level: level(at),
        setting: setting.to_owned(),
        value,
    }
}

fn change(actor: Option<&str>, edit: Edit) -> Change {
    Change {
        id: ChangeId(1),
        actor: actor.map(str::to_owned),
        expects: None,
        edit,
    }
}

fn apply(tree: &Tree, edits: &[Edit]) -> Tree {
    let step = |tree: Tree, edit: &Edit| tree.apply(&change(None, edit.clone())).expect("valid");
    edits.iter().fold(tree.clone(), step)
}

/// Returns a tree with two owners and a service each.
fn tree() -> Tree {
    let owner = |name: &str| Edit::CreateOwner {
        owner: name.to_owned(),
    };
    let service = |name: &str, owner: &str| Edit::CreateService {
        service: name.to_owned(),
        owner: owner.to_owned(),
        cell: "main".to_owned(),
    };
    let edits = [
        owner("torino"),
        owner("milano"),
        service("catalogue", "torino"),
        service("field", "milano"),
    ];
    apply(&Tree::default(), &edits)
}

fn hand_over(owner: &str, month: &str) -> Edit {
    Edit::HandOver {
        owner: owner.to_owned(),
        month: month.to_owned(),
    }
}

#[test]
fn resolve_nearest_level_wins() {
    let tree = apply(
        &tree(),
        &[
            set("/", "deadline_ms", json!(900)),
            set("/", "slots", json!(5)),
            set("/torino", "deadline_ms", json!(700)),
            set("/torino/catalogue", "priority", json!("first")),
            set("/torino/catalogue/urgent", "deadline_ms", json!(73)),
            set("/torino/catalogue/urgent", "slots", json!(9)),
        ],
    );
    let urgent = tree.resolve("catalogue", "urgent").expect("a service");
    assert_eq!(urgent.kind.deadline, Duration::from_millis(73));
    assert_eq!(urgent.kind.priority, Priority::First);
    // Leafs serve all kinds, so overrides of their limits end at the service level.
    assert_eq!(urgent.limits.slots, 5);
    let other = tree.resolve("catalogue", "other").expect("a service");
    assert_eq!(other.kind.deadline, Duration::from_millis(700));
    let field = tree.resolve("field", "trail").expect("a service");
    assert_eq!(field.kind.deadline, Duration::from_millis(900));
    assert!(tree.resolve("nothing", "x").is_none());
}

#[test]
fn origin_names_the_level() {
    let tree = apply(&tree(), &[set("/torino", "weight", json!(2))]);
    let origin = tree
        .origin(&level("/torino/catalogue/urgent"), "weight")
        .expect("set above");
    assert_eq!(
        (origin.value, origin.level),
        (json!(2), Some(level("/torino")))
    );
    assert!(tree.origin(&level("/milano"), "weight").is_none());
    let unset = Edit::Unset {
        level: level("/torino"),
        setting: "weight".to_owned(),
    };
    let tree = apply(&tree, &[unset]);
    assert!(tree.origin(&level("/torino"), "weight").is_none());
    assert!(tree.overrides.is_empty());
}

/// The holder of the final say may change anything; another owner, also the former holder, only its own
/// levels.
#[rstest]
#[case::holder_estate("torino", set("/", "slots", json!(3)), true)]
#[case::holder_other_owner("torino", set("/milano/field", "slots", json!(3)), true)]
#[case::holder_hands_over("torino", hand_over("milano", "2027-01"), true)]
#[case::other_own_level("milano", set("/milano/field", "slots", json!(3)), true)]
#[case::other_estate("milano", set("/", "slots", json!(3)), false)]
#[case::other_foreign_level("milano", set("/torino", "slots", json!(3)), false)]
#[case::other_takes_say("milano", hand_over("milano", "2027-01"), false)]
#[case::other_domain("milano", Edit::DomainOut { domain: "p1".to_owned() }, false)]
fn final_say_permissions(#[case] actor: &str, #[case] edit: Edit, #[case] allowed: bool) {
    let tree = apply(&tree(), &[hand_over("torino", "2026-12")]);
    let result = tree.apply(&change(Some(actor), edit));
    assert_eq!(result.is_ok(), allowed, "{result:?}");
}

#[test]
fn final_say_late_write_of_former_holder_is_refused() {
    let before = apply(&tree(), &[hand_over("torino", "2026-12")]);
    let late = change(Some("torino"), set("/", "slots", json!(9)));
    assert!(before.apply(&late).is_ok());
    let after = before
        .apply(&change(Some("torino"), hand_over("milano", "2027-01")))
        .expect("the holder hands over");
    assert!(after.apply(&late).is_err());
    assert_eq!(after.final_say.map(|say| say.term), Some(2));
}

#[test]
fn has_accepted_after_lost_reply() {
    let edit = set("/torino", "weight", json!(2));
    let sent = Change {
        id: ChangeId(77),
        actor: None,
        expects: None,
        edit,
    };
    let tree = tree().apply(&sent).expect("valid");
    assert!(tree.has_accepted(ChangeId(77)));
    assert!(!tree.has_accepted(ChangeId(78)));
}

#[test]
fn apply_refuses_outdated_expected_version() {
    let mut stale = change(None, set("/torino", "weight", json!(2)));
    stale.expects = Some(TreeVersion(1));
    let findings = tree()
        .apply(&stale)
        .expect_err("the expected version is outdated");
    assert!(findings.to_string().contains("look again"), "{findings}");
}

#[rstest]
#[case::no_level(set("/nobody", "slots", json!(3)), "no level /nobody")]
#[case::unknown_setting(set("/torino", "colour", json!(3)), "unknown setting 'colour'")]
#[case::wrong_type(set("/torino", "slots", json!("many")), "must be a whole number")]
#[case::out_of_range(set("/torino", "hedge_ratio", json!(0.9)), "must be a number from 0 to 0.5")]
#[case::bad_priority(set("/torino", "priority", json!("top")), "\"first\", \"normal\" or \"bulk\"")]
#[case::bad_month(hand_over("torino", "2026-13"), "must be a month")]
#[case::unknown_owner(hand_over("roma", "2026-12"), "no owner 'roma'")]
#[case::owner_twice(Edit::CreateOwner { owner: "torino".to_owned() }, "exists already")]
#[case::bad_name(Edit::CreateOwner { owner: "To rino".to_owned() }, "lower-case letters")]
#[case::domain_not_out(Edit::DomainIn { domain: "p1".to_owned() }, "domain is not out")]
#[case::leaf_not_leaving(Edit::LeafIn { leaf: LeafId(1) }, "leaf is not leaving")]
#[case::not_overridden(
    Edit::Unset { level: level("/torino"), setting: "slots".to_owned() },
    "does not override"
)]
fn edit_bad_input(#[case] edit: Edit, #[case] expected: &str) {
    let findings = tree()
        .apply(&change(None, edit))
        .expect_err("the edit is invalid");
    assert!(findings.to_string().contains(expected), "{findings}");
}

#[rstest]
#[case::no_slash("torino")]
#[case::too_deep("/a/b/c/d")]
#[case::empty_name("/a//c")]
#[case::upper_case("/Torino")]
fn level_bad_text(#[case] text: &str) {
    assert!(text.parse::<Level>().is_err());
}

#[test]
fn tree_serialization_round_trip() {
    let tree = apply(
        &tree(),
        &[
            set("/torino/catalogue/urgent", "deadline_ms", json!(73)),
            hand_over("milano", "2026-12"),
        ],
    );
    let text = serde_json::to_string(&tree).expect("trees can be serialized");
    assert_eq!(serde_json::from_str::<Tree>(&text).expect("and read"), tree);
}
