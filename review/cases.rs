//! The cases.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{
    Answered, Client, Door, Garble, Leaf, LeafSettings, Node, Run, Stage, Store, ms, records,
};

/// Plays a case. Returns whether the rule held.
pub fn play(case: &str, stage: &Stage) -> io::Result<bool> {
    match case {
        "second-refusal" => second_refusal(stage),
        "own-503" => own_503(stage),
        "bad-bytes" => bad_bytes(stage),
        "mixed-versions" => mixed_versions(stage),
        "segment-as-order" => segment_as_order(stage),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Routes to services whose requests may run at most once, as an operator writes them.
fn order_config(version: u64, services: &[String]) -> Vec<u8> {
    let route = |service: &String| {
        format!(
            "{{\"name\":\"r-{service}\",\"host\":\"host.example\",\"path_prefix\":\"/{service}/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":8000,\"target_latency_ms\":800,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let spec = |service: &String| {
        format!(
            "{{\"name\":\"{service}\",\"health_check_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":0.0}}"
        )
    };
    let routes: Vec<String> = services.iter().map(route).collect();
    let specs: Vec<String> = services.iter().map(spec).collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        specs.join(",")
    )
    .into_bytes()
}

/// A small deployment: a store, services with leafs of their own, and nodes in two zones.
struct Deployment {
    store: Store,
    /// The nodes' ways to the store.
    doors: Vec<Door>,
    leafs: Vec<Leaf>,
    nodes: Vec<Node>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// Size of a deployment.
#[derive(Clone, Copy)]
struct Size {
    nodes: usize,
    services: usize,
    /// Leafs of each service.
    leafs: usize,
    slots: usize,
    queue: usize,
    work: Duration,
}

fn service_name(index: usize) -> String {
    format!("orders-{}", index + 1)
}

fn deploy(stage: &Stage, size: Size) -> io::Result<Deployment> {
    let services: Vec<String> = (0..size.services).map(service_name).collect();
    deploy_config(stage, size, &services, &order_config(7, &services))
}

fn deploy_config(
    stage: &Stage,
    size: Size,
    services: &[String],
    config: &[u8],
) -> io::Result<Deployment> {
    let store = Store::start();
    let runs = Arc::default();
    store.put("config", "main", config);
    let mut leafs = Vec::new();
    for index in 0..size.services * size.leafs {
        let settings = LeafSettings {
            service: services[index / size.leafs].clone(),
            zone: ["z-a", "z-b"][index % 2].to_owned(),
            slots: size.slots,
            queue: size.queue,
            work: size.work,
        };
        let leaf = Leaf::start(settings, &runs, &stage.record)?;
        store.put("servers", &leaf.0.name, &leaf.entry("ready"));
        leafs.push(leaf);
    }
    let (mut nodes, mut doors) = (Vec::new(), Vec::new());
    for index in 0..size.nodes {
        let zone = ["z-a", "z-b"][index % 2];
        let door = store.door()?;
        nodes.push(Node::start(
            stage,
            &format!("edge-{}", index + 1),
            zone,
            door.addr,
        )?);
        doors.push(door);
    }
    let deployment = Deployment {
        store,
        doors,
        leafs,
        nodes,
        runs,
    };
    if !deployment
        .nodes
        .iter()
        .all(|node| node.wait_ready(ms(15_000)))
    {
        return Err(io::Error::other("a node did not become ready"));
    }
    thread::sleep(ms(1_000));
    Ok(deployment)
}

/// Starts clients that send orders until the stage stops. Each has one node and one service, and keeps its
/// connection.
fn start_clients(
    stage: &Stage,
    nodes: &[Node],
    services: usize,
    count: usize,
    pause: Duration,
) -> Vec<thread::JoinHandle<Vec<Answered>>> {
    (0..count)
        .map(|index| {
            let (record, stop) = (stage.record.clone(), stage.stop.clone());
            let front = nodes[index % nodes.len()].front;
            let path = format!("/{}/2f", service_name(index / nodes.len() % services));
            thread::spawn(move || {
                let mut client = Client::new(front, &record);
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(pause.mul_f64(0.5 + record.share()));
                    answers.push(client.send("POST", &path, ms(8_000), &[b'x'; 300]));
                }
                answers
            })
        })
        .collect()
}

