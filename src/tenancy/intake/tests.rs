use super::super::rate::Rate;
use super::*;

#[test]
fn an_offer_that_finds_no_room_does_not_count_as_an_arrival() {
    let mut intake = AdmissionControl::default();
    let one = Isolation { arrivals: Some(Rate { per_second: 1.0, burst: 2 }), ..Isolation::default() };
    intake.configure((1, 1_000), &[one]);
    let now = Micros(0);
    assert_eq!(intake.admit(0, 2_000, true, now), Err(AdmissionError::NoCapacity(ShareError::Exhausted)));
    assert_eq!(intake.admit(0, 10, true, now), Ok(()));
    intake.add_message(0);
    assert_eq!(intake.admit(0, 10, true, now), Err(AdmissionError::NoCapacity(ShareError::Exhausted)));
    intake.remove_message(0);
    assert_eq!(intake.admit(0, 10, true, now), Ok(()));
    assert_eq!(intake.admit(0, 10, true, now), Err(AdmissionError::RateExceeded(Micros(1_000_000))));
}

#[test]
fn what_is_given_back_is_the_owners_before_it_is_lent_again() {
    let mut intake = AdmissionControl::default();
    intake.configure((40, 1_000_000), &[Isolation::default(); 2]);
    let mut now = Micros(0);
    while intake.admit(0, 10, true, now).is_ok() {
        intake.add_message(0);
    }
    for _ in 0..5 {
        intake.admit(1, 10, true, now).unwrap();
        intake.add_message(1);
    }
    // All is out; the owner is refused, and has what the borrower gives back, which may borrow again later.
    assert!(intake.admit(1, 10, true, now).is_err());
    now = now.plus(Micros(1_000_000));
    (0..2).for_each(|_| intake.remove_message(0));
    assert_eq!(intake.admit(0, 10, true, now), Err(AdmissionError::NoCapacity(ShareError::Reserved)));
    assert_eq!(intake.admit(1, 10, true, now), Ok(()));
    intake.add_message(1);
    now = now.plus(Micros(1_000_001));
    assert_eq!(intake.admit(0, 10, true, now), Ok(()));
}
