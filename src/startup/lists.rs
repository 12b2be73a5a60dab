//! One member's side of the list: whether it may ask discovery, from which member it takes a newer edition, and what it
//! gives out itself.

use super::transfer::{self, Fetch, Progress, Wanted};
use super::{digest, elect, Edition, Holding};
use crate::tenancy::rate::{ArrivalLimiter, Rate};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// An elected member asks so long after it joined, drawn: until then another may have a list for it.
const SETTLE: (u64, u64) = (500_000, 1_500_000);
/// Whoever no member answers, or hears of no confirmation, asks after so long, drawn.
const ALONE: (u64, u64) = (2_000_000, 4_000_000);
/// Whoever hears of no further confirmation for so long asks once itself.
const STALE: (u64, u64) = (12_000_000, 20_000_000);
/// Of those who ask though nobody elected them, one does in this time however many they are: the first one's answer goes
/// round, and where discovery answers nobody, a whole fleet would else ask it in the same few seconds.
const ONE_ASKS: u64 = 250_000;
/// Members that told of the newest edition, kept as sources.
const SOURCES: usize = 8;
/// Members whose list was torn or could not be read are not asked for that edition again; so many are remembered.
const BARRED: usize = 64;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[allow(missing_docs)]
pub struct Stats {
    /// Lists taken from members.
    pub taken: u64,
    /// Requests for pieces sent, and pieces given out.
    pub asked: u64,
    pub given: u64,
    /// Lists from members that were torn or could not be read.
    pub torn: u64,
    /// Members that went silent during a fetch.
    pub silent: u64,
    /// Requests for pieces that came too fast, and were not answered.
    pub unanswered: u64,
}

/// What came of a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    /// Nothing to do.
    Nothing,
    /// More is to be asked for.
    Ask(SocketAddr, Wanted),
    /// A whole list: to be read, and then [`Lists::taken`] or [`Lists::refused`].
    Whole(Edition, Vec<u8>),
    /// The member's list was torn: a line for those on call.
    Torn(SocketAddr),
}

/// The wait of one that nobody elected.
#[derive(Clone, Copy)]
struct Lone {
    from: Micros,
    least: u64,
    most: u64,
    /// Where in between, and beyond where there are many: 0 to 1.
    drawn: f64,
}

impl Lone {
    fn begin(from: Micros, (least, most): (u64, u64), random: &mut fastrand::Rng) -> Lone {
        Lone { from, least, most, drawn: random.f64() }
    }

    /// It asks from then on, as one of so many.
    fn over(&self, members: usize) -> Micros {
        let span = (self.most - self.least).max(ONE_ASKS * members as u64);
        self.from.plus(Micros(self.least + (self.drawn * span as f64) as u64))
    }
}

/// Requests for pieces that are answered; each brings eight pieces at the most. Whoever is not answered asks again, and then
/// another member. Far above what a fleet asks that starts at once: a storm of them takes no more than this of the loop.
const ANSWERED: Rate = Rate { per_second: 200.0, burst: 64 };

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

/// See the module's text.
pub struct Lists {
    cluster: String,
    me: String,
    random: fastrand::Rng,
    held: Option<Held>,
    fetch: Option<Fetch>,
    /// A whole list that is being read.
    reading: Option<(SocketAddr, Edition)>,
    /// Who told of the newest edition that is not held, and its digest.
    sources: Vec<(SocketAddr, Edition, u64)>,
    barred: BTreeMap<SocketAddr, Edition>,
    elected: bool,
    joined: bool,
    /// Elected, it asks from then on.
    ask_from: Micros,
    /// Nobody has confirmed anything: it asks after that, whoever is elected.
    lone: Lone,
    /// Live members, this one among them.
    members: usize,
    /// When somebody last heard discovery confirm what is held.
    confirmed: Option<Micros>,
    /// Requests for pieces, as they come.
    requests: ArrivalLimiter,
    /// Counts.
    pub stats: Stats,
}

