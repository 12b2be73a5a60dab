//! Failure detection among several real processes over a simulated network that loses, delays, duplicates and
//! reorders datagrams and has partitions, while processes are suspended, killed and restarted. Checks which
//! members are declared dead and when, and that no live member stays declared dead once its links work again.

mod support;

use cedarwharf::membership::wire::VERSION;
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};
use support::fleet::{Fleet, Plan};
use support::relay::Link;

/// Time limit for changes that need no recovery from a partition or a stall.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for full membership after a partition heals or a stall ends. It allows for three reconnect
/// pings at intervals of one second.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn joined_fleet(name: &str, plan: Plan) -> Fleet {
    let fleet = Fleet::start_all(name, plan);
    fleet.until("every member knows every other", TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    fleet
}

/// The state of `member` in the member list of `observer`.
fn state(fleet: &Fleet, observer: usize, member: usize) -> String {
    fleet.member_state(observer, member).map_or_else(|| "unknown".to_owned(), |held| held.0)
}

/// The minimum suspicion timeout of a small fleet is 4 x 0.2 s; the maximum, without confirmations, is 6
/// times the minimum.
#[test]
fn killed_member_is_declared_dead_restarted_one_is_a_new_member_and_stopped_one_has_left() {
    let mut fleet = joined_fleet("killed", Plan::default());
    let (_, first, _) = fleet.member_state(0, 2).unwrap();
    fleet.kill(2);
    let took = fleet.until("both others declare f2 dead", TIMEOUT, |fleet| {
        [0, 1].iter().all(|&observer| state(fleet, observer, 2) == "dead")
    });
    assert!(took > seconds(0.8), "not before the minimum suspicion timeout: {took:?}");
    assert_eq!(fleet.membership_stat(0, "alive"), 2.0);
    fleet.start(2);
    fleet.until("the restarted member is known", TIMEOUT, |fleet| fleet.agree(&[0, 1, 2]));
    let (_, second, incarnation) = fleet.member_state(0, 2).unwrap();
    assert!(second > first && incarnation == 0, "{second} {first} {incarnation}");
    // A restart too quick for failure detection: the old generation is reported dead once, and the live count
    // never falls.
    fleet.kill(2);
    fleet.start(2);
    fleet.until("the next generation is known", TIMEOUT, |fleet| {
        [0, 1].iter().all(|&observer| {
            fleet.member_state(observer, 2).is_some_and(|held| held.0 == "alive" && held.1 > second)
        })
    });
    assert!(fleet.log(0).contains("f2 at") && fleet.log(0).contains("is dead (restarted)"));
    fleet.terminate(2);
    assert_eq!([state(&fleet, 0, 2), state(&fleet, 1, 2)], ["left", "left"], "known as soon as it ends");
    assert_eq!(fleet.membership_stat(0, "dead"), 0.0);
    assert_eq!(fleet.membership_stat(0, "last_whole"), 2.0, "a departed member does not count as lost");
}

