//! State, messages, bytes and CPU of each role at several sizes, with the slope over the size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fakenet::{Net, Options};
use monsoondeal::config::{Change, ChangeId, Edit, Level, Tree};
use monsoondeal::core::{CallId, LeafId, NodeId, Position, Priority, Snapshot, Time};
use monsoondeal::engine::Message;
use monsoondeal::engine::message::{Call, CallOutcome};
use monsoondeal::limit::{IdempotencySettings, IdempotencyTable, LeafLimiter, LeafLimiterSettings};
use monsoondeal::route::{place, placement_item};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Duration for which control traffic of an idle cell is measured.
const IDLE_TIME: Duration = Duration::from_secs(120);
/// Bytes that IP (20), TCP with timestamps (32) and WebSocket (6) add to a message.
const FRAMING_BYTES: f64 = 58.0;

/// Measures all slopes.
pub(crate) fn run(seed: u64) {
    println!("slopes: seed {seed}; CPU and memory were measured on this machine");
    measure_control(seed);
    measure_tree();
    measure_placement(seed);
    measure_queries(seed);
    measure_codec();
    measure_memory();
}

/// Table with a row for each size, which prints the least-squares slope of each column.
struct Table {
    unit: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(f64, Vec<f64>)>,
}

impl Table {
    fn new(title: &str, unit: &'static str, columns: &[&'static str]) -> Self {
        println!("\n{title}");
        Self {
            unit,
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    fn row(&mut self, size: f64, values: Vec<f64>) {
        self.rows.push((size, values));
    }

    fn print(&self) {
        let head: Vec<String> = self.columns.iter().map(|c| format!("{c:>26}")).collect();
        println!("  {:>14} {}", self.unit, head.join(""));
        for (size, values) in &self.rows {
            let cells: Vec<String> = values.iter().map(|v| format!("{v:>26.3}")).collect();
            println!("  {size:>14} {}", cells.join(""));
        }
        let slopes: Vec<String> = (0..self.columns.len())
            .map(|at| format!("{:>26.4}", self.slope(at)))
            .collect();
        println!("  {:>14} {}", "slope", slopes.join(""));
    }

    fn slope(&self, column: usize) -> f64 {
        let count = self.rows.len() as f64;
        let mean_x = self.rows.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.rows.iter().map(|(_, y)| y[column]).sum::<f64>() / count;
        let numerator = self
            .rows
            .iter()
            .map(|(x, y)| (x - mean_x) * (y[column] - mean_y))
            .sum::<f64>();
        let denominator = self
            .rows
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        numerator / denominator
    }
}

/// Measures control traffic and CPU of an idle cell at several numbers of nodes.
fn measure_control(seed: u64) {
    let columns = [
        "messages/s a node",
        "bytes/s a node, framed",
        "CPU us/s a node",
        "store calls/s a cell",
    ];
    let title = "control messages of an idle cell, heartbeat 500 ms, both directions as sent";
    let mut table = Table::new(title, "nodes", &columns);
    for nodes in [4, 8, 16, 32] {
        let mut net = Net::start(Options {
            seed,
            nodes,
            ..Options::default()
        });
        let messages = control_messages(&net);
        let (bytes, calls) = (net.control_bytes, net.store_calls);
        let start = Instant::now();
        net.run_for(IDLE_TIME);
        let cpu = start.elapsed();
        let node_seconds = IDLE_TIME.as_secs_f64() * nodes as f64;
        let messages = (control_messages(&net) - messages) as f64;
        let bytes = (net.control_bytes - bytes) as f64 + messages * FRAMING_BYTES;
        let calls = (net.store_calls - calls) as f64 / IDLE_TIME.as_secs_f64();
        let cpu = cpu.as_secs_f64() * 1e6 / node_seconds;
        table.row(
            nodes as f64,
            vec![messages / node_seconds, bytes / node_seconds, cpu, calls],
        );
    }
    table.print();
}

fn control_messages(net: &Net) -> u64 {
    net.nodes
        .iter()
        .map(|n| n.engine.counts().control_messages)
        .sum()
}

/// Measures the configuration tree at several numbers of services, each with 3 kinds of 2 settings.
fn measure_tree() {
    let columns = ["bytes in the store", "resident bytes", "apply us"];
    let mut table = Table::new("configuration tree", "services", &columns);
    for services in [28_u64, 56, 112, 223] {
        let tree = build_tree(services);
        let stored = serde_json::to_vec(&tree)
            .expect("trees can be serialized")
            .len();
        let resident = resident_growth(|| vec![tree.clone(); 50]) / 50.0;
        let change = set(
            &format!("/owner/service-{}", services / 2),
            "slots",
            3.into(),
            7,
        );
        let apply = mean_time(50, || {
            black_box(tree.apply(&change).expect("the change is valid"));
        });
        table.row(services as f64, vec![stored as f64, resident, apply * 1e6]);
    }
    table.print();
}

fn build_tree(services: u64) -> Tree {
    let mut tree = Tree::default();
    let mut edits = vec![change(
        Edit::CreateOwner {
            owner: "owner".to_owned(),
        },
        0,
    )];
    for at in 0..services {
        let service = format!("service-{at}");
        let create = Edit::CreateService {
            service: service.clone(),
            owner: "owner".to_owned(),
            cell: format!("cell-{at}"),
        };
        edits.push(change(create, at));
        for kind in ["urgent", "lookup", "report"] {
            let level = format!("/owner/{service}/{kind}");
            edits.push(set(&level, "deadline_ms", 73.into(), at));
            edits.push(set(&level, "priority", "first".into(), at));
        }
    }
    for edit in edits {
        tree = tree.apply(&edit).expect("the edit is valid");
    }
    tree
}

fn change(edit: Edit, id: u64) -> Change {
    Change {
        id: ChangeId(id),
        actor: None,
        expects: None,
        edit,
    }
}

fn set(level: &str, setting: &str, value: serde_json::Value, id: u64) -> Change {
    let level: Level = level.parse().expect("a valid level");
    change(
        Edit::Set {
            level,
            setting: setting.to_owned(),
            value,
        },
        id,
    )
}

/// Measures the time to compute the placement of leafs on the nodes of a cell.
fn measure_placement(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let title = "placement of a cell, 166 leafs";
    let mut table = Table::new(title, "nodes", &["compute us"]);
    let pairs = (0..83_u32).flat_map(|g| [(g, 0), (g, 1)]);
    let items: Vec<_> = pairs
        .map(|(g, r)| placement_item(LeafId(u64::from(g) * 2 + r), "service", g))
        .collect();
    for nodes in [8_u32, 16, 32, 64] {
        let position = |number| Position {
            number,
            node: NodeId(rng.random()),
        };
        let positions: Vec<Position> = (0..nodes).map(position).collect();
        let time = mean_time(50, || {
            black_box(place(&positions, &items));
        });
        table.row(f64::from(nodes), vec![time * 1e6]);
    }
    table.print();
}

/// Measures the CPU time of the engines for a query at several numbers of groups: of the node that received
/// the query and the nodes that hold the leafs together, without the codec.
fn measure_queries(seed: u64) {
    let title = "engine CPU of a query on all its nodes, without codec and sockets";
    let mut table = Table::new(title, "groups", &["us a query", "us a leaf call"]);
    for groups in [10, 20, 40, 83] {
        let options = Options {
            seed,
            groups,
            codec: false,
            slots: 3,
            ..Options::default()
        };
        let mut net = Net::start(options);
        net.leafs.service_time = Duration::from_millis(1);
        send(&mut net, 500);
        let start = Instant::now();
        let count = 2_000;
        send(&mut net, count);
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        table.row(groups as f64, vec![micros, micros / groups as f64]);
    }
    table.print();
}

fn send(net: &mut Net, count: usize) {
    for _ in 0..count {
        let node = net.random_ready_node();
        net.request(node, "lookup", None);
        net.run_for(Duration::from_millis(4));
    }
}

/// Measures CPU time and encoded bytes of a call and its outcome at several sizes of the body.
fn measure_codec() {
    let columns = ["call bytes", "end bytes", "encode+decode us, both"];
    let mut table = Table::new("codec of a call and its outcome", "body bytes", &columns);
    for size in [100_usize, 200, 400, 800] {
        let body = Bytes::from(vec![b'x'; size]);
        let call = Message::Call(Box::new(Call {
            call: CallId(1_000_000),
            leaf: LeafId(37_000),
            snapshot: Snapshot::default(),
            priority: Priority::Normal,
            hedge: false,
            budget: 73_000,
            sent: 1_000_000_000,
            kind: "lookup".to_owned(),
            key: None,
            body: body.clone(),
        }));
        let end = Message::CallOutcome(
            CallId(1_000_000),
            CallOutcome::Data(Snapshot::default(), body),
        );
        let sizes = [encode(&call).len() as f64, encode(&end).len() as f64];
        let time = mean_time(2_000, || {
            for message in [&call, &end] {
                let bytes = encode(message);
                let decoded: Vec<Message> =
                    ciborium::from_reader(&bytes[..]).expect("messages can be decoded");
                black_box(decoded);
            }
        });
        table.row(size as f64, vec![sizes[0], sizes[1], time * 1e6]);
    }
    table.print();
}

fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(&[message], &mut bytes).expect("messages can be encoded");
    bytes
}

