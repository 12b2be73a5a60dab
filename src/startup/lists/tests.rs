use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn s(seconds: f64) -> Micros {
    Micros::from_ms(1e6 + seconds * 1e3)
}

fn edition(epoch: u32, generation: u64) -> Edition {
    Edition { epoch, generation }
}

fn holding(edition: Edition, bytes: &[u8], age: Micros) -> Holding {
    Holding { edition, digest: digest(bytes), age }
}

/// Fetches a list from a member that holds it.
fn fetch(member: &mut Lists, now: Micros, from: SocketAddr, other: &mut Lists) -> PieceResult {
    let (asked, request) = member.tick(now).expect("it sends a request");
    assert_eq!(asked, from);
    let mut result = PieceResult::Nothing;
    let pieces: Vec<(u16, u16, Vec<u8>)> =
        other.send_pieces(now, request).into_iter().map(|(i, n, bytes)| (i, n, bytes.to_vec())).collect();
    for (index, count, bytes) in pieces {
        result = member.piece(now, from, (request.edition, index.into(), count.into()), &bytes);
    }
    result
}

#[test]
fn at_startup_only_elected_members_call_discovery_and_others_fetch_the_announced_list() {
    let names: Vec<String> = (0..300).map(|number| format!("f{number}")).collect();
    let mut callers = 0;
    for (index, me) in names.iter().enumerate() {
        let mut lists = Lists::new("c", me, true, index as u64, s(0.0));
        assert!(!lists.may_call_discovery(s(0.1)), "no member is known yet");
        lists.members_changed(s(0.2), names.iter().map(String::as_str).filter(|member| member != me));
        assert!(!lists.may_call_discovery(s(0.5)), "other members may have the list");
        callers += usize::from(lists.may_call_discovery(s(1.8)));
    }
    assert_eq!(callers, 5);
    let mut holder = Lists::new("c", "a", false, 1, s(0.0));
    assert!(holder.may_call_discovery(s(0.0)), "the first member of a cluster waits for no other");
    holder.from_discovery(s(0.0), 41, b"the list");
    let mut member = Lists::new("c", "b", true, 2, s(0.0));
    member.members_changed(s(0.4), names.iter().map(String::as_str));
    member.announced(s(0.5), at(1), holding(edition(0, 41), b"the list", Micros(500_000)));
    assert_eq!(
        fetch(&mut member, s(0.5), at(1), &mut holder),
        PieceResult::Complete(edition(0, 41), b"the list".to_vec())
    );
    member.accepted(edition(0, 41), b"the list".to_vec());
    member.announced(s(0.6), at(1), holding(edition(0, 41), b"the list", Micros(500_000)));
    assert!(
        !member.may_call_discovery(s(10.0)) && member.may_call_discovery(s(90.0)),
        "it calls discovery if no confirmation arrives"
    );
}

/// The elected members get no more answers, though others would. Of 300 members one soon calls
/// discovery first, whatever its earlier draws were.
#[test]
fn without_confirmations_members_call_discovery_one_after_another() {
    let names: Vec<String> = (0..300).map(|number| format!("f{number}")).collect();
    let mut first: Vec<u64> = Vec::new();
    for (index, me) in names.iter().enumerate() {
        let mut lists = Lists::new("c", me, true, index as u64, s(0.0));
        lists.members_changed(s(0.2), names.iter().map(String::as_str).filter(|member| member != me));
        lists.restore(edition(0, 7), b"the list", None);
        for tenth in 5..100 {
            lists.announced(
                s(f64::from(tenth) / 10.0),
                at(1),
                holding(edition(0, 7), b"the list", Micros(0)),
            );
        }
        first.extend((0..1_000).find(|tenth| lists.fallback_at() <= s(10.0 + *tenth as f64 / 10.0)));
    }
    first.sort();
    assert!((115..135).contains(&first[0]) && first[299] > 600, "{first:?}");
    let within = |from: u64| first.iter().filter(|at| (from..from + 10).contains(*at)).count();
    assert!(first.iter().all(|&at| within(at) <= 13), "few in any second: {first:?}");
}

#[test]
fn members_call_silent_discovery_once_and_then_rarely() {
    let names: Vec<String> = (0..100).map(|number| format!("f{number}")).collect();
    let mut calls = 0;
    for (index, me) in names.iter().enumerate() {
        let mut lists = Lists::new("c", me, true, index as u64, s(0.0));
        lists.members_changed(s(0.2), names.iter().map(String::as_str).filter(|member| member != me));
        let mut now = s(0.3);
        while now < s(10.0) && !lists.elected() {
            if lists.may_call_discovery(now) {
                calls += 1;
                lists.discovery_called(now);
            }
            now = now.plus(Micros(10_000));
        }
    }
    // One call in 250 ms from 2 s on; without that spacing there were 96 calls.
    assert!((20..=44).contains(&calls), "{calls}");
    // A member that meets no other continues to call.
    let mut lists = Lists::new("c", "a", true, 1, s(0.0));
    assert!(!lists.may_call_discovery(s(1.9)));
    lists.discovery_called(s(4.0));
    assert!(lists.may_call_discovery(s(4.1)));
}

