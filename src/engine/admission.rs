//! Submissions: what is answered without the decisions, what is opened as a message, and how a rejection or an iteration
//! that cannot be written is taken back.

use super::*;

impl Engine {
    pub(super) fn offered(&mut self, offer: Offer) {
        let (token, front) = (offer.token, offer.front);
        match self.admit(offer) {
            Some(reply) => {
                self.outputs.push(Output::Reply(token, front, reply));
            }
            None => {
                self.fresh.insert(MessageId(self.next_flow.wrapping_sub(1)), token);
            }
        }
    }

    /// What an offer hears at once, without the module; `None` where the module is to be asked.
    pub(super) fn admit(&mut self, offer: Offer) -> Option<Reply> {
        let unknown = !self.directory.classes.is_active(offer.class)
            || !self.directory.tenants.is_active(offer.tenant)
            || !self.destinations.contains(&offer.destination);
        if unknown {
            return Some(Reply::Unknown);
        }
        // A journal of before ids had spaces knows all of them by tenant.
        let tenant = self.directory.tenants.number(offer.tenant);
        for space in [space(offer.space, tenant, offer.front), tenant] {
            let name = (space, offer.id.clone());
            if let Some(flow) = self.known.get(&name).and_then(|number| self.flows.get(number)) {
                // A client repeats what it handed in; whoever means something else by that id is another.
                let same = (flow.taken.tenant, flow.class, flow.taken.destination)
                    == (tenant, Some(offer.class), offer.destination.0);
                let reply = flow.end.map_or(Reply::TakenOn, |(end, _)| Reply::Known(end));
                return Some(if same { reply } else { Reply::Taken });
            }
            if let Some(end) = self.memory.recall(&name, self.now) {
                return Some(Reply::Known(end));
            }
        }
        let taken = Taken {
            flow: MessageId(self.next_flow),
            front: offer.front,
            space: offer.space,
            tell_delivered: offer.tell_delivered,
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
            || self.live + room(&taken) > self.held_bytes
            || self.live() + room(&taken) > self.journal.live_bound();
        let parted = if self.paused.contains(&tenant) {
            Err(AdmissionError::NoCapacity(ShareError::CeilingReached))
        } else {
            self.intake.admit(offer.tenant, room(&taken), !full, self.now)
        };
        if let Err(shut) = parted {
            self.counts[offer.tenant].turned_down += 1;
            self.sums.turned_down += 1;
            self.count(Some(offer.class), |figures| figures.declined += 1);
            let wait = if let AdmissionError::RateExceeded(wait) = shut { wait } else { COME_AGAIN };
            return Some(Reply::TurnDown(wait));
        }
        self.next_flow = self.next_flow.wrapping_add(1);
        if let Some(replay) = &mut self.replay {
            replay.submitted(offer.destination, taken.flow);
        }
        let handed_in = Submission {
            destination: offer.destination,
            time_left: offer.time_left,
            class: offer.class,
            key: None,
            tenant: offer.tenant,
            resubmitted: offer.again,
        };
        self.events.push(Event::Message(taken.flow, handed_in));
        self.open(taken);
        None
    }

    pub(super) fn open(&mut self, taken: Taken) {
        let class = self.directory.classes.index_of(taken.class);
        let tenant = match self.directory.tenants.index_of(taken.tenant) {
            Some(place) => place,
            None => {
                // A journal may go by a number whose name is lost: it gets a place that nothing is taken on for.
                let directory = Rc::make_mut(&mut self.directory);
                let name = format!("(number {})", taken.tenant);
                directory.tenants.declare(NumberedName { number: taken.tenant, name });
                self.counts.resize(directory.tenants.len(), Counts::default());
                directory.tenants.index_of(taken.tenant).unwrap_or_default()
            }
        };
        self.live += room(&taken);
        self.open += 1;
        self.counts[tenant].open += 1;
        self.intake.add_message(tenant);
        self.intake.add_bytes(tenant, room(&taken));
        self.known.insert(name(&taken), taken.flow);
        let number = taken.flow;
        let (attempts, may_have_run, out, end) = (0, None, None, None);
        self.flows.insert(number, Flow { taken, class, tenant, attempts, may_have_run, out, end });
    }

    pub(super) fn drop_flow(&mut self, number: MessageId) {
        let Some(flow) = self.flows.remove(&number) else { return };
        if let Some(replay) = &mut self.replay {
            replay.sent_or_ended(DestinationId(flow.taken.destination), number);
        }
        if flow.end.is_none() {
            self.open -= 1;
            self.counts[flow.tenant].open -= 1;
            self.intake.remove_message(flow.tenant);
        }
        self.live -= room(&flow.taken);
        self.intake.release_bytes(flow.tenant, room(&flow.taken));
        let name = name(&flow.taken);
        self.known.remove(&name);
        if let Some((end, at)) = flow.end {
            self.memory.add(flow.taken.tenant, name, end, at);
        }
    }

    /// The module ends a flow: an offer of this turn is turned down, an older flow is told its end.
    pub(super) fn give_up(&mut self, id: MessageId, end: End) {
        let Some(token) = self.fresh.remove(&id) else { return self.end(id, end) };
        let retry_after = if let End::Deferred(after) = end { after } else { COME_AGAIN };
        self.turn_down(id, token, retry_after);
    }

    pub(super) fn turn_down(&mut self, id: MessageId, token: Token, retry_after: Micros) {
        let Some(flow) = self.flows.get(&id) else { return };
        self.counts[flow.tenant].turned_down += 1;
        self.sums.turned_down += 1;
        self.outputs.push(Output::Reply(token, flow.taken.front, Reply::TurnDown(retry_after)));
        let class = flow.class;
        self.count(class, |figures| figures.declined += 1);
        self.drop_flow(id);
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
