//! Fleets in virtual time whose readers of the store are lost: how old what each other node knows may get.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_member::{
    FleetNode, SourceAction, SourceSelector, SourceTiming, StoreContact, store_role,
};
use rstest::rstest;

/// Resolution of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time that a node takes to read everything from the store.
const READ_TIME: Duration = Duration::from_millis(200);
/// Time until a node counts the store as unreachable, whose calls get no answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_700);
/// When the first reader is lost, after the start of the fleet.
const LOSS: Duration = Duration::from_secs(8);
/// How long a reader is lost, and the time that is watched.
const LOSS_TIME: Duration = Duration::from_millis(5_500);
const WATCH_TIME: Duration = Duration::from_secs(22);

/// What happens to a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// Its calls to the store get no answer.
    Cut,
    /// It does nothing; connections to it are opened all the same.
    Frozen,
    /// Its process has ended, and connections are refused.
    Killed,
}

/// A connection to a source.
#[derive(Clone, Copy, Debug)]
struct Link {
    source: usize,
    /// Whether the source has sent all that it knows.
    is_current: bool,
    next_heartbeat: Time,
}

struct Node {
    name: String,
    domain: String,
    cores: f64,
    addr: SocketAddr,
    selector: SourceSelector,
    contact: StoreContact,
    link: Option<Link>,
    /// All changes until then are in force here.
    known: Time,
    /// When the node has read everything, if it reads the store.
    read_at: Option<Time>,
    is_probing: bool,
    next_probe: Time,
    /// When the calls that get no answer count as failed.
    failing_at: Option<Time>,
    lost_at: Option<Time>,
}

impl Node {
    fn is_lost(&self, now: Time) -> bool {
        self.lost_at
            .is_some_and(|at| now >= at && now < at + LOSS_TIME)
    }
}

struct Fleet {
    nodes: Vec<Node>,
    timing: SourceTiming,
    loss: Loss,
    now: Time,
}

impl Fleet {
    /// Creates a fleet of domains with so many nodes.
    fn new(domains: &[usize], bound: Duration, loss: Loss) -> Self {
        let timing = SourceTiming::new(bound);
        let now = Time::from_millis(1_000);
        let mut nodes = Vec::new();
        for (domain, count) in domains.iter().enumerate() {
            for at in 0..*count {
                let number = u16::try_from(nodes.len()).expect("a small fleet");
                nodes.push(Node {
                    name: format!("vm-{domain}-{at}"),
                    domain: format!("d-{domain}"),
                    cores: if at % 8 == 0 { 0.5 } else { 0.12 },
                    addr: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
                    selector: SourceSelector::new(timing),
                    contact: StoreContact::new(timing),
                    link: None,
                    known: now,
                    read_at: None,
                    is_probing: false,
                    // Spread over the interval, so that some have just asked when they are lost.
                    next_probe: now + timing.probe_interval().mul_f64(f64::from(number % 7) / 7.0),
                    failing_at: None,
                    lost_at: None,
                });
            }
        }
        let mut fleet = Self {
            nodes,
            timing,
            loss,
            now,
        };
        fleet.assign_roles();
        fleet
    }

    fn assign_roles(&mut self) {
        for at in 0..self.nodes.len() {
            let listed = self.nodes.iter().map(|node| FleetNode {
                name: &node.name,
                domain: &node.domain,
                cores: node.cores,
                addr: node.addr,
            });
            let role = store_role(&self.nodes[at].name, listed);
            self.apply(at, |selector, now, out| selector.set_role(role, now, out));
        }
    }

