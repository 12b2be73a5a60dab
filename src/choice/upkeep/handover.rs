//! State of the dispatcher that a handover gives to the successor process: retry-afters, drains, limits, send
//! rates, health, latencies, messages and calls in flight. Indexes and sums that follow from these are
//! computed anew. Interface: `src/interface.rs`.

use super::super::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Serialized state of a [`Dispatcher`]. The field names on the wire are those of the `rename` attributes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DispatcherState {
    messages: BTreeMap<MessageId, Message>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    #[serde(rename = "lanes")]
    routes: BTreeMap<RouteId, Route>,
    keys: BTreeMap<u64, KeyQueue>,
    #[serde(rename = "asked")]
    tenant_demand: Vec<DecayingCount>,
    #[serde(rename = "asked_all")]
    total_demand: DecayingCount,
    #[serde(rename = "stale_share")]
    stale_connection_share: f64,
    #[serde(rename = "stale_idle")]
    shortest_stale_idle: Micros,
    #[serde(rename = "full_again")]
    repeated_rejection_share: f64,
    #[serde(rename = "no_room")]
    failed_connects: Vec<DecayingCount>,
    #[serde(rename = "overall")]
    overall_latency: Latency,
    now: Micros,
}

/// Maps the indexes of kinds and zones in the predecessor's settings to those of the successor.
#[derive(Clone, Debug, Default)]
pub struct IndexMapping {
    /// New index of each kind of destination, by its old index.
    pub kinds: Vec<usize>,
    /// New index of each zone, by its old index.
    pub zones: Vec<usize>,
}

impl DispatcherState {
    /// Replaces the indexes of kinds and zones by those of the successor's settings.
    pub fn remap_indexes(&mut self, mapping: &IndexMapping) {
        let zone = |zone: u32| mapping.zones.get(zone as usize).map_or(zone, |&to| to as u32);
        for endpoint in self.endpoints.values_mut() {
            endpoint.kind = mapping.kinds.get(endpoint.kind).copied().unwrap_or(endpoint.kind);
            endpoint.zone = zone(endpoint.zone);
        }
        for call in self.calls.values_mut() {
            call.zone = call.zone.map(zone);
        }
        for message in self.messages.values_mut() {
            message.may_have_run = message.may_have_run.map(|(at, endpoint, old)| (at, endpoint, zone(old)));
        }
        let before = std::mem::take(&mut self.failed_connects);
        for (from, &to) in mapping.kinds.iter().enumerate() {
            let Some(&failed) = before.get(from) else { continue };
            if self.failed_connects.len() <= to {
                self.failed_connects.resize(to + 1, DecayingCount::default());
            }
            self.failed_connects[to] = failed;
        }
    }

    /// Replaces the ids of endpoints that are different in the successor.
    pub fn rename_endpoints(&mut self, renamed: &BTreeMap<EndpointId, EndpointId>) {
        let present = |id: EndpointId| renamed.get(&id).copied().unwrap_or(id);
        let present_route = |(destination, endpoint): RouteId| (destination, endpoint.map(present));
        let endpoints = std::mem::take(&mut self.endpoints);
        self.endpoints = endpoints.into_iter().map(|(id, endpoint)| (present(id), endpoint)).collect();
        let routes = std::mem::take(&mut self.routes);
        self.routes = routes.into_iter().map(|(id, route)| (present_route(id), route)).collect();
        for call in self.calls.values_mut() {
            call.endpoint = present(call.endpoint);
            call.route = present_route(call.route);
        }
        for message in self.messages.values_mut() {
            message.may_have_run =
                message.may_have_run.map(|(at, endpoint, zone)| (at, present(endpoint), zone));
        }
    }

    /// Sets the effect of each message by its id: it is handed over in the journal.
    pub fn set_effects(&mut self, effect_of: impl Fn(MessageId) -> Option<Effect>) {
        for (&id, message) in &mut self.messages {
            message.effect = effect_of(id).unwrap_or_default();
        }
    }

    /// Messages without a final outcome.
    pub fn unfinished(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.messages.iter().filter(|(_, message)| !message.has_final_outcome).map(|(&id, _)| id)
    }
}

impl Dispatcher {
    /// A copy of the state between two loop iterations, for a handover.
    pub fn snapshot(&self) -> DispatcherState {
        DispatcherState {
            messages: self.messages.clone(),
            calls: self.calls.clone(),
            next_call: self.next_call,
            endpoints: self.endpoints.clone(),
            routes: self.routes.clone(),
            keys: self.keys.clone(),
            tenant_demand: self.tenant_demand.clone(),
            total_demand: self.total_demand,
            stale_connection_share: self.stale_connection_share,
            shortest_stale_idle: self.shortest_stale_idle,
            repeated_rejection_share: self.repeated_rejection_share,
            failed_connects: self.failed_connects.clone(),
            overall_latency: self.overall_latency.clone(),
            now: self.now,
        }
    }

    /// Continues from the state of the predecessor. Classes and tenants have the same indexes in both
    /// processes.
    pub fn resume(settings: Settings, seed: u64, state: DispatcherState) -> Self {
        let mut next = Dispatcher::new(settings, seed);
        next.messages = state.messages;
        next.calls = state.calls;
        next.next_call = state.next_call;
        next.endpoints = state.endpoints;
        next.routes = state.routes;
        next.keys = state.keys;
        next.total_demand = state.total_demand;
        next.stale_connection_share = state.stale_connection_share;
        next.shortest_stale_idle = state.shortest_stale_idle;
        next.repeated_rejection_share = state.repeated_rejection_share;
        next.overall_latency = state.overall_latency;
        next.now = state.now;
        let last_class = next.settings.classes.len().saturating_sub(1);
        for message in next.messages.values_mut() {
            message.class = message.class.min(last_class);
        }
        for (demand, before) in next.tenant_demand.iter_mut().zip(state.tenant_demand) {
            *demand = before;
        }
        for (failed, before) in next.failed_connects.iter_mut().zip(state.failed_connects) {
            *failed = before;
        }
        for (&id, endpoint) in next.endpoints.iter().filter(|(_, e)| e.not_ready_since.is_none()) {
            next.listed.entry(endpoint.destination).or_default().push(id);
        }
        for (&number, call) in &next.calls {
            next.overdue.insert((call.overdue_at, number));
            next.scheduler.call_started(call.tenant, call.expected_duration);
        }
        for id in next.messages.keys().copied().collect::<Vec<_>>() {
            next.enqueue(id);
        }
        next
    }
}
