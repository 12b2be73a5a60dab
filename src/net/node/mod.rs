//! The event loop. Each iteration collects the sockets that are ready, runs one step of the core with their
//! inputs and executes the core's outputs. Between two iterations a configuration change may be put in force:
//! see `change`.

mod consistency;
mod listing;
mod operations;
mod start;

use super::admin::changes::QueuedChange;
use super::admin::Admin;
use super::change::crash_point;
use super::clients::amqp::AmqpFront;
use super::clients::platform::HttpFront;
use super::clients::HTTP_FRONT;
use super::config::Config;
use super::handover::{FolderOwnership, SuccessorConnection};
use super::list::dns_sd::DnsSd;
use super::list::endpoints::{EndpointList, ListSource};
use super::list::watch::DiscoveryWatch;
use super::list::ListEntry;
use super::members::Members;
use super::ops::Ops;
use super::poll::{Clock, Peer, Poll, Ready};
use super::reload::PendingReloads;
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

/// Longest wait for events in one iteration.
const MAX_POLL_WAIT: Micros = Micros(1_000_000);
pub(super) use listing::broker_entry;
pub(super) use start::endpoint_idle_time;

/// Options of the command line for a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The operators' file.
    pub file: Option<PathBuf>,
    /// The operators' file takes precedence over the stored versions.
    pub ignore_stored_versions: bool,
}

pub(super) struct Node {
    pub poll: Poll,
    pub(super) clock: Clock,
    pub engine: Engine,
    pub platform: HttpFront,
    pub publishers: Option<AmqpFront>,
    pub servers: EndpointConnections,
    pub brokers: BrokerConnections,
    pub(super) endpoint_list: EndpointList,
    pub admin: Option<Admin>,
    pub dns_sd: Option<DnsSd>,
    /// The other forwarders of the fleet; `None` while the operators' file has no `membership` section.
    pub members: Option<Members>,
    /// Seed of the random number generators.
    pub(super) seed: u64,
    pub watch: DiscoveryWatch,
    pub reports: DeliveryReports,
    pub(super) signals: Signals,
    pub change_service: ChangeService,
    /// Stores the versions; `None` where no operators' file was ever given.
    pub store: Option<Store>,
    pub options: Options,
    /// Configuration changes that wait for a later iteration.
    pub queued_changes: VecDeque<QueuedChange>,
    /// Reloads by SIGHUP that are not complete.
    pub(super) reloads: PendingReloads,
    /// The operations API.
    pub(super) ops: Option<Ops>,
    /// The stage of the process between its start and its end.
    pub life: lifecycle::Lifecycle,
    /// Spreads the first calls of a start among many. `None` after an upgrade, without a membership, and once
    /// the ramp is complete.
    pub(super) ramp: Option<Ramp>,
    /// The state folder.
    pub(super) folder: PathBuf,
    /// Set once the core has been told to start no more calls.
    calls_stopped: bool,
    /// The start changed the versions and has not stored them yet.
    pub(super) versions_unsaved: bool,
    /// The lock of the state folder and the socket on which a successor connects.
    pub(super) folder_ownership: Option<FolderOwnership>,
    /// The connection of a successor process.
    pub(super) successor: Option<SuccessorConnection>,
    /// No successor is accepted before this time.
    pub(super) handover_blocked_until: Micros,
    /// Duration of the last iteration.
    iteration_time: Micros,
    pub inputs: Vec<Input>,
}

/// What the main loop does after an iteration.
enum LoopControl {
    Continue,
    Exit,
    /// A successor process has taken everything over.
    HandedOver,
}

/// Runs until SIGTERM has arrived and all work that can be finished is finished.
pub fn run(config: Config, options: Options, signals: Signals) -> Result<(), String> {
    let Some(mut node) = upgrade::start(config, options, signals)? else { return Ok(()) };
    loop {
        match node.run_iteration() {
            LoopControl::Continue => {}
            LoopControl::Exit => return Ok(()),
            LoopControl::HandedOver => return node.answer_until_stopped(),
        }
    }
}

