//! The replicated ledger: maintenance plans and the leases of forwarders that are out of service.
//! Each change is a rule applied to the ledger that a majority holds. The program, the lab and the
//! model checker use the same functions.

use super::Fence;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Plans that may be unfinished at once.
pub const MAX_UNFINISHED_PLANS: usize = 4;
/// Closed plans that are kept.
const MAX_CLOSED_PLANS: usize = 4;
/// Forwarders in one plan.
pub const MAX_PLAN_MEMBERS: usize = 1_024;

/// Limits on the number of forwarders that are out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutageLimits {
    /// Forwarders out at once, over all plans.
    pub at_most: u32,
    /// Minimum share of the fleet that stays in service, in thousandths; 0 means no minimum.
    #[serde(rename = "in_service")]
    pub in_service_permille: u16,
}

/// Progress of one forwarder in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It is waiting for its turn, or out of service now.
    #[serde(rename = "Not")]
    Pending,
    /// It has been out of service and has returned.
    #[serde(rename = "Back")]
    Returned,
    /// It died while out of service, and its lease was written off.
    WrittenOff,
}

/// State of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PlanState {
    /// Forwarders go out of service in turn.
    Open,
    /// No more forwarders go out of service; those that are out return at once.
    Cancelled,
    /// It is finished.
    #[serde(rename = "Over")]
    Closed,
}

/// The operators' request to take a set of forwarders out of service, and its progress.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MaintenancePlan {
    /// Unique among all plans.
    pub id: String,
    /// Names of the forwarders.
    pub names: Vec<String>,
    /// Status of each forwarder, in the order of `names`.
    #[serde(rename = "done")]
    pub statuses: Vec<MemberStatus>,
    #[allow(missing_docs)]
    #[serde(rename = "bound")]
    pub limits: OutageLimits,
    /// Maximum time that each forwarder is out of service.
    pub window: Micros,
    /// Deadline in Unix time: no forwarder goes out of service after it.
    pub until: Micros,
    #[allow(missing_docs)]
    #[serde(rename = "standing")]
    pub state: PlanState,
}

/// Permits a forwarder to be out of service. The forwarder is out, or may go out at any moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lease {
    #[allow(missing_docs)]
    pub name: String,
    /// Incarnation of the process that requested the lease.
    pub generation: u64,
    /// Id of the plan that the lease belongs to.
    #[serde(rename = "round")]
    pub plan: String,
    #[allow(missing_docs)]
    pub fence: Fence,
    /// Unix time of the request; shown to operators.
    #[serde(rename = "since")]
    pub requested_at: Micros,
}

/// Plans and leases, as a majority of the voters has accepted them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Increases with each change.
    pub version: u64,
    /// In the order in which they were added.
    #[serde(rename = "rounds")]
    pub plans: Vec<MaintenancePlan>,
    /// Leases of the forwarders that are out of service.
    #[serde(rename = "out")]
    pub leases: Vec<Lease>,
    /// Completed leases of each forwarder, minus the count of the forwarder that has had the fewest.
    #[serde(rename = "turns")]
    pub lease_counts: BTreeMap<String, u32>,
}

/// A proposed change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Adds a plan.
    AddPlan(MaintenancePlan),
    /// Cancels the plan of this id: no more forwarders go out of service under it.
    CancelPlan(String),
    /// Grants a lease: the forwarder goes out of service.
    GrantLease {
        #[allow(missing_docs)]
        plan: String,
        #[allow(missing_docs)]
        name: String,
        #[allow(missing_docs)]
        generation: u64,
        /// Unix time of the request.
        now: Micros,
        /// Members of the fleet as this forwarder sees them, including the dead that are remembered.
        fleet: u32,
        #[allow(missing_docs)]
        alive: u32,
    },
    /// Ends a lease: the forwarder is back in service.
    ReturnLease(String, Fence),
    /// Ends a lease that arrived too late to be used. The forwarder was not out; its turn is still to
    /// come.
    AbandonLease(String, Fence),
    /// Ends the lease of a forwarder that is dead and whose window has passed.
    WriteOffLease(String, Fence),
    /// Closes a plan that has no forwarder out: all of its forwarders are done, or it is cancelled, or
    /// its deadline has passed at this time.
    ClosePlan(String, Micros),
}

