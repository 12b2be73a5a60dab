//! A destination with outages of a chosen kind, whose calls are counted as the standing test counts them: how
//! many arrive in a window while the destination is in slow start.

use super::byhand;
use super::load::{has_ended, message};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How calls end during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Calls get no answer before the outage is over.
    Hold,
    /// Calls are answered with status 500.
    Error,
    /// Calls are answered with status 429, without a retry-after.
    Reject,
    /// Connections are reset once the call has arrived.
    Reset,
    /// Connections are answered with status 503 and closed, as where the connection table is full.
    ConnectionLimit,
    /// Answers cannot be parsed.
    Malformed,
    /// Open connections are reset and new ones refused.
    Refuse,
}

/// The rules of a slow start, as in `support/config.json`.
pub struct SlowStart {
    /// Calls a second that the destination takes outside of a slow start.
    pub capacity_per_s: f64,
}

impl SlowStart {
    /// `coldFrom`, `coldMs`, `fallMultiple` and `overloadForMs` of the settings.
    const START_SHARE: f64 = 0.2;
    const DURATION_S: f64 = 9.0;
    const MULTIPLE: f64 = 2.0;
    const WINDOW_S: f64 = 2.0;

    fn capacity_at(&self, since_s: f64) -> f64 {
        let progress = (since_s / Self::DURATION_S).min(1.0);
        self.capacity_per_s * (Self::START_SHARE + (1.0 - Self::START_SHARE) * progress)
    }

    /// Calls allowed in the window that begins at a time after the outage: the budget of the settings and
    /// the standing test's allowance for random variation.
    fn allowed(&self, from_s: f64) -> f64 {
        let mean = (self.capacity_at(from_s) + self.capacity_at(from_s + Self::WINDOW_S)) / 2.0;
        let budget = Self::MULTIPLE * mean * Self::WINDOW_S;
        let allowance = if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 };
        budget + allowance
    }
}

/// The window with the largest share of the allowed calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    pub from_s: f64,
    pub calls: usize,
    pub allowed: f64,
}

#[derive(Default)]
struct State {
    fault: Option<Fault>,
    returned_at: Option<Instant>,
    served_at: Option<Instant>,
    /// Number of calls served, by the sender's prefix of the request id.
    served: BTreeMap<String, usize>,
    /// Number of calls that failed in the present outage, or that the sender gave up, by prefix.
    failed: BTreeMap<String, usize>,
    /// Senders that have a call here which waits for the end of the outage.
    holding: BTreeMap<String, usize>,
    /// Calls that arrived after the return: the time in seconds and the sender.
    arrivals: Vec<(f64, String)>,
}

/// The stand-in; clones share its state.
#[derive(Clone)]
pub struct Partner {
    state: Arc<Mutex<State>>,
    listeners: Vec<Arc<TcpListener>>,
}

