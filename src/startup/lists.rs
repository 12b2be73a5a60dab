//! Exchange of the endpoint list from one member's view: whether the member may call discovery,
//! from which member it fetches a newer edition, and what it sends to others.

use super::transfer::{self, Fetch, PieceRequest, Progress};
use super::{digest, elect, Edition, Holding};
use crate::tenancy::rate::{ArrivalLimiter, Rate};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Range of the random delay, in microseconds, before an elected member that has joined calls
/// discovery: another member may have a list by then.
const ELECTED_DELAY: (u64, u64) = (500_000, 1_500_000);
/// Range of the random delay, in microseconds, before a member calls discovery that gets no answer
/// from any member or no confirmation.
const UNANSWERED_DELAY: (u64, u64) = (2_000_000, 4_000_000);
/// Range of the random delay, in microseconds, after which a member that receives no further
/// confirmation calls discovery once itself.
const UNCONFIRMED_DELAY: (u64, u64) = (12_000_000, 20_000_000);
/// Of the members that call discovery without being elected, one does so in this time
/// (microseconds), however many there are. The answer to the first one reaches the others. If
/// discovery answers none, the whole fleet would otherwise call it within the same few seconds.
const CALL_SPACING: u64 = 250_000;
/// Maximum number of members kept as sources of the newest edition.
const MAX_SOURCES: usize = 8;
/// A member whose list was malformed is not asked for that edition again. This is the maximum
/// number of such members remembered.
const MAX_BARRED: usize = 64;

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[allow(missing_docs)]
pub struct Stats {
    /// Lists accepted from members.
    pub taken: u64,
    /// Requests for pieces sent, and pieces sent to others (`given`).
    pub asked: u64,
    pub given: u64,
    /// Lists from members that did not match their digest or could not be read.
    pub torn: u64,
    /// Members that stopped answering during a fetch.
    pub silent: u64,
    /// Requests for pieces that exceeded the rate limit and were not answered.
    pub unanswered: u64,
}

/// Result of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceResult {
    /// No action.
    Nothing,
    /// Send the next request.
    Request(SocketAddr, PieceRequest),
    /// The list is complete. It is to be parsed, and then reported by [`Lists::accepted`] or
    /// [`Lists::rejected`].
    Complete(Edition, Vec<u8>),
    /// The list did not match its announcement: log this.
    Mismatch(SocketAddr),
}

/// Wait of a member that is not elected, before it calls discovery.
#[derive(Clone, Copy)]
struct FallbackDelay {
    from: Micros,
    least: u64,
    most: u64,
    /// Position between `least` and `most`, or beyond where there are many members: 0 to 1.
    position: f64,
}

impl FallbackDelay {
    fn begin(from: Micros, (least, most): (u64, u64), random: &mut fastrand::Rng) -> FallbackDelay {
        FallbackDelay { from, least, most, position: random.f64() }
    }

    /// Time from which it calls discovery, as one of `members` members.
    fn ends_at(&self, members: usize) -> Micros {
        let span = (self.most - self.least).max(CALL_SPACING * members as u64);
        self.from.plus(Micros(self.least + (self.position * span as f64) as u64))
    }
}

/// Rate limit of answered requests for pieces; each is answered with up to eight pieces. A member
/// without an answer repeats its request and then asks another member. The limit is far above the
/// requests of a fleet that starts at once, and bounds the share of the loop that a flood of
/// requests takes.
const REQUEST_RATE: Rate = Rate { per_second: 200.0, burst: 64 };

struct Held {
    edition: Edition,
    digest: u64,
    bytes: Rc<[u8]>,
}

impl Held {
    fn new(edition: Edition, bytes: &[u8]) -> Option<Held> {
        Some(Held { edition, digest: digest(bytes), bytes: bytes.into() })
    }
}

/// State of the list exchange of one member.
pub struct Lists {
    cluster: String,
    me: String,
    random: fastrand::Rng,
    held: Option<Held>,
    fetch: Option<Fetch>,
    /// Source and edition of a complete list that is being parsed.
    parsing: Option<(SocketAddr, Edition)>,
    /// Members that hold the newest edition that is not held here, and its digest.
    sources: Vec<(SocketAddr, Edition, u64)>,
    barred: BTreeMap<SocketAddr, Edition>,
    elected: bool,
    joined: bool,
    /// Time from which an elected member calls discovery.
    call_from: Micros,
    /// Without confirmations, the member calls discovery after this wait even if it is not elected.
    fallback: FallbackDelay,
    /// Number of live members, including this one.
    members: usize,
    /// Time at which discovery last confirmed the held list to any member.
    confirmed: Option<Micros>,
    /// Rate limiter of the requests for pieces.
    requests: ArrivalLimiter,
    /// Counters.
    pub stats: Stats,
}

