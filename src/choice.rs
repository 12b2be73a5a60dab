//! Every decision of cedarwharf, in one text. Its interface (settings, events, actions): `src/interface.rs`;
//! what it remembers is laid out in `src/state.rs`.
//!
//! Ordinary path: formula (10) gives each lane its T1, a try waits 2^(J-1) x T1 after the one before it, and
//! the lane's pace says how many calls a second may leave. A lane has limits and outages of its own: it is a
//! destination or, where routes are apart, one endpoint.

pub mod upkeep;

use crate::interface::*;
use crate::report::Report;
use crate::state::*;
use crate::tenancy::gate::FairScheduler;
use crate::waiting::{WaitingMessage, WaitingMessages};
use std::collections::{BTreeMap, BTreeSet};

/// T1 before any call was served.
const T1_START: Micros = Micros(500_000);
/// Loss factor of formula (10).
const K: f64 = 2.0;
/// T1 never falls below the reply time over this, and Timer B is T1 times this.
const TIMER_SPAN: f64 = 64.0;
/// Weight of a new call in the mean latency, and in the share of refusals that last: about ten count.
const GAIN: f64 = 0.1;
/// Memory of the counts for P and R, seconds: in time, as a sender may meet a partner seldom.
const COUNT_MEMORY_S: f64 = 10.0;
/// Latencies kept for the p95: enough for one in twenty to be seen.
const RECENT: usize = 40;
/// An attempt waits this many times the recent p95 before it counts as timed out.
const PATIENCE: f64 = 2.0;
/// Shortest sleep, and how long before its end a message is answered.
const TICK: Micros = Micros(20_000);
/// Longest sleep; what is unused for so long is let go.
const FORGET: Micros = Micros(60_000_000);
/// Memory of the messages that a lane was asked to take, seconds.
const DEMAND_MEMORY_S: f64 = 10.0;
/// Memory of the messages that each tenant asks for, seconds: longer than a clump.
const TENANT_MEMORY_S: f64 = 40.0;

/// Pace after a refusal as full, as a share of what was lately sent.
const PACE_DROP: f64 = 0.7;
/// The same from the second refusal in a row on, at a lane that this sender meets seldom.
const PACE_DROP_SELDOM: f64 = 0.15;
/// Pace grows by this share of itself, or of this sender's even part of the told rate, with each served call.
const PACE_CREEP: f64 = 0.1;
/// The same where the limit is told and all of it is left; nothing where no more than this share is.
const TOLD_CREEP: f64 = 0.15;
const TOLD_LOW: f64 = 0.3;
/// Calls of the pace that a refusal above a told limit costs at most; drawn, so that senders come back apart.
const TOLD_REST: f64 = 2.5;
/// Weight of a new report in the told limit: reports are noisy, and limits jump.
const LIMIT_GAIN: f64 = 0.5;
/// Slowest pace as a share of this sender's even part of the told rate.
const PACE_FLOOR: f64 = 0.7;
/// Burst of the pace, seconds.
const PACE_BURST_S: f64 = 0.5;
/// Memory of the rate of calls sent, seconds.
const RATE_MEMORY_S: f64 = 2.0;
/// A rough weight may be so many times too high.
const ROUGH: f64 = 1.5;

/// Failures in a row that put an endpoint out: one alone is chance.
const OUT_AFTER: u32 = 2;
/// Answers in a row that cannot be read before they count as failures.
const SPOILT_AFTER: u32 = 4;
/// A sender whose part of the lane is fewer calls than that within the fail-back window meets it seldom.
const OFTEN: f64 = 0.5;
/// Refusals in a row that look like a shut door rather than a spent limit.
const SHUT_AFTER: u32 = 6;
/// Connections broken in a row that do so: a network loses some, and the process behind knows nothing of it.
const BROKEN_AFTER: u32 = 3;
/// Time between two served calls that is no outage: calls were slow or connections lost, and nothing is cold.
const BLINK: Micros = Micros(2_500_000);
/// A told wait longer than any usual limit's span means shut.
const SHUT_WAIT: Micros = Micros(3_000_000);
/// Where no limit is told: a sender's share of a cold receiver's budget, as a part of its own demand there.
const COLD_OWN: f64 = 0.9;
/// Served calls in a row before an endpoint that was out is trusted with unsafe messages.
const SURE: u32 = 2;
/// Messages for a destination with no endpoint are held so long: lists come late.
const UNKNOWN_HOLD: Micros = Micros(2_000_000);
/// Rank of an unsafe message at a doubtful destination: repeatable ones go first and find out.
const LAST: f64 = 1e-3;
/// What a message loses by waiting is looked at over so many mean latencies.
const HORIZON: f64 = 4.0;
/// Weight of the worth itself beside what waiting loses.
const STANDING: f64 = 1e-3;
/// Share of the places that a message of any worth may take; the rest are for greater worth.
const OPEN_PLACES: f64 = 0.7;
/// Weight of a new call in the aged share of idle connections found dead, and the share that means stale.
const STALE_GAIN: f64 = 0.25;
const STALE_MOST: f64 = 0.2;
/// What that share keeps each time a connection is closed unused: after some dozens one is tried again.
const STALE_KEEP: f64 = 0.99;
/// Memory of new connections that failed at a kind of destination, seconds, and how many mean full tables.
const TABLE_MEMORY_S: f64 = 60.0;
const TABLE_FULL: f64 = 0.5;
/// Even a small server accepts so many connections: fewer siblings that keep one each do not fill it.
const TABLE_LEAST: f64 = 8.0;
/// More siblings than that fill the tables of all but large ones, in the time that each needs to find out.
const TABLE_MOST: f64 = 32.0;
/// Destinations ranked anew in a turn, besides those that something happened to: all where so few, else some.
const FEW: usize = 32;
const RANKED_ANEW: usize = 8;
/// A destination that is not open is looked at again after so long at most: what it takes changes with time.
const LOOK_AGAIN: Micros = Micros(200_000);
/// Messages looked at anew in a turn after a change of the settings.
const REVISITED: usize = 256;
/// Pause before the list is asked for again after a failed call.
const LIST_PAUSE: Micros = Micros(2_000_000);

