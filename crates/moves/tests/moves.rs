//! Version moves: the sequential test, the plan, the coordinator and the agent of each node.

use std::time::Duration;

use monsoondeal_core::{NodeId, Time};
use monsoondeal_moves::agent::GRANT_DURATION;
use monsoondeal_moves::{
    CoordinatorState, Detector, Evidence, Fault, Grant, MoveAgent, MoveCoordinator, Outcome, Plan,
    RollbackReason, Verdict, VerdictSettings,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const ROUTES: [&str; 2] = ["lookup", "urgent"];

fn plan() -> Plan {
    let start = Time::from_millis(1_000);
    Plan {
        start,
        deadline: start + Duration::from_secs(3_600),
    }
}

fn running(step: usize, since: Time) -> CoordinatorState {
    CoordinatorState::Running { step, since }
}

/// Rates of one version.
#[derive(Clone, Copy, Debug)]
struct Rates {
    failures: f64,
    slow: f64,
}

const OLD: Rates = Rates {
    failures: 0.001,
    slow: 0.25,
};

fn record(evidence: &mut Evidence, rng: &mut SmallRng, route: &str, new: bool, rates: Rates) {
    let failed = rng.random_bool(rates.failures);
    let slow = rng.random_bool(rates.slow);
    evidence.record(route, new, Outcome { failed, slow });
}

/// Requests of the old version for each one of the new, at the first step of a move.
const OLD_PER_NEW: usize = 99;

/// Returns the verdict, evaluated after each of up to `count` requests of the new version on every route,
/// and how many of them it took.
fn judge(seed: u64, count: usize, rates: Rates, bad_route: Option<&str>) -> (Verdict, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evidence = Evidence::default();
    let mut detector = Detector::new(VerdictSettings::default());
    for i in 0..count {
        for route in ROUTES {
            let is_bad = bad_route.is_none_or(|bad| bad == route);
            for _ in 0..OLD_PER_NEW {
                record(&mut evidence, &mut rng, route, false, OLD);
            }
            record(
                &mut evidence,
                &mut rng,
                route,
                true,
                if is_bad { rates } else { OLD },
            );
        }
        if let bad @ Verdict::Bad { .. } = detector.evaluate(&evidence) {
            return (bad, i + 1);
        }
    }
    (detector.evaluate(&evidence), count)
}

#[rstest]
#[case::fails_often(Rates { failures: 0.2, ..OLD }, Fault::Failing, 50)]
#[case::fails_a_little(Rates { failures: 0.02, ..OLD }, Fault::Failing, 1_000)]
#[case::twice_as_slow(Rates { slow: 0.855, ..OLD }, Fault::Slow, 300)]
fn verdict_bad_within_request_limit(
    #[case] rates: Rates,
    #[case] expected: Fault,
    #[case] max_requests: usize,
) {
    let mut needed = Vec::new();
    for seed in 0..100 {
        let (verdict, requests) = judge(seed, 10_000, rates, Some("urgent"));
        let Verdict::Bad { route, fault } = verdict else {
            panic!("{verdict:?}, seed {seed}")
        };
        assert_eq!((route.as_str(), fault), ("urgent", expected), "seed {seed}");
        needed.push(requests);
    }
    needed.sort_unstable();
    assert!(
        needed[94] <= max_requests,
        "95 of 100 within {}",
        needed[94]
    );
}

#[test]
fn verdict_good_stays_good() {
    for seed in 0..10 {
        let (verdict, _) = judge(seed, 5_000, OLD, None);
        assert_eq!(verdict, Verdict::Good, "seed {seed}");
    }
}

#[test]
fn verdict_undecided_until_enough_requests() {
    let (verdict, _) = judge(1, 100, OLD, None);
    assert_eq!(verdict, Verdict::Undecided);
}

/// A fault that begins after many good requests is detected as soon as one from the start.
#[test]
fn verdict_late_fault_is_not_hidden() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut evidence = Evidence::default();
    let mut detector = Detector::new(VerdictSettings::default());
    for _ in 0..50_000 {
        record(&mut evidence, &mut rng, "lookup", false, OLD);
        record(&mut evidence, &mut rng, "lookup", true, OLD);
        assert!(!matches!(detector.evaluate(&evidence), Verdict::Bad { .. }));
    }
    let bad = Rates {
        failures: 0.2,
        ..OLD
    };
    let is_detected = (0..50).any(|_| {
        record(&mut evidence, &mut rng, "lookup", true, bad);
        matches!(detector.evaluate(&evidence), Verdict::Bad { .. })
    });
    assert!(is_detected);
}

/// Returns counts without a fault, of more requests than a good verdict needs.
fn good_evidence(scale: u64) -> Evidence {
    let mut evidence = Evidence::default();
    for route in ROUTES {
        for i in 0..400 * scale {
            let outcome = Outcome {
                failed: false,
                slow: i % 4 == 0,
            };
            evidence.record(route, false, outcome);
            evidence.record(route, true, outcome);
        }
    }
    evidence
}

#[test]
fn coordinator_completes_good_move_in_time() {
    let plan = plan();
    let mut coordinator =
        MoveCoordinator::new(plan, VerdictSettings::default(), running(0, plan.start));
    let mut now = plan.start;
    let mut shares = vec![coordinator.share()];
    while *coordinator.state() != CoordinatorState::Done {
        now = now + Duration::from_secs(10);
        assert!(
            now <= plan.deadline,
            "not completed by the deadline: {:?}",
            coordinator.state()
        );
        coordinator.on_report(NodeId(1), good_evidence(1), now);
        if shares.last() != Some(&coordinator.share()) {
            shares.push(coordinator.share());
        }
    }
    assert!(shares.is_sorted() && shares[0] == 0.01, "{shares:?}");
    assert_eq!(coordinator.share(), 1.0);
}

