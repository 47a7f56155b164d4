//! Tests of the complete system, as separate processes on loopback.

use std::io;
use std::time::Duration;

use standin::caller::{Balancer, LoadOptions, is_answer_to};
use standin::leaf::LeafControl;
use standin::store::StoreFaults;
use standin::system::{ServiceSpec, System};

/// Returns a single service of 5 groups, which is small enough for a busy machine.
fn services() -> Vec<ServiceSpec> {
    let args = |text: &str| text.split(' ').map(str::to_owned).collect();
    vec![ServiceSpec {
        name: "catalogue",
        owner: "rilegatoria",
        groups: 5,
        replicas: 2,
        leaf_args: args("--slots 3 --connect-ms 2 --service-us 1000 --seed 3"),
        settings: vec![
            ("slots", "3"),
            ("deadline_ms", "5000"),
            ("cold_gap_ms", "1"),
        ],
        kind_settings: vec![("order", "repeatable", "false")],
    }]
}

async fn start(name: &str, nodes: usize) -> io::Result<(System, Balancer)> {
    let mut system = System::start(name, vec!["p1", "p2", "p3", "p4"])?;
    for spec in services() {
        system.add_service(spec).await?;
    }
    for _ in 0..nodes {
        system.add_node()?;
    }
    system.wait_ready().await?;
    let balancer = Balancer::start(system.nodes.iter().map(|n| n.addrs).collect()).await;
    Ok((system, balancer))
}

fn load(kind: &str, rate: f64, seconds: u64) -> LoadOptions {
    LoadOptions {
        service: "catalogue".to_owned(),
        kind: kind.to_owned(),
        rate,
        duration: Duration::from_secs(seconds),
        keyed: kind == "order",
    }
}

/// Waits up to 15 s until the states of all given nodes pass a check.
async fn wait_for_state<F>(system: &System, nodes: &[usize], check: F)
where
    F: Fn(&serde_json::Value) -> bool,
{
    for _ in 0..150 {
        let mut passed = 0;
        for node in nodes {
            let state = system.node_state(system.nodes[*node].addrs.admin).await;
            passed += usize::from(state.is_some_and(|state| check(&state)));
        }
        if passed == nodes.len() {
            return;
        }
        sleep(100).await;
    }
    panic!("nodes did not reach the expected state in 15 s");
}

async fn sleep(millis: u64) {
    compio::time::sleep(Duration::from_millis(millis)).await;
}

/// Asserts that no limit of a leaf was exceeded and that no order ran twice.
async fn assert_leaf_limits_kept(system: &System) {
    for stats in system.leaf_stats(0).await.expect("leafs answer") {
        assert_eq!(stats.over_slots, 0, "calls beyond the slots");
        assert_eq!(stats.over_connections, 0, "connections beyond the limit");
        assert!(
            stats.runs.values().all(|runs| *runs == 1),
            "an order ran twice"
        );
    }
}

#[compio::test]
async fn system_serves_query_and_order() {
    let (system, balancer) = start("serve", 3).await.expect("the system starts");
    let query = balancer
        .send("catalogue", "lookup", None, "marbled paper")
        .await;
    let (status, answer) = query.expect("a response");
    assert_eq!(status, 200);
    assert!(is_answer_to(&answer, "marbled paper"), "{answer}");
    assert_eq!(answer["coverage"]["answered"], 5);
    assert_eq!(answer["coverage"]["total"], 5);
    assert_eq!(answer["snapshot"]["index"], 1);

    for _ in 0..3 {
        let order = balancer
            .send("catalogue", "order", Some("leather-1"), "one hide")
            .await;
        let (status, answer) = order.expect("a response");
        assert_eq!(status, 200, "{answer}");
        assert!(is_answer_to(&answer, "one hide"), "{answer}");
    }
    let stats = system.leaf_stats(0).await.expect("leafs answer");
    let runs: u32 = stats.iter().filter_map(|s| s.runs.get("leather-1")).sum();
    assert_eq!(runs, 1);
    assert_leaf_limits_kept(&system).await;
}

