//! Slow start as a property: after an outage of which forwarders were told, their calls keep within the budget
//! of the returning destination in every window, however calls failed.

mod common;

use common::outage::{Change, FailureMode, Outage, Run, Scenario};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A number from an environment variable, for long runs by hand: `CEDARWHARF_SLOW_START_RUNS` and
/// `CEDARWHARF_SLOW_START_SEED`.
fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect(name))
}

fn config() -> ProptestConfig {
    let runs = from_environment("CEDARWHARF_SLOW_START_RUNS", 150);
    let seed = from_environment("CEDARWHARF_SLOW_START_SEED", 20_261_203);
    ProptestConfig {
        cases: u32::try_from(runs).unwrap(),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 100,
        ..ProptestConfig::default()
    }
}

fn failure_mode() -> impl Strategy<Value = FailureMode> {
    prop_oneof![
        Just(FailureMode::Error),
        (0.5..0.95f64).prop_map(FailureMode::MostlyErrors),
        prop::option::of(200..4_000u64).prop_map(FailureMode::Rejected),
        Just(FailureMode::Reset),
        Just(FailureMode::Silent),
        Just(FailureMode::Held),
        Just(FailureMode::Refused),
        Just(FailureMode::NoConnection),
        Just(FailureMode::ConnectionLimit),
        Just(FailureMode::Malformed),
    ]
}

prop_compose! {
    fn scenario()(
        seed in any::<u64>(),
        forwarders in 1..=3u32,
        endpoints in 1..=3u64,
        capacity_per_s in prop_oneof![2.0..10.0f64, 10.0..120.0f64],
        load in prop_oneof![0.02..0.3f64, 0.3..0.9f64],
        reports_limit in any::<bool>(),
        latency_ms in 20..300u64,
        target_time_ms in prop_oneof![300..1_000u64, 1_000..4_000u64],
        stale_after_ms in prop::option::of(Just(1_000u64)),
        from_ms in 12_000..16_000u64,
        length_ms in 4_000..15_000u64,
        modes in (failure_mode(), failure_mode()),
        same_mode in any::<bool>(),
        burst in prop_oneof![Just(0u32), 1..60u32],
        again in prop::option::of((200..9_000u64, 3_000..8_000u64, failure_mode())),
        changes in prop::collection::vec(
            (12_000..34_000u64, prop_oneof![
                Just(Change::Upgrade), Just(Change::EndpointAdded), Just(Change::EndpointReplaced),
                Just(Change::Settings),
            ]), 0..4),
    ) -> Scenario {
        let modes = if same_mode { (modes.0, modes.0) } else { modes };
        let first = Outage { from_ms, length_ms, modes, burst };
        let second = again.map(|(after, length_ms, mode)| {
            Outage { from_ms: from_ms + first.length_ms + after, length_ms, modes: (mode, mode), burst }
        });
        let outages: Vec<Outage> = [first].into_iter().chain(second).collect();
        let last = outages[outages.len() - 1];
        let length_ms = last.from_ms + last.length_ms + 11_000;
        Scenario {
            seed, forwarders, endpoints, capacity_per_s, load, submit_once_at_ms: None, reports_limit,
            latency_ms, target_time_ms, stale_after_ms, outages, changes, length_ms,
        }
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against the incident of 2026-12-03: forwarders that had seen an outage sent the returning
    /// destination more than its budget.
    #[test]
    fn calls_after_an_outage_keep_within_the_budget_whatever_the_failures(scenario in scenario()) {
        let mut run = Run::new(scenario);
        run.play();
        let excess = run.excess();
        prop_assert!(excess.is_none(), "{excess:?}\n{}", run.log.join("\n"));
    }
}

/// Three forwarders, one endpoint, and an outage in which calls find no connection.
fn plain_scenario(seed: u64) -> Scenario {
    let refused = FailureMode::Refused;
    let outage = Outage { from_ms: 15_000, length_ms: 8_000, modes: (refused, refused), burst: 0 };
    Scenario {
        seed,
        forwarders: 3,
        endpoints: 1,
        capacity_per_s: 10.0,
        load: 0.5,
        submit_once_at_ms: None,
        reports_limit: false,
        latency_ms: 50,
        target_time_ms: 1_500,
        stale_after_ms: None,
        outages: vec![outage],
        changes: Vec::new(),
        length_ms: 34_000,
    }
}

fn assert_within_budget(scenario: Scenario) {
    let mut run = Run::new(scenario.clone());
    run.play();
    let excess = run.excess();
    assert!(excess.is_none(), "{scenario:?}\n{excess:?}\n{}", run.log.join("\n"));
}

/// Guards against a finding beside the incident of 2026-12-03: messages submitted during the outage and at its
/// end counted as capacity of the destination, and with them the budget grew.
#[test]
fn burst_at_the_return_does_not_raise_the_budget_of_a_destination_without_a_known_limit() {
    for seed in 0..10 {
        let mut scenario = Scenario { capacity_per_s: 20.0, load: 0.2, ..plain_scenario(seed) };
        scenario.outages[0].burst = 300;
        assert_within_budget(scenario);
    }
}

/// Guards against a finding beside the incident of 2026-12-03: the state of a destination that was not called for
/// a minute was removed, and with it what was known of its outage.
#[test]
fn outage_is_remembered_while_nothing_is_sent_for_longer_than_unused_state_is_kept() {
    for seed in 0..10 {
        let mut scenario = plain_scenario(seed);
        let outage = &mut scenario.outages[0];
        (outage.length_ms, outage.burst) = (200_000, 60);
        outage.modes = (FailureMode::Rejected(None), FailureMode::Rejected(None));
        scenario.load = 0.0;
        scenario.length_ms = 226_000;
        scenario.submit_once_at_ms = Some(16_000);
        assert_within_budget(scenario);
    }
}

/// A destination that fails most of its calls may serve those of one forwarder but a single one: that forwarder
/// has no budget at the return, though it was told of the outage.
#[test]
fn burst_after_an_outage_that_serves_some_calls_keeps_within_the_budget() {
    for seed in 0..40 {
        let half = FailureMode::MostlyErrors(0.55);
        let mut scenario = Scenario { forwarders: 1, capacity_per_s: 2.0, load: 0.3, ..plain_scenario(seed) };
        scenario.outages[0].modes = (half, half);
        scenario.outages[0].burst = 40;
        assert_within_budget(scenario);
    }
}
