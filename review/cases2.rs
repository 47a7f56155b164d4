//! Cases 6 to 10 of the second review. Each plays one disruption, writes `record.txt` and tells by its exit code
//! whether the rule was broken: 1 if so, 0 if it held, 2 if the case could not run.

mod stage2;

use std::collections::{HashMap, HashSet};
use std::io::Read;
use std::net::SocketAddr;
use std::panic;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stage2::{
    Connection, Leaf, Node, Proxy, Record, Store, ask, config, end_started, note_ended,
    note_started, route, wait_ready,
};

/// Time after which a script is ended.
const MAX_TIME: Duration = Duration::from_secs(115);
/// Zones of the six machines of a small deployment.
const ZONES: [&str; 6] = [
    "milano-a", "milano-a", "milano-b", "milano-b", "torino-a", "verona-a",
];

/// What a case needs to know.
struct Stage {
    /// Folder for settings and logs.
    dir: String,
    record: Record,
    /// Whether the disruption is played.
    has_trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args[0] == "crowd" {
        return crowd(&args[1..]);
    }
    let stage = Stage {
        dir: args[1].clone(),
        record: Record::new(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        println!("could not run: out of time");
        end_started();
        std::process::exit(2);
    });
    let play = match args[0].as_str() {
        "strangers" => strangers,
        "descriptors" => descriptors,
        "decision" => late_decision,
        "followers" => followers,
        "leavers" => leavers,
        other => panic!("unknown case {other}"),
    };
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| play(&stage)));
    let code = match result {
        Ok(is_broken) => i32::from(is_broken),
        Err(_) => 2,
    };
    end_started();
    let verdict = [
        "the rule held",
        "the rule was broken",
        "the case could not run",
    ][code as usize];
    stage.record.say(verdict);
    stage.record.write(&args[2]);
    std::process::exit(code);
}

/// Starts the six nodes of a small deployment.
fn start_nodes(stage: &Stage, store: &Store, keeps_logs: bool) -> Vec<Node> {
    let name = |at: usize| format!("edge-{}-{at}", ZONES[at]);
    let nodes = (0..ZONES.len())
        .map(|at| Node::start(&stage.dir, &name(at), ZONES[at], store.addr, keeps_logs));
    nodes.collect()
}

/// Starts leafs of a service and registers them.
fn start_leafs(store: &Store, service: &str, count: usize, work: Duration) -> Vec<Leaf> {
    let leafs = (0..count).map(|at| {
        let zone = ["milano-a", "milano-b", "torino-a", "verona-a"][at % 4];
        let leaf = Leaf::start(service, &format!("i-{service}-{at}"), zone, "v1", 2, work);
        store.put("servers", &leaf.name, leaf.entry());
        leaf
    });
    leafs.collect()
}

// ---------------------------------------------------------------- case 6

