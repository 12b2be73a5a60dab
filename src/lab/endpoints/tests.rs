use super::*;

#[test]
fn the_table_and_the_limit_turn_away_what_is_above_them() {
    let mut one = Endpoint::new(10.0, 3);
    let outcomes: Vec<AttemptOutcome> = (0..4).map(|by| one.call(Micros(0), by, true).outcome).collect();
    assert_eq!(outcomes[..3], [AttemptOutcome::Delivered; 3]);
    assert_eq!((outcomes[3], one.turned_away, one.most_open), (AttemptOutcome::ConnectionLimitReached, 1, 3));
    assert_eq!(one.call(Micros(0), 0, false).outcome, AttemptOutcome::Delivered);
    assert_eq!(one.call(Micros(0), 0, false).outcome, AttemptOutcome::Delivered);
    let full = one.call(Micros(0), 0, false);
    assert_eq!(
        (full.outcome, full.ran, one.refused),
        (AttemptOutcome::Rejected { retry_after: None }, false, 1)
    );
    one.gone(2);
    assert!(one.call(Micros(2_000_000), 9, true).ran, "there is room again");
    one.close(9, 5);
    assert_eq!(one.open, 2);
}
