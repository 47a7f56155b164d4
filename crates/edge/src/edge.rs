//! The state machine of the direct path.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::{CallId, FixedMap, LeafId, Time};
use monsoondeal_moves::Outcome;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smallvec::SmallVec;

use crate::action::{Action, CallEnd, Inquiry, Note, Reply, Send, Summary, Token};
use crate::admit::{Admission, Sign};
use crate::choice::{Choice, Verdict};
use crate::config::{Config, Name, Route, Service, Target};
use crate::directory::{Directory, LeafEntry, Removal};
use crate::job::{BUSY_RETRY, Job, NO_LEAF_RETRY, ShardState, least_shards};
use crate::pace::Pace;
use crate::share::Shares;
use crate::shift::{MoveOrder, Shifts};
use crate::split::Splits;

/// Connections assumed for a service that the configuration does not describe.
const FALLBACK_CONNECTIONS: usize = 8;
/// Most calls sent for one shard of a request, refused ones included.
const MOST_TRIES: usize = 4;
/// Wait before a leaf that refused is asked again; times the number of calls sent.
const REFUSED_WAIT: Duration = Duration::from_millis(12);
/// Time between two looks at a shard that waits for a leaf.
const WAIT_LOOK: Duration = Duration::from_millis(20);
/// How long a call goes on after its request was answered, so that its connection can be kept.
const LINGER: Duration = Duration::from_millis(450);
/// Share of the objective that a request may be expected to wait for a leaf.
const QUEUE_SHARE: f64 = 0.5;
/// Retry advice while no configuration is known.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// `EdgeSettings` tune the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Nodes that share the leafs, until the number is known.
    pub nodes: usize,
    /// Repeats allowed per request for a service, over all nodes.
    pub repeat_ratio: f64,
    /// Repeats allowed beyond the ratio, over all nodes.
    pub repeat_slack: f64,
    /// Factor on the rate that a cold leaf bears.
    pub cold_factor: f64,
    /// Seed of the choice between alike leafs.
    pub seed: u64,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            nodes: 10,
            repeat_ratio: 0.1,
            repeat_slack: 10.0,
            cold_factor: 1.0,
            seed: 1,
        }
    }
}

/// `Counts` are the counters of the direct path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests of callers.
    pub requests: u64,
    /// Requests answered by a leaf, or merged from all shards.
    pub answered: u64,
    /// Responses that leave shards out.
    pub partial: u64,
    /// Requests rejected as not run.
    pub rejected: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests without an answer in time.
    pub timed_out: u64,
    /// Requests without a route.
    pub no_route: u64,
    /// Requests whose caller left.
    pub left: u64,
    /// Calls sent to leafs.
    pub calls: u64,
    /// Hedged calls among them.
    pub hedges: u64,
    /// Retried calls among them.
    pub retries: u64,
    /// Calls that leafs refused.
    pub refused: u64,
    /// Calls whose answer was lost or unusable.
    pub broken: u64,
    /// Calls that could not be sent.
    pub unsent: u64,
}

/// A call under way.
#[derive(Clone, Debug)]
struct Call {
    token: Token,
    shard: usize,
    leaf: LeafId,
    service: Name,
    route: Name,
    sent_at: Time,
    is_overdue: bool,
}

/// A shard that waits for a leaf.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    priority: u32,
    began: Time,
    token: Token,
    shard: usize,
}

/// `Edge` is the direct path of one node.
#[derive(Debug)]
pub struct Edge {
    settings: EdgeSettings,
    config: Option<Rc<Config>>,
    /// Whether the leafs have been listed.
    knows_leafs: bool,
    /// Whether the closed failure domains have been listed.
    knows_domains: bool,
    directory: Directory,
    choice: Choice,
    shares: Shares,
    splits: Splits,
    shifts: Shifts,
    paces: HashMap<Name, Pace>,
    /// Limits on queries, by their first shard.
    admissions: HashMap<Name, Admission>,
    jobs: FixedMap<Token, Job>,
    calls: FixedMap<CallId, Call>,
    waiters: HashMap<Name, Vec<Waiter>>,
    job_timers: BinaryHeap<Reverse<(Time, Token)>>,
    linger_timers: BinaryHeap<Reverse<(Time, CallId)>>,
    /// When a cold leaf may get its next call.
    cold_next: FixedMap<LeafId, Time>,
    next_call: u64,
    counts: Counts,
    rng: SmallRng,
}

