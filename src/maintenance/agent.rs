//! The agent of one forwarder. It votes where it is a voter, proposes the operators' requests,
//! takes the forwarder out of service when its turn comes and it holds a lease, returns it to
//! service, and writes off the leases of forwarders that died while out. Its caller supplies the
//! time, the messages received and the state of the process; the agent returns what to send, to
//! persist and to do.

mod lease;
mod proposing;

use super::ledger::{Change, Ledger, PlanState, Refusal};
use super::register::{Acceptor, Ballot, Message, Progress, Proposal};
use super::Fence;
use crate::membership::State;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A forwarder releases its lease once it has been in service without interruption for this time.
const STABLE_SERVICE_TIME: Micros = Micros(2_000_000);
/// Interval at which a request is sent again to voters that have not answered.
const RETRANSMIT_INTERVAL: Micros = Micros(150_000);
/// A proposal without a majority is abandoned after this time. The next one starts after a random
/// delay of up to `MAX_PROPOSAL_BACKOFF`.
const PROPOSAL_TIMEOUT: Micros = Micros(600_000);
const MAX_PROPOSAL_BACKOFF: Micros = Micros(300_000);
/// Operators get an answer within this time, also if no majority has answered.
const OPERATOR_TIMEOUT: Micros = Micros(1_500_000);
/// Intervals at which a voter is asked for a later ledger, while a plan is unfinished and while
/// none is.
const POLL_INTERVAL: Micros = Micros(250_000);
const IDLE_POLL_INTERVAL: Micros = Micros(1_000_000);

/// Interval at which the agent looks for a change to propose if nothing has changed.
const CHECK_INTERVAL: Micros = Micros(100_000);

/// Identifies the requester of a change.
pub type Token = u64;

/// State of the local process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessState {
    /// It is ready and accepts clients.
    pub in_service: bool,
    /// Its startup is over: it sends at its own rate and holds nothing back for other forwarders.
    pub settled: bool,
    /// It drains its clients.
    pub draining: bool,
    /// It is draining and has no clients left: work on the machine may begin.
    pub drained: bool,
}

/// The fleet as the membership protocol sees it.
pub trait FleetView {
    /// State of another member, or `None` if it is unknown.
    fn state(&self, name: &str) -> Option<State>;
    /// Number of all members, including the dead that are remembered, and number of those alive. This
    /// member counts in both.
    fn counts(&self) -> (u32, u32);
}

/// Actions for the caller, to be carried out in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write this state to the state folder and sync it to disk before any later output is sent.
    Persist(Acceptor),
    /// Send to the member of this name. A message to this member itself is delivered at once.
    Send(String, Message),
    /// Start to drain clients, under this lease.
    Drain(Fence),
    /// End the drain.
    EndDrain,
    /// Answer the operators' request.
    Answer(Token, Result<Ledger, Failure>),
    /// Log this line.
    Log(String),
}

/// Reason for which a requested change was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The ledger rules refuse it.
    Refused(Refusal),
    /// No majority of the voters answered; the change may still be committed.
    NoMajority,
}

/// Stage of the lease that this forwarder holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Clients are being drained.
    Leaving,
    /// It is out of service; work on the machine may go on.
    Out,
    /// The forwarder returns to service; the time since which it has been in service without
    /// interruption.
    Returning(Option<Micros>),
    /// The lease arrived too late. The forwarder stays in service and releases the lease.
    Unused,
}

impl Stage {
    /// Name of the stage, for operators.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Leaving => "leaving",
            Stage::Out => "out",
            Stage::Returning(_) => "returning",
            Stage::Unused => "unused",
        }
    }

    /// Whether the forwarder drains its clients or has drained them.
    pub fn is_out(self) -> bool {
        matches!(self, Stage::Leaving | Stage::Out)
    }
}

/// The lease of the local forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnLease {
    #[allow(missing_docs)]
    pub fence: Fence,
    /// End of the lease by the local clock.
    pub until: Micros,
    #[allow(missing_docs)]
    pub stage: Stage,
}