impl Lists {
    /// Creates the state at the start of a member. `seeded`: it knows other members to ask, and waits
    /// for their answers.
    pub fn new(cluster: &str, me: &str, seeded: bool, seed: u64, now: Micros) -> Lists {
        let mut random = fastrand::Rng::with_seed(seed);
        let fallback = FallbackDelay::begin(now, if seeded { UNANSWERED_DELAY } else { (0, 0) }, &mut random);
        let call_from = if seeded { fallback.ends_at(1) } else { now };
        let mut requests = ArrivalLimiter::default();
        requests.configure(vec![Some(REQUEST_RATE)]);
        Lists {
            cluster: cluster.to_owned(),
            me: me.to_owned(),
            random,
            held: None,
            fetch: None,
            parsing: None,
            sources: Vec::new(),
            barred: BTreeMap::new(),
            elected: !seeded,
            joined: !seeded,
            call_from,
            fallback,
            members: if seeded { 1 } else { 0 },
            confirmed: None,
            requests,
            stats: Stats::default(),
        }
    }

    /// Edition, digest and last confirmation of the held list, to be announced to the other members.
    pub fn holding(&self) -> Option<(Edition, u64, Option<Micros>)> {
        self.held.as_ref().map(|held| (held.edition, held.digest, self.confirmed))
    }

    /// The held list, to be cached in the state folder.
    pub fn held(&self) -> Option<(Edition, Rc<[u8]>)> {
        self.held.as_ref().map(|held| (held.edition, held.bytes.clone()))
    }

    /// Time at which discovery last confirmed the list, to this member or another.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Whether this member is elected to call discovery.
    pub fn elected(&self) -> bool {
        self.elected
    }

