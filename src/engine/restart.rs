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
        let mut engine = Engine::replayed(core, seed, place, now, cached, Directory::default());
        engine.flows.values_mut().for_each(|flow| flow.out = None);
        engine.end_strange();
        // What may have run is decided on at once, what never ran may wait.
        let waits =
            |flow: &Flow| resume == Resume::Paced && flow.end.is_none() && flow.may_have_run.is_none();
        let held: Vec<_> = engine
            .flows
            .iter()
            .filter(|(_, flow)| waits(flow))
            .map(|(&id, flow)| (DestinationId(flow.taken.destination), flow.taken.deadline, id))
            .collect();
        let behind: BTreeSet<MessageId> = held.iter().map(|one| one.2).collect();
        engine.resume(|number| behind.contains(&number));
        engine.replay = (!held.is_empty()).then(|| Replay::new(engine.now, seed ^ now.0, held.into_iter()));
        if !engine.flows.is_empty() {
            let (open, owed) = (engine.open, engine.flows.len() - engine.open);
            engine
                .outputs
                .push(Output::Log(format!("journal replayed: {open} flows open, {owed} ends owed")));
        }
        engine.possess();
        engine
    }

    pub(super) fn replay(&mut self, record: Record, by_place: bool) {
        match record {
            Record::Taken(taken) => {
                self.next_flow = self.next_flow.max(taken.flow.0.wrapping_add(1));
                self.open(taken);
            }
            Record::Sent { flow, at, endpoint } => {
                if let Some(flow) = self.flows.get_mut(&flow) {
                    flow.attempts += 1;
                    flow.out = flow.may_have_run.is_none().then_some(0);
                    flow.may_have_run.get_or_insert((at, endpoint));
                }
            }
            Record::NeverRan(flow) => {
                if let Some(flow) = self.flows.get_mut(&flow) {
                    // Only the attempt that set it can take it back.
                    if flow.out.take().is_some() {
                        flow.may_have_run = None;
                    }
                }
            }
            Record::Past { flow, attempts, may_have_run } => {
                if let Some(flow) = self.flows.get_mut(&flow) {
                    (flow.attempts, flow.may_have_run) = (attempts, may_have_run);
                }
            }
            Record::Ended { flow, at, end } => {
                if let Some(flow) = self.flows.get_mut(&flow) {
                    if flow.end.is_none() {
                        self.open -= 1;
                        self.counts[flow.tenant].open -= 1;
                        self.intake.remove_message(flow.tenant);
                    }
                    flow.end = Some((end, at));
                    if !owed(&flow.taken, end) {
                        let number = flow.taken.flow;
                        self.drop_flow(number);
                    }
                }
            }
            Record::Told(flow) => self.drop_flow(flow),
            Record::Remembered { owner, space, id, at, end } => {
                let first = by_place && space & FIRST_FRONT_SPACES != 0;
                let space = if first { space ^ FIRST_FRONT_SPACES | FRONT_SPACES } else { space };
                // A tenant's space is its number; whose an end in a front's space was, an older journal does not tell.
                let of_space = if space < FRONT_SPACES { space } else { memory::NOBODY };
                let owner = owner.unwrap_or(of_space);
                self.memory.add(owner, (space, id), end, at);
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
    pub fn possess(&mut self) {
        self.journal.claim();
        let live = snapshot(&self.directory, &self.flows, &self.calls, &self.memory, &self.paused);
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
    pub(super) fn end_strange(&mut self) -> Vec<MessageId> {
        let told = |class: Option<usize>| self.settings.classes.get(class?).map(|c| effect_code(c.effect));
        let strange = |flow: &&Flow| flow.end.is_none() && told(flow.class) != Some(flow.taken.effect);
        let strange: Vec<MessageId> =
            self.flows.values().filter(strange).map(|flow| flow.taken.flow).collect();
        for &number in &strange {
            let ran =
                self.flows.get(&number).is_some_and(|flow| flow.may_have_run.is_some() || flow.out.is_some());
            self.end(number, if ran { End::Undeliverable } else { End::Deferred(COME_AGAIN) });
        }
        // All ends that are owed, these too, are told below.
        self.outputs.clear();
        strange
    }

    /// Hands open flows to the module, but those that it knows, and the ends that are owed to their fronts.
    pub(super) fn resume(&mut self, known: impl Fn(MessageId) -> bool) {
        for (&number, flow) in &self.flows {
            if let Some((end, _)) = flow.end {
                self.outputs.push(tell(flow, end));
            } else if !known(number) {
                self.events.push(restored(number, flow, self.now));
            }
        }
    }

    /// So many members start, this one among them: what the journal held goes on at a pace that they share. Nothing changes
    /// where it was handed over all at once.
    pub fn starts_among(&mut self, starting: usize) {
        if let Some(replay) = &mut self.replay {
            replay.set_starting(starting);
        }
    }

    /// Some of what the journal held still waits.
    pub fn replays(&self) -> bool {
        self.replay.is_some()
    }

    /// Hands the module what is due of what the journal held.
    pub(super) fn replay_some(&mut self) {
        let Some(replay) = &mut self.replay else { return };
        for number in replay.release(self.now) {
            // It may have ended meanwhile: nobody wanted it any more.
            let flow = self.flows.get(&number).filter(|flow| flow.end.is_none());
            self.events.extend(flow.map(|flow| restored(number, flow, self.now)));
        }
        if self.replay.as_ref().is_some_and(Replay::is_empty) {
            self.replay = None;
        }
    }
}

/// A flow of the journal for the module.
fn restored(number: MessageId, flow: &Flow, now: Micros) -> Event {
    let handed_in = Submission {
        destination: DestinationId(flow.taken.destination),
        time_left: flow.taken.deadline.minus(now),
        class: flow.class.unwrap_or_default(),
        key: None,
        tenant: flow.tenant,
        resubmitted: true,
    };
    let past = AttemptHistory { attempts: flow.attempts, may_have_run: flow.may_have_run };
    Event::Restored(number, handed_in, past)
}
