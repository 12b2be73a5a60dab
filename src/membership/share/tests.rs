use super::*;

fn counts(alive: usize, suspect: usize) -> MemberCounts {
    MemberCounts { alive, suspect, dead: 0, left: 0 }
}

fn at(s: f64) -> Micros {
    Micros::from_ms(s * 1e3)
}

#[test]
fn young_view_uses_the_configured_number_or_a_higher_live_count() {
    let mut shares = Shares::new(ShareSettings { min_divisor: 10, ..ShareSettings::default() }, at(0.0));
    shares.observe(at(1.0), counts(3, 0));
    assert_eq!(shares.divisor(at(1.0)), 10.0);
    shares.observe(at(2.0), counts(12, 0));
    assert_eq!(shares.divisor(at(2.0)), 12.0, "a higher live count applies at once: the share falls");
}

/// A number of forwarders that changed with SIGHUP right after a start did not count while the view was young.
#[test]
fn young_view_follows_a_change_of_the_configured_number() {
    let mut shares = Shares::new(ShareSettings { min_divisor: 2, ..ShareSettings::default() }, at(0.0));
    shares.observe(at(1.0), counts(3, 0));
    shares.set_min_divisor(10);
    shares.observe(at(2.0), counts(3, 0));
    assert_eq!(shares.divisor(at(2.0)), 10.0);
    shares.set_min_divisor(2);
    shares.observe(at(3.0), counts(3, 0));
    assert_eq!(shares.target_divisor(), 3);
}

#[test]
fn view_that_lost_half_keeps_the_last_whole_count_and_a_rising_share_is_ramped() {
    let mut shares = Shares::new(ShareSettings { min_divisor: 1, ..ShareSettings::default() }, at(0.0));
    shares.observe(at(6.0), counts(30, 0));
    assert_eq!(shares.view_status(), ViewStatus::Whole);
    assert_eq!(shares.divisor(at(6.0)), 30.0);
    assert_eq!(shares.observe(at(7.0), counts(10, 0)), Some(ViewStatus::Doubtful));
    assert_eq!(shares.divisor(at(7.0)), 30.0, "a third of the members: likely a partition");
    shares.observe(at(8.0), counts(20, 0));
    assert_eq!(shares.view_status(), ViewStatus::Whole);
    let mid_ramp = shares.divisor(at(13.0));
    assert!(mid_ramp > 20.0 && mid_ramp < 30.0, "{mid_ramp}");
    assert_eq!(shares.divisor(at(18.0)), 20.0);
    shares.observe(at(19.0), counts(30, 0));
    assert_eq!(shares.divisor(at(19.0)), 30.0, "a lower share applies at once");
}

#[test]
fn many_suspects_make_the_view_doubtful() {
    let mut shares = Shares::new(ShareSettings::default(), at(0.0));
    shares.observe(at(6.0), counts(20, 0));
    shares.observe(at(7.0), counts(14, 4));
    assert_eq!(shares.view_status(), ViewStatus::Doubtful);
    assert_eq!(shares.divisor(at(7.0)), 20.0);
}

#[test]
fn departed_members_reduce_the_last_whole_count() {
    let mut shares = Shares::new(ShareSettings::default(), at(0.0));
    shares.observe(at(6.0), counts(10, 0));
    for _ in 0..6 {
        shares.record_departure();
    }
    shares.observe(at(7.0), counts(4, 0));
    assert_eq!(shares.view_status(), ViewStatus::Whole);
}

#[test]
fn nested_partitions_are_compared_with_all_known_members() {
    let counts = |alive, dead| MemberCounts { alive, dead, ..MemberCounts::default() };
    let mut shares = Shares::new(ShareSettings::default(), at(0.0));
    shares.observe(at(6.0), counts(30, 0));
    shares.observe(at(7.0), counts(16, 14));
    assert_eq!((shares.view_status(), shares.last_whole()), (ViewStatus::Whole, 16));
    shares.observe(at(8.0), counts(9, 21));
    assert_eq!((shares.view_status(), shares.target_divisor()), (ViewStatus::Doubtful, 30));
    // Dead members are forgotten after a while; that alone does not make a doubtful view whole.
    let mut shares = Shares::new(ShareSettings::default(), at(0.0));
    shares.observe(at(6.0), counts(30, 0));
    shares.observe(at(7.0), counts(10, 20));
    shares.observe(at(700.0), counts(10, 0));
    assert_eq!((shares.view_status(), shares.target_divisor()), (ViewStatus::Doubtful, 30));
}
