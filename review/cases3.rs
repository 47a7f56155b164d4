//! The cases of this review: `cases3 CASE DIR`, run in the repository root. With `TROUBLE=0` in the environment the
//! disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod stage3;

use std::path::Path;
use std::process::exit;
use std::thread;

use stage3::*;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = &args[..] else {
        eprintln!("usage: cases3 CASE DIR");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let dir = Path::new(dir);
    let temp = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let result = std::fs::create_dir_all(&temp).and_then(|()| {
        let record = Record::create(&dir.join("record.txt"))?;
        match case.as_str() {
            "drill-config" => drill_config(&record, &temp, has_trouble),
            "drill-moves" => drill_moves(&record, &temp, has_trouble),
            "drill-completed" => drill_completed(&record, &temp, has_trouble),
            "drill-members" => drill_members(&record, &temp, has_trouble),
            "evacuate" => evacuate(&record, &temp, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        }
    });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    } else {
        println!("kept {}", temp.display());
    }
    match result {
        Ok(Verdict::Held) => println!("the rule held"),
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            exit(1);
        }
        Err(error) => {
            println!("the case could not run: {error}");
            exit(2);
        }
    }
}

enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    fn of(is_broken: bool) -> Self {
        if is_broken { Self::Broken } else { Self::Held }
    }
}

type CaseResult = std::io::Result<Verdict>;

fn start_nodes(
    temp: &Path,
    numbers: std::ops::Range<usize>,
    is_first: bool,
    store: &Store,
    record: &Record,
) -> std::io::Result<Vec<Node>> {
    let nodes: std::io::Result<Vec<Node>> = numbers
        .map(|number| Node::start(temp, number, is_first, store.addr))
        .collect();
    let nodes = nodes?;
    if !wait_ready(&nodes, secs(15.0)) {
        return Err(std::io::Error::other("the nodes did not become ready"));
    }
    record.say(&format!("{} nodes are ready", nodes.len()));
    Ok(nodes)
}

/// Counts the runs for which `is_wrong` holds, given the run and when its request was sent, and records the first ones.
fn count_runs<F>(seen: &Seen, record: &Record, what: &str, is_wrong: F) -> usize
where
    F: Fn(&Run, &Call) -> bool,
{
    let calls = seen.calls.lock().unwrap();
    let runs = seen.runs.lock().unwrap();
    let wrong: Vec<(&Run, &Call)> = runs
        .iter()
        .filter_map(|run| Some((run, calls.get(&run.id)?)))
        .filter(|(run, call)| is_wrong(run, call))
        .collect();
    for (run, call) in wrong.iter().take(5) {
        record.line(&format!(
            "{what}: {} sent at {:.3} to node {}, arrived at {:.3} at {} of {} {}",
            run.id,
            call.sent.as_secs_f64(),
            call.node,
            run.at.as_secs_f64(),
            run.leaf,
            run.service,
            run.version
        ));
    }
    let nodes: std::collections::BTreeSet<usize> = wrong.iter().map(|(_, call)| call.node).collect();
    record.say(&format!("{what}: {} requests, taken by nodes {nodes:?}", wrong.len()));
    wrong.len()
}

