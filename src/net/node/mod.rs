//! The loop: gathers what is ready, has the core take one turn with all of it, and carries out what came back. Between
//! two turns a change of the configuration may be put in force: see `change`.

mod listing;
mod operations;
mod start;

use super::admin::changes::QueuedChange;
use super::admin::Admin;
use super::change::Reload;
use super::clients::amqp::AmqpFront;
use super::clients::platform::HttpFront;
use super::clients::HTTP_FRONT;
use super::config::Config;
use super::handover::{Follower, Seat};
use super::list::dns_sd::DnsSd;
use super::list::watch::DiscoveryWatch;
use super::list::{EndpointList, ListEntry};
use super::members::Members;
use super::ops::Ops;
use super::poll::{Clock, Peer, Poll, Ready};
use super::reports::DeliveryReports;
use super::servers::amqp::BrokerConnections;
use super::servers::http::{EndpointConnections, Outgoing};
use super::signals::{drain, Signals};
use super::upgrade::{self};
use crate::config::desk::ChangeService;
use crate::config::store::Store;
use crate::engine::{Engine, Input, Output};
use crate::lifecycle::{self, Stage};
use crate::startup::ramp::Ramp;
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::Duration;

/// Longest wait in one turn.
const LONGEST_WAIT: Micros = Micros(1_000_000);
pub(super) use listing::entry;
pub(super) use start::idle_time;

/// What the command line says of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The operators' file.
    pub file: Option<PathBuf>,
    /// It counts even where a version is kept.
    pub fresh: bool,
}

pub(super) struct Node {
    pub poll: Poll,
    pub(super) clock: Clock,
    pub engine: Engine,
    pub platform: HttpFront,
    pub publishers: Option<AmqpFront>,
    pub servers: EndpointConnections,
    pub brokers: BrokerConnections,
    /// Service entries of the operators' file; they stand beside every whole list.
    pub(super) own: Vec<ListEntry>,
    pub(super) endpoint_list: EndpointList,
    pub admin: Option<Admin>,
    pub dns_sd: Option<DnsSd>,
    /// The other forwarders of the fleet; none while the operators' file has no `membership`.
    pub members: Option<Members>,
    /// For random numbers.
    pub(super) seed: u64,
    pub watch: DiscoveryWatch,
    pub reports: DeliveryReports,
    pub(super) signals: Signals,
    pub change_service: ChangeService,
    /// Where versions are kept; nowhere where nobody gave an operators' file.
    pub store: Option<Store>,
    pub options: Options,
    /// Changes that wait for their turn.
    pub asks: VecDeque<QueuedChange>,
    /// A file that is being read.
    pub reload: Option<Reload>,
    /// Where operators' staff call.
    pub(super) ops: Option<Ops>,
    /// Where the process stands between its start and its end.
    pub life: lifecycle::Lifecycle,
    /// The first calls of a start among many; none in an upgrade, without a membership, and once it is over.
    pub(super) ramp: Option<Ramp>,
    /// The folder that lasts.
    pub(super) folder: PathBuf,
    /// The core has been told that no call may begin any more.
    last_call: bool,
    /// What the start made of the versions is still to be written.
    pub(super) unkept: bool,
    /// The folder's lock, and where the next process asks.
    pub(super) seat: Option<Seat>,
    /// The next process, once it has asked.
    pub(super) follower: Option<Follower>,
    /// Until then none is let in.
    pub(super) barred_until: Micros,
    /// How long the last turn took.
    turn_time: Micros,
    pub inputs: Vec<Input>,
}

/// What a turn leads to.
enum Next {
    Turn,
    End,
    /// Another process has everything.
    Followed,
}

/// Runs until SIGTERM has come and what can be finished is finished.
pub fn run(config: Config, options: Options, signals: Signals) -> Result<(), String> {
    let Some(mut node) = upgrade::start(config, options, signals)? else { return Ok(()) };
    loop {
        match node.turn() {
            Next::Turn => {}
            Next::End => return Ok(()),
            Next::Followed => return node.linger(),
        }
    }
}