struct ActiveProposal {
    proposal: Proposal,
    /// The operators' request that it serves, if any.
    request: Option<OperatorRequest>,
    retransmit_at: Micros,
    abandon_at: Micros,
}

/// A change that operators have requested.
struct OperatorRequest {
    change: Change,
    token: Token,
    /// Time by which the operators get an answer.
    until: Micros,
}

/// The maintenance agent of one forwarder.
pub struct Agent {
    me: String,
    generation: u64,
    voters: Vec<String>,
    /// State as an acceptor. `None` if this forwarder is not a voter, or if its stored state cannot be
    /// read: then it abstains.
    acceptor: Option<Acceptor>,
    /// The acceptor's state is not on the disk.
    unpersisted: bool,
    /// The latest ledger known. It only indicates when to propose a change, and is shown to operators.
    ledger: Ledger,
    ledger_received_at: Option<Micros>,
    own_lease: Option<OwnLease>,
    /// Time of the first request for a lease whose result is not known yet.
    lease_requested_at: Option<Micros>,
    active: Option<ActiveProposal>,
    requests: VecDeque<OperatorRequest>,
    /// Highest ballot round seen.
    highest_round: u64,
    next_proposal_at: Micros,
    poll_at: Micros,
    /// Time at which each lease was first seen here.
    lease_seen_at: BTreeMap<Fence, Micros>,
    /// Leases that are overdue and have been logged.
    overdue_leases: Vec<Fence>,
    /// Time since which the accepted ledger is ahead of the latest one known to be committed.
    uncommitted_since: Option<Micros>,
    process: ProcessState,
    /// Something has changed that may allow a proposal.
    changed: bool,
    check_at: Micros,
    random: fastrand::Rng,
}

impl Agent {
    /// Creates the agent at the start of a process. `acceptor` is the stored state of a voter, if this
    /// forwarder is one and the state could be read; `own_lease` is the lease that the predecessor handed
    /// over.
    pub fn new(
        (me, generation): (&str, u64),
        voters: &[String],
        acceptor: Option<Acceptor>,
        own_lease: Option<OwnLease>,
        seed: u64,
        now: Micros,
    ) -> Agent {
        let votes = voters.iter().any(|voter| voter == me);
        let mut random = fastrand::Rng::with_seed(seed);
        let poll_at = now.plus(Micros(random.u64(0..POLL_INTERVAL.0)));
        Agent {
            me: me.to_owned(),
            generation,
            voters: voters.to_vec(),
            acceptor: acceptor.filter(|_| votes),
            unpersisted: false,
            ledger: Ledger::default(),
            ledger_received_at: None,
            own_lease,
            lease_requested_at: None,
            active: None,
            requests: VecDeque::new(),
            highest_round: 0,
            next_proposal_at: now,
            poll_at,
            lease_seen_at: BTreeMap::new(),
            overdue_leases: Vec::new(),
            uncommitted_since: votes.then_some(now),
            process: ProcessState::default(),
            changed: false,
            check_at: now,
            random,
        }
    }

    /// The latest ledger known, and when it was received.
    pub fn ledger(&self) -> (&Ledger, Option<Micros>) {
        (&self.ledger, self.ledger_received_at)
    }

    /// The lease that this forwarder holds.
    pub fn own_lease(&self) -> Option<OwnLease> {
        self.own_lease
    }

    /// Whether this forwarder is a voter and does not abstain.
    pub fn votes(&self) -> bool {
        self.acceptor.is_some()
    }

    /// Names of the voters.
    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Submits a change that operators request.
    pub fn submit(&mut self, now: Micros, token: Token, change: Change) {
        self.changed = true;
        self.requests.push_back(OperatorRequest { change, token, until: now.plus(OPERATOR_TIMEOUT) });
    }