impl Edge {
    /// Creates a node's direct path, without a configuration.
    pub fn new(settings: EdgeSettings) -> Self {
        let shares = Shares::new(settings.nodes, settings.repeat_ratio, settings.repeat_slack);
        let rng = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            config: None,
            knows_leafs: false,
            knows_domains: false,
            directory: Directory::default(),
            choice: Choice::default(),
            shares,
            splits: Splits::default(),
            shifts: Shifts::default(),
            paces: HashMap::new(),
            admissions: HashMap::new(),
            jobs: FixedMap::default(),
            calls: FixedMap::default(),
            waiters: HashMap::new(),
            job_timers: BinaryHeap::new(),
            linger_timers: BinaryHeap::new(),
            cold_next: FixedMap::default(),
            next_call: 0,
            counts: Counts::default(),
            rng,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Returns the known leafs.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the number of requests under way.
    pub fn open_requests(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of calls under way.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of nodes that the shares assume.
    pub fn nodes(&self) -> usize {
        self.shares.nodes()
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it was put in force.
    /// Requests under way keep the one that they began with.
    pub fn set_config(&mut self, config: Config) -> bool {
        let is_older = |held: &Rc<Config>| held.version >= config.version;
        if self.config.as_ref().is_some_and(is_older) {
            return false;
        }
        self.config = Some(Rc::new(config));
        true
    }

    /// Replaces the settings; the number of nodes stays.
    pub fn set_settings(&mut self, settings: EdgeSettings) {
        self.shares
            .set_bounds(settings.repeat_ratio, settings.repeat_slack);
        self.settings = settings;
    }

    /// Sets the number of nodes that share the leafs.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.shares.set_nodes(nodes);
    }

    /// Adds or updates a leaf.
    pub fn upsert_leaf(&mut self, entry: LeafEntry, now: Time, out: &mut Vec<Action>) {
        let service = entry.service.clone();
        if let Some(replaced) = self.directory.upsert(entry, now) {
            self.retire(replaced, out);
        }
        self.pump(&service, now, out);
    }

    /// Notes that a leaf's entry vanished from the registry.
    pub fn remove_leaf(&mut self, name: &str, now: Time, out: &mut Vec<Action>) -> Removal {
        let removal = self.directory.remove(name, now);
        if let Removal::Retired(id) = removal {
            self.retire(id, out);
        }
        removal
    }

    /// Replaces all leafs by a full listing.
    pub fn replace_leafs(&mut self, entries: Vec<LeafEntry>, now: Time, out: &mut Vec<Action>) {
        self.knows_leafs = true;
        for id in self.directory.replace(entries, now) {
            self.retire(id, out);
        }
    }

    /// Notes that the registry was out of reach, see [`Directory::doubt`].
    pub fn doubt_registry(&mut self, now: Time) {
        self.directory.doubt(now);
    }

    /// Closes these failure domains and opens all others.
    pub fn close_domains(&mut self, domains: HashSet<Name>) {
        self.knows_domains = true;
        self.directory.close_domains(domains);
    }

    /// Replaces the version moves that are asked for.
    pub fn set_moves(&mut self, orders: Vec<MoveOrder>, now: Time, out: &mut Vec<Action>) {
        self.shifts.set(orders, now);
        self.decide_moves(now, out);
    }

    /// Returns whether the node knows enough to serve requests.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.knows_leafs && self.knows_domains
    }

    /// Ends all requests under way, for a process that must exit.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Action>) {
        let tokens: Vec<Token> = self.jobs.keys().copied().collect();
        for token in tokens {
            self.finish(token, Reply::Failed("the node is stopping"), now, out);
        }
    }

