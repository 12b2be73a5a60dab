//! The safety that `docs/membership.md` claims, explored in every order by a model checker: the rules are the program's own
//! (`cedarwharf::membership::rules`), what is modelled is the world around them. Words are lost, repeated and reordered at
//! will; members are cut from each other, crash, leave, and notice all of that one by one or not at all.

use cedarwharf::membership::rules::{divisor, refuting_incarnation, supersedes, Belief, Divisor};
use cedarwharf::membership::State::{self, Alive, Dead, Left, Suspect};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// One member, and others that hold words of it.
struct Words {
    holders: usize,
    most: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Talk {
    own: u32,
    /// The member runs; else it has crashed, or has left.
    runs: bool,
    left: bool,
    held: Vec<Belief>,
    /// The highest incarnation that a holder has seen alive: a ghost, for the claim.
    seen_alive: Vec<u32>,
    /// The highest incarnation that a holder has held dead, and one more: another ghost.
    seen_dead: Vec<u32>,
    /// Words ever sent: any of them may come at any time, again, or never.
    words: BTreeSet<Belief>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A holder's probes fail.
    Doubt(usize),
    /// A holder's suspicion times out.
    Declare(usize),
    Hear(usize, Belief),
    /// The member hears what is said of it.
    HearSelf(Belief),
    Crash,
    Leave,
}

fn belief(incarnation: u32, state: State) -> Belief {
    Belief { incarnation, state }
}

impl Model for Words {
    type State = Talk;
    type Action = Step;

    fn init_states(&self) -> Vec<Talk> {
        let held = vec![belief(0, Alive); self.holders];
        let (seen_alive, seen_dead) = (vec![0; self.holders], vec![0; self.holders]);
        vec![Talk { own: 0, runs: true, left: false, held, seen_alive, seen_dead, words: BTreeSet::new() }]
    }

    fn actions(&self, talk: &Talk, out: &mut Vec<Step>) {
        for (holder, held) in talk.held.iter().enumerate() {
            match held.state {
                Alive => out.push(Step::Doubt(holder)),
                Suspect => out.push(Step::Declare(holder)),
                Dead | Left => {}
            }
            out.extend(talk.words.iter().map(|&word| Step::Hear(holder, word)));
        }
        if talk.runs {
            out.extend(talk.words.iter().map(|&word| Step::HearSelf(word)));
            out.extend([Step::Crash, Step::Leave]);
        }
    }

    fn next_state(&self, talk: &Talk, step: Step) -> Option<Talk> {
        let mut next = talk.clone();
        match step {
            Step::Doubt(holder) => {
                next.held[holder].state = Suspect;
                next.words.insert(next.held[holder]);
            }
            Step::Declare(holder) => {
                next.held[holder].state = Dead;
                next.words.insert(next.held[holder]);
            }
            Step::Hear(holder, word) => {
                if supersedes(talk.held[holder], word) {
                    next.held[holder] = word;
                    if word.state == Alive {
                        next.seen_alive[holder] = next.seen_alive[holder].max(word.incarnation);
                    }
                }
            }
            Step::HearSelf(word) => {
                next.own = refuting_incarnation(talk.own, word)?;
                next.words.insert(belief(next.own, Alive));
            }
            Step::Crash => next.runs = false,
            Step::Leave => {
                (next.runs, next.left) = (false, true);
                next.words.insert(belief(next.own, Left));
            }
        }
        for (dead, held) in next.seen_dead.iter_mut().zip(&next.held) {
            if held.state == Dead {
                *dead = (*dead).max(held.incarnation + 1);
            }
        }
        (next != *talk).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("who refuted is not dead at an incarnation before", |_, talk: &Talk| {
                let pairs = talk.held.iter().zip(&talk.seen_alive);
                pairs.into_iter().all(|(held, &alive)| held.state != Dead || held.incarnation >= alive)
            }),
            Property::always("who is dead stays so but for a higher incarnation", |_, talk: &Talk| {
                let pairs = talk.held.iter().zip(&talk.seen_dead);
                pairs.into_iter().all(|(held, &dead)| !held.state.live() || held.incarnation >= dead)
            }),
            Property::always("an incarnation is the member's own: it only grows", |_, talk: &Talk| {
                talk.held.iter().chain(&talk.words).all(|word| word.incarnation <= talk.own)
            }),
            Property::always("once all is heard, nobody holds a running member dead", |_, talk: &Talk| {
                let unheard = talk.held.iter().any(|&held| talk.words.iter().any(|&w| supersedes(held, w)));
                let unanswered =
                    talk.words.iter().any(|&word| refuting_incarnation(talk.own, word).is_some());
                !talk.runs || unheard || unanswered || talk.held.iter().all(|held| held.state != Dead)
            }),
            Property::always("who has left is not dead once that is heard", |_, talk: &Talk| {
                let heard = |held: &Belief| !supersedes(*held, belief(talk.own, Left));
                !talk.left || talk.held.iter().all(|held| !heard(held) || held.state == Left)
            }),
            // The claims above say something only where these happen.
            Property::sometimes("a running member is held dead for a while", |_, talk: &Talk| {
                talk.runs && talk.held.iter().all(|held| held.state == Dead)
            }),
            Property::sometimes("it is alive again everywhere after that", |_, talk: &Talk| {
                let again = talk.held.iter().all(|held| held.state == Alive && held.incarnation > 0);
                again && talk.words.iter().any(|word| word.state == Dead)
            }),
        ]
    }

