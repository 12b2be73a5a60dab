//! Maintenance in the event loop: the agent behind the membership's socket, the votes that a voter saves in
//! the state folder, and operators' requests and answers. Inactive where the section `membership` names no
//! voters.

use super::ops::Answer;
use crate::maintenance::agent::{Agent, Failure, FleetView, Output, OwnLease, ProcessState, Token};
use crate::maintenance::ledger::{Change, Ledger, Refusal};
use crate::maintenance::parts::{split, Assembly, Fragment};
use crate::maintenance::register::{Acceptor, Message};
use crate::maintenance::request::{self, Fleet};
use crate::maintenance::{kept, Fence};
use crate::membership::{self, MemberCounts, Node, State};
use crate::startup::digest;
use crate::Micros;
use serde_json::json;
use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Operators' changes that wait for the voters at once; further ones are rejected.
const MAX_PENDING_CHANGES: usize = 32;

/// What the event loop is to do.
pub enum MaintenanceAction {
    /// Drain client connections, under this lease.
    Drain(Fence),
    /// End the drain: the forwarder returns to service.
    EndDrain,
    /// Send this answer on this operator's connection.
    Answer(Token, Answer),
}

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MaintenanceRequest {
    /// Add a plan, as in this body.
    Create(Vec<u8>),
    /// Cancel the plan with this id.
    Cancel(String),
}

/// Maintenance in the event loop: see the module's documentation.
pub struct Maintenance {
    agent: Agent,
    assembly: Assembly,
    /// Digest of the voters' names: messages of other electorates are ignored.
    electorate: u64,
    folder: PathBuf,
    /// Changes that operators requested on this process, and the connections that wait for the answers.
    pending: Vec<(Token, Change)>,
    /// Messages of other electorates.
    other_electorate: u64,
    /// Messages that were malformed or too long.
    dropped: u64,
    sent: u64,
    outputs: Vec<Output>,
}

/// The membership's view of the fleet.
struct MembershipView<'a>(&'a Node);

impl FleetView for MembershipView<'_> {
    fn state(&self, name: &str) -> Option<State> {
        self.0.state_of(name).map(|(.., state)| state)
    }

    fn counts(&self) -> (u32, u32) {
        let MemberCounts { alive, suspect, dead, .. } = self.0.counts();
        ((alive + suspect + dead) as u32, alive as u32)
    }
}

/// Digest of the voters' names: only processes with the same digest exchange messages.
fn electorate(voters: &[String]) -> u64 {
    digest(voters.join("\n").as_bytes())
}

impl Maintenance {
    /// Starts maintenance; a voter loads its saved votes. `handed_over` is the lease of a predecessor.
    pub fn new(
        me: &membership::Identity,
        voters: &[String],
        folder: &Path,
        handed_over: Option<OwnLease>,
        seed: u64,
        now: Micros,
    ) -> Maintenance {
        let electorate = electorate(voters);
        let acceptor = load_acceptor(folder, electorate).unwrap_or_else(|problem| {
            let path = folder.join(kept::FILE_NAME);
            log!(
                "maintenance: {}: {problem}; this voter abstains: repair the file or, where no member is out of service and the other voters' files are intact, remove it",
                path.display()
            );
            None
        });
        let agent = Agent::new((&me.name, me.generation), voters, acceptor, handed_over, seed, now);
        Maintenance {
            agent,
            assembly: Assembly::default(),
            electorate,
            folder: folder.to_owned(),
            pending: Vec::new(),
            other_electorate: 0,
            dropped: 0,
            sent: 0,
            outputs: Vec::new(),
        }
    }

    /// Receives a fragment of a member's message.
    pub fn receive(&mut self, now: Micros, from: &str, fragment: Fragment) {
        let Some(bytes) = self.assembly.add_fragment(now, from, fragment) else { return };
        match ciborium::from_reader::<(u64, Message), _>(&bytes[..]) {
            Ok((electorate, message)) if electorate == self.electorate => {
                self.agent.receive(now, from, message, &mut self.outputs);
            }
            Ok(_) => self.other_electorate += 1,
            Err(_) => self.dropped += 1,
        }
    }

