//! A list in pieces: what the holder gives out, and how whoever asks for it puts it together. Pieces may be lost, come
//! twice or out of order; the list counts once it is whole and its digest is the one that was announced.

use super::{digest, Edition};
use crate::Micros;
use std::net::SocketAddr;

/// Bytes of a piece.
pub const PIECE: usize = 1_000;
/// Pieces of one request at most.
pub const WINDOW: usize = 8;
/// Pieces of a list at most: four megabytes.
pub const MOST_PIECES: usize = 4_096;
/// A request without a new piece for so long is repeated...
const PATIENCE: Micros = Micros(150_000);
/// ...so many times in a row.
const SILENCES: u32 = 3;

/// So many pieces has a list.
pub fn pieces(length: usize) -> usize {
    length.div_ceil(PIECE).max(1)
}

/// One piece of a list.
pub fn piece(bytes: &[u8], index: usize) -> Option<&[u8]> {
    (index < pieces(bytes.len())).then(|| &bytes[index * PIECE..bytes.len().min((index + 1) * PIECE)])
}

/// What a fetch asks for: the pieces from `first` on whose bits are set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Wanted {
    pub edition: Edition,
    pub first: u16,
    pub mask: u8,
}

/// How a fetch stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Pieces are missing.
    Waiting,
    /// The next are to be asked for.
    Ask(Wanted),
    /// All are there.
    Whole(Vec<u8>),
    /// They do not make up what was announced, or contradict each other: whoever gave them is not to be asked again.
    Torn,
}

/// The member does not answer: another is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silent;

/// A list that is being put together, from one member.
pub struct Fetch {
    /// Who gives it.
    pub from: SocketAddr,
    /// Which.
    pub edition: Edition,
    digest: u64,
    /// As many as there are, once the first has told.
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
    asked: Option<(Micros, u16, u8)>,
    silences: u32,
}

impl Fetch {
    /// Begins; nothing has been asked yet.
    pub fn new(from: SocketAddr, edition: Edition, digest: u64) -> Fetch {
        Fetch { from, edition, digest, parts: Vec::new(), missing: 1, asked: None, silences: 0 }
    }

    /// The next request.
    pub fn ask(&mut self, now: Micros) -> Wanted {
        let first = self.parts.iter().position(Option::is_none).unwrap_or(0);
        let open = |bit: &usize| match self.parts.get(first + bit) {
            Some(part) => part.is_none(),
            // Nothing is known of how many there are: the first one tells.
            None => self.parts.is_empty() && *bit == 0,
        };
        let mask = (0..WINDOW).filter(open).fold(0, |mask, bit| mask | 1 << bit);
        self.asked = Some((now, first as u16, mask));
        Wanted { edition: self.edition, first: first as u16, mask }
    }

    /// A piece came.
    pub fn piece(&mut self, now: Micros, index: usize, count: usize, bytes: &[u8]) -> Progress {
        if count == 0 || count > MOST_PIECES || index >= count || bytes.len() > PIECE {
            return Progress::Torn;
        }
        if self.parts.is_empty() {
            self.parts = vec![None; count];
            self.missing = count;
        }
        let short = index + 1 < count && bytes.len() != PIECE;
        if self.parts.len() != count || short {
            return Progress::Torn;
        }
        if self.parts[index].is_some() {
            return Progress::Waiting;
        }
        self.parts[index] = Some(bytes.to_vec());
        self.missing -= 1;
        self.silences = 0;
        if self.missing == 0 {
            let whole: Vec<u8> = self.parts.drain(..).flatten().flatten().collect();
            return if digest(&whole) == self.digest { Progress::Whole(whole) } else { Progress::Torn };
        }
        let all_there = self.asked.is_none_or(|(_, first, mask)| {
            (0..WINDOW).all(|bit| {
                mask & (1 << bit) == 0 || self.parts.get(usize::from(first) + bit).is_none_or(Option::is_some)
            })
        });
        if all_there {
            return Progress::Ask(self.ask(now));
        }
        if let Some((at, ..)) = &mut self.asked {
            *at = now;
        }
        Progress::Waiting
    }

