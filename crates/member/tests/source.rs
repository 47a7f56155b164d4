//! Which nodes read the store, and what a follower does when its source is lost.

use std::net::SocketAddr;
use std::time::Duration;

use monsoondeal_core::Time;
use monsoondeal_member::{
    FleetNode, SourceAction, SourceSelector, SourceTiming, StoreRole, store_role,
};
use rstest::rstest;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns names and failure domains of a fleet of `count` nodes in each of `domains` domains.
fn fleet(domains: usize, count: usize) -> Vec<(String, String)> {
    let nodes = (0..domains * count).map(|at| (format!("vm-{at}"), format!("d-{}", at % domains)));
    nodes.collect()
}

/// Returns the role of each node. Every eighth node is larger.
fn roles(fleet: &[(String, String)]) -> Vec<StoreRole> {
    let nodes = || {
        fleet
            .iter()
            .enumerate()
            .map(|(at, (name, domain))| FleetNode {
                name,
                domain,
                cores: if at % 8 == 0 { 0.5 } else { 0.12 },
                addr: addr(1_000 + at as u16),
            })
    };
    fleet
        .iter()
        .map(|(name, _)| store_role(name, nodes()))
        .collect()
}

#[rstest]
#[case::four_domains_of_two(4, 2, 8)]
#[case::three_domains_of_three(3, 3, 9)]
#[case::six_domains_of_three(6, 3, 6)]
#[case::four_domains_of_five(4, 5, 4)]
#[case::five_domains_of_fifteen(5, 15, 10)]
#[case::target(7, 1_030, 7 * 33)]
fn store_role_reader_count(#[case] domains: usize, #[case] count: usize, #[case] readers: usize) {
    let fleet = fleet(domains, count);
    let roles = roles(&fleet);
    let reading = roles.iter().filter(|role| role.is_reader()).count();
    assert_eq!(reading, readers);
}

/// Nodes follow nodes of their own domain, and no two nodes may follow each other.
#[test]
fn store_role_followers_stay_in_their_domain() {
    let fleet = fleet(5, 15);
    let roles = roles(&fleet);
    for (at, role) in roles.iter().enumerate() {
        let nodes = &role.sources;
        assert!(nodes.is_empty() || nodes.len() >= 2, "{nodes:?}");
        for node in nodes {
            let other = usize::from(node.port() - 1_000);
            assert_eq!(fleet[other].1, fleet[at].1);
            assert!(!roles[other].sources.contains(&addr(1_000 + at as u16)));
        }
    }
}

/// In a domain with one reader, the substitutes are readers of other domains.
#[test]
fn store_role_small_domains_share_readers() {
    let fleet = fleet(6, 3);
    let roles = roles(&fleet);
    for (at, role) in roles
        .iter()
        .enumerate()
        .filter(|(_, role)| !role.is_reader())
    {
        let domain_of = |addr: &SocketAddr| &fleet[usize::from(addr.port() - 1_000)].1;
        let domains: Vec<&String> = role.sources.iter().map(domain_of).collect();
        assert_eq!(domains[0], &fleet[at].1);
        assert!(domains.len() == 3 && domains[1..].iter().all(|d| *d != domains[0]));
        let is_reader = |addr: &SocketAddr| roles[usize::from(addr.port() - 1_000)].is_reader();
        assert!(role.sources.iter().all(is_reader));
    }
}

/// Followers spread over the readers of their domain.
#[test]
fn store_role_spreads_followers() {
    let roles = roles(&fleet(1, 60));
    let mut first: Vec<SocketAddr> = Vec::new();
    for role in &roles {
        first.extend(role.sources.first());
    }
    let largest = first
        .iter()
        .map(|a| first.iter().filter(|b| *b == a).count())
        .max();
    assert!(largest <= Some(40), "{largest:?} of {}", first.len());
}

#[test]
fn store_role_unlisted_node_reads_store() {
    assert!(store_role("vm-x", std::iter::empty()).is_reader());
}

struct Node {
    selector: SourceSelector,
    now: Time,
    connected: Option<SocketAddr>,
    is_reading: bool,
    /// How often it began to read everything anew.
    read_starts: usize,
    /// Whether it asks the store for signs of life, and has been told the first one.
    is_probing: bool,
    was_probed: bool,
    /// How often it began to do so.
    probe_starts: usize,
    /// Whether the store answers the first probe.
    store_answers: bool,
}

impl Node {
    /// Creates a node that may follow the nodes at three addresses.
    fn follower() -> Self {
        let mut node = Self {
            selector: SourceSelector::default(),
            now: Time::from_millis(1_000),
            connected: None,
            is_reading: false,
            read_starts: 0,
            is_probing: false,
            was_probed: false,
            probe_starts: 0,
            store_answers: true,
        };
        node.set_sources(&[1, 2, 3]);
        node
    }

    /// Creates a node that reads the store, in a fleet with other readers.
    fn reader() -> Self {
        let mut node = Self {
            selector: SourceSelector::default(),
            now: Time::from_millis(1_000),
            connected: None,
            is_reading: false,
            read_starts: 0,
            is_probing: false,
            was_probed: false,
            probe_starts: 0,
            store_answers: true,
        };
        node.set_sources(&[]);
        node
    }

