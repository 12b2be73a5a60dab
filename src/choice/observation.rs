//! What ended calls and reports of limits tell of a route and an endpoint: their latency, send rate and
//! limit, their circuits, and whether a connection was at fault. Interface: `src/interface.rs`; state:
//! `src/state.rs`.

use super::*;

impl Dispatcher {
    /// Records what an ended call says of an outage of its route, whatever else may explain it.
    fn record_for_slow_start(&mut self, call: &Call, outcome: AttemptOutcome) {
        let now = self.now;
        let random = self.random.f64();
        let share = self.rate_shares(call.endpoint).0;
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        if outcome != AttemptOutcome::NotSent {
            route.slow_start.count_call(outcome == AttemptOutcome::Error);
        }
        match outcome {
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Delivered => {
                if route.slow_start.record_success(now, call.sent_at, &self.settings) {
                    let (destination, id) = (call.route.0 .0, call.endpoint.0);
                    let line = format!("slow start: destination {destination} endpoint {id:x}");
                    self.actions.push(Action::Log(line));
                }
            }
            AttemptOutcome::Rejected { .. } if !route.rejection_is_unexplained(now) => {}
            AttemptOutcome::ConnectionLimitReached if !route.slow_start.record_connection_rejection() => {}
            _ => {
                route.slow_start.record_failure(now, share, &self.settings, random);
                if outcome == AttemptOutcome::Error {
                    route.slow_start.record_error(now, &self.settings);
                }
            }
        }
    }

