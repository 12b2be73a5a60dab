//! Transfer of an endpoint list in pieces. Pieces may be lost, duplicated or reordered; the list is
//! valid once it is complete and has the announced digest.

use super::{digest, Edition};
use crate::Micros;
use std::net::SocketAddr;

/// Maximum size of a piece in bytes.
pub const PIECE_BYTES: usize = 1_000;
/// Maximum number of pieces in a request.
pub const PIECES_PER_REQUEST: usize = 8;
/// Maximum number of pieces of a list: four megabytes.
pub const MAX_PIECES: usize = 4_096;
/// A request is repeated if no new piece arrives for this time.
const REPEAT_AFTER: Micros = Micros(150_000);
/// Maximum number of repetitions in a row.
const MAX_REPETITIONS: u32 = 3;

/// Number of pieces of a list of this length in bytes.
pub fn piece_count(length: usize) -> usize {
    length.div_ceil(PIECE_BYTES).max(1)
}

/// Returns one piece of a list.
pub fn piece(bytes: &[u8], index: usize) -> Option<&[u8]> {
    (index < piece_count(bytes.len()))
        .then(|| &bytes[index * PIECE_BYTES..bytes.len().min((index + 1) * PIECE_BYTES)])
}

/// Request for the pieces from `first` on whose bits are set in `mask`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct PieceRequest {
    pub edition: Edition,
    pub first: u16,
    pub mask: u8,
}

/// State of a fetch after a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Requested pieces are missing.
    Waiting,
    /// The next request is to be sent.
    Request(PieceRequest),
    /// The list is complete.
    Complete(Vec<u8>),
    /// The pieces contradict each other or do not match the announced digest: the list must not be
    /// requested from this member again.
    Mismatch,
}

/// The member does not answer: another one is to be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoAnswer;

/// Transfer of a list from one member.
pub struct Fetch {
    /// The member that sends the list.
    pub from: SocketAddr,
    /// The edition requested.
    pub edition: Edition,
    digest: u64,
    /// Empty until the first piece reports the number of pieces.
    pieces: Vec<Option<Vec<u8>>>,
    missing: usize,
    last_request: Option<(Micros, u16, u8)>,
    repetitions: u32,
}

impl Fetch {
    /// Starts a fetch; no request has been sent yet.
    pub fn new(from: SocketAddr, edition: Edition, digest: u64) -> Fetch {
        Fetch { from, edition, digest, pieces: Vec::new(), missing: 1, last_request: None, repetitions: 0 }
    }

    /// Returns the next request.
    pub fn ask(&mut self, now: Micros) -> PieceRequest {
        let first = self.pieces.iter().position(Option::is_none).unwrap_or(0);
        let is_missing = |bit: &usize| match self.pieces.get(first + bit) {
            Some(piece) => piece.is_none(),
            // The number of pieces is unknown until the first one arrives.
            None => self.pieces.is_empty() && *bit == 0,
        };
        let mask = (0..PIECES_PER_REQUEST).filter(is_missing).fold(0, |mask, bit| mask | 1 << bit);
        self.last_request = Some((now, first as u16, mask));
        PieceRequest { edition: self.edition, first: first as u16, mask }
    }

    /// Processes a piece.
    pub fn piece(&mut self, now: Micros, index: usize, count: usize, bytes: &[u8]) -> Progress {
        if count == 0 || count > MAX_PIECES || index >= count || bytes.len() > PIECE_BYTES {
            return Progress::Mismatch;
        }
        if self.pieces.is_empty() {
            self.pieces = vec![None; count];
            self.missing = count;
        }
        let too_short = index + 1 < count && bytes.len() != PIECE_BYTES;
        if self.pieces.len() != count || too_short {
            return Progress::Mismatch;
        }
        if self.pieces[index].is_some() {
            return Progress::Waiting;
        }
        self.pieces[index] = Some(bytes.to_vec());
        self.missing -= 1;
        self.repetitions = 0;
        if self.missing == 0 {
            let whole: Vec<u8> = self.pieces.drain(..).flatten().flatten().collect();
            return if digest(&whole) == self.digest {
                Progress::Complete(whole)
            } else {
                Progress::Mismatch
            };
        }
        let request_complete = self.last_request.is_none_or(|(_, first, mask)| {
            (0..PIECES_PER_REQUEST).all(|bit| {
                mask & (1 << bit) == 0
                    || self.pieces.get(usize::from(first) + bit).is_none_or(Option::is_some)
            })
        });
        if request_complete {
            return Progress::Request(self.ask(now));
        }
        if let Some((at, ..)) = &mut self.last_request {
            *at = now;
        }
        Progress::Waiting
    }

    /// Time at which [`Fetch::tick`] is due.
    pub fn due(&self) -> Micros {
        self.last_request.map_or(Micros(0), |(at, ..)| at.plus(REPEAT_AFTER))
    }

    /// Advances time. Returns the request to repeat, if any, or `Err` if the member is silent.
    pub fn tick(&mut self, now: Micros) -> Result<Option<PieceRequest>, NoAnswer> {
        if now < self.due() {
            return Ok(None);
        }
        if self.last_request.is_some() {
            self.repetitions += 1;
            if self.repetitions > MAX_REPETITIONS {
                return Err(NoAnswer);
            }
        }
        Ok(Some(self.ask(now)))
    }
}

#[cfg(test)]
mod tests;