/// Reason for which the ledger rules refuse a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The same plan exists already.
    PlanExists,
    /// Another plan has this id.
    IdInUse,
    /// The maximum number of plans is unfinished.
    TooManyPlans,
    /// No open plan has this id.
    NoSuchPlan,
    /// The forwarder is not in the plan, is done, or holds a lease already.
    NotEligible,
    /// The deadline of the plan has passed.
    DeadlinePassed,
    /// The maximum number of forwarders is out of service.
    TooManyOut,
    /// Too few forwarders would remain in service.
    TooFewInService,
    /// The ledger does not contain the lease (any more).
    NoSuchLease,
    /// The plan is not finished yet.
    NotFinished,
}

impl Refusal {
    /// Text for operators.
    pub fn text(&self) -> &'static str {
        match self {
            Refusal::PlanExists => "the same plan exists already",
            Refusal::IdInUse => "another plan has this id: specify another id, or none",
            Refusal::TooManyPlans => {
                "the maximum number of plans is unfinished: wait for one to finish, or cancel one"
            }
            Refusal::NoSuchPlan => "no open plan has this id: see the status",
            Refusal::NotEligible => "the forwarder is not in the plan, is done, or is out of service already",
            Refusal::DeadlinePassed => "the deadline of the plan has passed",
            Refusal::TooManyOut => "the maximum number of forwarders is out of service",
            Refusal::TooFewInService => "too few forwarders would remain in service",
            Refusal::NoSuchLease => "the ledger does not contain this lease",
            Refusal::NotFinished => "the plan is not finished yet",
        }
    }
}

impl MaintenancePlan {
    /// The forwarders in the order in which they go out of service: those with the fewest leases first,
    /// then by rendezvous hashing on the plan's id.
    pub fn lease_order<'a>(&'a self, lease_count: &BTreeMap<String, u32>) -> Vec<&'a str> {
        let seed = xxh3_64_with_seed(self.id.as_bytes(), 0);
        let mut order: Vec<(u32, u64, &str)> = self
            .names
            .iter()
            .map(|name| {
                let lease_count = lease_count.get(name).copied().unwrap_or(0);
                (lease_count, xxh3_64_with_seed(name.as_bytes(), seed), name.as_str())
            })
            .collect();
        order.sort();
        order.into_iter().map(|one| one.2).collect()
    }

    /// Status of a forwarder, or `None` if it is not in the plan.
    pub fn status_of(&self, name: &str) -> Option<MemberStatus> {
        self.names.iter().position(|one| one == name).map(|index| self.statuses[index])
    }

    /// Whether both plans come from the same request. The deadline is not compared: one given relative
    /// to the time of the request is later with each repetition.
    fn same_request(&self, other: &MaintenancePlan) -> bool {
        (&self.names, self.limits, self.window) == (&other.names, other.limits, other.window)
    }
}

impl Ledger {
    /// The plan of this id, unfinished or closed.
    pub fn plan(&self, id: &str) -> Option<&MaintenancePlan> {
        self.plans.iter().find(|plan| plan.id == id)
    }

