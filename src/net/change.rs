//! Puts configuration changes in force, one between two iterations of the event loop, with the node as the
//! target of a transaction. Changes come from the administration API, from SIGHUP, and from a trial that has
//! ended.

use super::admin::changes::{refusal_answer, version_status, ChangeRequest, QueuedChange};
use super::admin::{Admin, Answer};
use super::clients::amqp::AmqpFront;
use super::clients::AMQP_FRONT;
use super::http;
use super::list::dns_sd::DnsSd;
use super::list::endpoints::ListSource;
use super::members::{self, Members};
use super::node::{broker_entry, endpoint_idle_time, Node};
use super::poll::Peer;
use crate::config::descriptors::DescriptorShares;
use crate::config::desk::{Change, ChangeOrigin, PlannedChange, Refusal};
use crate::config::memory::MemoryShares;
use crate::config::model::{Difference, Model, Part};
use crate::config::plan::Step;
use crate::config::problem::Problem;
use crate::config::secret::DiskFiles;
use crate::config::transaction::{self, ChangeTarget, Point};
use crate::config::versions::{Version, Versions};
use crate::{directory, Micros};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::json;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Instant;

/// Aborts the process at the point that a test selects by `CEDARWHARF_FAIL_AT`; in debug builds only.
pub(super) fn crash_point(point: &str) {
    if cfg!(debug_assertions) && std::env::var("CEDARWHARF_FAIL_AT").is_ok_and(|at| at == point) {
        std::process::abort();
    }
}

/// Raises the process's limit of descriptors to `sockets`, where the system's hard limit allows it. Returns
/// the limit before.
pub(super) fn raise_descriptor_limit(sockets: usize) -> Result<Rlimit, Problem> {
    let limit = getrlimit(Resource::Nofile);
    let wanted = sockets as u64;
    if limit.current.is_none_or(|current| current >= wanted) {
        return Ok(limit);
    }
    let raised = Rlimit { current: Some(wanted), maximum: limit.maximum };
    if limit.maximum.is_some_and(|maximum| maximum < wanted) || setrlimit(Resource::Nofile, raised).is_err() {
        let maximum = limit.maximum.unwrap_or_default();
        let what = format!("{sockets} descriptors, but the system allows {maximum}");
        return Err(Problem::new(
            "limits.sockets",
            what,
            "raise the hard limit of open files, or configure fewer",
        ));
    }
    Ok(limit)
}

/// The resources that a prepared step holds.
enum PreparedStep {
    Nothing,
    Listener(Option<TcpListener>),
    Socket(Option<UdpSocket>),
    Sockets(Rlimit),
}

/// The node as the target of a configuration transaction.
struct RunningNode<'a> {
    node: &'a mut Node,
    versions: &'a Versions,
    /// Whether the change fails where its version cannot be written. A change of the platform's file does not:
    /// the next start reads that file anyway.
    must_record: bool,
    to: &'a Model,
    now: Micros,
}

impl RunningNode<'_> {
    fn bind(&mut self, path: &str, at: Option<SocketAddr>, peer: Peer) -> Result<PreparedStep, Problem> {
        let Some(at) = at else { return Ok(PreparedStep::Listener(None)) };
        let poll = &mut self.node.poll;
        let listen =
            TcpListener::bind(at).and_then(|listener| poll.listen(&listener, peer).map(|()| listener));
        let listener = listen.map_err(|problem| {
            Problem::new(path, format!("cannot listen on {at}: {problem}"), "choose an address that is free")
        })?;
        Ok(PreparedStep::Listener(Some(listener)))
    }

    /// Moves the AMQP front to another listener, or switches it on or off.
    fn move_publishers(&mut self, listener: Option<TcpListener>) {
        let node = &mut *self.node;
        match (listener, &mut node.publishers) {
            (Some(listener), Some(front)) => front.move_to(listener),
            (Some(listener), None) => {
                let directory = node.engine.directory().clone();
                let logins = self.to.publishers.clone();
                let buffers = MemoryShares::of(self.to.memory).publishers;
                node.publishers = Some(AmqpFront::new(listener, logins, directory, buffers, self.now));
                node.engine.repeat_reports(AMQP_FRONT);
            }
            (None, _) => node.publishers = None,
        }
    }

    /// Moves the administration API to another listener, or switches it on or off.
    fn move_administration(&mut self, listener: Option<TcpListener>) {
        let node = &mut *self.node;
        match (listener, &mut node.admin) {
            (Some(listener), Some(admin)) => admin.move_to(listener),
            (Some(listener), None) => {
                let buffers = MemoryShares::of(self.to.memory).administration;
                node.admin = Some(Admin::new(listener, self.to.tokens.clone(), buffers));
            }
            // The connections that wait for the answer to this change still get it; then the API is closed.
            (None, Some(admin)) => admin.retire(),
            (None, None) => {}
        }
    }

    /// Applies the limits that depend on several parts of the configuration.
    fn apply_limits(&mut self) {
        let (node, to) = (&mut *self.node, self.to);
        let slots = to.core.settings.slots;
        let shares = MemoryShares::of(to.memory);
        let descriptors = DescriptorShares::of(to);
        let directory = node.engine.directory().clone();
        node.servers.configure(
            to.dial_timeout,
            endpoint_idle_time(to),
            descriptors.endpoints,
            shares.answer_bytes(slots, http::MAX_RESPONSE_BYTES),
        );
        node.platform.configure(directory.clone(), descriptors.clients, shares.clients);
        node.watch.set_max_list_bytes(shares.endpoint_list);
        if let Some(admin) = &mut node.admin {
            admin.set_max_buffered_bytes(shares.administration);
        }
        node.brokers.set_directory(directory.clone(), to.dial_timeout);
        if let Some(front) = &mut node.publishers {
            front.configure(directory, to.publishers.clone(), self.now);
            front.set_max_buffered_bytes(shares.publishers);
        }
    }
}