/// An entry of another writer, without the field `sequence`, names a leaf of another service.
fn strangers(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start();
    let _ledger = start_leafs(&store, "registro", 4, Duration::from_millis(20));
    let bills = start_leafs(&store, "fatture", 3, Duration::from_millis(20));
    let routes = [
        route("ledger", "/ledger/", "idempotent", "registro", 8_000, 800),
        route("bills", "/bills/", "idempotent", "fatture", 8_000, 800),
    ];
    store.put(
        "config",
        "main",
        config(1, &routes, &["registro", "fatture"], 96, 15_000),
    );
    let nodes = start_nodes(stage, &store, true);
    wait_ready(&nodes);
    thread::sleep(Duration::from_secs(1));

    // A leaf of `fatture` leaves: its entry is removed, and it goes on serving for a while.
    let left = &bills[0];
    store.remove("servers", &left.name);
    record.say(format!(
        "the entry of {} ({}) is removed",
        left.name, left.service
    ));
    thread::sleep(Duration::from_secs(4));
    if stage.has_trouble {
        let entry = format!("{{{}}}", left.entry_fields("registro"));
        record.say(format!(
            "another writer writes servers/{}: {entry}",
            left.name
        ));
        store.put("servers", &left.name, entry);
    }
    thread::sleep(Duration::from_secs(1));
    let answers: Vec<(String, u16, String)> = thread::scope(|scope| {
        let clients: Vec<_> = nodes
            .iter()
            .enumerate()
            .flat_map(|(at, node)| (0..4).map(move |client| (at, client, node.front)))
            .map(|(at, client, front)| {
                scope.spawn(move || {
                    let mut answers = Vec::new();
                    for count in 0..10 {
                        let id = format!("r-{at}-{client}-{count}");
                        let path = format!("/ledger/{count}");
                        match ask(front, "GET", &path, &id, 8_000, "") {
                            Ok(answer) => {
                                let body = String::from_utf8_lossy(&answer.body).into_owned();
                                let told = format!("stamp {}, body {body}", answer.stamp());
                                answers.push((id, answer.status, told));
                            }
                            Err(error) => answers.push((id, 0, error.to_string())),
                        }
                    }
                    answers
                })
            })
            .collect();
        clients
            .into_iter()
            .flat_map(|client| client.join().expect("a client"))
            .collect()
    });
    for (id, status, told) in &answers {
        record.add(format!("{id} GET /ledger/: answered {status}, {told}"));
    }
    let foreign_answers = answers
        .iter()
        .filter(|(_, status, told)| *status == 200 && told.contains("stamp fatture/"));
    let foreign_answers = foreign_answers.count();
    let arrivals = left.arrivals();
    let foreign_runs = arrivals
        .iter()
        .filter(|arrival| arrival.taken && arrival.target.starts_with("/ledger/"));
    for run in foreign_runs.clone() {
        record.add(format!(
            "{} of service fatture ran {} {}",
            left.name, run.id, run.target
        ));
    }
    let foreign_runs = foreign_runs.count();
    record.say(format!(
        "{} requests on the route of registro: {foreign_runs} run by a leaf of fatture, {foreign_answers} answered 200 \
         with its body",
        answers.len()
    ));
    foreign_runs > 0
}

// ---------------------------------------------------------------- case 7

/// Processes that open connections of clients, and the connections of each: few enough for any limit on descriptors.
const CROWDS: usize = 8;
/// New connections a second of all clients: the requests a second of a small deployment, each on a new connection.
const CONNECTIONS_PER_SECOND: f64 = 112.5;
/// How long clients keep coming. The last connections are then as old as a client's idle connection may be.
const CROWD_TIME: Duration = Duration::from_secs(46);
/// Timeout of the route, and the time beyond it within which an answer must come.
const TIMEOUT_MS: u64 = 2_500;

