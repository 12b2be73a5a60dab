use super::*;

const EDITION: Edition = Edition { epoch: 0, generation: 7 };

fn fetch(bytes: &[u8]) -> Fetch {
    Fetch::new("127.0.0.1:1".parse().unwrap(), EDITION, digest(bytes))
}

#[test]
fn list_is_assembled_from_lost_duplicated_and_reordered_pieces() {
    let mut random = fastrand::Rng::with_seed(5);
    for length in [0, 1, 999, 1_000, 1_001, 8_000, 25_500] {
        let bytes: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(length).collect();
        let (mut fetch, mut now) = (fetch(&bytes), Micros(0));
        let mut under_way: Vec<usize> = Vec::new();
        let mut requests = 0;
        let mut whole = false;
        while !whole {
            now = now.plus(Micros(50_000));
            let mut request = fetch.tick(now).expect("the member answers");
            random.shuffle(&mut under_way);
            for index in std::mem::take(&mut under_way) {
                match fetch.piece(now, index, piece_count(length), piece(&bytes, index).unwrap()) {
                    Progress::Request(next) => request = Some(next),
                    Progress::Complete(all) => {
                        assert_eq!(all, bytes);
                        whole = true;
                        break;
                    }
                    Progress::Waiting => {}
                    Progress::Mismatch => panic!("no piece mismatches"),
                }
            }
            if let Some(PieceRequest { first, mask, .. }) = request {
                requests += 1;
                let sent = (0..PIECES_PER_REQUEST)
                    .filter(|bit| mask & (1 << bit) != 0)
                    .map(|bit| usize::from(first) + bit);
                for index in sent.filter(|&index| index < piece_count(length)) {
                    // One in five is lost; one in five is duplicated.
                    let lot = random.u32(0..5);
                    under_way.extend(std::iter::repeat_n(
                        index,
                        if lot == 0 { 0 } else { 1 + usize::from(lot == 1) },
                    ));
                }
            }
        }
        assert!(
            now < Micros(4_000_000) && requests <= 3 + 3 * piece_count(length),
            "{length}: {now:?} {requests}"
        );
    }
}

#[test]
fn pieces_that_contradict_the_announcement_are_a_mismatch() {
    let bytes = vec![7; 2_500];
    let is_mismatch = |index, count, bytes_of_piece: &[u8]| {
        fetch(&bytes).piece(Micros(0), index, count, bytes_of_piece) == Progress::Mismatch
    };
    assert!(
        is_mismatch(0, 0, &[]) && is_mismatch(3, 3, &[]) && is_mismatch(0, MAX_PIECES + 1, &[0; PIECE_BYTES])
    );
    assert!(is_mismatch(0, 3, &[0; 10]), "a short piece that is not the last");
    let mut transfer = fetch(&bytes);
    assert!(matches!(transfer.piece(Micros(0), 0, 3, &[7; PIECE_BYTES]), Progress::Request(_)));
    assert_eq!(transfer.piece(Micros(0), 1, 4, &[7; PIECE_BYTES]), Progress::Mismatch, "another count");
    let mut transfer = fetch(&bytes);
    transfer.piece(Micros(0), 0, 3, &[7; PIECE_BYTES]);
    transfer.piece(Micros(0), 1, 3, &[8; PIECE_BYTES]);
    assert_eq!(transfer.piece(Micros(0), 2, 3, &[7; 500]), Progress::Mismatch, "another digest");
}

#[test]
fn member_silent_through_three_repetitions_is_abandoned() {
    let mut transfer = fetch(b"x");
    let mut now = Micros(0);
    let mut sent = 0;
    while let Ok(request) = transfer.tick(now) {
        sent += usize::from(request.is_some());
        now = now.plus(Micros(10_000));
    }
    assert_eq!(sent, 4);
    assert!(now < Micros(700_000), "{now:?}");
}