fn finish(stage: &Stage, clients: Vec<thread::JoinHandle<Vec<Answered>>>) -> Vec<Answered> {
    stage.stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect()
}

fn summarize(stage: &Stage, answers: &[Answered]) {
    let mut counts = std::collections::BTreeMap::<u16, usize>::new();
    for answer in answers {
        *counts.entry(answer.status).or_default() += 1;
    }
    stage
        .record
        .say(&format!("answers by status (0: none): {counts:?}"));
}

/// Checks TWICE and REFUSED for requests that may run at most once. Returns whether both held.
fn check_at_most_once(stage: &Stage, answers: &[Answered], runs: &[Run]) -> bool {
    let counts = Stage::run_counts(runs);
    let status = |id: &str| {
        answers
            .iter()
            .find(|answer| answer.id == id)
            .map_or(0, |answer| answer.status)
    };
    let mut twice = 0;
    for (id, count) in counts.iter().filter(|(_, count)| **count > 1) {
        twice += 1;
        let at: Vec<String> = runs
            .iter()
            .filter(|run| run.id == *id)
            .map(|run| format!("{} at {} ms", run.leaf, run.at))
            .collect();
        stage.record.line(&format!(
            "TWICE: {id} ran {count} times ({}), the client got {}",
            at.join(", "),
            status(id)
        ));
    }
    let mut refused = 0;
    for answer in answers
        .iter()
        .filter(|answer| [408, 421, 429, 503].contains(&answer.status))
    {
        if counts.contains_key(&answer.id) {
            refused += 1;
            stage.record.line(&format!(
                "REFUSED: {} was answered {} and has run",
                answer.id, answer.status
            ));
        }
    }
    stage.record.say(&format!(
        "requests {}, runs {}, TWICE {twice}, REFUSED {refused}",
        answers.len(),
        runs.len()
    ));
    twice == 0 && refused == 0
}

/// Leafs that are full refuse requests; some of their answers come a second time, late.
fn second_refusal(stage: &Stage) -> io::Result<bool> {
    let size = Size {
        nodes: 6,
        services: 4,
        leafs: 2,
        slots: 2,
        queue: 2,
        work: ms(15),
    };
    let deployment = deploy(stage, size)?;
    let clients = start_clients(stage, &deployment.nodes, size.services, 144, ms(150));
    // The garbling leafs: half of each service's leafs.
    let set_share = |share: f64| {
        for leaf in deployment.leafs.iter().step_by(2) {
            leaf.0.garble.lock().unwrap().extra_late = share;
        }
    };
    for _ in 0..11 {
        set_share(if stage.trouble { 0.04 } else { 0.0 });
        thread::sleep(ms(5_000));
        set_share(0.0);
        thread::sleep(ms(1_000));
    }
    let answers = finish(stage, clients);
    thread::sleep(ms(1_000));
    summarize(stage, &answers);
    let runs = deployment.runs.lock().unwrap().clone();
    Ok(check_at_most_once(stage, &answers, &runs))
}

/// Size of the deployment of the cases that need no load.
const CALM: Size = Size {
    nodes: 4,
    services: 1,
    leafs: 8,
    slots: 3,
    queue: 8,
    work: ms(40),
};

/// A leaf runs requests and fails some of them with a 503 of its own, which does not state that they were not run.
fn own_503(stage: &Stage) -> io::Result<bool> {
    let deployment = deploy(stage, CALM)?;
    let clients = start_clients(stage, &deployment.nodes, 1, 16, ms(100));
    thread::sleep(ms(2_000));
    // One leaf of eight: a share of 0.125.
    let garble = &deployment.leafs[0].0.garble;
    if stage.trouble {
        *garble.lock().unwrap() = Garble {
            fail: 0.45,
            fail_status: 503,
            ..Garble::default()
        };
    }
    thread::sleep(ms(6_500));
    *garble.lock().unwrap() = Garble::default();
    thread::sleep(ms(2_000));
    let answers = finish(stage, clients);
    thread::sleep(ms(1_000));
    summarize(stage, &answers);
    let runs = deployment.runs.lock().unwrap().clone();
    Ok(check_at_most_once(stage, &answers, &runs))
}