/// Five of six machines are lost. The clients go to the last one, until its descriptors are used up.
fn descriptors(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start();
    let leafs = start_leafs(&store, "registro", 8, Duration::from_millis(10));
    let routes = [route(
        "ledger",
        "/ledger/",
        "idempotent",
        "registro",
        TIMEOUT_MS,
        250,
    )];
    store.put(
        "config",
        "main",
        config(1, &routes, &["registro"], 96, 60_000),
    );
    let mut nodes = start_nodes(stage, &store, false);
    wait_ready(&nodes);
    record.say("all nodes are ready");
    if stage.has_trouble {
        nodes[1..].iter_mut().for_each(Node::kill);
        record.say("five of the six machines are lost");
    }
    let fronts: Vec<SocketAddr> = if stage.has_trouble {
        vec![nodes[0].front]
    } else {
        nodes.iter().map(|node| node.front).collect()
    };
    let last = nodes[0].front;
    // Kept connections of a few clients, which send a request now and then.
    let mut kept: Vec<Connection> = (0..10)
        .map(|_| Connection::open(last).expect("a connection"))
        .collect();
    let kept_before = ask_kept(&mut kept, "before");
    record.say(format!(
        "before: {kept_before} of 10 requests on kept connections answered in time"
    ));

    let program = std::env::current_exe().expect("the path of this program");
    let crowds: Vec<_> = (0..CROWDS)
        .map(|at| {
            let list: Vec<String> = fronts.iter().map(SocketAddr::to_string).collect();
            let rate = CONNECTIONS_PER_SECOND / CROWDS as f64;
            Command::new(&program)
                .args([
                    "crowd",
                    &at.to_string(),
                    &rate.to_string(),
                    &CROWD_TIME.as_secs().to_string(),
                    &list.join(","),
                ])
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn()
                .inspect(|child| note_started(child.id()))
                .expect("a process of clients")
        })
        .collect();
    let cpu_before = nodes[0].cpu_seconds();
    let mut refused = 0;
    for mut crowd in crowds {
        let mut told = String::new();
        let _ = crowd
            .stdout
            .take()
            .expect("a pipe")
            .read_to_string(&mut told);
        let _ = crowd.wait();
        note_ended(crowd.id());
        refused += told
            .split("unanswered ")
            .nth(1)
            .and_then(|n| n.trim().parse::<usize>().ok())
            .unwrap_or(0);
        record.say(format!("clients: {}", told.trim()));
    }
    record.say(format!(
        "the clients have closed all their connections; {refused} requests were not answered"
    ));
    for node in &mut nodes[1..] {
        if stage.has_trouble {
            node.spawn();
        }
    }
    record.say("all machines are back");
    thread::sleep(Duration::from_secs(6));

    // Long after the clients have left: are requests still answered?
    let runs = nodes[0].runs();
    let is_ready = nodes[0].is_ready();
    let kept_after = ask_kept(&mut kept, "after");
    let new_after = thread::scope(|scope| {
        let asks: Vec<_> = (0..10)
            .map(|at| {
                scope.spawn(move || {
                    let answer = ask(
                        last,
                        "GET",
                        "/ledger/1",
                        &format!("new-{at}"),
                        TIMEOUT_MS,
                        "",
                    );
                    answer.is_ok()
                })
            })
            .collect();
        asks.into_iter()
            .map(|ask| ask.join().expect("a client"))
            .filter(|served| *served)
            .count()
    });
    record.say(format!(
        "after: the process runs: {runs}; ready: {is_ready}; {kept_after} of 10 requests on kept connections and \
         {new_after} of 10 on new ones answered within {TIMEOUT_MS} ms and half a second more"
    ));
    let runs_of = |name: &str| {
        let arrivals = leafs.iter().flat_map(Leaf::arrivals);
        arrivals
            .filter(|arrival| arrival.id.starts_with(name))
            .count()
    };
    for name in ["kept-before", "crowd", "kept-after", "new"] {
        record.say(format!(
            "requests named {name}-*: {} run by leafs",
            runs_of(name)
        ));
    }
    if let (Some(before), Some(now)) = (cpu_before, nodes[0].cpu_seconds()) {
        record.say(format!(
            "processor time of the node since the clients came: {:.1} s",
            now - before
        ));
        let start = now;
        thread::sleep(Duration::from_secs(3));
        let used = nodes[0].cpu_seconds().unwrap_or(start) - start;
        record.say(format!(
            "and in the last 3 s, without any client: {used:.1} s"
        ));
    }
    runs && kept_after + new_after < 10
}

/// Sends one request on each kept connection at the same time, and returns how many were answered in time.
fn ask_kept(kept: &mut [Connection], when: &str) -> usize {
    thread::scope(|scope| {
        let asks: Vec<_> = kept
            .iter_mut()
            .enumerate()
            .map(|(at, connection)| {
                let id = format!("kept-{when}-{at}");
                scope.spawn(move || {
                    let sent = connection.send("GET", "/ledger/1", &id, TIMEOUT_MS, "");
                    let wait = Duration::from_millis(TIMEOUT_MS + 500);
                    sent.is_ok() && connection.receive(wait).is_ok()
                })
            })
            .collect();
        asks.into_iter()
            .map(|ask| ask.join().expect("a client"))
            .filter(|served| *served)
            .count()
    })
}

