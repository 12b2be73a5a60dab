use super::*;

/// Calls of a fleet in each 100 ms of the 10 s after all its calls failed at the same moment, if all retries
/// fail too.
fn calls(forwarders: u32) -> Vec<usize> {
    let mut calls = vec![0; 100];
    for seed in 0..u64::from(forwarders) {
        let mut spread = CallSpread::new(forwarders, seed);
        let mut at = 0;
        while at < 10_000_000 {
            at += spread.failure_backoff().0;
            calls.get_mut((at / 100_000) as usize).into_iter().for_each(|count| *count += 1);
        }
    }
    calls
}

#[test]
fn fleet_failing_together_retries_at_spread_times() {
    let calls = calls(100);
    assert!(calls.iter().all(|&count| count <= 30), "{calls:?}");
    let late: usize = calls[50..].iter().sum();
    assert!(late <= 100 * 5, "at most one call per second and forwarder: {late}");
}

/// Simulates a discovery with a token bucket of 20 calls, refilled at `fills` per second. Rejected calls use
/// up tokens too, as rate limits of this environment do; a watch that continues costs nothing. Returns when
/// each forwarder gets its answer, in seconds.
fn answer_times(forwarders: u32, fills: f64, backoff: fn(&mut CallSpread) -> Micros) -> Vec<u64> {
    let mut spreads: Vec<CallSpread> =
        (0..forwarders).map(|seed| CallSpread::new(forwarders, seed.into())).collect();
    let mut due: std::collections::BTreeSet<(u64, usize)> =
        (0..spreads.len()).map(|index| (index as u64 * 1_000, index)).collect();
    let (mut tokens, mut at, mut times) = (0.0f64, 0, Vec::new());
    while let Some((now, index)) = due.pop_first().filter(|&(now, _)| now < 120_000_000) {
        tokens = (tokens + (now - at) as f64 / 1e6 * fills).min(20.0) - 1.0;
        at = now;
        if tokens >= 0.0 {
            times.push(now / 1_000_000);
        } else {
            tokens = tokens.max(-4.0);
            due.insert((now + backoff(&mut spreads[index]).0, index));
        }
    }
    times
}

#[test]
fn rejected_calls_do_not_keep_an_overloaded_discovery_overloaded() {
    // A change must be known 6 s after discovery was reachable, so each forwarder retries more often than
    // that. A discovery that can serve the whole fleet once in 3 s recovers from these retries, but not from
    // retries as frequent as after other failures.
    for (forwarders, fills) in [(20, 5.0), (48, 16.0), (100, 33.0), (300, 100.0)] {
        let (rejection_times, failure_times) = (
            answer_times(forwarders, fills, CallSpread::rejection_backoff),
            answer_times(forwarders, fills, CallSpread::failure_backoff),
        );
        assert_eq!(
            rejection_times.len(),
            forwarders as usize,
            "all {forwarders} forwarders get an answer: {rejection_times:?}"
        );
        assert!(rejection_times.last() <= Some(&90), "{forwarders}: {rejection_times:?}");
        let longer = failure_times.len() < rejection_times.len()
            || failure_times.last() > rejection_times.last().map(|last| last * 2).as_ref();
        assert!(
            forwarders < 48 || longer,
            "the backoff after other failures keeps discovery overloaded for longer: {rejection_times:?} {failure_times:?}"
        );
    }
    let mut small_fleet = CallSpread::new(2, 7);
    assert!(
        (0..40).all(|_| small_fleet.rejection_backoff() <= Micros(MAX_BACKOFF)),
        "a fleet of two keeps the short backoff"
    );
}

#[test]
fn single_forwarder_calls_at_once_and_retries_within_a_second() {
    let mut spread = CallSpread::new(1, 7);
    assert_eq!((spread.start_delay(), spread.next_call_delay()), (Micros(0), Micros(0)));
    for _ in 0..40 {
        assert!(spread.failure_backoff() <= Micros(MAX_BACKOFF));
    }
    spread.next_call_delay();
    assert!(spread.failure_backoff() <= Micros(FIRST_BACKOFF), "an answer resets the failure count");
}

#[test]
fn delays_stay_below_their_bounds_for_any_fleet_size() {
    let mut spread = CallSpread::new(u32::MAX, 7);
    assert!((0..1_000).all(|_| spread.next_call_delay() <= Micros(MAX_NEXT_CALL_DELAY)));
    assert!((0..1_000).all(|_| spread.start_delay() <= Micros(MAX_START_DELAY)));
    assert!((0..1_000).all(|_| spread.failure_backoff() <= Micros(MAX_FLEET_BACKOFF)));
}
