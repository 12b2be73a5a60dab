//! Calls of the core: how attempts travel together, when a call leaves or is called back, and what its outcome settles. It
//! decides neither where a message goes nor whether it goes again.

use super::*;

impl Engine {
    /// One flow of a call has its outcome.
    pub(super) fn end_attempt(&mut self, call_id: CallId, place: usize, outcome: AttemptOutcome, over: bool) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let Some((id, attempt, until)) = call.items.get_mut(place).and_then(Option::take) else { return };
        self.call_timeouts.remove(&(until, call_id, place));
        let (sent_at, endpoint) = (call.sent_at, call.endpoint);
        if call.items.iter().all(Option::is_none) {
            self.remove_unwritten(call_id);
            self.calls.remove(&call_id);
        }
        let closed = over || outcome == AttemptOutcome::Delivered;
        self.events.push(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            spent: self.now.minus(sent_at),
            closed,
        });
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.call = None;
        if message.outcome.is_some() {
            return;
        }
        let told = message.class.and_then(|class| self.settings.classes.get(class));
        let nearly = told.map_or(DEADLINE_MARGIN, |class| DEADLINE_MARGIN.min(Micros(class.deadline.0 / 10)));
        let late = message.accepted.deadline <= self.now.plus(nearly);
        match outcome {
            AttemptOutcome::Delivered => {
                self.end_message(id, if late { FinalOutcome::Undeliverable } else { FinalOutcome::Delivered })
            }
            _ if over => self.end_message(id, FinalOutcome::Closed),
            _ if outcome.never_ran() => self.records.push(Record::NeverRan(id)),
            _ => {
                message.may_have_run.get_or_insert((sent_at, endpoint));
            }
        }
    }

    /// A call is not on its way out any more.
    pub(super) fn remove_unwritten(&mut self, id: CallId) {
        let by = self.calls.get(&id).map(|call| call.leaves_by);
        by.map(|by| self.unwritten.remove(&(by, id)));
    }

    /// The last byte of a call has left.
    pub(super) fn call_written(&mut self, call: CallId) {
        self.remove_unwritten(call);
        let Some(call) = self.calls.get_mut(&call).filter(|call| !call.written) else { return };
        call.written = true;
        let carried: Vec<MessageId> = call.items.iter().flatten().map(|item| item.0).collect();
        for id in carried {
            let class = self.messages.get(&id).and_then(|message| message.class);
            self.count(class, |figures| figures.forwards += 1);
        }
    }

    pub(super) fn retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        self.events.push(Event::RetryAfter(endpoint, wait));
        self.cancel_unwritten_calls(endpoint);
    }

    /// A wait was told: calls under the same limit whose connections are only coming up are not to arrive within it.
    /// A connection may take as long as the dial time-out, and a call on its way for as long. Cost: such calls.
    pub(super) fn cancel_unwritten_calls(&mut self, endpoint: EndpointId) {
        let bound = |(_, call): &&(Micros, CallId)| {
            self.calls.get(call).is_some_and(|call| self.dispatcher.share_a_limit(endpoint, call.endpoint))
        };
        let bound: Vec<CallId> = self.unwritten.iter().filter(bound).map(|&(_, id)| id).collect();
        bound.into_iter().for_each(|id| self.cancel_call(id));
    }

    /// A call that has not left yet is called off: none of it ran.
    pub(super) fn cancel_call(&mut self, id: CallId) {
        let places = self.calls.get(&id).map_or(0, |call| call.items.len());
        self.outputs.push(Output::Abort(id));
        (0..places).for_each(|place| self.end_attempt(id, place, AttemptOutcome::NotSent, false));
    }

    /// All that is still out in a call ends: as told if its last byte was written, else it never ran.
    pub(super) fn end_call(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let outcome = if call.written { outcome } else { AttemptOutcome::ConnectFailed };
        for place in 0..call.items.len() {
            self.end_attempt(id, place, outcome, false);
        }
    }

    /// Attempts whose time is up. A call with none left is given up, and so is one that has not left yet.
    pub(super) fn expire_attempts(&mut self) {
        let late = self.unwritten.iter().take_while(|(by, _)| *by <= self.now);
        let late: Vec<CallId> = late.map(|&(_, id)| id).collect();
        late.into_iter().for_each(|id| self.cancel_call(id));
        let due = self.call_timeouts.iter().take_while(|(until, ..)| *until <= self.now);
        let mut late: Vec<(CallId, usize)> = due.map(|&(_, call, place)| (call, place)).collect();
        late.sort_unstable();
        for (id, place) in late {
            let Some(call) = self.calls.get(&id) else { continue };
            let (written, places) = (call.written, call.items.len());
            let outcome = if written { AttemptOutcome::TimedOut } else { AttemptOutcome::ConnectFailed };
            self.end_attempt(id, place, outcome, false);
            if !written {
                // Its connection is still coming up, and what it carries would be sent as it was written: one that is given up
                // here among them. The others go again, in another call.
                (0..places).for_each(|place| self.end_attempt(id, place, AttemptOutcome::NotSent, false));
            }
            if !self.calls.contains_key(&id) {
                self.outputs.push(Output::Abort(id));
            }
        }
    }

    /// Sends of one turn to one endpoint travel together, up to what its kind takes in one call.
    pub(super) fn group_into_calls(&mut self, sends: Vec<Attempt>) -> Vec<CallId> {
        let mut ordered: Vec<CallId> = Vec::new();
        // The call of this turn to each endpoint that was opened last: those before it are full.
        let mut last: BTreeMap<EndpointId, CallId> = BTreeMap::new();
        for Attempt { endpoint, id, timeout, leaves_by } in sends {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let room = self.kinds.get(&endpoint).and_then(|&kind| self.settings.kinds.get(kind));
            let room = room.map_or(1, |kind| kind.batch.max(1) as usize);
            let open = last.get(&endpoint).copied().filter(|call| self.calls[call].items.len() < room);
            let number = open.unwrap_or_else(|| {
                self.next_call += 1;
                ordered.push(self.next_call);
                last.insert(endpoint, self.next_call);
                let (written, sent_at, items) = (false, self.now, Vec::new());
                let call = Call { endpoint, written, sent_at, leaves_by: Micros(u64::MAX), items };
                self.calls.insert(self.next_call, call);
                self.next_call
            });
            message.call = Some(number);
            message.attempts += 1;
            if let Some(replay) = &mut self.replay {
                replay.gone(DestinationId(message.accepted.destination), id);
            }
            self.records.push(Record::Sent { message: id, at: self.now, endpoint });
            if let Some(call) = self.calls.get_mut(&number) {
                call.items.push(Some((id, message.attempts - 1, self.now.plus(timeout))));
                call.leaves_by = call.leaves_by.min(leaves_by);
            }
        }
        // A call has one time-out as it has one fate: where one message of it was given up and the others waited for, an
        // answer that came then would tell of some of them only. It ends with the first message whose time is up.
        for number in &ordered {
            let Some(call) = self.calls.get_mut(number) else { continue };
            let carried = || call.items.iter().flatten();
            let longest = carried().map(|item| item.2).max().unwrap_or_default();
            let deadlines = carried()
                .filter_map(|item| self.messages.get(&item.0))
                .map(|message| message.accepted.deadline);
            let until = deadlines.min().map_or(longest, |first| longest.min(first));
            self.unwritten.insert((call.leaves_by, *number));
            for (place, item) in call.items.iter_mut().enumerate() {
                let Some(item) = item else { continue };
                item.2 = until;
                self.call_timeouts.insert((until, *number, place));
            }
        }
        ordered
    }
}