/// The decisions of one sender.
pub struct Dispatcher {
    settings: Settings,
    senders: upkeep::Senders,
    random: fastrand::Rng,
    messages: BTreeMap<MessageId, Message>,
    waiting: WaitingMessages,
    /// Whose message may take the next slot.
    gate: FairScheduler,
    calls: BTreeMap<u64, Call>,
    /// Calls by when their slots may be taken for others.
    overdue: BTreeSet<(Micros, u64)>,
    /// After a change of the settings: from where on messages are still to be looked at anew.
    revisit: Option<MessageId>,
    next_call: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints of each destination that are in service.
    listed: BTreeMap<DestinationId, Vec<EndpointId>>,
    lanes: BTreeMap<LaneId, Lane>,
    keys: BTreeMap<u64, KeyQueue>,
    /// Messages lately handed in for each tenant.
    asked: Vec<Faded>,
    asked_all: Faded,
    /// The sum of their quotas.
    quotas: f64,
    /// Messages submitted in this iteration: they may still be rejected.
    submitted: Vec<MessageId>,
    /// Aged share of resets among calls on idle connections, and the shortest idleness that met one.
    stale_share: f64,
    stale_idle: Micros,
    /// Aged share of refusals that the next call at the same lane met again.
    full_again: f64,
    /// New connections that failed lately at each kind of destination, and endpoints where a call has ended.
    no_room: Vec<Faded>,
    ended: BTreeSet<EndpointId>,
    /// What is unknown of a lane starts from what this sender sees of all.
    overall: Latency,
    wake_at: Option<Micros>,
    sweep_at: Micros,
    now: Micros,
    /// What was decided in this turn.
    actions: Vec<Action>,
    ask_at: Option<Micros>,
}

/// Formula (10) of the paper: T1 from the reply time (in its unit), P, the lost share of all attempts, and R,
/// the repeats per first try. The share of damaged messages, a, is formula (9), held between 0 and 1.
pub fn timer_t1(reply: f64, p: f64, r: f64) -> f64 {
    let a = if p < 1.0 { ((r / (1.0 + r) - p) / (1.0 - p)).clamp(0.0, 1.0) } else { 0.0 };
    let t1 = reply * ((1.0 - p) * (1.0 - a * 63.0 / 64.0) + p * K);
    t1.max(reply / TIMER_SPAN)
}

impl Health {
    /// The start of an outage. The bucket starts at chance, so that siblings do not knock together.
    fn fail(&mut self, now: Micros, chance: f64) {
        self.tokens = if self.phase == Phase::Up { chance } else { self.tokens.min(chance) };
        self.phase = Phase::Out;
        self.filled_at = now;
    }

    /// A served call; tells whether it was the first after an outage. Slow calls that were given up, often
    /// by this sender itself, and connections lost on the way look like one; a call served soon after the
    /// last shows that there was none. Who answers with errors or shuts its door may serve some in between.
    fn serve(&mut self, now: Micros, recovery_time: Micros) -> bool {
        let was_out = self.phase == Phase::Out;
        let blink = !self.refusing && now.minus(self.served_at) < BLINK;
        (self.served_at, self.refusing) = (now, false);
        match self.phase {
            Phase::Out if blink => self.phase = Phase::Up,
            Phase::Out => self.phase = Phase::Back(now),
            Phase::Back(since) if now.minus(since) >= recovery_time => self.phase = Phase::Up,
            _ => {}
        }
        was_out
    }

    /// Share of its capacity that a cold receiver has at the least.
    fn warmth(&self, now: Micros, settings: &Settings) -> f64 {
        let warm = match self.phase {
            Phase::Back(since) => seconds(now.minus(since)) / seconds(settings.recovery_time).max(1e-3),
            // Long unasked: it may have come back for others. Outages are longer than one cold time.
            Phase::Out => {
                seconds(now.minus(self.called_at)) / seconds(settings.recovery_time).max(1e-3) - 2.0
            }
            Phase::Up => 1.0,
        };
        settings.recovery_start_share + (1.0 - settings.recovery_start_share) * warm.clamp(0.0, 1.0)
    }

    /// When the budget of rule 4 has room for a call, at so many calls a second for a warm receiver.
    fn opens_at(&self, now: Micros, capacity: f64, settings: &Settings) -> Micros {
        match self.phase {
            Phase::Up => return now,
            Phase::Back(since) if now.minus(since) >= settings.recovery_time => return now,
            _ => {}
        }
        let rate = (settings.overload_multiple * self.warmth(now, settings) * capacity).max(1e-6);
        let short = 1.0 - self.tokens - rate * seconds(now.minus(self.filled_at));
        if short <= 0.0 {
            now
        } else {
            now.plus(micros(short / rate))
        }
    }

    fn called(&mut self, now: Micros, capacity: f64, settings: &Settings) {
        let rate = settings.overload_multiple * self.warmth(now, settings) * capacity;
        self.tokens = (self.tokens + rate * seconds(now.minus(self.filled_at))).min(1.0) - 1.0;
        self.filled_at = now;
        self.called_at = now;
    }
}

impl Lane {
    fn new(now: Micros) -> Self {
        Lane { pace: f64::INFINITY, tokens: f64::MAX, filled_at: now, used_at: now, ..Lane::default() }
    }

    fn t1(&self, now: Micros) -> f64 {
        let Some(reply) = self.latency.mean else { return T1_START.0 as f64 };
        let p = self.lost.of(&self.attempts, now, COUNT_MEMORY_S).clamp(0.0, 1.0);
        timer_t1(reply, p, self.repeats.of(&self.firsts, now, COUNT_MEMORY_S))
    }

    /// Counts an ended attempt for P and R.
    fn count(&mut self, now: Micros, first: bool, lost: bool) {
        self.attempts.add(now, COUNT_MEMORY_S, 1.0);
        self.lost.add(now, COUNT_MEMORY_S, f64::from(u8::from(lost)));
        (if first { &mut self.firsts } else { &mut self.repeats }).add(now, COUNT_MEMORY_S, 1.0);
    }

    /// When the token bucket, filled at the pace or at the told rate where that is lower, holds a call.
    fn paced_until(&mut self, now: Micros, told: f64) -> Micros {
        let pace = self.pace.min(told);
        if pace.is_infinite() {
            return now;
        }
        let elapsed = seconds(now.minus(self.filled_at));
        self.tokens = (self.tokens + elapsed * pace).min((pace * PACE_BURST_S).max(1.0));
        self.filled_at = now;
        if self.tokens >= 1.0 - 1e-9 {
            now
        } else {
            now.plus(micros((1.0 - self.tokens) / pace.max(1e-6)))
        }
    }
}

