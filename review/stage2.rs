//! Stand-ins for the scripts of the second review: the platform's store, leafs, a proxy, clients and node processes.
//!
//! Only the standard library is used, and only loopback addresses. Each case is a module of `cases2.rs`.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Host of all routes.
pub const HOST: &str = "h.example";
/// Path of health checks.
pub const HEALTH: &str = "/health";

/// Lines of `record.txt`, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:8.3} {}", line.as_ref()));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.push(String::new());
        fs::write(path, lines.join("\n")).expect("record.txt can be written");
    }
}

/// A request as it was read from a connection.
pub struct Request {
    pub method: String,
    pub target: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let fields = read_fields(reader)?;
    let length = fields
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        target,
        fields,
        body,
    })
}

fn read_fields(reader: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.split_once(':') else {
            return Some(fields);
        };
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{fields}content-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    /// Changes: revision, kind, name, and the object or `None` for a removal.
    history: Vec<(u64, String, String, Option<StoredObject>)>,
}

/// The platform's store: objects by kind and name, listings by page, watches and conditional writes.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    hook: Arc<Mutex<Option<StatusHook>>>,
}

/// Called with the path, the body and the caller's address of each status that was written, before the answer is sent.
type StatusHook = Box<dyn Fn(&str, &str, SocketAddr) + Send>;

fn object_json(name: &str, object: &StoredObject) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