    fn set_sources(&mut self, ports: &[u16]) {
        let role = StoreRole {
            sources: ports.iter().copied().map(addr).collect(),
            fallbacks: vec![addr(11), addr(12)],
        };
        self.step(|selector, now, out| selector.set_role(role, now, out));
    }

    fn set_store_reachable(&mut self, is_reachable: bool) {
        self.step(|selector, now, out| selector.set_store_reachable(is_reachable, now, out));
    }

    fn step<F>(&mut self, event: F)
    where
        F: FnOnce(&mut SourceSelector, Time, &mut Vec<SourceAction>),
    {
        let mut out = Vec::new();
        event(&mut self.selector, self.now, &mut out);
        for action in out {
            match action {
                SourceAction::StartReading => {
                    self.is_probing = false;
                    self.is_reading = true;
                    self.read_starts += 1;
                }
                SourceAction::StartProbing => {
                    self.probe_starts += 1;
                    self.is_probing = true;
                }
                SourceAction::StopReading => {
                    self.is_reading = false;
                    self.is_probing = false;
                }
                SourceAction::Connect(addr) => self.connected = Some(addr),
                SourceAction::Disconnect => self.connected = None,
            }
        }
        assert_eq!(self.is_reading, self.selector.is_reading());
        if self.is_probing && !self.was_probed {
            self.was_probed = true;
            self.set_store_reachable(self.store_answers);
        }
        self.was_probed = self.is_probing;
    }

    fn receive(&mut self) {
        self.step(|selector, now, out| selector.on_message(now, out));
    }

    fn disconnect(&mut self) {
        self.step(|selector, now, out| selector.on_disconnect(now, out));
    }

    /// Advances the time in steps of 50 ms.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(50);
            self.step(|selector, now, out| selector.tick(now, out));
        }
    }
}

/// Guards against a node that tries one silent source after the other while its configuration gets old (CONFIG): it asks
/// the store itself once the time for that is over.
#[test]
fn selector_asks_the_store_though_sources_are_left() {
    let mut node = Node::follower();
    node.set_sources(&[1, 2, 3, 4]);
    node.receive();
    let heard = node.now;
    while !node.is_reading {
        node.advance(Duration::from_millis(50));
    }
    let timing = SourceTiming::default();
    let elapsed = node.now.since(heard);
    assert!(
        elapsed <= timing.silence() + timing.search() + Duration::from_millis(50),
        "{elapsed:?}"
    );
    assert!(
        elapsed > timing.silence() + Duration::from_millis(400),
        "{elapsed:?}"
    );
}

#[test]
fn selector_with_source_does_not_read_store() {
    let mut node = Node::follower();
    for _ in 0..30 {
        node.receive();
        node.advance(Duration::from_millis(400));
    }
    assert_eq!(node.connected, Some(addr(1)));
    assert!(!node.is_reading);
}

/// A node whose sources are all silent or refuse it reads the store within two and a half seconds of the
/// last message.
#[rstest]
#[case::all_silent(false, 0)]
#[case::all_refuse(true, 0)]
#[case::silent_after_use(false, 5)]
#[case::refuse_after_use(true, 5)]
fn selector_without_sources_reads_store(#[case] refuses: bool, #[case] heard: usize) {
    let mut node = Node::follower();
    for _ in 0..heard {
        node.receive();
        node.advance(Duration::from_millis(400));
    }
    let silent_since = node.now;
    while !node.is_reading {
        if refuses {
            node.disconnect();
        }
        node.advance(Duration::from_millis(50));
        let silence = node.now.since(silent_since);
        assert!(silence <= Duration::from_millis(2_500), "{silence:?}");
    }
    assert_eq!(node.connected, None);
}

/// A follower that reads the store because it lost all sources goes on reading until a source has sent its
/// first message.
#[test]
fn selector_follows_again_after_first_message() {
    let mut node = Node::follower();
    for _ in 0..3 {
        node.disconnect();
    }
    assert!(node.is_reading);
    node.advance(Duration::from_millis(5_100));
    assert_eq!(node.connected, Some(addr(1)));
    assert!(node.is_reading);
    node.receive();
    assert!(!node.is_reading);
}

#[rstest]
#[case::lost_first(1, 2)]
#[case::lost_second(2, 1)]
fn on_disconnect_tries_other_source(#[case] source: u16, #[case] next: u16) {
    let mut node = Node::follower();
    while node.connected != Some(addr(source)) {
        node.disconnect();
    }
    node.receive();
    node.disconnect();
    assert_eq!(node.connected, Some(addr(next)));
    assert!(!node.is_reading);
}

/// A new role does not interrupt following if its sources still contain the followed node.
#[test]
fn set_role_keeps_current_source() {
    let mut node = Node::follower();
    node.receive();
    node.set_sources(&[7, 1]);
    assert_eq!(node.connected, Some(addr(1)));
    node.set_sources(&[7, 8]);
    assert_eq!(node.connected, Some(addr(7)));
    node.set_sources(&[]);
    assert_eq!(node.connected, None);
    assert!(node.is_reading);
}

