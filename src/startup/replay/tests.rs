use super::*;

const DESTINATION: DestinationId = DestinationId(7);
const OTHER: DestinationId = DestinationId(8);

fn ms(ms: u64) -> Micros {
    Micros(ms * 1_000)
}

fn replay_of(seed: u64, count: u32, left: u64) -> Replay {
    Replay::new(ms(0), seed, (0..count).map(|id| (DESTINATION, ms(left + u64::from(id)), MessageId(id))))
}

/// Release times of all messages, in steps of 10 ms, with this many starting members.
fn release_times(replay: &mut Replay, starting: usize) -> Vec<(u64, u32)> {
    let mut released = Vec::new();
    replay.set_starting(starting);
    for step in 0..6_000 {
        released.extend(replay.release(ms(step * 10)).into_iter().map(|id| (step * 10, id.0)));
    }
    assert!(replay.is_empty() && replay.due().is_none());
    released
}

#[test]
fn messages_are_released_by_deadline_and_slower_with_more_starting_members() {
    let alone = release_times(&mut replay_of(1, 20, 60_000), 1);
    assert_eq!(alone.iter().map(|one| one.1).collect::<Vec<_>>(), (0..20).collect::<Vec<_>>());
    assert!(alone[19].0 <= 600, "{alone:?}");
    let with_hundred_starting = release_times(&mut replay_of(1, 20, 60_000), 100);
    assert!(
        with_hundred_starting[0].0 <= 1_000
            && with_hundred_starting[19].0 > 10_000
            && with_hundred_starting[19].0 < 35_000,
        "{with_hundred_starting:?}"
    );
    // With short deadlines, all are released in time.
    let short = release_times(&mut replay_of(1, 20, 10_000), 1_000);
    assert!(short[19].0 <= 8_100, "{short:?}");
}

#[test]
fn releases_of_a_hundred_starting_members_are_spread() {
    let mut seconds = [0; 12];
    for seed in 0..100 {
        // The first one is released at once; its time is that of the destination's first call.
        for (at, _) in release_times(&mut replay_of(seed, 5, 12_000), 100).into_iter().skip(1) {
            seconds[(at / 1_000) as usize] += 1;
        }
    }
    // 400 over 6 s would be 67 a second if they were spread evenly.
    assert!(seconds.iter().all(|&count| count <= 130), "{seconds:?}");
}

#[test]
fn submitted_message_precedes_held_messages_of_its_destination() {
    let both = [(DESTINATION, ms(60_000), MessageId(1)), (OTHER, ms(60_000), MessageId(2))];
    let mut replay = Replay::new(ms(0), 1, both.into_iter());
    replay.submitted(DESTINATION, MessageId(9));
    assert_eq!(
        replay.release(ms(1_000)),
        [MessageId(2)],
        "messages for another destination do not wait for it"
    );
    assert_eq!(replay.release(ms(20_000)), []);
    assert!(replay.due().is_some_and(|due| due >= ms(24_000) && due <= ms(48_000)));
    replay.sent_or_ended(DESTINATION, MessageId(9));
    assert_eq!(replay.release(ms(20_000)), [MessageId(1)]);
}

#[test]
fn message_is_released_within_four_fifths_of_its_remaining_time() {
    let mut replay = replay_of(3, 50, 10_000);
    replay.submitted(DESTINATION, MessageId(99));
    let mut released: Vec<MessageId> = replay.release(ms(4_000));
    assert!(released.is_empty(), "{released:?}");
    released.extend(replay.release(ms(8_040)));
    released.sort();
    released.dedup();
    assert_eq!((released.len(), replay.is_empty()), (50, true), "each is released once");
    assert_eq!(replay_of(1, 5, 0).release(ms(10)).len(), 5, "messages without time are released at once");
}
