use super::*;

fn counts(accepted: u64, rejected: u64) -> ServiceCounts {
    ServiceCounts { accepted, rejected, listener_failures: 0 }
}

#[test]
fn rejected_share_counts_from_the_start_of_the_trial_and_needs_twenty_submissions() {
    let bounds = Bounds { turn_downs: Some(0.5), turn_ms: None };
    let mut probation = Probation::new(bounds, counts(0, 1000));
    assert_eq!(probation.violation(counts(0, 1019), Micros(0)), None);
    assert!(probation.violation(counts(0, 1020), Micros(0)).is_some());
    assert_eq!(probation.violation(counts(20, 1020), Micros(0)), None);
}

#[test]
fn five_slow_iterations_or_one_listener_failure_end_the_trial() {
    let bounds = Bounds { turn_downs: None, turn_ms: Some(5.0) };
    let mut probation = Probation::new(bounds, ServiceCounts::default());
    let verdicts = (0..5).map(|_| probation.violation(ServiceCounts::default(), Micros(6_000)).is_some());
    assert_eq!(verdicts.collect::<Vec<_>>(), [false, false, false, false, true]);
    let mut probation = Probation::new(Bounds::default(), ServiceCounts::default());
    let failed = ServiceCounts { listener_failures: 1, ..ServiceCounts::default() };
    assert!(probation.violation(failed, Micros(0)).is_some());
}