/// Clients that each send a request on a new connection, and keep it open for a later one. Arguments: number of the
/// crowd, connections a second, seconds, addresses.
fn crowd(args: &[String]) {
    let rate: f64 = args[1].parse().expect("a rate");
    let time = Duration::from_secs(args[2].parse().expect("seconds"));
    let fronts: Vec<SocketAddr> = args[3]
        .split(',')
        .map(|addr| addr.parse().expect("an address"))
        .collect();
    let started = Instant::now();
    let open: Arc<Mutex<Vec<Connection>>> = Arc::default();
    let served = Arc::new(Mutex::new(0));
    let mut count = 0;
    while started.elapsed() < time {
        let id = format!("crowd-{}-{count}", args[0]);
        let front = fronts[count % fronts.len()];
        count += 1;
        let (open, served) = (open.clone(), served.clone());
        thread::spawn(move || {
            let Ok(mut connection) = Connection::open(front) else {
                return;
            };
            let sent = connection.send("GET", "/ledger/1", &id, TIMEOUT_MS, "");
            let wait = Duration::from_millis(TIMEOUT_MS + 500);
            if sent.is_ok() && connection.receive(wait).is_ok() {
                *served.lock().unwrap() += 1;
                open.lock().unwrap().push(connection);
            }
        });
        let next = Duration::from_secs_f64(count as f64 / rate);
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    thread::sleep(Duration::from_millis(TIMEOUT_MS + 600));
    let served = *served.lock().unwrap();
    println!(
        "sent {count}, answered {served}, kept open {}, unanswered {}",
        open.lock().unwrap().len(),
        count - served
    );
}

// ---------------------------------------------------------------- case 8

/// Requests a second of all clients: those of a small deployment.
const REQUESTS_PER_SECOND: f64 = 112.5;
/// How long the machine is cut off from the store that has just written to it under a condition.
const LEADER_CUT: Duration = Duration::from_millis(5_500);
/// Time within which each of the first two orders is to be completed, and the third one, in seconds.
const SHORT_ORDER_S: u64 = 4;
const LAST_ORDER_S: u64 = 12;
/// Time from the end of an order until new leafs start and the next order is given.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time after the third order at which its version turns bad.
const BAD_AFTER: Duration = Duration::from_secs(3);
/// Share of a service's requests that a bad version may get, and requests beyond that share.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;

/// The machine that writes the end of a move is cut off before it hears that it was written. When it is back, it ends
/// a later move to a version of the same name.
fn late_decision(stage: &Stage) -> bool {
    let result = (0..3).find_map(|_| play_orders(stage));
    result.expect("the first two orders are completed in one of three attempts")
}

/// Plays the three orders and returns whether the rule was broken, or `None` if one of the first two, whose versions
/// are good, was not completed in time.
fn play_orders(stage: &Stage) -> Option<bool> {
    let record = &stage.record;
    let store = Store::start();
    // Leafs of other services, as many as on the sheet: 20 shards of two leafs and 12 of `fatture`.
    start_leafs(&store, "fatture", 52, Duration::from_millis(20));
    let mut leafs = start_version(&store, "v1", "a");
    let routes = [route(
        "ledger",
        "/ledger/",
        "idempotent",
        "registro",
        8_000,
        800,
    )];
    store.put(
        "config",
        "main",
        config(1, &routes, &["registro"], 96, 15_000),
    );
    let links: Vec<Proxy> = ZONES.iter().map(|_| Proxy::start(store.addr)).collect();
    let nodes: Vec<Node> = (0..ZONES.len())
        .map(|at| {
            Node::start(
                &stage.dir,
                &format!("edge-{}-{at}", ZONES[at]),
                ZONES[at],
                links[at].addr,
                true,
            )
        })
        .collect();
    wait_ready(&nodes);
    let has_ended = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&nodes, &has_ended, record);
    thread::sleep(Duration::from_secs(8));

    // The first status `completed` is written; with the disruption, its writer is cut off before the answer.
    let cut_node: Arc<Mutex<Option<usize>>> = Arc::default();
    store.on_status({
        let (links, record, cut_node) = (links.clone(), record.clone(), cut_node.clone());
        let has_trouble = stage.has_trouble;
        move |path, body, caller| {
            let writer = links.iter().position(|link| link.has_called_from(caller));
            record.add(format!("node {writer:?} writes {path}: {body}"));
            let mut cut_node = cut_node.lock().unwrap();
            if let Some(at) = writer
                && body.contains("completed")
                && cut_node.is_none()
            {
                *cut_node = Some(at);
                if has_trouble {
                    links[at].set_cut(true);
                    record.add(format!("node {at} is cut off from the store"));
                }
            }
        }
    });
    let order = |version: &str, seconds: u64| {
        let spec = format!(
            "{{\"service\":\"registro\",\"target_version\":\"{version}\",\"duration_s\":{seconds}}}"
        );
        store.put("rollouts", "registro", spec);
        record.say(format!("order: registro to {version} within {seconds} s"));
    };

    // First order: to version v2, which is good.
    let second = start_version(&store, "v2", "b");
    order("v2", SHORT_ORDER_S);
    wait_completed(stage, &store, "v2", &has_ended)?;
    let completed_at = Instant::now();
    record.say("v2 is completed; the leafs of v1 are stopped");
    stop_leafs(&store, &leafs);
    let healing = thread::spawn({
        let (links, record) = (links.clone(), record.clone());
        move || {
            thread::sleep(LEADER_CUT);
            links.iter().for_each(|link| link.set_cut(false));
            record.add("no machine is cut off any more");
        }
    });

    // Second order: back to version v1.
    thread::sleep(SETTLE_TIME);
    leafs = start_version(&store, "v1", "c");
    order("v1", SHORT_ORDER_S);
    wait_completed(stage, &store, "v1", &has_ended)?;
    record.say("v1 is completed; the leafs of v2 are stopped");
    stop_leafs(&store, &second);

    thread::sleep(SETTLE_TIME);
    // Third order: to version v2 once more, whose new leafs turn bad after a while.
    let third = start_version(&store, "v2", "d");
    let ordered = Instant::now();
    record.add(format!(
        "{:.3?} after the first order was completed",
        ordered - completed_at
    ));
    order("v2", LAST_ORDER_S);
    thread::sleep(BAD_AFTER);
    third.iter().for_each(Leaf::set_failing);
    record.say("v2 turns bad: its leafs fail all requests from now on");
    let deadline = ordered + Duration::from_secs(LAST_ORDER_S);
    let mut is_stopped = false;
    while Instant::now() < deadline {
        let is_completed = is_completed(&store, "v2");
        if is_completed && !is_stopped {
            record.say("v2 is completed; the leafs of v1 are stopped");
            stop_leafs(&store, &leafs);
            is_stopped = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.say(format!(
        "status at the deadline: {}",
        store.status("rollouts", "registro")
    ));
    healing.join().expect("the cut ends");
    has_ended.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));

    // Only requests that went to machines which were never cut off count against the rule.
    let cut_prefix = cut_node
        .lock()
        .unwrap()
        .map(|at| format!("r-{at}-"))
        .unwrap_or_default();
    let in_time = |leafs: &[Leaf]| -> Vec<stage2::Arrival> {
        let all = leafs.iter().flat_map(Leaf::arrivals);
        all.filter(|arrival| arrival.taken && arrival.at >= ordered && arrival.at < deadline)
            .collect()
    };
    let (old, new) = (in_time(&leafs), in_time(&third));
    let exposed = new
        .iter()
        .filter(|arrival| !arrival.id.starts_with(&cut_prefix))
        .count();
    let all = old.len() + new.len() + in_time(&second).len();
    let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.say(format!(
        "from the third order to its deadline {all} requests reached the service; v2 got {exposed} of them from machines \
         that were never cut off, {allowed:.0} are allowed"
    ));
    Some(exposed as f64 > allowed)
}