    /// Updates the route and the endpoint of an ended call. The messages that shared the call count once.
    pub(super) fn learn_from_call(&mut self, call: &Call, outcome: AttemptOutcome, spent: Micros) {
        let id = call.endpoint;
        self.record_for_slow_start(call, outcome);
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        endpoint.in_flight -= 1;
        endpoint.last_used = self.now;
        self.endpoints_of_ended_calls.insert(id);
        if self.route_of(id) != Some(call.route) {
            // The list has given the id to another endpoint since.
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        // A malformed answer shows that the receiver is there; a network that corrupts answers corrupts those
        // of all receivers alike. So a few of them say nothing of its health, but a receiver that sends
        // nothing else fails.
        endpoint.malformed_in_a_row =
            if outcome == AttemptOutcome::MalformedAnswer { endpoint.malformed_in_a_row + 1 } else { 0 };
        if outcome == AttemptOutcome::NotSent || (1..MALFORMED_TO_FAIL).contains(&endpoint.malformed_in_a_row)
        {
            return;
        }
        let connect_failed =
            matches!(outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLimitReached);
        if let (true, Some(failed)) = (connect_failed, self.failed_connects.get_mut(endpoint.kind)) {
            failed.add(self.now, FAILED_CONNECTS_TIME_CONSTANT_S, 1.0);
        }
        if outcome == AttemptOutcome::ConnectionLimitReached {
            // The endpoint is there, and its limit was not consulted: it is out of connections, not of calls.
            if let Some(route) = self.routes.get_mut(&call.route) {
                route.count_attempt(self.now, call.has_first_attempt, true);
            }
            return;
        }
        if self.is_connection_fault(call, outcome) {
            return;
        }
        // A call that was sent with less time than calls to this route take says nothing when it times out.
        let mean_latency =
            self.routes.get(&call.route).and_then(|route| route.latency.mean).unwrap_or_default();
        if outcome == AttemptOutcome::TimedOut && (spent.0 as f64) < mean_latency {
            return;
        }
        let share = self.rate_share(id);
        let now = self.now;
        let max_rate = self.max_rate(id);
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        route.rate_allows_at(now, max_rate);
        let answered = matches!(
            outcome,
            AttemptOutcome::Delivered
                | AttemptOutcome::Error
                | AttemptOutcome::Reset
                | AttemptOutcome::MalformedAnswer
        );
        route.count_attempt(now, call.has_first_attempt, !answered);
        let low_share = share * seconds(self.settings.overload_window) < LOW_SHARE_CALLS;
        if route.rejections_in_a_row > 0
            && matches!(outcome, AttemptOutcome::Delivered | AttemptOutcome::Rejected { .. })
        {
            let rejected_again = f64::from(u8::from(outcome != AttemptOutcome::Delivered));
            self.repeated_rejection_share += EWMA_GAIN * (rejected_again - self.repeated_rejection_share);
        }
        match outcome {
            AttemptOutcome::Delivered => {
                route.latency.add(spent, EWMA_GAIN, P95_WINDOW_CALLS);
                self.overall_latency.add(spent, EWMA_GAIN, P95_WINDOW_CALLS);
                let headroom =
                    ((route.reported_unused - LOW_UNUSED_SHARE) / (1.0 - LOW_UNUSED_SHARE)).max(0.0);
                let growth = if route.reported_limit > 0.0 {
                    REPORTED_LIMIT_GROWTH_PER_CALL * headroom
                } else {
                    RATE_GROWTH_PER_CALL
                };
                route.send_rate += growth * route.send_rate.max(share);
                route.rejections_in_a_row = 0;
                endpoint.failures_in_a_row = 0;
                endpoint.successes_in_a_row += 1;
                let destination = call.route.0 .0;
                for (health, name) in [(&mut endpoint.health, "endpoint"), (&mut route.health, "destination")]
                {
                    if health.record_success(now, self.settings.recovery_time) {
                        // The simulator records this text: it stays letter for letter.
                        let line = format!("{name} returning: destination {destination} endpoint {:x}", id.0);
                        self.actions.push(Action::Log(line));
                        let (id, state) = (id.0, health.circuit.name());
                        let line =
                            format!("{name} {state}: destination {destination} endpoint {id:x}: served");
                        self.actions.push(Action::Log(line));
                    }
                }
            }
            AttemptOutcome::Rejected { retry_after } => {
                route.rejections_in_a_row += u32::from(route.rejection_is_unexplained(now));
                // One cut for all rejections of calls that were sent before it: they report the same moment.
                if call.sent_at >= route.rate_cut_at {
                    let sent_rate =
                        route.calls_sent.value_at(now, SENT_TIME_CONSTANT_S) / SENT_TIME_CONSTANT_S;
                    let repeated =
                        if route.rejections_in_a_row > 1 { 1.0 } else { self.repeated_rejection_share };
                    let persistence = f64::from(u8::from(low_share)) * repeated;
                    let cut_factor =
                        RATE_CUT_FACTOR - persistence * (RATE_CUT_FACTOR - RATE_CUT_FACTOR_LOW_SHARE);
                    // The forwarders' even shares add up to a reported limit, so the rate stays at the share,
                    // and random backoffs lower the sum of the rates.
                    let (floor, backoff_calls) = if route.reported_limit > 0.0 {
                        (1.0, MAX_REJECTION_BACKOFF_CALLS)
                    } else {
                        (RATE_FLOOR_PER_SHARE, 0.0)
                    };
                    route.send_rate = (route.send_rate.min(sent_rate) * cut_factor).max(floor * share);
                    let tokens = backoff_calls.min(1.0) - self.random.f64() * backoff_calls;
                    route.tokens = route.tokens.min(tokens);
                    route.filled_at = now;
                    route.rate_cut_at = now;
                }
                if route.rejections_in_a_row >= REJECTIONS_TO_OPEN
                    || retry_after.is_some_and(|retry_after| retry_after > RETRY_AFTER_TO_OPEN)
                {
                    route.health.refusing = true;
                    route.slow_start.record_refusal();
                    self.open_route_circuit(call.route, "shut");
                }
            }
            _ => {
                endpoint.successes_in_a_row = 0;
                endpoint.failures_in_a_row += 1;
                endpoint.health.refusing |= outcome == AttemptOutcome::Error;
                route.health.refusing |= outcome == AttemptOutcome::Error;
                // A forwarder that seldom calls a destination, or is one of many, cannot wait for a second
                // failure: each of the other forwarders sees one failure, too.
                let one_is_enough = low_share
                    || self.forwarders.count > LARGE_FLEET_FORWARDERS && outcome != AttemptOutcome::Error;
                let broken = matches!(outcome, AttemptOutcome::Reset | AttemptOutcome::ConnectFailed);
                let failures_to_open = match (one_is_enough, broken) {
                    (true, _) => 1,
                    (_, true) => BROKEN_CONNECTIONS_TO_OPEN,
                    _ => FAILURES_TO_OPEN,
                };
                if endpoint.failures_in_a_row >= failures_to_open {
                    if endpoint.health.circuit != CircuitState::Open {
                        endpoint.health.open_circuit(now, self.random.f64());
                        let destination = call.route.0 .0;
                        // The simulator records this text: it stays letter for letter.
                        let line = format!("endpoint out: destination {destination} endpoint {:x}", id.0);
                        self.actions.push(Action::Log(line));
                    }
                    // Most outages affect all endpoints of a destination, and each forwarder would try each
                    // endpoint once. So the first call without an answer opens the circuit of the route where
                    // one failure is enough, unless a call was served meanwhile. An endpoint that refuses a
                    // connection at once may only have a full connection table.
                    let unanswered = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
                    let usual_latency = self.overall_latency.mean.unwrap_or(INITIAL_T1.0 as f64);
                    let slow = spent.0 as f64 >= usual_latency;
                    let no_answer = unanswered || outcome == AttemptOutcome::ConnectFailed && slow;
                    let silent = one_is_enough && no_answer && route.health.served_at <= call.sent_at;
                    let listed = self.listed.get(&call.route.0).map_or(&[][..], |endpoints| endpoints);
                    let mut of_route = listed.iter().filter(|&&id| self.route_of(id) == Some(call.route));
                    let is_open = |id| self.endpoints[id].health.circuit == CircuitState::Open;
                    if silent || of_route.all(is_open) {
                        self.open_route_circuit(call.route, "failing");
                    }
                }
            }
        }
    }

    /// Applies a report of the limit that a route has for all forwarders together. The send rate changes with
    /// the limit. While little of the limit is unused, it is this forwarder's even share at most, also before
    /// the first rejection.
    pub(super) fn apply_limit_report(&mut self, id: EndpointId, report: Report) {
        let Some(route) = self.route_of(id).and_then(|route| self.routes.get_mut(&route)) else { return };
        let before = if route.reported_limit > 0.0 { route.reported_limit } else { report.limit };
        route.reported_limit = before + REPORTED_LIMIT_GAIN * (report.limit - before);
        route.reported_unused = report.left;
        route.limit_reported_at = self.now;
        let even_share = route.reported_limit / self.forwarders.count;
        let max_rate = if report.left < LOW_UNUSED_SHARE { even_share } else { f64::INFINITY };
        route.send_rate = (route.send_rate * (route.reported_limit / before)).min(max_rate);
    }

    /// Whether the outcome of a call is the fault of its connection rather than of the endpoint. Receivers
    /// and middleboxes may drop idle connections, with a reset or silently. A failure on a connection that
    /// had been idle raises a suspicion, which the next call there, on a new connection, resolves: if it is
    /// served, the connection was at fault; if it fails, the endpoint is. Once stale connections are
    /// frequent, all endpoints under suspicion are cleared.
    fn is_connection_fault(&mut self, call: &Call, outcome: AttemptOutcome) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return false };
        let served = outcome == AttemptOutcome::Delivered;
        let unanswered =
            matches!(outcome, AttemptOutcome::Reset | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled);
        let share_before = self.stale_connection_share;
        if call.connection_idle == Micros(0) {
            if let Some(idle) = endpoint.failed_after_idle.take().filter(|_| served) {
                self.stale_connection_share += STALE_SHARE_GAIN * (1.0 - self.stale_connection_share);
                self.shortest_stale_idle = self.shortest_stale_idle.min(idle);
                self.clear_failures(call.endpoint);
            }
        } else if served {
            self.stale_connection_share -= STALE_SHARE_GAIN * self.stale_connection_share;
        } else if unanswered && endpoint.failed_after_idle.is_none() {
            endpoint.failed_after_idle = Some(call.connection_idle);
            self.actions.push(Action::CloseIdle(call.endpoint));
            if outcome == AttemptOutcome::Reset {
                self.stale_connection_share += STALE_SHARE_GAIN * (1.0 - self.stale_connection_share);
                self.shortest_stale_idle = self.shortest_stale_idle.min(call.connection_idle);
            }
            return outcome == AttemptOutcome::Reset || share_before > STALE_SHARE_THRESHOLD;
        }
        if share_before <= STALE_SHARE_THRESHOLD && self.stale_connection_share > STALE_SHARE_THRESHOLD {
            let suspects = self.endpoints.iter().filter(|(_, e)| e.failed_after_idle.is_some());
            for id in suspects.map(|(&id, _)| id).collect::<Vec<_>>() {
                self.clear_failures(id);
            }
        }
        false
    }

    /// Closes the circuits of an endpoint and its route after a failure that was the fault of a connection.
    fn clear_failures(&mut self, id: EndpointId) {
        let route = self.route_of(id).and_then(|route| self.routes.get_mut(&route));
        if let (Some(endpoint), Some(route)) = (self.endpoints.get_mut(&id), route) {
            for (health, name) in [(&mut endpoint.health, "endpoint"), (&mut route.health, "destination")] {
                if std::mem::take(&mut health.circuit) != CircuitState::Closed {
                    let (destination, id) = (endpoint.destination.0, id.0);
                    let reason = "its connection had been idle for too long";
                    let line = format!("{name} closed: destination {destination} endpoint {id:x}: {reason}");
                    self.actions.push(Action::Log(line));
                }
            }
            endpoint.failures_in_a_row = 0;
            self.waiting.mark_changed(endpoint.destination);
        }
    }
}
