use super::*;
use proptest::prelude::*;

const DESTINATION: DestinationId = DestinationId(1);
const TARGET_TIME: u64 = 2_000;
const TIME_TO_DEADLINE: u64 = 10_000;

fn message(target_time: u64, ready_at: u64) -> WaitingMessage {
    WaitingMessage {
        destination: DESTINATION,
        class: 0,
        tenant: 0,
        target_time: Micros(target_time),
        deadline: Micros(target_time + TIME_TO_DEADLINE),
        ends_at: Micros(target_time + TIME_TO_DEADLINE),
        ready_at: Micros(ready_at),
        ordered: false,
        recovered: target_time.is_multiple_of(3),
    }
}

/// Worth at a time under either kind of worth decay in the settings.
fn worth(target_time: u64, at: u64, halves: bool, late_share: f64) -> f64 {
    let late = at.saturating_sub(target_time) as f64;
    let left = if halves {
        0.5f64.powf(late / TARGET_TIME as f64)
    } else {
        1.0 - (1.0 - late_share) * (late / TIME_TO_DEADLINE as f64).min(1.0)
    };
    if late > 0.0 {
        left.max(late_share)
    } else {
        1.0
    }
}

proptest! {
    /// The message that gains most from being sent now is among the candidates, whatever messages there are.
    #[test]
    fn candidates_include_the_best_message(
        target_times in proptest::collection::btree_set(0u64..40_000, 1..60),
        (at, horizon, halves, late_share) in (0u64..45_000, 1u64..8_000, any::<bool>(), 0.0f64..0.6),
        excluded_ids in proptest::collection::btree_set(0u32..60, 0..6),
    ) {
        let later = at + horizon;
        let gain = |target_time: u64| {
            let waits = if later < target_time + TIME_TO_DEADLINE { worth(target_time, later, halves, late_share) } else { 0.0 };
            worth(target_time, at, halves, late_share) - waits + 1e-3 * worth(target_time, at, halves, late_share)
        };
        let target_times: Vec<u64> = target_times.into_iter().collect();
        let mut waiting = WaitingMessages::default();
        for (id, &target_time) in target_times.iter().enumerate() {
            waiting.insert(MessageId(id as u32), message(target_time, 0), Micros(1));
        }
        let excluded: BTreeSet<MessageId> = excluded_ids.into_iter().map(MessageId).collect();
        let fits = |id: &usize| !excluded.contains(&MessageId(*id as u32));
        let best = (0..target_times.len()).filter(fits).map(|id| gain(target_times[id])).fold(-1.0, f64::max);
        let candidates = waiting.candidates(DESTINATION, (Micros(at), Micros(later)), &excluded);
        let most = candidates.iter().map(|(_, id)| gain(target_times[id.0 as usize])).fold(-1.0, f64::max);
        prop_assert!((best - most).abs() < 1e-9, "{best} of all, {most} of the candidates");
    }

    /// After insertions, updates and removals in any order, each message is in exactly one index, and none
    /// remains.
    #[test]
    fn removed_messages_remain_in_no_index(operations in proptest::collection::vec((0u32..20, 0u64..50, 0u64..50, 0u8..4), 1..120)) {
        let mut waiting = WaitingMessages::default();
        let mut naive: BTreeMap<MessageId, (WaitingMessage, bool)> = BTreeMap::new();
        let mut now = 0;
        for (id, target_time, backoff, operation) in operations {
            now += 1;
            let id = MessageId(id);
            match operation {
                0 | 1 => {
                    waiting.insert(id, message(target_time, now + backoff), Micros(now));
                    naive.insert(id, (message(target_time, now + backoff), backoff == 0));
                }
                2 => {
                    waiting.remove(id);
                    naive.remove(&id);
                }
                _ => {
                    waiting.end_backoffs(Micros(now));
                    naive.values_mut().for_each(|(message, ready)| *ready |= message.ready_at <= Micros(now));
                }
            }
            let ready = naive.values().filter(|(_, ready)| *ready).count();
            let queued: usize = waiting.ready.values().flat_map(|c| c.values()).map(|queue| queue.by_target_time.len()).sum();
            prop_assert_eq!(queued, ready);
            prop_assert_eq!(waiting.in_backoff.len(), naive.len() - ready);
            prop_assert_eq!((waiting.outcome_due.len(), waiting.messages.len()), (naive.len(), naive.len()));
            let first = naive.values().map(|(message, _)| message.ends_at).min();
            prop_assert_eq!(waiting.next_due(&FairScheduler::default()).0, first);
            let recovered = naive.iter().filter(|(_, (message, ready))| message.recovered && *ready);
            prop_assert_eq!(waiting.recovered_of(DESTINATION).count(), recovered.clone().count());
            let least = recovered.map(|(id, (message, _))| (message.deadline, *id)).min();
            prop_assert_eq!(waiting.first_recovered(DESTINATION, 0, &BTreeSet::new()), least.map(|(at, id)| (id, at)));
        }
        for id in naive.into_keys() {
            waiting.remove(id);
        }
        prop_assert!(waiting.ready.is_empty() && waiting.outcome_due.is_empty());
        prop_assert!(waiting.recovered.is_empty());
    }

    #[test]
    fn ranking_returns_the_highest_score(sets in proptest::collection::vec((0u64..9, proptest::option::of(0u32..6)), 1..80)) {
        let mut ranking = Ranking::default();
        let mut naive = BTreeMap::new();
        for (now, (destination, score)) in sets.into_iter().enumerate() {
            let id = MessageId(now as u32);
            let tenant = (destination % 2) as usize;
            let scores = score.map(|score| (tenant, (f64::from(score), id)));
            ranking.set(DestinationId(destination), scores, Micros(now as u64));
            match score {
                Some(score) => naive.insert(destination, (score, id)),
                None => naive.remove(&destination),
            };
            let highest = naive.values().max_by_key(|(score, id)| (*score, std::cmp::Reverse(*id)));
            prop_assert_eq!(ranking.highest(|_| true).map(|(_, id, _)| id), highest.map(|(_, id)| *id));
            prop_assert_eq!(ranking.scores.len(), ranking.order.values().map(BTreeSet::len).sum::<usize>());
            prop_assert_eq!(ranking.scores.len(), ranking.by_age.len());
        }
    }
}
