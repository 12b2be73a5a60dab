//! A simulated network of datagrams between processes numbered 0 to n - 1: loss, delay with jitter (so reordering),
//! cuts between groups, and processes stopped for a while (what arrives meanwhile waits in their socket, as with
//! SIGSTOP) or for good.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What the network does to datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Mean one-way delay; each datagram takes 0.5 to 1.5 times it.
    pub delay: Micros,
}

/// Something due: a datagram to hand over, or a process to wake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A datagram from `from` for `to`.
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    /// The process's own timer.
    Wake { process: usize },
}

/// The network and the clock.
pub struct Network {
    fault: Fault,
    rng: fastrand::Rng,
    /// By moment, then datagrams before wakes (a resumed process reads its socket, then its timers), then order.
    queue: BinaryHeap<Reverse<(Micros, u8, u64, Due)>>,
    order: u64,
    /// Of what was handed over last.
    now: Micros,
    /// Group of each process while a cut stands; datagrams between groups are lost.
    groups: Option<Vec<u8>>,
    /// A stopped process takes nothing in until this moment.
    stopped_until: Vec<Micros>,
    crashed: Vec<bool>,
    wakes: Vec<Option<Micros>>,
    /// Datagrams sent, lost, and handed over.
    pub sent: u64,
    #[allow(missing_docs)]
    pub lost: u64,
    #[allow(missing_docs)]
    pub delivered: u64,
}

impl Network {
    /// A network of `n` processes.
    pub fn new(n: usize, fault: Fault, seed: u64) -> Self {
        Network {
            fault,
            rng: fastrand::Rng::with_seed(seed ^ 0x006e_6574_776f_726b),
            queue: BinaryHeap::new(),
            order: 0,
            now: Micros(0),
            groups: None,
            stopped_until: vec![Micros(0); n],
            crashed: vec![false; n],
            wakes: vec![None; n],
            sent: 0,
            lost: 0,
            delivered: 0,
        }
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.order += 1;
        let kind = u8::from(matches!(due, Due::Wake { .. }));
        self.queue.push(Reverse((at, kind, self.order, due)));
    }

    /// A datagram leaves `from` at `now`.
    pub fn send(&mut self, now: Micros, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        if to >= self.crashed.len() || self.rng.f64() < self.fault.loss || self.cut(from, to) {
            self.lost += 1;
            return;
        }
        let delay = self.fault.delay.0 as f64 * (0.5 + self.rng.f64());
        let at = now.plus(Micros(delay as u64 + 10));
        self.push(at, Due::Datagram { to, from, bytes });
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.groups.as_ref().is_some_and(|groups| groups[from] != groups[to])
    }

    /// The process wants to be woken at `at` (the last such wish counts); what is overdue is due now: time never goes back.
    pub fn wake(&mut self, process: usize, at: Micros) {
        let at = at.max(self.now);
        if self.wakes[process] != Some(at) {
            self.wakes[process] = Some(at);
            self.push(at, Due::Wake { process });
        }
    }

    /// Cuts the network into groups (one number a process), or heals it with `None`.
    pub fn set_groups(&mut self, groups: Option<Vec<u8>>) {
        self.groups = groups;
    }

    /// Stops a process until `until`; what comes meanwhile waits.
    pub fn stop(&mut self, process: usize, until: Micros) {
        self.stopped_until[process] = until;
    }

    /// Ends a process for good.
    pub fn crash(&mut self, process: usize) {
        self.crashed[process] = true;
    }

    /// Another start in its place.
    pub fn restart(&mut self, process: usize) {
        (self.crashed[process], self.stopped_until[process], self.wakes[process]) = (false, Micros(0), None);
    }

    /// Whether the process has ended.
    pub fn crashed(&self, process: usize) -> bool {
        self.crashed[process]
    }

    /// The next thing due at or before `until`, with its moment; datagrams to stopped processes wait.
    pub fn next(&mut self, until: Micros) -> Option<(Micros, Due)> {
        loop {
            let Reverse((at, _, _, _)) = self.queue.peek()?;
            if *at > until {
                return None;
            }
            let Reverse((at, _, _, due)) = self.queue.pop()?;
            debug_assert!(at >= self.now, "time goes on");
            self.now = at;
            let process = match &due {
                Due::Datagram { to, .. } => *to,
                Due::Wake { process } => *process,
            };
            if self.crashed[process] {
                continue;
            }
            if let Due::Wake { process } = due {
                if self.wakes[process] != Some(at) {
                    continue;
                }
            }
            let resume = self.stopped_until[process];
            if resume > at {
                // As in a stopped process: datagrams wait in the socket, the timer fires late.
                if let Due::Wake { process } = due {
                    self.wakes[process] = Some(resume);
                }
                self.push(resume, due);
                continue;
            }
            if matches!(due, Due::Datagram { .. }) {
                self.delivered += 1;
            }
            return Some((at, due));
        }
    }
}
