use super::*;

#[test]
fn connections_and_calls_above_the_limits_are_rejected() {
    let mut endpoint = Endpoint::new(10.0, 3);
    let outcomes: Vec<AttemptOutcome> =
        (0..4).map(|forwarder| endpoint.call(Micros(0), forwarder, true).outcome).collect();
    assert_eq!(outcomes[..3], [AttemptOutcome::Delivered; 3]);
    assert_eq!(
        (outcomes[3], endpoint.connections_rejected, endpoint.peak_open),
        (AttemptOutcome::ConnectionLimitReached, 1, 3)
    );
    assert_eq!(endpoint.call(Micros(0), 0, false).outcome, AttemptOutcome::Delivered);
    assert_eq!(endpoint.call(Micros(0), 0, false).outcome, AttemptOutcome::Delivered);
    let rejected = endpoint.call(Micros(0), 0, false);
    assert_eq!(
        (rejected.outcome, rejected.ran, endpoint.calls_rejected),
        (AttemptOutcome::Rejected { retry_after: None }, false, 1)
    );
    endpoint.close_all(2);
    assert!(endpoint.call(Micros(2_000_000), 9, true).ran, "the table has room again");
    endpoint.close(9, 5);
    assert_eq!(endpoint.open, 2);
}