/// A drill of the store: it comes back from a copy some seconds old. A configuration that is acknowledged right after is
/// never in force.
fn drill_config(record: &Record, temp: &Path, has_trouble: bool) -> CaseResult {
    let seen = Seen::default();
    let store = Store::start(record)?;
    let leaf = |name, service, zone| Leaf::start((name, service, "v1", zone), (24, 24, secs(0.01)), record, &seen);
    let leafs = [
        leaf("i-old-1", "registro", ZONES[0])?,
        leaf("i-old-2", "registro", ZONES[1])?,
        leaf("i-new-1", "fatture", ZONES[0])?,
        leaf("i-new-2", "fatture", ZONES[1])?,
    ];
    let services = ["registro", "fatture"];
    for leaf in &leafs {
        store.put("servers", &leaf.name, &leaf.entry("ready", 0));
    }
    let first = [("ledger", "idempotent", "registro")];
    store.put("config", "main", &config(3, &first, &services, 8_000, 0.0));
    let mut nodes = start_nodes(temp, 0..6, true, &store, record)?;
    let mut callers = Callers::new(record, &seen);
    let start = record.now().as_secs_f64();
    let load = ("GET", "/ledger/1", 2_000);
    send_until(&mut callers, &nodes, load, (30.0, start + 8.0));

    // The copy is made; four seconds of ordinary changes follow.
    let copy = store.copy();
    record.say(&format!("the copy is made at revision {}", store.revision()));
    send_until(&mut callers, &nodes, load, (30.0, start + 9.0));
    let added = leaf("i-old-3", "registro", ZONES[2])?;
    store.put("servers", &added.name, &added.entry("ready", 0));
    send_until(&mut callers, &nodes, load, (30.0, start + 10.0));
    let second = [("ledger", "idempotent", "registro"), ("extra", "idempotent", "fatture")];
    let second = config(7, &second, &services, 8_000, 0.0);
    store.put("config", "main", &second);
    send_until(&mut callers, &nodes, load, (30.0, start + 12.0));
    if has_trouble {
        record.say(&format!(
            "the drill: the store is away for 1 s, at revision {}",
            store.revision()
        ));
        store.leave();
        send_until(&mut callers, &nodes, load, (30.0, start + 13.0));
        store.come_back(copy);
        record.say(&format!(
            "the store is back from the copy, at revision {}",
            store.revision()
        ));
        // What the operator and the leafs wrote is written again.
        store.put("config", "main", &second);
    } else {
        send_until(&mut callers, &nodes, load, (30.0, start + 13.0));
    }
    send_until(&mut callers, &nodes, load, (30.0, start + 13.1));
    let third = [
        ("ledger", "idempotent", "fatture"),
        ("extra", "idempotent", "fatture"),
        ("added", "idempotent", "fatture"),
    ];
    store.put("config", "main", &config(12, &third, &services, 8_000, 0.0));
    let acknowledged = record.now();
    record.say("configuration 12 is acknowledged: the route `ledger` goes to `fatture`, and the route `added` is new");
    send_until(&mut callers, &nodes, load, (30.0, start + 13.2));
    if has_trouble {
        store.put("servers", &added.name, &added.entry("ready", 0));
    }
    let bound = CONFIG_APPLY + OUTER;
    let end = (acknowledged + bound).as_secs_f64() + 15.0;
    send_until(&mut callers, &nodes, load, (30.0, end));
    let asked: Vec<String> = (0..nodes.len())
        .map(|at| callers.send(at, nodes[at].front, "GET", "/added/1", 2_000))
        .collect();
    thread::sleep(secs(2.5));
    let refused = {
        let calls = seen.calls.lock().unwrap();
        asked.iter().filter(|id| calls[id.as_str()].status == 404).count()
    };
    record.say(&format!(
        "{refused} of {} nodes refuse the new route with 404",
        nodes.len()
    ));
    let late = |run: &Run, call: &Call| call.sent > acknowledged + bound && run.service == "registro";
    let wrong = count_runs(&seen, record, "run by the old service, later than both bounds", late);
    let ended = nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then_some(()))
        .count();
    record.say(&format!("{ended} nodes ended by themselves"));
    Ok(Verdict::of(wrong > 0 || refused > 0))
}

