//! A start's first steps in the core: the journal's flows go on, all at once or bit by bit (see `startup::replay`).

use super::*;

/// How the flows that a journal held go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// All in the first turn, as where nothing is known of others that start.
    AtOnce,
    /// Behind what clients hand in, at a pace that the members starting share.
    Paced,
}

impl Engine {
    /// Replays the journal in `folder` and goes on with what it holds; `cached` is the list as last known.
    pub fn start(
        core: &Core,
        seed: u64,
        place: (&Path, u64),
        now: Micros,
        cached: Vec<EndpointRecord>,
        resume: Resume,
    ) -> Engine {
        let mut engine = Engine::from_journal(core, seed, place, now, cached, Directory::default());
        engine.messages.values_mut().for_each(|message| message.call = None);
        engine.end_messages_with_changed_effect();
        // What may have run is decided on at once, what never ran may wait.
        let waits = |message: &HeldMessage| {
            resume == Resume::Paced && message.outcome.is_none() && message.may_have_run.is_none()
        };
        let held: Vec<_> = engine
            .messages
            .iter()
            .filter(|(_, message)| waits(message))
            .map(|(&id, message)| {
                (DestinationId(message.accepted.destination), message.accepted.deadline, id)
            })
            .collect();
        let behind: BTreeSet<MessageId> = held.iter().map(|one| one.2).collect();
        engine.restore_messages(|number| behind.contains(&number));
        engine.replay = (!held.is_empty()).then(|| Replay::new(engine.now, seed ^ now.0, held.into_iter()));
        if !engine.messages.is_empty() {
            let (open, owed) = (engine.open_count, engine.messages.len() - engine.open_count);
            engine
                .outputs
                .push(Output::Log(format!("journal replayed: {open} flows open, {owed} ends owed")));
        }
        engine.claim_journal();
        engine
    }

    pub(super) fn apply_record(&mut self, record: Record, by_index: bool) {
        match record {
            Record::Accepted(accepted) => {
                self.next_message = self.next_message.max(accepted.message.0.wrapping_add(1));
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
                    // Only the attempt that set it can take it back.
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
            Record::Remembered { owner, id_scope, id, at, outcome } => {
                let first = by_index && id_scope & FORMAT_1_FRONT_SCOPES != 0;
                let id_scope = if first { id_scope ^ FORMAT_1_FRONT_SCOPES | FRONT_SCOPES } else { id_scope };
                // A tenant's space is its number; whose an end in a front's space was, an older journal does not tell.
                let of_scope = if id_scope < FRONT_SCOPES { id_scope } else { memory::NO_OWNER };
                let owner = owner.unwrap_or(of_scope);
                self.memory.add(owner, (id_scope, id), outcome, at);
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

    /// The folder is this process's from now on: the journal is written anew, with what is live.
    pub fn claim_journal(&mut self) {
        self.journal.claim();
        let live = snapshot(&self.directory, &self.messages, &self.calls, &self.memory, &self.paused);
        match self.journal.compact(&live) {
            // What the replay ended is in it.
            Ok(()) => self.records.clear(),
            Err(problem) => {
                self.outputs.push(Output::Log(format!("journal not written at the start: {problem}")));
            }
        }
    }

    /// After the replay: ends the flows whose settings have changed since. Under another effect, what may have run could be
    /// sent a second time.
    pub(super) fn end_messages_with_changed_effect(&mut self) -> Vec<MessageId> {
        let told = |class: Option<usize>| self.settings.classes.get(class?).map(|c| effect_code(c.effect));
        let strange = |message: &&HeldMessage| {
            message.outcome.is_none() && told(message.class) != Some(message.accepted.effect)
        };
        let strange: Vec<MessageId> =
            self.messages.values().filter(strange).map(|message| message.accepted.message).collect();
        for &number in &strange {
            let ran = self
                .messages
                .get(&number)
                .is_some_and(|message| message.may_have_run.is_some() || message.call.is_some());
            self.end_message(
                number,
                if ran { FinalOutcome::Undeliverable } else { FinalOutcome::Deferred(DEFAULT_RETRY_AFTER) },
            );
        }
        // All ends that are owed, these too, are told below.
        self.outputs.clear();
        strange
    }

    /// Hands open flows to the module, but those that it knows, and the ends that are owed to their fronts.
    pub(super) fn restore_messages(&mut self, known: impl Fn(MessageId) -> bool) {
        for (&number, message) in &self.messages {
            if let Some((outcome, _)) = message.outcome {
                self.outputs.push(outcome_report(message, outcome));
            } else if !known(number) {
                self.events.push(restored_event(number, message, self.now));
            }
        }
    }

    /// So many members start, this one among them: what the journal held goes on at a pace that they share. Nothing changes
    /// where it was handed over all at once.
    pub fn set_starting_members(&mut self, starting: usize) {
        if let Some(replay) = &mut self.replay {
            replay.among(starting);
        }
    }

    /// Some of what the journal held still waits.
    pub fn is_replaying(&self) -> bool {
        self.replay.is_some()
    }

    /// Hands the module what is due of what the journal held.
    pub(super) fn release_replayed(&mut self) {
        let Some(replay) = &mut self.replay else { return };
        for number in replay.release(self.now) {
            // It may have ended meanwhile: nobody wanted it any more.
            let message = self.messages.get(&number).filter(|message| message.outcome.is_none());
            self.events.extend(message.map(|message| restored_event(number, message, self.now)));
        }
        if self.replay.as_ref().is_some_and(Replay::over) {
            self.replay = None;
        }
    }
}

/// A flow of the journal for the module.
fn restored_event(number: MessageId, message: &HeldMessage, now: Micros) -> Event {
    let handed_in = Submission {
        destination: DestinationId(message.accepted.destination),
        time_left: message.accepted.deadline.minus(now),
        class: message.class.unwrap_or_default(),
        key: None,
        tenant: message.tenant,
        resubmitted: true,
    };
    let past = AttemptHistory { attempts: message.attempts, may_have_run: message.may_have_run };
    Event::Restored(number, handed_in, past)
}
