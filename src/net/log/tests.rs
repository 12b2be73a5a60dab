use super::*;

#[test]
fn a_place_writes_ten_lines_a_second_and_counts_the_rest() {
    let limiter = LineLimiter::new();
    let admitted = (0..25).filter(|_| limiter.admit(7).is_some()).count();
    assert_eq!(admitted, 10);
    assert_eq!(limiter.admit(8), Some(15));
    assert_eq!(limiter.admit(8), Some(0));
}