    /// Begins to serve a request.
    pub fn request(&mut self, inquiry: &Inquiry<'_>, now: Time, out: &mut Vec<Action>) {
        self.counts.requests += 1;
        let token = inquiry.token;
        let known = self.config.clone().filter(|_| self.is_ready());
        let Some(config) = known else {
            let reply = Reply::Rejected {
                reason: "no configuration is known",
                retry_after: NO_CONFIG_RETRY,
            };
            self.reply_early(token, reply, Summary::default(), out);
            return;
        };
        let Some(route) = config.route(inquiry.host, inquiry.path) else {
            let summary = Summary {
                version: config.version,
                ..Summary::default()
            };
            self.reply_early(token, Reply::NoRoute, summary, out);
            return;
        };
        let services = self.resolve(route);
        for service in &services {
            self.shares.earn(service, now);
        }
        if let Some(reply) = self.rejection(route, &services) {
            let summary = Summary {
                route: Some(route.name.clone()),
                version: config.version,
                shards: services.len(),
                ..Summary::default()
            };
            self.reply_early(token, reply, summary, out);
            return;
        }
        let patience = inquiry.patience.unwrap_or(route.timeout);
        let mut job = Job::new(route.clone(), config.version, &services, patience, now);
        job.usual = pace(&mut self.paces, route).usual();
        if let Some(admission) = self.admission(&job) {
            admission.begin(job.usual);
        }
        let count = job.shards.len();
        self.jobs.insert(token, job);
        for shard in 0..count {
            self.launch(token, shard, now, out);
        }
        self.settle(token, now, out);
    }

    /// Notes the end of a call.
    pub fn call_ended(&mut self, id: CallId, end: CallEnd, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let response = now.since(call.sent_at);
        self.count_end(&end);
        self.note_move(&call, &end, response);
        let verdict = self.judge(&call, &end, response, now);
        self.choice.ended(call.leaf, verdict, call.is_overdue, now);
        if let Some(job) = self.jobs.get_mut(&call.token) {
            let shard = &mut job.shards[call.shard];
            shard.open.retain(|open| *open != id);
            if shard.is_open() {
                self.shard_ended(&call, end, now, out);
            }
            self.settle(call.token, now, out);
        }
        self.pump(&call.service, now, out);
        self.decide_moves(now, out);
    }

    /// Notes that a caller has gone. Calls that may be repeated are given up.
    pub fn caller_gone(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&token) else {
            return;
        };
        self.counts.left += 1;
        if let Some(admission) = self.admission(&job) {
            admission.end(job.usual, Sign::None);
        }
        let open: Vec<CallId> = job.shards.iter().flat_map(|s| s.open.clone()).collect();
        for id in open {
            if job.is_idempotent() {
                self.abandon(id, now, out);
            } else {
                let expiry = job.deadline + LINGER;
                self.linger_timers.push(Reverse((expiry, id)));
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for id in self.directory.expire(now) {
            self.retire(id, out);
        }
        self.decide_moves(now, out);
        while let Some(Reverse((at, id))) = self.linger_timers.peek().copied()
            && at <= now
        {
            self.linger_timers.pop();
            self.abandon(id, now, out);
        }
        while let Some(Reverse((at, token))) = self.job_timers.peek().copied()
            && at <= now
        {
            self.job_timers.pop();
            if self.jobs.get(&token).is_some_and(|job| job.wake == at) {
                self.look(token, now, out);
            }
        }
    }

    /// Returns when [`Edge::tick`] has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let job = self.job_timers.peek().map(|Reverse((at, _))| *at);
        let linger = self.linger_timers.peek().map(|Reverse((at, _))| *at);
        let expiry = self.directory.next_expiry();
        let shift = self.shifts.next_look();
        [job, linger, expiry, shift].into_iter().flatten().min()
    }

    fn resolve(&mut self, route: &Rc<Route>) -> SmallVec<[Name; 1]> {
        match &route.target {
            Target::Service(service) => SmallVec::from_elem(service.clone(), 1),
            Target::Split(parts) => self.splits.next(&route.name, parts).into_iter().collect(),
            Target::FanOut(shards, _) => shards.iter().cloned().collect(),
        }
    }