    /// Submits an operator's request. The answer comes with a later iteration, or is returned at once where
    /// no other member needs to be asked.
    pub fn submit(
        &mut self,
        now: Micros,
        token: Token,
        request: MaintenanceRequest,
        node: &Node,
    ) -> Option<Answer> {
        let change = match request {
            MaintenanceRequest::Cancel(id) => Change::CancelPlan(id),
            MaintenanceRequest::Create(body) => {
                let live =
                    node.members().filter(|member| member.state == State::Alive).map(|member| member.id.name);
                let alive = live.chain([node.me().name.clone()]).collect();
                let MemberCounts { alive: up, suspect, dead, .. } = node.counts();
                let fleet = Fleet { alive, size: up + suspect + dead };
                match request::parse(&body, &fleet, self.agent.ledger().0, now) {
                    Ok(plan) => Change::AddPlan(plan),
                    Err(problems) => return Some(Answer::json(400, &json!({ "problems": problems }))),
                }
            }
        };
        if self.pending.len() >= MAX_PENDING_CHANGES {
            let problem =
                format!("{} changes wait for the voters already: ask again in a second", self.pending.len());
            return Some(Answer::json(503, &json!({ "problems": [problem] })));
        }
        self.pending.push((token, change.clone()));
        self.agent.submit(now, token, change);
        None
    }

    /// Runs what is due, once an iteration, and returns what the event loop is to do. Messages are sent by
    /// the membership's socket.
    pub fn tick(
        &mut self,
        now: Micros,
        process: ProcessState,
        node: &mut Node,
        out: &mut Vec<membership::Output>,
    ) -> Vec<MaintenanceAction> {
        self.agent.tick(now, process, &MembershipView(node), &mut self.outputs);
        let mut actions = Vec::new();
        let mut outputs = VecDeque::from(std::mem::take(&mut self.outputs));
        let mut saved = true;
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Persist(acceptor) => {
                    saved = self.save(&acceptor);
                    self.agent.persisted(saved);
                }
                // A vote that could not be saved is not sent: a voter that forgets a vote would let two
                // majorities decide.
                Output::Send(_, Message::Promise { .. } | Message::Accepted(_)) if !saved => {}
                Output::Send(name, message) if name == node.me().name => {
                    let mut more = Vec::new();
                    self.agent.receive(now, &name, message, &mut more);
                    outputs.extend(more);
                }
                Output::Send(name, message) => self.send(now, &name, &message, node, out),
                Output::Drain(fence) => actions.push(MaintenanceAction::Drain(fence)),
                Output::EndDrain => actions.push(MaintenanceAction::EndDrain),
                Output::Log(line) => log!("{line}"),
                Output::Answer(token, result) => {
                    let index = self.pending.iter().position(|(pending, _)| *pending == token);
                    let change = index.map(|index| self.pending.swap_remove(index).1);
                    actions.extend(
                        change.map(|change| MaintenanceAction::Answer(token, answer(&change, &result))),
                    );
                }
            }
        }
        actions
    }

    fn send(
        &mut self,
        now: Micros,
        name: &str,
        message: &Message,
        node: &mut Node,
        out: &mut Vec<membership::Output>,
    ) {
        let mut bytes = Vec::new();
        let written = ciborium::into_writer(&(self.electorate, message), &mut bytes);
        let Some(fragments) = written.ok().and_then(|()| split(&bytes)) else {
            self.dropped += 1;
            return log!(
                "maintenance: the ledger is too long to be sent: {} bytes; request smaller plans",
                bytes.len()
            );
        };
        self.sent += fragments.len() as u64;
        fragments.into_iter().for_each(|fragment| node.send_maintenance_part(now, name, fragment, out));
    }

    /// Writes the votes to the disk, before any message about them is sent. Returns whether that succeeded.
    fn save(&self, acceptor: &Acceptor) -> bool {
        let (temporary, path) = (self.folder.join("maintenance.new"), self.folder.join(kept::FILE_NAME));
        let bytes = kept::encode(self.electorate, acceptor);
        let written = File::create(&temporary)
            .and_then(|mut file| file.write_all(&bytes).and_then(|()| file.sync_data()))
            .and_then(|()| std::fs::rename(&temporary, &path))
            .and_then(|()| File::open(&self.folder)?.sync_all());
        if let Err(problem) = &written {
            log!("maintenance: a vote was not saved in {}: {problem}; it is not given: free space in the folder, check its permissions", path.display());
        }
        written.is_ok()
    }

    /// When [`Maintenance::tick`] is due.
    pub fn due(&self) -> Micros {
        if self.outputs.is_empty() {
            self.agent.due()
        } else {
            Micros(0)
        }
    }

    /// This forwarder's lease, for a successor.
    pub fn own_lease(&self) -> Option<OwnLease> {
        self.agent.own_lease()
    }

    /// The plans, leases and voters, for operators. Cost: the plans, on an operator's call only.
    pub fn status(&self, now: Micros) -> serde_json::Value {
        let (ledger, heard) = self.agent.ledger();
        let seconds = |time: Micros| (time.0 / 1_000) as f64 / 1e3;
        let mine = self.agent.own_lease().map(|mine| {
            json!({ "stage": mine.stage.name(), "fence": mine.fence.0, "left_s": seconds(mine.until.minus(now)) })
        });
        let out = ledger.leases.iter().map(|lease| {
            json!({
                "name": lease.name, "round": lease.plan, "fence": lease.fence.0,
                "since": lease.requested_at.0 as f64 / 1e6,
            })
        });
        json!({
            "version": ledger.version, "heard_s": heard.map(|at| seconds(now.minus(at))),
            "voters": self.agent.voters(), "votes": self.agent.votes(), "mine": mine,
            "rounds": ledger.plans.iter().map(|plan| request::plan_json(plan, ledger)).collect::<Vec<_>>(),
            "out": out.collect::<Vec<_>>(),
        })
    }

    /// Statistics for operators.
    pub fn figures(&self) -> serde_json::Value {
        let (ledger, _) = self.agent.ledger();
        json!({
            "version": ledger.version, "out": ledger.leases.len(), "votes": self.agent.votes(),
            "stage": self.agent.own_lease().map(|mine| mine.stage.name()),
            "sent": self.sent, "other_voters": self.other_electorate, "dropped": self.dropped,
        })
    }
}

