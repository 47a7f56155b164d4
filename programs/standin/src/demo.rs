//! Demo of a small system of separate processes: store, leafs and nodes.

use std::io;
use std::time::Duration;

use standin::caller::{Balancer, LoadOptions, LoadReport};
use standin::system::{System, demo_services};

/// Number of nodes.
const NODES: usize = 6;
/// Duration of the load before the measured one, in seconds; leafs begin cold.
const WARM_UP_SECONDS: u64 = 3;

/// Starts the system, prints a few answers, stops a node under load and prints a summary.
pub(crate) async fn run(seconds: u64) -> io::Result<()> {
    println!("starting a store, 100 leafs and {NODES} nodes as separate processes");
    let mut system = System::start("demo", vec!["p1", "p2", "p3", "p4"])?;
    for spec in demo_services() {
        system.add_service(spec).await?;
    }
    for _ in 0..NODES {
        system.add_node()?;
    }
    system.wait_ready().await?;
    let nodes = system.nodes.iter().map(|n| n.addrs).collect();
    let balancer = Balancer::start(nodes).await;
    println!("{} nodes are ready", balancer.ready_count());

    println!("\n$ monsoondeal ctl show /rilegatoria/ordering/order");
    print!("{}", system.ctl(&["show", "/rilegatoria/ordering/order"])?);
    println!("\n$ monsoondeal ctl --wait 8 set /rilegatoria/catalogue deadline_ms 400");
    print!(
        "{}",
        system.ctl(&[
            "--wait",
            "8",
            "set",
            "/rilegatoria/catalogue",
            "deadline_ms",
            "400"
        ])?
    );

    print_answer(&balancer, "catalogue", "urgent", None).await;
    print_answer(&balancer, "ordering", "order", Some("leather-1")).await;
    println!("\nthe same order again, as if a load balancer retried it:");
    print_answer(&balancer, "ordering", "order", Some("leather-1")).await;

    println!("\nwarming the leafs for {WARM_UP_SECONDS} s");
    let warm_up = Duration::from_secs(WARM_UP_SECONDS);
    futures_util::join!(
        balancer.load(warm_up_load("catalogue", "urgent", warm_up)),
        balancer.load(warm_up_load("ordering", "lookup", warm_up)),
    );

    println!("\nload for {seconds} s; one node is stopped with SIGTERM in the middle");
    let duration = Duration::from_secs(seconds);
    let load = |service: &str, kind: &str, rate, keyed| LoadOptions {
        service: service.to_owned(),
        kind: kind.to_owned(),
        rate,
        duration,
        keyed,
    };
    let stop = async {
        compio::time::sleep(duration / 2).await;
        system.nodes[0].process.signal("TERM")
    };
    let (urgent, orders, provenance, stopped) = futures_util::join!(
        balancer.load(load("catalogue", "urgent", 60.0, false)),
        balancer.load(load("ordering", "order", 40.0, true)),
        balancer.load(load("catalogue", "provenance", 60.0, false)),
        stop,
    );
    stopped?;
    print_report("catalogue/urgent", &urgent);
    print_report("catalogue/provenance", &provenance);
    print_report("ordering/order", &orders);
    print_leaf_stats(&system).await
}

fn warm_up_load(service: &str, kind: &str, duration: Duration) -> LoadOptions {
    LoadOptions {
        service: service.to_owned(),
        kind: kind.to_owned(),
        rate: 60.0,
        duration,
        keyed: false,
    }
}

async fn print_answer(balancer: &Balancer, service: &str, kind: &str, key: Option<&str>) {
    println!("\nPOST /v1/{service}/{kind}");
    let Some((status, answer)) = balancer.send(service, kind, key, "endband 1540").await else {
        println!("  no response");
        return;
    };
    println!("  status {status}, outcome {}", answer["outcome"]);
    println!(
        "  snapshot {}, coverage {}",
        answer["snapshot"], answer["coverage"]
    );
    println!("  waited {}", answer["waited"]);
    println!("  first part {}", answer["parts"][0]);
}

fn print_report(name: &str, report: &LoadReport) {
    println!(
        "{name}: {} sent, {} answered ({} with full coverage, {} wrong), {} not run, {} unknown, \
         {} cut; p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        report.sent,
        report.answered,
        report.full,
        report.wrong,
        report.not_run,
        report.unknown,
        report.cut,
        report.quantile_ms(0.5),
        report.quantile_ms(0.99),
        report.quantile_ms(0.999),
    );
    for (reason, count) in &report.reasons {
        println!("  {count} without an answer: {reason}");
    }
}

/// Prints the calls that the leafs received.
async fn print_leaf_stats(system: &System) -> io::Result<()> {
    for (at, service) in system.services.iter().enumerate() {
        let stats = system.leaf_stats(at).await?;
        let calls: u64 = stats.iter().map(|s| s.calls).sum();
        let running = stats.iter().map(|s| s.most_running).max().unwrap_or(0);
        let connections = stats.iter().map(|s| s.most_connections).max().unwrap_or(0);
        let violations: u64 = stats
            .iter()
            .map(|s| s.over_slots + s.over_cold + s.over_connections)
            .sum();
        let repeated = stats
            .iter()
            .flat_map(|s| s.runs.values())
            .filter(|runs| **runs > 1)
            .count();
        println!(
            "leafs of {}: {calls} calls, at most {running} at a time and {connections} connections \
             on one leaf, {violations} times over a limit, {repeated} orders run twice",
            service.spec.name,
        );
    }
    Ok(())
}
