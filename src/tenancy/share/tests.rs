use super::*;
use proptest::prelude::*;

fn equal_shares(size: u64, tenants: usize) -> Shares {
    let mut shares = Shares::default();
    shares.configure(size, &bounds(size, &vec![(1.0, ShareLimits::default()); tenants]));
    shares
}

#[test]
fn single_tenant_gets_everything_and_one_of_two_never_gets_the_others_reserve() {
    let mut single = equal_shares(10, 1);
    (0..10).for_each(|_| {
        single.check(0, 1).unwrap();
        single.acquire(0, 1);
    });
    assert_eq!(single.check(0, 1), Err(ShareError::Exhausted));
    let mut shared = equal_shares(40, 2);
    while shared.check(0, 1).is_ok() {
        shared.acquire(0, 1);
    }
    // Its own guarantee of 20 and the part of the other's 20 that may be lent: all but a quarter.
    assert_eq!((shared.used(0), shared.check(0, 1)), (35, Err(ShareError::Reserved)));
    (0..5).for_each(|_| {
        shared.check(1, 1).unwrap();
        shared.acquire(1, 1);
    });
    // What is lent beyond the reserve becomes available to its owner when the borrower releases it.
    assert_eq!(shared.check(1, 1), Err(ShareError::Exhausted));
    shared.release(0, 1);
    assert_eq!((shared.check(0, 1), shared.check(1, 1)), (Ok(()), Ok(())));
}

#[test]
fn explicit_guarantees_precede_weights_and_the_ceiling_is_enforced() {
    let limits = ShareLimits { guarantee: Some(30), ceiling: Some(50) };
    let all_bounds = bounds(
        100,
        &[
            (1.0, limits),
            (3.0, ShareLimits::default()),
            (1.0, ShareLimits::default()),
            (0.0, ShareLimits::default()),
        ],
    );
    let guarantees: Vec<u64> = all_bounds.iter().map(|bounds| bounds.guarantee).collect();
    assert_eq!(guarantees, [30, 52, 17, 0]);
    let mut shares = Shares::default();
    shares.configure(100, &all_bounds);
    while shares.check(0, 1).is_ok() {
        shares.acquire(0, 1);
    }
    assert_eq!((shares.used(0), shares.check(0, 1)), (50, Err(ShareError::CeilingReached)));
    // A ceiling below the present use revokes nothing and admits nothing more.
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
    /// Whatever others borrow, each tenant can acquire its reserve at any time, and the cached sums are
    /// correct.
    #[test]
    fn reserve_is_available_at_any_time(
        size in 1u64..2000,
        limits in proptest::collection::vec((0.1f64..9.0, proptest::option::of(0u64..50)), 2..12),
        operations in proptest::collection::vec((0usize..12, 1u64..40, any::<bool>()), 1..200),
    ) {
        let limits: Vec<_> =
            limits.into_iter().map(|(weight, ceiling)| (weight, ShareLimits { guarantee: None, ceiling })).collect();
        let mut shares = Shares::default();
        shares.configure(size, &bounds(size, &limits));
        for (tenant, amount, acquire) in operations {
            let tenant = tenant % limits.len();
            if acquire && shares.check(tenant, amount).is_ok() {
                shares.acquire(tenant, amount);
            } else if !acquire {
                shares.release(tenant, amount.min(shares.used(tenant)));
            }
            let used: u64 = shares.tenants.iter().map(|share| share.used).sum();
            let unused_reserve: u64 = shares.tenants.iter().map(Share::unused_reserve).sum();
            prop_assert_eq!((used, unused_reserve), (shares.used, shares.unused_reserve));
            prop_assert!(used <= size);
            for (tenant, share) in shares.tenants.iter().enumerate() {
                prop_assert!(share.used <= share.bounds.ceiling);
                let reserve = share.bounds.reserve / 1000;
                if share.used < reserve {
                    prop_assert!(shares.check(tenant, 1).is_ok(), "tenant {tenant}: {shares:?}");
                }
            }
        }
    }
}
