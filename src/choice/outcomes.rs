//! Final outcomes that this forwarder gives by itself: of messages whose time is over or that may not be sent
//! again, and of submissions beyond the capacity. Interface: `src/interface.rs`.

use super::*;

impl Dispatcher {
    /// The only place where this forwarder ends a message by itself (rules 1 and 2): rejected with a
    /// retry-after if another attempt does no harm, else failed.
    pub(super) fn end_message(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|message| !message.has_final_outcome) else {
            return;
        };
        let harmless = match message.effect {
            Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
            _ => message.may_have_run.is_none() && message.in_flight.is_none(),
        };
        if harmless {
            let retry_after = self.retry_after(message.destination);
            self.actions.push(Action::Reject { id, retry_after });
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.remove_message(id);
    }

    /// The retry-after of a rejected message: when its destination accepts calls again.
    fn retry_after(&self, destination: DestinationId) -> Micros {
        let endpoints = self.listed.get(&destination).map_or(&[][..], |endpoints| endpoints);
        let allowed_at = endpoints.iter().map(|&endpoint| self.allowed_at(endpoint)).min();
        let wait = allowed_at.map_or(UNLISTED_DESTINATION_HOLD, |at| at.minus(self.now));
        wait.max(TIMER_GRANULARITY).min(self.settings.max_retry_after)
    }

    /// Marks a message as ended and removes it, unless an attempt of it is in flight.
    pub(super) fn remove_message(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.has_final_outcome = true;
        if message.in_flight.is_some() {
            return;
        }
        let key = message.key;
        self.waiting.remove(id);
        self.messages.remove(&id);
        if let Some(queue) = key.and_then(|key| self.keys.get_mut(&key)) {
            queue.order.retain(|&other| other != id);
        }
    }

    /// Ends the waiting messages whose time is over.
    pub(super) fn end_expired_messages(&mut self) {
        for id in self.waiting.due_for_outcome(self.now) {
            let Some(message) = self.messages.get(&id) else { continue };
            let is_listed = self.listed.contains_key(&message.destination);
            let expired = message.deadline <= self.now.plus(TIMER_GRANULARITY)
                || !self.may_repeat(id)
                || !is_listed && self.now.minus(message.accepted_at) >= UNLISTED_DESTINATION_HOLD;
            if expired {
                self.end_message(id);
            } else {
                self.enqueue(id);
            }
        }
    }

    /// Admission control: where capacity runs short, messages submitted in this iteration are rejected, those
    /// of least worth first. A message accepted earlier is owed an attempt, and stays.
    pub(super) fn reject_over_capacity(&mut self) {
        let submitted = std::mem::take(&mut self.submitted);
        let capacity = f64::from(self.settings.max_messages);
        if submitted.is_empty() || self.messages.len() as f64 <= capacity * CAPACITY_SHARE_FOR_ANY_WORTH {
            return;
        }
        let greatest_worth = self.settings.classes.iter().map(|class| class.worth).fold(0.0, f64::max);
        let mut held_by_tenant = vec![0; self.settings.tenants.len()];
        for message in self.messages.values() {
            if let Some(held) = held_by_tenant.get_mut(message.tenant) {
                *held += 1;
            }
        }
        let is_waiting = |id: &MessageId| {
            self.messages.get(id).is_some_and(|m| m.in_flight.is_none() && !m.has_final_outcome)
        };
        let waiting: Vec<MessageId> = submitted.into_iter().filter(is_waiting).collect();
        let mut candidates: Vec<(f64, MessageId)> =
            waiting.into_iter().map(|id| (self.worth_when_open(id, &held_by_tenant), id)).collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        while let Some((worth, id)) = candidates.pop() {
            let relative_worth = (worth / greatest_worth).min(1.0);
            let usable_share =
                CAPACITY_SHARE_FOR_ANY_WORTH + (1.0 - CAPACITY_SHARE_FOR_ANY_WORTH) * relative_worth;
            if self.messages.len() as f64 <= capacity * usable_share {
                return;
            }
            self.end_message(id);
        }
    }

    /// Worth of a submitted message at the time when its destination accepts calls.
    fn worth_when_open(&mut self, id: MessageId, held_by_tenant: &[usize]) -> f64 {
        let at = self.destination_opens_at(self.messages[&id].destination).unwrap_or(self.now);
        let message = &self.messages[&id];
        let worth = if at < message.deadline { self.worth(message, at) } else { 0.0 };
        worth * self.tenant_factor(message.tenant, held_by_tenant)
    }
}
