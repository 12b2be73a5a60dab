//! A stand-in for discovery that answers as a test sets it: in time, slowly, never, with rejections, in part,
//! or with an older list. It counts every call for the list.

use super::load::{message, Shared};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the stand-in answers calls for the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Calls are answered at once; a watch is answered when the list changes or its hold time ends.
    Live,
    /// Each answer is delayed by this time.
    Slow(Duration),
    /// Calls are read and never answered.
    Silent,
    /// The listener is shut down and connections are refused. These calls are not counted.
    Refusing,
    /// Connections are closed before a request is read.
    Closing,
    /// Half of each answer is sent, then the connection is closed.
    Partial,
    /// Each call is answered with status 503.
    Busy,
}

struct State {
    mode: Mode,
    generation: u64,
    instances: String,
    calls: Vec<Instant>,
}

/// The stand-in; clones share its state.
#[derive(Clone)]
pub struct Discovery(Arc<Mutex<State>>, Arc<TcpListener>);

impl Discovery {
    /// Serves a list of this generation and records delivery reports in the ledger.
    pub fn start(listener: TcpListener, generation: u64, instances: String, ledger: Shared) -> Discovery {
        let state = State { mode: Mode::Live, generation, instances, calls: Vec::new() };
        let discovery = Discovery(Arc::new(Mutex::new(state)), Arc::new(listener));
        let acceptor = discovery.clone();
        thread::spawn(move || loop {
            let Ok((stream, _)) = acceptor.1.accept() else {
                // The listener is shut down for now (`Mode::Refusing`).
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            let (server, ledger) = (acceptor.clone(), ledger.clone());
            thread::spawn(move || server.serve(stream, ledger));
        });
        discovery
    }

    /// Changes the mode; shuts the listener down or reopens it where needed.
    pub fn set_mode(&self, mode: Mode) {
        let previous = std::mem::replace(&mut self.0.lock().unwrap().mode, mode);
        if mode == Mode::Refusing {
            rustix::net::shutdown(&*self.1, rustix::net::Shutdown::Both).unwrap();
        } else if previous == Mode::Refusing {
            rustix::net::listen(&*self.1, 1_024).unwrap();
        }
    }

    /// Replaces the list and its generation.
    pub fn set_list(&self, generation: u64, instances: String) {
        let mut state = self.0.lock().unwrap();
        (state.generation, state.instances) = (generation, instances);
    }

    /// Number of calls for the list since a time, and the maximum within one second.
    pub fn call_counts(&self, since: Instant) -> (usize, usize) {
        let state = self.0.lock().unwrap();
        let calls: Vec<f64> =
            state.calls.iter().filter(|at| **at >= since).map(|at| (*at - since).as_secs_f64()).collect();
        let calls_in_second = |from: f64| calls.iter().filter(|at| **at >= from && **at < from + 1.0).count();
        (calls.len(), calls.iter().map(|&from| calls_in_second(from)).max().unwrap_or(0))
    }

    fn serve(&self, stream: TcpStream, ledger: Shared) {
        if self.0.lock().unwrap().mode == Mode::Closing {
            self.0.lock().unwrap().calls.push(Instant::now());
            return;
        }
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some((first, _, body)) = message(&mut reader) {
            if first.starts_with("POST") {
                ledger.lock().unwrap().record_reports(&body);
                if stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let parameter = |key: &str| {
                let text = first.split(['?', '&', ' ']).find_map(|part| part.strip_prefix(key))?;
                text.parse::<u64>().ok()
            };
            self.0.lock().unwrap().calls.push(Instant::now());
            let (known_generation, hold) =
                (parameter("from="), Duration::from_millis(parameter("hold_ms=").unwrap_or(0)));
            let received_at = Instant::now();
            // A watch waits for a newer generation or the end of its hold time.
            let mode = loop {
                let state = self.0.lock().unwrap();
                let is_current = state.mode == Mode::Live && known_generation == Some(state.generation);
                if !is_current || received_at.elapsed() >= hold {
                    break state.mode;
                }
                drop(state);
                thread::sleep(Duration::from_millis(10));
            };
            if let Mode::Slow(delay) = mode {
                thread::sleep(delay);
            }
            let (generation, instances) = {
                let state = self.0.lock().unwrap();
                (state.generation, state.instances.clone())
            };
            let list = match known_generation == Some(generation) {
                true => format!(r#"{{"generation":{generation},"reset":false,"instances":[]}}"#),
                false => format!(r#"{{"generation":{generation},"reset":true,"instances":[{instances}]}}"#),
            };
            let answer = match mode {
                Mode::Live | Mode::Slow(_) | Mode::Partial => {
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
                }
                Mode::Busy => "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned(),
                Mode::Silent | Mode::Refusing | Mode::Closing => {
                    thread::sleep(Duration::from_secs(30));
                    return;
                }
            };
            let length = if mode == Mode::Partial { answer.len() / 2 } else { answer.len() };
            if stream.write_all(&answer.as_bytes()[..length]).is_err() || mode == Mode::Partial {
                return;
            }
        }
    }
}
