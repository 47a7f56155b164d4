//! A gateway on loopback, with leafs whose behaviour each test defines.
#![allow(dead_code)]

pub mod endless;

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use futures_channel::mpsc::unbounded;
use hyper::header::HeaderName;
use monsoondeal_edge::{
    Config, EdgeSettings, LeafEntry, Limits, Name, Repeat, Route, Service, Target,
};
use monsoondeal_gateway::{
    GatewaySettings, HeaderNames, ReaderMode, SourceTiming, StopSettings, StoreCommand, Update,
};
use socket2::SockRef;
pub use standin::endless::read_head;
pub use standin::ports::free_addr;

/// Longest time that a test waits for a response or a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Handles a request that a leaf has read: gets the connection and the request's head.
pub type Behaviour = fn(&mut TcpStream, &str);

/// `Leaf` is a leaf that reads requests and handles each with a [`Behaviour`].
pub struct Leaf {
    pub addr: SocketAddr,
    arrivals: Arc<AtomicUsize>,
}

impl Leaf {
    pub fn start<F>(behave: F) -> Self
    where
        F: Fn(&mut TcpStream, &str) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let arrivals = Arc::new(AtomicUsize::new(0));
        let counter = arrivals.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, counter) = (stream.expect("a connection"), counter.clone());
                let behave = behave.clone();
                thread::spawn(move || {
                    while let Some(head) = read_head(&mut stream) {
                        counter.fetch_add(1, Ordering::SeqCst);
                        behave(&mut stream, &head);
                    }
                });
            }
        });
        Self { addr, arrivals }
    }

    /// Returns the number of requests that have arrived.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }
}

/// Returns the value of a header field.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Writes a text. A failure is ignored: it shows at the reader on the other end.
pub fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Sets a connection to be reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket option");
}

/// Answers a request correctly, and an identity check with the expected name.
pub fn answer_correctly(stream: &mut TcpStream, head: &str) {
    if head.starts_with("GET /health ") {
        let name = field(head, "x-instance").unwrap_or_default();
        write(
            stream,
            &format!("HTTP/1.1 200 OK\r\nx-leaf: {name}\r\ncontent-length: 0\r\n\r\n"),
        );
        return;
    }
    let id = field(head, "x-id").unwrap_or_default();
    let text =
        format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ncontent-length: 4\r\n\r\ngood");
    write(stream, &text);
}

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        signature: HeaderName::from_static("x-stamp"),
        instance: HeaderName::from_static("x-instance"),
        identity: HeaderName::from_static("x-leaf"),
        not_run: HeaderName::from_static("x-not-run"),
        leaving: HeaderName::from_static("x-leaving"),
        parts: HeaderName::from_static("x-parts"),
        missing: HeaderName::from_static("x-missing"),
    }
}

/// Returns the name of the VM whose node can be followed at an address.
pub fn vm_name(follow_addr: SocketAddr) -> String {
    format!("vm-{}", follow_addr.port())
}

/// `Gateway` is a gateway that runs until the test process ends.
pub struct Gateway {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub admin: SocketAddr,
    /// Address at which other nodes ask for segments of queries.
    pub peers: SocketAddr,
    /// Address at which other nodes follow this one.
    pub updates: SocketAddr,
    /// Reader modes that the gateway has set, oldest first.
    reader_modes: Arc<Mutex<Vec<ReaderMode>>>,
    /// Number of times that the gateway has asked to be registered again.
    registrations: Arc<AtomicUsize>,
    /// Sender of updates that the gateway gets as if they were read from the store.
    update_factories: mpsc::Sender<UpdateFactory>,
}

/// Creates updates in the gateway's thread, as they cannot be sent between threads.
pub type UpdateFactory = Box<dyn FnOnce() -> Vec<Update> + Send>;

impl Gateway {
    /// Starts a gateway without any updates.
    pub fn start() -> Self {
        Self::start_with(Vec::new)
    }

    /// Starts a gateway that begins with the updates that `prepare` returns.
    pub fn start_with<F>(prepare: F) -> Self
    where
        F: FnOnce() -> Vec<Update> + Send + 'static,
    {
        Self::start_at(free_addr(), prepare)
    }

