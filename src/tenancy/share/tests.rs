use super::*;
use proptest::prelude::*;

fn equal(size: u64, tenants: usize) -> Shares {
    let mut shares = Shares::default();
    shares.configure(size, &bounds(size, &vec![(1.0, ShareLimits::default()); tenants]));
    shares
}

#[test]
fn one_alone_has_all_and_of_two_none_gets_the_reserve_of_the_other() {
    let mut one = equal(10, 1);
    (0..10).for_each(|_| {
        one.check(0, 1).unwrap();
        one.acquire(0, 1);
    });
    assert_eq!(one.check(0, 1), Err(ShareError::Exhausted));
    let mut two = equal(40, 2);
    while two.check(0, 1).is_ok() {
        two.acquire(0, 1);
    }
    // Its own 20, and what is lent of the other's 20: all but a quarter.
    assert_eq!((two.used(0), two.check(0, 1)), (35, Err(ShareError::Reserved)));
    (0..5).for_each(|_| {
        two.check(1, 1).unwrap();
        two.acquire(1, 1);
    });
    // What is lent beyond the reserve comes back with the end of a borrower's use, and the owner has it.
    assert_eq!(two.check(1, 1), Err(ShareError::Exhausted));
    two.release(0, 1);
    assert_eq!((two.check(0, 1), two.check(1, 1)), (Ok(()), Ok(())));
}

#[test]
fn what_is_told_counts_before_what_is_parted_and_a_ceiling_binds() {
    let told = ShareLimits { guarantee: Some(30), ceiling: Some(50) };
    let parts = bounds(
        100,
        &[
            (1.0, told),
            (3.0, ShareLimits::default()),
            (1.0, ShareLimits::default()),
            (0.0, ShareLimits::default()),
        ],
    );
    let own: Vec<u64> = parts.iter().map(|bounds| bounds.guarantee).collect();
    assert_eq!(own, [30, 52, 17, 0]);
    let mut shares = Shares::default();
    shares.configure(100, &parts);
    while shares.check(0, 1).is_ok() {
        shares.acquire(0, 1);
    }
    assert_eq!((shares.used(0), shares.check(0, 1)), (50, Err(ShareError::CeilingReached)));
    // Lowered under what is held: nothing is taken away, nothing more is given.
    shares.configure(
        40,
        &bounds(
            40,
            &[(1.0, ShareLimits { guarantee: None, ceiling: Some(10) }), (1.0, ShareLimits::default())],
        ),
    );
    assert_eq!((shares.used(0), shares.check(0, 1)), (50, Err(ShareError::Exhausted)));
    (0..45).for_each(|_| shares.release(0, 1));
    assert_eq!(shares.check(0, 1), Ok(()));
}

proptest! {
    /// Whatever the others borrow, each can have its reserve at any time, and the sums kept are the sums.
    #[test]
    fn a_reserve_is_there_at_any_time(
        size in 1u64..2000,
        told in proptest::collection::vec((0.1f64..9.0, proptest::option::of(0u64..50)), 2..12),
        deeds in proptest::collection::vec((0usize..12, 1u64..40, any::<bool>()), 1..200),
    ) {
        let told: Vec<_> =
            told.into_iter().map(|(weight, ceiling)| (weight, ShareLimits { guarantee: None, ceiling })).collect();
        let mut shares = Shares::default();
        shares.configure(size, &bounds(size, &told));
        for (place, amount, takes) in deeds {
            let place = place % told.len();
            if takes && shares.check(place, amount).is_ok() {
                shares.acquire(place, amount);
            } else if !takes {
                shares.release(place, amount.min(shares.used(place)));
            }
            let used: u64 = shares.of.iter().map(|share| share.used).sum();
            let spare: u64 = shares.of.iter().map(Share::spare).sum();
            prop_assert_eq!((used, spare), (shares.used, shares.spare));
            prop_assert!(used <= size);
            for (place, share) in shares.of.iter().enumerate() {
                prop_assert!(share.used <= share.bounds.ceiling);
                let own = share.bounds.reserve / 1000;
                if share.used < own {
                    prop_assert!(shares.check(place, 1).is_ok(), "place {place}: {shares:?}");
                }
            }
        }
    }
}
