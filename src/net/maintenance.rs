//! Maintenance in the loop: the agent behind the membership's socket, what a voter keeps in the folder that lasts, and what staff
//! ask and are told. There is none of it where the section `membership` names no voters.

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

/// What the loop is to do.
pub enum MaintenanceAction {
    /// Clients are to be sent away, under this lease.
    Drain(Fence),
    /// Back to work.
    EndDrain,
    /// Staff, on this connection, hear this.
    Answer(Token, Answer),
}

/// What staff ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MaintenanceRequest {
    /// A round, as they wrote it.
    Create(Vec<u8>),
    /// An end of one, by its id.
    Cancel(String),
}

/// See the module's text.
pub struct Maintenance {
    agent: Agent,
    assembly: Assembly,
    /// Of the voters' names: others' words are not heard.
    electorate: u64,
    folder: PathBuf,
    /// Rounds that staff asked for on this process, and who waits for the answer.
    pending: Vec<(Token, Change)>,
    /// Words of other electorates, and messages that were spoilt or too long.
    other_electorate: u64,
    dropped: u64,
    sent: u64,
    outputs: Vec<Output>,
}

/// The fleet, as the membership sees it.
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

/// Names the voters: all that hear each other's words have the same.
fn electorate(voters: &[String]) -> u64 {
    digest(voters.join("\n").as_bytes())
}

impl Maintenance {
    /// Begins: a voter reads what it has kept. `mine` is what a process before hands over.
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
                "maintenance: {}: {problem}; this voter abstains: mend or, where nobody is out and the other voters are whole, remove it",
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

    /// A part of a member's message.
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

    /// Staff ask for something; the answer comes with a later turn, or at once where nobody needs to be asked.
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
                let live = node.members().filter(|seen| seen.state == State::Alive).map(|seen| seen.id.name);
                let alive = live.chain([node.me().name.clone()]).collect();
                let MemberCounts { alive: up, suspect, dead, .. } = node.counts();
                let fleet = Fleet { alive, size: up + suspect + dead };
                match request::parse(&body, &fleet, self.agent.ledger().0, now) {
                    Ok(plan) => Change::AddPlan(plan),
                    Err(problems) => return Some(Answer::told(400, &json!({ "problems": problems }))),
                }
            }
        };
        self.pending.push((token, change.clone()));
        self.agent.submit(now, token, change);
        None
    }

    /// Once a turn: what is due, and what the loop is to do. Messages leave by the membership's socket.
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
                // What could not be kept is not told: a voter that forgets would let two majorities decide.
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
                "maintenance: the ledger is too long to be sent: {} bytes; ask for smaller rounds",
                bytes.len()
            );
        };
        self.sent += fragments.len() as u64;
        fragments.into_iter().for_each(|fragment| node.send_maintenance_part(now, name, fragment, out));
    }

    /// To the disk, before any word on it leaves; tells whether it is there.
    fn save(&self, acceptor: &Acceptor) -> bool {
        let (temporary, path) = (self.folder.join("maintenance.new"), self.folder.join(kept::FILE_NAME));
        let bytes = kept::encode(self.electorate, acceptor);
        let written = File::create(&temporary)
            .and_then(|mut file| file.write_all(&bytes).and_then(|()| file.sync_data()))
            .and_then(|()| std::fs::rename(&temporary, &path))
            .and_then(|()| File::open(&self.folder)?.sync_all());
        if let Err(problem) = &written {
            log!("maintenance: a vote is not kept in {}: {problem}; it is not given: free the folder, check its rights", path.display());
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

    /// Its own lease, for the process that follows.
    pub fn own_lease(&self) -> Option<OwnLease> {
        self.agent.own_lease()
    }

    /// All of it, for staff. Cost: the rounds, for a call of theirs alone.
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

    /// Figures for operators' staff.
    pub fn figures(&self) -> serde_json::Value {
        let (ledger, _) = self.agent.ledger();
        json!({
            "version": ledger.version, "out": ledger.leases.len(), "votes": self.agent.votes(),
            "stage": self.agent.own_lease().map(|mine| mine.stage.name()),
            "sent": self.sent, "other_voters": self.other_electorate, "dropped": self.dropped,
        })
    }
}

/// What a voter has kept; an empty vote where it never gave one for these voters.
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

/// How staff hear what became of what they asked for.
fn answer(change: &Change, result: &Result<Ledger, Failure>) -> Answer {
    let problem = |status, text: &str| Answer::told(status, &json!({ "problems": [text] }));
    match (result, change) {
        (Ok(ledger), Change::AddPlan(plan)) => match ledger.plan(&plan.id) {
            Some(plan) => Answer::told(202, &request::plan_json(plan, ledger)),
            None => problem(409, "it is over already"),
        },
        (Ok(ledger), Change::CancelPlan(id)) => {
            let plan = ledger.plan(id).map(|plan| request::plan_json(plan, ledger));
            Answer::told(200, &plan.unwrap_or_default())
        }
        (Ok(_), _) => Answer::told(200, &json!({})),
        (Err(Failure::Refused(Refusal::NoSuchPlan)), _) => problem(404, Refusal::NoSuchPlan.text()),
        (Err(Failure::Refused(refusal)), _) => problem(409, refusal.text()),
        (Err(Failure::NoMajority), _) => problem(
            503,
            "no majority of the voters answered: it may still come to stand; ask again in the same words",
        ),
    }
}
