//! What a sender remembers, in a form that can be handed to the process that follows, and the arithmetic of its counts. Nothing here decides anything or holds a tuned
//! value: all of those stand in `src/choice.rs`.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A destination or, where routes are apart, one endpoint of it.
pub type LaneId = (DestinationId, Option<EndpointId>);

/// Health of an endpoint or a lane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    #[default]
    Up,
    /// Nothing gets through; sparse trials only.
    Out,
    /// Returning since then, still cold.
    Back(Micros),
}

/// A message that is held or out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    pub destination: DestinationId,
    pub class: usize,
    pub key: Option<u64>,
    pub taken: Micros,
    pub deadline: Micros,
    pub aim: Micros,
    pub tenant: usize,
    pub attempts: u32,
    pub tries: u32,
    pub ready_at: Micros,
    /// Timer B's clock, in microseconds: pauses and attempts; it stands still while the lane holds it.
    pub spent: f64,
    /// The attempt that is out: never more than one.
    pub out: Option<Flight>,
    /// First attempt that may have run: when it was sent, where, and in which zone.
    pub may_have_run: Option<(Micros, EndpointId, u32)>,
    pub closed: bool,
    /// A start found it.
    pub found: bool,
}

/// An attempt that is out.
#[derive(Clone, Debug, Copy, Serialize, Deserialize)]
pub struct Flight {
    pub attempt: u32,
    pub call: u64,
    pub sent_at: Micros,
}

/// A call that is out, with the messages that share it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Call {
    pub endpoint: EndpointId,
    pub lane: LaneId,
    pub left: u32,
    pub first: bool,
    pub sent_at: Micros,
    /// From then on its slot may be taken for another message.
    pub overdue_at: Micros,
    /// How long the connection it went out on had been idle; zero for a new or a busy one.
    pub idle: Micros,
    /// Whose message opened it, and how long it was expected to keep its slot.
    pub tenant: usize,
    pub expected: Micros,
    /// Messages that it carries.
    pub carries: Vec<MessageId>,
}

/// An endpoint that the list has named.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    pub destination: DestinationId,
    pub zone: u32,
    pub kind: usize,
    pub weight: f64,
    pub told_off: Option<Micros>,
    pub health: Health,
    pub bad: u32,
    /// Answers in a row that could not be read.
    pub spoilt: u32,
    pub good: u32,
    pub in_flight: u32,
    pub last_used: Micros,
    /// A call failed on a connection that had been idle for so long, and none has ended on a new one since.
    pub suspect: Option<Micros>,
}

/// Whether calls get through, and the budget of calls while they did not or have just begun to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Health {
    pub phase: Phase,
    /// Since the last served call it answered with an error, or shut its door.
    pub refusing: bool,
    /// When a call there was last served.
    pub served_at: Micros,
    pub called_at: Micros,
    /// Bucket of the fail-back budget (rule 4).
    pub tokens: f64,
    pub filled_at: Micros,
}

/// Latency of served calls, in microseconds: aged mean, and the p95 of the recent ones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Latency {
    pub mean: Option<f64>,
    pub p95: f64,
    pub recent: VecDeque<u64>,
}

/// A count that fades with time.
#[derive(Clone, Debug, Copy, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faded {
    pub value: f64,
    pub at: Micros,
}

/// What a sender knows of one lane: the estimator of formula (10), the pace, and the lane's health.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Lane {
    pub latency: Latency,
    pub attempts: Faded,
    pub lost: Faded,
    pub firsts: Faded,
    pub repeats: Faded,
    pub pace: f64,
    pub tokens: f64,
    pub filled_at: Micros,
    pub rate: Faded,
    /// The limit told for all senders together, aged, in calls a second (0: none told), and the share of it last
    /// told to be left.
    pub limit: f64,
    pub left: f64,
    pub told_at: Micros,
    pub cut_at: Micros,
    pub wait_until: Micros,
    pub fulls: u32,
    pub health: Health,
    /// Calls this lane was asked to take, and when it was last of use.
    pub demand: Faded,
    pub used_at: Micros,
}

/// The messages of one order key, and how long it rests, and for whom that does not count.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyQueue {
    pub order: VecDeque<MessageId>,
    pub rest_until: Micros,
    pub rest_for: Option<MessageId>,
}

impl Faded {
    /// What is left of it.
    pub fn now(&self, now: Micros, memory_s: f64) -> f64 {
        self.value * (-seconds(now.minus(self.at)) / memory_s).exp()
    }

    /// Counts more.
    pub fn add(&mut self, now: Micros, memory_s: f64, more: f64) {
        *self = Faded { value: self.now(now, memory_s) + more, at: now };
    }

    /// Its share of another count; zero of none.
    pub fn of(&self, whole: &Faded, now: Micros, memory_s: f64) -> f64 {
        let whole = whole.now(now, memory_s);
        if whole > 0.0 {
            self.now(now, memory_s) / whole
        } else {
            0.0
        }
    }
}

/// A length of time in seconds.
pub fn seconds(time: Micros) -> f64 {
    time.0 as f64 / 1e6
}

/// So many seconds, rounded up.
pub fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6).ceil() as u64)
}

impl Latency {
    /// Takes one more latency, with its weight in the mean and the number of them that the p95 looks at.
    pub fn add(&mut self, spent: Micros, gain: f64, keep: usize) {
        let spent_us = spent.0 as f64;
        self.mean = Some(self.mean.map_or(spent_us, |mean| mean + gain * (spent_us - mean)));
        self.recent.push_back(spent.0);
        if self.recent.len() > keep {
            self.recent.pop_front();
        }
        let mut sorted: Vec<u64> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        self.p95 = sorted[(sorted.len() * 95).div_ceil(100) - 1] as f64;
    }
}

/// Orders by what gains most; of equals, the oldest is the greater.
pub fn first(a: &(f64, MessageId), b: &(f64, MessageId)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
}