/// A node that is cut off from the store follows a reader of another domain, and goes on trying the store.
#[test]
fn set_store_reachable_false_follows_fallback() {
    let mut node = Node::reader();
    assert!(node.is_reading);
    node.set_store_reachable(false);
    assert_eq!(node.connected, Some(addr(11)));
    node.disconnect();
    assert_eq!(node.connected, Some(addr(12)));
    node.receive();
    assert!(node.is_reading && node.selector.is_following());

    // Once the store is reachable again, the node stops following and reads everything anew.
    node.set_store_reachable(true);
    assert_eq!(node.connected, None);
    assert!(node.is_reading && !node.selector.is_following());
}

/// Changes that a node reads while it follows another one are not used, and are not delivered again. So if
/// the source is lost before the store is reachable, the node must read everything anew.
#[test]
fn on_disconnect_while_reading_reads_anew() {
    let mut node = Node::reader();
    node.set_store_reachable(false);
    node.receive();
    let read_starts = node.read_starts;
    node.disconnect();
    assert_eq!(node.read_starts, read_starts + 1);
    assert_eq!(node.connected, Some(addr(12)));
    assert!(node.is_reading);
}

/// A node that followed no other one while the store was unreachable has skipped no changes, so it does not
/// read anew.
#[test]
fn set_store_reachable_true_without_source_reads_on() {
    let mut node = Node::reader();
    let read_starts = node.read_starts;
    node.set_store_reachable(false);
    node.disconnect();
    node.set_store_reachable(true);
    assert_eq!(node.read_starts, read_starts);
    assert_eq!(node.connected, None);
    assert!(node.is_reading);
}

/// While no fallback can be followed either, the node retries them at intervals.
#[test]
fn set_store_reachable_false_retries_fallbacks() {
    let mut node = Node::reader();
    node.set_store_reachable(false);
    node.disconnect();
    node.disconnect();
    assert_eq!(node.connected, None);
    node.advance(Duration::from_millis(2_100));
    assert_eq!(node.connected, Some(addr(11)));
    assert!(node.is_reading);
}

/// A follower that has lost its sources and cannot reach the store follows a reader of another domain, and
/// later one of its own domain again.
#[test]
fn set_store_reachable_false_at_former_follower() {
    let mut node = Node::follower();
    for _ in 0..3 {
        node.disconnect();
    }
    node.set_store_reachable(false);
    node.receive();
    assert_eq!(node.connected, Some(addr(11)));
    node.set_store_reachable(true);
    node.advance(Duration::from_millis(5_100));
    assert_eq!(node.connected, Some(addr(1)));
    node.receive();
    assert!(!node.is_reading);
}

/// Load pattern: the store is lost to all, so all readers drop their followers. A follower does not read the store
/// while it does not answer; when it answers again, it follows a reader that has regained it.
#[rstest]
#[case::readers_return_soon(Duration::from_millis(600), false)]
#[case::readers_do_not_return(Duration::from_secs(60), true)]
fn follower_waits_for_a_lost_store(#[case] readers_return: Duration, #[case] reads: bool) {
    let mut node = Node::follower();
    node.receive();
    node.store_answers = false;
    node.disconnect();
    let refuse_for = |node: &mut Node, span: Duration| {
        let end = node.now + span;
        while node.now < end {
            node.disconnect();
            node.advance(Duration::from_millis(50));
        }
    };
    refuse_for(&mut node, Duration::from_secs(4));
    assert_eq!((node.read_starts, node.probe_starts), (0, 1));
    node.set_store_reachable(false);
    refuse_for(&mut node, Duration::from_secs(4));
    assert!(!node.is_reading && node.is_probing);

    node.set_store_reachable(true);
    refuse_for(&mut node, readers_return.min(Duration::from_millis(1_900)));
    assert_eq!(node.is_reading, reads);
    if !reads {
        node.advance(Duration::from_millis(300));
        assert_eq!(node.connected, Some(addr(1)));
        node.receive();
        assert!(!node.is_reading && !node.is_probing);
        assert_eq!(node.read_starts, 0);
    }
}

/// A follower that waits for the store follows a reader of another domain, and one of its own as soon as the store
/// answers.
#[test]
fn follower_cut_off_from_the_store_follows_fallback() {
    let mut node = Node::follower();
    node.store_answers = false;
    for _ in 0..3 {
        node.disconnect();
    }
    assert_eq!(node.connected, Some(addr(11)));
    node.receive();
    assert!(node.selector.is_following() && !node.is_reading && node.is_probing);
    node.set_store_reachable(true);
    assert_eq!(node.connected, Some(addr(1)));
    node.receive();
    assert!(!node.is_probing && node.read_starts == 0);
}

/// A node that waits for the store and becomes one of its readers reads it.
#[test]
fn set_role_reader_while_probing() {
    let mut node = Node::follower();
    node.store_answers = false;
    for _ in 0..3 {
        node.disconnect();
    }
    node.set_sources(&[]);
    assert!(node.is_reading && !node.is_probing);
}