/// `drain_ms` of the deployment, in milliseconds.
const DRAIN_MILLIS: u64 = 3_000;
/// `recovery_s` of the deployment, in milliseconds.
const RECOVERY_MILLIS: u64 = 12_000;

/// An entry of another writer holds bytes that cannot be read. Later a leaf leaves, and at the end all processes of
/// the system are killed and start again.
fn bad_bytes(stage: &Stage) -> io::Result<bool> {
    let mut deployment = deploy(stage, CALM)?;
    let clients = start_clients(stage, &deployment.nodes, 1, 16, ms(100));
    thread::sleep(ms(2_000));
    if stage.trouble {
        stage.record.line(
            "another writer puts an entry with bytes that cannot be read under servers/i-other",
        );
        deployment
            .store
            .put("servers", "i-other", b"{\"service\":\"\xff\xfe\x80\"}");
    }
    thread::sleep(ms(2_000));
    let leaving = deployment.leafs[0].0.name.clone();
    deployment
        .store
        .put("servers", &leaving, &deployment.leafs[0].entry("draining"));
    let drained_at = stage.record.at();
    stage.record.line(&format!(
        "the store acknowledges that leaf {leaving} drains"
    ));
    thread::sleep(ms(6_000));
    let killed_at = stage.record.at();
    stage.record.line("all processes of the system are killed");
    deployment.nodes.iter_mut().for_each(Node::kill);
    thread::sleep(ms(1_000));
    for node in &mut deployment.nodes {
        node.spawn()?;
    }
    let back_at = stage.record.at();
    stage
        .record
        .line("all processes of the system have been started again");
    thread::sleep(ms(RECOVERY_MILLIS + 8_000));
    let answers = finish(stage, clients);
    summarize(stage, &answers);

    let late = |run: &&Run| {
        run.leaf == leaving && run.at > drained_at + DRAIN_MILLIS && run.at < killed_at
    };
    let late_runs = deployment.runs.lock().unwrap().iter().filter(late).count();
    stage.record.say(&format!(
        "DRAIN: runs at the leaf later than drain_ms after it drained: {late_runs}"
    ));
    let served = |from: u64, to: u64| {
        let sent = answers
            .iter()
            .filter(|answer| (from..to).contains(&answer.sent_at));
        let (all, served) = sent.fold((0, 0), |(all, served), answer| {
            (
                all + 1,
                served + usize::from((200..300).contains(&answer.status)),
            )
        });
        (served, all)
    };
    let (before, before_all) = served(0, killed_at);
    let (after, after_all) = served(back_at + RECOVERY_MILLIS, u64::MAX);
    stage.record.say(&format!("RECOVER: served before the kill {before} of {before_all}, after recovery_s {after} of {after_all}"));
    let is_recovered = after * 4 >= after_all || before * 4 < before_all;
    let is_drained = late_runs == 0;
    Ok(is_recovered && is_drained)
}