#[compio::test]
async fn system_planned_stop_drops_no_request() {
    let (mut system, balancer) = start("stop", 4).await.expect("the system starts");
    let (queries, orders, stopped) = futures_util::join!(
        balancer.load(load("lookup", 60.0, 5)),
        balancer.load(load("order", 20.0, 5)),
        async {
            sleep(1_500).await;
            system.nodes[1].process.signal("TERM")
        },
    );
    stopped.expect("the signal is sent");
    assert_eq!((queries.cut, orders.cut), (0, 0), "requests cut");
    assert_eq!(queries.answered, queries.sent, "{:?}", queries.reasons);
    assert_eq!(orders.answered, orders.sent, "{:?}", orders.reasons);
    assert_eq!(queries.wrong + orders.wrong, 0);
    let ended = system.nodes[1].process.wait_exit(Duration::from_secs(15));
    assert!(ended.expect("the node ends"), "exit code 0");
    assert_leaf_limits_kept(&system).await;
}

#[compio::test]
async fn system_killed_node_orders_run_at_most_once() {
    let (system, balancer) = start("kill", 4).await.expect("the system starts");
    let (orders, killed) = futures_util::join!(balancer.load(load("order", 50.0, 4)), async {
        sleep(1_000).await;
        system.nodes[2].process.signal("KILL")
    },);
    killed.expect("the signal is sent");
    assert!(orders.answered > 0);
    let stats = system.leaf_stats(0).await.expect("leafs answer");
    for key in &orders.refused_keys {
        let ran = stats.iter().any(|s| s.runs.contains_key(key));
        assert!(!ran, "{key} ran, but was reported as not run");
    }
    assert_leaf_limits_kept(&system).await;
}

#[compio::test]
async fn system_store_outage_requests_are_served() {
    let (mut system, balancer) = start("outage", 3).await.expect("the system starts");
    system
        .ctl(&["--wait", "8", "set", "/rilegatoria", "weight", "2"])
        .expect("in force");
    system
        .set_store_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        })
        .await
        .expect("the store is down");
    let report = balancer.load(load("lookup", 30.0, 3)).await;
    assert_eq!(report.answered, report.sent, "{:?}", report.reasons);
    assert_eq!(report.full, report.sent);

    // A node that starts during the outage gets the configuration from its peers.
    let new_node = system.add_node().expect("the node starts");
    let addrs = system.nodes[new_node].addrs;
    let old = system
        .node_state(system.nodes[0].addrs.admin)
        .await
        .expect("a state");
    let tree = old["versions"]["tree"].clone();
    wait_for_state(&system, &[new_node], |new| new["versions"]["tree"] == tree).await;
    wait_for_state(&system, &[new_node], |new| new["ready"] == true).await;
    let answer = balancer
        .send_to(addrs, "catalogue", "lookup", None, "endband")
        .await;
    let (status, answer) = answer.expect("a response");
    assert_eq!(status, 200, "{answer}");

    system
        .set_store_faults(StoreFaults::default())
        .await
        .expect("the store is up");
    system
        .ctl(&["--wait", "15", "set", "/rilegatoria", "weight", "3"])
        .expect("in force");
    system.wait_ready().await.expect("the new node joins");
}

/// Guards against watches that the store never answers: a later change is in force in time.
#[compio::test]
async fn system_unanswered_watches_do_not_delay_change() {
    let (system, _) = start("swallow", 3).await.expect("the system starts");
    system
        .ctl(&["--wait", "8", "set", "/rilegatoria", "weight", "2"])
        .expect("in force");
    for swallow_watches in [true, false] {
        let faults = StoreFaults {
            swallow_watches,
            ..StoreFaults::default()
        };
        system
            .set_store_faults(faults)
            .await
            .expect("the store is set");
    }
    system
        .ctl(&["--wait", "8", "set", "/rilegatoria", "weight", "3"])
        .expect("in force");
}

/// Guards against a store that answers no watch for 12 s: a later change is in force in time.
#[compio::test]
async fn system_long_unanswered_watches_do_not_delay_change() {
    let (system, _) = start("swallow-long", 3).await.expect("the system starts");
    for (swallow_watches, millis) in [(true, 12_000), (false, 0)] {
        let faults = StoreFaults {
            swallow_watches,
            ..StoreFaults::default()
        };
        system
            .set_store_faults(faults)
            .await
            .expect("the store is set");
        sleep(millis).await;
    }
    system
        .ctl(&["--wait", "8", "set", "/rilegatoria", "weight", "3"])
        .expect("in force");
}

