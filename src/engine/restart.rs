//! Start of the engine: the messages in the journal are resumed, all at once or gradually (see
//! `startup::replay`).

use super::*;
use crate::Effect;

/// How the messages recovered from a journal are resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// All in the first iteration. Used where it is not known whether other forwarders start.
    AtOnce,
    /// After what clients submit, at a rate that the starting members share.
    Paced,
}

impl Engine {
    /// Replays the journal in the folder and resumes its messages. `cached` is the cached endpoint list.
    pub fn start(
        core: &Core,
        seed: u64,
        folder: (&Path, u64),
        now: Micros,
        cached: Vec<EndpointRecord>,
        resume: Resume,
    ) -> Engine {
        let mut engine = Engine::from_journal(core, seed, folder, now, cached, Directory::default());
        engine.messages.values_mut().for_each(|message| message.call = None);
        // A message that may have run is passed on at once. One that never ran may wait.
        let may_wait = |message: &HeldMessage| {
            resume == Resume::Paced && message.outcome.is_none() && message.may_have_run.is_none()
        };
        let waiting: Vec<_> = engine
            .messages
            .iter()
            .filter(|(_, message)| may_wait(message))
            .map(|(&id, message)| {
                (DestinationId(message.accepted.destination), message.accepted.deadline, id)
            })
            .collect();
        let waiting_ids: BTreeSet<MessageId> = waiting.iter().map(|one| one.2).collect();
        engine.restore_messages(|number| waiting_ids.contains(&number));
        engine.replay =
            (!waiting.is_empty()).then(|| Replay::new(engine.now, seed ^ now.0, waiting.into_iter()));
        if !engine.messages.is_empty() {
            let (open, unreported) = (engine.open_count, engine.messages.len() - engine.open_count);
            engine.outputs.push(Output::Log(format!(
                "journal replayed: {open} messages open, {unreported} outcomes to report"
            )));
        }
        engine.claim_journal();
        engine
    }

    pub(super) fn apply_record(&mut self, record: Record, by_index: bool) {
        match record {
            Record::Accepted(mut accepted) => {
                self.next_message = self.next_message.max(accepted.message.0.wrapping_add(1));
                accepted.effect = accepted.effect.or_else(|| self.keyed_effect_of_class(accepted.class));
                self.add_message(accepted);
            }
            Record::Sent { message, at, endpoint } => {
                if let Some(message) = self.messages.get_mut(&message) {
                    message.attempts += 1;
                    message.call = message.may_have_run.is_none().then_some(0);
                    message.may_have_run.get_or_insert((at, endpoint));
                }
            }
            Record::NeverRan(message) => {
                if let Some(message) = self.messages.get_mut(&message) {
                    // Only the attempt that set `may_have_run` can clear it.
                    if message.call.take().is_some() {
                        message.may_have_run = None;
                    }
                }
            }
            Record::AttemptSummary { message, attempts, may_have_run } => {
                if let Some(message) = self.messages.get_mut(&message) {
                    (message.attempts, message.may_have_run) = (attempts, may_have_run);
                }
            }
            Record::Ended { message, at, outcome } => {
                if let Some(message) = self.messages.get_mut(&message) {
                    if message.outcome.is_none() {
                        self.open_count -= 1;
                        self.counts[message.tenant].open -= 1;
                        self.admission.remove_message(message.tenant);
                    }
                    message.outcome = Some((outcome, at));
                    if !needs_report(&message.accepted, outcome) {
                        let number = message.accepted.message;
                        self.drop_message(number);
                    }
                }
            }
            Record::Reported(message) => self.drop_message(message),
            Record::Remembered { owner, id_scope, id, at, outcome, protected_until, history } => {
                let is_format_1 = by_index && id_scope & FORMAT_1_FRONT_SCOPES != 0;
                let id_scope =
                    if is_format_1 { id_scope ^ FORMAT_1_FRONT_SCOPES | FRONT_SCOPES } else { id_scope };
                // The scope of a tenant is its number. For a scope of a front, an older journal does not
                // contain the owner.
                let scope_owner = if id_scope < FRONT_SCOPES { id_scope } else { memory::NO_OWNER };
                let owner = owner.unwrap_or(scope_owner);
                // An older version does not tell whether the message may have run, and when.
                let is_deferred = matches!(outcome, FinalOutcome::Deferred(_));
                let unknown = is_deferred.then_some(memory::UNKNOWN_HISTORY);
                let (protected_until, history) = match protected_until {
                    Some(protected_until) => (protected_until, history),
                    None => (at.plus(longest_deadline(&self.settings)).max(Micros(1)), unknown),
                };
                let ended = EndedMessage { outcome, at, protected_until, history };
                self.memory.add(owner, (id_scope, id), ended);
            }
            Record::Paused { tenant, paused: true } => {
                self.paused.insert(tenant);
            }
            Record::Paused { tenant, paused: false } => {
                self.paused.remove(&tenant);
            }
            Record::Named { .. } => {}
        }
    }

