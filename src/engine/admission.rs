//! Admission of submissions: which are answered without the dispatcher, which become messages, and how a
//! rejection or an iteration that cannot be written to the journal is undone.

use super::memory::KnownId;
use super::*;
use crate::Effect;

/// What becomes of a submission.
enum Admission {
    /// The engine decides on its own.
    Decided(Reply),
    /// The dispatcher decides on this message, which it gets in this iteration.
    Pending(MessageId),
}

impl Engine {
    pub(super) fn submit(&mut self, submission: MessageSubmission) {
        let (front, token) = (submission.front, submission.token);
        match self.admit(submission) {
            Admission::Decided(reply) => self.outputs.push(Output::Reply(token, front, reply)),
            Admission::Pending(message) => {
                self.new_submissions.entry(message).or_default().push((front, token));
            }
        }
    }

    /// Decides on a submission, or adds its message for the dispatcher to decide.
    fn admit(&mut self, submission: MessageSubmission) -> Admission {
        let unknown = !self.directory.classes.is_active(submission.class)
            || !self.directory.tenants.is_active(submission.tenant)
            || !self.destinations.contains(&submission.destination);
        if unknown {
            return Admission::Decided(Reply::Unknown);
        }
        let mut earlier = None;
        // Journals written before ids had scopes have all ids in the scope of their tenant.
        let tenant = self.directory.tenants.number(submission.tenant);
        for scope in [id_scope_number(submission.id_scope, tenant, submission.front), tenant] {
            let id = (scope, submission.id.clone());
            if let Some(message) = self.ids.get(&id).and_then(|number| self.messages.get(number)) {
                // A repeat has the same tenant, class and destination. Any other submission with this id is a
                // conflict.
                let is_repeat = (message.accepted.tenant, message.class, message.accepted.destination)
                    == (tenant, Some(submission.class), submission.destination.0);
                let number = message.accepted.message;
                return match message.outcome {
                    _ if !is_repeat => Admission::Decided(Reply::IdConflict),
                    Some((outcome, _)) => Admission::Decided(Reply::AlreadyEnded(outcome)),
                    // What becomes of the first submission holds for this one, too.
                    None if self.new_submissions.contains_key(&number) => Admission::Pending(number),
                    None => Admission::Decided(Reply::Accepted),
                };
            }
            match self.memory.recall(&id, self.now) {
                Some(KnownId::Ended(outcome)) => return Admission::Decided(Reply::AlreadyEnded(outcome)),
                Some(KnownId::Deferred(history)) => earlier = Some(history),
                None => {}
            }
        }
        let effect = self.settings.classes[submission.class].effect;
        let history = earlier.map(|earlier| resumed_history(effect, earlier));
        if history.is_some_and(|history| !may_be_sent(&history, self.now)) {
            // Another attempt could take effect a second time, and no earlier one is known to have succeeded.
            return Admission::Decided(Reply::AlreadyEnded(FinalOutcome::Undeliverable));
        }
        let accepted = AcceptedMessage {
            message: MessageId(self.next_message),
            front: submission.front,
            id_scope: submission.id_scope,
            report_delivery: submission.report_delivery,
            class: self.directory.classes.number(submission.class),
            effect: history.map_or(Some(effect), |history| history.effect),
            tenant,
            destination: submission.destination.0,
            deadline: self.now.plus(submission.time_left),
            id: submission.id,
            key: submission.key,
            origin: submission.origin,
            body: submission.body,
        };
        let full = self.open_count >= self.settings.max_messages as usize
            || self.live_bytes + stored_size(&accepted) > self.held_bytes
            || self.total_live_bytes() + stored_size(&accepted) > self.journal.max_live_size();
        let admission = if self.paused.contains(&tenant) || self.memory.is_overfull_by(tenant) {
            Err(AdmissionError::NoCapacity(ShareError::CeilingReached))
        } else {
            self.admission.admit(submission.tenant, stored_size(&accepted), !full, self.now)
        };
        if let Err(error) = admission {
            self.counts[submission.tenant].rejected += 1;
            self.totals.rejected += 1;
            self.count(Some(submission.class), |counts| counts.declined += 1);
            let wait =
                if let AdmissionError::RateExceeded(wait) = error { wait } else { DEFAULT_RETRY_AFTER };
            return Admission::Decided(Reply::Rejected(wait));
        }
        let number = accepted.message;
        self.next_message = self.next_message.wrapping_add(1);
        if let Some(replay) = &mut self.replay {
            replay.submitted(submission.destination, accepted.message);
        }
        let message = Submission {
            destination: submission.destination,
            time_left: submission.time_left,
            class: submission.class,
            key: None,
            tenant: submission.tenant,
            resubmitted: submission.resubmitted,
        };
        self.add_message(accepted);
        match history {
            None => self.events.push(Event::Message(number, message)),
            Some(history) => self.resume_deferred(number, message, history),
        }
        Admission::Pending(number)
    }

    /// Passes on a message that was deferred before, with the attempt that may have run. The journal gets that
    /// attempt behind the message.
    fn resume_deferred(&mut self, number: MessageId, submission: Submission, history: AttemptHistory) {
        let AttemptHistory { attempts, may_have_run, .. } = history;
        if let Some(message) = self.messages.get_mut(&number) {
            message.may_have_run = may_have_run;
        }
        self.records.push(Record::AttemptSummary { message: number, attempts, may_have_run });
        self.events.push(Event::Resubmitted(number, submission, history));
    }

