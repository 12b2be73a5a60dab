use super::*;
use proptest::prelude::*;

const HOME: DestinationId = DestinationId(1);
const AIM: u64 = 2_000;
const SPAN: u64 = 10_000;

fn spot(aim: u64, ready_at: u64) -> WaitingMessage {
    WaitingMessage {
        destination: HOME,
        class: 0,
        tenant: 0,
        target_time: Micros(aim),
        deadline: Micros(aim + SPAN),
        ends_at: Micros(aim + SPAN),
        ready_at: Micros(ready_at),
        ordered: false,
        recovered: aim.is_multiple_of(3),
    }
}

/// Worth at a time, as the settings' two fades have it.
fn worth(aim: u64, at: u64, halves: bool, kept: f64) -> f64 {
    let late = at.saturating_sub(aim) as f64;
    let left = if halves {
        0.5f64.powf(late / AIM as f64)
    } else {
        1.0 - (1.0 - kept) * (late / SPAN as f64).min(1.0)
    };
    if late > 0.0 {
        left.max(kept)
    } else {
        1.0
    }
}

proptest! {
    /// What gains most by going now is among the contenders, whatever messages there are.
    #[test]
    fn the_best_of_all_is_among_the_contenders(
        aims in proptest::collection::btree_set(0u64..40_000, 1..60),
        (at, horizon, halves, kept) in (0u64..45_000, 1u64..8_000, any::<bool>(), 0.0f64..0.6),
        set_aside in proptest::collection::btree_set(0u32..60, 0..6),
    ) {
        let later = at + horizon;
        let gain = |aim: u64| {
            let waits = if later < aim + SPAN { worth(aim, later, halves, kept) } else { 0.0 };
            worth(aim, at, halves, kept) - waits + 1e-3 * worth(aim, at, halves, kept)
        };
        let aims: Vec<u64> = aims.into_iter().collect();
        let mut waiting = WaitingMessages::default();
        for (id, &aim) in aims.iter().enumerate() {
            waiting.insert(MessageId(id as u32), spot(aim, 0), Micros(1));
        }
        let aside: BTreeSet<MessageId> = set_aside.into_iter().map(MessageId).collect();
        let fits = |id: &usize| !aside.contains(&MessageId(*id as u32));
        let best = (0..aims.len()).filter(fits).map(|id| gain(aims[id])).fold(-1.0, f64::max);
        let found = waiting.candidates(HOME, (Micros(at), Micros(later)), &aside);
        let most = found.iter().map(|(_, id)| gain(aims[id.0 as usize])).fold(-1.0, f64::max);
        prop_assert!((best - most).abs() < 1e-9, "{best} of all, {most} of the contenders");
    }

    /// Put, moved and taken in any order, each message stands in one place, and nothing is left behind.
    #[test]
    fn nothing_is_left_behind(deeds in proptest::collection::vec((0u32..20, 0u64..50, 0u64..50, 0u8..4), 1..120)) {
        let mut waiting = WaitingMessages::default();
        let mut naive: BTreeMap<MessageId, (WaitingMessage, bool)> = BTreeMap::new();
        let mut now = 0;
        for (id, aim, rest, deed) in deeds {
            now += 1;
            let id = MessageId(id);
            match deed {
                0 | 1 => {
                    waiting.insert(id, spot(aim, now + rest), Micros(now));
                    naive.insert(id, (spot(aim, now + rest), rest == 0));
                }
                2 => {
                    waiting.remove(id);
                    naive.remove(&id);
                }
                _ => {
                    waiting.end_backoffs(Micros(now));
                    naive.values_mut().for_each(|(spot, ready)| *ready |= spot.ready_at <= Micros(now));
                }
            }
            let ready = naive.values().filter(|(_, ready)| *ready).count();
            let lined: usize = waiting.ready.values().flat_map(|c| c.values()).map(|line| line.by_aim.len()).sum();
            prop_assert_eq!(lined, ready);
            prop_assert_eq!(waiting.resting.len(), naive.len() - ready);
            prop_assert_eq!((waiting.ends.len(), waiting.spots.len()), (naive.len(), naive.len()));
            let first = naive.values().map(|(spot, _)| spot.ends_at).min();
            prop_assert_eq!(waiting.next_due(&FairScheduler::default()).0, first);
            let found = naive.iter().filter(|(_, (spot, ready))| spot.recovered && *ready);
            prop_assert_eq!(waiting.recovered_of(HOME).count(), found.clone().count());
            let least = found.map(|(id, (spot, _))| (spot.deadline, *id)).min();
            prop_assert_eq!(waiting.first_recovered(HOME, 0, &BTreeSet::new()), least.map(|(at, id)| (id, at)));
        }
        for id in naive.into_keys() {
            waiting.remove(id);
        }
        prop_assert!(waiting.ready.is_empty() && waiting.ends.is_empty());
        prop_assert!(waiting.found.is_empty());
    }

    #[test]
    fn ranks_give_the_highest(sets in proptest::collection::vec((0u64..9, proptest::option::of(0u32..6)), 1..80)) {
        let mut ranks = Ranking::default();
        let mut naive = BTreeMap::new();
        for (now, (destination, figure)) in sets.into_iter().enumerate() {
            let id = MessageId(now as u32);
            let tenant = (destination % 2) as usize;
            let told = figure.map(|figure| (tenant, (f64::from(figure), id)));
            ranks.set(DestinationId(destination), told, Micros(now as u64));
            match figure {
                Some(figure) => naive.insert(destination, (figure, id)),
                None => naive.remove(&destination),
            };
            let highest = naive.values().max_by_key(|(figure, id)| (*figure, std::cmp::Reverse(*id)));
            prop_assert_eq!(ranks.highest(|_| true).map(|(_, id, _)| id), highest.map(|(_, id)| *id));
            prop_assert_eq!(ranks.of.len(), ranks.order.values().map(BTreeSet::len).sum::<usize>());
            prop_assert_eq!(ranks.of.len(), ranks.by_age.len());
        }
    }
}