    /// The lease that a forwarder holds.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.iter().find(|lease| lease.name == name)
    }

    /// The lowest `at_most` of all plans that are open or have a forwarder out, or `None` if there is
    /// no such plan.
    pub fn max_out(&self) -> Option<u32> {
        let is_active = |plan: &&MaintenancePlan| {
            plan.state == PlanState::Open || self.leases.iter().any(|lease| lease.plan == plan.id)
        };
        self.plans.iter().filter(is_active).map(|plan| plan.limits.at_most).min()
    }

    /// Returns the ledger with the change applied, or the reason for which it is refused.
    pub fn apply(&self, change: &Change) -> Result<Ledger, Refusal> {
        let mut next = self.clone();
        next.version += 1;
        match change {
            Change::AddPlan(plan) => next.add_plan(plan)?,
            Change::CancelPlan(id) => next.open_plan_mut(id)?.state = PlanState::Cancelled,
            Change::GrantLease { plan, name, generation, now, fleet, alive } => {
                self.check_eligible(plan, name, *now, (*fleet, *alive))?;
                let (name, generation, plan) = (name.clone(), *generation, plan.clone());
                let fence = Fence(next.version);
                next.leases.push(Lease { name, generation, plan, fence, requested_at: *now });
            }
            Change::ReturnLease(name, fence) => next.end_lease(name, *fence, MemberStatus::Returned)?,
            Change::AbandonLease(name, fence) => next.end_lease(name, *fence, MemberStatus::Pending)?,
            Change::WriteOffLease(name, fence) => next.end_lease(name, *fence, MemberStatus::WrittenOff)?,
            Change::ClosePlan(id, now) => next.close_plan(id, *now)?,
        }
        Ok(next)
    }

    fn open_plan_mut(&mut self, id: &str) -> Result<&mut MaintenancePlan, Refusal> {
        let open = |plan: &&mut MaintenancePlan| plan.id == id && plan.state == PlanState::Open;
        self.plans.iter_mut().find(open).ok_or(Refusal::NoSuchPlan)
    }

    fn add_plan(&mut self, plan: &MaintenancePlan) -> Result<(), Refusal> {
        if let Some(known) = self.plan(&plan.id) {
            let same = known.same_request(plan);
            return Err(if same { Refusal::PlanExists } else { Refusal::IdInUse });
        }
        if self.plans.iter().filter(|plan| plan.state != PlanState::Closed).count() >= MAX_UNFINISHED_PLANS {
            return Err(Refusal::TooManyPlans);
        }
        self.plans.push(plan.clone());
        Ok(())
    }

    /// Checks whether the forwarder may go out of service under a plan.
    pub fn check_eligible(
        &self,
        plan: &str,
        name: &str,
        now: Micros,
        (fleet, alive): (u32, u32),
    ) -> Result<(), Refusal> {
        let plan = self.plan(plan).filter(|plan| plan.state == PlanState::Open).ok_or(Refusal::NoSuchPlan)?;
        if plan.status_of(name) != Some(MemberStatus::Pending) || self.lease(name).is_some() {
            return Err(Refusal::NotEligible);
        }
        if now >= plan.until {
            return Err(Refusal::DeadlinePassed);
        }
        // Forwarders out under other plans count as well, and the limits of those plans apply while any of
        // their forwarders is out.
        let others = self.leases.iter().filter_map(|lease| self.plan(&lease.plan)).map(|plan| plan.limits);
        let limits: Vec<OutageLimits> = others.chain([plan.limits]).collect();
        let out = self.leases.len() as u32;
        if limits.iter().any(|limit| out >= limit.at_most) {
            return Err(Refusal::TooManyOut);
        }
        // The proposer's view may still count forwarders that are out of service as alive.
        let remaining = u64::from(alive.saturating_sub(out + 1));
        if limits
            .iter()
            .any(|limit| remaining * 1_000 < u64::from(limit.in_service_permille) * u64::from(fleet))
        {
            return Err(Refusal::TooFewInService);
        }
        Ok(())
    }

    fn end_lease(&mut self, name: &str, fence: Fence, status: MemberStatus) -> Result<(), Refusal> {
        let held = |lease: &Lease| lease.name == name && lease.fence == fence;
        let index = self.leases.iter().position(held).ok_or(Refusal::NoSuchLease)?;
        let lease = self.leases.remove(index);
        if let Some(plan) = self.plans.iter_mut().find(|plan| plan.id == lease.plan) {
            if let Some(index) = plan.names.iter().position(|one| one == name) {
                plan.statuses[index] = status;
            }
        }
        *self.lease_counts.entry(name.to_owned()).or_default() += u32::from(status != MemberStatus::Pending);
        Ok(())
    }

    fn close_plan(&mut self, id: &str, now: Micros) -> Result<(), Refusal> {
        let out = self.leases.iter().any(|lease| lease.plan == id);
        let unfinished = |plan: &&mut MaintenancePlan| plan.id == id && plan.state != PlanState::Closed;
        let plan = self.plans.iter_mut().find(unfinished).ok_or(Refusal::NoSuchPlan)?;
        let all_done = plan.statuses.iter().all(|status| *status != MemberStatus::Pending);
        if out || !(all_done || plan.state == PlanState::Cancelled || now >= plan.until) {
            return Err(Refusal::NotFinished);
        }
        plan.state = PlanState::Closed;
        self.prune();
        Ok(())
    }

    /// Removes the closed plans that are oldest, and keeps the lease counts small: only the differences
    /// between forwarders matter, and only for forwarders in a plan.
    fn prune(&mut self) {
        let closed = |plan: &MaintenancePlan| plan.state == PlanState::Closed;
        while self.plans.iter().filter(|plan| closed(plan)).count() > MAX_CLOSED_PLANS {
            let Some(oldest) = self.plans.iter().position(closed) else { break };
            self.plans.remove(oldest);
        }
        let named: Vec<&String> = self.plans.iter().flat_map(|plan| &plan.names).collect();
        let least =
            named.iter().map(|name| self.lease_counts.get(*name).copied().unwrap_or(0)).min().unwrap_or(0);
        let known: std::collections::BTreeSet<&String> = named.into_iter().collect();
        self.lease_counts.retain(|name, _| known.contains(name));
        self.lease_counts.values_mut().for_each(|lease_count| *lease_count -= least);
        self.lease_counts.retain(|_, lease_count| *lease_count > 0);
    }
}

#[cfg(test)]
mod tests;