    /// Returns the rejection of a request that cannot be served in time.
    ///
    /// Load pattern: all leafs of some shards are down, or what is left of them is behind. Who waits
    /// then for leafs that cannot keep up is late for nothing and holds up others.
    fn rejection(&mut self, route: &Rc<Route>, services: &[Name]) -> Option<Reply> {
        let needed = match &route.target {
            Target::FanOut(shards, gather) => least_shards(shards.len(), gather.min_coverage),
            Target::Service(_) | Target::Split(_) => 1,
        };
        let limit = route.objective.mul_f64(QUEUE_SHARE);
        let mut dead = 0;
        let mut behind = 0;
        let mut longest = Duration::ZERO;
        for service in services {
            let leafs = self.directory.usable(service);
            if leafs.is_empty() {
                dead += 1;
                continue;
            }
            let wait = self.expected_wait(service, leafs.len(), route);
            if wait > limit {
                behind += 1;
                longest = longest.max(wait);
            }
        }
        if services.len() < needed + dead {
            return Some(Reply::Rejected {
                reason: "no leaf is known for too many shards",
                retry_after: NO_LEAF_RETRY,
            });
        }
        if services.len() < needed + dead + behind {
            return Some(Reply::Rejected {
                reason: "the leafs are behind",
                retry_after: longest.max(BUSY_RETRY),
            });
        }
        let Target::FanOut(shards, _) = &route.target else {
            return None;
        };
        let usual = pace(&mut self.paces, route).usual();
        let admission = self.admissions.get_mut(shards.first()?)?;
        if admission.admits(usual, route.priority) {
            return None;
        }
        let spread = self.rng.random_range(0.5..1.5);
        Some(Reply::Rejected {
            reason: "too many queries are under way",
            retry_after: route.objective.mul_f64(spread),
        })
    }

    /// Returns the limit that a query counts against.
    fn admission(&mut self, job: &Job) -> Option<&mut Admission> {
        let key = job.load_key()?;
        if !self.admissions.contains_key(key) {
            self.admissions
                .insert(key.clone(), Admission::new(job.usual));
        }
        self.admissions.get_mut(key)
    }

    /// Returns how long a call for a service would wait for a leaf.
    fn expected_wait(&self, service: &Name, leafs: usize, route: &Route) -> Duration {
        let Some(waiters) = self.waiters.get(service) else {
            return Duration::ZERO;
        };
        let ahead = waiters
            .iter()
            .filter(|waiter| waiter.priority <= route.priority)
            .count();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let median = match self.paces.get(&route.name) {
            Some(pace) => pace.median(),
            None => Pace::new(route.objective, false).median(),
        };
        let permits = leafs * self.connection_limit(service);
        median.mul_f64((ahead + 1) as f64 / permits.max(1) as f64)
    }

    /// Returns the most calls that this node may have under way at one leaf of a service.
    fn connection_limit(&self, service: &str) -> usize {
        let spec = self.service_spec(service);
        let all = spec.map_or(FALLBACK_CONNECTIONS, |spec| spec.connections);
        self.shares.connections(all)
    }

    fn service_spec(&self, service: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(service)
    }

    /// Returns whether a cold leaf may get a call now.
    fn is_warm_enough(&self, id: LeafId, service: &str, now: Time) -> bool {
        let is_bounded = self
            .service_spec(service)
            .is_some_and(|spec| spec.cold_rate.is_some());
        !is_bounded
            || !self.directory.is_cold(id, now)
            || self.cold_next.get(&id).is_none_or(|next| *next <= now)
    }

    /// Counts a call to a leaf that may be cold.
    fn note_cold(&mut self, id: LeafId, service: &str, now: Time) {
        let rate = self.service_spec(service).and_then(|spec| spec.cold_rate);
        let Some(rate) = rate else { return };
        if !self.directory.is_cold(id, now) {
            self.cold_next.remove(&id);
            return;
        }
        let share = (rate * self.settings.cold_factor / self.shares.nodes() as f64).max(0.01);
        self.cold_next
            .insert(id, now + Duration::from_secs_f64(1.0 / share));
    }

