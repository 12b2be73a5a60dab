//! A simulated datagram network between processes numbered 0 to n - 1. It loses datagrams, delays them with
//! jitter (and so reorders them) and is partitioned into groups. A process can be stopped for a while, as
//! with SIGSTOP (datagrams wait in its socket meanwhile), or crash.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Loss and delay of datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Mean one-way delay; each datagram takes 0.5 to 1.5 times it.
    pub delay: Micros,
}

/// A due event: a datagram to deliver, or a process to wake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// A datagram from `from` for `to`.
    Datagram { to: usize, from: usize, bytes: Vec<u8> },
    /// The process's own timer.
    Wake { process: usize },
}

/// The simulated network and clock.
pub struct Network {
    fault: Fault,
    rng: fastrand::Rng,
    /// Ordered by time, then datagrams before wakes (a resumed process reads its socket before it checks its
    /// timers), then insertion.
    queue: BinaryHeap<Reverse<(Micros, u8, u64, Due)>>,
    sequence: u64,
    /// Time of the last event that `next` returned.
    now: Micros,
    /// Group of each process during a partition; datagrams between groups are lost.
    groups: Option<Vec<u8>>,
    /// A stopped process receives nothing until this time.
    stopped_until: Vec<Micros>,
    crashed: Vec<bool>,
    /// Requested wake of each process; a queued wake for another time is stale.
    wakes: Vec<Option<Micros>>,
    /// Datagrams sent, lost, and delivered.
    pub sent: u64,
    #[allow(missing_docs)]
    pub lost: u64,
    #[allow(missing_docs)]
    pub delivered: u64,
}

impl Network {
    /// Creates a network of `n` processes.
    pub fn new(n: usize, fault: Fault, seed: u64) -> Self {
        Network {
            fault,
            rng: fastrand::Rng::with_seed(seed ^ 0x006e_6574_776f_726b),
            queue: BinaryHeap::new(),
            sequence: 0,
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
        self.sequence += 1;
        let priority = u8::from(matches!(due, Due::Wake { .. }));
        self.queue.push(Reverse((at, priority, self.sequence, due)));
    }

    /// Sends a datagram from one process to another at `now`.
    pub fn send(&mut self, now: Micros, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent += 1;
        if to >= self.crashed.len() || self.rng.f64() < self.fault.loss || self.is_partitioned(from, to) {
            self.lost += 1;
            return;
        }
        let delay = self.fault.delay.0 as f64 * (0.5 + self.rng.f64());
        let at = now.plus(Micros(delay as u64 + 10));
        self.push(at, Due::Datagram { to, from, bytes });
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.groups.as_ref().is_some_and(|groups| groups[from] != groups[to])
    }

    /// Wakes the process at `at`, instead of any wake requested before. A time in the past means now:
    /// simulated time never goes back.
    pub fn wake(&mut self, process: usize, at: Micros) {
        let at = at.max(self.now);
        if self.wakes[process] != Some(at) {
            self.wakes[process] = Some(at);
            self.push(at, Due::Wake { process });
        }
    }

    /// Partitions the network into groups (one group number per process); `None` ends the partition.
    pub fn set_groups(&mut self, groups: Option<Vec<u8>>) {
        self.groups = groups;
    }

    /// Stops a process until `until`; datagrams and wakes wait meanwhile.
    pub fn stop(&mut self, process: usize, until: Micros) {
        self.stopped_until[process] = until;
    }

    /// Ends a process; events for it are dropped.
    pub fn crash(&mut self, process: usize) {
        self.crashed[process] = true;
    }

    /// Starts a crashed process again.
    pub fn restart(&mut self, process: usize) {
        (self.crashed[process], self.stopped_until[process], self.wakes[process]) = (false, Micros(0), None);
    }

    /// Whether the process has crashed.
    pub fn crashed(&self, process: usize) -> bool {
        self.crashed[process]
    }

    /// Returns the next event due at or before `until`, with its time. Events for stopped processes are
    /// postponed.
    pub fn next(&mut self, until: Micros) -> Option<(Micros, Due)> {
        loop {
            let Reverse((at, _, _, _)) = self.queue.peek()?;
            if *at > until {
                return None;
            }
            let Reverse((at, _, _, due)) = self.queue.pop()?;
            debug_assert!(at >= self.now, "simulated time never goes back");
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
                // As in a stopped process, datagrams wait in the socket, and the timer fires late.
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