/// A drill of the store loses the record of a roll-out's order, and the operator gives the order again. The nodes take
/// the orders that follow for older ones, and send a bad version its full share of the traffic.
fn drill_moves(record: &Record, temp: &Path, has_trouble: bool) -> CaseResult {
    let seen = Seen::default();
    let store = Store::start(record)?;
    let leaf = |name, version, zone| Leaf::start((name, "registro", version, zone), (8, 8, secs(0.01)), record, &seen);
    let services = ["registro"];
    let register = |leaf: &Leaf| {
        store.put("servers", &leaf.name, &leaf.entry("ready", 0));
    };
    for leaf in [leaf("i-1a", "v1", ZONES[0])?, leaf("i-1b", "v1", ZONES[1])?] {
        register(&leaf);
    }
    let routes = [("ledger", "non_idempotent", "registro")];
    store.put("config", "main", &config(3, &routes, &services, 8_000, 0.0));
    let mut nodes = start_nodes(temp, 0..6, true, &store, record)?;
    let mut callers = Callers::new(record, &seen);
    let start = record.now().as_secs_f64();
    let load = ("POST", "/ledger/1", 2_000);
    send_until(&mut callers, &nodes, load, (60.0, start + 6.0));

    let copy = store.copy();
    record.say(&format!("the copy is made at revision {}", store.revision()));
    send_until(&mut callers, &nodes, load, (60.0, start + 7.0));
    let second = [leaf("i-2a", "v2", ZONES[0])?, leaf("i-2b", "v2", ZONES[1])?];
    second.iter().for_each(register);
    send_until(&mut callers, &nodes, load, (60.0, start + 8.0));
    let order = |version: &str, duration_s: u32| {
        format!("{{\"service\":\"registro\",\"target_version\":\"{version}\",\"duration_s\":{duration_s}}}")
    };
    let revision = store.put("rollouts", "registro", &order("v2", 12));
    record.say(&format!("the roll-out of v2 is ordered, at revision {revision}"));
    send_until(&mut callers, &nodes, load, (60.0, start + 10.0));
    if has_trouble {
        record.say(&format!(
            "the drill: the store is away for 1 s, at revision {}",
            store.revision()
        ));
        store.leave();
        send_until(&mut callers, &nodes, load, (60.0, start + 11.0));
        store.come_back(copy);
        record.say(&format!(
            "the store is back from the copy, at revision {}",
            store.revision()
        ));
        let revision = store.put("rollouts", "registro", &order("v2", 12));
        record.say(&format!("the operator writes the order again, at revision {revision}"));
        second.iter().for_each(register);
    }
    send_until(&mut callers, &nodes, load, (60.0, start + 30.0));
    record.say(&format!(
        "status of the roll-out of v2: {}",
        store.status("rollouts", "registro")
    ));

    let third = [leaf("i-3a", "v3", ZONES[0])?, leaf("i-3b", "v3", ZONES[1])?];
    third.iter().for_each(register);
    let duration = 20;
    let revision = store.put("rollouts", "registro", &order("v3", duration));
    let ordered = record.now();
    record.say(&format!(
        "the roll-out of v3, a bad version, is ordered, at revision {revision}"
    ));
    let deadline = ordered + secs(f64::from(duration));
    send_until(&mut callers, &nodes, load, (60.0, ordered.as_secs_f64() + 12.0));
    third.iter().for_each(|leaf| leaf.fail_one_in(3));
    record.say("v3 turns bad: a third of its answers are failures from now on");
    send_until(&mut callers, &nodes, load, (60.0, deadline.as_secs_f64()));
    thread::sleep(secs(2.5));
    record.say(&format!(
        "status of the roll-out of v3: {}",
        store.status("rollouts", "registro")
    ));
    let is_between = |run: &Run| run.at >= ordered && run.at <= deadline;
    let all = count_runs(
        &seen,
        record,
        "requests that reached the service from order to deadline",
        |run, _| is_between(run),
    );
    let bad = count_runs(&seen, record, "those that reached v3", |run, _| {
        is_between(run) && run.version == "v3"
    });
    let bound = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
    record.say(&format!("v3 got {bad} requests, the bound is {bound:.0}"));
    let failed = seen
        .calls
        .lock()
        .unwrap()
        .values()
        .filter(|call| call.sent >= ordered && call.status >= 500)
        .count();
    record.say(&format!("callers got {failed} failures"));
    let ended = nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then_some(()))
        .count();
    record.say(&format!("{ended} nodes ended by themselves"));
    Ok(Verdict::of(bad as f64 > bound))
}

/// Time without a heartbeat after which the entry of a leaf is removed.
const ENTRY_LIFETIME_S: f64 = 3.6;
/// Time that the callers get after the final fault, as the site's `recovery_s` says.
const RECOVERY_S: f64 = 12.0;

