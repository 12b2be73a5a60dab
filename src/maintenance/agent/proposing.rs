//! Chooses the change of the ledger that this forwarder proposes next: an operators' request, the
//! end of its own lease, a lease for its turn to go out of service, or the clean-up after
//! forwarders that are dead.

use super::lease::LEASE_CLAIM_TIMEOUT;
use super::{
    Agent, Failure, FleetView, Output, Stage, IDLE_POLL_INTERVAL, RETRANSMIT_INTERVAL, STABLE_SERVICE_TIME,
};
use crate::maintenance::ledger::{Change, MaintenancePlan, MemberStatus};
use crate::maintenance::register::Acceptor;
use crate::maintenance::Fence;
use crate::membership::State;
use crate::Micros;

/// Time between the end of a lease's window and its write-off, at least.
const WRITE_OFF_GRACE: Micros = Micros(10_000_000);

impl Agent {
    /// Drives the proposal in progress: retransmits its request, or abandons it.
    pub(super) fn drive_proposal(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(active) = &mut self.active else { return };
        if now >= active.abandon_at {
            return self.abandon_proposal(now);
        }
        if now >= active.retransmit_at {
            active.retransmit_at = now.plus(RETRANSMIT_INTERVAL);
            if let Some(message) = active.proposal.current_request() {
                self.to_voters(&message, out);
            }
        }
    }

    /// Starts the next proposal, if there is a change to propose.
    pub(super) fn propose(&mut self, now: Micros, view: &impl FleetView, out: &mut Vec<Output>) {
        while let Some(request) = self.requests.pop_front() {
            if now < request.until {
                return self.start_proposal(now, request.change.clone(), Some(request), out);
            }
            out.push(Output::Answer(request.token, Err(Failure::NoMajority)));
        }
        if let Some(change) = self.next_change(now, view, out) {
            if matches!(change, Change::GrantLease { .. }) {
                self.lease_requested_at.get_or_insert(now);
            }
            self.start_proposal(now, change, None, out);
        }
    }

    fn next_change(&mut self, now: Micros, view: &impl FleetView, out: &mut Vec<Output>) -> Option<Change> {
        if let Some(mine) = self.own_lease {
            return match mine.stage {
                Stage::Unused => Some(Change::AbandonLease(self.me.clone(), mine.fence)),
                Stage::Returning(Some(since)) if now.minus(since) >= STABLE_SERVICE_TIME => {
                    Some(Change::ReturnLease(self.me.clone(), mine.fence))
                }
                _ => None,
            };
        }
        if self.lease_requested_at.is_some_and(|at| now >= at.plus(LEASE_CLAIM_TIMEOUT)) {
            // It is too late to use the lease. First it has to be certain that no lease is or will be granted
            // to this forwarder.
            return Some(no_op());
        }
        if let Some(change) = self.lease_request(now, view) {
            return Some(change);
        }
        if !self.voters.contains(&self.me) {
            return None;
        }
        // The accepted ledger is ahead of the latest one known to be committed. A proposal without effect
        // shows which ledger is committed.
        let accepted_is_ahead = self
            .acceptor
            .as_ref()
            .and_then(Acceptor::accepted)
            .is_some_and(|ledger| ledger.version > self.ledger.version);
        if !accepted_is_ahead && self.ledger_received_at.is_some() {
            self.uncommitted_since = None;
        } else if now.minus(*self.uncommitted_since.get_or_insert(now)) >= IDLE_POLL_INTERVAL {
            self.uncommitted_since = Some(now);
            return Some(no_op());
        }
        self.overdue_lease(now, view, out).or_else(|| self.finished_plan(now))
    }

    /// Requests a lease if it is this forwarder's turn: all forwarders before it are done, out of
    /// service, or not alive in the local view.
    fn lease_request(&self, now: Micros, view: &impl FleetView) -> Option<Change> {
        if !self.process.in_service || !self.process.settled || self.process.draining {
            return None;
        }
        let (fleet, alive) = view.counts();
        let has_turn = |plan: &&MaintenancePlan| {
            self.ledger.check_eligible(&plan.id, &self.me, now, (fleet, alive)).is_ok() && {
                let order = plan.lease_order(&self.ledger.lease_counts);
                let is_waiting = |name: &&&str| {
                    plan.status_of(name) == Some(MemberStatus::Pending)
                        && self.ledger.lease(name).is_none()
                        && (**name == self.me || view.state(name) == Some(State::Alive))
                };
                order.iter().find(is_waiting).is_some_and(|first| *first == self.me)
            }
        };
        let plan = self.ledger.plans.iter().find(has_turn)?;
        let (name, generation) = (self.me.clone(), self.generation);
        Some(Change::GrantLease { plan: plan.id.clone(), name, generation, now, fleet, alive })
    }

    /// Writes off a lease whose window ended long ago by the local clock and whose holder is dead.
    fn overdue_lease(&mut self, now: Micros, view: &impl FleetView, out: &mut Vec<Output>) -> Option<Change> {
        for lease in &self.ledger.leases {
            let window = self.ledger.plan(&lease.plan).map_or(Micros(0), |plan| plan.window);
            let seen_at = self.lease_seen_at.get(&lease.fence).copied().unwrap_or(now);
            if now < seen_at.plus(window).plus(WRITE_OFF_GRACE) {
                continue;
            }
            let dead = !matches!(view.state(&lease.name), Some(State::Alive | State::Suspect));
            if dead && lease.name != self.me {
                return Some(Change::WriteOffLease(lease.name.clone(), lease.fence));
            }
            if !self.overdue_leases.contains(&lease.fence) {
                self.overdue_leases.push(lease.fence);
                out.push(Output::Log(format!(
                    "maintenance: {} is not back in service though its window is over: it still counts as out, and no other forwarder takes its place",
                    lease.name
                )));
            }
        }
        None
    }

    fn finished_plan(&self, now: Micros) -> Option<Change> {
        let can_close =
            |plan: &&MaintenancePlan| self.ledger.apply(&Change::ClosePlan(plan.id.clone(), now)).is_ok();
        self.ledger.plans.iter().find(can_close).map(|plan| Change::ClosePlan(plan.id.clone(), now))
    }
}

/// A change that is always refused: the refusal shows which ledger is committed.
fn no_op() -> Change {
    Change::ReturnLease(String::new(), Fence(0))
}