    /// Sends a call for a shard, or lets it wait for a leaf.
    fn launch(&mut self, token: Token, at: usize, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&token) else {
            return;
        };
        let shard = &job.shards[at];
        let usable = self.directory.usable(&shard.service);
        let untried = usable.iter().filter(|id| !shard.tried.contains(id));
        let untried: SmallVec<[LeafId; 4]> = untried.copied().collect();
        let is_first = shard.tries == 0;
        let leafs = self
            .shifts
            .choose(&shard.service, untried, &self.directory, is_first, now);
        if leafs.is_empty() {
            self.lose(token, at, "no leaf is left", out);
            return;
        }
        let service = shard.service.clone();
        match self.pick(&leafs, &service, now) {
            Some(leaf) => self.send(token, at, leaf, now, out),
            None => self.wait(token, at, now + WAIT_LOOK),
        }
    }

    fn pick(&mut self, leafs: &[LeafId], service: &str, now: Time) -> Option<LeafId> {
        let limit = self.connection_limit(service);
        let warm = leafs
            .iter()
            .copied()
            .filter(|&id| self.is_warm_enough(id, service, now));
        let warm: SmallVec<[LeafId; 4]> = warm.collect();
        self.choice.pick(warm, limit, now, &mut self.rng)
    }

    fn send(&mut self, token: Token, at: usize, leaf: LeafId, now: Time, out: &mut Vec<Action>) {
        let (Some(job), Some(entry)) = (self.jobs.get_mut(&token), self.directory.entry(leaf))
        else {
            return;
        };
        let pace = pace(&mut self.paces, &job.route);
        let id = CallId(self.next_call);
        self.next_call += 1;
        let shard = &mut job.shards[at];
        shard.waiting = false;
        shard.tried.push(leaf);
        shard.open.push(id);
        shard.runs += 1;
        shard.tries += 1;
        shard.sent_at = now;
        shard.look_at = now + pace.overdue();
        let service = shard.service.clone();
        out.push(Action::Send(Send {
            call: id,
            token,
            leaf,
            instance: entry.name.clone(),
            addr: entry.addr,
            budget: job.deadline.since(now),
            once: !job.is_idempotent(),
        }));
        self.counts.calls += 1;
        self.choice.sent(leaf);
        self.calls.insert(
            id,
            Call {
                token,
                shard: at,
                leaf,
                service: service.clone(),
                route: job.route.name.clone(),
                sent_at: now,
                is_overdue: false,
            },
        );
        self.note_cold(leaf, &service, now);
    }

    /// Puts a shard in line for a leaf, and looks at it again at `look_at`.
    fn wait(&mut self, token: Token, at: usize, look_at: Time) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let waiter = Waiter {
            priority: job.route.priority,
            began: job.began,
            token,
            shard: at,
        };
        let shard = &mut job.shards[at];
        shard.look_at = look_at;
        if shard.waiting {
            return;
        }
        shard.waiting = true;
        let line = self.waiters.entry(shard.service.clone()).or_default();
        line.push(waiter);
    }

    /// Gives a leaf that has become free to the most urgent of the oldest waiting shards.
    fn pump(&mut self, service: &Name, now: Time, out: &mut Vec<Action>) {
        let Some(line) = self.waiters.get_mut(service) else {
            return;
        };
        let jobs = &self.jobs;
        line.retain(|waiter| {
            let shard = jobs.get(&waiter.token).map(|job| &job.shards[waiter.shard]);
            shard.is_some_and(|shard| shard.is_open() && shard.waiting)
        });
        line.sort_by_key(|waiter| (waiter.priority, waiter.began));
        let waiters = line.clone();
        if waiters.is_empty() {
            self.waiters.remove(service);
        }
        for waiter in waiters {
            let before = self.counts.calls;
            self.launch(waiter.token, waiter.shard, now, out);
            self.settle(waiter.token, now, out);
            if self.counts.calls == before {
                return;
            }
        }
    }

    /// Decides on a shard after one of its calls ended.
    fn shard_ended(&mut self, call: &Call, end: CallEnd, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&call.token) else {
            return;
        };
        let is_idempotent = job.is_idempotent();
        let shard = &mut job.shards[call.shard];
        let cause = match end {
            CallEnd::Answer(answer) if answer.is_success() => {
                shard.state = ShardState::Done(answer);
                shard.response = Some(now.since(shard.since));
                return;
            }
            CallEnd::Answer(answer) => {
                shard.arrived = true;
                shard.failure = Some(answer);
                "failed"
            }
            CallEnd::Refused | CallEnd::Misdirected => {
                shard.arrived = true;
                shard.runs -= 1;
                job.refused += 1;
                "refused"
            }
            CallEnd::Unsent => {
                shard.runs -= 1;
                "unsent"
            }
            CallEnd::Broken => {
                shard.arrived = true;
                "broken"
            }
        };
        if !shard.open.is_empty() {
            return;
        }
        let may_run = shard.runs == 0 || (is_idempotent && shard.runs < job.route.attempts);
        if !may_run || shard.tries >= MOST_TRIES {
            self.lose(call.token, call.shard, cause, out);
            return;
        }
        self.retry(call, cause, now, out);
    }

    fn retry(&mut self, call: &Call, cause: &'static str, now: Time, out: &mut Vec<Action>) {
        let (token, at) = (call.token, call.shard);
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let shard = &mut job.shards[at];
        if shard.arrived && !self.shares.try_repeat(&call.service, now) {
            self.lose(token, at, "no budget for a retry", out);
            return;
        }
        job.retries += 1;
        self.counts.retries += 1;
        out.push(Action::Note(
            token,
            Note::Retried {
                service: call.service.clone(),
                cause,
            },
        ));
        let usable = self.directory.usable(&call.service);
        let is_untried = |id: &LeafId| !shard.tried.contains(id);
        if shard.runs == 0 && !usable.is_empty() && !usable.iter().any(is_untried) {
            // All leafs refused; one may have room a moment later.
            shard.tried.clear();
            let pause = REFUSED_WAIT * u32::try_from(shard.tries).unwrap_or(1);
            self.wait(token, at, now + pause);
            return;
        }
        self.launch(token, at, now, out);
    }

    fn lose(&mut self, token: Token, at: usize, cause: &'static str, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let shard = &mut job.shards[at];
        shard.waiting = false;
        shard.state = ShardState::Lost(shard.failure.take());
        let service = shard.service.clone();
        out.push(Action::Note(token, Note::Lost { service, cause }));
    }

    /// Looks at the shards of a request whose time has come.
    fn look(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        job.wake = Time::MAX;
        let due: SmallVec<[usize; 8]> = (0..job.shards.len())
            .filter(|&at| job.shards[at].is_open() && job.shards[at].look_at <= now)
            .collect();
        for at in due {
            let is_waiting = self
                .jobs
                .get(&token)
                .is_some_and(|job| job.shards[at].waiting);
            if is_waiting {
                self.launch(token, at, now, out);
            } else {
                self.hedge(token, at, now, out);
            }
        }
        self.settle(token, now, out);
    }

    /// Sends a second call for a shard whose first one is overdue, if that promises something.
    ///
    /// Load pattern: a query to many shards meets a leaf that pauses in most cases; its other replica
    /// answers in the usual time.
    fn hedge(&mut self, token: Token, at: usize, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        let overdue = pace(&mut self.paces, &job.route).overdue();
        let is_idempotent = job.is_idempotent();
        let attempts = job.route.attempts;
        let shard = &mut job.shards[at];
        shard.look_at = now + overdue / 2;
        for id in &shard.open {
            if let Some(call) = self.calls.get_mut(id)
                && !call.is_overdue
            {
                call.is_overdue = true;
                self.choice.overdue(call.leaf);
            }
        }
        if !is_idempotent || shard.runs >= attempts || shard.open.len() > 1 {
            shard.look_at = Time::MAX;
            return;
        }
        let after = now.since(shard.sent_at);
        let service = shard.service.clone();
        let usable = self.directory.usable(&service);
        let sound: SmallVec<[LeafId; 4]> = usable
            .into_iter()
            .filter(|id| !shard.tried.contains(id) && !self.choice.is_doubtful(*id, now))
            .collect();
        let sound = self
            .shifts
            .choose(&service, sound, &self.directory, false, now);
        let Some(leaf) = self.pick(&sound, &service, now) else {
            return;
        };
        if !self.shares.try_repeat(&service, now) {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&token) {
            job.hedges += 1;
        }
        self.counts.hedges += 1;
        if let Some(entry) = self.directory.entry(leaf) {
            let leaf = entry.name.clone();
            let note = Note::Hedged {
                service,
                leaf,
                after,
            };
            out.push(Action::Note(token, note));
        }
        self.send(token, at, leaf, now, out);
    }

    /// Replies if the time has come, or sets the next timer.
    fn settle(&mut self, token: Token, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&token) else {
            return;
        };
        if let Some(reply) = job.reply(now) {
            self.finish(token, reply, now, out);
            return;
        }
        let next = job.next_look(now);
        if next < job.wake {
            job.wake = next;
            self.job_timers.push(Reverse((next, token)));
        }
    }

    fn finish(&mut self, token: Token, reply: Reply, now: Time, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(&token) else {
            return;
        };
        self.count_reply(&reply);
        let sign = job.sign(now);
        if let Some(admission) = self.admission(&job) {
            admission.end(job.usual, sign);
        }
        for id in job.shards.iter().flat_map(|shard| shard.open.iter()) {
            self.linger_timers.push(Reverse((now + LINGER, *id)));
        }
        out.push(Action::Reply(token, reply, job.summary(now)));
    }

    fn reply_early(&mut self, token: Token, reply: Reply, summary: Summary, out: &mut Vec<Action>) {
        self.count_reply(&reply);
        out.push(Action::Reply(token, reply, summary));
    }

    /// Gives a call up and closes its connection.
    fn abandon(&mut self, id: CallId, now: Time, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let elapsed = now.since(call.sent_at);
        self.note_move(&call, &CallEnd::Broken, elapsed);
        let pace = self.paces.get(&call.route);
        let slowness = pace.map_or(1.0, |pace| pace.slowness(elapsed));
        let verdict = Verdict::Abandoned(slowness);
        self.choice.ended(call.leaf, verdict, call.is_overdue, now);
        out.push(Action::Abandon(id));
        self.pump(&call.service, now, out);
    }

    fn retire(&mut self, id: LeafId, out: &mut Vec<Action>) {
        self.choice.forget(id);
        self.cold_next.remove(&id);
        out.push(Action::Retire(id));
    }

    fn judge(&mut self, call: &Call, end: &CallEnd, response: Duration, now: Time) -> Verdict {
        match end {
            CallEnd::Answer(answer) if answer.is_success() => {
                let Some(pace) = self.paces.get_mut(&call.route) else {
                    return Verdict::Good(1.0);
                };
                pace.note(response, now);
                Verdict::Good(pace.slowness(response))
            }
            CallEnd::Answer(_) => Verdict::Failed,
            CallEnd::Refused => Verdict::Refused,
            CallEnd::Misdirected | CallEnd::Unsent | CallEnd::Broken => Verdict::Broken,
        }
    }

    /// Counts the end of a call as evidence on the version of its leaf.
    fn note_move(&mut self, call: &Call, end: &CallEnd, response: Duration) {
        let failed = match end {
            CallEnd::Answer(answer) => !answer.is_success(),
            CallEnd::Broken => true,
            CallEnd::Refused | CallEnd::Misdirected | CallEnd::Unsent => return,
        };
        let pace = self.paces.get(&call.route);
        let slow = pace.is_some_and(|pace| pace.is_slow(response));
        let version = self.directory.entry(call.leaf).map(|e| &e.version);
        let outcome = Outcome { failed, slow };
        self.shifts
            .note(&call.service, &call.route, version, outcome);
    }

    fn decide_moves(&mut self, now: Time, out: &mut Vec<Action>) {
        let decisions = self.shifts.decide(now);
        out.extend(decisions.into_iter().map(Action::Move));
    }

    fn count_end(&mut self, end: &CallEnd) {
        match end {
            CallEnd::Answer(_) => {}
            CallEnd::Refused | CallEnd::Misdirected => self.counts.refused += 1,
            CallEnd::Unsent => self.counts.unsent += 1,
            CallEnd::Broken => self.counts.broken += 1,
        }
    }

    fn count_reply(&mut self, reply: &Reply) {
        let counts = &mut self.counts;
        match reply {
            Reply::Merged { missing: 0, .. } | Reply::Answer(_) => counts.answered += 1,
            Reply::Merged { .. } => counts.partial += 1,
            Reply::Rejected { .. } => counts.rejected += 1,
            Reply::Failed(_) => counts.failed += 1,
            Reply::TimedOut => counts.timed_out += 1,
            Reply::NoRoute => counts.no_route += 1,
        }
    }
}

fn pace<'a>(paces: &'a mut HashMap<Name, Pace>, route: &Route) -> &'a mut Pace {
    paces.entry(route.name.clone()).or_insert_with(|| {
        let has_shards = matches!(route.target, Target::FanOut(..));
        Pace::new(route.objective, has_shards)
    })
}