/// Starts the leafs of a version of the service and registers them.
fn start_version(store: &Store, version: &str, mark: &str) -> Vec<Leaf> {
    let leafs = (0..6).map(|at| {
        let (name, zone) = (format!("i-{mark}{at}"), ZONES[at]);
        let leaf = Leaf::start(
            "registro",
            &name,
            zone,
            version,
            2,
            Duration::from_millis(20),
        );
        store.put("servers", &leaf.name, leaf.entry());
        leaf
    });
    leafs.collect()
}

/// Stops leafs at once, as the platform does with those of the old version.
fn stop_leafs(store: &Store, leafs: &[Leaf]) {
    for leaf in leafs {
        leaf.end();
        store.remove("servers", &leaf.name);
    }
}

fn is_completed(store: &Store, version: &str) -> bool {
    let status = store.status("rollouts", "registro");
    status.contains("\"completed\"") && status.contains(&format!("\"{version}\""))
}

/// Waits until the move to a good version is completed, or returns `None` if it isn't in time.
fn wait_completed(
    stage: &Stage,
    store: &Store,
    version: &str,
    has_ended: &AtomicBool,
) -> Option<()> {
    let end = Instant::now() + Duration::from_secs(SHORT_ORDER_S + 2);
    while !is_completed(store, version) {
        if Instant::now() >= end {
            stage.record.say(format!(
                "the move to {version} was not completed in time; the attempt ends"
            ));
            has_ended.store(true, Ordering::SeqCst);
            return None;
        }
        thread::sleep(Duration::from_millis(10));
    }
    Some(())
}

