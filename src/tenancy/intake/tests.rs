use super::super::rate::Rate;
use super::*;

#[test]
fn submission_without_capacity_does_not_count_as_an_arrival() {
    let mut admission = AdmissionControl::default();
    let limited = Isolation { arrivals: Some(Rate { per_second: 1.0, burst: 2 }), ..Isolation::default() };
    admission.configure((1, 1_000), &[limited]);
    let now = Micros(0);
    assert_eq!(admission.admit(0, 2_000, true, now), Err(AdmissionError::NoCapacity(ShareError::Exhausted)));
    assert_eq!(admission.admit(0, 10, true, now), Ok(()));
    admission.add_message(0);
    assert_eq!(admission.admit(0, 10, true, now), Err(AdmissionError::NoCapacity(ShareError::Exhausted)));
    admission.remove_message(0);
    assert_eq!(admission.admit(0, 10, true, now), Ok(()));
    assert_eq!(admission.admit(0, 10, true, now), Err(AdmissionError::RateExceeded(Micros(1_000_000))));
}

#[test]
fn released_capacity_goes_to_its_owner_before_it_is_lent_again() {
    let mut admission = AdmissionControl::default();
    admission.configure((40, 1_000_000), &[Isolation::default(); 2]);
    let mut now = Micros(0);
    while admission.admit(0, 10, true, now).is_ok() {
        admission.add_message(0);
    }
    for _ in 0..5 {
        admission.admit(1, 10, true, now).unwrap();
        admission.add_message(1);
    }
    // The resource is used up. The owner is rejected, gets what the borrower releases, and the borrower may
    // borrow again later.
    assert!(admission.admit(1, 10, true, now).is_err());
    now = now.plus(Micros(1_000_000));
    (0..2).for_each(|_| admission.remove_message(0));
    assert_eq!(admission.admit(0, 10, true, now), Err(AdmissionError::NoCapacity(ShareError::Reserved)));
    assert_eq!(admission.admit(1, 10, true, now), Ok(()));
    admission.add_message(1);
    now = now.plus(Micros(1_000_001));
    assert_eq!(admission.admit(0, 10, true, now), Ok(()));
}
