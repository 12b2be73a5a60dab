//! The adapter's loop: reads a batch, passes its events to the dispatchers of their instances, and writes one
//! reply.

use crate::wire::{self, Input};
use cedarwharf::report::Report;
use cedarwharf::{settings, Action, Dispatcher, EndpointRecord, Event, Lifecycle, ListScope, Micros};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Endpoint lists are numbered 0 to 15.
const ENDPOINT_LISTS: usize = 16;

struct Instance {
    dispatcher: Dispatcher,
    pending: Vec<Event>,
    /// Indices of a report's share left and limit among the metrics of an answer.
    report_indices: Option<(usize, usize)>,
}

/// Answers batches until the input ends. An error is one line with the problem, its position and the value.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut endpoint_lists: Vec<Option<Vec<EndpointRecord>>> = vec![None; ENDPOINT_LISTS];
    let mut actions: Vec<Action> = Vec::new();
    while let Some(batch) = wire::read_batch(&mut input)? {
        for (position, event) in batch.events.into_iter().enumerate() {
            apply(event, &mut instances, &mut endpoint_lists)
                .map_err(|problem| format!("batch {}, record {position}: {problem}", batch.number))?;
        }
        let mut reply = wire::Reply::new(batch.number);
        for (&number, instance) in instances.iter_mut().filter(|(_, i)| !i.pending.is_empty()) {
            instance.dispatcher.handle(batch.now, instance.pending.drain(..), &mut actions);
            for action in actions.drain(..) {
                reply.push(number, &action);
            }
        }
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(output_error)?;
    }
    Ok(())
}

fn output_error(error: io::Error) -> String {
    format!("standard output: {error}")
}

fn not_started(instance: u32) -> String {
    format!("instance {instance} was never started")
}

/// Carries out one record of a batch, or queues its event for the dispatcher of its instance.
fn apply(
    event: Input,
    instances: &mut BTreeMap<u32, Instance>,
    endpoint_lists: &mut [Option<Vec<EndpointRecord>>],
) -> Result<(), String> {
    match event {
        Input::Start { instance, seed, info } => {
            let dispatcher = Dispatcher::new(settings::parse(&info)?, seed);
            let report_indices = settings::report_indices(&info);
            instances.insert(instance, Instance { dispatcher, pending: Vec::new(), report_indices });
        }
        Input::Kill { instance } => {
            instances.remove(&instance).ok_or_else(|| not_started(instance))?;
        }
        Input::EndpointList { bank, records } => {
            let list = endpoint_lists.get_mut(bank as usize);
            *list.ok_or_else(|| format!("endpoint list {bank}: the number is above 15"))? = Some(records);
        }
        Input::EndpointRecords { instance, scope: ListScope::Failed, .. } => {
            queue(instances, instance, Event::EndpointRecords(ListScope::Failed, Vec::new()))?;
        }
        Input::EndpointRecords { instance, scope, bank } => {
            let mut records = endpoint_lists
                .get(bank as usize)
                .and_then(Clone::clone)
                .ok_or_else(|| format!("endpoint list {bank} was never sent"))?;
            if scope != ListScope::Changes {
                records.retain(|record| record.lifecycle != Lifecycle::Gone);
            }
            queue(instances, instance, Event::EndpointRecords(scope, records))?;
        }
        Input::Event { instance, event } => queue(instances, instance, event)?,
        Input::AttemptEnded { instance, event, endpoint, metrics } => {
            let indices = instances.get(&instance).and_then(|instance| instance.report_indices);
            let metric = |index: usize| metrics.get(index).copied();
            let report = indices.and_then(|(left, limit)| Report::new(metric(left)?, metric(limit)?));
            if let Some(report) = report {
                queue(instances, instance, Event::Report(endpoint, report))?;
            }
            queue(instances, instance, event)?;
        }
        Input::Ignored { instance } => {
            instances.get(&instance).ok_or_else(|| not_started(instance))?;
        }
    }
    Ok(())
}

/// Queues an event for the dispatcher of an instance.
fn queue(instances: &mut BTreeMap<u32, Instance>, number: u32, event: Event) -> Result<(), String> {
    let instance = instances.get_mut(&number).ok_or_else(|| not_started(number))?;
    instance.pending.push(event);
    Ok(())
}

/// The events of one batch, with the simulated time at which they take place.
pub struct Batch {
    pub number: u32,
    pub now: Micros,
    pub events: Vec<Input>,
}