    /// When it is to be looked at again.
    pub fn due(&self) -> Micros {
        self.asked.map_or(Micros(0), |(at, ..)| at.plus(PATIENCE))
    }

    /// Time passes: the request to repeat, if any; `Err` where the member is silent.
    pub fn tick(&mut self, now: Micros) -> Result<Option<Wanted>, Silent> {
        if now < self.due() {
            return Ok(None);
        }
        if self.asked.is_some() {
            self.silences += 1;
            if self.silences > SILENCES {
                return Err(Silent);
            }
        }
        Ok(Some(self.ask(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EDITION: Edition = Edition { epoch: 0, generation: 7 };

    fn fetch(bytes: &[u8]) -> Fetch {
        Fetch::new("127.0.0.1:1".parse().unwrap(), EDITION, digest(bytes))
    }

    #[test]
    fn a_list_comes_together_though_pieces_are_lost_repeated_and_out_of_order() {
        let mut random = fastrand::Rng::with_seed(5);
        for length in [0, 1, 999, 1_000, 1_001, 8_000, 25_500] {
            let bytes: Vec<u8> = std::iter::repeat_with(|| random.u8(..)).take(length).collect();
            let (mut fetch, mut now) = (fetch(&bytes), Micros(0));
            let mut under_way: Vec<usize> = Vec::new();
            let mut asks = 0;
            let mut whole = false;
            while !whole {
                now = now.plus(Micros(50_000));
                let mut wanted = fetch.tick(now).expect("the member answers");
                random.shuffle(&mut under_way);
                for index in std::mem::take(&mut under_way) {
                    match fetch.piece(now, index, pieces(length), piece(&bytes, index).unwrap()) {
                        Progress::Ask(next) => wanted = Some(next),
                        Progress::Whole(all) => {
                            assert_eq!(all, bytes);
                            whole = true;
                            break;
                        }
                        Progress::Waiting => {}
                        Progress::Torn => panic!("nothing is torn"),
                    }
                }
                if let Some(Wanted { first, mask, .. }) = wanted {
                    asks += 1;
                    let asked =
                        (0..WINDOW).filter(|bit| mask & (1 << bit) != 0).map(|bit| usize::from(first) + bit);
                    for index in asked.filter(|&index| index < pieces(length)) {
                        // One in five is lost; one in five comes twice.
                        let lot = random.u32(0..5);
                        under_way.extend(std::iter::repeat_n(
                            index,
                            if lot == 0 { 0 } else { 1 + usize::from(lot == 1) },
                        ));
                    }
                }
            }
            assert!(now < Micros(4_000_000) && asks <= 3 + 3 * pieces(length), "{length}: {now:?} {asks}");
        }
    }

    #[test]
    fn what_is_not_what_was_announced_is_torn() {
        let bytes = vec![7; 2_500];
        let torn =
            |index, count, part: &[u8]| fetch(&bytes).piece(Micros(0), index, count, part) == Progress::Torn;
        assert!(torn(0, 0, &[]) && torn(3, 3, &[]) && torn(0, MOST_PIECES + 1, &[0; PIECE]));
        assert!(torn(0, 3, &[0; 10]), "a short piece that is not the last");
        let mut one = fetch(&bytes);
        assert!(matches!(one.piece(Micros(0), 0, 3, &[7; PIECE]), Progress::Ask(_)));
        assert_eq!(one.piece(Micros(0), 1, 4, &[7; PIECE]), Progress::Torn, "another count");
        let mut one = fetch(&bytes);
        one.piece(Micros(0), 0, 3, &[7; PIECE]);
        one.piece(Micros(0), 1, 3, &[8; PIECE]);
        assert_eq!(one.piece(Micros(0), 2, 3, &[7; 500]), Progress::Torn, "another digest");
    }

    #[test]
    fn a_member_that_is_silent_three_times_is_given_up() {
        let mut one = fetch(b"x");
        let mut now = Micros(0);
        let mut asked = 0;
        while let Ok(wanted) = one.tick(now) {
            asked += usize::from(wanted.is_some());
            now = now.plus(Micros(10_000));
        }
        assert_eq!(asked, 4);
        assert!(now < Micros(700_000), "{now:?}");
    }
}