impl Node {
    /// Runs one iteration of the event loop.
    fn run_iteration(&mut self) -> LoopControl {
        let now = self.clock.now();
        let publishers = self.publishers.as_ref().and_then(AmqpFront::due);
        let dns_sd = self.dns_sd.as_ref().and_then(DnsSd::due);
        let admin = self.admin.as_ref().and_then(Admin::due);
        let ops = self.ops.as_ref().and_then(Ops::due);
        let life = self.life.due(now);
        let timers = [
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
        let change = [members, self.change_service.due(), self.reloads.due()];
        let peers = [self.servers.due(), self.brokers.due(), self.platform.due()];
        let deadlines = timers.into_iter().chain(change).chain(peers);
        let due = deadlines.flatten().min().unwrap_or(Micros(u64::MAX));
        let busy = !self.inputs.is_empty() || !self.queued_changes.is_empty();
        let due =
            if self.successor_waits() { due.min(now.plus(upgrade::HANDOVER_POLL_INTERVAL)) } else { due };
        let wait = if busy { Micros(0) } else { due.minus(now).min(MAX_POLL_WAIT) };
        let mut ready = self.poll.wait(Duration::from_micros(wait.0));
        upgrade::fault_point("polled");
        let now = self.clock.now();
        if now >= due {
            // A timer has expired. Poll again so that input that has arrived by now is handled before the
            // timer, also where the process was stopped between the poll and the clock reading. All events of
            // the first poll are still ready.
            ready = self.poll.wait(Duration::ZERO);
        }
        for event in ready {
            self.handle_ready(event, now);
        }
        self.apply_lifecycle(now);
        self.limit_descriptors();
        self.answer_admin_requests(now);
        self.platform.resume_reading(&self.poll, now, &mut self.inputs);
        self.servers.tick(now, &mut self.inputs);
        self.brokers.tick(&self.poll, now, &mut self.inputs);
        self.platform.tick(&mut self.poll, now);
        if let Some(members) = &mut self.members {
            let divisor = members.tick(now);
            self.engine.set_forwarder_count(Some(divisor));
            self.engine.set_starting_members(members.start_position().starting);
            self.watch.enabled = members.may_call_discovery(now);
            if members.list_is_confirmed(now) {
                self.life.list_confirmed();
            }
            self.accept_member_list();
            self.delay_first_calls(now);
            self.run_maintenance(now);
        }
        let inputs = std::mem::take(&mut self.inputs);
        if inputs.iter().any(|input| matches!(input, Input::Pause(..))) {
            crash_point("pause");
        }
        for output in self.engine.step(now, inputs) {
            self.execute(output, now);
        }
        if let Some(admin) = &mut self.admin {
            admin.complete_recorded(&self.poll, self.engine.is_recorded());
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
            members.discovery_called(now);
        }
        self.reports.tick(&mut self.poll, now);
        self.iteration_time = self.clock.now().minus(now);
        self.apply_pending_changes(now, self.iteration_time);
        if self.hand_over(now) {
            return LoopControl::HandedOver;
        }
        if self.life.may_exit(now, self.platform.connection_count())
            && (self.life.stage() == Stage::HandedOver || !self.platform.has_unread_input())
        {
            LoopControl::Exit
        } else {
            LoopControl::Continue
        }
    }

    fn handle_ready(&mut self, Ready { peer, token, hangup }: Ready, now: Micros) {
        match peer {
            Peer::Stop => {
                drain(&self.signals.stop);
                log!("SIGTERM received: stopping");
                self.life.stop(now);
                self.apply_lifecycle(now);
                self.members.iter_mut().for_each(Members::leave);
            }
            Peer::Reload => {
                drain(&self.signals.reload);
                self.begin_reload(now);
            }
            Peer::ClientListener => self.platform.accept(&mut self.poll, now),
            Peer::Client => self.platform.ready(&self.poll, token, hangup, now, &mut self.inputs),
            Peer::Endpoint => self.servers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::Discovery => {
                if let Some(update) = self.watch.ready(&mut self.poll, token, now) {
                    let (generation, whole, none) =
                        (update.generation, update.whole, update.entries.is_empty());
                    self.apply_list(ListSource::Discovery, update);
                    self.publish_list(now, generation, whole || !none);
                }
            }
            Peer::Reports => {
                let reported = self.reports.ready(&self.poll, token, now);
                self.inputs.extend(reported.into_iter().map(Input::OutcomeReported));
            }
            Peer::AmqpListener => {
                if let Some(front) = &mut self.publishers {
                    front.accept(&mut self.poll, now);
                }
            }
            Peer::Publisher => {
                if let Some(front) = &mut self.publishers {
                    front.ready(&self.poll, token, hangup, now, &mut self.inputs);
                }
            }
            Peer::Broker => self.brokers.ready(&self.poll, token, now, &mut self.inputs),
            Peer::AdminListener => {
                if let Some(admin) = &mut self.admin {
                    admin.accept(&mut self.poll, now);
                }
            }
            Peer::Admin => {
                if let Some(admin) = &mut self.admin {
                    admin.ready(&self.poll, token, hangup, now);
                }
            }
            Peer::OpsListener => {
                if let Some(ops) = &mut self.ops {
                    ops.accept(&mut self.poll, now);
                }
            }
            Peer::Ops => self.handle_ops_connection(token, now),
            Peer::Members => {
                if let Some(members) = &mut self.members {
                    members.ready(now);
                }
            }
            Peer::UpgradeListener => self.accept_successor(now),
            Peer::Successor => self.read_successor(now),
            Peer::Resolver => {
                let update = self.dns_sd.as_mut().and_then(|dns| dns.ready(&self.poll, token, now));
                if let Some(update) = update {
                    self.apply_list(ListSource::DnsSd, update);
                }
            }
        }
    }

    /// While many forwarders start, delays this forwarder's first calls to a moment of its own.
    fn delay_first_calls(&mut self, now: Micros) {
        let (Some(ramp), Some(members)) = (&mut self.ramp, &self.members) else { return };
        for input in &self.inputs {
            if let Input::Submission(offer) = input {
                ramp.message_waiting(now, offer.destination);
            }
        }
        let rate = ramp.send_rate(now);
        self.engine.set_initial_rate(rate);
        if rate.is_none() {
            self.ramp = None;
            return;
        }
        let destinations = self.endpoint_list.entries().map(|entry| entry.record.destination);
        let delays: BTreeMap<_, _> =
            ramp.delays(now, members.start_position(), destinations).into_iter().collect();
        if delays.is_empty() {
            return;
        }
        let hold_back = |entry: &ListEntry| {
            let until = delays.get(&entry.record.destination)?;
            Some(Input::HoldBack(entry.record.endpoint, until.minus(now)))
        };
        self.inputs.extend(self.endpoint_list.entries().filter_map(hold_back));
    }

    /// Applies the current lifecycle stage: readiness, the policy for client connections, and the end of
    /// calls.
    pub(super) fn apply_lifecycle(&mut self, now: Micros) {
        self.life.tick(now);
        self.platform.is_ready = self.life.accepts_clients();
        self.platform.connection_policy = self.life.connections(now);
        if !self.life.may_call(now) && !std::mem::replace(&mut self.calls_stopped, true) {
            self.inputs.push(Input::StopCalls);
        }
    }

    fn execute(&mut self, output: Output, now: Micros) {
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
                let outgoing = Outgoing { call, endpoint, wait, send_deadline: leaves_by };
                self.servers.call(&mut self.poll, now, outgoing, &items, &mut self.inputs);
            }
            Output::Abort(call) => {
                self.servers.abort(call);
                self.brokers.abort(&self.poll, call);
            }
            Output::ReportOutcome { message, front: HTTP_FRONT, id, outcome, .. } => {
                self.reports.add(message, &id, outcome)
            }
            // While the AMQP front is disabled, its delivery reports stay pending.
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
