//! Stand-ins of the platform for the scripts of this review: the store, leafs, callers and the start of nodes. Only the
//! standard library is used.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the settings file, as the pages give them for the small deployments.
pub const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
pub const OUTER: Duration = Duration::from_millis(12_000);
pub const EVACUATE: Duration = Duration::from_millis(5_000);
pub const WARMUP_FACTOR: f64 = 1.5;
pub const WARMUP_SLACK: f64 = 5.0;
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_SLACK: f64 = 50.0;
/// Host of all routes.
pub const HOST: &str = "h.example";
pub const ZONES: [&str; 4] = ["milano-a", "milano-b", "torino-a", "verona-a"];

pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Writes what happens to `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.1.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line that is also shown.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now().as_secs_f64());
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

pub struct Message {
    /// Request or status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }
}

/// Reads a request or a response with a length; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut fields = Vec::new();
    loop {
        let mut field = String::new();
        reader.read_line(&mut field).ok().filter(|read| *read > 0)?;
        let field = field.trim_end();
        if field.is_empty() {
            break;
        }
        let (name, value) = field.split_once(':')?;
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        fields,
        body: Vec::new(),
    };
    let length = message
        .field("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status} S\r\n{fields}content-length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

// ---------------------------------------------------------------------------------------------------------------------
// JSON, as far as the store needs it: the members of an object as raw text.

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], mut at: usize) -> usize {
    at += 1;
    while text[at] != b'"' {
        at += if text[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

fn skip_value(text: &[u8], at: usize) -> usize {
    let mut at = skip_space(text, at);
    match text[at] {
        b'"' => skip_string(text, at),
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match text[at] {
                    b'"' => {
                        at = skip_string(text, at);
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return at;
                }
            }
        }
        _ => {
            while at < text.len() && !matches!(text[at], b',' | b'}' | b']') {
                at += 1;
            }
            at
        }
    }
}

/// Returns the raw value of a member of a JSON object.
pub fn member(text: &str, name: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0) + 1;
    loop {
        at = skip_space(bytes, at);
        if at >= bytes.len() || bytes[at] != b'"' {
            return None;
        }
        let end = skip_string(bytes, at);
        let key = &text[at + 1..end - 1];
        let start = skip_space(bytes, skip_space(bytes, end) + 1);
        let stop = skip_value(bytes, start);
        if key == name {
            return Some(text[start..stop].trim().to_owned());
        }
        at = skip_space(bytes, stop);
        if at >= bytes.len() || bytes[at] != b',' {
            return None;
        }
        at += 1;
    }
}

/// Returns a member that is a string.
pub fn text_member(text: &str, name: &str) -> Option<String> {
    Some(member(text, name)?.trim_matches('"').to_owned())
}

// ---------------------------------------------------------------------------------------------------------------------
// The store

#[derive(Clone, Debug, PartialEq)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

type Key = (String, String);

/// What a copy of the store holds.
#[derive(Clone, Default)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<Key, Object>,
    /// Changes: revision, object and its content; `None` for a removal.
    history: Vec<(u64, Key, Option<Object>)>,
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key).cloned();
        if old.as_ref().is_some_and(|old| old.spec == spec) {
            return old.map_or(0, |old| old.revision);
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            created: old.as_ref().map_or(self.revision, |old| old.created),
            spec: spec.to_owned(),
            status: old.map_or("null".to_owned(), |old| old.status),
        };
        self.changed(key, Some(object))
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.contains_key(&key) {
            self.revision += 1;
            self.changed(key, None);
        }
    }

    fn set_status(&mut self, key: Key, status: &str) {
        let Some(old) = self.objects.get(&key).cloned() else {
            return;
        };
        if old.status == status {
            return;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            status: status.to_owned(),
            ..old
        };
        self.changed(key, Some(object));
    }

    fn changed(&mut self, key: Key, object: Option<Object>) -> u64 {
        match &object {
            Some(object) => self.objects.insert(key.clone(), object.clone()),
            None => self.objects.remove(&key),
        };
        self.history.push((self.revision, key, object));
        self.revision
    }
}

fn object_text(key: &Key, revision: u64, object: Option<&Object>) -> String {
    let (created, spec, status) = match object {
        Some(object) => (object.created, object.spec.as_str(), object.status.as_str()),
        None => (0, "null", "null"),
    };
    format!(
        "{{\"meta\":{{\"name\":\"{}\",\"revision\":{revision},\"created\":{created},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":{status}}}",
        key.1
    )
}

struct StoreState {
    content: Content,
    era: u64,
    is_away: bool,
    open: Vec<TcpStream>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = StoreState {
            content: Content {
                revision: 1,
                ..Content::default()
            },
            era: 1,
            is_away: false,
            open: Vec::new(),
        };
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.shared.0.lock().unwrap()
    }

    /// Writes an object, as the operator and the leafs do. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let revision = self.lock().content.put(kind, name, spec);
        self.shared.1.notify_all();
        self.record.line(&format!(
            "store: {kind}/{name} written and acknowledged, revision {revision}"
        ));
        revision
    }

    /// Removes an object, as a leaf that leaves does, or the store when it hears nothing of it.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().content.remove(kind, name);
        self.shared.1.notify_all();
        self.record.line(&format!("store: {kind}/{name} removed"));
    }

    pub fn revision(&self) -> u64 {
        self.lock().content.revision
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.content.objects.keys();
        keys.filter(|key| key.0 == kind).map(|key| key.1.clone()).collect()
    }

    /// Returns the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        self.lock()
            .content
            .objects
            .get(&key)
            .map_or("null".to_owned(), |object| object.status.clone())
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// The store goes away: it closes all connections and accepts no calls.
    pub fn leave(&self) {
        let mut state = self.lock();
        state.is_away = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// The store comes back from a copy.
    pub fn come_back(&self, content: Content) {
        let mut state = self.lock();
        state.content = content;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        {
            let mut state = self.lock();
            if state.is_away {
                return None;
            }
            state.open.push(stream.try_clone().ok()?);
        }
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        loop {
            let request = read_message(&mut reader)?;
            let (status, body) = self.answer(&request)?;
            if !request.line.starts_with("GET") {
                self.record.line(&format!("store: {} -> {status}", request.line));
            }
            let state = self.lock();
            if state.is_away {
                return None;
            }
            let fields = format!("content-type: application/json\r\nstore-era: {}\r\n", state.era);
            drop(state);
            respond(&mut stream, status, &fields, body.as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let mut words = request.line.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let path: Vec<&str> = path.strip_prefix("/api/objects/")?.split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        let answer = match (method, &path[..]) {
            ("GET", [kind]) if query.contains_key("watch") => {
                drop(state);
                return self.watch(kind, &query);
            }
            ("GET", [kind]) => {
                let after = query.get("after").copied().unwrap_or("");
                let items = state.content.objects.iter();
                let items = items.filter(|(key, _)| key.0 == *kind && key.1.as_str() > after);
                let items: Vec<String> = items
                    .map(|(key, object)| object_text(key, object.revision, Some(object)))
                    .collect();
                let revision = state.content.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{revision}}}",
                        items.join(",")
                    ),
                )
            }
            ("GET", [kind, name]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                match state.content.objects.get(&key) {
                    Some(object) => (200, object_text(&key, object.revision, Some(object))),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", [kind]) => {
                let name = text_member(&member(&body, "meta")?, "name")?;
                let key = ((*kind).to_owned(), name.clone());
                if state.content.objects.contains_key(&key) {
                    (409, "{}".to_owned())
                } else {
                    state.content.put(kind, &name, &member(&body, "spec")?);
                    (201, "{}".to_owned())
                }
            }
            ("PUT", [kind, name, rest @ ..]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let wanted = member(&body, "meta").and_then(|meta| member(&meta, "revision"));
                match state.content.objects.get(&key) {
                    None => (404, "{}".to_owned()),
                    Some(held) if wanted.is_some_and(|wanted| wanted != held.revision.to_string()) => {
                        (409, object_text(&key, held.revision, Some(held)))
                    }
                    Some(_) if rest.is_empty() => {
                        state.content.put(kind, name, &member(&body, "spec")?);
                        (200, "{}".to_owned())
                    }
                    Some(_) => {
                        state.content.set_status(key, &member(&body, "status")?);
                        (200, "{}".to_owned())
                    }
                }
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.shared.1.notify_all();
        Some(answer)
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> Option<(u16, String)> {
        let since: u64 = query.get("watch")?.parse().ok()?;
        let wait: u64 = query.get("wait_ms").map_or(Some(0), |text| text.parse().ok())?;
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        let era = state.era;
        // A watch from a revision that the store does not have gets 410.
        if since > state.content.revision {
            return Some((410, "{}".to_owned()));
        }
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let events = state.content.history.iter();
            let events = events.filter(|(at, key, _)| *at > since && key.0 == kind);
            let events: Vec<String> = events
                .map(|(at, key, object)| {
                    let text = object_text(key, *at, object.as_ref());
                    format!("{{\"removed\":{},\"object\":{text}}}", object.is_none())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.content.revision;
                return Some((
                    200,
                    format!("{{\"events\":[{}],\"current_rev\":{revision}}}", events.join(",")),
                ));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Leafs

/// A request that reached a leaf and that the leaf did not reject.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub leaf: String,
    pub service: String,
    pub version: String,
}

/// What leafs have seen, and callers have sent.
#[derive(Clone, Default)]
pub struct Seen {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub calls: Arc<Mutex<HashMap<String, Call>>>,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub sent: Duration,
    pub node: usize,
    pub status: u16,
    pub ended: Duration,
}

struct LeafState {
    work: Duration,
    /// One in so many answers is a failure; 0 for none.
    fails_one_in: usize,
    answers: usize,
    busy: usize,
    /// Those of them that are no health checks.
    requests: usize,
    /// When each slot becomes free.
    slots: Vec<Duration>,
    /// Whether the leaf is leaving, which it says in all its answers.
    is_leaving: bool,
    is_down: bool,
    /// Requests in one second above which the leaf crashes, while it is cold.
    crash_above: f64,
    arrivals: Vec<Duration>,
    open: Vec<TcpStream>,
}

/// A leaf.
#[derive(Clone)]
pub struct Leaf {
    pub name: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    shared: Arc<(Mutex<LeafState>, Condvar)>,
    record: Record,
    seen: Seen,
}

impl Leaf {
    pub fn start(
        (name, service, version, zone): (&str, &str, &str, &str),
        (slots, queue, work): (usize, usize, Duration),
        record: &Record,
        seen: &Seen,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = LeafState {
            work,
            fails_one_in: 0,
            answers: 0,
            busy: 0,
            requests: 0,
            slots: vec![Duration::ZERO; slots],
            is_leaving: false,
            is_down: false,
            crash_above: f64::INFINITY,
            arrivals: Vec::new(),
            open: Vec::new(),
        };
        let leaf = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            slots,
            queue,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            seen: seen.clone(),
        };
        let server = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(leaf)
    }

    fn lock(&self) -> MutexGuard<'_, LeafState> {
        self.shared.0.lock().unwrap()
    }

    pub fn fail_one_in(&self, count: usize) {
        self.lock().fails_one_in = count;
    }

    pub fn crash_above(&self, rate: f64) {
        self.lock().crash_above = rate;
    }

    /// Number of requests that run or wait.
    pub fn load(&self) -> usize {
        self.lock().requests
    }

    /// The leaf is leaving from now on.
    pub fn leave(&self) {
        self.lock().is_leaving = true;
    }

    fn leaving_field(&self) -> &'static str {
        if self.lock().is_leaving {
            "server-leaving: 1\r\n"
        } else {
            ""
        }
    }

    /// The leaf ends: its connections are closed, and it accepts no others.
    pub fn end(&self) {
        let mut state = self.lock();
        state.is_down = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared.1.notify_all();
    }

    /// Entry in the registry.
    pub fn entry(&self, state: &str, warmup_ms: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"{}\",\
             \"max_concurrency\":{},\"state\":\"{state}\",\"warmup_left_ms\":{warmup_ms},\"sequence\":1,\
             \"born\":1790000000000}}",
            self.service, self.addr, self.zone, self.version, self.slots
        )
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        {
            let mut state = self.lock();
            if state.is_down {
                return None;
            }
            state.open.push(stream.try_clone().ok()?);
        }
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        loop {
            let request = read_message(&mut reader)?;
            self.answer(&request, &mut stream)?;
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> Option<()> {
        let is_check = request.line.starts_with("GET /health ");
        let id = request.field("x-monsoondeal-request-id").unwrap_or("").to_owned();
        let echo = if id.is_empty() {
            String::new()
        } else {
            format!("x-monsoondeal-request-id: {id}\r\n")
        };
        let named = request.field("x-monsoondeal-target-instance").unwrap_or(&self.name);
        if named != self.name {
            let fields = format!("{echo}{}x-monsoondeal-not-executed: 1\r\n", self.leaving_field());
            return respond(stream, 421, &fields, b"").ok();
        }
        let at = self.record.now();
        if !is_check {
            self.record.line(&format!(
                "leaf {} ({}, {}): request {id} arrives",
                self.name, self.service, self.version
            ));
        }
        // The request, or the check, waits for a slot.
        let mut state = self.lock();
        if state.is_down {
            return None;
        }
        if state.busy >= self.slots + self.queue {
            drop(state);
            let fields = format!("{echo}{}x-monsoondeal-not-executed: 1\r\n", self.leaving_field());
            return respond(stream, 503, &fields, b"").ok();
        }
        let mut is_crash = false;
        if !is_check {
            state.arrivals.push(at);
            let recent = state
                .arrivals
                .iter()
                .filter(|then| at.saturating_sub(**then) < secs(1.0))
                .count();
            is_crash = recent as f64 > state.crash_above;
        }
        state.busy += 1;
        state.requests += usize::from(!is_check);
        let own = if is_check { Duration::from_millis(1) } else { state.work };
        // First come, first served: it takes the slot that is free first.
        let slot = state.slots.iter_mut().min().expect("a slot");
        let end = (*slot).max(at) + own;
        *slot = end;
        drop(state);
        if !is_check {
            let run = Run {
                at,
                id: id.clone(),
                leaf: self.name.clone(),
                service: self.service.clone(),
                version: self.version.clone(),
            };
            self.seen.runs.lock().unwrap().push(run);
        }
        if is_crash {
            let lost = self.load();
            self.record.say(&format!(
                "leaf {} is cold and crashes; {lost} requests that it had begun are lost",
                self.name
            ));
            self.end();
            return None;
        }
        thread::sleep(end.saturating_sub(self.record.now()));
        let mut state = self.lock();
        state.busy -= 1;
        state.requests -= usize::from(!is_check);
        if state.is_down {
            return None;
        }
        if is_check {
            let status = if state.is_leaving { 503 } else { 200 };
            drop(state);
            let leaving = self.leaving_field();
            let fields = format!(
                "x-monsoondeal-instance-id: {}\r\n{leaving}keep-alive: timeout=5\r\n",
                self.name
            );
            return respond(stream, status, &fields, b"").ok();
        }
        state.answers += 1;
        let fails = state.fails_one_in > 0 && state.answers % state.fails_one_in == 0;
        drop(state);
        let status = if fails { 500 } else { 200 };
        let fields = format!(
            "{echo}{}keep-alive: timeout=5\r\nx-monsoondeal-server-stamp: {}.{at:?}\r\n",
            self.leaving_field(),
            self.name
        );
        respond(stream, status, &fields, b"0123456789abcdef").ok()
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Nodes and callers

/// A node: a process of the program, started as the deploy file says.
pub struct Node {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

fn free_ports(count: u16) -> io::Result<u16> {
    // Below the ports that connections take, and apart from those of another script that runs at the same time.
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    for _ in 0..200 {
        let step = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let slot = (std::process::id() % 100) as u16;
        let first = 11_000 + slot * 200 + (step * 8) % 192;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(is_free) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

impl Node {
    /// Starts the node with the given number. `is_first` is whether the whole system starts for the first time.
    pub fn start(dir: &Path, number: usize, is_first: bool, store: SocketAddr) -> io::Result<Self> {
        let base = free_ports(6)?;
        let zone = ZONES[number % ZONES.len()];
        let at = |offset: u16| format!("127.0.0.1:{}", base + offset);
        let settings_text = format!(
            "node_name=edge-{zone}-{number}\nrole=edge\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\n\
             region=padania\nzones.milano-a=padania\nzones.milano-b=padania\nzones.torino-a=padania\n\
             zones.verona-a=padania\nbind_addresses.front={}\nbind_addresses.readiness={}\n\
             bind_addresses.control={}\ninternal_ports={},{}\nseeds=\nbootstrap={is_first}\n\
             counts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry_point=vip\n\
             heartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,scatter,places,rollout,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=12000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=52\n\
             bounds.exposure_share=0.1\nbounds.exposure_slack=50\nbounds.rollback_ms=5000\n\
             bounds.warmup_factor=1.5\nbounds.warmup_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.max_value_bytes=1048576\n\
             platform.min_ttl_ms=1000\n",
            at(0),
            at(1),
            at(2),
            base + 3,
            base + 5
        );
        let settings = dir.join(format!("node-{number}.conf"));
        std::fs::write(&settings, settings_text)?;
        let mut node = Self {
            front: at(0).parse().unwrap(),
            readiness: at(1).parse().unwrap(),
            settings,
            log: dir.join(format!("node-{number}.log")),
            program: std::env::current_dir()?.join("target/release/monsoondeal"),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("edge")
            .env("MONSOONDEAL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        ask(self.readiness, "GET", "/api/ready", &[], secs(0.5)).is_some_and(|answer| status(&answer) == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(secs(0.05));
    }
    true
}

fn status(answer: &Message) -> u16 {
    answer
        .line
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
}

/// Sends a request on a new connection and returns the answer.
pub fn ask(addr: SocketAddr, method: &str, path: &str, fields: &[(&str, &str)], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, secs(1.0)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Callers that send requests to the nodes in turn, each on a new connection.
pub struct Callers {
    seen: Seen,
    record: Record,
    next: usize,
}

impl Callers {
    pub fn new(record: &Record, seen: &Seen) -> Self {
        Self {
            seen: seen.clone(),
            record: record.clone(),
            next: 0,
        }
    }

    /// Sends one request to a node without waiting for the answer. Returns its identity.
    pub fn send(
        &mut self,
        node: usize,
        front: SocketAddr,
        method: &'static str,
        path: &str,
        deadline_ms: u64,
    ) -> String {
        self.next += 1;
        let id = format!("r{:06}", self.next);
        let (seen, record, path) = (self.seen.clone(), self.record.clone(), path.to_owned());
        let call = Call {
            sent: record.now(),
            node,
            status: 0,
            ended: Duration::ZERO,
        };
        seen.calls.lock().unwrap().insert(id.clone(), call);
        let sent_id = id.clone();
        thread::spawn(move || {
            let deadline = deadline_ms.to_string();
            record.line(&format!("caller: {id} {method} {path} sent to node {node}"));
            let fields = [
                ("x-monsoondeal-request-id", id.as_str()),
                ("x-monsoondeal-deadline-ms", deadline.as_str()),
            ];
            let limit = Duration::from_millis(deadline_ms) + secs(0.5);
            let answer = ask(front, method, &path, &fields, limit);
            let status = answer.as_ref().map_or(0, status);
            let stamp = answer
                .as_ref()
                .and_then(|answer| answer.field("x-monsoondeal-server-stamp"))
                .unwrap_or("-");
            record.line(&format!("caller: {id} answered {status} stamp {stamp}"));
            if let Some(call) = seen.calls.lock().unwrap().get_mut(&id) {
                call.status = status;
                call.ended = record.now();
            }
        });
        sent_id
    }
}

/// Sends requests to the nodes in turn at a rate until the given time.
pub fn send_until(
    callers: &mut Callers,
    nodes: &[Node],
    (method, path, deadline_ms): (&'static str, &str, u64),
    (per_s, until): (f64, f64),
) {
    let record = callers.record.clone();
    let start = record.now();
    let mut count = 0;
    while record.now() < secs(until) {
        let at = callers.next % nodes.len();
        callers.send(at, nodes[at].front, method, path, deadline_ms);
        count += 1;
        let due = start + secs(count as f64 / per_s);
        thread::sleep(due.saturating_sub(record.now()));
    }
}

/// Returns the text of a configuration.
pub fn config(
    version: u64,
    routes: &[(&str, &str, &str)],
    services: &[&str],
    timeout_ms: u64,
    cold_per_s: f64,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, kind, service)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
                 \"timeout_ms\":{timeout_ms},\"target_latency_ms\":800,\"priority\":1,\"max_attempts\":2,\
                 \"service\":\"{service}\"}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\
                 \"tls\":false,\"warmup_s\":20,\"cold_per_s\":{cold_per_s}}}"
            )
        })
        .collect();
    format!(
        "{{\"config_version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