#[test]
fn short_stall_causes_no_death_and_long_stalled_member_refutes_its_death() {
    let fleet = joined_fleet("stalled", Plan { members: 10, seed: 2, ..Plan::default() });
    fleet.signal(4, "-STOP");
    thread::sleep(seconds(0.5));
    fleet.signal(4, "-CONT");
    thread::sleep(seconds(2.0));
    fleet.until("every member knows every other", TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    let dead: f64 = fleet.all().iter().map(|&member| fleet.membership_stat(member, "declared_dead")).sum();
    assert_eq!(dead, 0.0, "no death is declared for a stall of 0.5 s");
    fleet.signal(4, "-STOP");
    fleet.until("f0 declares f4 dead", TIMEOUT, |fleet| state(fleet, 0, 4) == "dead");
    thread::sleep(seconds(2.0));
    fleet.signal(4, "-CONT");
    fleet.until("f4 is alive again everywhere", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    let (_, generation, incarnation) = fleet.member_state(0, 4).unwrap();
    assert!(incarnation > 0, "refuted, not restarted: {generation}");
    assert!(fleet.membership_stat(4, "refuted_self") >= 1.0 && fleet.membership_stat(4, "stalls") >= 1.0);
    // f4 declared no other member dead for the datagrams that it missed during the stall.
    let others = fleet.all().into_iter().filter(|&member| member != 4);
    let declared_dead_by_f4: Vec<usize> = others
        .filter(|member| {
            fleet.log(4).contains(&format!("f{member} at"))
                && fleet
                    .log(4)
                    .lines()
                    .any(|line| line.contains(&format!("f{member} at")) && line.contains("is dead"))
        })
        .collect();
    assert!(declared_dead_by_f4.is_empty(), "{declared_dead_by_f4:?}\n{}", fleet.log(4));
}

#[test]
fn one_way_partial_or_flapping_links_cause_no_lasting_death() {
    let fleet = joined_fleet("one-way", Plan { members: 6, seed: 3, ..Plan::default() });
    let dead = |fleet: &Fleet| -> f64 {
        fleet.all().iter().map(|&member| fleet.membership_stat(member, "declared_dead")).sum()
    };
    // f1 receives nothing from f0; f0 receives from f1.
    fleet.relay.set_link(0, 1, Link::CUT);
    thread::sleep(seconds(5.0));
    assert_eq!(dead(&fleet), 0.0, "other members reach both");
    assert!(fleet.membership_stat(0, "indirect") > 0.0, "indirect probes were sent");
    fleet.relay.heal();
    // Only f3 and f4 reach f5.
    fleet.relay.partition(&[5], &[0, 1, 2]);
    thread::sleep(seconds(6.0));
    assert_eq!(dead(&fleet), 0.0, "{}", fleet.log(0));
    fleet.relay.heal();
    fleet.until("every member knows every other", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    // All links of f2 flap: 0.6 s down, 0.7 s up. The minimum suspicion timeout is 0.8 s.
    for _ in 0..4 {
        fleet.relay.partition(&[2], &[0, 1, 3, 4, 5]);
        thread::sleep(seconds(0.6));
        fleet.relay.heal();
        thread::sleep(seconds(0.7));
    }
    fleet.until("every member knows every other", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    // Flapping with 2 s down and 2 s up: f2 may be declared dead and recovers each time.
    for _ in 0..3 {
        fleet.relay.partition(&[2], &[0, 1, 3, 4, 5]);
        thread::sleep(seconds(2.0));
        fleet.relay.heal();
        thread::sleep(seconds(2.0));
    }
    fleet.until("every member knows every other", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
}

#[test]
fn lossy_delaying_duplicating_and_reordering_links_cause_no_death() {
    let plan = Plan { members: 8, seed: 4, ..Plan::default() };
    let fleet = Fleet::new("lossy", plan);
    let (delay, jitter) = (seconds(0.002), seconds(0.02));
    fleet.relay.set_default_link(Link { cut: false, drop: 0.1, duplicate: 0.3, delay, jitter });
    let mut fleet = fleet;
    (0..8).for_each(|member| fleet.start(member));
    fleet.until("every member knows every other", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    thread::sleep(seconds(8.0));
    let sum =
        |name: &str| -> f64 { fleet.all().iter().map(|&member| fleet.membership_stat(member, name)).sum() };
    assert_eq!(sum("declared_dead"), 0.0);
    assert!(sum("dropped.replayed") > 50.0, "duplicates were dropped: {}", sum("dropped.replayed"));
    assert!(fleet.relay.lost() > 100);
    fleet.kill(3);
    let live: Vec<usize> = fleet.all().into_iter().filter(|&member| member != 3).collect();
    fleet.until("a killed member is still declared dead", TIMEOUT, |fleet| {
        live.iter().all(|&observer| state(fleet, observer, 3) == "dead")
    });
}

#[test]
fn seeds_that_were_down_are_contacted_again_and_separately_formed_halves_merge() {
    // Both seeds are down.
    let plan = Plan { members: 6, seed: 5, seeds: vec![0, 3], siblings: 6, ..Plan::default() };
    let mut fleet = Fleet::new("seeds", plan);
    (1..3).for_each(|member| fleet.start(member));
    thread::sleep(seconds(2.0));
    assert_eq!(fleet.membership_stat(1, "alive"), 1.0, "no seed is reachable");
    // The network is partitioned, so each half forms a cluster with its own seed.
    fleet.relay.partition(&[0, 1, 2], &[3, 4, 5]);
    [0, 3, 4, 5].into_iter().for_each(|member| fleet.start(member));
    fleet.until("both halves have formed", Duration::from_secs(25), |fleet| {
        fleet.agree(&[0, 1, 2]) && fleet.agree(&[3, 4, 5])
    });
    thread::sleep(seconds(5.0));
    for member in fleet.all() {
        // Three of six members: no half takes the share of the other.
        assert!(fleet.membership_stat(member, "divisor") >= 6.0, "{}", fleet.get_json(member, "/ops/stats"));
    }
    fleet.relay.heal();
    let took = fleet.until("the halves have merged", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
    println!("separately formed halves merged after {took:?}");
    // The seed crashes and restarts with itself as its only seed, so it knows no other member.
    fleet.kill(0);
    fleet.until("f4 declares f0 dead", TIMEOUT, |fleet| state(fleet, 4, 0) == "dead");
    fleet.plan.seeds = vec![0];
    fleet.start(0);
    fleet.until("the restarted seed is found", RECOVERY_TIMEOUT, |fleet| fleet.agree(&fleet.all()));
}

#[test]
fn datagrams_of_other_clusters_forged_and_replayed_ones_change_no_member_list() {
    let plan = Plan { members: 5, seed: 6, ..Plan::default() };
    let mut fleet = Fleet::new("strangers", plan);
    (0..3).for_each(|member| fleet.start(member));
    fleet.until("three members have joined", TIMEOUT, |fleet| fleet.agree(&[0, 1, 2]));
    // f3 has another key, f4 belongs to another cluster.
    let told = fleet.membership_section(3) + "  key: \"not the key of the others\"\n";
    fleet.start_as(3, &told);
    let told =
        fleet.membership_section(4).replace("cluster: tests", "cluster: elsewhere") + &fleet.key_line();
    fleet.start_as(4, &told);
    fleet.relay.start_recording();
    thread::sleep(seconds(3.0));
    assert!(
        fleet.agree(&[0, 1, 2])
            && fleet.membership_stat(3, "alive") == 1.0
            && fleet.membership_stat(4, "alive") == 1.0
    );
    assert!(
        fleet.membership_stat(0, "dropped.bad_tag") > 0.0
            && fleet.membership_stat(0, "dropped.other_cluster") > 0.0
    );
    // A flood of replayed datagrams and of random ones, some with a valid magic number.
    let lists = |fleet: &Fleet| {
        [0, 1, 2].map(|observer| [0, 1, 2].map(|member| fleet.member_state(observer, member)))
    };
    let before = lists(&fleet);
    let repeated = fleet.relay.replay_recorded(20);
    let attacker = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut random = fastrand::Rng::with_seed(7);
    for round in 0..20_000 {
        let length = random.usize(0..1_600);
        let mut bytes: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(length).collect();
        if round % 2 == 0 && length > 5 {
            bytes[..5].copy_from_slice(&[b'C', b'W', b'm', random.u8(0..VERSION + 2), random.u8(0..2)]);
        }
        let _ = attacker.send_to(&bytes, fleet.bind_addresses[round % 3]);
        if round % 500 == 0 {
            thread::sleep(Duration::from_millis(2));
        }
    }
    thread::sleep(seconds(1.0));
    assert!(fleet.agree(&[0, 1, 2]), "{}", fleet.log(0));
    assert_eq!(lists(&fleet), before, "{repeated} replayed datagrams");
    for member in 0..3 {
        let drops = ["replayed", "foreign", "future", "bad_tag", "too_large"]
            .map(|cause| fleet.membership_stat(member, &format!("dropped.{cause}")));
        assert!(drops.iter().all(|&count| count > 10.0), "{drops:?}");
        let asked = Instant::now();
        assert!(fleet.get_json(member, "/ops/readiness") != serde_json::Value::Null);
        assert!(asked.elapsed() < seconds(1.0), "answered within one second");
    }
    let shown = format!("{}{}", fleet.log(0), fleet.get_json(0, "/ops/stats"));
    assert!(!shown.contains("a key of the tests"), "the key is neither logged nor in the statistics");
}

/// Each of two processes with the same name learns of the other and logs it.
#[test]
fn two_forwarders_with_one_name_log_the_name_conflict() {
    let mut fleet = joined_fleet("namesakes", Plan { members: 4, seed: 8, ..Plan::default() });
    fleet.terminate(3);
    let told = fleet.membership_section(3).replace("name: f3", "name: f1") + &fleet.key_line();
    fleet.start_as(3, &told);
    fleet.until("f1 logs the name conflict", TIMEOUT, |fleet| {
        fleet.log(1).contains("goes by the name f1: give each its own")
    });
}

/// Without the section `membership` there is no socket, no HTTP path and no statistics of it.
#[test]
fn without_the_membership_section_the_feature_is_absent() {
    let mut fleet = Fleet::new("off", Plan { members: 1, ..Plan::default() });
    fleet.start_as(0, "log: {level: info}\n");
    fleet.until("the process is ready", TIMEOUT, |fleet| {
        fleet.get_json(0, "/ops/readiness") != serde_json::Value::Null
    });
    assert_eq!(fleet.get_json(0, "/ops/members"), serde_json::Value::Null);
    assert!(fleet.get_json(0, "/ops/stats").get("membership").is_none());
    assert!(UdpSocket::bind(fleet.bind_addresses[0]).is_ok(), "no socket is bound");
    assert!(!fleet.log(0).contains("membership"));
}

#[test]
fn upgraded_member_continues_as_a_new_generation_and_is_never_declared_dead() {
    let mut fleet = joined_fleet("upgraded", Plan { members: 4, seed: 9, siblings: 1, ..Plan::default() });
    let (_, before, _) = fleet.member_state(0, 2).unwrap();
    fleet.until("the view is whole", TIMEOUT, |fleet| fleet.membership_stat(2, "divisor") == 4.0);
    let file = std::fs::read_to_string(fleet.folder.join("f2/file.yaml")).unwrap();
    let ops = fleet.ops[2];
    fleet.ops[2] = support::unused_address();
    let mut old = fleet.start_as(2, &file).unwrap();
    fleet.until("every member knows the new generation", TIMEOUT, |fleet| {
        [0, 1, 3].iter().all(|&observer| {
            fleet.member_state(observer, 2).is_some_and(|held| held.0 == "alive" && held.1 > before)
        })
    });
    assert!(
        fleet.membership_stat(2, "divisor") >= 4.0,
        "no share rises: {}",
        fleet.get_json(2, "/ops/stats")
    );
    let gone = support::load::ask(ops, "GET", "/ops/members", "", "").unwrap();
    assert_eq!(gone.0, 409, "the predecessor has no membership left: {}", gone.1);
    assert!(std::process::Command::new("kill")
        .args(["-TERM", &old.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert_eq!(old.wait().unwrap().code(), Some(0));
    thread::sleep(seconds(3.0));
    assert!(
        fleet.agree(&fleet.all()),
        "the predecessor's exit is not a departure of the member: {}",
        fleet.log(0)
    );
    assert_eq!(fleet.membership_stat(0, "goodbyes"), 0.0);
}

#[test]
fn membership_section_is_reloaded_in_a_running_process() {
    let plan = Plan { members: 3, seed: 10, seeds: vec![0, 1], ..Plan::default() };
    let fleet = joined_fleet("changed", plan);
    let reload = |fleet: &Fleet, file: &str| {
        std::fs::write(fleet.folder.join("f2/file.yaml"), file).unwrap();
        fleet.signal(2, "-HUP");
    };
    let usual = fleet.membership_section(2) + &fleet.key_line();
    // Without the section it leaves the cluster and closes its socket.
    reload(&fleet, "log: {level: info}\n");
    fleet.until("f2 has left", TIMEOUT, |fleet| {
        [0, 1].iter().all(|&observer| state(fleet, observer, 2) == "left")
    });
    assert_eq!(fleet.get_json(2, "/ops/members"), serde_json::Value::Null);
    assert!(UdpSocket::bind(fleet.bind_addresses[2]).is_ok());
    // With the section again it joins as a new generation of the same name.
    reload(&fleet, &usual);
    fleet.until("f2 has joined again", TIMEOUT, |fleet| fleet.agree(&[0, 1, 2]));
    // Another probe interval: the same socket, a new generation.
    let (_, before, _) = fleet.member_state(0, 2).unwrap();
    reload(&fleet, &usual.replace("probe_interval_ms: 200", "probe_interval_ms: 100"));
    fleet.until("f2 continues as a new generation", TIMEOUT, |fleet| {
        fleet.agree(&[0, 1, 2]) && fleet.member_state(0, 2).is_some_and(|held| held.1 > before)
    });
    // A port in use: no part of the new file takes effect.
    let occupied = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = occupied.local_addr().unwrap().to_string();
    reload(&fleet, &usual.replace(&fleet.bind_addresses[2].to_string(), &at));
    fleet.until("the file is rejected", TIMEOUT, |fleet| {
        fleet.log(2).contains(&format!("membership.listen: cannot listen on {at}"))
    });
    assert!(fleet.agree(&[0, 1, 2]));
}