    /// Starts a gateway that other nodes can follow at `follow_addr`.
    pub fn start_at<F>(follow_addr: SocketAddr, prepare: F) -> Self
    where
        F: FnOnce() -> Vec<Update> + Send + 'static,
    {
        let (front, readiness, admin) = (free_addr(), free_addr(), free_addr());
        let peers = free_addr();
        let settings = GatewaySettings {
            front,
            readiness,
            ready_path: "/ready",
            admin,
            peers,
            updates: follow_addr,
            headers: names(),
            edge: EdgeSettings {
                nodes: 1,
                repeat_slack: 100.0,
                ..EdgeSettings::default()
            },
            stop: StopSettings::default(),
            source_timing: SourceTiming::default(),
            descriptors: 4_000,
            domain: "a".to_owned(),
            vm: vm_name(follow_addr),
        };
        let (update_factories, factories) = mpsc::channel::<UpdateFactory>();
        let reader_modes: Arc<Mutex<Vec<ReaderMode>>> = Arc::default();
        let recorded = reader_modes.clone();
        let registrations: Arc<AtomicUsize> = Arc::default();
        let registered = registrations.clone();
        thread::spawn(move || {
            let (updates, inbox) = unbounded();
            let (_never, stop) = unbounded();
            let (store_commands, mut commands) = unbounded();
            let (mode_sender, mut mode_inbox) = unbounded();
            for update in prepare() {
                updates.unbounded_send(update).expect("an open inbox");
            }
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            let feed = async move {
                loop {
                    while let Ok(mode) = mode_inbox.try_recv() {
                        recorded.lock().expect("no panic while locked").push(mode);
                        if mode == ReaderMode::Probe {
                            // The store of these tests answers.
                            let answer = Update::StoreReachable(true);
                            updates.unbounded_send(answer).expect("an open inbox");
                        }
                    }
                    while let Ok(command) = commands.try_recv() {
                        let is_registration = matches!(command, StoreCommand::Register(_));
                        registered.fetch_add(usize::from(is_registration), Ordering::SeqCst);
                    }
                    for update in factories.try_iter().flat_map(|factory| factory()) {
                        updates.unbounded_send(update).expect("an open inbox");
                    }
                    compio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            runtime.block_on(async move {
                compio::runtime::spawn(feed).detach();
                monsoondeal_gateway::run(settings, inbox, mode_sender, store_commands, stop)
                    .await
                    .expect("the gateway starts");
            });
        });
        let gateway = Self {
            front,
            readiness,
            admin,
            peers,
            updates: follow_addr,
            reader_modes,
            registrations,
            update_factories,
        };
        gateway.wait_until_listening();
        gateway
    }

    /// Sends updates to the gateway as if they were read from the store.
    pub fn send_updates<F>(&self, factory: F)
    where
        F: FnOnce() -> Vec<Update> + Send + 'static,
    {
        self.update_factories
            .send(Box::new(factory))
            .expect("a running gateway");
    }

    /// Returns the reader mode that the gateway has set last.
    pub fn reader_mode(&self) -> Option<ReaderMode> {
        self.reader_modes().last().copied()
    }

    /// Returns all reader modes that the gateway has set, oldest first.
    pub fn reader_modes(&self) -> Vec<ReaderMode> {
        self.reader_modes
            .lock()
            .expect("no panic while locked")
            .clone()
    }

    /// Returns how often the gateway has asked to be registered again.
    pub fn registrations(&self) -> usize {
        self.registrations.load(Ordering::SeqCst)
    }

    /// Starts a gateway with one route, `/r/`, to a service with these leafs.
    pub fn with_leafs(repeat: Repeat, leafs: &[&Leaf]) -> Self {
        Self::with_addrs(repeat, leafs.iter().map(|leaf| leaf.addr).collect())
    }

    /// Starts a gateway with one route, `/r/`, to a service with leafs at these addresses.
    pub fn with_addrs(repeat: Repeat, addrs: Vec<SocketAddr>) -> Self {
        Self::with_config(addrs, move || config(repeat))
    }

    /// Like [`with_addrs`](Self::with_addrs), with leafs that identify themselves at `/health`.
    pub fn with_checked_addrs(repeat: Repeat, addrs: Vec<SocketAddr>) -> Self {
        Self::with_config(addrs, move || {
            let mut config = config(repeat);
            for service in config.services.values_mut() {
                service.check_path = Some(Name::from("/health"));
            }
            config
        })
    }

    fn with_config<F>(addrs: Vec<SocketAddr>, config: F) -> Self
    where
        F: FnOnce() -> Config + Send + 'static,
    {
        let gateway = Self::start_with(move || {
            let entries = addrs.into_iter().enumerate().map(entry);
            vec![
                Update::Leafs(entries.collect()),
                Update::ClosedDomains(HashSet::new()),
                Update::Moves(Vec::new()),
                Update::Config(Rc::new(config())),
            ]
        });
        gateway.wait_until_ready();
        gateway
    }

    fn wait_until_listening(&self) {
        wait_until(|| TcpStream::connect(self.admin).is_ok());
    }

    pub fn wait_until_ready(&self) {
        wait_until(|| self.is_ready());
    }

    /// Checks readiness as the balancer does.
    pub fn is_ready(&self) -> bool {
        exchange(
            self.readiness,
            "GET /ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
        )
        .starts_with("HTTP/1.1 200")
    }

    /// Sends a request on a connection of its own and returns the whole response.
    pub fn request(&self, id: &str) -> String {
        self.request_path(id, "/r/x")
    }

    /// Sends a request for a path on a connection of its own and returns the whole response.
    pub fn request_path(&self, id: &str, path: &str) -> String {
        exchange(self.front, &request_text(id, path, "connection: close\r\n"))
    }
}

/// Returns the text of a request.
pub fn request_text(id: &str, path: &str, fields: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: h.example\r\nx-id: {id}\r\nx-deadline: 3000\r\n{fields}\r\n"
    )
}

/// Sends a text and returns all that is read until the connection ends.
pub fn exchange(addr: SocketAddr, text: &str) -> String {
    let (sender, receiver) = mpsc::channel();
    let text = text.to_owned();
    thread::spawn(move || {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(addr) {
            write(&mut stream, &text);
            // A reset ends the response as well.
            let _ = stream.read_to_end(&mut answer);
        }
        let _ = sender.send(String::from_utf8_lossy(&answer).into_owned());
    });
    receiver
        .recv_timeout(WAIT_TIMEOUT)
        .expect("an answer in time")
}

/// Waits until a condition holds.
pub fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the condition did not become true in time"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

fn entry((at, addr): (usize, SocketAddr)) -> LeafEntry {
    leaf_entry(&format!("leaf-{at}"), "s", addr)
}

/// Returns the entry of a leaf that serves requests.
pub fn leaf_entry(name: &str, service: &str, addr: SocketAddr) -> LeafEntry {
    LeafEntry {
        name: Name::from(name),
        born: 1,
        service: Name::from(service),
        addr,
        domain: Name::from("a"),
        version: Name::from("v1"),
        slots: 3,
        draining: false,
        warmup: Duration::ZERO,
    }
}

fn config(repeat: Repeat) -> Config {
    build_config(1, "/r/", repeat)
}

/// Returns a version of a configuration with one route.
pub fn config_of_version(version: u64, prefix: &str) -> Config {
    build_config(version, prefix, Repeat::Idempotent)
}

fn build_config(version: u64, prefix: &str, repeat: Repeat) -> Config {
    let route = Route {
        name: Name::from("r"),
        host: "h.example".to_owned(),
        prefix: prefix.to_owned(),
        target: Target::Service(Name::from("s")),
        repeat,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        attempts: 2,
        priority: 0,
    };
    let service = Service {
        connections: 10,
        cold_rate: None,
        warmup: Duration::ZERO,
        check_path: None,
    };
    let services = HashMap::from([(Name::from("s"), service)]);
    Config::new(version, [route], services, Limits::default())
}
