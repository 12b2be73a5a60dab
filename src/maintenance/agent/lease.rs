//! The lease that this forwarder holds: it is adopted when it appears in the ledger, and ends by
//! its clock, by a cancellation or by its loss.

use super::{Agent, Output, OwnLease, Stage};
use crate::maintenance::ledger::{Lease, PlanState};
use crate::Micros;

/// A lease that is not adopted within this time of its request is not used.
pub(super) const LEASE_CLAIM_TIMEOUT: Micros = Micros(5_000_000);

impl Agent {
    /// Ends the lease by its clock, by a cancellation, or because the ledger does not contain it any
    /// more.
    pub(super) fn update_lease(&mut self, now: Micros, out: &mut Vec<Output>) {
        let Some(mut own) = self.own_lease else { return };
        let granted = self.ledger.lease(&self.me).filter(|lease| lease.fence == own.fence);
        if granted.is_none() && self.ledger.version >= own.fence.0 {
            // Written off, or released by a message of this forwarder whose answer was lost.
            if own.stage.is_out() {
                out.push(Output::Log(format!(
                    "maintenance: lease {} is not in the ledger any more: back in service",
                    own.fence.0
                )));
                out.push(Output::EndDrain);
            }
            self.own_lease = None;
            return;
        }
        let plan = granted.and_then(|lease| self.ledger.plan(&lease.plan));
        let cancelled = plan.is_some_and(|plan| plan.state == PlanState::Cancelled);
        // Operators may have ended the drain: the work is done.
        let ended = own.stage.is_out() && !self.process.draining;
        if own.stage.is_out() && (now >= own.until || cancelled || ended) {
            let reason = match (ended, cancelled) {
                (true, _) => "the drain has ended",
                (_, true) => "the plan is cancelled",
                _ => "its window is over",
            };
            out.push(Output::Log(format!("maintenance: back in service, lease {}: {reason}", own.fence.0)));
            out.push(Output::EndDrain);
            own.stage = Stage::Returning(None);
        } else if own.stage == Stage::Leaving && self.process.drained {
            let left = own.until.minus(now).0 / 1_000_000;
            out.push(Output::Log(format!(
                "maintenance: out of service, lease {}: back in {left} s at the latest",
                own.fence.0
            )));
            own.stage = Stage::Out;
        }
        if let Stage::Returning(since) = &mut own.stage {
            let stable = self.process.in_service && self.process.settled;
            *since = if stable { Some(since.unwrap_or(now)) } else { None };
        }
        self.own_lease = Some(own);
    }

    /// Adopts a lease of this forwarder in the ledger. It was requested just now, or by an earlier
    /// process.
    pub(super) fn adopt_lease(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.own_lease.is_some() {
            return;
        }
        let Some(Lease { fence, generation, plan, .. }) = self.ledger.lease(&self.me).cloned() else {
            return;
        };
        let window = self.ledger.plan(&plan).map_or(Micros(0), |plan| plan.window);
        let requested_at = self.lease_requested_at.take().filter(|_| generation == self.generation);
        let usable = requested_at.filter(|&at| now < at.plus(LEASE_CLAIM_TIMEOUT));
        let (until, stage) = match usable {
            Some(at) => {
                out.push(Output::Log(format!(
                    "maintenance: going out under plan {plan}, lease {}, for {} s",
                    fence.0,
                    window.0 / 1_000_000
                )));
                out.push(Output::Drain(fence));
                (at.plus(window), Stage::Leaving)
            }
            None => {
                let reason =
                    if requested_at.is_some() { "it arrived too late" } else { "an earlier process held it" };
                out.push(Output::Log(format!("maintenance: lease {} is released: {reason}", fence.0)));
                (now, if requested_at.is_some() { Stage::Unused } else { Stage::Returning(None) })
            }
        };
        self.own_lease = Some(OwnLease { fence, until, stage });
    }
}
