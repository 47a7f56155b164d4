//! Stand-ins for the review's scripts: the platform's store, leafs, clients, and the start of the
//! project's own program. Standard library only; every address is a loopback address.
//!
//! `stage CASE DIR` plays one case. `TROUBLE=0` in the environment leaves the disruption out.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// ---------------------------------------------------------------- record

/// Writes `record.txt`: one line for each event, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
    seed: AtomicU64,
}

impl Record {
    pub fn new(dir: &Path) -> io::Result<Arc<Self>> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Ok(Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(dir.join("record.txt"))?),
            seed: AtomicU64::new(now.as_nanos() as u64 | 1),
        }))
    }

    pub fn at(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.at());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Prints a line, and records it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Returns a random number.
    pub fn random(&self) -> u64 {
        mix(self
            .seed
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed))
    }

    /// Returns a random number in [0, 1).
    pub fn share(&self) -> f64 {
        (self.random() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn id(&self) -> String {
        format!("{:016x}", self.random())
    }
}

// ---------------------------------------------------------------- HTTP

/// A request or response as read from a connection. Names of header fields are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(held, _)| held == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.field("x-monsoondeal-request-id").unwrap_or("")
    }
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = Vec::new();
    reader
        .read_until(b'\n', &mut first)
        .ok()
        .filter(|n| *n > 0)?;
    let mut message = Message {
        first: String::from_utf8_lossy(&first).trim().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = Vec::new();
        reader
            .read_until(b'\n', &mut line)
            .ok()
            .filter(|n| *n > 0)?;
        let line = String::from_utf8_lossy(&line).trim().to_owned();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message
            .fields
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length = match message.field("content-length") {
        Some(length) => length.parse().ok()?,
        None => 0,
    };
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Held {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
    status: Vec<u8>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Held>,
    /// Revision, kind, name, and the object or `None` for a removal.
    history: Vec<(u64, String, String, Option<Held>)>,
}

/// The platform's store: objects, listings, watches, conditional writes.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self {
            shared: Arc::default(),
        };
        store.shared.0.lock().unwrap().revision = 1;
        store
    }

    /// Opens an address at which one node reaches the store.
    pub fn door(&self) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            addr: listener.local_addr()?,
            is_cut: Arc::default(),
        };
        let (server, is_cut) = (self.clone(), door.is_cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, is_cut) = (server.clone(), is_cut.clone());
                thread::spawn(move || server.serve(stream, &is_cut));
            }
        });
        Ok(door)
    }

    /// Writes an object as the operator or a leaf does.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut state = self.shared.0.lock().unwrap();
        let status = state.objects.get(&(kind.to_owned(), name.to_owned()));
        let status = status.map_or_else(|| b"null".to_vec(), |held| held.status.clone());
        Self::write(&mut state, kind, name, spec.to_vec(), status);
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

    fn write(state: &mut StoreState, kind: &str, name: &str, spec: Vec<u8>, status: Vec<u8>) {
        let key = (kind.to_owned(), name.to_owned());
        state.revision += 1;
        let revision = state.revision;
        let created = state
            .objects
            .get(&key)
            .map_or(revision, |held| held.created);
        let held = Held {
            revision,
            created,
            spec,
            status,
        };
        state.objects.insert(key, held.clone());
        state
            .history
            .push((revision, kind.to_owned(), name.to_owned(), Some(held)));
    }

    fn object(name: &str, held: &Held) -> Vec<u8> {
        let meta = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":",
            held.revision, held.created
        );
        [
            meta.as_bytes(),
            &held.spec,
            b",\"status\":",
            &held.status,
            b"}",
        ]
        .concat()
    }

    fn serve(&self, stream: TcpStream, is_cut: &AtomicBool) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader) {
            if wait_uncut(is_cut) {
                return;
            }
            let (status, body) = self.answer(&call);
            if wait_uncut(is_cut) {
                return;
            }
            let bytes = response(status, &[("Content-Type", "application/json")], &body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let none = || b"{}".to_vec();
        let mut words = call.first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return (404, none());
        };
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(held, _)| *held == name)
                .map(|(_, value)| value)
        };
        let parts: Vec<&str> = path.split('/').collect();
        match (method, parts.as_slice()) {
            ("GET", [kind]) => match param("watch") {
                Some(from) => {
                    let wait = param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    (200, self.watch(kind, from.parse().unwrap_or(0), ms(wait)))
                }
                None => (200, self.list(kind)),
            },
            ("GET", [kind, name]) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                    Some(held) => (200, Self::object(name, held)),
                    None => (404, none()),
                }
            }
            ("POST", [kind]) => {
                let name = json_field(&call.body, "meta").and_then(|meta| json_field(meta, "name"));
                let name = String::from_utf8_lossy(name.unwrap_or(b"\"\""))
                    .trim_matches('"')
                    .to_owned();
                let spec = json_field(&call.body, "spec").unwrap_or(b"null").to_vec();
                let mut state = self.shared.0.lock().unwrap();
                if let Some(held) = state.objects.get(&((*kind).to_owned(), name.clone())) {
                    return (409, Self::object(&name, held));
                }
                Self::write(&mut state, kind, &name, spec, b"null".to_vec());
                self.shared.1.notify_all();
                (201, none())
            }
            ("PUT", [kind, name]) | ("PUT", [kind, name, "status"]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let mut state = self.shared.0.lock().unwrap();
                let Some(held) = state.objects.get(&key).cloned() else {
                    return (404, none());
                };
                let wanted =
                    json_field(&call.body, "meta").and_then(|meta| json_field(meta, "revision"));
                if wanted.is_some_and(|wanted| wanted != held.revision.to_string().as_bytes()) {
                    return (409, Self::object(name, &held));
                }
                let is_status = parts.len() == 3;
                let field = if is_status { "status" } else { "spec" };
                let value = json_field(&call.body, field).unwrap_or(b"null").to_vec();
                let (spec, status) = if is_status {
                    (held.spec, value)
                } else {
                    (value, held.status)
                };
                Self::write(&mut state, kind, name, spec, status);
                self.shared.1.notify_all();
                (200, none())
            }
            _ => (404, none()),
        }
    }

    fn list(&self, kind: &str) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((held, _), _)| held == kind);
        let items: Vec<Vec<u8>> = of_kind
            .map(|((_, name), held)| Self::object(name, held))
            .collect();
        let tail = format!("],\"has_more\":false,\"current_rev\":{}}}", state.revision);
        [
            b"{\"items\":[".as_slice(),
            &items.join(&b","[..]),
            tail.as_bytes(),
        ]
        .concat()
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(at, held, ..)| *at > from && held == kind);
            let events: Vec<Vec<u8>> = changes
                .map(|(_, _, name, held)| match held {
                    Some(held) => {
                        let object = Self::object(name, held);
                        [b"{\"removed\":false,\"object\":".as_slice(), &object, b"}"].concat()
                    }
                    None => format!("{{\"removed\":true,\"object\":{{\"meta\":{{\"name\":\"{name}\",\"revision\":1}}}}}}")
                        .into_bytes(),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let tail = format!("],\"current_rev\":{}}}", state.revision);
                return [
                    b"{\"events\":[".as_slice(),
                    &events.join(&b","[..]),
                    tail.as_bytes(),
                ]
                .concat();
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The way of one node to the store, which can be cut silently.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    pub is_cut: Arc<AtomicBool>,
}

/// Waits while a way is cut. Returns whether it was: what was under way is lost then.
fn wait_uncut(is_cut: &AtomicBool) -> bool {
    let was_cut = is_cut.load(Ordering::Relaxed);
    while is_cut.load(Ordering::Relaxed) {
        thread::sleep(ms(10));
    }
    was_cut
}

/// Returns the raw value of a field of a JSON object.
fn json_field<'a>(text: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let (mut depth, mut at) = (0, 0);
    let mut key: Option<&[u8]> = None;
    while at < text.len() {
        match text[at] {
            b'"' => {
                let start = at + 1;
                at = start;
                while text[at] != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && text.get(at + 1) == Some(&b':') {
                    key = Some(&text[start..at]);
                    if key == Some(name.as_bytes()) {
                        return Some(json_value(&text[at + 2..]));
                    }
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    let _ = key;
    None
}

/// Returns the JSON value at the start of a text.
fn json_value(text: &[u8]) -> &[u8] {
    let (mut depth, mut at) = (0, 0);
    while at < text.len() {
        match text[at] {
            b'"' => {
                at += 1;
                while text[at] != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth > 0 => depth -= 1,
            b',' | b'}' | b']' if depth == 0 => return &text[..at],
            _ => {}
        }
        at += 1;
    }
    text
}

// ---------------------------------------------------------------- leafs

/// Number of records in a part.
const PART_RECORDS: u64 = 25;

/// Returns the records that each leaf of a shard answers to a request, in no order.
pub fn records(id: &str, service: &str) -> Vec<[u8; 16]> {
    let mut hash = 0xCBF2_9CE4_8422_2325_u64;
    for byte in id.bytes().chain(service.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01B3);
    }
    let record = |index: u64| {
        let high = mix(hash.wrapping_add(index));
        let mut record = [0; 16];
        record[..8].copy_from_slice(&high.to_be_bytes());
        record[8..].copy_from_slice(&mix(high).to_be_bytes());
        record
    };
    (0..PART_RECORDS).map(record).collect()
}

fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// What a leaf does with an answer beyond sending it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Garble {
    /// Share of answers of which a second copy is sent late: where the next response on the
    /// connection is expected.
    pub extra_late: f64,
    /// Share of requests that are run and fail with this status.
    pub fail: f64,
    pub fail_status: u16,
}

pub struct LeafSettings {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    /// Mean time of a run; each run takes half to one and a half of it.
    pub work: Duration,
}

/// A run of a request at a leaf.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub leaf: String,
    pub at: u64,
}

pub struct LeafShared {
    pub settings: LeafSettings,
    pub name: String,
    pub addr: SocketAddr,
    pub garble: Mutex<Garble>,
    /// Runs under way and in the queue.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

#[derive(Clone)]
pub struct Leaf(pub Arc<LeafShared>);

impl Leaf {
    pub fn start(
        settings: LeafSettings,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self(Arc::new(LeafShared {
            settings,
            name: format!("i-{:08x}", record.random() as u32),
            addr: listener.local_addr()?,
            garble: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            runs: runs.clone(),
            record: record.clone(),
        }));
        let server = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(leaf)
    }

    /// Returns the leaf's entry in the store.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        let LeafShared { settings, addr, .. } = &*self.0;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{addr}\",\"zone\":\"{}\",\"config_version\":\"v1\",\"max_concurrency\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":4,\"born\":1790000000000}}",
            settings.service, settings.zone, settings.slots
        )
        .into_bytes()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        // The second copy of an answer, which is sent when the next response is expected.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Some(request) = read_message(&mut reader) {
            if let Some((of, bytes)) = late.take() {
                self.0.record.line(&format!(
                    "leaf {} sends the second copy of its answer to {of}, as request {} has come",
                    self.0.name,
                    request.id()
                ));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            let is_repeated = self.0.record.share() < self.0.garble.lock().unwrap().extra_late;
            if is_repeated && !request.id().is_empty() {
                late = Some((request.id().to_owned(), answer.clone()));
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let LeafShared {
            settings,
            name,
            record,
            ..
        } = &*self.0;
        let id = request.id().to_owned();
        let echo = ("X-Monsoondeal-Request-Id", id.as_str());
        let own = ("X-Monsoondeal-Instance-Id", name.as_str());
        let not_run = ("X-Monsoondeal-Not-Executed", "1");
        if request
            .field("x-monsoondeal-target-instance")
            .is_some_and(|wanted| wanted != name)
        {
            record.line(&format!("leaf {name} answers {id} with 421"));
            return response(421, &[echo, own], b"");
        }
        let target = request.first.split(' ').nth(1).unwrap_or("");
        if target == "/health" {
            return response(200, &[own], b"");
        }
        let deadline = request
            .field("x-monsoondeal-deadline-ms")
            .and_then(|d| d.parse().ok());
        let until = Instant::now() + ms(deadline.unwrap_or(10_000));
        if !self.take_slot(until) {
            record.line(&format!(
                "leaf {name} is full, answers {id} with 503, not run"
            ));
            return response(503, &[echo, not_run], b"");
        }
        record.line(&format!("leaf {name} runs {id}"));
        self.0.runs.lock().unwrap().push(Run {
            id: id.clone(),
            leaf: name.clone(),
            at: record.at(),
        });
        let garble = *self.0.garble.lock().unwrap();
        thread::sleep(settings.work.mul_f64(0.5 + record.share()));
        self.release_slot();
        let stamp = format!("{id}.{}.{name}", settings.service);
        let stamp = ("X-Monsoondeal-Server-Stamp", stamp.as_str());
        if record.share() < garble.fail {
            record.line(&format!(
                "leaf {name} has run {id}, answers it with {}",
                garble.fail_status
            ));
            return response(garble.fail_status, &[echo, stamp], b"failed\n");
        }
        record.line(&format!("leaf {name} has run {id}, answers it with 200"));
        let body = match settings.service.starts_with("shard-") {
            true => records(&id, &settings.service).concat(),
            false => format!("done {id} at {name}\n").into_bytes(),
        };
        response(200, &[echo, stamp], &body)
    }

    fn take_slot(&self, until: Instant) -> bool {
        let LeafShared {
            settings,
            load,
            freed,
            ..
        } = &*self.0;
        let mut held = load.lock().unwrap();
        if held.0 >= settings.slots {
            if held.1 >= settings.queue {
                return false;
            }
            held.1 += 1;
            while held.0 >= settings.slots && Instant::now() < until {
                held = freed.wait_timeout(held, ms(20)).unwrap().0;
            }
            held.1 -= 1;
            if held.0 >= settings.slots {
                return false;
            }
        }
        held.0 += 1;
        true
    }

    fn release_slot(&self) {
        self.0.load.lock().unwrap().0 -= 1;
        self.0.freed.notify_one();
    }
}

// ---------------------------------------------------------------- nodes

pub struct Node {
    pub vm: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Processes that were started and have not been ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Time after which a case is given up.
const CASE_LIMIT: Duration = Duration::from_secs(116);

/// Ends all processes and the case itself once [`CASE_LIMIT`] has passed.
fn watch_limit() {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        for id in CHILDREN.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-s", "KILL", &id.to_string()])
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// Returns the first of `count` free ports in a row, below the ports of outgoing connections.
fn free_ports(record: &Record, count: u16) -> u16 {
    loop {
        let first = 12_000 + (record.random() % 18_000) as u16;
        if (first..first + count).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return first;
        }
    }
}

impl Node {
    /// Writes the settings file, in the format of the deployment's page, and starts the program.
    pub fn start(stage: &Stage, vm: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let first = free_ports(&stage.record, 7);
        let [front, readiness, control] =
            [0, 1, 2].map(|above| SocketAddr::from(([127, 0, 0, 1], first + above)));
        let internal = first + 3;
        let text = format!(
            "node_name={vm}\nrole=edge\nmachine_class=edge\nserves=edge\nip=127.0.0.1\nzone={zone}\nregion=r\n\
             zones.z-a=r\nzones.z-b=r\nbind_addresses.front={front}\nbind_addresses.readiness={readiness}\n\
             bind_addresses.control={control}\ninternal_ports={internal},{}\nseeds=\nbootstrap=true\n\
             counts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry_point=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,scatter,places,rollout,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n\
             bounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.outer_ms=12000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_slack=52\n\
             bounds.exposure_share=0.1\nbounds.exposure_slack=50\nbounds.rollback_ms=5000\n\
             bounds.warmup_factor=1.5\nbounds.warmup_slack=5\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\n\
             platform.address={}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.max_value_bytes=1048576\n\
             platform.min_ttl_ms=1000\n",
            internal + 3,
            store
        );
        let settings = stage.temp.join(format!("{vm}.conf"));
        std::fs::write(&settings, text)?;
        let mut node = Self {
            vm: vm.to_owned(),
            front,
            readiness,
            settings,
            log: stage.temp.join(format!("{vm}.log")),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the program with the command of the deploy file.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/monsoondeal")
            .arg("edge")
            .env("MONSOONDEAL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, ms(500))?;
            stream.set_read_timeout(Some(ms(500)))?;
            stream.write_all(
                b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
            )?;
            Ok(read_head(&mut BufReader::new(stream)).map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Answered {
    pub id: String,
    pub sent_at: u64,
    /// Status; zero if the connection ended or the deadline passed without an answer.
    pub status: u16,
    pub response: Message,
}

/// A client with a connection that it keeps for many requests.
pub struct Client {
    front: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    record: Arc<Record>,
}

impl Client {
    pub fn new(front: SocketAddr, record: &Arc<Record>) -> Self {
        Self {
            front,
            connection: None,
            record: record.clone(),
        }
    }

    /// Sends one request and reads its answer.
    pub fn send(&mut self, method: &str, path: &str, deadline: Duration, body: &[u8]) -> Answered {
        let id = self.record.id();
        let sent_at = self.record.at();
        self.record.line(&format!(
            "client sends {id} {method} {path} to {}",
            self.front
        ));
        let response = self
            .exchange(&id, method, path, deadline, body)
            .unwrap_or_default();
        let status = response.status();
        match status {
            0 => self.record.line(&format!("client gets no answer to {id}")),
            _ => self.record.line(&format!("client gets {status} for {id}")),
        }
        let is_closing = response
            .field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if status == 0 || is_closing {
            self.connection = None;
        }
        Answered {
            id,
            sent_at,
            status,
            response,
        }
    }

    fn exchange(
        &mut self,
        id: &str,
        method: &str,
        path: &str,
        deadline: Duration,
        body: &[u8],
    ) -> Option<Message> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.front, ms(1000)).ok()?;
            let _ = stream.set_nodelay(true);
            self.connection = Some(BufReader::new(stream));
        }
        let connection = self.connection.as_mut()?;
        connection.get_ref().set_read_timeout(Some(deadline)).ok()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: host.example\r\nX-Monsoondeal-Request-Id: {id}\r\nX-Monsoondeal-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        connection
            .get_mut()
            .write_all(&[head.as_bytes(), body].concat())
            .ok()?;
        read_message(connection)
    }
}

// ---------------------------------------------------------------- main

/// What a case gets.
pub struct Stage {
    pub record: Arc<Record>,
    pub temp: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub stop: Arc<AtomicBool>,
}

impl Stage {
    /// Returns the number of runs of each request.
    pub fn run_counts(runs: &[Run]) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in runs {
            *counts.entry(run.id.clone()).or_default() += 1;
        }
        counts
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: stage CASE DIR");
        std::process::exit(2);
    };
    let dir = PathBuf::from(dir);
    let temp = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let prepared = std::fs::create_dir_all(&temp).and_then(|()| Record::new(&dir));
    let record = match prepared {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot prepare the case: {error}");
            std::process::exit(2);
        }
    };
    let stage = Stage {
        record: record.clone(),
        temp: temp.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        stop: Arc::default(),
    };
    watch_limit();
    let result = cases::play(&case, &stage);
    let _ = std::fs::remove_dir_all(&temp);
    let status = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    std::process::exit(status);
}
