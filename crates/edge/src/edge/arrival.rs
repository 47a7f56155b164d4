//! Arrival of requests: routing, early rejection and admission.

use std::rc::Rc;
use std::time::Duration;

use monsoondeal_core::Time;
use rand::RngExt;
use smallvec::SmallVec;

use super::{Edge, tracker};
use crate::action::{Action, Reply, RequestEvent, RequestHead, SegmentHead, Summary, Token};
use crate::admission::Admission;
use crate::config::{Config, Name, Route, Target};
use crate::plan::{PlanId, QueryPlan};
use crate::proof::NeverRan;
use crate::request::{BUSY_RETRY_AFTER, NO_LEAF_RETRY_AFTER, PendingRequest, min_shards};
use crate::response_tracker::ResponseTracker;
use crate::segment::{
    CALL_CPU_TIME, MIN_CORES, SEGMENT_ROUND_TRIP, is_segment, saves_time, segment_name,
    segment_range, shards_digest,
};

/// Maximum expected wait for a leaf, as a share of the objective.
pub(super) const QUEUE_SHARE: f64 = 0.5;
/// Processor time reserved for merging the answers of segments and writing the response.
const MERGE_CPU_TIME: Duration = Duration::from_micros(600);
/// `retry_after` while no configuration is known, or for a segment whose plan is not in force.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Services or segments that a request needs answers from.
pub(super) struct Targets {
    /// Services, or segments, each with the number of shards that it stands for.
    services: Vec<(Name, usize)>,
    /// Plan whose shards are cut into segments, if they are.
    split: Option<PlanId>,
}

impl Targets {
    /// Returns targets that this node calls directly.
    fn direct<'a, S>(services: S) -> Self
    where
        S: IntoIterator<Item = &'a Name>,
    {
        let services = services.into_iter().map(|service| (service.clone(), 1));
        Self {
            services: services.collect(),
            split: None,
        }
    }

    /// Returns the key under which the response times of the calls are tracked.
    fn tracker_key(&self, route: &Route) -> Name {
        match self.split {
            Some(_) => Name::from(format!("{} by segments", route.name)),
            None => route.name.clone(),
        }
    }
}

impl Edge {
    /// Begins to serve a request of a caller.
    pub fn request(&mut self, head: &RequestHead<'_>, now: Time, out: &mut Vec<Action>) {
        self.counts.requests += 1;
        let token = head.token;
        let Some(config) = self.known_config() else {
            self.reply_early(token, unknown_config(), Summary::default(), out);
            return;
        };
        let Some(route) = config.route(head.host, head.path) else {
            let summary = Summary {
                version: config.version,
                ..Summary::default()
            };
            self.reply_early(token, Reply::NoRoute, summary, out);
            return;
        };
        let targets = self.resolve(route, now);
        self.count_requests(&targets.services, now);
        if let Some(reply) = self.rejection(route, &targets, false, now) {
            let summary = early_summary(&config, route, &targets);
            self.reply_early(token, reply, summary, out);
            return;
        }
        let timeout = head.timeout.unwrap_or(route.timeout);
        let services = &targets.services;
        let mut request =
            PendingRequest::new(route.clone(), config.version, services, timeout, now);
        if head.is_first {
            request.reserve_setup_time();
        }
        self.apply_split(&mut request, &targets);
        self.begin(token, request, now, out);
    }

    /// Begins to serve a segment of a query for another node. It is run as its plan says, or rejected as not run if
    /// the configuration in force does not have that plan.
    pub fn segment(&mut self, head: &SegmentHead, now: Time, out: &mut Vec<Action>) {
        self.counts.requests += 1;
        let (token, call) = (head.token, &head.call);
        let Some(config) = self.known_config() else {
            self.reply_early(token, unknown_config(), Summary::default(), out);
            return;
        };
        let plan = config.plan(call.plan);
        let Some((plan, range)) =
            plan.and_then(|plan| Some((plan, call.range(plan.shards().len())?)))
        else {
            self.counts.unknown_plans += 1;
            let event = RequestEvent::UnknownPlan {
                plan: call.plan,
                asked_version: call.version,
                version: config.version,
            };
            out.push(Action::Log(token, event));
            let reply = Reply::Rejected {
                proof: NeverRan::before_any_call(),
                reason: "the plan of the segment is not in force",
                retry_after: NO_CONFIG_RETRY_AFTER,
            };
            let summary = Summary {
                version: config.version,
                ..Summary::default()
            };
            self.reply_early(token, reply, summary, out);
            return;
        };
        let route = plan.route();
        let targets = Targets::direct(&plan.shards()[range]);
        if let Some(reply) = self.rejection(route, &targets, true, now) {
            let summary = early_summary(&config, route, &targets);
            self.reply_early(token, reply, summary, out);
            return;
        }
        // Counted only now: another node may be asked for a rejected segment, and counts the request then.
        self.count_requests(&targets.services, now);
        let timeout = head.timeout.unwrap_or(route.timeout);
        let services = &targets.services;
        let mut request =
            PendingRequest::new(route.clone(), config.version, services, timeout, now);
        request.from_peer = true;
        request.answer_by = now + call.timeout;
        self.begin(token, request, now, out);
    }

