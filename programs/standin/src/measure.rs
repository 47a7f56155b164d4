//! CPU and memory of real node processes at several cell sizes and loads.

use std::io;
use std::time::Duration;

use compio::time::sleep;
use standin::caller::{Balancer, LoadOptions};
use standin::system::{System, demo_services};

/// Duration of each measurement.
const RUN_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Measures idle nodes at several cell sizes, then six nodes at several loads.
pub(crate) async fn run() -> io::Result<()> {
    println!("idle nodes, heartbeat 200 ms: 100 leafs, no requests");
    println!("  nodes  CPU us/s a node  resident MB a node");
    for nodes in [3, 6, 9, 18] {
        let system = start(nodes).await?;
        let before = cpu_seconds(&system)?;
        sleep(RUN_TIME).await;
        let cpu = (cpu_seconds(&system)? - before) / RUN_TIME.as_secs_f64() / nodes as f64;
        println!(
            "  {nodes:>5}  {:>15.0}  {:>18.1}",
            cpu * 1e6,
            resident_mb(&system)?
        );
    }

    println!("\n6 nodes under load, 20 groups a query, HTTP/1.1 from callers and to leafs");
    println!("  queries/s  leaf calls/s  CPU us a leaf call  resident MB a node  p50 ms  p99 ms");
    let system = start(6).await?;
    let nodes = system.nodes.iter().map(|n| n.addrs).collect();
    let balancer = Balancer::start(nodes).await;
    load(&balancer, 50.0).await;
    for rate in [100.0, 200.0, 400.0, 800.0] {
        let cpu = cpu_seconds(&system)?;
        let calls = leaf_calls(&system).await?;
        let report = load(&balancer, rate).await;
        let calls = (leaf_calls(&system).await? - calls) as f64;
        let cpu = cpu_seconds(&system)? - cpu;
        println!(
            "  {rate:>9}  {:>12.0}  {:>18.1}  {:>18.1}  {:>6.1}  {:>6.1}",
            calls / RUN_TIME.as_secs_f64(),
            cpu * 1e6 / calls,
            resident_mb(&system)?,
            report.quantile_ms(0.5),
            report.quantile_ms(0.99),
        );
    }
    Ok(())
}

async fn start(nodes: usize) -> io::Result<System> {
    let mut system = System::start("measure", vec!["p1", "p2", "p3", "p4"])?;
    for spec in demo_services() {
        system.add_service(spec).await?;
    }
    for _ in 0..nodes {
        system.add_node()?;
    }
    system.wait_ready().await?;
    Ok(system)
}

async fn load(balancer: &Balancer, rate: f64) -> standin::caller::LoadReport {
    let options = LoadOptions {
        service: "catalogue".to_owned(),
        kind: "urgent".to_owned(),
        rate,
        duration: RUN_TIME,
        keyed: false,
    };
    balancer.load(options).await
}

async fn leaf_calls(system: &System) -> io::Result<u64> {
    let stats = system.leaf_stats(0).await?;
    Ok(stats.iter().map(|s| s.calls).sum())
}

/// Returns the CPU time used by all nodes together.
fn cpu_seconds(system: &System) -> io::Result<f64> {
    let mut sum = 0.0;
    for node in &system.nodes {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.process.id()))?;
        // The name in parentheses may contain blanks. Of the fields after it, user and system time are the
        // 12th and 13th.
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let times = fields
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse::<f64>().ok());
        sum += times.sum::<f64>() / TICKS_PER_SECOND;
    }
    Ok(sum)
}

/// Returns the mean resident memory of a node in megabytes.
fn resident_mb(system: &System) -> io::Result<f64> {
    const PAGE_MB: f64 = 4_096.0 / 1e6;
    let mut sum = 0.0;
    for node in &system.nodes {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", node.process.id()))?;
        let pages: f64 = statm
            .split(' ')
            .nth(1)
            .and_then(|p| p.parse().ok())
            .unwrap_or(0.0);
        sum += pages * PAGE_MB;
    }
    Ok(sum / system.nodes.len() as f64)
}