    /// Loses the readers of the first domain one after the other.
    fn lose_readers(&mut self, gap: Duration) {
        let first = self.now + LOSS;
        let readers: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].domain == "d-0" && self.nodes[*at].selector.is_reading())
            .collect();
        for (rank, at) in readers.iter().enumerate() {
            let rank = u32::try_from(rank).expect("few readers");
            self.nodes[*at].lost_at = Some(first + gap * rank);
        }
    }

    fn apply<F>(&mut self, at: usize, event: F)
    where
        F: FnOnce(&mut SourceSelector, Time, &mut Vec<SourceAction>),
    {
        let mut out = Vec::new();
        event(&mut self.nodes[at].selector, self.now, &mut out);
        for action in out {
            self.execute(at, action);
        }
    }

    fn execute(&mut self, at: usize, action: SourceAction) {
        let now = self.now;
        let by_addr = |nodes: &[Node], addr| nodes.iter().position(|node| node.addr == addr);
        match action {
            SourceAction::StartReading => {
                self.nodes[at].contact.reset();
                self.nodes[at].is_probing = false;
                self.nodes[at].read_at = Some(now + READ_TIME);
            }
            SourceAction::StartProbing => {
                self.nodes[at].is_probing = true;
                self.nodes[at].next_probe = now + STEP;
            }
            SourceAction::StopReading => {
                self.nodes[at].contact.reset();
                self.nodes[at].is_probing = false;
                self.nodes[at].read_at = None;
            }
            SourceAction::Connect(addr) => {
                let source = by_addr(&self.nodes, addr).expect("a listed node");
                self.nodes[at].link = Some(Link {
                    source,
                    is_current: false,
                    next_heartbeat: now + STEP,
                });
            }
            SourceAction::Disconnect => self.nodes[at].link = None,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for at in 0..self.nodes.len() {
            let is_lost = self.nodes[at].is_lost(self.now);
            if is_lost && self.loss != Loss::Cut {
                continue;
            }
            self.use_store(at, is_lost);
            self.use_link(at);
            self.apply(at, |selector, now, out| selector.tick(now, out));
        }
    }

    /// Reads or asks the store.
    fn use_store(&mut self, at: usize, is_cut: bool) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let has_read = node.read_at.is_some_and(|read_at| now >= read_at);
        if !has_read && !node.is_probing {
            return;
        }
        if is_cut {
            let failing_at = *node.failing_at.get_or_insert(now + CALL_TIMEOUT);
            if now >= failing_at {
                node.contact.lost();
                self.apply(at, |selector, now, out| {
                    selector.set_store_reachable(false, now, out);
                });
            }
            return;
        }
        node.failing_at = None;
        if has_read && !node.selector.is_following() {
            node.known = now;
        }
        if now >= node.next_probe {
            node.next_probe = now + self.timing.probe_interval();
            node.contact.answered(now);
            self.apply(at, |selector, now, out| {
                selector.set_store_reachable(true, now, out);
            });
        }
    }

    /// Takes what the source sends, or notices that it has closed the connection.
    fn use_link(&mut self, at: usize) {
        let now = self.now;
        let Some(link) = self.nodes[at].link else {
            return;
        };
        let source = &self.nodes[link.source];
        let is_lost = source.is_lost(now);
        if is_lost && self.loss == Loss::Frozen {
            return;
        }
        let is_open = !(is_lost && self.loss == Loss::Killed)
            && source.selector.is_reading()
            && source.contact.accepts_followers(now);
        if !is_open {
            self.apply(at, |selector, now, out| selector.on_disconnect(now, out));
            return;
        }
        let has_read = source.read_at.is_some_and(|read_at| now >= read_at);
        if !has_read || !source.contact.is_recent(now) {
            return;
        }
        let known = source.known;
        let heartbeat = self.timing.heartbeat();
        let node = &mut self.nodes[at];
        let link = node.link.as_mut().expect("a connection");
        if !link.is_current || now >= link.next_heartbeat {
            link.is_current = true;
            link.next_heartbeat = now + heartbeat;
            self.apply(at, |selector, now, out| selector.on_message(now, out));
        }
        let node = &mut self.nodes[at];
        // Changes come at once.
        if node.selector.is_following() {
            node.known = node.known.max(known);
        }
    }

    /// Returns the longest time for which a node that was not lost itself lacked a change.
    fn longest_delay(&mut self) -> Duration {
        let started = self.now;
        let mut longest = Duration::ZERO;
        while self.now < started + WATCH_TIME {
            self.step();
            if self.now < started + LOSS / 2 {
                continue;
            }
            let others = self.nodes.iter().filter(|node| node.lost_at.is_none());
            for node in others {
                longest = longest.max(self.now.since(node.known));
            }
        }
        longest
    }
}

/// Guards against followers that act on an old configuration when their readers are lost (CONFIG): together, one after
/// the other, cut off from the store, frozen or killed, at each size of fleet and its bound.
#[rstest]
fn change_is_in_force_though_readers_are_lost(
    #[values(
        (&[6][..], 3),
        (&[7, 1, 1][..], 3),
        (&[7, 2][..], 1),
        (&[3, 3, 3, 3, 3, 3][..], 3),
        (&[16, 16, 15, 15, 15][..], 5),
        (&[50, 49, 49, 49, 49, 49][..], 6)
    )]
    (domains, bound_s): (&[usize], u64),
    #[values(Loss::Cut, Loss::Frozen, Loss::Killed)] loss: Loss,
    #[values(0, 300, 700, 1_100, 1_400, 2_300)] gap_ms: u64,
) {
    let bound = Duration::from_secs(bound_s);
    let mut fleet = Fleet::new(domains, bound, loss);
    fleet.lose_readers(Duration::from_millis(gap_ms));
    let delay = fleet.longest_delay();
    assert!(delay <= bound, "{delay:?}");
}
