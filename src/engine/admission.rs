//! Submissions: what is answered without the decisions, what is opened as a message, and how a rejection or an iteration
//! that cannot be written is taken back.

use super::*;

impl Engine {
    pub(super) fn offered(&mut self, offer: MessageSubmission) {
        let (token, front) = (offer.token, offer.front);
        match self.admit(offer) {
            Some(reply) => {
                self.outputs.push(Output::Reply(token, front, reply));
            }
            None => {
                self.fresh.insert(MessageId(self.next_message.wrapping_sub(1)), token);
            }
        }
    }

    /// What an offer hears at once, without the module; `None` where the module is to be asked.
    pub(super) fn admit(&mut self, offer: MessageSubmission) -> Option<Reply> {
        let unknown = !self.directory.classes.is_active(offer.class)
            || !self.directory.tenants.is_active(offer.tenant)
            || !self.destinations.contains(&offer.destination);
        if unknown {
            return Some(Reply::Unknown);
        }
        // A journal of before ids had spaces knows all of them by tenant.
        let tenant = self.directory.tenants.number(offer.tenant);
        for scope in [id_scope_number(offer.id_scope, tenant, offer.front), tenant] {
            let name = (scope, offer.id.clone());
            if let Some(message) = self.known.get(&name).and_then(|number| self.messages.get(number)) {
                // A client repeats what it handed in; whoever means something else by that id is another.
                let same = (message.accepted.tenant, message.class, message.accepted.destination)
                    == (tenant, Some(offer.class), offer.destination.0);
                let reply =
                    message.outcome.map_or(Reply::Accepted, |(outcome, _)| Reply::AlreadyEnded(outcome));
                return Some(if same { reply } else { Reply::IdConflict });
            }
            if let Some(outcome) = self.memory.recall(&name, self.now) {
                return Some(Reply::AlreadyEnded(outcome));
            }
        }
        let accepted = AcceptedMessage {
            message: MessageId(self.next_message),
            front: offer.front,
            id_scope: offer.id_scope,
            report_delivery: offer.report_delivery,
            class: self.directory.classes.number(offer.class),
            effect: effect_code(self.settings.classes[offer.class].effect),
            tenant,
            destination: offer.destination.0,
            deadline: self.now.plus(offer.time_left),
            id: offer.id,
            key: offer.key,
            origin: offer.origin,
            body: offer.body,
        };
        let full = self.open >= self.settings.max_messages as usize
            || self.live + stored_size(&accepted) > self.held_bytes
            || self.live() + stored_size(&accepted) > self.journal.max_live_size();
        let parted = if self.paused.contains(&tenant) {
            Err(AdmissionError::NoCapacity(ShareError::CeilingReached))
        } else {
            self.intake.admit(offer.tenant, stored_size(&accepted), !full, self.now)
        };
        if let Err(shut) = parted {
            self.counts[offer.tenant].rejected += 1;
            self.totals.rejected += 1;
            self.count(Some(offer.class), |figures| figures.declined += 1);
            let wait = if let AdmissionError::RateExceeded(wait) = shut { wait } else { COME_AGAIN };
            return Some(Reply::Rejected(wait));
        }
        self.next_message = self.next_message.wrapping_add(1);
        if let Some(replay) = &mut self.replay {
            replay.fresh(offer.destination, accepted.message);
        }
        let handed_in = Submission {
            destination: offer.destination,
            time_left: offer.time_left,
            class: offer.class,
            key: None,
            tenant: offer.tenant,
            resubmitted: offer.resubmitted,
        };
        self.events.push(Event::Message(accepted.message, handed_in));
        self.open(accepted);
        None
    }

    pub(super) fn open(&mut self, accepted: AcceptedMessage) {
        let class = self.directory.classes.index_of(accepted.class);
        let tenant = match self.directory.tenants.index_of(accepted.tenant) {
            Some(place) => place,
            None => {
                // A journal may go by a number whose name is lost: it gets a place that nothing is taken on for.
                let directory = Rc::make_mut(&mut self.directory);
                let name = format!("(number {})", accepted.tenant);
                directory.tenants.declare(NumberedName { number: accepted.tenant, name });
                self.counts.resize(directory.tenants.len(), Counts::default());
                directory.tenants.index_of(accepted.tenant).unwrap_or_default()
            }
        };
        self.live += stored_size(&accepted);
        self.open += 1;
        self.counts[tenant].open += 1;
        self.intake.add_message(tenant);
        self.intake.add_bytes(tenant, stored_size(&accepted));
        self.known.insert(name(&accepted), accepted.message);
        let number = accepted.message;
        let (attempts, may_have_run, out, outcome) = (0, None, None, None);
        self.messages
            .insert(number, HeldMessage { accepted, class, tenant, attempts, may_have_run, out, outcome });
    }

    pub(super) fn drop_message(&mut self, number: MessageId) {
        let Some(message) = self.messages.remove(&number) else { return };
        if let Some(replay) = &mut self.replay {
            replay.gone(DestinationId(message.accepted.destination), number);
        }
        if message.outcome.is_none() {
            self.open -= 1;
            self.counts[message.tenant].open -= 1;
            self.intake.remove_message(message.tenant);
        }
        self.live -= stored_size(&message.accepted);
        self.intake.release_bytes(message.tenant, stored_size(&message.accepted));
        let name = name(&message.accepted);
        self.known.remove(&name);
        if let Some((outcome, at)) = message.outcome {
            self.memory.add(message.accepted.tenant, name, outcome, at);
        }
    }

    /// The module ends a flow: an offer of this turn is turned down, an older flow is told its end.
    pub(super) fn give_up(&mut self, id: MessageId, outcome: FinalOutcome) {
        let Some(token) = self.fresh.remove(&id) else { return self.end_message(id, outcome) };
        let retry_after = if let FinalOutcome::Deferred(after) = outcome { after } else { COME_AGAIN };
        self.turn_down(id, token, retry_after);
    }

    pub(super) fn turn_down(&mut self, id: MessageId, token: Token, retry_after: Micros) {
        let Some(message) = self.messages.get(&id) else { return };
        self.counts[message.tenant].rejected += 1;
        self.totals.rejected += 1;
        self.outputs.push(Output::Reply(token, message.accepted.front, Reply::Rejected(retry_after)));
        let class = message.class;
        self.count(class, |figures| figures.declined += 1);
        self.drop_message(id);
    }

    /// The journal could not be written: offers are turned down, and calls not begun.
    pub(super) fn take_back(&mut self, fresh: BTreeMap<MessageId, Token>, calls: Vec<CallId>) {
        for number in calls {
            let places = self.calls.get(&number).map_or(0, |call| call.items.len());
            for place in 0..places {
                self.settle(number, place, AttemptOutcome::NotSent, false);
            }
        }
        self.records.clear();
        for (id, token) in fresh {
            self.events.push(Event::Withdrawn(id));
            self.turn_down(id, token, COME_AGAIN);
        }
    }
}