#[compio::test]
async fn system_lost_reply_change_applied_once() {
    let (system, _) = start("reply", 3).await.expect("the system starts");
    let before: serde_json::Value =
        serde_json::from_str(&system.ctl(&["tree"]).expect("a tree")).expect("JSON");
    system
        .set_store_faults(StoreFaults {
            lose_replies: 1,
            ..StoreFaults::default()
        })
        .await
        .expect("the store is set");
    let text = system
        .ctl(&["--json", "set", "/rilegatoria", "weight", "5"])
        .expect("accepted");
    let accepted: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let version = before["version"].as_u64().map(|v| v + 1);
    assert_eq!(
        accepted["accepted"].as_u64(),
        version,
        "the change is applied once"
    );
}

#[compio::test]
async fn system_version_change_does_not_mix_snapshots() {
    let (system, balancer) = start("version", 3).await.expect("the system starts");
    let mut map = system.services[0].map.clone();
    let (report, moved) = futures_util::join!(balancer.load(load("lookup", 50.0, 4)), async {
        sleep(1_000).await;
        let control = LeafControl {
            index: Some(2),
            ..LeafControl::default()
        };
        system.control_leafs(0, &control).await?;
        sleep(300).await;
        map.snapshot.index.0 = 2;
        system.publish_map(&map).await
    });
    moved.expect("the new version is published");
    assert_eq!(
        report.wrong, 0,
        "an answer mixes versions or has a wrong coverage"
    );
    let after = balancer
        .send("catalogue", "lookup", None, "after")
        .await
        .expect("a response");
    assert_eq!(after.1["snapshot"]["index"], 2);
    assert_eq!(after.1["coverage"]["answered"], 5, "{}", after.1);
}

#[compio::test]
async fn system_bad_requests_get_clear_errors() {
    let (system, balancer) = start("bad", 3).await.expect("the system starts");
    let node = system.nodes[0].addrs;
    let cases = [
        (
            "nothing",
            "lookup",
            None,
            "x".to_owned(),
            404,
            "no service 'nothing'",
        ),
        (
            "catalogue",
            "NO-NAME",
            None,
            "x".to_owned(),
            400,
            "request kind must be",
        ),
        (
            "catalogue",
            "order",
            None,
            "x".to_owned(),
            400,
            "idempotency-key: is required",
        ),
        (
            "catalogue",
            "lookup",
            None,
            "x".repeat(70_000),
            413,
            "at most 65536 bytes",
        ),
        (
            "catalogue",
            "lookup",
            Some("k".repeat(300)),
            "x".to_owned(),
            400,
            "1 to 200 bytes",
        ),
    ];
    for (service, kind, key, body, status, text) in cases {
        let sent = balancer
            .send_to(node, service, kind, key.as_deref(), &body)
            .await;
        let (got, answer) = sent.expect("a response");
        let place = answer["findings"][0]["place"]["file"]
            .as_str()
            .unwrap_or_default();
        let message = answer["findings"][0]["message"]
            .as_str()
            .unwrap_or_default();
        assert_eq!(got, status, "{answer}");
        assert!(format!("{place}: {message}").contains(text), "{answer}");
    }
}

#[compio::test]
async fn system_metrics_and_state() {
    let (system, balancer) = start("metrics", 3).await.expect("the system starts");
    balancer.load(load("lookup", 20.0, 1)).await;
    let mut requests = 0.0;
    for node in &system.nodes {
        let text = system
            .get_text(&format!("http://{}/metrics", node.addrs.admin))
            .await;
        let text = text.expect("metrics");
        let line = text
            .lines()
            .find(|l| l.starts_with("monsoondeal_requests_total"));
        let value = line
            .and_then(|l| l.rsplit(' ').next())
            .and_then(|v| v.parse::<f64>().ok());
        requests += value.expect("a counter");
        assert!(text.contains("monsoondeal_response_time"), "{text}");
    }
    assert!(requests >= 20.0, "{requests}");
}

