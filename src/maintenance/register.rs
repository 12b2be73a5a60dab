//! The replicated register that holds the ledger: CASPaxos (Rystsov 2018) among a fixed set of
//! voters. A proposer has a majority promise a ballot, applies its change to the ledger accepted
//! under the highest ballot that those promises report, and has a majority accept the result.
//!
//! Any two majorities share a voter. So each change applies to the result of the change before it,
//! whichever forwarder proposes it, and whichever messages are lost, duplicated or delayed.

use super::ledger::{Change, Ledger, Refusal};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A Paxos ballot. A higher ballot takes precedence. A ballot is never used for two values, as it
/// contains the name and the incarnation of its proposer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    #[allow(missing_docs)]
    pub round: u64,
    #[allow(missing_docs)]
    pub name: String,
    /// Incarnation of the proposer's process.
    pub generation: u64,
}

/// Messages between proposers and acceptors, and queries for the ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Message {
    /// Phase 1 request: promise this ballot and report the accepted ledger.
    Prepare(Ballot),
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, Ledger)>,
    },
    /// Phase 2 request: accept this ledger under this ballot.
    Accept(Ballot, Ledger),
    Accepted(Ballot),
    /// Rejection: the acceptor has promised a higher ballot.
    TooLow {
        ballot: Ballot,
        promised: Ballot,
    },
    /// Asks for the ledger if the receiver knows a later version than this.
    #[serde(rename = "Ask")]
    LedgerQuery(u64),
    /// A ledger that a majority has accepted.
    #[serde(rename = "Tell")]
    LedgerUpdate(Ledger),
}

/// State of an acceptor (a voter). It must survive a restart: it is written to disk before any
/// answer is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor {
    promised: Ballot,
    accepted: Option<(Ballot, Ledger)>,
}

impl Acceptor {
    /// Answers a proposer. The flag is true if the state has changed and must be written to disk before
    /// the answer is sent.
    pub fn handle(&mut self, message: &Message) -> Option<(Message, bool)> {
        match message {
            Message::Prepare(ballot) if *ballot >= self.promised => {
                let changed = *ballot > self.promised;
                self.promised = ballot.clone();
                Some((Message::Promise { ballot: ballot.clone(), accepted: self.accepted.clone() }, changed))
            }
            Message::Accept(ballot, ledger) if *ballot >= self.promised => {
                self.promised = ballot.clone();
                let new = Some((ballot.clone(), ledger.clone()));
                let changed = self.accepted != new;
                self.accepted = new;
                Some((Message::Accepted(ballot.clone()), changed))
            }
            Message::Prepare(ballot) | Message::Accept(ballot, _) => {
                Some((Message::TooLow { ballot: ballot.clone(), promised: self.promised.clone() }, false))
            }
            _ => None,
        }
    }

    /// The ledger accepted last, whether or not a majority has accepted it.
    pub fn accepted(&self) -> Option<&Ledger> {
        self.accepted.as_ref().map(|(_, ledger)| ledger)
    }
}

/// Result of an answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// Not enough voters have answered yet.
    Waiting,
    /// The next phase begins: send this message to all voters.
    Send(Message),
    /// The change is committed; this is the resulting ledger.
    Committed(Ledger),
    /// The ledger rules refuse the change; this is the ledger that a majority holds.
    Refused(Refusal, Ledger),
    /// An acceptor has promised a higher ballot, of this round, to another proposer. Retry with a
    /// higher round.
    Preempted(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing { answered: BTreeSet<String>, highest: Option<(Ballot, Ledger)> },
    Accepting { answered: BTreeSet<String>, ledger: Ledger, refused: Option<Refusal> },
    Finished,
}

/// One attempt of a proposer to change the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    #[allow(missing_docs)]
    pub ballot: Ballot,
    #[allow(missing_docs)]
    pub change: Change,
    majority: usize,
    phase: Phase,
}

impl Proposal {
    /// Starts a proposal among `voters` voters. Returns it with the message to send to all of them.
    pub fn new(ballot: Ballot, change: Change, voters: usize) -> (Proposal, Message) {
        let prepare = Message::Prepare(ballot.clone());
        let phase = Phase::Preparing { answered: BTreeSet::new(), highest: None };
        (Proposal { ballot, change, majority: voters / 2 + 1, phase }, prepare)
    }

    /// The request of the current phase, to retransmit to voters that have not answered.
    pub fn current_request(&self) -> Option<Message> {
        match &self.phase {
            Phase::Preparing { .. } => Some(Message::Prepare(self.ballot.clone())),
            Phase::Accepting { ledger, .. } => Some(Message::Accept(self.ballot.clone(), ledger.clone())),
            Phase::Finished => None,
        }
    }

    /// Processes the answer of a voter.
    pub fn receive(&mut self, voter: &str, message: &Message) -> Progress {
        match (message, &mut self.phase) {
            (Message::Promise { ballot, accepted }, Phase::Preparing { answered, highest })
                if *ballot == self.ballot =>
            {
                answered.insert(voter.to_owned());
                if let Some((accepted_ballot, ledger)) = accepted {
                    if highest.as_ref().is_none_or(|(highest, _)| highest < accepted_ballot) {
                        *highest = Some((accepted_ballot.clone(), ledger.clone()));
                    }
                }
                if answered.len() < self.majority {
                    return Progress::Waiting;
                }
                let ledger = highest.take().map(|(_, ledger)| ledger).unwrap_or_default();
                // Possibly only a minority has accepted this ledger. A majority has to hold it even if the
                // change is refused, as the refusal is based on it.
                let (ledger, refused) = match ledger.apply(&self.change) {
                    Ok(changed_ledger) => (changed_ledger, None),
                    Err(refusal) => (ledger, Some(refusal)),
                };
                let accept = Message::Accept(self.ballot.clone(), ledger.clone());
                self.phase = Phase::Accepting { answered: BTreeSet::new(), ledger, refused };
                Progress::Send(accept)
            }
            (Message::Accepted(ballot), Phase::Accepting { answered, ledger, refused })
                if *ballot == self.ballot =>
            {
                answered.insert(voter.to_owned());
                if answered.len() < self.majority {
                    return Progress::Waiting;
                }
                let (ledger, refused) = (std::mem::take(ledger), refused.take());
                self.phase = Phase::Finished;
                match refused {
                    None => Progress::Committed(ledger),
                    Some(refusal) => Progress::Refused(refusal, ledger),
                }
            }
            (Message::TooLow { ballot, promised }, Phase::Preparing { .. } | Phase::Accepting { .. })
                if *ballot == self.ballot =>
            {
                self.phase = Phase::Finished;
                Progress::Preempted(promised.round)
            }
            _ => Progress::Waiting,
        }
    }
}

#[cfg(test)]
mod tests;
