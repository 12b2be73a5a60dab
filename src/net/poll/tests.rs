use super::*;

const NOW: Micros = Micros(7_000_000);

#[test]
fn continued_clock_counts_the_time_of_the_handover() {
    let ago = |us| Some(wall_clock().minus(Micros(us)));
    let advance = |then| Clock::continue_from(NOW, then).now().minus(NOW);
    assert!(advance(ago(300_000)) >= Micros(300_000), "the handover took 300 ms");
    assert!(advance(ago(300_000)) < Micros(1_300_000));
    // The system's clock was set during the handover: back, or an hour ahead.
    assert!(advance(Some(wall_clock().plus(Micros(3_600_000_000)))) < Micros(1_000_000));
    assert!(advance(ago(3_600_000_000)) < MAX_HANDOVER_TIME.plus(Micros(1_000_000)));
    // An older version does not hand over the wall clock.
    assert!(advance(None) < Micros(1_000_000));
}

#[test]
fn wait_returns_all_ready_sockets() {
    let mut poll = Poll::new().unwrap();
    let pairs: Vec<_> = (0..300).map(|_| std::os::unix::net::UnixStream::pair().unwrap()).collect();
    for (number, (one, other)) in pairs.iter().enumerate() {
        poll.add(one, number as u64, false).unwrap();
        std::io::Write::write_all(&mut &*other, b"x").unwrap();
    }
    assert_eq!(poll.wait(Duration::from_secs(1)).len(), 300);
}