/// Returns the text of a field of a body that begins with `meta`, and ends with this field.
fn last_field(body: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let at = body.find(&key)? + key.len();
    Some(body[at..body.rfind('}')?].to_owned())
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            addr: listener.local_addr().unwrap(),
            shared: Arc::default(),
            hook: Arc::default(),
        };
        {
            let mut state = store.shared.0.lock().unwrap();
            state.revision = 1;
        }
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let held = state.objects.get(&key).cloned();
        state.revision += 1;
        let revision = state.revision;
        let object = StoredObject {
            revision,
            created: held.as_ref().map_or(revision, |held| held.created),
            spec,
            status: held.map_or("null".to_owned(), |held| held.status),
        };
        state.objects.insert(key, object.clone());
        state
            .history
            .push((revision, kind.to_owned(), name.to_owned(), Some(object)));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        state.revision += 1;
        let revision = state.revision;
        state
            .history
            .push((revision, kind.to_owned(), name.to_owned(), None));
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a second handle");
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request).unwrap_or((404, "{}".to_owned()));
            if status == 200 && request.method == "PUT" && request.target.ends_with("/status") {
                let text = String::from_utf8_lossy(&request.body);
                let peer = writer.peer_addr();
                if let (Some(hook), Ok(peer)) = (&*self.hook.lock().unwrap(), peer) {
                    hook(&request.target, &text, peer);
                }
            }
            let fields = "content-type: application/json\r\n";
            if writer
                .write_all(&response(status, fields, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let path = path.strip_prefix("/api/objects/")?;
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if request.method == "POST" {
            let name = body
                .split("\"name\":\"")
                .nth(1)?
                .split('"')
                .next()?
                .to_owned();
            if self.get(path, &name).is_some() {
                return Some((409, "{}".to_owned()));
            }
            self.put(path, &name, last_field(&body, "spec")?);
            return Some((201, "{}".to_owned()));
        }
        if request.method == "PUT" {
            let mut parts = path.split('/');
            let (kind, name, rest) = (parts.next()?, parts.next()?, parts.next());
            return Some(self.replace(kind, name, rest.is_some(), &body));
        }
        if let Some((kind, name)) = path.split_once('/') {
            let object = self.get(kind, name)?;
            return Some((200, object_json(name, &object)));
        }
        match field("watch") {
            Some(revision) => {
                let wait = Duration::from_millis(field("wait_ms")?.parse().ok()?);
                let body = self.watch(path, revision.parse().ok()?, wait);
                Some((200, body))
            }
            None => Some((200, self.list(path, field("after").unwrap_or("")))),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<StoredObject> {
        let state = self.shared.0.lock().unwrap();
        state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned()
    }

    fn replace(&self, kind: &str, name: &str, is_status: bool, body: &str) -> (u16, String) {
        let Some(held) = self.get(kind, name) else {
            return (404, "{}".to_owned());
        };
        let revision = body.split("\"revision\":").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        });
        if revision != Some(held.revision) {
            return (409, object_json(name, &held));
        }
        if is_status {
            let key = (kind.to_owned(), name.to_owned());
            let status = last_field(body, "status").unwrap_or("null".to_owned());
            if let Some(object) = self.shared.0.lock().unwrap().objects.get_mut(&key) {
                object.status = status;
            }
            self.put(kind, name, held.spec);
        } else {
            self.put(
                kind,
                name,
                last_field(body, "spec").unwrap_or("null".to_owned()),
            );
        }
        (200, "{}".to_owned())
    }

    fn list(&self, kind: &str, after: &str) -> String {
        const PAGE: usize = 50;
        let state = self.shared.0.lock().unwrap();
        let revision = state.revision;
        let mut objects = BTreeMap::new();
        for (at, held, name, object) in &state.history {
            if *at <= revision && held == kind && name.as_str() > after {
                objects.insert(name, object.as_ref());
            }
        }
        let objects = objects
            .into_iter()
            .filter_map(|(name, object)| Some((name, object?)));
        let items: Vec<String> = objects
            .map(|(name, object)| object_json(name, object))
            .collect();
        let has_more = items.len() > PAGE;
        let page = items[..items.len().min(PAGE)].join(",");
        format!("{{\"items\":[{page}],\"has_more\":{has_more},\"current_rev\":{revision}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let revision = state.revision;
            let is_seen = |at: u64| at > after && at <= revision;
            let changes = state
                .history
                .iter()
                .filter(|(at, held, ..)| is_seen(*at) && held == kind);
            let events: Vec<String> = changes
                .map(|(at, _, name, object)| {
                    let gone = StoredObject {
                        revision: *at,
                        created: 0,
                        spec: "null".to_owned(),
                        status: "null".to_owned(),
                    };
                    let text = object_json(name, object.as_ref().unwrap_or(&gone));
                    format!("{{\"removed\":{},\"object\":{text}}}", object.is_none())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let list = events.join(",");
                return format!("{{\"events\":[{list}],\"current_rev\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Sets what is called when a status has been written.
    pub fn on_status<F>(&self, hook: F)
    where
        F: Fn(&str, &str, SocketAddr) + Send + 'static,
    {
        *self.hook.lock().unwrap() = Some(Box::new(hook));
    }

    /// Returns the status of an object, in JSON.
    pub fn status(&self, kind: &str, name: &str) -> String {
        self.get(kind, name)
            .map_or_else(String::new, |object| object.status)
    }
}

// ---------------------------------------------------------------- leafs

/// A request that reached a leaf, health checks left out.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub target: String,
    /// Whether the leaf took the request; otherwise it said that it did not run it.
    pub taken: bool,
}

struct LeafState {
    work: Duration,
    running: usize,
    waiting: usize,
    arrivals: Vec<Arrival>,
    sequence: u64,
    /// Whether requests are run and fail.
    is_failing: bool,
    has_ended: bool,
}

/// A leaf of one service: so many requests at a time, health checks included, and a queue of a few more.
#[derive(Clone)]
pub struct Leaf {
    pub addr: SocketAddr,
    pub service: String,
    pub name: String,
    pub zone: String,
    /// Version of its software.
    pub version: String,
    slots: usize,
    queue: usize,
    born: u128,
    shared: Arc<(Mutex<LeafState>, Condvar)>,
}

impl Leaf {
    pub fn start(
        service: &str,
        name: &str,
        zone: &str,
        version: &str,
        slots: usize,
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = LeafState {
            work,
            running: 0,
            waiting: 0,
            arrivals: Vec::new(),
            sequence: 0,
            is_failing: false,
            has_ended: false,
        };
        let leaf = Self {
            addr: listener.local_addr().unwrap(),
            service: service.to_owned(),
            name: name.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            slots,
            queue: 12,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        leaf
    }

    /// Changes the time that requests take from now on.
    pub fn set_work(&self, work: Duration) {
        self.shared.0.lock().unwrap().work = work;
    }

    /// Makes the leaf run requests and fail them from now on.
    pub fn set_failing(&self) {
        self.shared.0.lock().unwrap().is_failing = true;
    }

    /// Ends the leaf: it answers nothing any more.
    pub fn end(&self) {
        self.shared.0.lock().unwrap().has_ended = true;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.0.lock().unwrap().arrivals.clone()
    }

    /// Returns the leaf's entry in the store.
    pub fn entry(&self) -> String {
        let mut state = self.shared.0.lock().unwrap();
        state.sequence += 1;
        format!(
            "{{{},\"sequence\":{}}}",
            self.entry_fields(&self.service),
            state.sequence
        )
    }

    /// Returns the fields of an entry without `sequence`, for any service.
    pub fn entry_fields(&self, service: &str) -> String {
        format!(
            "\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"{}\",\
             \"max_concurrency\":{},\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":{}",
            self.addr, self.zone, self.version, self.slots, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a second handle");
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.shared.0.lock().unwrap().has_ended {
                return;
            }
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let id = request.field("x-monsoondeal-request-id").to_owned();
        let echo = if id.is_empty() {
            String::new()
        } else {
            format!("x-monsoondeal-request-id: {id}\r\n")
        };
        let name = format!("x-monsoondeal-instance-id: {}\r\n", self.name);
        let intended = request.field("x-monsoondeal-target-instance");
        let is_check = request.target == HEALTH;
        let is_other = !intended.is_empty() && intended != self.name;
        let is_taken = !is_other && self.take_slot_or_place(is_check, &id, request);
        if is_other {
            self.note(is_check, &id, request, false);
            return response(421, &format!("{echo}{name}"), b"");
        }
        if !is_taken {
            return response(
                503,
                &format!("{echo}x-monsoondeal-not-executed: 1\r\n"),
                b"",
            );
        }
        let work = self.wait_for_slot();
        thread::sleep(if is_check {
            Duration::from_millis(1)
        } else {
            work
        });
        let mut state = self.shared.0.lock().unwrap();
        state.running -= 1;
        let is_failing = state.is_failing;
        drop(state);
        self.shared.1.notify_one();
        if is_check {
            return response(200, &name, b"");
        }
        let stamp = format!(
            "{echo}x-monsoondeal-server-stamp: {}/{}/{id}\r\n",
            self.service, self.name
        );
        let status = if is_failing { 500 } else { 200 };
        let body = format!("{}:{}", self.service, request.target);
        response(status, &stamp, body.as_bytes())
    }

    /// Takes a place in the queue, or returns false if it is full.
    fn take_slot_or_place(&self, is_check: bool, id: &str, request: &Request) -> bool {
        let is_free = {
            let mut state = self.shared.0.lock().unwrap();
            let is_free = state.running < self.slots || state.waiting < self.queue;
            state.waiting += usize::from(is_free);
            is_free
        };
        self.note(is_check, id, request, is_free);
        is_free
    }

    fn note(&self, is_check: bool, id: &str, request: &Request, taken: bool) {
        if is_check {
            return;
        }
        let arrival = Arrival {
            at: Instant::now(),
            id: id.to_owned(),
            target: request.target.clone(),
            taken,
        };
        self.shared.0.lock().unwrap().arrivals.push(arrival);
    }

    fn wait_for_slot(&self) -> Duration {
        let mut state = self.shared.0.lock().unwrap();
        while state.running >= self.slots {
            state = self.shared.1.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        state.work
    }
}

// ---------------------------------------------------------------- proxy

/// A proxy between one node and the store. While it is cut, nothing passes in either direction, and connections
/// stay open.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
    /// When the store's latest answer passed.
    heard_at: Arc<Mutex<Instant>>,
    /// Addresses from which the proxy has called the store.
    sockets: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
            heard_at: Arc::new(Mutex::new(Instant::now())),
            sockets: Arc::default(),
        };
        let link = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || {
                    link.wait_until_open();
                    let Ok(server) = TcpStream::connect(server) else {
                        return;
                    };
                    let (Ok(client2), Ok(server2)) = (client.try_clone(), server.try_clone())
                    else {
                        return;
                    };
                    if let Ok(addr) = server.local_addr() {
                        link.sockets.lock().unwrap().push(addr);
                    }
                    let answers = link.clone();
                    thread::spawn(move || link.copy(client, server2, false));
                    thread::spawn(move || answers.copy(server, client2, true));
                });
            }
        });
        proxy
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns whether a call of this address came through the proxy.
    pub fn has_called_from(&self, addr: SocketAddr) -> bool {
        self.sockets.lock().unwrap().contains(&addr)
    }

    /// Returns how long ago the node heard from the store.
    pub fn silence(&self) -> Duration {
        self.heard_at.lock().unwrap().elapsed()
    }

    fn wait_until_open(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let _ = to.set_nodelay(true);
        let mut buf = [0; 16 * 1024];
        while let Ok(read @ 1..) = from.read(&mut buf) {
            self.wait_until_open();
            if is_answer {
                *self.heard_at.lock().unwrap() = Instant::now();
            }
            if to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        self.wait_until_open();
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------- nodes

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns the first of `count` free ports in a row.
fn free_ports(count: u16) -> u16 {
    if NEXT_PORT.load(Ordering::SeqCst) == 0 {
        // Below the ports that systems hand out by themselves, and rarely the same for two scripts at once.
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        let start = 12_000 + (nanos / 1_000 + std::process::id()) as u16 % 300 * 60;
        NEXT_PORT.store(start, Ordering::SeqCst);
    }
    loop {
        let first = NEXT_PORT.fetch_add(count, Ordering::SeqCst);
        if (0..count).all(|at| TcpListener::bind(("127.0.0.1", first + at)).is_ok()) {
            return first;
        }
    }
}

/// A node process, started with the command of the deploy file. It is killed when dropped.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: Option<PathBuf>,
    child: Option<Child>,
}

impl Node {
    /// Starts a node. Without `keeps_log`, its log lines are discarded.
    pub fn start(dir: &str, name: &str, zone: &str, store: SocketAddr, keeps_log: bool) -> Self {
        let port = free_ports(6);
        let settings = PathBuf::from(format!("{dir}/{name}.conf"));
        let text = format!(
            "node_name={name}\nrole=edge\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\nregion=padania\n\
             bind_addresses.front=127.0.0.1:{port}\nbind_addresses.readiness=127.0.0.1:{}\n\
             internal_ports={},{}\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4100\nheartbeat_ms=1200\nfault_tolerance.machines=2\n\
             fault_tolerance.zones=1\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\nbounds.drain_ms=3000\n\
             bounds.grace_s=6\nbounds.config_apply_ms=3000\nbounds.outer_ms=12000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=52\n\
             bounds.exposure_share=0.1\nbounds.exposure_slack=50\nbounds.warmup_factor=1.5\n\
             bounds.warmup_slack=5\nbounds.evacuate_ms=5000\nplatform.address={store}\nplatform.form=objects\n",
            port + 1,
            port + 2,
            port + 5,
        );
        fs::write(&settings, text).expect("settings can be written");
        let mut node = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: SocketAddr::from(([127, 0, 0, 1], port)),
            readiness: SocketAddr::from(([127, 0, 0, 1], port + 1)),
            settings,
            log: keeps_log.then(|| PathBuf::from(format!("{dir}/{name}.log"))),
            child: None,
        };
        node.spawn();
        node
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let out = || match &self.log {
            Some(path) => Stdio::from(
                fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path)
                    .expect("a log"),
            ),
            None => Stdio::null(),
        };
        let child = Command::new("target/release/monsoondeal")
            .arg("edge")
            .env_clear()
            .env("MONSOONDEAL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(out())
            .stderr(out())
            .spawn();
        let child = child.expect("a node can be started");
        note_started(child.id());
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            note_ended(child.id());
        }
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns what the platform's check of readiness sees.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<String> {
            let mut stream =
                TcpStream::connect_timeout(&self.readiness, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line)
        };
        ask().is_ok_and(|line| line.contains(" 200"))
    }

    /// Returns the lines of the log.
    pub fn log_lines(&self) -> Vec<String> {
        let text = self
            .log
            .as_ref()
            .and_then(|path| fs::read_to_string(path).ok());
        text.unwrap_or_default()
            .lines()
            .map(str::to_owned)
            .collect()
    }

    /// Returns the processor time of the process so far, in seconds, where the system tells it.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let id = self.child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = text.rsplit(") ").next()?.split(' ').collect();
        let ticks: f64 =
            fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes that the script started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a process that the script started.
pub fn note_started(id: u32) {
    STARTED.lock().unwrap().push(id);
}

/// Records that such a process has ended.
pub fn note_ended(id: u32) {
    STARTED.lock().unwrap().retain(|started| *started != id);
}

/// Ends all processes that the script started and that still run, by their ids.
pub fn end_started() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
}

