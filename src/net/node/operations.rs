//! What operators' staff ask for: figures, drains, maintenance, and the administration's changes.

use super::Node;
use crate::config::probation::ServiceCounts;
use crate::engine::figures::Figures;
use crate::lifecycle::{NoWayBack, Stage};
use crate::maintenance::agent::Facts;
use crate::net::admin::{self, View};
use crate::net::maintenance::Order;
use crate::net::ops;
use crate::Micros;
use serde_json::json;

impl Node {
    /// Maintenance: goes out and comes back as the ledger says, and answers staff.
    pub(super) fn maintain(&mut self, now: Micros) {
        let Some(members) = &mut self.members else { return };
        let settled = self.ramp.as_ref().is_none_or(|ramp| ramp.settled(now)) && !self.engine.replays();
        let (life, outstanding, clients) = (&self.life, self.engine.outstanding(), self.platform.held());
        let facts = || Facts {
            in_service: life.takes_clients(),
            settled,
            draining: life.stage() == Stage::Draining,
            drained: life.sent_away(now) && outstanding == 0 && clients == 0,
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
            ops::Call::Readiness => ops::Answer::readiness(&self.life),
            ops::Call::Stats => ops::Answer::stats(&self.stats(now)),
            ops::Call::Members => ops::Answer::known(self.members.as_ref().map(|members| members.list(now))),
            ops::Call::Rounds => {
                ops::Answer::known(self.members.as_ref().and_then(|members| members.rounds(now)))
            }
            ops::Call::Maintain(asked) => {
                let answer = match &mut self.members {
                    Some(members) => members.ask_maintenance(now, token, asked),
                    None => Some(ops::Answer::nowhere()),
                };
                match answer {
                    Some(answer) => answer,
                    // With the orders of a later turn.
                    None => return,
                }
            }
            ops::Call::StartDrain => {
                if self.life.start_drain(now) {
                    log!("draining: /ready says no, clients are sent away within 3.5 s");
                }
                ops::Answer::done(self.life.stage())
            }
            ops::Call::StopDrain => match self.life.stop_drain() {
                Ok(was_on) => {
                    if was_on {
                        log!("the drain is over: /ready says yes");
                    }
                    ops::Answer::done(self.life.stage())
                }
                Err(NoWayBack(stage)) => ops::Answer::too_late(stage),
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
        let forwards: u64 = classes.active().map(|place| self.engine.figures(place).forwards).sum();
        let results = classes.active().map(|place| {
            let Figures { succeeded, declined, aborted, forwards } = self.engine.figures(place);
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
            "ejected": self.engine.avoided(),
            "stage": self.life.stage().word(),
        });
        if let Some(members) = &self.members {
            figures["membership"] = members.figures(now);
            let (starting, replays) = (members.among().starting, self.engine.replays());
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
        let view = View {
            engine: &self.engine,
            book: &self.endpoint_list,
            change_service: &self.change_service,
            now,
        };
        let waiting = self.asks.len();
        match told {
            None => admin.ready(&self.poll, token, view, &mut self.inputs, &mut self.asks, waiting),
            Some(answer) => {
                admin.told(&self.poll, token, answer);
                admin.read(&self.poll, token, view, &mut self.inputs, &mut self.asks, waiting);
            }
        }
    }

    /// Sums for a probation.
    pub(in crate::net) fn sums(&self) -> ServiceCounts {
        let counts = self.engine.sums();
        let publishers = self.publishers.as_ref().map_or(0, |front| front.listener_failures);
        let admin = self.admin.as_ref().map_or(0, |admin| admin.listener_failures);
        ServiceCounts {
            accepted: counts.taken_on,
            rejected: counts.turned_down,
            listener_failures: self.platform.listener_failures + publishers + admin,
        }
    }
}