/// A configuration with queries over all shards: one route, and in later versions a second one below it, which
/// wants fewer records.
fn search_config(version: u64, shards: &[String], has_quick: bool) -> Vec<u8> {
    let names: Vec<String> = shards.iter().map(|shard| format!("\"{shard}\"")).collect();
    let fanout = names.join(",");
    let mut routes = format!(
        "{{\"name\":\"r-search\",\"host\":\"host.example\",\"path_prefix\":\"/search/\",\"route_type\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\"fanout\":[{fanout}],\"max_attempts\":2,\"top_k\":20,\"min_coverage\":0.89}}"
    );
    if has_quick {
        routes.push_str(&format!(
            ",{{\"name\":\"r-quick\",\"host\":\"host.example\",\"path_prefix\":\"/search/quick/\",\"route_type\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":80,\"priority\":2,\"fanout\":[{fanout}],\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75}}"
        ));
    }
    let specs: Vec<String> = shards
        .iter()
        .map(|shard| {
            format!(
                "{{\"name\":\"{shard}\",\"health_check_path\":\"/health\",\"max_connections\":5,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        specs.join(",")
    )
    .into_bytes()
}

/// Returns what is wrong with a success, if anything is. `shards` is the set that every configuration names, `tops`
/// are the values of `top_k` that some configuration sets for the path.
fn gather_fault(answer: &Answered, shards: &[String], tops: &[usize]) -> Option<String> {
    let mut parts: Vec<&str> = Vec::new();
    for (_, value) in answer
        .response
        .fields
        .iter()
        .filter(|(name, _)| name == "x-monsoondeal-part-stamps")
    {
        parts.extend(
            value
                .split(',')
                .map(str::trim)
                .filter(|stamp| !stamp.is_empty()),
        );
    }
    let mut services = Vec::new();
    for stamp in &parts {
        let mut words = stamp.split('.');
        let (id, service) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        if id != answer.id || !shards.iter().any(|shard| shard == service) {
            return Some(format!("the stamp {stamp} is none for this request"));
        }
        if services.contains(&service) {
            return Some(format!("two stamps of {service}"));
        }
        services.push(service);
    }
    let missing: usize = answer
        .response
        .field("x-monsoondeal-missing-parts")
        .and_then(|m| m.parse().ok())
        .unwrap_or(0);
    if services.is_empty() || services.len() + missing != shards.len() {
        return Some(format!(
            "{} parts and {missing} missing are not {} shards",
            services.len(),
            shards.len()
        ));
    }
    let mut all: Vec<[u8; 16]> = services
        .iter()
        .flat_map(|service| records(&answer.id, service))
        .collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    let is_top = |top: &usize| answer.response.body == all[..(*top).min(all.len())].concat();
    if tops.iter().any(is_top) {
        return None;
    }
    let held: Vec<&[u8]> = answer.response.body.chunks(16).collect();
    let leading = held
        .iter()
        .zip(&all)
        .take_while(|(held, right)| **held == right.as_slice())
        .count();
    Some(format!(
        "{} records, of which the first {leading} are the greatest of the parts named; any configuration asks for {tops:?}",
        held.len()
    ))
}

/// Starts clients that send queries until the stage stops. Each has one node and keeps its connection.
fn start_queries(
    stage: &Stage,
    nodes: &[Node],
    path: &'static str,
) -> Vec<thread::JoinHandle<Vec<Answered>>> {
    (0..12)
        .map(|index| {
            let (record, stop) = (stage.record.clone(), stage.stop.clone());
            let front = nodes[index % nodes.len()].front;
            thread::spawn(move || {
                let mut client = Client::new(front, &record);
                let mut answers = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(ms(200).mul_f64(0.5 + record.share()));
                    answers.push(client.send("GET", path, ms(2_000), b""));
                }
                answers
            })
        })
        .collect()
}

/// A node is cut off from the store while a route is added below another one.
fn mixed_versions(stage: &Stage) -> io::Result<bool> {
    let shards: Vec<String> = (1..=20).map(|index| format!("shard-{index:02}")).collect();
    let size = Size {
        nodes: 6,
        services: shards.len(),
        leafs: 2,
        slots: 3,
        queue: 18,
        work: ms(9),
    };
    let deployment = deploy_config(stage, size, &shards, &search_config(7, &shards, false))?;
    thread::sleep(ms(2_500));
    let clients = start_queries(stage, &deployment.nodes, "/search/quick/2f");
    thread::sleep(ms(3_000));
    let door = &deployment.doors[0];
    if stage.trouble {
        stage.record.line(&format!(
            "the node at {} is cut off from the store",
            deployment.nodes[0].front
        ));
        door.is_cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(ms(200));
    stage
        .record
        .line("the store acknowledges version 8, which adds the route /search/quick/");
    deployment
        .store
        .put("config", "main", &search_config(8, &shards, true));
    thread::sleep(ms(3_800));
    stage.record.line("the node reaches the store again");
    door.is_cut.store(false, Ordering::Relaxed);
    thread::sleep(ms(4_000));
    let answers = finish(stage, clients);
    summarize(stage, &answers);
    let mut wrong = 0;
    for answer in answers
        .iter()
        .filter(|answer| (200..300).contains(&answer.status))
    {
        if let Some(fault) = gather_fault(answer, &shards, &[20, 5]) {
            wrong += 1;
            stage.record.line(&format!(
                "MIXED: {} (sent at {} ms): {fault}",
                answer.id, answer.sent_at
            ));
        }
    }
    stage
        .record
        .say(&format!("successes that are wrong: {wrong}"));
    Ok(wrong == 0)
}

/// A configuration with a route to one service for orders, and in earlier versions a route below it with queries over
/// all shards.
fn order_search_config(version: u64, shards: &[String], has_search: bool) -> Vec<u8> {
    let names: Vec<String> = shards.iter().map(|shard| format!("\"{shard}\"")).collect();
    let mut routes = "{\"name\":\"r-orders\",\"host\":\"host.example\",\"path_prefix\":\"/orders/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"ledger\",\"max_attempts\":2}".to_owned();
    if has_search {
        routes.push_str(&format!(
            ",{{\"name\":\"r-search\",\"host\":\"host.example\",\"path_prefix\":\"/orders/search/\",\"route_type\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\"fanout\":[{}],\"max_attempts\":2,\"top_k\":20,\"min_coverage\":0.89}}",
            names.join(",")
        ));
    }
    let spec = |name: &str, connections: usize| {
        format!(
            "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":{connections},\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":0.0}}"
        )
    };
    let mut specs: Vec<String> = shards.iter().map(|shard| spec(shard, 5)).collect();
    specs.push(spec("ledger", 96));
    format!(
        "{{\"config_version\":{version},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        specs.join(",")
    )
    .into_bytes()
}

/// A node is cut off from the store while a route with queries over all shards is removed. Its path then belongs to
/// the route above it, whose requests may run at most once.
fn segment_as_order(stage: &Stage) -> io::Result<bool> {
    let shards: Vec<String> = (1..=20).map(|index| format!("shard-{index:02}")).collect();
    let services: Vec<String> = shards
        .iter()
        .cloned()
        .chain(["ledger".to_owned()])
        .collect();
    let size = Size {
        nodes: 6,
        services: services.len(),
        leafs: 2,
        slots: 3,
        queue: 18,
        work: ms(9),
    };
    let deployment = deploy_config(
        stage,
        size,
        &services,
        &order_search_config(7, &shards, true),
    )?;
    thread::sleep(ms(2_500));
    let clients = start_queries(stage, &deployment.nodes, "/orders/search/2f");
    thread::sleep(ms(3_000));
    let door = &deployment.doors[0];
    if stage.trouble {
        stage.record.line(&format!(
            "the node at {} is cut off from the store",
            deployment.nodes[0].front
        ));
        door.is_cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(ms(200));
    stage
        .record
        .line("the store acknowledges version 8, which removes the route /orders/search/");
    deployment
        .store
        .put("config", "main", &order_search_config(8, &shards, false));
    thread::sleep(ms(3_800));
    stage.record.line("the node reaches the store again");
    door.is_cut.store(false, Ordering::Relaxed);
    thread::sleep(ms(2_000));
    let answers = finish(stage, clients);
    summarize(stage, &answers);

    // Only the route /orders/ sends requests to the service ledger, and they may run at most once.
    let ledger: Vec<&str> = deployment
        .leafs
        .iter()
        .filter(|leaf| leaf.0.settings.service == "ledger")
        .map(|leaf| leaf.0.name.as_str())
        .collect();
    let runs = deployment.runs.lock().unwrap().clone();
    let orders: Vec<Run> = runs
        .into_iter()
        .filter(|run| ledger.contains(&run.leaf.as_str()))
        .collect();
    let is_unrepeated = check_at_most_once(stage, &answers, &orders);

    let mut wrong = 0;
    for answer in answers
        .iter()
        .filter(|answer| answer.response.field("x-monsoondeal-part-stamps").is_some())
    {
        if let Some(fault) = gather_fault(answer, &shards, &[20]) {
            wrong += 1;
            stage.record.line(&format!(
                "MIXED: {} (sent at {} ms): {fault}",
                answer.id, answer.sent_at
            ));
        }
    }
    stage
        .record
        .say(&format!("successes that are wrong: {wrong}"));
    Ok(is_unrepeated && wrong == 0)
}
