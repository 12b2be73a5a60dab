//! State that the engine hands over to its successor process beside the journal: the calls in progress and
//! the state of the dispatcher. The rest is in the journal, which holds all messages as of the last loop
//! iteration.

use super::*;
use crate::{DispatcherState, IndexMapping};
use serde::{Deserialize, Serialize};

/// A call in progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct CallInProgress {
    call: CallId,
    endpoint: EndpointId,
    written: bool,
    sent_at: Micros,
    /// Absent in a handover from an older version.
    #[serde(default)]
    leaves_by: Option<Micros>,
    /// The message, the attempt's number and its time-out, for each item; `None` once the attempt has ended.
    items: Vec<Option<(MessageId, u32, Micros)>>,
}

/// The state handed over. See the [module documentation](self).
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineHandover {
    /// Numbers and names of classes and of tenants, by index.
    classes: Vec<(u32, String)>,
    tenants: Vec<(u32, String)>,
    #[serde(rename = "next_flow")]
    next_message: u32,
    next_call: CallId,
    calls: Vec<CallInProgress>,
    #[serde(rename = "decided")]
    dispatcher: DispatcherState,
}

impl EngineHandover {
    /// Ids of the calls in progress.
    pub fn call_ids(&self) -> impl Iterator<Item = CallId> + '_ {
        self.calls.iter().map(|one| one.call)
    }

    /// Replaces the ids of endpoints that are different in the successor.
    pub fn rename_endpoints(&mut self, renamed: &BTreeMap<EndpointId, EndpointId>) {
        for call in &mut self.calls {
            call.endpoint = renamed.get(&call.endpoint).copied().unwrap_or(call.endpoint);
        }
        self.dispatcher.rename_endpoints(renamed);
    }
}

impl Engine {
    /// Whether no event, output or record of the last iteration is pending, so that a handover now is
    /// complete.
    pub fn is_idle(&self) -> bool {
        self.events.is_empty() && self.outputs.is_empty() && self.records.is_empty()
    }

    /// The state that the successor needs beside the journal. Fails if the journal does not hold all records
    /// and they cannot be written.
    pub fn hand_over(&mut self) -> Result<EngineHandover, String> {
        if self.calls_stopped {
            // The dispatcher has not processed the answers since then: the successor would wait for them
            // forever.
            return Err("this process is about to end and starts no more calls".to_owned());
        }
        let (undeclared, memory) = (std::mem::take(&mut self.undeclared_names), &self.memory);
        let live = || snapshot(&self.directory, &self.messages, &self.calls, memory, &self.paused);
        if let Err(problem) = self.journal.ensure_written(&undeclared, live) {
            self.undeclared_names = undeclared;
            return Err(format!("the journal cannot be written: {problem}"));
        }
        let names = |table: &crate::directory::NameTable| {
            table.iter().map(|(named, _)| (named.number, named.name.clone())).collect()
        };
        let in_progress = |(&id, call): (&CallId, &Call)| CallInProgress {
            call: id,
            endpoint: call.endpoint,
            written: call.written,
            sent_at: call.sent_at,
            leaves_by: Some(call.leaves_by),
            items: call.items.clone(),
        };
        Ok(EngineHandover {
            classes: names(&self.directory.classes),
            tenants: names(&self.directory.tenants),
            next_message: self.next_message,
            next_call: self.next_call,
            calls: self.calls.iter().map(in_progress).collect(),
            dispatcher: self.dispatcher.snapshot(),
        })
    }

    /// Builds an engine from the state that the predecessor hands over. `indexes` maps the predecessor's
    /// kinds and zones to those of this process. Writes nothing yet: see [`Engine::claim_journal`].
    pub fn resume_handover(
        core: &Core,
        seed: u64,
        folder: (&Path, u64),
        now: Micros,
        cached: Vec<EndpointRecord>,
        (mut handover, indexes): (EngineHandover, &IndexMapping),
    ) -> Engine {
        // Names get the predecessor's indices, which the dispatcher's state refers to.
        let mut directory = Directory::default();
        let classes = handover.classes.drain(..).map(|(number, name)| NumberedName { number, name });
        classes.for_each(|named| directory.classes.declare(named));
        let tenants = handover.tenants.drain(..).map(|(number, name)| NumberedName { number, name });
        tenants.for_each(|named| directory.tenants.declare(named));
        let mut engine = Engine::from_journal(core, seed, folder, now, cached, directory);
        handover.dispatcher.remap_indexes(indexes);
        engine.apply_handover(handover, seed);
        engine
    }

    fn apply_handover(&mut self, handover: EngineHandover, seed: u64) {
        let EngineHandover { next_message, next_call, calls, mut dispatcher, .. } = handover;
        dispatcher.set_effects(|id| self.messages.get(&id)?.accepted.effect);
        let known_messages: BTreeSet<MessageId> = dispatcher.unfinished().collect();
        self.dispatcher = Dispatcher::resume(self.settings.clone(), seed, dispatcher);
        (self.next_message, self.next_call) = (next_message, next_call);
        let mut calls_by_message = BTreeMap::new();
        for one in calls {
            for (index, item) in one.items.iter().enumerate() {
                let Some((message, _, until)) = item else { continue };
                calls_by_message.insert(*message, one.call);
                self.call_timeouts.insert((*until, one.call, index));
            }
            let leaves_by = one.leaves_by.unwrap_or(Micros(u64::MAX));
            if !one.written {
                self.unwritten.insert((leaves_by, one.call));
            }
            let CallInProgress { endpoint, written, sent_at, items, .. } = one;
            self.calls.insert(one.call, Call { endpoint, written, sent_at, leaves_by, items });
        }
        for (number, message) in &mut self.messages {
            // The replay treats an attempt without an outcome as one that may have run. If its call is still
            // in progress, that does not apply.
            let was_unsettled = message.call.take().is_some();
            message.call = calls_by_message.get(number).copied();
            if message.call.is_some() && was_unsettled {
                message.may_have_run = None;
            }
        }
        for number in known_messages
            .iter()
            .filter(|number| self.messages.get(number).is_none_or(|message| message.outcome.is_some()))
        {
            self.events.push(Event::Withdrawn(*number));
        }
        // A message in a call must not get a second attempt, even if the dispatcher's state does not contain
        // it.
        self.restore_messages(|number| {
            known_messages.contains(&number) || calls_by_message.contains_key(&number)
        });
        self.events.push(Event::Wake);
    }
}