/// Does what the platform does on the state of a roll-out: at `completed` the old leafs stop at once, at `rolled_back` the
/// new ones drain some seconds later.
fn watch_rollout(store: &Store, record: &Record, old: &[Leaf], new: &[Leaf]) {
    let (store, record, old, new) = (store.clone(), record.clone(), old.to_vec(), new.to_vec());
    thread::spawn(move || {
        let mut last = String::new();
        loop {
            thread::sleep(secs(0.05));
            let status = store.status("rollouts", "registro");
            let state = text_member(&status, "state").unwrap_or_default();
            if state == last || state.is_empty() {
                continue;
            }
            record.say(&format!("the roll-out of v2 is `{state}`"));
            if state == "completed" {
                old.iter().for_each(Leaf::end);
                old.iter().for_each(|leaf| store.remove("servers", &leaf.name));
            }
            if state == "rolled_back" {
                thread::sleep(secs(3.0));
                record.say("the leafs of v2 drain");
                new.iter().for_each(|leaf| {
                    leaf.leave();
                    store.put("servers", &leaf.name, &leaf.entry("draining", 0));
                });
                thread::sleep(secs(3.5));
                new.iter().for_each(Leaf::end);
                new.iter().for_each(|leaf| store.remove("servers", &leaf.name));
            }
            last = state;
        }
    });
}

/// Counts the requests sent in a span of time, and those that were served.
fn count_served(seen: &Seen, record: &Record, what: &str, (from, to): (f64, f64)) -> (usize, usize) {
    let calls = seen.calls.lock().unwrap();
    let sent = calls
        .values()
        .filter(|call| (from..to).contains(&call.sent.as_secs_f64()));
    let sent: Vec<&Call> = sent.collect();
    let served = sent.iter().filter(|call| (200..300).contains(&call.status)).count();
    record.say(&format!("{what}: {served} of {} requests served", sent.len()));
    (served, sent.len())
}

/// A drill of the store loses the status `completed` of a roll-out. After the final fault the nodes begin the move again.
fn drill_completed(record: &Record, temp: &Path, has_trouble: bool) -> CaseResult {
    let seen = Seen::default();
    let store = Store::start(record)?;
    let leaf = |name, version, zone| Leaf::start((name, "registro", version, zone), (8, 8, secs(0.01)), record, &seen);
    let register = |leaf: &Leaf| {
        store.put("servers", &leaf.name, &leaf.entry("ready", 0));
    };
    let old = [leaf("i-1a", "v1", ZONES[0])?, leaf("i-1b", "v1", ZONES[1])?];
    old.iter().for_each(register);
    let routes = [("ledger", "idempotent", "registro")];
    store.put("config", "main", &config(3, &routes, &["registro"], 8_000, 0.0));
    let mut nodes = start_nodes(temp, 0..6, true, &store, record)?;
    let mut callers = Callers::new(record, &seen);
    let start = record.now().as_secs_f64();
    let load = ("GET", "/ledger/1", 2_000);
    send_until(&mut callers, &nodes, load, (60.0, start + 5.0));

    let copy = store.copy();
    record.say(&format!("the copy is made at revision {}", store.revision()));
    let new = [leaf("i-2a", "v2", ZONES[0])?, leaf("i-2b", "v2", ZONES[1])?];
    new.iter().for_each(register);
    send_until(&mut callers, &nodes, load, (60.0, start + 5.5));
    let order = "{\"service\":\"registro\",\"target_version\":\"v2\",\"duration_s\":4}";
    store.put("rollouts", "registro", order);
    record.say("the roll-out of v2, a good version, is ordered, within 4 s");
    watch_rollout(&store, record, &old, &new);
    send_until(&mut callers, &nodes, load, (60.0, start + 10.0));
    if text_member(&store.status("rollouts", "registro"), "state").as_deref() != Some("completed") {
        return Err(std::io::Error::other("the roll-out was not completed in time"));
    }
    if has_trouble {
        record.say(&format!(
            "the drill: the store is away for 1 s, at revision {}",
            store.revision()
        ));
        store.leave();
        send_until(&mut callers, &nodes, load, (60.0, start + 11.0));
        store.come_back(copy);
        record.say(&format!(
            "the store is back from the copy, at revision {}",
            store.revision()
        ));
        // What the operator and the leafs wrote is written again; the old leafs have ended, and write nothing.
        store.put("rollouts", "registro", order);
        new.iter().for_each(register);
        send_until(&mut callers, &nodes, load, (60.0, start + 11.0 + ENTRY_LIFETIME_S));
        old.iter().for_each(|leaf| store.remove("servers", &leaf.name));
    }
    send_until(&mut callers, &nodes, load, (60.0, start + 25.0));
    let fault_at = record.now().as_secs_f64();
    let calm = (fault_at - 8.0, fault_at);
    store.put("config", "main", &config(5, &routes, &["registro"], 8_000, 0.0));
    record.say("the final fault: a configuration is acknowledged, and all processes are killed");
    nodes.iter_mut().for_each(Node::kill);
    thread::sleep(secs(1.3));
    for node in &mut nodes {
        node.spawn()?;
    }
    let back_at = record.now().as_secs_f64();
    send_until(&mut callers, &nodes, load, (60.0, back_at + RECOVERY_S + 15.0));
    thread::sleep(secs(2.5));
    record.say(&format!(
        "status of the roll-out of v2: {}",
        store.status("rollouts", "registro")
    ));
    let (served, sent) = count_served(&seen, record, "in the 8 s before the final fault", calm);
    let was_served = served * 4 >= sent;
    let late = (back_at + RECOVERY_S, f64::INFINITY);
    let (served, sent) = count_served(&seen, record, "later than 12 s after the machines were back", late);
    Ok(Verdict::of(was_served && served * 4 < sent))
}

