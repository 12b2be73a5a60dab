//! What the core of a process hands to the core of the one that follows, beside the journal: the calls that are out, and
//! what the decisions go by. The journal tells the rest: it holds all flows as of the last turn.

use super::*;
use crate::{DispatcherState, IndexMapping};
use serde::{Deserialize, Serialize};

/// A call that is out.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Out {
    call: CallId,
    endpoint: EndpointId,
    written: bool,
    sent_at: Micros,
    /// Told by none that was handed over by a version before this.
    #[serde(default)]
    leaves_by: Option<Micros>,
    /// Each flow, its attempt, and until when it is waited for; absent where settled.
    items: Vec<Option<(MessageId, u32, Micros)>>,
}

/// See the module's text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineHandover {
    /// Numbers and names of classes and of tenants, by place.
    classes: Vec<(u32, String)>,
    tenants: Vec<(u32, String)>,
    #[serde(rename = "next_flow")]
    next_message: u32,
    next_call: CallId,
    calls: Vec<Out>,
    decided: DispatcherState,
}

impl EngineHandover {
    /// The calls that are out.
    pub fn call_ids(&self) -> impl Iterator<Item = CallId> + '_ {
        self.calls.iter().map(|out| out.call)
    }
}

impl Engine {
    /// Nothing of this turn is left over: what is handed over now is whole.
    pub fn is_idle(&self) -> bool {
        self.events.is_empty() && self.outputs.is_empty() && self.records.is_empty()
    }

    /// What the next process needs beside the journal. An error where the journal does not hold everything, and
    /// cannot be made to.
    pub fn hand_over(&mut self) -> Result<EngineHandover, String> {
        if self.calls_stopped {
            // The decisions have not heard of what was answered since: they would wait for it for good.
            return Err("this process is too near its end".to_owned());
        }
        let (unnamed, memory) = (std::mem::take(&mut self.undeclared_names), &self.memory);
        let live = || snapshot(&self.directory, &self.messages, &self.calls, memory, &self.paused);
        if let Err(problem) = self.journal.ensure_written(&unnamed, live) {
            self.undeclared_names = unnamed;
            return Err(format!("the journal cannot be written: {problem}"));
        }
        let names = |table: &crate::directory::NameTable| {
            table.iter().map(|(named, _)| (named.number, named.name.clone())).collect()
        };
        let out = |(&call, out): (&CallId, &Call)| Out {
            call,
            endpoint: out.endpoint,
            written: out.written,
            sent_at: out.sent_at,
            leaves_by: Some(out.leaves_by),
            items: out.items.clone(),
        };
        Ok(EngineHandover {
            classes: names(&self.directory.classes),
            tenants: names(&self.directory.tenants),
            next_message: self.next_message,
            next_call: self.next_call,
            calls: self.calls.iter().map(out).collect(),
            decided: self.dispatcher.snapshot(),
        })
    }

    /// Goes on with what another process hands over; `places` tells where its kinds and zones stand here. Writes nothing yet:
    /// see [`Engine::claim_journal`].
    pub fn resume_handover(
        core: &Core,
        seed: u64,
        place: (&Path, u64),
        now: Micros,
        cached: Vec<EndpointRecord>,
        (mut handed, places): (EngineHandover, &IndexMapping),
    ) -> Engine {
        // Places are the same as there: the decisions go by them.
        let mut directory = Directory::default();
        let classes = handed.classes.drain(..).map(|(number, name)| NumberedName { number, name });
        classes.for_each(|named| directory.classes.declare(named));
        let tenants = handed.tenants.drain(..).map(|(number, name)| NumberedName { number, name });
        tenants.for_each(|named| directory.tenants.declare(named));
        let mut engine = Engine::from_journal(core, seed, place, now, cached, directory);
        handed.decided.remap_indexes(places);
        engine.apply_handover(handed, seed);
        engine
    }

    fn apply_handover(&mut self, handed: EngineHandover, seed: u64) {
        let EngineHandover { next_message, next_call, calls, decided, .. } = handed;
        let known: BTreeSet<MessageId> = decided.unfinished().collect();
        self.dispatcher = Dispatcher::resume(self.settings.clone(), seed, decided);
        (self.next_message, self.next_call) = (next_message, next_call);
        let mut out = BTreeMap::new();
        for one in calls {
            for (place, item) in one.items.iter().enumerate() {
                let Some((message, _, until)) = item else { continue };
                out.insert(*message, one.call);
                self.call_timeouts.insert((*until, one.call, place));
            }
            let leaves_by = one.leaves_by.unwrap_or(Micros(u64::MAX));
            if !one.written {
                self.unwritten.insert((leaves_by, one.call));
            }
            let Out { endpoint, written, sent_at, items, .. } = one;
            self.calls.insert(one.call, Call { endpoint, written, sent_at, leaves_by, items });
        }
        for (number, message) in &mut self.messages {
            // The journal's reader takes an attempt without an outcome for one that may have run; it is still out.
            let last_unsettled = message.call.take().is_some();
            message.call = out.get(number).copied();
            if message.call.is_some() && last_unsettled {
                message.may_have_run = None;
            }
        }
        for number in known
            .iter()
            .filter(|number| self.messages.get(number).is_none_or(|message| message.outcome.is_some()))
        {
            self.events.push(Event::Withdrawn(*number));
        }
        let ended = self.end_messages_with_changed_effect();
        self.events.extend(ended.into_iter().filter(|number| known.contains(number)).map(Event::Withdrawn));
        // What is out here is out, whether the decisions know it or not: never a second attempt beside it.
        self.restore_messages(|number| known.contains(&number) || out.contains_key(&number));
        self.events.push(Event::Wake);
    }
}