    /// Returns the configuration if the node knows enough to serve requests.
    fn known_config(&self) -> Option<Rc<Config>> {
        self.config.clone().filter(|_| self.is_ready())
    }

    /// Sends the first calls of an accepted request.
    fn begin(
        &mut self,
        token: Token,
        mut request: PendingRequest,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        request.unloaded_time =
            tracker(&mut self.trackers, &request.tracker_key, &request.route).unloaded_time();
        if let Some(admission) = self.admission(&request) {
            admission.begin(request.unloaded_time);
        }
        let count = request.shards.len();
        self.pending.insert(token, request);
        for shard in 0..count {
            self.dispatch(token, shard, now, out);
        }
        self.reply_or_schedule(token, now, out);
    }

    /// Counts a request for each service whose calls this node may repeat.
    fn count_requests(&mut self, services: &[(Name, usize)], now: Time) {
        // The nodes that serve a segment repeat its calls themselves.
        for (service, _) in services.iter().filter(|(name, _)| !is_segment(name)) {
            let callers = self.caller_count(service);
            self.shares.count_request(service, callers, now);
        }
    }

    /// Returns the targets of a caller's request.
    fn resolve(&mut self, route: &Rc<Route>, now: Time) -> Targets {
        let Some(plan) = QueryPlan::of(route) else {
            return match &route.target {
                Target::Split(parts) => {
                    let service = self.splits.next(&route.name, parts);
                    Targets::direct(&service)
                }
                Target::Service(service) => Targets::direct([service]),
                Target::FanOut(shards, _) => Targets::direct(shards),
            };
        };
        let shards = plan.shards();
        if !self.needs_segments(shards) {
            return Targets::direct(shards);
        }
        let digest = shards_digest(shards);
        let count = shards.len().div_ceil(self.segment_size);
        let segments = (0..count).map(|index| {
            let name = segment_name(digest, index);
            self.add_segment_leafs(&name, now);
            (name, segment_range(index, count, shards.len()).len())
        });
        Targets {
            services: segments.collect(),
            split: Some(plan.id()),
        }
    }

    /// Returns whether a query is split into segments: its leafs accept fewer connections than there are nodes, or
    /// one node would take too long for all calls.
    pub(super) fn needs_segments(&self, shards: &[Name]) -> bool {
        let first = shards.first().and_then(|shard| self.service_spec(shard));
        let is_short = first.is_some_and(|spec| spec.connections < self.peers.len());
        is_short || saves_time(shards.len(), self.segment_size, &self.peers)
    }

    /// Applies the segments of a query, if it is split, to the times and calls of a request.
    fn apply_split(&self, request: &mut PendingRequest, targets: &Targets) {
        if targets.split.is_some() {
            let segments = targets.services.len() as u32;
            request.answer_by =
                (request.answer_by - self.wall_time(MERGE_CPU_TIME)).max(request.received_at);
            request.reply_reserve = SEGMENT_ROUND_TRIP + self.wall_time(CALL_CPU_TIME * segments);
        }
        request.split = targets.split;
        request.tracker_key = targets.tracker_key(&request.route);
    }

    /// Returns how long this node takes for an amount of processor time.
    fn wall_time(&self, work: Duration) -> Duration {
        work.div_f64(self.settings.cores.clamp(MIN_CORES, 1.0))
    }