impl Dispatcher {
    /// Takes what happened at `now`, in order, and adds what to do to `actions`.
    pub fn handle(
        &mut self,
        now: Micros,
        events: impl IntoIterator<Item = Event>,
        actions: &mut Vec<Action>,
    ) {
        self.now = now;
        for event in events {
            match event {
                Event::EndpointRecords(scope, members) => self.learn_members(scope, members),
                Event::Message(id, message) => {
                    self.take(id, message);
                    self.submitted.push(id);
                }
                Event::Restored(id, message, past) => self.restore(id, message, past),
                Event::RetryAfter(endpoint, wait) => {
                    let until = self.now.plus(wait);
                    let Some(lane_id) = self.lane_of(endpoint) else { continue };
                    let lane = self.lane(endpoint);
                    lane.wait_until = lane.wait_until.max(until);
                    self.waiting.mark_changed(lane_id.0);
                }
                Event::Report(endpoint, report) => self.hear_report(endpoint, report),
                Event::AttemptEnded { id, attempt, outcome, spent, closed, .. } => {
                    self.settle(id, attempt, outcome, spent, closed);
                }
                Event::Settings(settings) => self.adopt(*settings),
                Event::Withdrawn(id) => self.close(id),
                Event::Wake => {}
            }
        }
        self.subscribe_when_due();
        self.revisit();
        self.answer_overdue();
        self.send_ready();
        self.give_back();
        self.reject_over_capacity();
        self.forget();
        self.wake_when_due();
        actions.append(&mut self.actions);
    }

    // ---- What is heard ----

    fn take(&mut self, id: MessageId, handed_in: Submission) {
        let Submission { destination, time_left, class, key, tenant, resubmitted } = handed_in;
        let class = class.min(self.settings.classes.len().saturating_sub(1));
        let told = &self.settings.classes[class];
        let deadline = self.now.plus(time_left);
        // Little time left is less patience, not lateness, unless the message comes again.
        let aim = Some(deadline.plus(told.target_time).minus(told.deadline))
            .filter(|&aim| resubmitted || aim > self.now);
        let aim = aim.unwrap_or(self.now.plus(told.target_time).min(deadline));
        let key = key.filter(|_| told.in_order);
        if let Some(key) = key {
            self.keys.entry(key).or_default().order.push_back(id);
        }
        let (taken, ready_at) = (self.now, self.now);
        if let Some(asked) = self.asked.get_mut(tenant) {
            asked.add(self.now, TENANT_MEMORY_S, 1.0);
            self.asked_all.add(self.now, TENANT_MEMORY_S, 1.0);
        }
        let new =
            Message { destination, class, key, taken, deadline, aim, ready_at, tenant, ..Message::default() };
        self.messages.insert(id, new);
        let routes = self.listed.get(&destination).cloned().unwrap_or_default();
        for &route in &routes {
            let now = self.now;
            self.lane(route).demand.add(now, DEMAND_MEMORY_S, 1.0 / routes.len() as f64);
        }
        self.hold(id);
    }

    /// A message that outlived its process: what was out when that ended may have run, and its tries go on.
    fn restore(&mut self, id: MessageId, handed_in: Submission, past: AttemptHistory) {
        self.take(id, Submission { resubmitted: true, ..handed_in });
        let ran = past.may_have_run.map(|(sent, at)| (sent, at, self.zone(at)));
        let Some(message) = self.messages.get_mut(&id) else { return };
        (message.attempts, message.tries, message.may_have_run) = (past.attempts, past.attempts, ran);
        message.found = true;
        if let (Some(key), Some(_)) = (message.key, ran) {
            let queue = self.keys.entry(key).or_default();
            (queue.rest_until, queue.rest_for) = (self.now.plus(self.settings.key_backoff), Some(id));
        }
        self.hold(id);
    }

    /// Factor on the worth of one more message of a tenant: lower where the tenant asks for more than its
    /// share, and holds more than its share of the places.
    fn tenant_factor(&self, tenant: usize, held_by_tenant: &[usize]) -> f64 {
        let Some(&quota) = self.settings.tenants.get(tenant) else { return 1.0 };
        let asked = |one: &Faded| one.now(self.now, TENANT_MEMORY_S);
        let (own, all) = (asked(&self.asked[tenant]), asked(&self.asked_all));
        let share = quota / self.quotas;
        let by_rate = quota * TENANT_MEMORY_S / (own * self.senders.count);
        let beyond = held_by_tenant[tenant] as f64 > share * f64::from(self.settings.max_messages);
        if beyond && (share * all / own).max(by_rate) < 1.0 {
            self.settings.over_share_worth
        } else {
            1.0
        }
    }