impl Lists {
    /// A member that begins now. `seeded`: it has others to ask, and waits for their word.
    pub fn new(cluster: &str, me: &str, seeded: bool, seed: u64, now: Micros) -> Lists {
        let mut random = fastrand::Rng::with_seed(seed);
        let lone = Lone::begin(now, if seeded { ALONE } else { (0, 0) }, &mut random);
        let ask_from = if seeded { lone.over(1) } else { now };
        let mut requests = ArrivalLimiter::default();
        requests.configure(vec![Some(ANSWERED)]);
        Lists {
            cluster: cluster.to_owned(),
            me: me.to_owned(),
            random,
            held: None,
            fetch: None,
            reading: None,
            sources: Vec::new(),
            barred: BTreeMap::new(),
            elected: !seeded,
            joined: !seeded,
            ask_from,
            lone,
            members: if seeded { 1 } else { 0 },
            confirmed: None,
            requests,
            stats: Stats::default(),
        }
    }

    /// What is held, to be told to the others.
    pub fn holding(&self) -> Option<(Edition, u64, Option<Micros>)> {
        self.held.as_ref().map(|held| (held.edition, held.digest, self.confirmed))
    }

    /// What is held, to be kept.
    pub fn held(&self) -> Option<(Edition, Rc<[u8]>)> {
        self.held.as_ref().map(|held| (held.edition, held.bytes.clone()))
    }

    /// When discovery confirmed it last, here or elsewhere.
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// Whether this member is one of those who ask discovery.
    pub fn elected(&self) -> bool {
        self.elected
    }