#[test]
fn coordinator_keeps_share_until_verdict() {
    let plan = plan();
    let mut coordinator =
        MoveCoordinator::new(plan, VerdictSettings::default(), running(0, plan.start));
    coordinator.evaluate(plan.start + Duration::from_secs(1_000));
    assert_eq!(coordinator.share(), 0.01);
}

#[test]
fn coordinator_rolls_back_before_deadline() {
    let plan = plan();
    let mut coordinator =
        MoveCoordinator::new(plan, VerdictSettings::default(), running(0, plan.start));
    let mut now = plan.start;
    while matches!(coordinator.state(), CoordinatorState::Running { .. }) {
        now = now + Duration::from_secs(10);
        coordinator.evaluate(now);
    }
    assert_eq!(
        *coordinator.state(),
        CoordinatorState::Reversed(RollbackReason::TooLate)
    );
    assert!(
        now < plan.deadline,
        "the rollback comes before the deadline"
    );
}

#[rstest]
#[case::operator(RollbackReason::Operator)]
#[case::node_stop(RollbackReason::NodeStop { node: NodeId(7) })]
fn coordinator_rollback_is_final(#[case] reason: RollbackReason) {
    let plan = plan();
    let mut coordinator =
        MoveCoordinator::new(plan, VerdictSettings::default(), running(2, plan.start));
    match reason {
        RollbackReason::NodeStop { node } => coordinator.on_node_stop(node),
        _ => coordinator.on_operator_rollback(),
    }
    coordinator.on_report(
        NodeId(1),
        good_evidence(1),
        plan.start + Duration::from_secs(60),
    );
    coordinator.on_operator_rollback();
    assert_eq!(*coordinator.state(), CoordinatorState::Reversed(reason));
    assert_eq!(coordinator.share(), 0.0);
}

#[test]
fn coordinator_merges_evidence_of_nodes() {
    let plan = plan();
    let mut coordinator =
        MoveCoordinator::new(plan, VerdictSettings::default(), running(0, plan.start));
    // One failure at each node is not significant for a single node.
    for node in 0..12 {
        let mut evidence = Evidence::default();
        for i in 0..40 {
            evidence.record(
                "lookup",
                false,
                Outcome {
                    failed: false,
                    slow: i % 4 == 0,
                },
            );
            evidence.record(
                "lookup",
                true,
                Outcome {
                    failed: i == 0,
                    slow: i % 4 == 0,
                },
            );
        }
        coordinator.on_report(NodeId(node), evidence, plan.start + Duration::from_secs(5));
    }
    let expected = RollbackReason::Fault {
        route: "lookup".to_owned(),
        fault: Fault::Failing,
    };
    assert_eq!(*coordinator.state(), CoordinatorState::Reversed(expected));
}

#[test]
fn agent_needs_valid_grant() {
    let mut agent = MoveAgent::new(VerdictSettings::default());
    let now = Time::from_millis(10_000);
    assert!(!agent.pick_new(now), "no grant yet");
    agent.on_grant(Grant { share: 1.0 }, now);
    assert!(agent.pick_new(now));
    assert!(
        !agent.pick_new(now + GRANT_DURATION),
        "cut off from the coordinator"
    );
    agent.on_grant(Grant { share: 0.5 }, now - Duration::from_secs(1));
    assert!(
        agent.pick_new(now),
        "an older grant does not replace a newer one"
    );
}

#[test]
fn agent_share_is_exact() {
    let mut agent = MoveAgent::new(VerdictSettings::default());
    let now = Time::from_millis(10_000);
    agent.on_grant(Grant { share: 0.05 }, now);
    let new = (0..10_000).filter(|_| agent.pick_new(now)).count();
    assert!((499..=501).contains(&new), "{new}");
}

#[test]
fn agent_stops_on_own_evidence() {
    let mut agent = MoveAgent::new(VerdictSettings::default());
    let now = Time::from_millis(10_000);
    agent.on_grant(Grant { share: 1.0 }, now);
    for i in 0..200 {
        agent.record(
            "lookup",
            false,
            Outcome {
                failed: false,
                slow: i % 4 == 0,
            },
        );
    }
    let failure = Outcome {
        failed: true,
        slow: false,
    };
    let stopped = (0..50).any(|_| agent.record("lookup", true, failure));
    assert!(stopped && agent.is_stopped());
    agent.on_grant(Grant { share: 1.0 }, now + Duration::from_secs(1));
    assert!(
        !agent.pick_new(now + Duration::from_secs(1)),
        "its own stop is permanent"
    );
}

#[test]
fn agent_reports_faults_at_once() {
    let mut agent = MoveAgent::new(VerdictSettings::default());
    let now = Time::from_millis(10_000);
    assert!(agent.due_report(now).is_some());
    let soon = now + Duration::from_millis(20);
    agent.record(
        "lookup",
        true,
        Outcome {
            failed: false,
            slow: false,
        },
    );
    assert!(agent.due_report(soon).is_none());
    agent.record(
        "lookup",
        true,
        Outcome {
            failed: true,
            slow: false,
        },
    );
    assert!(agent.due_report(soon).is_some());
}