    fn settle(&mut self, id: MessageId, attempt: u32, outcome: AttemptOutcome, spent: Micros, closed: bool) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(flight) = message.out.take_if(|flight| flight.attempt == attempt) else { return };
        message.closed |= closed;
        let Some(call) = self.calls.get_mut(&flight.call) else { return };
        call.left -= 1;
        let (endpoint, lane_id, over) = (call.endpoint, call.lane, call.left == 0);
        // Rule 6: messages of one call may hear of the same wait in different batches; the first word binds.
        if let (AttemptOutcome::Rejected { retry_after: Some(wait) }, Some(lane)) =
            (outcome, self.lanes.get_mut(&lane_id))
        {
            lane.wait_until = lane.wait_until.max(self.now.plus(wait));
        }
        self.waiting.mark_changed(lane_id.0);
        if over {
            if let Some(call) = self.calls.remove(&flight.call) {
                self.overdue.remove(&(call.overdue_at, flight.call));
                self.gate.call_ended(call.tenant, call.expected, spent);
                self.learn(&call, outcome, spent);
            }
        }
        let t1 = self.lanes.get(&lane_id).map_or(T1_START.0 as f64, |lane| lane.t1(self.now));
        let zone = self.zone(endpoint);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let ran = !outcome.never_ran() && outcome != AttemptOutcome::Delivered;
        if ran {
            message.may_have_run.get_or_insert((flight.sent_at, endpoint, zone));
        }
        if let (Some(key), true) = (message.key, ran && outcome != AttemptOutcome::Error) {
            let queue = self.keys.entry(key).or_default();
            queue.rest_until = self.now.plus(self.settings.key_backoff);
            queue.rest_for = Some(id);
        }
        if message.closed {
            self.close(id);
        } else if outcome == AttemptOutcome::NotSent {
            message.tries -= 1;
            message.ready_at = self.now.plus(TICK);
            self.hold(id);
        } else {
            // Timer A: the pause doubles with each try. Timer B runs on tries and pauses alone.
            let pause = t1 * f64::from(2u32.saturating_pow(message.tries.saturating_sub(1)));
            message.spent += spent.0 as f64 + pause;
            message.ready_at = self.now.plus(Micros(pause as u64));
            if message.spent >= TIMER_SPAN * t1 && message.tries > 1 || !self.may_repeat(id) {
                self.answer(id);
            } else {
                self.hold(id);
            }
        }
    }

    /// What a call's end says of its lane and its endpoint; messages that shared the call count once.
    fn learn(&mut self, call: &Call, outcome: AttemptOutcome, spent: Micros) {
        let id = call.endpoint;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.in_flight -= 1;
        endpoint.last_used = self.now;
        self.ended.insert(id);
        // What cannot be read was sent by a receiver that is there: a wire that spoils answers spoils those
        // of all alike, and no health is read from one. Who sends nothing else is no use all the same.
        endpoint.spoilt = if outcome == AttemptOutcome::MalformedAnswer { endpoint.spoilt + 1 } else { 0 };
        if outcome == AttemptOutcome::NotSent || (1..SPOILT_AFTER).contains(&endpoint.spoilt) {
            return;
        }
        let unmet = matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimitReached);
        if let (true, Some(failed)) = (unmet, self.no_room.get_mut(endpoint.kind)) {
            failed.add(self.now, TABLE_MEMORY_S, 1.0);
        }
        if outcome == AttemptOutcome::ConnectionLimitReached {
            // The endpoint is there, and its limit was not asked: the connections are spent, not the calls.
            let lanes = self.lanes.get_mut(&call.lane).into_iter();
            return lanes.for_each(|lane| lane.count(self.now, call.first, true));
        }
        if self.blames_connection(call, outcome) {
            return;
        }
        // A call that went out with less time than calls there take tells nothing when that is over.
        let usual = self.lanes.get(&call.lane).and_then(|lane| lane.latency.mean).unwrap_or_default();
        if outcome == AttemptOutcome::TimedOut && (spent.0 as f64) < usual {
            return;
        }
        let (part, now, told) = (self.part(id), self.now, self.told_rate(id));
        let Some(lane) = self.lanes.get_mut(&call.lane) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        lane.paced_until(now, told);
        let heard = matches!(
            outcome,
            AttemptOutcome::Delivered
                | AttemptOutcome::Error
                | AttemptOutcome::Reset
                | AttemptOutcome::MalformedAnswer
        );
        lane.count(now, call.first, !heard);
        let seldom = part * seconds(self.settings.overload_window) < OFTEN;
        if lane.fulls > 0 && matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Rejected { .. }) {
            self.full_again +=
                GAIN * (f64::from(u8::from(outcome != AttemptOutcome::Delivered)) - self.full_again);
        }
        match outcome {
            AttemptOutcome::Delivered => {
                lane.latency.add(spent, GAIN, RECENT);
                self.overall.add(spent, GAIN, RECENT);
                let room = ((lane.left - TOLD_LOW) / (1.0 - TOLD_LOW)).max(0.0);
                let creep = if lane.limit > 0.0 { TOLD_CREEP * room } else { PACE_CREEP };
                lane.pace += creep * lane.pace.max(part);
                lane.fulls = 0;
                endpoint.bad = 0;
                endpoint.good += 1;
                let at = (call.lane.0 .0, id.0);
                for (health, name) in [(&mut endpoint.health, "endpoint"), (&mut lane.health, "destination")]
                {
                    if health.serve(now, self.settings.recovery_time) {
                        let line = format!("{name} returning: destination {} endpoint {:x}", at.0, at.1);
                        self.actions.push(Action::Log(line));
                    }
                }
            }
            AttemptOutcome::Rejected { retry_after: wait } => {
                // One that says that nothing is left is above the limit, however many come in a row.
                lane.fulls += u32::from(lane.told_at < now || lane.left > TOLD_LOW);
                // One cut for all refusals of calls sent before it, as they tell of one moment.
                if call.sent_at >= lane.cut_at {
                    let sent = lane.rate.now(now, RATE_MEMORY_S) / RATE_MEMORY_S;
                    let lasting =
                        f64::from(u8::from(seldom)) * if lane.fulls > 1 { 1.0 } else { self.full_again };
                    let drop = PACE_DROP - lasting * (PACE_DROP - PACE_DROP_SELDOM);
                    // Even parts add up to a told limit: what falls is their sum, by pauses drawn anew.
                    let (floor, rest) = if lane.limit > 0.0 { (1.0, TOLD_REST) } else { (PACE_FLOOR, 0.0) };
                    lane.pace = (lane.pace.min(sent) * drop).max(floor * part);
                    lane.tokens = lane.tokens.min(rest.min(1.0) - self.random.f64() * rest);
                    lane.filled_at = now;
                    lane.cut_at = now;
                }
                if lane.fulls >= SHUT_AFTER || wait.is_some_and(|wait| wait > SHUT_WAIT) {
                    lane.health.refusing = true;
                    self.lane_out(call.lane, "shut");
                }
            }
            _ => {
                endpoint.good = 0;
                endpoint.bad += 1;
                let unanswered = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
                endpoint.health.refusing |= outcome == AttemptOutcome::Error;
                lane.health.refusing |= outcome == AttemptOutcome::Error;
                // Who meets a partner seldom cannot wait for a second failure: its siblings see one each.
                let broken = matches!(outcome, AttemptOutcome::Reset | AttemptOutcome::ConnectFailed);
                let alone = seldom || self.senders.count > TABLE_MOST && outcome != AttemptOutcome::Error;
                let enough = match (alone, broken) {
                    (true, _) => 1,
                    (_, true) => BROKEN_AFTER,
                    _ => OUT_AFTER,
                };
                if endpoint.bad >= enough {
                    if endpoint.health.phase != Phase::Out {
                        endpoint.health.fail(now, self.random.f64());
                        let line =
                            format!("endpoint out: destination {} endpoint {:x}", call.lane.0 .0, id.0);
                        self.actions.push(Action::Log(line));
                    }
                    // An outage mostly takes all endpoints, and each sender would try each of them once: a
                    // seldom met partner is out with the first silence, unless one was served meanwhile.
                    // Who turns a connect down at once may just have a full table.
                    let late = spent.0 as f64 >= self.overall.mean.unwrap_or(T1_START.0 as f64);
                    let mute = unanswered || outcome == AttemptOutcome::ConnectFailed && late;
                    let silent = alone && mute && lane.health.served_at <= call.sent_at;
                    let routes = self.listed.get(&call.lane.0).map_or(&[][..], |routes| routes);
                    let mut here = routes.iter().filter(|&&route| self.lane_of(route) == Some(call.lane));
                    if silent || here.all(|route| self.endpoints[route].health.phase == Phase::Out) {
                        self.lane_out(call.lane, "failing");
                    }
                }
            }
        }
    }

    /// What a lane takes from all senders, by its own word: a pace follows a limit that moves, and is the
    /// even part of it before the first refusal where little is left.
    fn hear_report(&mut self, id: EndpointId, report: Report) {
        let Some(lane) = self.lane_of(id).and_then(|lane| self.lanes.get_mut(&lane)) else { return };
        let known = if lane.limit > 0.0 { lane.limit } else { report.limit };
        lane.limit = known + LIMIT_GAIN * (report.limit - known);
        (lane.left, lane.told_at) = (report.left, self.now);
        let even = lane.limit / self.senders.count;
        let most = if report.left < TOLD_LOW { even } else { f64::INFINITY };
        lane.pace = (lane.pace * (lane.limit / known)).min(most);
    }

    /// Whether a call tells of the connection it went out on rather than of the endpoint. Idle connections
    /// may be dropped on the way, with a reset or with silence. A failure on one that had been idle is a
    /// suspicion, settled by the next call there, on a new connection: served, the connection was at fault
    /// and all lanes so suspected are cleared once that is known; failed, the endpoint is.
    fn blames_connection(&mut self, call: &Call, outcome: AttemptOutcome) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return false };
        let served = outcome == AttemptOutcome::Delivered;
        let unanswered =
            matches!(outcome, AttemptOutcome::Reset | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        let before = self.stale_share;
        if call.idle == Micros(0) {
            if let Some(idle) = endpoint.suspect.take().filter(|_| served) {
                self.stale_share += STALE_GAIN * (1.0 - self.stale_share);
                self.stale_idle = self.stale_idle.min(idle);
                self.forgive(call.endpoint);
            }
        } else if served {
            self.stale_share -= STALE_GAIN * self.stale_share;
        } else if unanswered && endpoint.suspect.is_none() {
            endpoint.suspect = Some(call.idle);
            self.actions.push(Action::CloseIdle(call.endpoint));
            if outcome == AttemptOutcome::Reset {
                self.stale_share += STALE_GAIN * (1.0 - self.stale_share);
                self.stale_idle = self.stale_idle.min(call.idle);
            }
            return outcome == AttemptOutcome::Reset || before > STALE_MOST;
        }
        if before <= STALE_MOST && self.stale_share > STALE_MOST {
            let suspected = self.endpoints.iter().filter(|(_, e)| e.suspect.is_some()).map(|(&id, _)| id);
            for id in suspected.collect::<Vec<_>>() {
                self.forgive(id);
            }
        }
        false
    }

    /// Takes back what a failure on an idle connection said of an endpoint.
    fn forgive(&mut self, id: EndpointId) {
        let lane = self.lane_of(id).and_then(|lane| self.lanes.get_mut(&lane));
        if let (Some(endpoint), Some(lane)) = (self.endpoints.get_mut(&id), lane) {
            (endpoint.health.phase, endpoint.bad) = (Phase::Up, 0);
            lane.health.phase = Phase::Up;
            self.waiting.mark_changed(endpoint.destination);
        }
    }

    // ---- What goes next ----

    /// Worth of a message if it is delivered at `at`.
    fn worth(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.settings.classes[message.class];
        let late = at.minus(message.aim).0 as f64;
        if late <= 0.0 {
            return class.worth;
        }
        let kept = match self.settings.worth_decay {
            WorthDecay::Halving => 0.5f64.powf(late / class.target_time.0.max(1) as f64),
            WorthDecay::Linear => {
                let span = message.deadline.minus(message.aim).0.max(1) as f64;
                1.0 - (1.0 - class.late_share) * (late / span).min(1.0)
            }
        };
        class.worth * kept.max(class.late_share)
    }

    /// When a message that goes to a destination now would be there, and when one that waits for a while.
    fn now_and_later(&self, destination: DestinationId) -> (Micros, Micros) {
        let route = self.listed.get(&destination).and_then(|routes| routes.first());
        let lane = route.and_then(|&route| self.lanes.get(&self.lane_of(route)?));
        let usual = self.overall.mean.unwrap_or(T1_START.0 as f64);
        let slot = lane.and_then(|lane| lane.latency.mean).unwrap_or(usual);
        let at = self.now.plus(Micros(slot as u64));
        (at, at.plus(Micros((usual * HORIZON) as u64)))
    }

    /// What goes first: what loses most by waiting, for each second of the slot that it takes. Where slots
    /// are short, a late message of a slow fade can wait, and slow partners do not keep the slots from quick
    /// ones; where they are not, the order matters little.
    fn urgency(&self, message: &Message, (at, later): (Micros, Micros)) -> f64 {
        let slot = at.minus(self.now).0 as f64;
        let left = if later < message.deadline { self.worth(message, later) } else { 0.0 };
        (self.worth(message, at) - left + STANDING * self.worth(message, at)) / slot.max(1.0)
    }

    /// What gains most by going now goes first, as long as there are slots. Looked at are the destinations
    /// where something has happened, those that may have opened, and some that were ranked long ago.
    fn send_ready(&mut self) {
        self.waiting.end_backoffs(self.now);
        let slots = self.settings.slots as usize;
        let none_overdue =
            self.overdue.first().is_none_or(|&(at, _)| at > self.now) || !self.settings.can_cancel;
        if self.calls.len() > slots || self.calls.len() == slots && none_overdue {
            return;
        }
        let turn = |id: &MessageId| self.messages[id].ready_at <= self.now && self.in_turn(*id);
        let turns: Vec<MessageId> = self.waiting.ordered.iter().copied().filter(turn).collect();
        turns.iter().for_each(|&id| self.waiting.set_key_turn(id, true));
        let mut aside = BTreeSet::new();
        for destination in self.waiting.destinations_to_rank(self.now, (FEW, RANKED_ANEW)) {
            self.rank(destination, &aside);
        }
        while let Some((destination, id, ranked_at)) = self.waiting.next_message(&mut self.gate) {
            if ranked_at < self.now {
                self.rank(destination, &aside);
                continue;
            }
            if let Some(endpoint) = self.pick_endpoint(id) {
                if self.calls.len() >= slots {
                    self.reclaim(self.overdue.first().copied());
                    break;
                }
                let kind = self.endpoints[&endpoint].kind;
                let room = self.settings.kinds.get(kind).map_or(1, |kind| kind.batch.max(1));
                let mut call = self.open_call(id, endpoint);
                let mut next = Some(id);
                while let Some(other) = next.filter(|_| call.left < room) {
                    if !self.send(other, &mut call) {
                        aside.insert(other);
                    }
                    next = self.best_at(destination, &aside).into_values().max_by(first).map(|one| one.1);
                }
                self.overdue.insert((call.overdue_at, self.next_call));
                self.calls.insert(self.next_call, call);
            } else {
                aside.insert(id);
            }
            self.rank(destination, &aside);
        }
        for tenant in self.waiting.blocked_tenants(&self.gate) {
            self.reclaim(self.hanging_call_of(tenant));
        }
        turns.iter().for_each(|&id| self.waiting.set_key_turn(id, false));
        // Those that could not go where others could are looked at again with the next turn.
        for id in aside {
            self.messages.get(&id).into_iter().for_each(|m| self.waiting.mark_changed(m.destination));
        }
    }

    /// Ranks an open destination by what gains most there, or says when it is to be looked at again.
    fn rank(&mut self, destination: DestinationId, aside: &BTreeSet<MessageId>) {
        let (mut best, mut opens) = (BTreeMap::new(), None);
        if self.waiting.has_ready(destination) {
            match self.opening(destination) {
                Some(at) if at <= self.now => best = self.best_at(destination, aside),
                Some(at) => opens = Some(at.min(self.now.plus(LOOK_AGAIN))),
                None => {}
            }
        }
        self.waiting.set_opening(destination, opens);
        self.waiting.ranking.set(destination, best, self.now);
    }

    /// What gains most at a destination by going now, of each tenant; of equals, the oldest.
    fn best_at(
        &self,
        destination: DestinationId,
        aside: &BTreeSet<MessageId>,
    ) -> BTreeMap<usize, (f64, MessageId)> {
        let times = self.now_and_later(destination);
        let doubt = if self.doubtful(destination) { LAST } else { 1.0 };
        let mut best = BTreeMap::new();
        for (class, id) in self.waiting.candidates(destination, times, aside) {
            let unsafe_class = self.settings.classes[class].effect == Effect::Unsafe;
            let message = &self.messages[&id];
            let one = (if unsafe_class { doubt } else { 1.0 } * self.urgency(message, times), id);
            let best = best.entry(message.tenant).or_insert(one);
            *best = std::cmp::max_by(*best, one, first);
        }
        // What a start found untried is owed a call: it goes first once sending it all takes the time left.
        let all_sent_by = self.untried_end(destination, times.1);
        for (&tenant, best) in best.iter_mut() {
            let Some((id, deadline)) = self.waiting.first_recovered(destination, tenant, aside) else {
                continue;
            };
            let class = &self.settings.classes[self.messages[&id].class];
            let held_back = doubt < 1.0 && class.effect == Effect::Unsafe;
            let sent_by = if held_back { times.1 } else { all_sent_by };
            let slot = times.0.minus(self.now).0.max(1) as f64;
            let least = if sent_by >= deadline { class.worth / slot } else { 0.0 };
            if sent_by >= deadline || self.messages[&best.1].found {
                *best = (best.0.max(least), id);
            }
        }
        best
    }

    /// The call that gives way where a tenant may have no more slots: the first overdue one that may be sent
    /// again, to a lane that has never answered. An unproven destination cannot keep all of a tenant's slots.
    fn hanging_call_of(&self, tenant: usize) -> Option<(Micros, u64)> {
        let unproven = |call: &Call| self.lanes.get(&call.lane).is_none_or(|l| l.latency.mean.is_none());
        let repeats = |id: &MessageId| self.messages.get(id).is_none_or(|m| self.effect(m) != Effect::Unsafe);
        let own = |call: &Call| call.tenant == tenant && call.carries.iter().all(repeats);
        let gives_way = |call: &Call| own(call) && unproven(call);
        let found = self.overdue.iter().find(|(_, number)| gives_way(&self.calls[number])).copied();
        found.filter(|_| self.settings.can_cancel)
    }

    /// Calls off an overdue call, as a message could go and has no slot: slots are kept from calls that hang.
    fn reclaim(&mut self, overdue: Option<(Micros, u64)>) {
        let Some((at, number)) = overdue.filter(|(at, _)| *at <= self.now) else { return };
        let Some(call) = self.calls.get_mut(&number) else { return };
        self.overdue.remove(&(at, number));
        call.overdue_at = Micros(u64::MAX);
        for &id in &call.carries {
            let out = self.messages.get(&id).and_then(|message| message.out);
            if let Some(flight) = out.filter(|flight| flight.call == number) {
                self.actions.push(Action::Cancel { id, attempt: flight.attempt });
            }
        }
    }

    /// Where new connections fail, a table of connections may be full, idle ones counted, and siblings keep
    /// one each: at such a kind of destination, and in a large fleet at any, a connection is given back when
    /// nothing goes on it at once.
    fn give_back(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
            let failed = self.no_room.get(endpoint.kind).map_or(0.0, |n| n.now(self.now, TABLE_MEMORY_S));
            if self.senders.count > TABLE_MOST || failed > TABLE_FULL && self.senders.count > TABLE_LEAST {
                endpoint.last_used = Micros(0);
                self.actions.push(Action::CloseIdle(id));
            }
        }
    }

    fn doubtful(&self, destination: DestinationId) -> bool {
        let routes = self.listed.get(&destination).map_or(&[][..], |routes| routes);
        routes
            .iter()
            .map(|route| &self.endpoints[route])
            .any(|e| e.health.phase != Phase::Up && e.good < SURE)
    }

    /// The best endpoint that may take a call now, if any.
    fn pick_endpoint(&mut self, id: MessageId) -> Option<EndpointId> {
        let routes = self.listed.get(&self.messages[&id].destination)?.clone();
        let open = routes.into_iter().filter(|&route| {
            self.opens_at(route) <= self.now && self.call_allowed(route) && self.message_allowed(id, route)
        });
        let open: Vec<EndpointId> = open.collect();
        if open.len() < 2 {
            return open.first().copied();
        }
        // Equals are drawn by lot: what all senders hold for the first would be full of them.
        let (endpoints, random) = (&self.endpoints, &mut self.random);
        open.into_iter().min_by_key(|route| {
            let known = &endpoints[route];
            (known.in_flight, std::cmp::Reverse(known.last_used), random.u32(..))
        })
    }

    /// When the first endpoint of a destination may take a call; nothing where none is listed.
    fn opening(&mut self, destination: DestinationId) -> Option<Micros> {
        let routes = self.listed.get(&destination)?.clone();
        routes.iter().map(|&route| self.opens_at(route)).min()
    }

    /// When the lane may want another call, by its pace and by the rules.
    fn opens_at(&mut self, endpoint: EndpointId) -> Micros {
        let (now, told) = (self.now, self.told_rate(endpoint));
        self.lane(endpoint).paced_until(now, told).max(self.allowed_at(endpoint))
    }

    /// What a lane may be sent at the most, by the list.
    fn told_rate(&self, endpoint: EndpointId) -> f64 {
        let told = self.endpoints[&endpoint].weight * self.slack();
        Some(told).filter(|&told| told > 0.0).unwrap_or(f64::INFINITY).min(self.first_pace(endpoint))
    }

    /// The part of what a lane takes that is this sender's, in calls a second: the even part of the told
    /// rate, rough figures taken low, whatever it is asked for, as all may be; where none is told, by that.
    fn part(&self, endpoint: EndpointId) -> f64 {
        let lane = self.lane_of(endpoint).and_then(|lane| self.lanes.get(&lane));
        let listed = self.endpoints[&endpoint].weight / self.slack();
        let told = if listed > 0.0 { listed } else { lane.map_or(0.0, |lane| lane.limit) };
        if told > 0.0 {
            return told / self.senders.count;
        }
        let asked = lane.map_or(0.0, |lane| lane.demand.now(self.now, DEMAND_MEMORY_S) / DEMAND_MEMORY_S);
        COLD_OWN * asked
    }

    /// By how much a told rate may be wrong, as a factor.
    fn slack(&self) -> f64 {
        match self.settings.weights {
            Weights::Nominal => 1.0,
            Weights::Rough => ROUGH,
            Weights::Absent => f64::INFINITY,
        }
    }

    fn open_call(&mut self, by: MessageId, id: EndpointId) -> Call {
        self.next_call += 1;
        let now = self.now;
        let mut idle = Micros(0);
        let (capacity, part) = self.cold_capacity(id);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            // Receivers or middleboxes that forget idle connections tell so only when one is used. While that
            // happens often, a new connection is opened instead: a handshake costs less than an attempt.
            let gap = now.minus(endpoint.last_used);
            let kept = endpoint.suspect.is_none() && gap < self.settings.connection_idle;
            let reused = endpoint.in_flight == 0 && kept;
            idle = if reused { gap } else { Micros(0) };
            if reused && self.stale_share > STALE_MOST && gap >= self.stale_idle {
                self.stale_share *= STALE_KEEP;
                idle = Micros(0);
                self.actions.push(Action::CloseIdle(id));
            } else if self.stale_share <= STALE_MOST / 2.0 {
                self.stale_idle = Micros(u64::MAX);
            }
            endpoint.in_flight += 1;
            endpoint.last_used = now;
            endpoint.health.called(now, part, &self.settings);
        }
        let lane_id = self.lane_of(id).unwrap_or_default();
        if let Some(lane) = self.lanes.get_mut(&lane_id) {
            lane.health.called(now, capacity, &self.settings);
            lane.rate.add(now, RATE_MEMORY_S, 1.0);
            lane.tokens -= 1.0;
            lane.used_at = now;
        }
        let Message { tenant, destination, .. } = self.messages[&by];
        let expected = self.now_and_later(destination).0.minus(now);
        self.gate.call_started(tenant, expected);
        let call = Call { endpoint: id, lane: lane_id, sent_at: now, overdue_at: now, ..Call::default() };
        Call { idle, tenant, expected, ..call }
    }

    /// This sender's share, in calls a second, of what an endpoint's lane and the endpoint itself take warm.
    fn cold_capacity(&self, id: EndpointId) -> (f64, f64) {
        let Some(lane_id) = self.lane_of(id) else { return (0.0, 0.0) };
        let capacity = self.part(id);
        let routes = if lane_id.1.is_some() { 1 } else { self.listed.get(&lane_id.0).map_or(1, Vec::len) };
        (capacity, capacity / routes as f64)
    }

    /// When an endpoint may get its next call: after a told wait (rule 6), and within the budget of a cold
    /// endpoint and a cold lane (rule 4). The budget is this sender's share
    /// of what the receiver stands after its outage, as if all siblings had seen it too; it counts trials,
    /// probes and refused calls alike. While out, the doubling timer spaces trials besides.
    fn allowed_at(&self, id: EndpointId) -> Micros {
        let (capacity, part) = self.cold_capacity(id);
        let Some(lane) = self.lane_of(id).and_then(|lane| self.lanes.get(&lane)) else { return self.now };
        let now = self.now;
        let here = self.endpoints[&id].health.opens_at(now, part, &self.settings);
        here.max(lane.health.opens_at(now, capacity, &self.settings)).max(lane.wait_until)
    }

    // ---- The guards of the six rules ----

    /// Rule 5: first of its key, and the key is not resting for another.
    fn in_turn(&self, id: MessageId) -> bool {
        let Some(queue) = self.messages[&id].key.and_then(|key| self.keys.get(&key)) else { return true };
        queue.order.front() == Some(&id) && (queue.rest_until <= self.now || queue.rest_for == Some(id))
    }

    /// Until when another attempt may leave, by what those before it may have done (rule 2).
    fn repeats_until(&self, message: &Message) -> Micros {
        match (self.effect(message), message.may_have_run) {
            (_, None) | (Effect::Safe, _) => Micros(u64::MAX),
            (Effect::Unsafe, Some(_)) => Micros(0),
            (Effect::Keyed { window, .. }, Some((sent, ..))) => sent.plus(window),
        }
    }

    /// Whether the message may be sent again at all (rules 1 and 2).
    fn may_repeat(&self, id: MessageId) -> bool {
        let message = &self.messages[&id];
        self.now.plus(TICK) < self.repeats_until(message)
            && !message.closed
            && message.attempts < self.settings.max_attempts
            && message.deadline > self.now
    }

    /// Rules 3, 4 and 6: whether a call may leave for this endpoint.
    fn call_allowed(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let drained = endpoint.told_off.is_some_and(|told| self.now.minus(told) >= self.settings.drain_grace);
        !drained && self.allowed_at(id) <= self.now
    }

    /// Rules 1, 2 and 5: whether this message may ride in a call to this endpoint.
    fn message_allowed(&self, id: MessageId, endpoint_id: EndpointId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        let endpoint = &self.endpoints[&endpoint_id];
        let effect = self.effect(message);
        let in_group = match (effect, message.may_have_run) {
            (Effect::Keyed { scope: KeyScope::Zone, .. }, Some((_, _, zone))) => zone == endpoint.zone,
            (Effect::Keyed { scope: KeyScope::Endpoint, .. }, Some((_, at, _))) => at == endpoint_id,
            _ => true,
        };
        let here = endpoint.destination == message.destination;
        message.out.is_none() && here && in_group && self.may_repeat(id) && self.in_turn(id)
    }

    /// Sends one message in a call just opened; only messages that the rules allow get through.
    fn send(&mut self, id: MessageId, call: &mut Call) -> bool {
        if !self.message_allowed(id, call.endpoint) {
            return false;
        }
        let Some(latency) = self.lanes.get(&call.lane).map(|lane| &lane.latency) else { return false };
        let known = |latency: &Latency| latency.recent.len() >= RECENT / 2;
        let p95 = if known(latency) { latency.p95 } else { latency.p95.max(self.overall.p95) };
        // A few quick answers do not tell yet how long others take.
        let least = if known(&self.overall) { TICK } else { T1_START };
        let usual = (p95 > 0.0).then_some(Micros((p95 * PATIENCE) as u64).max(least));
        let leaves_by = self.repeats_until(&self.messages[&id]);
        let Some(message) = self.messages.get_mut(&id) else { return false };
        let left = message.deadline.minus(self.now);
        // Giving up an attempt pays only where another may follow, and before the aim it hardly ever does. An
        // unsafe one waits to the end of its time, unless its slot is wanted (see `reclaim`).
        let class = &self.settings.classes[message.class];
        let patience = usual.map_or(left, |usual| usual.max(class.target_time).min(left));
        let unsafe_class = class.effect == Effect::Unsafe;
        let timeout = if unsafe_class && self.settings.can_cancel { left } else { patience };
        // Where it is not known yet how long calls take, one that outlasts its target time may hang.
        let overdue = if unsafe_class { patience } else { usual.unwrap_or(class.target_time).min(left) };
        let overdue_at = self.now.plus(overdue);
        call.first |= message.tries == 0;
        call.left += 1;
        call.overdue_at = call.overdue_at.max(overdue_at);
        message.out = Some(Flight { attempt: message.attempts, call: self.next_call, sent_at: self.now });
        message.attempts += 1;
        message.tries += 1;
        call.carries.push(id);
        self.waiting.remove(id);
        self.actions.push(Action::Send { id, endpoint: call.endpoint, timeout, leaves_by });
        true
    }

    // ---- Final answers ----

    /// The one place where a message is ended by this sender (rules 1 and 2): refused, with advice when to
    /// come back, where another try does no harm, else failed.
    fn answer(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|message| !message.closed) else { return };
        let harmless = match self.effect(message) {
            Effect::Safe | Effect::Keyed { scope: KeyScope::All, .. } => true,
            _ => message.may_have_run.is_none() && message.out.is_none(),
        };
        if harmless {
            let retry_after = self.advice(message.destination);
            self.actions.push(Action::Reject { id, retry_after });
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.close(id);
    }

    /// When a refused message would best come again: when the destination's wait or pause is over.
    fn advice(&self, destination: DestinationId) -> Micros {
        let routes = self.listed.get(&destination).map_or(&[][..], |routes| routes);
        let until = routes.iter().map(|&route| self.allowed_at(route)).min();
        let wait = until.map_or(UNKNOWN_HOLD, |until| until.minus(self.now));
        wait.max(TICK).min(self.settings.max_retry_after)
    }

    /// Forgets a message that has ended, once nothing of it is out.
    fn close(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.closed = true;
        if message.out.is_some() {
            return;
        }
        let key = message.key;
        self.waiting.remove(id);
        self.messages.remove(&id);
        if let Some(queue) = key.and_then(|key| self.keys.get_mut(&key)) {
            queue.order.retain(|&other| other != id);
        }
    }

    fn answer_overdue(&mut self) {
        for id in self.waiting.due_for_outcome(self.now) {
            let Some(message) = self.messages.get(&id) else { continue };
            let known = self.listed.contains_key(&message.destination);
            let over = message.deadline <= self.now.plus(TICK)
                || !self.may_repeat(id)
                || !known && self.now.minus(message.taken) >= UNKNOWN_HOLD;
            if over {
                self.answer(id);
            } else {
                self.hold(id);
            }
        }
    }

    /// Admission control: where places run short, messages submitted in this iteration are rejected, those of
    /// least worth first. What was accepted earlier is owed an attempt, and keeps its place.
    fn reject_over_capacity(&mut self) {
        let submitted = std::mem::take(&mut self.submitted);
        let places = f64::from(self.settings.max_messages);
        if submitted.is_empty() || self.messages.len() as f64 <= places * OPEN_PLACES {
            return;
        }
        let greatest = self.settings.classes.iter().map(|class| class.worth).fold(0.0, f64::max);
        let mut held_by_tenant = vec![0; self.settings.tenants.len()];
        for message in self.messages.values() {
            held_by_tenant.get_mut(message.tenant).into_iter().for_each(|held| *held += 1);
        }
        let waits = |id: &MessageId| self.messages.get(id).is_some_and(|m| m.out.is_none() && !m.closed);
        let waiting: Vec<MessageId> = submitted.into_iter().filter(waits).collect();
        let mut candidates: Vec<(f64, MessageId)> =
            waiting.into_iter().map(|id| (self.worth_when_open(id, &held_by_tenant), id)).collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        while let Some((worth, id)) = candidates.pop() {
            let usable = OPEN_PLACES + (1.0 - OPEN_PLACES) * (worth / greatest).min(1.0);
            if self.messages.len() as f64 <= places * usable {
                return;
            }
            self.answer(id);
        }
    }

    /// Worth of a submitted message at the time when its destination may take it.
    fn worth_when_open(&mut self, id: MessageId, held_by_tenant: &[usize]) -> f64 {
        let at = self.opening(self.messages[&id].destination).unwrap_or(self.now);
        let message = &self.messages[&id];
        let worth = if at < message.deadline { self.worth(message, at) } else { 0.0 };
        worth * self.tenant_factor(message.tenant, held_by_tenant)
    }
}