/// Five operators change settings at the same time: all changes are accepted one after the other, and
/// none is lost.
#[compio::test]
async fn system_concurrent_changes_are_all_applied() {
    let (system, _) = start("race", 3).await.expect("the system starts");
    let url = system.store_url.clone();
    let writers: Vec<_> = ["slots", "cold_slots", "warm_after", "deadline_ms", "weight"]
        .into_iter()
        .map(|setting| {
            let url = url.clone();
            std::thread::spawn(move || {
                let program = standin::process::program_path("monsoondeal");
                let args = ["ctl", "--store", &url, "set", "/rilegatoria", setting, "7"];
                std::process::Command::new(program).args(args).status()
            })
        })
        .collect();
    for writer in writers {
        let status = writer
            .join()
            .expect("the thread ends")
            .expect("the command runs");
        assert!(status.success());
    }
    let tree: serde_json::Value =
        serde_json::from_str(&system.ctl(&["tree"]).expect("a tree")).expect("JSON");
    let set = tree["overrides"]["/rilegatoria"]
        .as_object()
        .expect("overrides");
    assert_eq!(set.len(), 5, "{set:?}");
}

/// A change by an owner that has handed over the final say is rejected with the reason. While a node does
/// not respond, the report on a change does not say that the change is in force everywhere.
#[compio::test]
async fn system_final_say_and_in_force_report() {
    let (mut system, _) = start("say", 4).await.expect("the system starts");
    system.ctl(&["create-owner", "geo"]).expect("created");
    system
        .ctl(&["hand-over", "rilegatoria", "--month", "2026-12"])
        .expect("handed over");
    let args = [
        "--as",
        "rilegatoria",
        "hand-over",
        "geo",
        "--month",
        "2027-01",
    ];
    system.ctl(&args).expect("handed over");
    let late = ["--as", "rilegatoria", "set", "/", "slots", "9"];
    let (code, text) = system.ctl_with_code(&late).expect("the command runs");
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("'geo' has the final say (month 2027-01, term 2)"),
        "{text}"
    );

    system.nodes[3]
        .process
        .signal("STOP")
        .expect("the node is suspended");
    let args = [
        "--as", "geo", "--json", "--wait", "0", "set", "/", "weight", "4",
    ];
    let (code, text) = system.ctl_with_code(&args).expect("the command runs");
    assert_eq!(code, Some(3), "{text}");
    let report: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_ne!(report["force"], "everywhere", "{text}");
    system.nodes[3]
        .process
        .signal("CONT")
        .expect("the node is resumed");
    let (code, text) = system
        .ctl_with_code(&["--wait", "20", "in-force"])
        .expect("the command runs");
    assert_eq!(code, Some(0), "{text}");
    system.nodes.clear();
}

/// A version move to a second set of leafs begins by command, sends a small share of the requests to the
/// new version, and is rolled back by command.
#[compio::test]
async fn system_move_begins_and_is_rolled_back() {
    let (mut system, balancer) = start("move", 3).await.expect("the system starts");
    let (code, text) = system
        .ctl_with_code(&["move", "catalogue", "--by", "60"])
        .expect("the command runs");
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("has no next version"), "{text}");

    system
        .add_next_version(0)
        .await
        .expect("the next version starts");
    system
        .wait_ready()
        .await
        .expect("its leafs get nodes that hold them");
    let text = system
        .ctl(&["move", "catalogue", "--by", "600"])
        .expect("the move begins");
    assert!(text.contains("running, step 0"), "{text}");
    let report = balancer.load(load("lookup", 100.0, 5)).await;
    assert_eq!(report.answered, report.sent, "{:?}", report.reasons);
    assert_eq!(report.wrong, 0);
    assert!(
        report.by_index.contains_key(&2),
        "no requests to the new version: {:?}",
        report.by_index
    );
    assert!(
        report.by_index[&1] > report.by_index[&2] * 10,
        "too many requests to the new version: {:?}",
        report.by_index
    );

    system
        .ctl(&["move-back", "catalogue"])
        .expect("rolled back");
    let text = system.ctl(&["move-status", "catalogue"]).expect("a status");
    assert!(
        text.contains("taken back: an operator took it back"),
        "{text}"
    );
    let is_rolled_back = |state: &serde_json::Value| {
        state["moves"][0]["progress"]["state"].as_str() == Some("reversed")
    };
    wait_for_state(&system, &[0, 1, 2], is_rolled_back).await;
    let report = balancer.load(load("lookup", 50.0, 2)).await;
    assert!(
        !report.by_index.contains_key(&2),
        "requests to the new version after the rollback: {:?}",
        report.by_index
    );
}