    /// The effect of a message that was accepted under a keyed one of unknown scope and window: that of its
    /// class if it is keyed still, else the one under which the least is allowed.
    fn keyed_effect_of_class(&self, class: u32) -> Option<Effect> {
        let index = self.directory.classes.index_of(class);
        let effect = index.and_then(|index| self.settings.classes.get(index)).map(|class| class.effect);
        Some(effect.filter(|effect| matches!(effect, Effect::Keyed { .. })).unwrap_or_default())
    }

    /// Takes over the state folder: the journal is rewritten with the live data.
    pub fn claim_journal(&mut self) {
        self.journal.claim();
        let live = snapshot(&self.directory, &self.messages, &self.calls, &self.memory, &self.paused);
        match self.journal.compact(&live) {
            // The snapshot contains the outcomes from the replay.
            Ok(()) => self.records.clear(),
            Err(problem) => {
                self.outputs.push(Output::Log(format!("journal not written at the start: {problem}")));
            }
        }
    }

    /// Passes the open messages to the dispatcher, except those that it knows, and the owed outcomes to their
    /// fronts.
    pub(super) fn restore_messages(&mut self, known: impl Fn(MessageId) -> bool) {
        for (&number, message) in &self.messages {
            if let Some((outcome, _)) = message.outcome {
                self.outputs.push(outcome_report(message, outcome));
            } else if !known(number) {
                self.events.push(restored_event(number, message, self.now));
            }
        }
    }

    /// Sets the number of members that are starting, this one included: the recovered messages are resumed at
    /// a rate that these members share. Has no effect if all were resumed at once.
    pub fn set_starting_members(&mut self, starting: usize) {
        if let Some(replay) = &mut self.replay {
            replay.set_starting(starting);
        }
    }

    /// Whether some recovered messages are not resumed yet.
    pub fn is_replaying(&self) -> bool {
        self.replay.is_some()
    }

    /// Passes the recovered messages that are due to the dispatcher.
    pub(super) fn release_replayed(&mut self) {
        let Some(replay) = &mut self.replay else { return };
        for number in replay.release(self.now) {
            // The message may have ended meanwhile, because its client no longer wants it.
            let message = self.messages.get(&number).filter(|message| message.outcome.is_none());
            self.events.extend(message.map(|message| restored_event(number, message, self.now)));
        }
        if self.replay.as_ref().is_some_and(Replay::is_empty) {
            self.replay = None;
        }
    }
}

/// The event that passes a recovered message to the dispatcher.
fn restored_event(number: MessageId, message: &HeldMessage, now: Micros) -> Event {
    let submission = Submission {
        destination: DestinationId(message.accepted.destination),
        time_left: message.accepted.deadline.minus(now),
        class: message.class.unwrap_or_default(),
        key: None,
        tenant: message.tenant,
        resubmitted: true,
    };
    let history = AttemptHistory {
        effect: message.accepted.effect,
        attempts: message.attempts,
        may_have_run: message.may_have_run,
    };
    Event::Restored(number, submission, history)
}
