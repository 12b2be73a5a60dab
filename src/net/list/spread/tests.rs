use super::*;

/// Calls of a fleet in each 100 ms of the ten seconds after all were turned away in one moment, and always again.
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
fn a_fleet_that_is_turned_away_together_does_not_come_back_together() {
    let calls = calls(100);
    assert!(calls.iter().all(|&count| count <= 30), "{calls:?}");
    let late: usize = calls[50..].iter().sum();
    assert!(late <= 100 * 5, "once every second each at the most: {late}");
}

/// A discovery with a bucket of 20 calls that fills at so many a second; calls that it turns away use it up as well, as limits of
/// this place do, and a watch that goes on costs nothing. Tells when each of the fleet has an answer, in seconds.
fn answered(forwarders: u32, fills: f64, pause: fn(&mut CallSpread) -> Micros) -> Vec<u64> {
    let mut spreads: Vec<CallSpread> =
        (0..forwarders).map(|seed| CallSpread::new(forwarders, seed.into())).collect();
    let mut due: std::collections::BTreeSet<(u64, usize)> =
        (0..spreads.len()).map(|one| (one as u64 * 1_000, one)).collect();
    let (mut tokens, mut at, mut times) = (0.0f64, 0, Vec::new());
    while let Some((now, one)) = due.pop_first().filter(|&(now, _)| now < 120_000_000) {
        tokens = (tokens + (now - at) as f64 / 1e6 * fills).min(20.0) - 1.0;
        at = now;
        if tokens >= 0.0 {
            times.push(now / 1_000_000);
        } else {
            tokens = tokens.max(-4.0);
            due.insert((now + pause(&mut spreads[one]).0, one));
        }
    }
    times
}

#[test]
fn calls_that_are_turned_away_do_not_keep_an_overbooked_discovery_shut() {
    // A change counts as told 6 s after discovery could be reached, so each asks more often than that: a discovery that
    // serves all of a fleet once in 3 s is not kept shut by it, though calls that come as often as after other failures keep it so.
    for (forwarders, fills) in [(20, 5.0), (48, 16.0), (100, 33.0), (300, 100.0)] {
        let (waits, asks) = (
            answered(forwarders, fills, CallSpread::rejection_backoff),
            answered(forwarders, fills, CallSpread::failure_backoff),
        );
        assert_eq!(waits.len(), forwarders as usize, "all of {forwarders} have their answer: {waits:?}");
        assert!(waits.last() <= Some(&90), "{forwarders}: {waits:?}");
        let longer = asks.len() < waits.len() || asks.last() > waits.last().map(|last| last * 2).as_ref();
        assert!(
            forwarders < 48 || longer,
            "asked as after other failures it is shut for longer: {waits:?} {asks:?}"
        );
    }
    let mut few = CallSpread::new(2, 7);
    assert!((0..40).all(|_| few.rejection_backoff() <= Micros(MAX_BACKOFF)), "two ask as before");
}

#[test]
fn one_alone_asks_soon_and_is_back_within_a_second() {
    let mut spread = CallSpread::new(1, 7);
    assert_eq!((spread.start_delay(), spread.next_call_delay()), (Micros(0), Micros(0)));
    for _ in 0..40 {
        assert!(spread.failure_backoff() <= Micros(MAX_BACKOFF));
    }
    spread.next_call_delay();
    assert!(spread.failure_backoff() <= Micros(FIRST_BACKOFF), "an answer ends the row of failures");
}

#[test]
fn a_watch_goes_on_in_time_however_many_there_are() {
    let mut spread = CallSpread::new(u32::MAX, 7);
    assert!((0..1_000).all(|_| spread.next_call_delay() <= Micros(MAX_NEXT_CALL_DELAY)));
    assert!((0..1_000).all(|_| spread.start_delay() <= Micros(MAX_START_DELAY)));
    assert!((0..1_000).all(|_| spread.failure_backoff() <= Micros(MAX_FLEET_BACKOFF)));
}