impl ChangeTarget for RunningNode<'_> {
    type Prepared = PreparedStep;

    fn prepare(&mut self, step: &Step) -> Result<PreparedStep, Problem> {
        let engine = &mut self.node.engine;
        match &step.to {
            Part::Sockets(sockets) => raise_descriptor_limit(*sockets).map(PreparedStep::Sockets),
            Part::Listen(at) => self.bind("listen", Some(*at), Peer::ClientListener),
            Part::AmqpListen(at) => self.bind("amqp.listen", *at, Peer::AmqpListener),
            Part::AdminListen(at) => self.bind("admin.listen", *at, Peer::AdminListener),
            Part::Members(None) => Ok(PreparedStep::Socket(None)),
            Part::Members(Some(settings)) => {
                // Where the address stays the same, the socket is kept: datagrams in flight are not lost.
                let is_bound =
                    |members: &&Members| members.socket().local_addr().is_ok_and(|at| at == settings.listen);
                let socket = match self.node.members.as_ref().filter(is_bound) {
                    Some(members) => members.socket().try_clone(),
                    None => members::bind(&mut self.node.poll, settings.listen),
                };
                socket.map(|socket| PreparedStep::Socket(Some(socket))).map_err(|problem| {
                    let what = format!("cannot listen on {}: {problem}", settings.listen);
                    Problem::new("membership.listen", what, "choose an address that is free")
                })
            }
            Part::Disk(disk) => match engine.check_disk_limit(*disk) {
                Ok(()) => Ok(PreparedStep::Nothing),
                Err(what) => {
                    Err(Problem::new("limits.disk_mb", what, "allow more, or wait until less is held"))
                }
            },
            Part::Core(core) => {
                let names = engine.directory();
                let count = names.classes.len_with(&core.classes).max(names.tenants.len_with(&core.tenants));
                if count > directory::MAX_NAMES {
                    let what = format!("{count} names since the start, {} at most", directory::MAX_NAMES);
                    return Err(Problem::new(
                        "tenants",
                        what,
                        "restart: this frees the names that were removed",
                    ));
                }
                Ok(PreparedStep::Nothing)
            }
            _ => Ok(PreparedStep::Nothing),
        }
    }

    fn release(&mut self, _: &Step, prepared: PreparedStep) {
        match prepared {
            // Dropping a listener closes it; connections that it has not accepted yet are refused.
            PreparedStep::Listener(_) | PreparedStep::Socket(_) | PreparedStep::Nothing => {}
            PreparedStep::Sockets(limit) => {
                let _ = setrlimit(Resource::Nofile, limit);
            }
        }
    }

    fn record(&mut self) -> Result<(), Problem> {
        let Some(store) = &mut self.node.store else { return Ok(()) };
        match store.write(self.versions, || crash_point("rename")) {
            Err(problem) if !self.must_record => {
                log!("configuration versions not written: {problem}");
                Ok(())
            }
            written => written,
        }
    }

    fn commit(&mut self, step: &Step, prepared: PreparedStep) {
        let node = &mut *self.node;
        match (&step.to, prepared) {
            (Part::Listen(_), PreparedStep::Listener(Some(listener))) => {
                node.platform.move_to(&mut node.poll, listener, self.now);
            }
            (Part::AmqpListen(_), PreparedStep::Listener(listener)) => {
                self.move_publishers(listener);
            }
            (Part::AdminListen(_), PreparedStep::Listener(listener)) => {
                self.move_administration(listener);
            }
            (Part::Members(settings), PreparedStep::Socket(socket)) => {
                // The forwarder leaves under its old name and key, and joins again as a new start.
                if let Some(before) = &mut node.members {
                    before.leave();
                    before.tick(self.now);
                }
                if settings.is_none() {
                    node.engine.set_forwarder_count(None);
                    // Without a membership, other starting forwarders are not known.
                    node.ramp = None;
                    node.engine.set_initial_rate(None);
                }
                let handed = node.members.as_ref().map(Members::hand_over);
                let (forwarders, seed) = (self.to.core.settings.forwarders, node.seed);
                let folder = node.folder.clone();
                node.watch.enabled = true;
                let before = node.members.as_ref().and_then(Members::list);
                node.members = settings.as_ref().zip(socket).map(|(settings, socket)| {
                    let start =
                        members::MembersOptions { settings, forwarders, seed, folder: &folder, handed };
                    let mut members = Members::new(socket, start, self.now);
                    if let Some((edition, bytes)) = &before {
                        members.restore_list(*edition, bytes, Some(self.now));
                    }
                    members
                });
            }
            (Part::Disk(disk), _) => node.engine.set_disk_limit(*disk),
            (Part::Core(core), _) => {
                node.engine.configure(core);
                node.watch.set_forwarders(core.settings.forwarders);
                if let Some(members) = &mut node.members {
                    members.set_forwarders(core.settings.forwarders);
                }
                self.apply_limits();
            }
            (Part::Sockets(_) | Part::Memory(_) | Part::Dial(_) | Part::Publishers(_), _) => {
                self.apply_limits()
            }
            (Part::Brokers(brokers), _) => {
                node.brokers.configure(brokers);
                let entries = brokers.iter().map(broker_entry).collect();
                node.replace_entries(ListSource::OperatorsFile, entries);
            }
            (Part::Tokens(tokens), _) => {
                if let Some(admin) = &mut node.admin {
                    admin.configure(tokens.clone());
                }
            }
            (Part::DnsSd(service), _) => {
                // What was found at another resolver stays until the next lookup; what was found of another
                // service does not.
                let is_same_service = match (&step.from, service) {
                    (Part::DnsSd(Some((_, before))), Some((_, service))) => before == service,
                    _ => false,
                };
                if !is_same_service {
                    node.replace_entries(ListSource::DnsSd, Vec::new());
                }
                let lookups = |(resolver, service): &(SocketAddr, String)| {
                    DnsSd::new(*resolver, service, self.to.names.clone())
                };
                node.dns_sd = service.as_ref().map(lookups);
            }
            (Part::Discovery(at), _) => {
                node.watch.move_to(*at);
                node.reports.move_to(*at);
            }
            (Part::Log(settings), _) => super::log::configure(*settings),
            // The plan rejects changes of names.
            (Part::Names(_) | Part::Listen(_) | Part::AmqpListen(_) | Part::AdminListen(_), _) => {}
            (Part::Members(_), _) => {}
        }
    }

    fn reach(&mut self, point: Point) {
        crash_point(&point.name());
    }
}