impl Node {
    /// One turn.
    fn turn(&mut self) -> Next {
        let now = self.clock.now();
        let publishers = self.publishers.as_ref().and_then(AmqpFront::due);
        let dns_sd = self.dns_sd.as_ref().and_then(DnsSd::due);
        let admin = self.admin.as_ref().and_then(Admin::due);
        let ops = self.ops.as_ref().and_then(Ops::due);
        let life = self.life.due(now);
        let own = [
            self.engine.next_due(),
            self.watch.due(),
            self.reports.due(),
            publishers,
            dns_sd,
            admin,
            ops,
            life,
        ];
        let members = self.members.as_ref().map(|members| members.due(now));
        let change = [members, self.change_service.due(), self.reload.as_ref().map(Reload::due)];
        let peers = [self.servers.due(), self.brokers.due(), self.platform.due()];
        let dues = own.into_iter().chain(change).chain(peers);
        let due = dues.flatten().min().unwrap_or(Micros(u64::MAX));
        let busy = !self.inputs.is_empty() || !self.asks.is_empty();
        let due = if self.follower_waits() { due.min(now.plus(upgrade::LOOK_AGAIN)) } else { due };
        let wait = if busy { Micros(0) } else { due.minus(now).min(LONGEST_WAIT) };
        let mut ready = self.poll.wait(Duration::from_micros(wait.0));
        upgrade::pass("polled");
        let now = self.clock.now();
        if now >= due {
            // Something is too late by now: what has come by now goes before it, also where this process stood still
            // between its look and its clock. All that was ready is so still.
            ready = self.poll.wait(Duration::ZERO);
        }
        for one in ready {
            self.gather(one, now);
        }
        self.live(now);
        self.servers.tick(now, &mut self.inputs);
        self.brokers.tick(&self.poll, now, &mut self.inputs);
        self.platform.tick(&mut self.poll, now);
        if let Some(members) = &mut self.members {
            let divisor = members.tick(now);
            self.engine.set_forwarder_count(Some(divisor));
            self.engine.set_starting_members(members.among().starting);
            self.watch.enabled = members.may_ask(now);
            if members.confirmed(now) {
                self.life.list_confirmed();
            }
            self.hear_members();
            self.ramp_up(now);
            self.maintain(now);
        }
        let inputs = std::mem::take(&mut self.inputs);
        for output in self.engine.step(now, inputs) {
            self.carry_out(output, now);
        }
        if let Some(front) = &mut self.publishers {
            front.tick(&self.poll, now, &mut self.inputs);
        }
        if let Some(dns_sd) = &mut self.dns_sd {
            dns_sd.tick(&mut self.poll, now);
        }
        if let Some(admin) = &mut self.admin {
            admin.tick(now);
        }
        if let Some(ops) = &mut self.ops {
            ops.tick(&mut self.poll, now);
        }
        let calls = self.watch.calls;
        self.watch.tick(&mut self.poll, now);
        if let Some(members) = self.members.as_mut().filter(|_| self.watch.calls > calls) {
            members.asks(now);
        }
        self.reports.tick(&mut self.poll, now);
        self.turn_time = self.clock.now().minus(now);
        self.between_turns(now, self.turn_time);
        if self.hand_over(now) {
            return Next::Followed;
        }
        if self.life.may_exit(now, self.platform.connection_count())
            && (self.life.stage() == Stage::HandedOver || !self.platform.has_unread_input())
        {
            Next::End
        } else {
            Next::Turn
        }
    }

