//! Version moves: choice of the version for each request, and coordination of the moves by one node.
//!
//! The member of lowest identity that reaches the store coordinates the moves of its cell. It has no
//! state that must survive its loss: the step of a move is in the store, and each report of a node
//! contains all of the node's counts.

use std::time::Duration;

use bytes::Bytes;
use monsoondeal_core::{NodeId, Time};
use monsoondeal_moves::{CoordinatorState, Evidence, Grant, Outcome, Progress};
use monsoondeal_route::Answer;

use crate::config::ServiceVersion;
use crate::context::Context;
use crate::event::Origin;
use crate::io::Output;
use crate::local_move::LocalMove;
use crate::message::{Message, MoveReport, StoredMove};
use crate::objects::move_key;

/// Time after which a write of a record that has not ended is repeated.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);

impl Context {
    /// Returns the version for the next request of a service, or `None` if the service has no version
    /// move.
    pub(crate) fn pick_version(&mut self, service: &str, now: Time) -> Option<ServiceVersion> {
        let local_move = self.moves.get_mut(service)?;
        let next = self.config.maps.get(service)?.new_plan.as_ref()?;
        if next.snapshot != local_move.record.to {
            return None;
        }
        match local_move.record.progress {
            Progress::Running { .. } if local_move.agent.pick_new(now) => Some(ServiceVersion::New),
            Progress::Done => Some(ServiceVersion::New),
            Progress::Running { .. } | Progress::Reversed { .. } => Some(ServiceVersion::Old),
        }
    }

    /// Counts the outcome of a request during a move, and reports it to the coordinator.
    pub(crate) fn record_outcome(
        &mut self,
        service: &str,
        kind: &str,
        version: ServiceVersion,
        answer: &Answer<Bytes>,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let Some(local_move) = self.moves.get_mut(service) else {
            return;
        };
        if !local_move.record.is_running() {
            return;
        }
        let new = version == ServiceVersion::New;
        let failed = answer.errors > 0 || answer.coverage.answered == 0;
        let slow = local_move.is_slow(kind, new, answer.elapsed);
        let stopped = local_move.agent.record(kind, new, Outcome { failed, slow });
        if stopped {
            self.send_to_coordinator(Message::MoveStop(service.to_owned()), now, out);
        }
        self.report_move(service, now, out);
    }

    /// Applies the record of a move unless it is older than or equal to the known one. Returns
    /// whether it was applied.
    pub(crate) fn apply_move(&mut self, stored: StoredMove) -> bool {
        let service = stored.record.service.clone();
        match self.moves.get_mut(&service) {
            Some(known) if stored.revision <= known.revision => false,
            // The same move continues, so the counts are kept.
            Some(known) if stored.record.start == known.record.start => {
                known.revision = stored.revision;
                known.record = stored.record;
                known.write_started = None;
                true
            }
            _ => {
                self.moves.insert(service, LocalMove::new(stored));
                true
            }
        }
    }

    /// Sends reports and stops, and advances the moves that this node coordinates.
    pub(crate) fn update_moves(&mut self, now: Time, out: &mut Vec<Output>) {
        let services: Vec<String> = self.moves.keys().cloned().collect();
        for service in services {
            self.resend_stop(&service, now, out);
            self.report_move(&service, now, out);
            self.coordinate_move(&service, now, out);
        }
    }

    pub(crate) fn on_move_report(
        &mut self,
        from: Origin,
        node: NodeId,
        report: MoveReport,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        if self.coordinator_node(now) != Some(self.settings.me.node) {
            return;
        }
        let wall = self.settings.wall;
        let Some(local_move) = self.moves.get_mut(&report.service) else {
            return;
        };
        if !local_move.record.is_running() {
            return;
        }
        let coordinator = local_move.coordinator(wall);
        coordinator.on_report(node, report.evidence, now);
        // Even a share of 1 doesn't end the move: the nodes treat it as done only after its record has
        // been written, see `pick_version`.
        let share = coordinator.share();
        let grant = Message::MoveGrant {
            service: report.service.clone(),
            report_sent: report.sent,
            share,
        };
        match from {
            Origin::Local => self.on_move_grant(&report.service, report.sent, share),
            Origin::Link(link) => out.push(Output::ToLink(link, grant)),
        }
        self.coordinate_move(&report.service, now, out);
    }