impl Node {
    /// Handles an ended trial, or at most one queued change, or a reload. Cost: none while nothing waits and
    /// nothing is on trial.
    pub(super) fn apply_pending_changes(&mut self, now: Micros, iteration_time: Micros) {
        debug_assert!(self.change_service.is_consistent());
        debug_assert_eq!(self.part_out_of_force(), None);
        let counts = self.service_counts();
        if let Some(change) = self.change_service.check_window(now, counts, iteration_time) {
            log!("configuration on trial: {}", change.why);
            if let Err(refusal) = self.apply_change(change, now) {
                // The version stays on trial, and is judged again later.
                log!("configuration cannot be rolled back: {}", refusal.problems);
                self.change_service.postpone_window_end(now);
            }
        } else if self.change_service.probation_passed(now) {
            let confirmed = self.change_service.confirm();
            if let Err(refusal) = confirmed.and_then(|versions| self.store_versions(versions)) {
                log!("configuration cannot be confirmed: {}", refusal.problems);
                self.change_service.postpone_window_end(now);
            }
        } else if let Some(QueuedChange { connection, who, request }) = self.queued_changes.pop_front() {
            let result = self.execute_request(request, who, now);
            let number = self.change_service.versions().number();
            let answer = match result {
                Ok(answer) => Answer { etag: Some(number), ..answer },
                Err(refusal) => refusal_answer(&refusal, number),
            };
            if let Some(admin) = &mut self.admin {
                admin.complete_change(&self.poll, connection, answer);
            }
        } else {
            self.continue_reload(now);
        }
        if self.admin.as_ref().is_some_and(Admin::is_done) {
            self.admin = None;
        }
    }