/// Starts clients that send requests to all nodes until `has_ended` is set.
fn start_clients(
    nodes: &[Node],
    has_ended: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    const CLIENTS: usize = 24;
    let pause = Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_SECOND);
    let clients = (0..CLIENTS).map(|client| {
        let (has_ended, record) = (has_ended.clone(), record.clone());
        let (at, front) = (client % nodes.len(), nodes[client % nodes.len()].front);
        thread::spawn(move || {
            thread::sleep(pause.mul_f64(client as f64 / CLIENTS as f64));
            let mut count = 0;
            while !has_ended.load(Ordering::SeqCst) {
                let started = Instant::now();
                count += 1;
                let id = format!("r-{at}-{client}-{count}");
                let told = match ask(front, "GET", "/ledger/1", &id, 8_000, "") {
                    Ok(answer) => format!("{} {}", answer.status, answer.stamp()),
                    Err(error) => error.to_string(),
                };
                record.add(format!("{id}: {told}"));
                thread::sleep(pause.saturating_sub(started.elapsed()));
            }
        })
    });
    clients.collect()
}

// ---------------------------------------------------------------- case 9

/// Machines of the zone in which some nodes follow others. Two more zones have one machine each.
const ZONE_NODES: usize = 7;
/// Bound on the time until a configuration is in force.
const APPLY: Duration = Duration::from_millis(3_000);
/// Rounds that are played, if the rule holds in all of them.
const ROUNDS: u64 = 5;
/// How long the machines are cut off from the store: the largest cut of one machine on the pages.
const CUT: Duration = Duration::from_millis(5_500);
/// Time without any disruption before each round, more than `contact_ms`.
const CALM: Duration = Duration::from_millis(6_000);

/// The machines that read the store for their zone are cut off from it while a route moves to another service.
fn followers(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start();
    let services = ["registro", "fatture"];
    for service in services {
        start_leafs(&store, service, 4, Duration::from_millis(5));
    }
    let put_config = |version: u64, service: &str| {
        let routes = [route(
            "ledger",
            "/ledger/",
            "idempotent",
            service,
            2_500,
            250,
        )];
        store.put(
            "config",
            "main",
            config(version, &routes, &services, 96, 15_000),
        );
    };
    put_config(1, services[0]);
    let (mut nodes, mut links) = (Vec::new(), Vec::new());
    for at in 0..ZONE_NODES + 2 {
        let zone = ["milano-a", "torino-a", "verona-a"][at.saturating_sub(ZONE_NODES - 1)];
        let link = Proxy::start(store.addr);
        nodes.push(Node::start(
            &stage.dir,
            &format!("edge-{zone}-{at}"),
            zone,
            link.addr,
            true,
        ));
        links.push(link);
    }
    wait_ready(&nodes);
    for round in 1..=ROUNDS {
        thread::sleep(CALM);
        let readers: Vec<usize> = (0..nodes.len())
            .filter(|at| reads_store(&nodes[*at]))
            .collect();
        let cut: Vec<usize> = readers
            .iter()
            .copied()
            .filter(|at| nodes[*at].zone == "milano-a")
            .collect();
        record.say(format!(
            "round {round}: nodes {readers:?} read the store; those of milano-a are {cut:?}"
        ));
        assert!(cut.len() == 2, "two nodes of the zone read the store");
        if stage.has_trouble {
            wait_until_heard(&links, &cut);
            cut.iter().for_each(|at| links[*at].set_cut(true));
            record.add(format!("nodes {cut:?} are cut off from the store"));
        }
        let service = services[round as usize % 2];
        put_config(1 + round, service);
        let acknowledged = Instant::now();
        record.add(format!(
            "version {} is acknowledged: the route belongs to {service}",
            1 + round
        ));
        let late = watch_versions(
            stage,
            &nodes,
            &cut,
            service,
            round,
            acknowledged,
            Duration::from_millis(4_500),
        );
        thread::sleep((acknowledged + CUT).saturating_duration_since(Instant::now()));
        links.iter().for_each(|link| link.set_cut(false));
        if late > 0 {
            record.say(format!("round {round}: {late} requests sent later than {APPLY:?} were run by the old service"));
            return true;
        }
    }
    false
}