    /// Updates the live members other than this one. Cost: the number of members.
    pub fn members_changed<'a>(&mut self, now: Micros, others: impl Iterator<Item = &'a str>) {
        let mut count = 0;
        let counted = others.inspect(|_| count += 1);
        self.elected = elect::elected(&self.cluster, &self.me, counted);
        self.members = 1 + count;
        if count > 0 && !self.joined {
            self.joined = true;
            self.call_from = now.plus(Micros(self.random.u64(ELECTED_DELAY.0..=ELECTED_DELAY.1)));
        }
    }

    /// Whether discovery may be called now.
    pub fn may_call_discovery(&self, now: Micros) -> bool {
        // A member that has met no other in its time acts as a fleet of one.
        let may_call = self.elected || !self.joined;
        (may_call && now >= self.call_from && self.fetch.is_none()) || now >= self.fallback_at()
    }

    fn fallback_at(&self) -> Micros {
        self.fallback.ends_at(self.members)
    }

    /// Time at which the results of [`Lists::may_call_discovery`] or [`Lists::tick`] change by
    /// themselves.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let call = [self.call_from, self.fallback_at()].into_iter().filter(|&at| at > now).min();
        let fetch = self.fetch.as_ref().map(Fetch::due);
        call.into_iter().chain(fetch).min()
    }

    /// Records that a call to discovery has begun. A member that is not elected calls once: if
    /// discovery answers no member, all members of a fleet would otherwise call it in turn.
    pub fn discovery_called(&mut self, now: Micros) {
        if now >= self.fallback_at() {
            self.fallback = FallbackDelay::begin(now, UNCONFIRMED_DELAY, &mut self.random);
        }
    }

    /// Records a confirmation by discovery at that time, to this member or another.
    fn confirm(&mut self, at: Micros) {
        self.confirmed = Some(self.confirmed.map_or(at, |before| before.max(at)));
        // The random position stays until the member has called: the latest of many draws would be the same
        // for all members.
        let next = FallbackDelay {
            from: at,
            least: UNCONFIRMED_DELAY.0,
            most: UNCONFIRMED_DELAY.1,
            ..self.fallback
        };
        if next.ends_at(self.members) > self.fallback_at() {
            self.fallback = next;
        }
    }

    /// Records an answer of discovery: the complete list and its generation.
    pub fn from_discovery(&mut self, now: Micros, generation: u64, bytes: &[u8]) {
        let edition = match &self.held {
            Some(held) if generation >= held.edition.generation => Edition { generation, ..held.edition },
            // Discovery has restarted its count: all members have to accept this list now.
            Some(held) => Edition { epoch: held.edition.epoch.saturating_add(1), generation },
            None => Edition { epoch: 0, generation },
        };
        let newest = self.sources.first().map(|&(_, newest, _)| newest);
        if newest.is_none_or(|newest| newest <= edition) {
            self.sources.clear();
            self.fetch = None;
        }
        self.held = Held::new(edition, bytes);
        self.confirm(now);
    }

    /// Records an answer of discovery that the held list is unchanged.
    pub fn unchanged(&mut self, now: Micros) {
        self.confirm(now);
    }

    /// Restores the list that was cached or configured, before any call.
    pub fn restore(&mut self, edition: Edition, bytes: &[u8], confirmed: Option<Micros>) {
        self.held = Held::new(edition, bytes);
        self.confirmed = confirmed;
    }

    /// Processes a member's announcement of its list. `at` is the address to request it from.
    pub fn announced(&mut self, now: Micros, at: SocketAddr, holding: Holding) {
        let Holding { edition, digest: announced_digest, age } = holding;
        let held = self.held.as_ref().map(|held| held.edition);
        let confirmed = now.minus(age);
        if held == Some(edition) {
            if age < Micros(UNCONFIRMED_DELAY.1) && self.confirmed.is_none_or(|before| before < confirmed) {
                self.confirm(confirmed);
            }
            return;
        }
        let newest = self.sources.first().map(|&(_, newest, _)| newest);
        if held > Some(edition) || newest > Some(edition) || self.barred.get(&at) == Some(&edition) {
            return;
        }
        if newest < Some(edition) {
            self.sources.clear();
        }
        if self.sources.len() < MAX_SOURCES && !self.sources.iter().any(|&(source, ..)| source == at) {
            self.sources.push((at, edition, announced_digest));
        }
    }

    /// Advances time. Returns the request for pieces to send, and to which member.
    pub fn tick(&mut self, now: Micros) -> Option<(SocketAddr, PieceRequest)> {
        if let Some(fetch) = &mut self.fetch {
            match fetch.tick(now) {
                Ok(request) => {
                    self.stats.asked += u64::from(request.is_some());
                    return request.map(|request| (fetch.from, request));
                }
                Err(transfer::NoAnswer) => {
                    self.stats.silent += 1;
                    self.fetch = None;
                }
            }
        }
        if self.parsing.is_some() || self.sources.is_empty() {
            return None;
        }
        // A random source: otherwise all members of a fleet would ask the first one.
        let pick = self.random.usize(..self.sources.len());
        let (from, edition, announced_digest) = self.sources.swap_remove(pick);
        let mut fetch = Fetch::new(from, edition, announced_digest);
        let request = fetch.ask(now);
        self.fetch = Some(fetch);
        self.stats.asked += 1;
        Some((from, request))
    }

    /// Processes a piece from a member.
    pub fn piece(
        &mut self,
        now: Micros,
        from: SocketAddr,
        (edition, index, count): (Edition, usize, usize),
        bytes: &[u8],
    ) -> PieceResult {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from && fetch.edition == edition)
        else {
            return PieceResult::Nothing;
        };
        match fetch.piece(now, index, count, bytes) {
            Progress::Waiting => PieceResult::Nothing,
            Progress::Request(request) => {
                self.stats.asked += 1;
                PieceResult::Request(from, request)
            }
            Progress::Complete(whole) => {
                self.fetch = None;
                self.parsing = Some((from, edition));
                PieceResult::Complete(edition, whole)
            }
            Progress::Mismatch => {
                self.fetch = None;
                self.bar(from, edition);
                PieceResult::Mismatch(from)
            }
        }
    }

    fn bar(&mut self, from: SocketAddr, edition: Edition) {
        self.stats.torn += 1;
        if self.barred.len() >= MAX_BARRED {
            self.barred.pop_first();
        }
        self.barred.insert(from, edition);
    }

    /// The complete list could be parsed and is in force.
    pub fn accepted(&mut self, edition: Edition, bytes: Vec<u8>) {
        self.parsing = None;
        self.sources.retain(|&(_, announced, _)| announced > edition);
        self.stats.taken += 1;
        self.held = Held::new(edition, &bytes);
    }

    /// The complete list could not be parsed.
    pub fn rejected(&mut self) {
        if let Some((from, edition)) = self.parsing.take() {
            self.bar(from, edition);
        }
    }

    /// Pieces that a member requests, each with its index and the number of pieces.
    pub fn send_pieces(&mut self, now: Micros, request: PieceRequest) -> Vec<(u16, u16, &[u8])> {
        let Some(Held { edition, bytes, .. }) = &self.held else { return Vec::new() };
        if *edition != request.edition {
            return Vec::new();
        }
        if self.requests.admit(0, now).is_err() {
            self.stats.unanswered += 1;
            return Vec::new();
        }
        let count = transfer::piece_count(bytes.len());
        let requested = (0..transfer::PIECES_PER_REQUEST).filter(|bit| request.mask & (1 << bit) != 0);
        let given: Vec<_> = requested
            .map(|bit| usize::from(request.first) + bit)
            .filter_map(|index| Some((index as u16, count as u16, transfer::piece(bytes, index)?)))
            .collect();
        self.stats.given += given.len() as u64;
        given
    }
}

#[cfg(test)]
mod tests;