/// A drill of the store loses the entries of the nodes, which are never written again. Each node then takes itself for
/// the only one, and sends a cold leaf all that it bears.
fn drill_members(record: &Record, temp: &Path, has_trouble: bool) -> CaseResult {
    let seen = Seen::default();
    let store = Store::start(record)?;
    let leaf = Leaf::start(
        ("i-cold", "fatture", "v1", ZONES[0]),
        (24, 24, secs(0.1)),
        record,
        &seen,
    )?;
    store.put("servers", &leaf.name, &leaf.entry("ready", 0));
    let setup = |version| {
        let extra = format!("extra-{version}");
        let routes = [
            ("invoice", "non_idempotent", "fatture"),
            (extra.as_str(), "idempotent", "fatture"),
        ];
        config(version, &routes, &["fatture"], 8_000, COLD_PER_S)
    };
    store.put("config", "main", &setup(3));
    let copy = store.copy();
    record.say(&format!(
        "the copy is made at revision {}, and the machines start",
        store.revision()
    ));
    let mut nodes = start_nodes(temp, 0..6, true, &store, record)?;
    let mut callers = Callers::new(record, &seen);
    let load = ("POST", "/invoice/1", 2_000);
    send_until(&mut callers, &nodes, load, (60.0, 3.5));
    record.say(&format!(
        "nodes registered in the store: {}",
        store.names("monsoondeal-members").len()
    ));
    if has_trouble {
        record.say(&format!(
            "the drill: the store is away for 1 s, at revision {}",
            store.revision()
        ));
        store.leave();
        send_until(&mut callers, &nodes, load, (60.0, 4.5));
        store.come_back(copy);
        record.say(&format!(
            "the store is back from the copy, at revision {}",
            store.revision()
        ));
    }
    for change in 0..8_u32 {
        send_until(&mut callers, &nodes, load, (60.0, 8.0 + f64::from(change)));
        store.put("config", "main", &setup(u64::from(10 + change)));
    }
    send_until(&mut callers, &nodes, load, (60.0, 36.0));
    record.say(&format!(
        "nodes registered in the store: {}",
        store.names("monsoondeal-members").len()
    ));
    store.put("servers", &leaf.name, &leaf.entry("ready", COLD_WARMUP_MS));
    record.say("the leaf becomes cold");
    let cold_at = record.now().as_secs_f64() + 2.0;
    send_until(&mut callers, &nodes, load, (120.0, cold_at + 1.0));
    // A cold leaf crashes at a rate well above that which it tolerates.
    leaf.crash_above(CRASH_ABOVE);
    send_until(&mut callers, &nodes, load, (120.0, 48.0));
    thread::sleep(secs(2.5));
    let verdict = judge_cold(&seen, record, &leaf.name, cold_at);
    let ended = nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then_some(()))
        .count();
    record.say(&format!("{ended} nodes ended by themselves"));
    Ok(verdict)
}

