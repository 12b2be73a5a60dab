//! What the decisions go by, for the process that follows: told waits and drains, limits, pace, health, latencies, the
//! messages and the calls that are out. Orders and sums that follow from these are made anew.

use super::super::*;
use serde::{Deserialize, Serialize};

/// See the module's text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Decided {
    messages: BTreeMap<MessageId, Message>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    keys: BTreeMap<u64, KeyQueue>,
    asked: Vec<Faded>,
    asked_all: Faded,
    stale_share: f64,
    stale_idle: Micros,
    full_again: f64,
    no_room: Vec<Faded>,
    overall: Latency,
    now: Micros,
}

/// Other places in the settings of the process that follows, for kinds and zones: by the old place.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Kinds of destination.
    pub kinds: Vec<usize>,
    /// Zones.
    pub zones: Vec<usize>,
}

impl Decided {
    /// Kinds and zones go by their places in the settings, which may be others in the process that follows.
    pub fn translate(&mut self, places: &Places) {
        let zone = |zone: u32| places.zones.get(zone as usize).map_or(zone, |&to| to as u32);
        for endpoint in self.endpoints.values_mut() {
            endpoint.kind = places.kinds.get(endpoint.kind).copied().unwrap_or(endpoint.kind);
            endpoint.zone = zone(endpoint.zone);
        }
        for message in self.messages.values_mut() {
            message.may_have_run = message.may_have_run.map(|(at, endpoint, old)| (at, endpoint, zone(old)));
        }
        let before = std::mem::take(&mut self.no_room);
        for (from, &to) in places.kinds.iter().enumerate() {
            let Some(&failed) = before.get(from) else { continue };
            if self.no_room.len() <= to {
                self.no_room.resize(to + 1, Faded::default());
            }
            self.no_room[to] = failed;
        }
    }

    /// The messages that have had no final answer.
    pub fn open(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.messages.iter().filter(|(_, message)| !message.closed).map(|(&id, _)| id)
    }
}

impl Dispatcher {
    /// All of it, as it stands between two turns.
    pub fn decided(&self) -> Decided {
        Decided {
            messages: self.messages.clone(),
            calls: self.calls.clone(),
            next_call: self.next_call,
            endpoints: self.endpoints.clone(),
            lanes: self.lanes.clone(),
            keys: self.keys.clone(),
            asked: self.asked.clone(),
            asked_all: self.asked_all,
            stale_share: self.stale_share,
            stale_idle: self.stale_idle,
            full_again: self.full_again,
            no_room: self.no_room.clone(),
            overall: self.overall.clone(),
            now: self.now,
        }
    }

    /// Goes on from what another process decided by; classes and tenants have the same places there.
    pub fn follow(settings: Settings, seed: u64, decided: Decided) -> Self {
        let mut next = Dispatcher::new(settings, seed);
        let Decided { messages, calls, next_call, endpoints, lanes, keys, asked, asked_all, .. } = decided;
        (next.messages, next.calls, next.next_call) = (messages, calls, next_call);
        (next.endpoints, next.lanes, next.keys, next.asked_all) = (endpoints, lanes, keys, asked_all);
        (next.stale_share, next.stale_idle) = (decided.stale_share, decided.stale_idle);
        (next.full_again, next.overall, next.now) = (decided.full_again, decided.overall, decided.now);
        let last = next.settings.classes.len().saturating_sub(1);
        next.messages.values_mut().for_each(|message| message.class = message.class.min(last));
        next.asked.iter_mut().zip(asked).for_each(|(one, told)| *one = told);
        next.no_room.iter_mut().zip(decided.no_room).for_each(|(one, told)| *one = told);
        for (&id, endpoint) in next.endpoints.iter().filter(|(_, e)| e.told_off.is_none()) {
            next.listed.entry(endpoint.destination).or_default().push(id);
        }
        for (&number, call) in &next.calls {
            next.overdue.insert((call.overdue_at, number));
            next.gate.call_started(call.tenant, call.expected);
        }
        for id in next.messages.keys().copied().collect::<Vec<_>>() {
            next.hold(id);
        }
        next
    }
}