#[test]
fn older_or_forged_list_is_rejected_and_another_member_is_asked() {
    let mut honest = Lists::new("c", "a", false, 1, s(0.0));
    honest.from_discovery(s(0.0), 41, b"the list");
    let mut forger = Lists::new("c", "l", false, 1, s(0.0));
    forger.from_discovery(s(0.0), 41, b"other ones");
    let mut member = Lists::new("c", "b", true, 2, s(0.0));
    member.restore(edition(0, 40), b"before", None);
    member.announced(s(0.1), at(9), holding(edition(0, 39), b"older", Micros(0)));
    assert_eq!(member.tick(s(0.1)), None);
    // The list that the other member sends does not match the announced digest of this edition.
    member.announced(s(0.1), at(9), holding(edition(0, 41), b"the list", Micros(0)));
    assert_eq!(fetch(&mut member, s(0.1), at(9), &mut forger), PieceResult::Mismatch(at(9)));
    member.announced(s(0.2), at(9), holding(edition(0, 41), b"the list", Micros(0)));
    assert_eq!(member.tick(s(0.2)), None, "the member is not asked for this edition again");
    member.announced(s(0.2), at(1), holding(edition(0, 41), b"the list", Micros(0)));
    assert!(matches!(fetch(&mut member, s(0.2), at(1), &mut honest), PieceResult::Complete(..)));
    // It is complete but cannot be parsed: its source is barred as well, and the held list stays.
    member.rejected();
    assert_eq!((member.held().map(|held| held.0), member.stats.torn), (Some(edition(0, 40)), 2));
}

#[test]
fn flood_of_requests_is_answered_in_part_and_a_starting_fleet_in_full() {
    let mut holder = Lists::new("c", "a", false, 1, s(0.0));
    holder.from_discovery(s(0.0), 41, &[b'x'; 20_000]);
    let request = PieceRequest { edition: edition(0, 41), first: 0, mask: 0xff };
    let mut count_answered = |from: f64, count: usize| {
        let sent_at = |number: usize| from + number as f64 / count as f64;
        (0..count).filter(|&number| !holder.send_pieces(s(sent_at(number)), request).is_empty()).count()
    };
    // 295 members ask five elected members in their first second, in three requests each.
    assert_eq!(count_answered(0.0, 59 * 3), 59 * 3);
    assert!((200..=270).contains(&count_answered(2.0, 20_000)));
    assert_eq!(count_answered(4.0, 10), 10, "and requests after it");
    assert!(holder.stats.unanswered > 19_000 && holder.stats.given < 500 * 8);
}

#[test]
fn silent_member_is_replaced_by_another_and_a_newer_edition_is_preferred() {
    let mut member = Lists::new("c", "b", true, 2, s(0.0));
    for port in [1, 2] {
        member.announced(s(0.0), at(port), holding(edition(0, 41), b"the list", Micros(0)));
    }
    let (mut now, mut asked) = (s(0.0), Vec::new());
    while now < s(2.0) {
        asked.extend(member.tick(now).map(|(from, _)| from.port()));
        now = now.plus(Micros(10_000));
    }
    assert_eq!((asked.len(), asked[0] != asked[7], member.stats.silent), (8, true, 2), "{asked:?}");
    member.announced(s(2.0), at(1), holding(edition(0, 41), b"the list", Micros(0)));
    member.announced(s(2.0), at(3), holding(edition(0, 42), b"newer", Micros(0)));
    assert_eq!(
        member.tick(s(2.0)).map(|(from, request)| (from, request.edition)),
        Some((at(3), edition(0, 42)))
    );
}

#[test]
fn restarted_generation_count_of_discovery_begins_a_higher_epoch() {
    let mut elected_member = Lists::new("c", "a", false, 1, s(0.0));
    elected_member.from_discovery(s(0.0), 900, b"before");
    elected_member.from_discovery(s(1.0), 3, b"anew");
    assert_eq!(elected_member.holding().map(|held| held.0), Some(edition(1, 3)));
    let mut member = Lists::new("c", "b", true, 2, s(0.0));
    member.restore(edition(0, 900), b"before", None);
    member.announced(s(1.0), at(1), holding(edition(1, 3), b"anew", Micros(0)));
    assert_eq!(
        fetch(&mut member, s(1.0), at(1), &mut elected_member),
        PieceResult::Complete(edition(1, 3), b"anew".to_vec())
    );
}
