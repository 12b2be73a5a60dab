//! Thirty real processes under load call real endpoints with one shared limit each, while a partition splits
//! them into 20 and 10 and heals: their total send rate stays within the bound that `docs/membership.md`
//! states.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::load::{serve_rate_limited, Clients};
use support::relay::Link;

/// The limit of each endpoint, in requests per second.
const LIMIT_PER_S: f64 = 100.0;
/// Prevents two fleets of thirty from running at the same time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Calls per second received by both endpoints together during `span` from `from`, and how many of them were
/// served.
fn rate(fleet: &Fleet, from: Instant, span: Duration) -> (f64, f64) {
    let ledger = fleet.ledger.lock().unwrap();
    let within: Vec<bool> = ledger
        .arrivals
        .iter()
        .filter(|(at, _)| *at >= from && *at < from + span)
        .map(|(_, served)| *served)
        .collect();
    let per_s = |count: usize| count as f64 / span.as_secs_f64();
    (per_s(within.len()), per_s(within.iter().filter(|served| **served).count()))
}

/// The sum of the shares of all members.
fn shares(fleet: &Fleet) -> f64 {
    fleet.all().iter().map(|&member| 1.0 / fleet.membership_stat(member, "divisor")).sum()
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Limits both endpoints and starts one group of clients per member.
fn start_load(fleet: &Fleet) -> Vec<Clients> {
    serve_rate_limited(fleet.endpoint_listener(2), LIMIT_PER_S, fleet.ledger.clone());
    serve_rate_limited(fleet.endpoint_listener(3), LIMIT_PER_S, fleet.ledger.clone());
    let one = |member: usize| {
        let of = format!("f{member}-");
        Clients::with_id_prefix(&of, 1, fleet.listen[member], seconds(0.06), fleet.ledger.clone())
    };
    fleet.all().into_iter().map(one).collect()
}

/// Comparison for the test below: the same thirty forwarders without membership, each configured as the only
/// one.
#[test]
fn thirty_forwarders_without_membership_exceed_the_limit_by_far() {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::new("thirty-off", Plan { members: 30, seed: 12, siblings: 1, ..Plan::default() });
    (0..30).for_each(|member| drop(fleet.start_as(member, "log: {level: info}\n")));
    fleet.until("all forwarders are ready", seconds(20.0), |fleet| {
        fleet.all().iter().all(|&member| fleet.get_json(member, "/ops/readiness") != serde_json::Value::Null)
    });
    let clients = start_load(&fleet);
    thread::sleep(seconds(3.0));
    let from = Instant::now();
    thread::sleep(seconds(4.0));
    let (sent, served) = rate(&fleet, from, seconds(4.0));
    clients.into_iter().for_each(Clients::stop);
    println!(
        "without membership: sent and served per second of two limits of {LIMIT_PER_S}: {sent}, {served}"
    );
    assert!(sent > 2.0 * LIMIT_PER_S * 1.5, "{sent}");
}

#[test]
fn thirty_forwarders_partitioned_into_twenty_and_ten_under_load_stay_within_the_bound() {
    let _lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    // The configured number of forwarders is far too low on purpose: each would use the whole limit.
    let plan = Plan { members: 30, seed: 11, seeds: vec![0, 25], siblings: 1, ..Plan::default() };
    let mut fleet = Fleet::new("thirty", plan);
    fleet.relay.set_default_link(Link {
        drop: 0.02,
        delay: seconds(0.001),
        jitter: seconds(0.004),
        ..Link::default()
    });
    (0..30).for_each(|member| fleet.start(member));
    let joined =
        fleet.until("every member knows every other", seconds(20.0), |fleet| fleet.agree(&fleet.all()));
    fleet.until("all views are whole", seconds(10.0), |fleet| {
        fleet.all().iter().all(|&member| fleet.membership_stat(member, "divisor") >= 29.0)
    });
    let clients = start_load(&fleet);
    thread::sleep(seconds(3.0));
    let whole_from = Instant::now();
    thread::sleep(seconds(4.0));
    let whole = rate(&fleet, whole_from, seconds(4.0));
    // Partition.
    let (majority, minority): (Vec<usize>, Vec<usize>) = ((0..20).collect(), (20..30).collect());
    fleet.relay.partition(&majority, &minority);
    let cut_at = Instant::now();
    let mut max_shares: f64 = 0.0;
    let both_noticed = |fleet: &Fleet| fleet.agree(&majority) && fleet.agree(&minority);
    let noticed = fleet.until("both sides have noticed the partition", seconds(20.0), both_noticed);
    while cut_at.elapsed() < seconds(16.0) {
        max_shares = max_shares.max(shares(&fleet));
        thread::sleep(seconds(0.2));
    }
    let cut = rate(&fleet, cut_at + seconds(8.0), seconds(8.0));
    assert!(max_shares < 1.5, "the shares of both sides add up to {max_shares}");
    for &member in &majority {
        assert_eq!(fleet.get_json(member, "/ops/stats")["membership"]["view"], "whole", "f{member}");
    }
    for &member in &minority {
        let stats = fleet.get_json(member, "/ops/stats")["membership"].clone();
        assert!(stats["view"] == "doubtful" && stats["divisor"] == 30.0, "f{member}: {stats}");
        let lines = fleet.log(member);
        assert!(lines.contains("doubtful, likely a cut: no share rises"), "the partition is logged: {lines}");
    }
    // Heal.
    fleet.relay.heal();
    let healed_at = Instant::now();
    let healed = fleet.until("every member knows every other", seconds(15.0), |fleet| {
        max_shares = max_shares.max(shares(fleet));
        fleet.agree(&fleet.all())
    });
    fleet.until("the shares add up to the limit again", seconds(2.0), |fleet| shares(fleet) < 1.05);
    let back = healed_at.elapsed();
    thread::sleep(seconds(2.0));
    let after_from = Instant::now();
    thread::sleep(seconds(4.0));
    let after = rate(&fleet, after_from, seconds(4.0));
    clients.into_iter().for_each(Clients::stop);
    println!(
        "joined {joined:?}, noticed {noticed:?}, healed {healed:?}, back to the limit {back:?}, \
         highest sum of shares {max_shares:.3}"
    );
    println!(
        "sent and served per second of two limits of {LIMIT_PER_S}: whole {whole:?}, cut {cut:?}, \
         after {after:?}"
    );
    assert!(max_shares < 1.5, "{max_shares}");
    for (when, (sent, served)) in [("whole", whole), ("cut", cut), ("after", after)] {
        assert!(sent < 2.0 * LIMIT_PER_S * 1.5, "{when}: {sent} per second sent, of which {served} served");
        assert!(served > 2.0 * LIMIT_PER_S * 0.5, "{when}: {served} per second served");
    }
    let ledger = fleet.ledger.lock().unwrap();
    assert!(ledger.effects.values().all(|&effects| effects == 1), "no message took effect twice");
}
