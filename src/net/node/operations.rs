//! Operators' requests: statistics, drains, maintenance, and the administration API.

use super::Node;
use crate::config::descriptors::OTHER_DESCRIPTORS;
use crate::config::probation::ServiceCounts;
use crate::engine::figures::ClassCounts;
use crate::lifecycle::{CannotChangeDrain, Stage};
use crate::maintenance::agent::ProcessState;
use crate::net::admin::{Admin, ApiContext};
use crate::net::clients::amqp::AmqpFront;
use crate::net::maintenance::MaintenanceAction;
use crate::net::ops::{self, Ops};
use crate::Micros;
use serde_json::json;

impl Node {
    /// Runs maintenance: takes this forwarder out of service and back as the ledger specifies, and answers
    /// operators.
    pub(super) fn run_maintenance(&mut self, now: Micros) {
        let Some(members) = &mut self.members else { return };
        let settled = self.ramp.as_ref().is_none_or(|ramp| ramp.settled(now)) && !self.engine.is_replaying();
        let (life, outstanding, clients) =
            (&self.life, self.engine.outstanding(), self.platform.connection_count());
        let process_state = || ProcessState {
            in_service: life.accepts_clients(),
            settled,
            draining: life.stage() == Stage::Draining,
            drained: life.drain_complete(now) && outstanding == 0 && clients == 0,
        };
        for action in members.maintain(now, process_state) {
            match action {
                MaintenanceAction::Drain(_) => self.life.start_maintenance_drain(now),
                MaintenanceAction::EndDrain => self.life.stop_maintenance_drain(),
                MaintenanceAction::Answer(token, answer) => {
                    if let Some(ops) = &mut self.ops {
                        ops.answer(&self.poll, token, now, &answer);
                    }
                }
            }
        }
        self.apply_lifecycle(now);
    }

    /// Handles a connection of the operations API that is ready.
    pub(super) fn handle_ops_connection(&mut self, token: u64, now: Micros) {
        let Some(ops) = &mut self.ops else { return };
        let Some(call) = ops.ready(&self.poll, token, now) else { return };
        let answer = match call {
            ops::Command::Readiness => ops::Answer::readiness(&self.life),
            ops::Command::Statistics => ops::Answer::statistics(&self.statistics(now)),
            ops::Command::Clients => ops::Answer::statistics(&self.platform.figures()),
            ops::Command::Members => {
                ops::Answer::json_or_not_found(self.members.as_ref().map(|members| members.members_json(now)))
            }
            ops::Command::MaintenancePlans => ops::Answer::json_or_not_found(
                self.members.as_ref().and_then(|members| members.maintenance_status(now)),
            ),
            ops::Command::ChangeMaintenance(request) => {
                let answer = match &mut self.members {
                    Some(members) => members.submit_maintenance(now, token, request),
                    None => Some(ops::Answer::not_found()),
                };
                match answer {
                    Some(answer) => answer,
                    // The answer comes with the actions of a later iteration.
                    None => return,
                }
            }
            ops::Command::StartDrain => {
                let started = self.life.start_drain(now);
                if started == Ok(true) {
                    log!("draining: /ready answers no, client connections are closed within 3.5 s");
                }
                self.answer_drain_change(started)
            }
            ops::Command::StopDrain => {
                let ended = self.life.stop_drain();
                if ended == Ok(true) {
                    log!("drain ended: /ready answers yes");
                }
                self.answer_drain_change(ended)
            }
        };
        self.apply_lifecycle(now);
        if let Some(ops) = &mut self.ops {
            ops.answer(&self.poll, token, now, &answer);
        }
    }

    fn answer_drain_change(&self, result: Result<bool, CannotChangeDrain>) -> ops::Answer {
        match result {
            Ok(_) => ops::Answer::current_stage(self.life.stage()),
            Err(CannotChangeDrain(stage)) => ops::Answer::conflict(stage),
        }
    }

    /// The statistics for operators. Cost: the classes and the listed endpoints.
    pub(in crate::net) fn statistics(&self, now: Micros) -> serde_json::Value {
        let classes = &self.engine.directory().classes;
        let forwards: u64 = classes.active().map(|index| self.engine.class_counts(index).forwards).sum();
        let results = classes.active().map(|index| {
            let ClassCounts { succeeded, declined, aborted, forwards } = self.engine.class_counts(index);
            let counts = json!({
                "succeeded": succeeded, "declined": declined, "aborted": aborted, "forwards": forwards,
            });
            (classes.name(index).to_owned(), counts)
        });
        let mut figures = json!({
            "results": serde_json::Value::Object(results.collect()),
            "forwards": forwards,
            "outstanding": self.engine.outstanding(),
            "discovered": self.endpoint_list.len(),
            "ejected": self.engine.open_circuits(),
            "stage": self.life.stage().name(),
        });
        if let Some(members) = &self.members {
            figures["membership"] = members.figures(now);
            let (starting, replays) = (members.start_position().starting, self.engine.is_replaying());
            let start = self.ramp.as_ref().map(|ramp| ramp.figures(now));
            figures["membership"]["start"] = match start {
                Some((window, raised)) => {
                    json!({"members": starting, "window_s": window, "raised": raised, "replays": replays})
                }
                None if replays => json!({"members": starting, "replays": replays}),
                None => serde_json::Value::Null,
            };
        }
        figures
    }

    /// Keeps all peers together within the descriptors: while publishers, administration and operators have
    /// connections, clients have less, and idle connections to endpoints close where that is not enough.
    pub(super) fn limit_descriptors(&mut self) {
        let others = self.other_connections();
        self.platform.make_room_for(others);
        let open = OTHER_DESCRIPTORS + self.platform.connection_count() + self.servers.count() + others;
        let excess = open.saturating_sub(self.change_service.model().sockets);
        self.servers.close_longest_idle(excess);
    }

    /// Number of open connections of publishers, of the administration API and of operators.
    pub(in crate::net) fn other_connections(&self) -> usize {
        self.publishers.as_ref().map_or(0, AmqpFront::connection_count)
            + self.admin.as_ref().map_or(0, Admin::connection_count)
            + self.ops.as_ref().map_or(0, Ops::connection_count)
    }

    /// Answers requests to the administration API that have been received.
    pub(super) fn answer_admin_requests(&mut self, now: Micros) {
        let Some(admin) = &mut self.admin else { return };
        let context = ApiContext {
            engine: &self.engine,
            endpoint_list: &self.endpoint_list,
            change_service: &self.change_service,
            now,
        };
        admin.answer_received(&self.poll, context, &mut self.inputs, &mut self.queued_changes);
    }

    /// The service counts by which a probation is judged.
    pub(in crate::net) fn service_counts(&self) -> ServiceCounts {
        let counts = self.engine.totals();
        let publishers = self.publishers.as_ref().map_or(0, |front| front.listener_failures);
        let admin = self.admin.as_ref().map_or(0, |admin| admin.listener_failures);
        ServiceCounts {
            accepted: counts.accepted,
            rejected: counts.rejected,
            listener_failures: self.platform.listener_failures + publishers + admin,
        }
    }
}