/// Waits until all nodes are ready.
pub fn wait_ready(nodes: &[Node]) {
    let end = Instant::now() + Duration::from_secs(30);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() >= end {
            panic!("the nodes are not ready in time");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

// ---------------------------------------------------------------- configuration

/// Returns a route in JSON. `target` names a service.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    aim_ms: u64,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2}}"
    )
}

/// Returns a configuration in JSON.
pub fn config(
    version: u64,
    routes: &[String],
    services: &[&str],
    connections: usize,
    idle_ms: u64,
) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"{HEALTH}\",\"max_connections\":{connections},\
                 \"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"cold_per_s\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":{idle_ms}}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------- clients

/// The answer to a client's request.
pub struct Answer {
    pub status: u16,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn stamp(&self) -> &str {
        self.fields
            .get("x-monsoondeal-server-stamp")
            .map_or("", String::as_str)
    }
}

/// An open connection of a client.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> io::Result<()> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Monsoondeal-Request-Id: {id}\r\n\
             X-Monsoondeal-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Waits for the answer.
    pub fn receive(&mut self, wait: Duration) -> io::Result<Answer> {
        self.stream.set_read_timeout(Some(wait))?;
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let fields = read_fields(&mut self.reader).ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = fields
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(Answer {
            status,
            fields,
            body,
        })
    }
}

/// Sends a request on a new connection and returns the answer.
pub fn ask(
    addr: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> io::Result<Answer> {
    let mut connection = Connection::open(addr)?;
    connection.send(method, path, id, deadline_ms, body)?;
    connection.receive(Duration::from_millis(deadline_ms + 500))
}
