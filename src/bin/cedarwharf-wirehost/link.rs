//! The loop: a batch in, each instance's events to its dispatcher, one reply out.

use crate::wire::{self, Input};
use cedarwharf::report::Report;
use cedarwharf::{settings, Action, Dispatcher, EndpointRecord, Event, Lifecycle, ListScope, Micros};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};

/// Numbers that a list of endpoints can have.
const BANKS: usize = 16;

struct Instance {
    dispatcher: Dispatcher,
    pending: Vec<Event>,
    /// Where the figures of a report stand.
    places: Option<(usize, usize)>,
}

/// Answers batches until the input ends; an error is one line that says what, where and which value.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut banks: Vec<Option<Vec<EndpointRecord>>> = vec![None; BANKS];
    let mut actions: Vec<Action> = Vec::new();
    while let Some(batch) = wire::read_batch(&mut input)? {
        for (position, event) in batch.events.into_iter().enumerate() {
            take(event, &mut instances, &mut banks)
                .map_err(|problem| format!("batch {}, record {position}: {problem}", batch.number))?;
        }
        let mut reply = wire::Reply::new(batch.number);
        for (&number, instance) in instances.iter_mut().filter(|(_, i)| !i.pending.is_empty()) {
            instance.dispatcher.handle(batch.now, instance.pending.drain(..), &mut actions);
            for action in actions.drain(..) {
                reply.push(number, &action);
            }
        }
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(broken)?;
    }
    Ok(())
}

fn broken(error: io::Error) -> String {
    format!("standard output: {error}")
}

fn take(
    event: Input,
    instances: &mut BTreeMap<u32, Instance>,
    banks: &mut [Option<Vec<EndpointRecord>>],
) -> Result<(), String> {
    match event {
        Input::Begin { instance, seed, info } => {
            let dispatcher = Dispatcher::new(settings::parse(&info)?, seed);
            let places = settings::report_indices(&info);
            instances.insert(instance, Instance { dispatcher, pending: Vec::new(), places });
        }
        Input::Kill { instance } => {
            instances.remove(&instance).ok_or_else(|| format!("instance {instance} never began"))?;
        }
        Input::Ledger { bank, members } => {
            *banks.get_mut(bank as usize).ok_or_else(|| format!("list number {bank} is over 15"))? =
                Some(members);
        }
        Input::Fleet { instance, scope: ListScope::Failed, .. } => {
            queue(instances, instance, Event::EndpointRecords(ListScope::Failed, Vec::new()))?;
        }
        Input::Fleet { instance, scope, bank } => {
            let mut members = banks
                .get(bank as usize)
                .and_then(Clone::clone)
                .ok_or_else(|| format!("list number {bank} was never sent"))?;
            if scope != ListScope::Changes {
                members.retain(|m| m.lifecycle != Lifecycle::Gone);
            }
            queue(instances, instance, Event::EndpointRecords(scope, members))?;
        }
        Input::For { instance, event } => queue(instances, instance, event)?,
        Input::Settled { instance, event, endpoint, figures } => {
            let places = instances.get(&instance).and_then(|one| one.places);
            let figure = |place: usize| figures.get(place).copied();
            let report = places.and_then(|(left, limit)| Report::new(figure(left)?, figure(limit)?));
            if let Some(report) = report {
                queue(instances, instance, Event::Report(endpoint, report))?;
            }
            queue(instances, instance, event)?;
        }
        Input::Unneeded { instance } => {
            instances.get(&instance).ok_or_else(|| format!("instance {instance} never began"))?;
        }
    }
    Ok(())
}

fn queue(instances: &mut BTreeMap<u32, Instance>, number: u32, event: Event) -> Result<(), String> {
    let instance = instances.get_mut(&number).ok_or_else(|| format!("instance {number} never began"))?;
    instance.pending.push(event);
    Ok(())
}

/// One batch of events.
pub struct Batch {
    pub number: u32,
    pub now: Micros,
    pub events: Vec<Input>,
}
