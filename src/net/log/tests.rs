use super::*;

#[test]
fn limiter_admits_ten_lines_per_second_and_counts_the_dropped_ones() {
    let limiter = LineLimiter::new();
    let admitted = (0..25).filter(|_| limiter.admit(7).is_some()).count();
    assert_eq!(admitted, 10);
    assert_eq!(limiter.admit(8), Some(15));
    assert_eq!(limiter.admit(8), Some(0));
}
