use super::*;

#[test]
fn later_state_wins_at_equal_incarnation_and_higher_incarnation_wins_except_over_left() {
    use State::*;
    let belief = |incarnation, state| Belief { incarnation, state };
    let order = [Alive, Suspect, Dead, Left];
    for (a, recorded) in order.into_iter().enumerate() {
        for (b, reported) in order.into_iter().enumerate() {
            assert_eq!(
                supersedes(belief(1, recorded), belief(1, reported)),
                b > a,
                "{recorded:?} {reported:?}"
            );
            assert_eq!(supersedes(belief(1, recorded), belief(2, reported)), recorded != Left);
            assert!(!supersedes(belief(2, recorded), belief(1, reported)), "{recorded:?} {reported:?}");
        }
    }
}

#[test]
fn only_accusations_at_the_own_incarnation_or_above_are_refuted() {
    let reported = |incarnation, state| Belief { incarnation, state };
    assert_eq!(refuting_incarnation(3, reported(3, State::Suspect)), Some(4));
    assert_eq!(refuting_incarnation(3, reported(7, State::Dead)), Some(8));
    assert_eq!(
        refuting_incarnation(3, reported(4, State::Alive)),
        Some(5),
        "an alive update that the member did not send"
    );
    for stale in [reported(2, State::Dead), reported(3, State::Alive)] {
        assert_eq!(refuting_incarnation(3, stale), None);
    }
}
