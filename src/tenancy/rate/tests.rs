use super::*;
use proptest::prelude::*;

#[test]
fn burst_is_admitted_then_the_returned_wait_suffices_for_the_next() {
    let mut arrivals = ArrivalLimiter::default();
    arrivals.configure(vec![Some(Rate { per_second: 10.0, burst: 3 }), None]);
    let now = Micros(5_000_000);
    let admitted = (0..9).filter(|_| arrivals.admit(0, now).is_ok()).count();
    assert_eq!(admitted, 3);
    let wait = arrivals.admit(0, now).unwrap_err();
    assert_eq!(wait, Micros(100_000));
    assert!(arrivals.admit(0, now.plus(Micros(99_990))).is_err());
    assert_eq!(arrivals.admit(0, now.plus(wait)), Ok(()));
    assert!((0..1000).all(|_| arrivals.admit(1, now).is_ok()));
}

proptest! {
    /// Over any time span, no more than the burst plus the rate is admitted, and an arrival after the
    /// returned wait is never rejected.
    #[test]
    fn admissions_never_exceed_the_burst_and_the_rate(per_second in 0.5f64..500.0, burst in 1u32..20, gaps in proptest::collection::vec(0u64..400_000, 1..300)) {
        let mut arrivals = ArrivalLimiter::default();
        arrivals.configure(vec![Some(Rate { per_second, burst })]);
        let (mut now, mut admitted) = (Micros(0), Vec::new());
        for gap in gaps {
            now = now.plus(Micros(gap));
            match arrivals.admit(0, now) {
                Ok(()) => admitted.push(now),
                Err(wait) => {
                    prop_assert!(arrivals.clone().admit(0, now.plus(wait)).is_ok());
                }
            }
            let within = |since: Micros| admitted.iter().filter(|at| **at >= since).count() as f64;
            for &since in &admitted {
                let span = now.minus(since).0 as f64 / 1e6;
                prop_assert!(within(since) <= f64::from(burst) + span * per_second + 1e-6);
            }
        }
    }
}