    fn execute_request(
        &mut self,
        request: ChangeRequest,
        who: String,
        now: Micros,
    ) -> Result<Answer, Refusal> {
        if self.life.is_ending() {
            return Err(Refusal::new(503, "the process is stopping", "send the change to its successor"));
        }
        let current_status = |node: &Node| Answer::json(200, &version_status(&node.change_service, now));
        match request {
            ChangeRequest::Stage(document) => {
                let versions = self.change_service.stage(document, who, now, &DiskFiles)?;
                crash_point("stage");
                self.store_versions(versions)?;
            }
            ChangeRequest::Apply { document, from, why, trial } => {
                let staged = || self.change_service.versions().staged().map(|staged| staged.document.clone());
                let Some(document) = document.or_else(staged) else {
                    return Err(Refusal::new(
                        409,
                        "no candidate is staged",
                        "stage a candidate, or send one",
                    ));
                };
                let change = Change {
                    document,
                    base: None,
                    from: Some(from),
                    who,
                    why,
                    trial,
                    origin: ChangeOrigin::Document,
                };
                let began = Instant::now();
                let differences = self.apply_change(change, now)?;
                let took = began.elapsed();
                let mut status = version_status(&self.change_service, now);
                status["differences"] = json!(differences);
                // Time from the check to the last commit, in which the event loop did nothing else.
                status["took_us"] = json!(took.as_micros() as u64);
                return Ok(Answer::json(200, &status));
            }
            ChangeRequest::Confirm => {
                let versions = self.change_service.confirm()?;
                log!("configuration {} confirmed by {who}", versions.number());
                self.store_versions(versions)?;
            }
            ChangeRequest::Undo { to, from, why } => {
                let Some(to) = to.or(self.change_service.previous_version()) else {
                    return Err(Refusal::new(
                        404,
                        "no version before this one is kept",
                        "apply a file instead",
                    ));
                };
                let change = Change { from, ..self.change_service.rollback_to(to, who, why)? };
                self.apply_change(change, now)?;
            }
        }
        Ok(current_status(self))
    }

    /// Puts a change in force as a whole, or leaves everything as it was.
    pub(super) fn apply_change(&mut self, change: Change, now: Micros) -> Result<Vec<Difference>, Refusal> {
        let (who, is_logged) = (change.who.clone(), change.origin != ChangeOrigin::Platform);
        let planned = self.change_service.plan_change(change, now, &DiskFiles)?;
        crash_point("planned");
        self.apply_planned_change(planned, now).inspect_err(|refusal| {
            if is_logged {
                log!("configuration not changed for {who}: {}", refusal.problems);
            }
        })
    }

    /// Puts a planned change in force as a whole, or leaves everything as it was.
    pub(super) fn apply_planned_change(
        &mut self,
        planned: PlannedChange,
        now: Micros,
    ) -> Result<Vec<Difference>, Refusal> {
        let before = self.change_service.versions().number();
        let (versions, to) = (planned.versions.clone(), planned.model.clone());
        if !planned.steps.is_empty() || versions != *self.change_service.versions() {
            let must_record = planned.origin != ChangeOrigin::Platform;
            let mut target = RunningNode { node: self, versions: &versions, must_record, to: &to, now };
            transaction::run(&mut target, &planned.steps)
                .map_err(|problem| Refusal { status: 409, problems: problem.into() })?;
        }
        let (differences, counts) = (planned.differences.clone(), self.service_counts());
        self.change_service.complete(planned, now, counts);
        let number = self.change_service.versions().number();
        if number != before {
            let count = differences.len();
            if let Some(Version { digest, who, why, .. }) = self.change_service.versions().current() {
                log!("configuration {number} in force, digest {digest}: {count} values, by {who}: {why}");
            }
        }
        Ok(differences)
    }

    /// Stores a history that does not change the version in force.
    fn store_versions(&mut self, versions: Versions) -> Result<(), Refusal> {
        if let Some(store) = &mut self.store {
            let written = store.write(&versions, || crash_point("rename"));
            written.map_err(|problem| Refusal { status: 507, problems: problem.into() })?;
        }
        self.change_service.replace_versions(versions);
        Ok(())
    }
}