    fn gather(&mut self, Ready { peer, token }: Ready, now: Micros) {
        match peer {
            Peer::Stop => {
                drain(&self.signals.stop);
                log!("told to stop");
                self.life.stop(now);
                self.live(now);
                self.members.iter_mut().for_each(Members::leave);
            }
            Peer::Reload => {
                drain(&self.signals.reload);
                self.begin_reload(now);
            }
            Peer::ClientListener => self.platform.accept(&mut self.poll, now),
            Peer::Client => self.platform.ready(&self.poll, token, now, &mut self.inputs),
            Peer::Endpoint => self.servers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::Discovery => {
                if let Some(mut news) = self.watch.ready(&mut self.poll, token, now) {
                    let (generation, whole, none) = (news.generation, news.whole, news.entries.is_empty());
                    if news.whole {
                        // What other sources list stands beside it.
                        news.entries.extend(self.own.iter().cloned());
                        news.entries.extend(self.dns_sd.iter().flat_map(DnsSd::current).cloned());
                    }
                    self.learn(news);
                    self.tell_members(now, generation, whole || !none);
                }
            }
            Peer::Reports => {
                let told = self.reports.ready(&self.poll, token);
                self.inputs.extend(told.into_iter().map(Input::OutcomeReported));
            }
            Peer::AmqpListener => {
                if let Some(front) = &mut self.publishers {
                    front.accept(&mut self.poll, now);
                }
            }
            Peer::Publisher => {
                if let Some(front) = &mut self.publishers {
                    front.ready(&self.poll, token, now, &mut self.inputs);
                }
            }
            Peer::Broker => self.brokers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::AdminListener => {
                if let Some(admin) = &mut self.admin {
                    admin.accept(&mut self.poll, now);
                }
            }
            Peer::Admin => self.administer(token, now, None),
            Peer::OpsListener => {
                if let Some(ops) = &mut self.ops {
                    ops.accept(&mut self.poll, now);
                }
            }
            Peer::Ops => self.operate(token, now),
            Peer::Members => {
                if let Some(members) = &mut self.members {
                    members.ready(now);
                }
            }
            Peer::UpgradeListener => self.meet_follower(now),
            Peer::Successor => self.hear_follower(now),
            Peer::Resolver => {
                let news = self.dns_sd.as_mut().and_then(|dns| dns.ready(&self.poll, token, now));
                if let Some(news) = news {
                    self.learn(news);
                }
            }
        }
    }

    /// First calls wait for a moment of this forwarder's own, while many start.
    fn ramp_up(&mut self, now: Micros) {
        let (Some(ramp), Some(members)) = (&mut self.ramp, &self.members) else { return };
        for input in &self.inputs {
            if let Input::Submission(offer) = input {
                ramp.message_waiting(now, offer.destination);
            }
        }
        let first = ramp.send_rate(now);
        self.engine.set_initial_rate(first);
        if first.is_none() {
            self.ramp = None;
            return;
        }
        let destinations = self.endpoint_list.0.values().map(|entry| entry.record.destination);
        let waits: BTreeMap<_, _> = ramp.delays(now, members.among(), destinations).into_iter().collect();
        if waits.is_empty() {
            return;
        }
        let told = |entry: &ListEntry| {
            let until = waits.get(&entry.record.destination)?;
            Some(Input::HoldBack(entry.record.endpoint, until.minus(now)))
        };
        self.inputs.extend(self.endpoint_list.0.values().filter_map(told));
    }

    /// What the stage of the process's life asks for, in force from now on.
    pub(super) fn live(&mut self, now: Micros) {
        self.life.tick(now);
        self.platform.is_ready = self.life.accepts_clients();
        self.platform.connection_policy = self.life.connections(now);
        if !self.life.may_call(now) && !std::mem::replace(&mut self.last_call, true) {
            self.inputs.push(Input::StopCalls);
        }
    }

    fn carry_out(&mut self, output: Output, now: Micros) {
        match output {
            Output::Reply(token, HTTP_FRONT, reply) => {
                self.platform.reply(&self.poll, token, reply, &mut self.inputs);
            }
            Output::Reply(token, _, reply) => {
                if let Some(front) = &mut self.publishers {
                    front.reply(&self.poll, token, reply, now, &mut self.inputs);
                }
            }
            Output::Call { call, endpoint, items, .. } if self.brokers.has(endpoint) => {
                self.brokers.call(&mut self.poll, now, (call, endpoint), items, &mut self.inputs);
            }
            Output::Call { call, endpoint, wait, leaves_by, items } => {
                let order = Outgoing { call, endpoint, wait, send_deadline: leaves_by };
                self.servers.call(&mut self.poll, now, order, &items, &mut self.inputs);
            }
            Output::Abort(call) => {
                self.servers.abort(call);
                self.brokers.abort(&self.poll, call);
            }
            Output::ReportOutcome { message, front: HTTP_FRONT, id, outcome, .. } => {
                self.reports.add(message, &id, outcome)
            }
            // While the front is off, its ends stay owed.
            Output::ReportOutcome { message, tenant, id, origin, outcome, .. } => {
                if let Some(front) = &mut self.publishers {
                    front.queue_outcome(message, tenant, id, (&origin, outcome), &mut self.inputs);
                }
            }
            Output::CloseIdle(endpoint) => self.servers.close_idle(endpoint),
            Output::Log(line) => log!("{line}"),
        }
    }
}