/// Loads the saved votes of a voter; the default where it never voted for these voters.
fn load_acceptor(folder: &Path, electorate: u64) -> Result<Option<Acceptor>, String> {
    let path = folder.join(kept::FILE_NAME);
    match std::fs::metadata(&path) {
        Err(problem) if problem.kind() == std::io::ErrorKind::NotFound => {
            return Ok(Some(Acceptor::default()))
        }
        Err(problem) => return Err(problem.to_string()),
        Ok(metadata) if metadata.len() > kept::MAX_FILE_BYTES as u64 => {
            return Err(format!("{} bytes", metadata.len()))
        }
        Ok(_) => {}
    }
    let bytes = std::fs::read(&path).map_err(|problem| problem.to_string())?;
    Ok(Some(kept::decode(&bytes, electorate)?.unwrap_or_default()))
}

/// The answer to an operator's request.
fn answer(change: &Change, result: &Result<Ledger, Failure>) -> Answer {
    let problem = |status, text: &str| Answer::json(status, &json!({ "problems": [text] }));
    match (result, change) {
        (Ok(ledger), Change::AddPlan(plan)) => match ledger.plan(&plan.id) {
            Some(plan) => Answer::json(202, &request::plan_json(plan, ledger)),
            None => problem(409, "it is over already"),
        },
        (Ok(ledger), Change::CancelPlan(id)) => {
            let plan = ledger.plan(id).map(|plan| request::plan_json(plan, ledger));
            Answer::json(200, &plan.unwrap_or_default())
        }
        (Ok(_), _) => Answer::json(200, &json!({})),
        (Err(Failure::Refused(Refusal::NoSuchPlan)), _) => problem(404, Refusal::NoSuchPlan.text()),
        (Err(Failure::Refused(refusal)), _) => problem(409, refusal.text()),
        (Err(Failure::NoMajority), _) => problem(
            503,
            "no majority of the voters answered: it may still come to stand; ask again in the same words",
        ),
    }
}

#[cfg(test)]
mod tests;