    fn within_boundary(&self, talk: &Talk) -> bool {
        talk.own <= self.most
    }
}

#[test]
fn a_refuted_word_never_kills_and_incarnations_only_grow() {
    for words in [Words { holders: 2, most: 3 }, Words { holders: 3, most: 2 }] {
        let checker = words.checker().threads(4).spawn_bfs().join();
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}

/// Members that share a limit; each has its own count of who is there. Members of one group are alike but for what they
/// have noticed: states are kept sorted.
struct Cuts {
    members: usize,
    groups: usize,
}

/// What a member counts as live, and its last whole view.
type Seen = (u8, u8);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Parted {
    groups: Vec<Vec<Seen>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Event {
    /// Some of a group, by a mask of places, are cut from the rest.
    Cut(usize, u32),
    Heal(usize, usize),
    /// A member notices one that it does not reach any more, or one that it reaches again.
    Notice(usize, usize),
    Crash(usize, usize),
}

impl Cuts {
    fn divisor(&self, (live, last_whole): Seen) -> Divisor {
        // Nobody is forgotten: the dead are known for longer than a row of cuts takes.
        divisor(live.into(), self.members, last_whole.into(), false)
    }

    fn share(&self, seen: Seen) -> f64 {
        let (Divisor::Whole(all) | Divisor::Doubtful(all)) = self.divisor(seen);
        1.0 / all as f64
    }

    fn sum(&self, parted: &Parted) -> f64 {
        parted.groups.iter().flatten().map(|&seen| self.share(seen)).sum()
    }

    fn settled(parted: &Parted) -> bool {
        parted.groups.iter().all(|group| group.iter().all(|seen| usize::from(seen.0) == group.len()))
    }
}

impl Model for Cuts {
    type State = Parted;
    type Action = Event;

    fn init_states(&self) -> Vec<Parted> {
        let all = self.members as u8;
        vec![Parted { groups: vec![vec![(all, all); self.members]] }]
    }

    fn actions(&self, parted: &Parted, out: &mut Vec<Event>) {
        for (place, group) in parted.groups.iter().enumerate() {
            if parted.groups.len() < self.groups {
                out.extend((1..(1u32 << group.len()) - 1).map(|mask| Event::Cut(place, mask)));
            }
            out.extend((place + 1..parted.groups.len()).map(|other| Event::Heal(place, other)));
            for (member, seen) in group.iter().enumerate() {
                if usize::from(seen.0) != group.len() {
                    out.push(Event::Notice(place, member));
                }
                out.push(Event::Crash(place, member));
            }
        }
    }

    fn next_state(&self, parted: &Parted, event: Event) -> Option<Parted> {
        let mut next = parted.clone();
        match event {
            Event::Cut(place, mask) => {
                let group = next.groups.swap_remove(place);
                let (mut one, mut other) = (Vec::new(), Vec::new());
                for (member, seen) in group.into_iter().enumerate() {
                    if mask & (1 << member) == 0 { &mut one } else { &mut other }.push(seen);
                }
                next.groups.extend([one, other]);
            }
            Event::Heal(place, other) => {
                let group = next.groups.remove(other);
                next.groups[place].extend(group);
            }
            Event::Notice(place, member) => {
                let there = next.groups[place].len() as u8;
                let seen = &mut next.groups[place][member];
                seen.0 = if seen.0 > there { seen.0 - 1 } else { seen.0 + 1 };
                let seen = *seen;
                if let Divisor::Whole(live) = self.divisor(seen) {
                    next.groups[place][member].1 = live as u8;
                }
            }
            Event::Crash(place, member) => {
                next.groups[place].remove(member);
            }
        }
        next.groups.retain(|group| !group.is_empty());
        next.groups.iter_mut().for_each(|group| group.sort_unstable());
        next.groups.sort();
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "cuts that are noticed: under one and a half limits",
                |cuts: &Cuts, parted: &Parted| !Cuts::settled(parted) || cuts.sum(parted) <= 1.5 + 1e-9,
            ),
            Property::always(
                "at any moment, even without the ramp: under two",
                |cuts: &Cuts, parted: &Parted| cuts.sum(parted) < 2.0,
            ),
            Property::always(
                "at most one part is whole once cuts are noticed",
                |cuts: &Cuts, parted: &Parted| {
                    let whole = |group: &&Vec<Seen>| matches!(cuts.divisor(group[0]), Divisor::Whole(_));
                    !Cuts::settled(parted) || parted.groups.iter().filter(whole).count() <= 1
                },
            ),
            Property::sometimes("both sides send", |cuts: &Cuts, parted: &Parted| {
                Cuts::settled(parted) && cuts.sum(parted) > 1.2
            }),
            Property::sometimes("a minority keeps the smaller share", |cuts: &Cuts, parted: &Parted| {
                let all: usize = parted.groups.iter().map(Vec::len).sum();
                Cuts::settled(parted) && all == cuts.members && (cuts.sum(parted) - 1.0).abs() < 1e-9
            }),
        ]
    }
}

#[test]
fn shares_stay_under_the_bound_in_every_order_of_cuts_heals_and_crashes() {
    for cuts in [Cuts { members: 5, groups: 4 }, Cuts { members: 6, groups: 3 }] {
        let checker = cuts.checker().threads(4).spawn_bfs().join();
        println!("{} states", checker.unique_state_count());
        checker.assert_properties();
    }
}