    /// Processes a message of another member.
    pub fn receive(&mut self, now: Micros, from: &str, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Prepare(_) | Message::Accept(..) => {
                if let Some(answer) = self.vote(&message, out) {
                    out.push(Output::Send(from.to_owned(), answer));
                }
            }
            Message::LedgerQuery(version) => {
                if self.ledger.version > version {
                    out.push(Output::Send(from.to_owned(), Message::LedgerUpdate(self.ledger.clone())));
                }
            }
            Message::LedgerUpdate(ledger) => self.update_ledger(now, ledger),
            Message::Promise { .. } | Message::Accepted(_) | Message::TooLow { .. } => {
                if self.voters.iter().any(|voter| voter == from) {
                    self.receive_answer(now, from, &message, out);
                }
            }
        }
    }

    fn vote(&mut self, message: &Message, out: &mut Vec<Output>) -> Option<Message> {
        let acceptor = self.acceptor.as_mut()?;
        let (answer, changed) = acceptor.handle(message)?;
        if changed || self.unpersisted {
            out.push(Output::Persist(acceptor.clone()));
        }
        Some(answer)
    }

    /// Reports whether the acceptor's state could be written to disk. If not, it is written again
    /// before the next answer.
    pub fn persisted(&mut self, written: bool) {
        self.unpersisted = !written;
    }

    /// Processes a ledger that a majority has accepted.
    fn update_ledger(&mut self, now: Micros, ledger: Ledger) {
        if ledger.version < self.ledger.version {
            return;
        }
        self.ledger_received_at = Some(now);
        if ledger.version > self.ledger.version {
            (self.ledger, self.changed) = (ledger, true);
            let leases = &self.ledger.leases;
            self.lease_seen_at.retain(|fence, _| leases.iter().any(|lease| lease.fence == *fence));
            self.overdue_leases.retain(|fence| leases.iter().any(|lease| lease.fence == *fence));
            for lease in &self.ledger.leases {
                self.lease_seen_at.entry(lease.fence).or_insert(now);
            }
        }
    }

    /// A voter has answered the proposal that is under way.
    fn receive_answer(&mut self, now: Micros, voter: &str, message: &Message, out: &mut Vec<Output>) {
        let Some(active) = &mut self.active else { return };
        match active.proposal.receive(voter, message) {
            Progress::Waiting => {}
            Progress::Send(message) => {
                active.retransmit_at = now.plus(RETRANSMIT_INTERVAL);
                self.to_voters(&message, out);
            }
            Progress::Committed(ledger) => self.finish_proposal(now, ledger, None, out),
            Progress::Refused(refusal, ledger) => self.finish_proposal(now, ledger, Some(refusal), out),
            Progress::Preempted(round) => {
                self.highest_round = self.highest_round.max(round);
                self.abandon_proposal(now);
            }
        }
    }

    /// Sends the message to each voter, including this forwarder.
    fn to_voters(&self, message: &Message, out: &mut Vec<Output>) {
        out.extend(self.voters.iter().map(|voter| Output::Send(voter.clone(), message.clone())));
    }

    /// Ends the proposal: a majority holds this ledger, with the change or without it.
    fn finish_proposal(
        &mut self,
        now: Micros,
        ledger: Ledger,
        refused: Option<Refusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(active) = self.active.take() else { return };
        self.update_ledger(now, ledger.clone());
        self.uncommitted_since = None;
        // A lease requested earlier that a majority has not accepted by now will never be granted.
        self.lease_requested_at = self.lease_requested_at.filter(|_| ledger.lease(&self.me).is_some());
        if refused.is_none() {
            self.announce(&active.proposal.change, out);
        }
        if let Some(OperatorRequest { token, .. }) = active.request {
            let answer = match refused {
                // The request was repeated, or an earlier attempt has succeeded.
                None | Some(Refusal::PlanExists) => Ok(ledger),
                Some(refusal) => Err(Failure::Refused(refusal)),
            };
            out.push(Output::Answer(token, answer));
        }
    }

    /// Sends a changed ledger at once to the voters and to the forwarders that it concerns; others poll
    /// for it.
    fn announce(&self, change: &Change, out: &mut Vec<Output>) {
        let cancelled = if let Change::CancelPlan(plan) = change { Some(plan) } else { None };
        let affected =
            self.ledger.leases.iter().filter(|lease| Some(&lease.plan) == cancelled).map(|lease| &lease.name);
        for name in self.voters.iter().chain(affected).filter(|name| **name != self.me) {
            out.push(Output::Send(name.clone(), Message::LedgerUpdate(self.ledger.clone())));
        }
    }

    /// Abandons the proposal. The next one starts after a random delay, with a higher ballot.
    fn abandon_proposal(&mut self, now: Micros) {
        let Some(active) = self.active.take() else { return };
        self.next_proposal_at =
            now.plus(Micros(self.random.u64(MAX_PROPOSAL_BACKOFF.0 / 10..MAX_PROPOSAL_BACKOFF.0)));
        active.request.into_iter().for_each(|request| self.requests.push_front(request));
    }

    fn start_proposal(
        &mut self,
        now: Micros,
        change: Change,
        request: Option<OperatorRequest>,
        out: &mut Vec<Output>,
    ) {
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, name: self.me.clone(), generation: self.generation };
        let (proposal, prepare) = Proposal::new(ballot, change, self.voters.len());
        // Operators get an answer in time even if a proposal is in progress.
        let until = request.as_ref().map_or(Micros(u64::MAX), |request| request.until);
        let (retransmit_at, abandon_at) =
            (now.plus(RETRANSMIT_INTERVAL), now.plus(PROPOSAL_TIMEOUT).min(until));
        self.active = Some(ActiveProposal { proposal, request, retransmit_at, abandon_at });
        self.to_voters(&prepare, out);
    }

    /// Advances time. The clock starts at the wall clock's time and never goes back.
    pub fn tick(&mut self, now: Micros, process: ProcessState, view: &impl FleetView, out: &mut Vec<Output>) {
        self.changed |= self.process != process;
        self.process = process;
        // First of all: a process that was stopped for a long time must not act on an expired lease.
        self.update_lease(now, out);
        self.adopt_lease(now, out);
        self.drive_proposal(now, out);
        let check = std::mem::take(&mut self.changed) || now >= self.check_at;
        if self.active.is_none() && now >= self.next_proposal_at && check {
            self.check_at = now.plus(CHECK_INTERVAL);
            self.propose(now, view, out);
        }
        self.poll_voter(now, out);
    }

    /// Whether a plan is unfinished or a forwarder is out of service.
    fn has_unfinished_plan(&self) -> bool {
        self.ledger.plans.iter().any(|plan| plan.state != PlanState::Closed) || !self.ledger.leases.is_empty()
    }

    /// Polls a random voter for a later ledger.
    fn poll_voter(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.poll_at {
            return;
        }
        let interval = if self.has_unfinished_plan() { POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
        self.poll_at = now.plus(Micros(self.random.u64(interval.0 / 2..interval.0 * 3 / 2)));
        let others: Vec<&String> = self.voters.iter().filter(|voter| **voter != self.me).collect();
        if !others.is_empty() {
            let voter = others[self.random.usize(0..others.len())].clone();
            out.push(Output::Send(voter, Message::LedgerQuery(self.ledger.version)));
        }
    }

    /// Time at which [`Agent::tick`] is due without any input.
    pub fn due(&self) -> Micros {
        let active = self.active.as_ref().map(|active| active.retransmit_at.min(active.abandon_at));
        let request = self.requests.front().map(|_| self.next_proposal_at);
        let lease = self.own_lease.map(|lease| match lease.stage {
            Stage::Returning(Some(since)) => since.plus(STABLE_SERVICE_TIME).max(self.next_proposal_at),
            Stage::Returning(None) => Micros(u64::MAX),
            Stage::Unused => self.next_proposal_at,
            _ => lease.until,
        });
        let pending = self.has_unfinished_plan() || self.uncommitted_since.is_some();
        let check =
            pending.then(|| self.check_at.max(self.next_proposal_at)).filter(|_| self.active.is_none());
        let dues = [active, request, lease, check];
        dues.into_iter().flatten().min().unwrap_or(Micros(u64::MAX)).min(self.poll_at)
    }
}

#[cfg(test)]
mod tests;
