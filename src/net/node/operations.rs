//! What operators' staff ask for: figures, drains, maintenance, and the administration's changes.

use super::Node;
use crate::config::probation::ServiceCounts;
use crate::engine::figures::ClassCounts;
use crate::lifecycle::{CannotEndDrain, Stage};
use crate::maintenance::agent::ProcessState;
use crate::net::admin::{self, ApiContext};
use crate::net::maintenance::Order;
use crate::net::ops;
use crate::Micros;
use serde_json::json;

impl Node {
    /// Maintenance: goes out and comes back as the ledger says, and answers staff.
    pub(super) fn maintain(&mut self, now: Micros) {
        let Some(members) = &mut self.members else { return };
        let settled = self.ramp.as_ref().is_none_or(|ramp| ramp.settled(now)) && !self.engine.is_replaying();
        let (life, outstanding, clients) =
            (&self.life, self.engine.outstanding(), self.platform.connection_count());
        let facts = || ProcessState {
            in_service: life.accepts_clients(),
            settled,
            draining: life.stage() == Stage::Draining,
            drained: life.drain_complete(now) && outstanding == 0 && clients == 0,
        };
        for order in members.maintain(now, facts) {
            match order {
                Order::Drain(_) => drop(self.life.start_drain(now)),
                // Where the process stops it has no way back, and needs none.
                Order::EndDrain => drop(self.life.stop_drain()),
                Order::Answer(token, answer) => {
                    if let Some(ops) = &mut self.ops {
                        ops.answer(&self.poll, token, now, &answer);
                    }
                }
            }
        }
        self.live(now);
    }

    /// A connection of operators' staff is ready.
    pub(super) fn operate(&mut self, token: u64, now: Micros) {
        let Some(ops) = &mut self.ops else { return };
        let Some(call) = ops.ready(&self.poll, token, now) else { return };
        let answer = match call {
            ops::Command::Readiness => ops::Answer::readiness(&self.life),
            ops::Command::Statistics => ops::Answer::statistics(&self.stats(now)),
            ops::Command::Members => {
                ops::Answer::json_or_not_found(self.members.as_ref().map(|members| members.list(now)))
            }
            ops::Command::MaintenancePlans => {
                ops::Answer::json_or_not_found(self.members.as_ref().and_then(|members| members.rounds(now)))
            }
            ops::Command::ChangeMaintenance(asked) => {
                let answer = match &mut self.members {
                    Some(members) => members.ask_maintenance(now, token, asked),
                    None => Some(ops::Answer::not_found()),
                };
                match answer {
                    Some(answer) => answer,
                    // With the orders of a later turn.
                    None => return,
                }
            }
            ops::Command::StartDrain => {
                if self.life.start_drain(now) {
                    log!("draining: /ready says no, clients are sent away within 3.5 s");
                }
                ops::Answer::current_stage(self.life.stage())
            }
            ops::Command::StopDrain => match self.life.stop_drain() {
                Ok(was_on) => {
                    if was_on {
                        log!("the drain is over: /ready says yes");
                    }
                    ops::Answer::current_stage(self.life.stage())
                }
                Err(CannotEndDrain(stage)) => ops::Answer::conflict(stage),
            },
        };
        self.live(now);
        if let Some(ops) = &mut self.ops {
            ops.answer(&self.poll, token, now, &answer);
        }
    }

    /// The figures for operators' staff. Cost: the classes and the endpoints listed.
    pub(in crate::net) fn stats(&self, now: Micros) -> serde_json::Value {
        let classes = &self.engine.directory().classes;
        let forwards: u64 = classes.active().map(|place| self.engine.class_counts(place).forwards).sum();
        let results = classes.active().map(|place| {
            let ClassCounts { succeeded, declined, aborted, forwards } = self.engine.class_counts(place);
            let counts = json!({
                "succeeded": succeeded, "declined": declined, "aborted": aborted, "forwards": forwards,
            });
            (classes.name(place).to_owned(), counts)
        });
        let mut figures = json!({
            "results": serde_json::Value::Object(results.collect()),
            "forwards": forwards,
            "outstanding": self.engine.outstanding(),
            "discovered": self.endpoint_list.0.len(),
            "ejected": self.engine.open_circuits(),
            "stage": self.life.stage().name(),
        });
        if let Some(members) = &self.members {
            figures["membership"] = members.figures(now);
            let (starting, replays) = (members.among().starting, self.engine.is_replaying());
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

    /// A connection of the administration is ready, or its change has its answer.
    pub(in crate::net) fn administer(&mut self, token: u64, now: Micros, told: Option<admin::Answer>) {
        let Some(admin) = &mut self.admin else { return };
        let context = ApiContext {
            engine: &self.engine,
            endpoint_list: &self.endpoint_list,
            change_service: &self.change_service,
            now,
        };
        let waiting = self.asks.len();
        match told {
            None => admin.ready(&self.poll, token, context, &mut self.inputs, &mut self.asks, waiting),
            Some(answer) => {
                admin.complete_change(&self.poll, token, answer);
                admin.read_requests(&self.poll, token, context, &mut self.inputs, &mut self.asks, waiting);
            }
        }
    }

    /// Sums for a probation.
    pub(in crate::net) fn sums(&self) -> ServiceCounts {
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
