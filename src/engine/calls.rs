//! Calls of the engine: how attempts are grouped into calls, when a call is cancelled, and what follows from
//! its outcome. This module decides neither the endpoint of a message nor whether it is retried.

use super::*;

impl Engine {
    /// Ends the attempt of one message in a call.
    pub(super) fn end_attempt(
        &mut self,
        call_id: CallId,
        index: usize,
        outcome: AttemptOutcome,
        closed_by_endpoint: bool,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let Some((id, attempt, until)) = call.items.get_mut(index).and_then(Option::take) else { return };
        self.call_timeouts.remove(&(until, call_id, index));
        let (sent_at, endpoint) = (call.sent_at, call.endpoint);
        if call.items.iter().all(Option::is_none) {
            self.remove_unwritten(call_id);
            self.calls.remove(&call_id);
        }
        tracing::debug!(
            call = call_id,
            number = id.0,
            attempt,
            endpoint = format_args!("{:x}", endpoint.0),
            ?outcome,
            spent_ms = self.now.minus(sent_at).as_ms(),
            "attempt ended"
        );
        let closed = closed_by_endpoint || outcome == AttemptOutcome::Delivered;
        self.events.push(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            spent: self.now.minus(sent_at),
            closed,
        });
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.call = None;
        if !outcome.never_ran() {
            message.may_have_run.get_or_insert((sent_at, endpoint));
        }
        if message.outcome.is_some() {
            return;
        }
        let class = message.class.and_then(|class| self.settings.classes.get(class));
        // Nothing but the name is known of a class that was removed before the start.
        let class = class.filter(|class| class.deadline > Micros(0));
        let margin =
            class.map_or(DEADLINE_MARGIN, |class| DEADLINE_MARGIN.min(Micros(class.deadline.0 / 10)));
        let late = message.accepted.deadline <= self.now.plus(margin);
        match outcome {
            AttemptOutcome::Delivered => {
                self.end_message(id, if late { FinalOutcome::Undeliverable } else { FinalOutcome::Delivered })
            }
            _ if closed_by_endpoint => self.end_message(id, FinalOutcome::Closed),
            _ if outcome.never_ran() => self.records.push(Record::NeverRan(id)),
            _ => {}
        }
    }

    /// Removes a call from those that are not written yet.
    pub(super) fn remove_unwritten(&mut self, id: CallId) {
        let by = self.calls.get(&id).map(|call| call.leaves_by);
        by.map(|by| self.unwritten.remove(&(by, id)));
    }

    /// The last byte of a call was written.
    pub(super) fn call_written(&mut self, call: CallId) {
        self.remove_unwritten(call);
        let Some(call) = self.calls.get_mut(&call).filter(|call| !call.written) else { return };
        call.written = true;
        let messages: Vec<MessageId> = call.items.iter().flatten().map(|item| item.0).collect();
        for id in messages {
            let class = self.messages.get(&id).and_then(|message| message.class);
            self.count(class, |counts| counts.forwards += 1);
        }
    }

    pub(super) fn retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        self.events.push(Event::RetryAfter(endpoint, wait));
        self.cancel_unwritten_calls(endpoint);
    }

    /// After a retry-after, cancels the calls under the same limit whose connections are still being opened,
    /// as they must not arrive before it has passed. Opening a connection may take up to the dial time-out,
    /// and so may such a call. Cost: O(unwritten calls).
    pub(super) fn cancel_unwritten_calls(&mut self, endpoint: EndpointId) {
        let same_limit = |(_, call): &&(Micros, CallId)| {
            self.calls.get(call).is_some_and(|call| self.dispatcher.share_a_limit(endpoint, call.endpoint))
        };
        let cancelled: Vec<CallId> = self.unwritten.iter().filter(same_limit).map(|&(_, id)| id).collect();
        cancelled.into_iter().for_each(|id| self.cancel_call(id));
    }

    /// Cancels a call that is not written yet: none of its messages ran.
    pub(super) fn cancel_call(&mut self, id: CallId) {
        let item_count = self.calls.get(&id).map_or(0, |call| call.items.len());
        self.outputs.push(Output::Abort(id));
        (0..item_count).for_each(|index| self.end_attempt(id, index, AttemptOutcome::NotSent, false));
    }

    /// Ends all open attempts of a call: with `outcome` if its last byte was written, otherwise as never run.
    pub(super) fn end_call(&mut self, id: CallId, outcome: AttemptOutcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let outcome = if call.written { outcome } else { AttemptOutcome::ConnectFailed };
        for index in 0..call.items.len() {
            self.end_attempt(id, index, outcome, false);
        }
    }

    /// Ends the attempts that have timed out. A call with no open attempt is aborted, and so is one that is
    /// not written.
    pub(super) fn expire_attempts(&mut self) {
        let late = self.unwritten.iter().take_while(|(by, _)| *by <= self.now);
        let late: Vec<CallId> = late.map(|&(_, id)| id).collect();
        late.into_iter().for_each(|id| self.cancel_call(id));
        let due = self.call_timeouts.iter().take_while(|(until, ..)| *until <= self.now);
        let mut late: Vec<(CallId, usize)> = due.map(|&(_, call, index)| (call, index)).collect();
        late.sort_unstable();
        for (id, index) in late {
            let Some(call) = self.calls.get(&id) else { continue };
            let (written, item_count) = (call.written, call.items.len());
            let outcome = if written { AttemptOutcome::TimedOut } else { AttemptOutcome::ConnectFailed };
            self.end_attempt(id, index, outcome, false);
            if !written {
                // The connection is still being opened, and the call would be sent with all of its messages,
                // the one that timed out among them. The others are sent again in another call.
                (0..item_count).for_each(|index| self.end_attempt(id, index, AttemptOutcome::NotSent, false));
            }
            if !self.calls.contains_key(&id) {
                self.outputs.push(Output::Abort(id));
            }
        }
    }

    /// Groups the attempts of one iteration to one endpoint into calls, up to the batch size of its kind.
    pub(super) fn group_into_calls(&mut self, sends: Vec<Attempt>) -> Vec<CallId> {
        let mut ordered: Vec<CallId> = Vec::new();
        // The last call of this iteration to each endpoint. Earlier ones are full.
        let mut last: BTreeMap<EndpointId, CallId> = BTreeMap::new();
        for Attempt { endpoint, id, timeout, leaves_by } in sends {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let batch = self.kinds.get(&endpoint).and_then(|&kind| self.settings.kinds.get(kind));
            let batch = batch.map_or(1, |kind| kind.batch.max(1) as usize);
            let open = last.get(&endpoint).copied().filter(|call| self.calls[call].items.len() < batch);
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
            tracing::debug!(
                call = number,
                number = id.0,
                request_id = ?String::from_utf8_lossy(&message.accepted.id),
                attempt = message.attempts - 1,
                endpoint = format_args!("{:x}", endpoint.0),
                destination = message.accepted.destination,
                "attempt started"
            );
            if let Some(replay) = &mut self.replay {
                replay.sent_or_ended(DestinationId(message.accepted.destination), id);
            }
            self.records.push(Record::Sent { message: id, at: self.now, endpoint });
            if let Some(call) = self.calls.get_mut(&number) {
                call.items.push(Some((id, message.attempts - 1, self.now.plus(timeout))));
                call.leaves_by = call.leaves_by.min(leaves_by);
            }
        }
        // A call has a single time-out, that of its first message to expire. If one message were given up
        // while the others are awaited, a later answer would cover only some of its messages.
        for number in &ordered {
            let Some(call) = self.calls.get_mut(number) else { continue };
            let messages = || call.items.iter().flatten();
            let longest = messages().map(|item| item.2).max().unwrap_or_default();
            let deadlines = messages()
                .filter_map(|item| self.messages.get(&item.0))
                .map(|message| message.accepted.deadline);
            let until = deadlines.min().map_or(longest, |first| longest.min(first));
            self.unwritten.insert((call.leaves_by, *number));
            for (index, item) in call.items.iter_mut().enumerate() {
                let Some(item) = item else { continue };
                item.2 = until;
                self.call_timeouts.insert((until, *number, index));
            }
        }
        ordered
    }
}
