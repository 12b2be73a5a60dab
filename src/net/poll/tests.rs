use super::*;

const NOW: Micros = Micros(7_000_000);

#[test]
fn a_clock_that_follows_another_counts_what_went_by_in_between() {
    let ago = |us| Some(wall_clock().minus(Micros(us)));
    let late = |then| Clock::continue_from(NOW, then).now().minus(NOW);
    assert!(late(ago(300_000)) >= Micros(300_000), "three tenths of a second to hand over");
    assert!(late(ago(300_000)) < Micros(1_300_000));
    // The system's clock was set while they spoke: back, or an hour on.
    assert!(late(Some(wall_clock().plus(Micros(3_600_000_000)))) < Micros(1_000_000));
    assert!(late(ago(3_600_000_000)) < MAX_HANDOVER_TIME.plus(Micros(1_000_000)));
    // A version before this told none.
    assert!(late(None) < Micros(1_000_000));
}

#[test]
fn one_look_tells_of_all_that_is_ready() {
    let mut poll = Poll::new().unwrap();
    let pairs: Vec<_> = (0..300).map(|_| std::os::unix::net::UnixStream::pair().unwrap()).collect();
    for (number, (one, other)) in pairs.iter().enumerate() {
        poll.add(one, number as u64, false).unwrap();
        std::io::Write::write_all(&mut &*other, b"x").unwrap();
    }
    assert_eq!(poll.wait(Duration::from_secs(1)).len(), 300);
}