impl Partner {
    /// Serves a destination on these endpoints.
    pub fn start(endpoints: Vec<TcpListener>) -> Partner {
        let listeners = endpoints.into_iter().map(Arc::new).collect();
        let partner = Partner { state: Arc::default(), listeners };
        for listener in partner.listeners.clone() {
            let partner = partner.clone();
            thread::spawn(move || loop {
                let Ok((stream, _)) = listener.accept() else {
                    // The listener is shut down for now (`Fault::Refuse`).
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                let partner = partner.clone();
                thread::spawn(move || partner.serve(stream));
            });
        }
        partner
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Begins an outage.
    pub fn fail(&self, fault: Fault) {
        let mut state = self.state();
        state.fault = Some(fault);
        state.returned_at = None;
        state.failed.clear();
        state.arrivals.clear();
        if fault == Fault::Refuse {
            for listener in &self.listeners {
                rustix::net::shutdown(&**listener, rustix::net::Shutdown::Both).unwrap();
            }
        }
    }

    /// Ends the outage: the slow start begins.
    pub fn recover(&self) {
        let mut state = self.state();
        if state.fault == Some(Fault::Refuse) {
            for listener in &self.listeners {
                rustix::net::listen(&**listener, 1_024).unwrap();
            }
        }
        state.fault = None;
        state.returned_at = Some(Instant::now());
    }

    /// Number of calls served to a sender.
    pub fn served(&self, sender: &str) -> usize {
        self.state().served.get(sender).copied().unwrap_or(0)
    }

    /// Number of a sender's calls that failed in this outage.
    pub fn failed(&self, sender: &str) -> usize {
        self.state().failed.get(sender).copied().unwrap_or(0)
    }

    /// Number of a sender's calls that wait for the end of the outage.
    pub fn holding(&self, sender: &str) -> usize {
        self.state().holding.get(sender).copied().unwrap_or(0)
    }

    /// Time since a call was last served.
    pub fn unserved_for(&self) -> Duration {
        self.state().served_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Number of calls that have arrived since the return.
    pub fn arrived(&self) -> usize {
        self.state().arrivals.len()
    }

    /// The senders of the calls that have arrived since the return.
    pub fn senders(&self) -> BTreeSet<String> {
        self.state().arrivals.iter().map(|(_, sender)| sender.clone()).collect()
    }

    /// The window of the slow start with the largest share of the allowed calls.
    pub fn fullest_window(&self, slow_start: &SlowStart) -> Window {
        let state = self.state();
        let window = |&(from_s, _): &(f64, String)| {
            let end = (from_s + SlowStart::WINDOW_S).min(SlowStart::DURATION_S);
            let calls = state.arrivals.iter().filter(|(at, _)| (from_s..end).contains(at)).count();
            Window { from_s, calls, allowed: slow_start.allowed(from_s) }
        };
        let share = |window: &Window| window.calls as f64 / window.allowed;
        let windows = state.arrivals.iter().map(window);
        windows.max_by(|one, other| share(one).total_cmp(&share(other))).unwrap_or_default()
    }

    /// Answers the calls on one connection.
    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some((_, headers, _)) = message(&mut reader) {
            let sender = headers["request-id"].split('-').next().unwrap().to_owned();
            let fault = self.note_arrival(&sender);
            let line = match fault {
                None => "200 OK",
                Some(Fault::Hold) => {
                    if !self.hold(&stream, &sender) {
                        return;
                    }
                    "200 OK"
                }
                Some(Fault::Error) => "500 Error",
                Some(Fault::Reject) => "429 Full",
                Some(Fault::ConnectionLimit) => "503 Busy\r\nConnection: close",
                Some(Fault::Malformed) => "2x0 ?",
                Some(Fault::Reset | Fault::Refuse) => {
                    byhand::reset(stream);
                    return self.note_failure(&sender);
                }
            };
            // A connection is not reused after answers that are alike.
            let body = if line == "200 OK" { &headers["request-id"] } else { "" };
            let text = format!("HTTP/1.1 {line}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if line == "200 OK" {
                self.note_served(&sender);
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            if line != "200 OK" {
                self.note_failure(&sender);
            }
            if line.ends_with("close") {
                return;
            }
        }
    }

    fn note_arrival(&self, sender: &str) -> Option<Fault> {
        let mut state = self.state();
        if let Some(returned_at) = state.returned_at {
            state.arrivals.push((returned_at.elapsed().as_secs_f64(), sender.to_owned()));
        }
        state.fault
    }

    fn note_served(&self, sender: &str) {
        let mut state = self.state();
        *state.served.entry(sender.to_owned()).or_default() += 1;
        state.served_at = Some(Instant::now());
    }

    fn note_failure(&self, sender: &str) {
        *self.state().failed.entry(sender.to_owned()).or_default() += 1;
    }

    /// Holds a call until the outage is over; returns false if the sender gave it up before.
    fn hold(&self, stream: &TcpStream, sender: &str) -> bool {
        *self.state().holding.entry(sender.to_owned()).or_default() += 1;
        let answered = loop {
            if self.state().fault.is_none() {
                break true;
            }
            if has_ended(stream) {
                self.note_failure(sender);
                break false;
            }
            thread::sleep(Duration::from_millis(2));
        };
        *self.state().holding.entry(sender.to_owned()).or_default() -= 1;
        answered
    }
}