    /// Returns the rejection of a request that cannot be served in time.
    ///
    /// Load pattern: all leafs of some shards are down, or the remaining ones cannot keep up. A request
    /// that waits for such leafs is answered too late anyway and delays others.
    pub(super) fn rejection(
        &mut self,
        route: &Rc<Route>,
        targets: &Targets,
        from_peer: bool,
        now: Time,
    ) -> Option<Reply> {
        let services = &targets.services;
        let needed = match &route.target {
            Target::FanOut(..) if from_peer => 1,
            Target::FanOut(_, gather) => min_shards(services.len(), gather.min_coverage),
            Target::Service(_) | Target::Split(_) => 1,
        };
        let limit = route.objective.mul_f64(QUEUE_SHARE);
        // Times after which the services without a leaf to call may have one.
        let mut returns: SmallVec<[Duration; 4]> = SmallVec::new();
        let mut has_break = false;
        let mut overloaded = 0;
        let mut longest_wait = Duration::ZERO;
        for (service, _) in services {
            let leafs = self.callable(service, now);
            if leafs.is_empty() {
                let Some(return_at) = self.first_return(service, now) else {
                    self.moves.call_missed(service);
                    returns.push(NO_LEAF_RETRY_AFTER);
                    continue;
                };
                let wait = return_at.since(now);
                if wait > limit {
                    has_break = true;
                    returns.push(wait);
                }
                continue;
            }
            let wait = self.expected_wait(service, leafs.len(), route);
            if wait > limit {
                overloaded += 1;
                longest_wait = longest_wait.max(wait);
            }
        }
        let unavailable = returns.len();
        if let Some(lacking) = (needed + unavailable).checked_sub(services.len() + 1) {
            returns.sort();
            let reason = if has_break {
                "the leafs of too many shards want no calls"
            } else {
                "no leaf is known for too many shards"
            };
            return Some(Reply::Rejected {
                proof: NeverRan::before_any_call(),
                reason,
                // When as many services as are lacking may have a leaf again.
                retry_after: returns[lacking],
            });
        }
        if services.len() < needed + unavailable + overloaded {
            return Some(Reply::Rejected {
                proof: NeverRan::before_any_call(),
                reason: "the leafs are behind",
                retry_after: longest_wait.max(BUSY_RETRY_AFTER),
            });
        }
        let Target::FanOut(shards, _) = &route.target else {
            return None;
        };
        if from_peer {
            return None;
        }
        let unloaded_time =
            tracker(&mut self.trackers, &targets.tracker_key(route), route).unloaded_time();
        let admission = self.admissions.get_mut(shards.first()?)?;
        if admission.admits(unloaded_time, route.priority) {
            return None;
        }
        let factor = self.rng.random_range(0.5..1.5);
        Some(Reply::Rejected {
            proof: NeverRan::before_any_call(),
            reason: "too many queries are under way",
            retry_after: route.objective.mul_f64(factor),
        })
    }

    /// Returns the admission limit that a query counts against.
    pub(super) fn admission(&mut self, request: &PendingRequest) -> Option<&mut Admission> {
        let key = request.admission_key()?;
        if !self.admissions.contains_key(key) {
            self.admissions
                .insert(key.clone(), Admission::new(request.unloaded_time));
        }
        self.admissions.get_mut(key)
    }

    /// Returns the expected time that a call to a service waits for a leaf.
    pub(super) fn expected_wait(&self, service: &Name, leafs: usize, route: &Route) -> Duration {
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
        let median = match self.trackers.get(&route.name) {
            Some(tracker) => tracker.median(),
            None => ResponseTracker::new(route.objective, false).median(),
        };
        let permits = leafs * self.connection_limit(service);
        median.mul_f64((ahead + 1) as f64 / permits.max(1) as f64)
    }

    pub(super) fn reply_early(
        &mut self,
        token: Token,
        reply: Reply,
        summary: Summary,
        out: &mut Vec<Action>,
    ) {
        self.count_reply(&reply);
        out.push(Action::Reply(token, reply, summary));
    }
}

/// Returns the rejection of a request that arrives before the configuration.
fn unknown_config() -> Reply {
    Reply::Rejected {
        proof: NeverRan::before_any_call(),
        reason: "no configuration is known",
        retry_after: NO_CONFIG_RETRY_AFTER,
    }
}

/// Returns the summary of a request that is rejected before any call.
fn early_summary(config: &Config, route: &Route, targets: &Targets) -> Summary {
    Summary {
        route: Some(route.name.clone()),
        version: config.version,
        shards: targets.services.len(),
        ..Summary::default()
    }
}
