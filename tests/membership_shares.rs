//! Thirty processes of the real program under load, against real servers with one shared limit each, cut into 20 and 10 and
//! healed: what all of them send together stays within the bound that `docs/membership.md` states.

mod support;

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::load::{limited, Clients};
use support::relay::Link;

const LIMIT: f64 = 100.0;
/// One fleet of thirty at a time.
static ONE: Mutex<()> = Mutex::new(());

/// Calls a second at both servers from `from` on, of which served, over `span`.
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

/// The sum of the shares that all members take.
fn shares(fleet: &Fleet) -> f64 {
    fleet.all().iter().map(|&member| 1.0 / fleet.figure(member, "divisor")).sum()
}

fn second(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn load(fleet: &Fleet) -> Vec<Clients> {
    limited(fleet.server(2), LIMIT, fleet.ledger.clone());
    limited(fleet.server(3), LIMIT, fleet.ledger.clone());
    let one = |member: usize| {
        let of = format!("f{member}-");
        Clients::of(&of, 1, fleet.listen[member], second(0.06), fleet.ledger.clone())
    };
    fleet.all().into_iter().map(one).collect()
}

/// The same thirty without membership, each told that it is alone: what the test below tells from.
#[test]
fn thirty_that_do_not_know_each_other_send_far_more_than_the_limit() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut fleet = Fleet::new("thirty-off", Plan { members: 30, seed: 12, siblings: 1, ..Plan::default() });
    (0..30).for_each(|member| drop(fleet.start_as(member, "log: {level: info}\n")));
    fleet.until("all serve", second(20.0), |fleet| {
        fleet.all().iter().all(|&member| fleet.told(member, "/ops/readiness") != serde_json::Value::Null)
    });
    let clients = load(&fleet);
    thread::sleep(second(3.0));
    let from = Instant::now();
    thread::sleep(second(4.0));
    let (sent, served) = rate(&fleet, from, second(4.0));
    clients.into_iter().for_each(Clients::stop);
    println!("without membership: sent and served a second of two limits of {LIMIT}: {sent}, {served}");
    assert!(sent > 2.0 * LIMIT * 1.5, "{sent}");
}

#[test]
fn thirty_cut_into_twenty_and_ten_under_load_stay_within_the_bound() {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    // The settings' number is wrong by far, on purpose: each would take all for itself.
    let plan = Plan { members: 30, seed: 11, seeds: vec![0, 25], siblings: 1, ..Plan::default() };
    let mut fleet = Fleet::new("thirty", plan);
    fleet.relay.usual(Link { drop: 0.02, delay: second(0.001), jitter: second(0.004), ..Link::default() });
    (0..30).for_each(|member| fleet.start(member));
    let joined = fleet.until("all know all", second(20.0), |fleet| fleet.agree(&fleet.all()));
    fleet.until("all views are whole", second(10.0), |fleet| {
        fleet.all().iter().all(|&member| fleet.figure(member, "divisor") >= 29.0)
    });
    let clients = load(&fleet);
    thread::sleep(second(3.0));
    let whole_from = Instant::now();
    thread::sleep(second(4.0));
    let whole = rate(&fleet, whole_from, second(4.0));
    // Cut.
    let (many, few): (Vec<usize>, Vec<usize>) = ((0..20).collect(), (20..30).collect());
    fleet.relay.cut(&many, &few);
    let cut_at = Instant::now();
    let mut most: f64 = 0.0;
    let both = |fleet: &Fleet| fleet.agree(&many) && fleet.agree(&few);
    let parted = fleet.until("both sides know", second(20.0), both);
    while cut_at.elapsed() < second(16.0) {
        most = most.max(shares(&fleet));
        thread::sleep(second(0.2));
    }
    let cut = rate(&fleet, cut_at + second(8.0), second(8.0));
    assert!(most < 1.5, "the shares of both sides add up to {most}");
    for &member in &many {
        assert_eq!(fleet.told(member, "/ops/stats")["membership"]["view"], "whole", "f{member}");
    }
    for &member in &few {
        let told = fleet.told(member, "/ops/stats")["membership"].clone();
        assert!(told["view"] == "doubtful" && told["divisor"] == 30.0, "f{member}: {told}");
        let lines = fleet.lines(member);
        assert!(lines.contains("doubtful, likely a cut: no share rises"), "a line says so: {lines}");
    }
    // Heal.
    fleet.relay.heal();
    let healed_at = Instant::now();
    let healed = fleet.until("all know all", second(15.0), |fleet| {
        most = most.max(shares(fleet));
        fleet.agree(&fleet.all())
    });
    fleet.until("the fleet is back to the limit", second(2.0), |fleet| shares(fleet) < 1.05);
    let back = healed_at.elapsed();
    thread::sleep(second(2.0));
    let after_from = Instant::now();
    thread::sleep(second(4.0));
    let after = rate(&fleet, after_from, second(4.0));
    clients.into_iter().for_each(Clients::stop);
    println!(
        "joined {joined:?}, parted {parted:?}, healed {healed:?}, back to the limit {back:?}, most shares {most:.3}"
    );
    println!(
        "sent and served a second of two limits of {LIMIT}: whole {whole:?}, cut {cut:?}, after {after:?}"
    );
    assert!(most < 1.5, "{most}");
    for (when, (sent, served)) in [("whole", whole), ("cut", cut), ("after", after)] {
        assert!(sent < 2.0 * LIMIT * 1.5, "{when}: {sent} a second, of which {served} served");
        assert!(served > 2.0 * LIMIT * 0.5, "{when}: {served} a second were served");
    }
    let ledger = fleet.ledger.lock().unwrap();
    assert!(ledger.effects.values().all(|&effects| effects == 1), "none took effect twice");
}