/// Returns whether a node reads the store, by the latest line of its log about it.
fn reads_store(node: &Node) -> bool {
    let words = [
        "reading the store",
        "leaving the store",
        "waiting for the store",
    ];
    let lines = node.log_lines();
    let latest = lines
        .iter()
        .rev()
        .find(|line| words.iter().any(|word| line.contains(word)));
    latest.is_some_and(|line| line.contains(words[0]))
}

/// Waits for a moment at which all of these nodes have just heard from the store, but not for ever.
fn wait_until_heard(links: &[Proxy], nodes: &[usize]) {
    let end = Instant::now() + Duration::from_secs(4);
    let is_recent = |at: &usize| links[*at].silence() < Duration::from_millis(150);
    while Instant::now() < end && !nodes.iter().all(is_recent) {
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sends requests to the nodes that are not cut off, and returns how many were sent later than the bound and run by
/// the old service.
fn watch_versions(
    stage: &Stage,
    nodes: &[Node],
    cut: &[usize],
    service: &str,
    round: u64,
    acknowledged: Instant,
    time: Duration,
) -> usize {
    let record = &stage.record;
    thread::scope(|scope| {
        let watches: Vec<_> = (0..nodes.len())
            .filter(|at| !cut.contains(at))
            .map(|at| {
                let (front, name) = (nodes[at].front, &nodes[at].name);
                scope.spawn(move || {
                    let (mut late, mut count, mut first) = (0, 0, None);
                    while acknowledged.elapsed() < time {
                        count += 1;
                        let id = format!("r-{round}-{at}-{count}");
                        let sent = acknowledged.elapsed();
                        let answer = ask(front, "GET", "/ledger/1", &id, 2_500, "");
                        let stamp = answer.map(|a| a.stamp().to_owned()).unwrap_or_default();
                        if stamp.starts_with(service) {
                            first.get_or_insert(sent);
                        } else if sent > APPLY && !stamp.is_empty() {
                            late += 1;
                            record.add(format!(
                                "{name}: {id}, sent {sent:.3?} after it, was run by {stamp}"
                            ));
                        }
                        thread::sleep(Duration::from_millis(25));
                    }
                    record.add(format!(
                        "{name}: first request of the new version sent at {first:.3?}"
                    ));
                    late
                })
            })
            .collect();
        watches
            .into_iter()
            .map(|watch| watch.join().expect("a client"))
            .sum()
    })
}

// ---------------------------------------------------------------- case 10

/// Requests a second, and how long clients come.
const ORDERS_PER_SECOND: f64 = 22.5;
const ORDER_TIME: Duration = Duration::from_secs(70);
/// The disruptions begin anew after this time, at other leafs, and last for this long.
const EPISODE: Duration = Duration::from_secs(14);
const EPISODE_TROUBLE: Duration = Duration::from_secs(8);
/// After this time a share of the clients leaves: half of the route's aim.
const PATIENCE: Duration = Duration::from_millis(400);
const LEAVING_SHARE: f64 = 0.3;
/// Share of the leafs that turn slow, and the factor.
const SLOW_SHARE: f64 = 0.4;
const SLOW_FACTOR: u32 = 12;
/// Time of a request at a leaf.
const ORDER_WORK: Duration = Duration::from_millis(220);
/// Requests that may reach a leaf long after their client has left. The rule says: a few.
const A_FEW: usize = 5;

/// Returns the number of an episode and the time since it began.
fn episode(elapsed: Duration) -> (usize, Duration) {
    let number = elapsed.as_millis() / EPISODE.as_millis();
    (number as usize, elapsed - EPISODE * number as u32)
}

/// Makes a share of the leafs slow, other ones in each episode, or none.
fn set_slow(leafs: &[Leaf], episode: Option<usize>, record: &Record) {
    let count = (leafs.len() as f64 * SLOW_SHARE) as usize;
    for (at, leaf) in leafs.iter().enumerate() {
        let is_slow = episode.is_some_and(|number| {
            (at + leafs.len() - number * count % leafs.len()) % leafs.len() < count
        });
        leaf.set_work(if is_slow {
            ORDER_WORK * SLOW_FACTOR
        } else {
            ORDER_WORK
        });
    }
    match episode {
        Some(_) => record.add(format!(
            "{count} of {} leafs turn slow; clients begin to leave",
            leafs.len()
        )),
        None => record.add("the leafs are as fast as before, and the clients stay"),
    }
}

/// Clients leave while their orders, which may run once at most, have not been sent to a leaf yet.
fn leavers(stage: &Stage) -> bool {
    let record = &stage.record;
    let store = Store::start();
    let leafs = start_leafs(&store, "fatture", 12, ORDER_WORK);
    let routes = [route(
        "orders",
        "/orders/",
        "non_idempotent",
        "fatture",
        8_000,
        800,
    )];
    store.put(
        "config",
        "main",
        config(1, &routes, &["fatture"], 96, 15_000),
    );
    let nodes = start_nodes(stage, &store, true);
    wait_ready(&nodes);
    // Until leafs have closed what connections an earlier process might have had.
    thread::sleep(Duration::from_secs(7));
    let left: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let started = Instant::now();
    let mut clients = Vec::new();
    let mut count = 0;
    let mut slow: Option<usize> = None;
    while started.elapsed() < ORDER_TIME {
        let (episode, since) = episode(started.elapsed());
        let is_disrupted = stage.has_trouble && since < EPISODE_TROUBLE;
        if is_disrupted != slow.is_some() {
            slow = is_disrupted.then_some(episode);
            set_slow(&leafs, slow, record);
        }
        let front = nodes[count % nodes.len()].front;
        let id = format!("order-{count}");
        // Every third or so of them, spread evenly.
        let leaves = is_disrupted
            && ((count + 1) as f64 * LEAVING_SHARE).floor()
                > (count as f64 * LEAVING_SHARE).floor();
        let (left, record) = (left.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let Ok(mut connection) = Connection::open(front) else {
                return;
            };
            if connection
                .send("POST", "/orders/1", &id, 8_000, "one calf skin")
                .is_err()
            {
                return;
            }
            record.add(format!("{id} sent"));
            let wait = if leaves {
                PATIENCE
            } else {
                Duration::from_millis(8_500)
            };
            match connection.receive(wait) {
                Ok(answer) => record.add(format!("{id} answered {}", answer.status)),
                Err(_) if leaves => {
                    drop(connection);
                    left.lock().unwrap().insert(id.clone(), Instant::now());
                    record.add(format!("{id}: its client closes the connection"));
                }
                Err(error) => record.add(format!("{id} not answered: {error}")),
            }
        }));
        count += 1;
        let next = Duration::from_secs_f64(count as f64 / ORDERS_PER_SECOND);
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    thread::sleep(Duration::from_secs(1));
    let left = left.lock().unwrap();
    let (mut late, mut run) = (HashSet::new(), HashSet::new());
    for leaf in &leafs {
        for arrival in leaf.arrivals() {
            let Some(left_at) = left.get(&arrival.id) else {
                continue;
            };
            let after = arrival.at.saturating_duration_since(*left_at);
            if after > Duration::from_millis(500) {
                record.add(format!(
                    "{} reached {} {after:.3?} after its client had left, {}",
                    arrival.id,
                    leaf.name,
                    if arrival.taken {
                        "and is run"
                    } else {
                        "and is refused"
                    }
                ));
                late.insert(arrival.id.clone());
                if arrival.taken {
                    run.insert(arrival.id.clone());
                }
            }
        }
    }
    record.say(format!(
        "{count} orders, {} clients left; {} of their orders reached a leaf over half a second later, {} were run",
        left.len(),
        late.len(),
        run.len()
    ));
    late.len() > A_FEW
}