    pub(crate) fn on_move_grant(&mut self, service: &str, report_sent: u64, share: f64) {
        if let Some(local_move) = self.moves.get_mut(service) {
            local_move
                .agent
                .on_grant(Grant { share }, Time::from_micros(report_sent));
        }
    }

    /// Handles the stop of a move by the coordinator, or by another node on its own evidence.
    pub(crate) fn on_move_stop(
        &mut self,
        service: &str,
        node: NodeId,
        now: Time,
        out: &mut Vec<Output>,
    ) {
        let coordinator = self.coordinator_node(now);
        let Some(local_move) = self.moves.get_mut(service) else {
            return;
        };
        if Some(node) == coordinator {
            local_move.agent.stop();
        }
        if coordinator == Some(self.settings.me.node) && local_move.record.is_running() {
            local_move
                .coordinator(self.settings.wall)
                .on_node_stop(node);
        }
        self.coordinate_move(service, now, out);
    }

    /// Returns the node that coordinates the version moves of the cell.
    fn coordinator_node(&self, now: Time) -> Option<NodeId> {
        self.cell.members_with_store(now).first().copied()
    }

    fn report_move(&mut self, service: &str, now: Time, out: &mut Vec<Output>) {
        let Some(local_move) = self.moves.get_mut(service) else {
            return;
        };
        if !local_move.record.is_running() {
            return;
        }
        let Some(evidence) = local_move.agent.due_report(now) else {
            return;
        };
        let evidence: Evidence = evidence.clone();
        let report = MoveReport {
            service: service.to_owned(),
            sent: now.as_micros(),
            evidence,
        };
        self.send_to_coordinator(Message::MoveReport(Box::new(report)), now, out);
    }

    fn send_to_coordinator(&mut self, message: Message, now: Time, out: &mut Vec<Output>) {
        let Some(coordinator) = self.coordinator_node(now) else {
            return;
        };
        let me = self.settings.me.node;
        if coordinator == me {
            match message {
                Message::MoveReport(report) => {
                    self.on_move_report(Origin::Local, me, *report, now, out);
                }
                Message::MoveStop(service) => self.on_move_stop(&service, me, now, out),
                _ => {}
            }
            return;
        }
        if let Some(addr) = self.reachable_addr(coordinator, now) {
            self.counts.control_messages += 1;
            out.push(Output::ToPeer(addr, message));
        }
    }

    /// Reports the stop of a move at this node to the coordinator again until the record shows it: an
    /// earlier coordinator may have been lost before it wrote the record.
    fn resend_stop(&mut self, service: &str, now: Time, out: &mut Vec<Output>) {
        let Some(local_move) = self.moves.get(service) else {
            return;
        };
        if local_move.record.is_running() && local_move.agent.is_stopped() {
            self.send_to_coordinator(Message::MoveStop(service.to_owned()), now, out);
        }
    }

    /// Evaluates a move that this node coordinates, and writes the record if the state has changed.
    fn coordinate_move(&mut self, service: &str, now: Time, out: &mut Vec<Output>) {
        let wall = self.settings.wall;
        let is_coordinator = self.coordinator_node(now) == Some(self.settings.me.node);
        let Some(local_move) = self.moves.get_mut(service) else {
            return;
        };
        if !is_coordinator || !local_move.record.is_running() {
            local_move.coordinator = None;
            return;
        }
        let Some(coordinator) = &mut local_move.coordinator else {
            return;
        };
        coordinator.evaluate(now);
        let state = coordinator.state().clone();
        let next = local_move.record.with_state(&state, wall);
        if next == local_move.record {
            return;
        }
        let reversed = matches!(state, CoordinatorState::Reversed(_));
        if local_move
            .write_started
            .is_some_and(|at| now < at + WRITE_TIMEOUT)
        {
            return;
        }
        local_move.write_started = Some(now);
        let revision = local_move.revision;
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        self.counts.store_calls += 1;
        let key = move_key(service);
        out.push(Output::Write {
            key,
            expects: Some(revision),
            value: Bytes::from(value),
        });
        if reversed {
            self.broadcast_stop(service, out);
        }
    }

    /// Stops a move at every node, without waiting for the write to the store.
    fn broadcast_stop(&mut self, service: &str, out: &mut Vec<Output>) {
        if let Some(local_move) = self.moves.get_mut(service) {
            local_move.agent.stop();
        }
        for addr in self.peers_up() {
            self.counts.control_messages += 1;
            out.push(Output::ToPeer(addr, Message::MoveStop(service.to_owned())));
        }
    }
}