    pub(super) fn add_message(&mut self, accepted: AcceptedMessage) {
        let class = self.directory.classes.index_of(accepted.class);
        let tenant = match self.directory.tenants.index_of(accepted.tenant) {
            Some(index) => index,
            None => {
                // The journal may refer to a number whose name is lost. It gets an index for which nothing is
                // accepted.
                let directory = Rc::make_mut(&mut self.directory);
                let name = format!("(number {})", accepted.tenant);
                directory.tenants.declare(NumberedName { number: accepted.tenant, name });
                self.counts.resize(directory.tenants.len(), Counts::default());
                directory.tenants.index_of(accepted.tenant).unwrap_or_default()
            }
        };
        self.live_bytes += stored_size(&accepted);
        self.open_count += 1;
        self.counts[tenant].open += 1;
        self.admission.add_message(tenant);
        self.admission.add_bytes(tenant, stored_size(&accepted));
        self.ids.insert(scoped_id(&accepted), accepted.message);
        let number = accepted.message;
        let (attempts, may_have_run, call, outcome) = (0, None, None, None);
        self.messages
            .insert(number, HeldMessage { accepted, class, tenant, attempts, may_have_run, call, outcome });
    }

    pub(super) fn drop_message(&mut self, number: MessageId) {
        let Some(message) = self.messages.remove(&number) else { return };
        if let Some(replay) = &mut self.replay {
            replay.sent_or_ended(DestinationId(message.accepted.destination), number);
        }
        if message.outcome.is_none() {
            self.open_count -= 1;
            self.counts[message.tenant].open -= 1;
            self.admission.remove_message(message.tenant);
        }
        self.live_bytes -= stored_size(&message.accepted);
        self.admission.release_bytes(message.tenant, stored_size(&message.accepted));
        let id = scoped_id(&message.accepted);
        self.ids.remove(&id);
        if let Some((outcome, at)) = message.outcome {
            let protected_until = self.repeated_until(&message, at);
            let ended = EndedMessage { outcome, at, protected_until, history: deferred_history(&message) };
            self.memory.add(message.accepted.tenant, id, ended);
        }
    }

    /// Until when the client of a message that ended at `at` may repeat it: to its deadline, and for the longest
    /// time that a class gives, as a repeat may be given its time anew. Zero for a message that surely has not
    /// run.
    fn repeated_until(&self, message: &HeldMessage, at: Micros) -> Micros {
        if message.may_have_run.is_none() {
            return Micros(0);
        }
        let longest = longest_deadline(&self.settings);
        // Clients choose the deadline: it protects an outcome no longer than the bounds below.
        let latest = at.plus(longest.max(memory::RETENTION));
        message.accepted.deadline.max(at.plus(longest)).min(latest).max(Micros(1))
    }

    /// The dispatcher gives a message up: a submission of this iteration is rejected, an older message ends.
    pub(super) fn reject_or_end(&mut self, id: MessageId, outcome: FinalOutcome) {
        let Some(submitters) = self.new_submissions.remove(&id) else { return self.end_message(id, outcome) };
        let retry_after =
            if let FinalOutcome::Deferred(after) = outcome { after } else { DEFAULT_RETRY_AFTER };
        self.reject(id, submitters, retry_after);
    }

    fn reject(&mut self, id: MessageId, submitters: Vec<Submitter>, retry_after: Micros) {
        let Some(message) = self.messages.get(&id) else { return };
        tracing::debug!(
            number = id.0,
            request_id = ?String::from_utf8_lossy(&message.accepted.id),
            destination = message.accepted.destination,
            retry_after_ms = retry_after.as_ms(),
            "submission rejected"
        );
        self.counts[message.tenant].rejected += 1;
        self.totals.rejected += 1;
        let rejected = |(front, token)| Output::Reply(token, front, Reply::Rejected(retry_after));
        self.outputs.extend(submitters.into_iter().map(rejected));
        let class = message.class;
        self.count(class, |counts| counts.declined += 1);
        self.drop_message(id);
    }

    /// Undoes an iteration whose records could not be written: rejects its submissions and ends its calls
    /// unsent.
    pub(super) fn revert_iteration(
        &mut self,
        submissions: BTreeMap<MessageId, Vec<Submitter>>,
        calls: Vec<CallId>,
    ) {
        for number in calls {
            let item_count = self.calls.get(&number).map_or(0, |call| call.items.len());
            for index in 0..item_count {
                self.end_attempt(number, index, AttemptOutcome::NotSent, false);
            }
        }
        self.records.clear();
        for (id, submitters) in submissions {
            self.events.push(Event::Withdrawn(id));
            self.reject(id, submitters, DEFAULT_RETRY_AFTER);
        }
    }
}

/// What another delivery of a deferred message that may have run must go on from; `None` for any other message.
fn deferred_history(message: &HeldMessage) -> Option<AttemptHistory> {
    let is_deferred = matches!(message.outcome, Some((FinalOutcome::Deferred(_), _)));
    let may_have_run = message.may_have_run.filter(|_| is_deferred)?;
    // Each submission has its own number of attempts.
    Some(AttemptHistory { effect: message.accepted.effect, attempts: 0, may_have_run: Some(may_have_run) })
}

/// The history under which a deferred message goes on. The receivers have promised no more than under either of
/// the effects: the one under which an attempt may have run, and the present one of the class.
fn resumed_history(effect_of_class: Effect, earlier: AttemptHistory) -> AttemptHistory {
    let effect = earlier.effect.map_or(effect_of_class, |effect| effect.stricter(effect_of_class));
    AttemptHistory { effect: Some(effect), ..earlier }
}

fn may_be_sent(history: &AttemptHistory, now: Micros) -> bool {
    let effect = history.effect.unwrap_or_default();
    now < effect.repeatable_until(history.may_have_run.map(|(sent_at, _)| sent_at))
}