    /// The view has changed: who is live beside this one. Cost: the members.
    pub fn view<'a>(&mut self, now: Micros, others: impl Iterator<Item = &'a str>) {
        let mut count = 0;
        let counted = others.inspect(|_| count += 1);
        self.elected = elect::elected(&self.cluster, &self.me, counted);
        self.members = 1 + count;
        if count > 0 && !self.joined {
            self.joined = true;
            self.ask_from = now.plus(Micros(self.random.u64(SETTLE.0..=SETTLE.1)));
        }
    }

    /// Whether discovery may be asked now.
    pub fn may_ask(&self, now: Micros) -> bool {
        // Whoever has met nobody in its time is a fleet of one, and asks as one.
        let watches = self.elected || !self.joined;
        (watches && now >= self.ask_from && self.fetch.is_none()) || now >= self.lone_from()
    }

    fn lone_from(&self) -> Micros {
        self.lone.over(self.members)
    }

    /// When [`Lists::may_ask`] or [`Lists::tick`] change by themselves.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let ask = [self.ask_from, self.lone_from()].into_iter().filter(|&at| at > now).min();
        let fetch = self.fetch.as_ref().map(Fetch::due);
        ask.into_iter().chain(fetch).min()
    }

    /// A call to discovery has begun here. One that nobody elected asks once: where discovery answers nobody, all of a fleet
    /// would ask it in turns otherwise.
    pub fn asks(&mut self, now: Micros) {
        if now >= self.lone_from() {
            self.lone = Lone::begin(now, STALE, &mut self.random);
        }
    }

    /// A confirmation by discovery, here or elsewhere, at that moment.
    fn confirm(&mut self, at: Micros) {
        self.confirmed = Some(self.confirmed.map_or(at, |before| before.max(at)));
        // The draw stays until it has asked: the latest of many draws would be the same for all.
        let next = Lone { from: at, least: STALE.0, most: STALE.1, ..self.lone };
        if next.over(self.members) > self.lone_from() {
            self.lone = next;
        }
    }

    /// Discovery has answered here: with this whole list as it is now, under this generation.
    pub fn from_discovery(&mut self, now: Micros, generation: u64, bytes: &[u8]) {
        let edition = match &self.held {
            Some(held) if generation >= held.edition.generation => Edition { generation, ..held.edition },
            // It counts anew: everybody is to take what it says now.
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

    /// Discovery has answered here that nothing has changed since what is held.
    pub fn unchanged(&mut self, now: Micros) {
        self.confirm(now);
    }

    /// What was kept or configured before anybody was asked.
    pub fn from_before(&mut self, edition: Edition, bytes: &[u8], confirmed: Option<Micros>) {
        self.held = Held::new(edition, bytes);
        self.confirmed = confirmed;
    }

    /// A member says what it holds. `at` is where it is asked.
    pub fn told(&mut self, now: Micros, at: SocketAddr, holding: Holding) {
        let Holding { edition, digest: sum, age } = holding;
        let held = self.held.as_ref().map(|held| held.edition);
        let confirmed = now.minus(age);
        if held == Some(edition) {
            if age < Micros(STALE.1) && self.confirmed.is_none_or(|before| before < confirmed) {
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
        if self.sources.len() < SOURCES && !self.sources.iter().any(|&(source, ..)| source == at) {
            self.sources.push((at, edition, sum));
        }
    }

    /// Time passes: who is to be asked for what.
    pub fn tick(&mut self, now: Micros) -> Option<(SocketAddr, Wanted)> {
        if let Some(fetch) = &mut self.fetch {
            match fetch.tick(now) {
                Ok(wanted) => {
                    self.stats.asked += u64::from(wanted.is_some());
                    return wanted.map(|wanted| (fetch.from, wanted));
                }
                Err(transfer::Silent) => {
                    self.stats.silent += 1;
                    self.fetch = None;
                }
            }
        }
        if self.reading.is_some() || self.sources.is_empty() {
            return None;
        }
        // Any of those who told: not all of a fleet go to the first one.
        let pick = self.random.usize(..self.sources.len());
        let (from, edition, sum) = self.sources.swap_remove(pick);
        let mut fetch = Fetch::new(from, edition, sum);
        let wanted = fetch.ask(now);
        self.fetch = Some(fetch);
        self.stats.asked += 1;
        Some((from, wanted))
    }

    /// A piece came from a member.
    pub fn piece(
        &mut self,
        now: Micros,
        from: SocketAddr,
        (edition, index, count): (Edition, usize, usize),
        bytes: &[u8],
    ) -> Came {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.from == from && fetch.edition == edition)
        else {
            return Came::Nothing;
        };
        match fetch.piece(now, index, count, bytes) {
            Progress::Waiting => Came::Nothing,
            Progress::Ask(wanted) => {
                self.stats.asked += 1;
                Came::Ask(from, wanted)
            }
            Progress::Whole(whole) => {
                self.fetch = None;
                self.reading = Some((from, edition));
                Came::Whole(edition, whole)
            }
            Progress::Torn => {
                self.fetch = None;
                self.bar(from, edition);
                Came::Torn(from)
            }
        }
    }

    fn bar(&mut self, from: SocketAddr, edition: Edition) {
        self.stats.torn += 1;
        if self.barred.len() >= BARRED {
            self.barred.pop_first();
        }
        self.barred.insert(from, edition);
    }

    /// The whole list could be read, and is in force.
    pub fn taken(&mut self, edition: Edition, bytes: Vec<u8>) {
        self.reading = None;
        self.sources.retain(|&(_, told, _)| told > edition);
        self.stats.taken += 1;
        self.held = Held::new(edition, &bytes);
    }

    /// It could not.
    pub fn refused(&mut self) {
        if let Some((from, edition)) = self.reading.take() {
            self.bar(from, edition);
        }
    }

    /// Pieces that a member asks for, with their number and how many there are.
    pub fn give(&mut self, now: Micros, wanted: Wanted) -> Vec<(u16, u16, &[u8])> {
        let Some(Held { edition, bytes, .. }) = &self.held else { return Vec::new() };
        if *edition != wanted.edition {
            return Vec::new();
        }
        if self.requests.admit(0, now).is_err() {
            self.stats.unanswered += 1;
            return Vec::new();
        }
        let count = transfer::pieces(bytes.len());
        let asked = (0..transfer::WINDOW).filter(|bit| wanted.mask & (1 << bit) != 0);
        let given: Vec<_> = asked
            .map(|bit| usize::from(wanted.first) + bit)
            .filter_map(|index| Some((index as u16, count as u16, transfer::piece(bytes, index)?)))
            .collect();
        self.stats.given += given.len() as u64;
        given
    }
}

#[cfg(test)]
mod tests;