/// Measures the resident memory of a node for each leaf and each idempotency key.
fn measure_memory() {
    let title = "resident memory of leaf limiters (gates) and of remembered idempotency keys";
    let mut table = Table::new(title, "count", &["gates, bytes", "keys, bytes"]);
    for count in [10_000_usize, 20_000, 40_000, 80_000] {
        let limiters = resident_growth(|| {
            let limiter = || LeafLimiter::<(u64, CallId)>::new(LeafLimiterSettings::default());
            std::iter::repeat_with(limiter)
                .take(count)
                .collect::<Vec<_>>()
        });
        let keys = resident_growth(|| {
            let mut idempotency = IdempotencyTable::<Bytes>::new(IdempotencySettings::default());
            for at in 0..count {
                let key = format!("order-{at:032}");
                idempotency.admit(&key, Time::from_millis(1));
                idempotency.record_answer(&key, Bytes::from(vec![0; 200]));
            }
            idempotency
        });
        table.row(count as f64, vec![limiters, keys]);
    }
    table.print();
}

/// Returns the mean time of a run in seconds, after an unmeasured one.
fn mean_time<F>(runs: u32, mut run: F) -> f64
where
    F: FnMut(),
{
    run();
    let start = Instant::now();
    for _ in 0..runs {
        run();
    }
    start.elapsed().as_secs_f64() / f64::from(runs)
}

/// Returns the growth of the resident memory in bytes while a value is created. The value is leaked, so
/// that its memory is not reused for the next one.
fn resident_growth<T, F>(make: F) -> f64
where
    F: FnOnce() -> T,
{
    let before = resident_bytes();
    std::mem::forget(black_box(make()));
    resident_bytes() - before
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split(' ')
        .nth(1)
        .and_then(|p| p.parse().ok())
        .unwrap_or(0.0);
    pages * PAGE_BYTES
}