/// Requests per second that a cold leaf tolerates, as the configuration says.
const COLD_PER_S: f64 = 5.0;
/// Requests in one second above which the cold leaf crashes: more than the rule allows, and well above what it tolerates.
const CRASH_ABOVE: f64 = 14.0;
/// As `warmup_s` of the configuration.
const COLD_WARMUP_MS: u64 = 20_000;

/// Returns the most requests that a leaf got in one second: those that were sent and arrived inside it.
fn most_in_a_second(seen: &Seen, leaf: &str, from: f64) -> (usize, f64) {
    let calls = seen.calls.lock().unwrap();
    let runs = seen.runs.lock().unwrap();
    let mut times: Vec<(f64, f64)> = runs
        .iter()
        .filter(|run| run.leaf == leaf)
        .filter_map(|run| Some((calls.get(&run.id)?.sent.as_secs_f64(), run.at.as_secs_f64())))
        .collect();
    times.retain(|(sent, _)| *sent >= from);
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let count = |from: f64| {
        times
            .iter()
            .filter(|(sent, at)| *sent >= from && *at < from + 1.0)
            .count()
    };
    let most = times.iter().map(|(sent, _)| (count(*sent), *sent));
    most.max_by_key(|(count, _)| *count).unwrap_or((0, 0.0))
}

fn judge_cold(seen: &Seen, record: &Record, leaf: &str, from: f64) -> Verdict {
    let bound = COLD_PER_S * WARMUP_FACTOR + WARMUP_SLACK;
    let (most, at) = most_in_a_second(seen, leaf, from);
    record.say(&format!(
        "the cold leaf got {most} requests in the second from {at:.3}, the bound is {bound}"
    ));
    Verdict::of(most as f64 > bound)
}

/// A zone is evacuated while its leaf is busy.
fn evacuate(record: &Record, temp: &Path, has_trouble: bool) -> CaseResult {
    let seen = Seen::default();
    let store = Store::start(record)?;
    let leaf = |name, zone| Leaf::start((name, "fatture", "v1", zone), (2, 9, secs(1.9)), record, &seen);
    let leafs = [leaf("i-a", ZONES[0])?, leaf("i-b", ZONES[1])?];
    for leaf in &leafs {
        store.put("servers", &leaf.name, &leaf.entry("ready", 0));
    }
    let routes = [("invoice", "non_idempotent", "fatture")];
    store.put("config", "main", &config(3, &routes, &["fatture"], 30_000, 0.0));
    let nodes = start_nodes(temp, 0..6, true, &store, record)?;
    let mut callers = Callers::new(record, &seen);
    let start = record.now().as_secs_f64();
    let load = ("POST", "/invoice/1", 30_000);
    // The operator acts when the leaf of a zone has many requests waiting.
    while leafs[0].load() < 8 && record.now() < secs(start + 40.0) {
        let next = record.now().as_secs_f64() + 0.2;
        send_until(&mut callers, &nodes, load, (6.0, next));
    }
    record.say("the zone's leaf is busy");
    let next = record.now().as_secs_f64() + 1.0;
    send_until(&mut callers, &nodes, load, (6.0, next));
    let acknowledged = if has_trouble {
        store.put("evacuations", ZONES[0], "{}");
        record.say("the evacuation of the zone is acknowledged");
        record.now()
    } else {
        secs(1e6)
    };
    let next = record.now().as_secs_f64() + 12.0;
    send_until(&mut callers, &nodes, load, (4.0, next));
    thread::sleep(secs(10.0));
    let late = |run: &Run, _: &Call| run.leaf == "i-a" && run.at > acknowledged + EVACUATE;
    let wrong = count_runs(
        &seen,
        record,
        "requests that reached the evacuated zone later than the bound",
        late,
    );
    Ok(Verdict::of(wrong > 0))
}
