//! A simulated UDP network between members: a relay with one address per member, and a link per ordered pair
//! of members that drops, delays, duplicates or reorders datagrams, or is cut. Members advertise their
//! address at the relay (`advertise`), and their datagrams reach the others from that address. Random choices
//! are seeded.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Faults of a link. With jitter, datagrams may be reordered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub cut: bool,
    pub drop: f64,
    pub duplicate: f64,
    pub delay: Duration,
    pub jitter: Duration,
}

impl Link {
    pub const CUT: Link =
        Link { cut: true, drop: 0.0, duplicate: 0.0, delay: Duration::ZERO, jitter: Duration::ZERO };
}

/// A datagram in transit: due time, sequence number, sender, receiver, bytes.
type ScheduledDatagram = (Instant, u64, usize, usize, Vec<u8>);

struct Network {
    default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    random: fastrand::Rng,
    due: BinaryHeap<Reverse<ScheduledDatagram>>,
    sequence: u64,
    /// Datagrams recorded for a replay, while recording is on.
    recorded: Option<Vec<(usize, usize, Vec<u8>)>>,
    lost: u64,
}

/// The relay; it stops its threads when dropped.
pub struct Relay {
    sockets: Vec<Arc<UdpSocket>>,
    bind_addresses: Vec<SocketAddr>,
    network: Arc<(Mutex<Network>, Condvar)>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay between members whose sockets are bound to `bind_addresses`.
    pub fn start(bind_addresses: Vec<SocketAddr>, seed: u64) -> Relay {
        let sockets: Vec<Arc<UdpSocket>> =
            bind_addresses.iter().map(|_| Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap())).collect();
        let random = fastrand::Rng::with_seed(seed);
        let (links, due, default_link) = (BTreeMap::new(), BinaryHeap::new(), Link::default());
        let network = Network { default_link, links, random, due, sequence: 0, recorded: None, lost: 0 };
        let network = Arc::new((Mutex::new(network), Condvar::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let member_by_address: Arc<HashMap<SocketAddr, usize>> =
            Arc::new(bind_addresses.iter().enumerate().map(|(member, &address)| (address, member)).collect());
        let mut threads = Vec::new();
        for (to, socket) in sockets.iter().cloned().enumerate() {
            socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
            let (network, stop, members) = (network.clone(), stop.clone(), member_by_address.clone());
            threads.push(std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while !stop.load(SeqCst) {
                    let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
                    let Some(&source) = members.get(&source) else { continue };
                    network.0.lock().unwrap().forward(source, to, &buffer[..length]);
                    network.1.notify_one();
                }
            }));
        }
        let (sender, stop_sender, outgoing, destinations) =
            (network.clone(), stop.clone(), sockets.clone(), bind_addresses.clone());
        threads.push(std::thread::spawn(move || {
            let mut network = sender.0.lock().unwrap();
            while !stop_sender.load(SeqCst) {
                let now = Instant::now();
                while network.due.peek().is_some_and(|Reverse(due)| due.0 <= now) {
                    let Reverse((_, _, from, to, bytes)) = network.due.pop().unwrap();
                    let _ = outgoing[from].send_to(&bytes, destinations[to]);
                }
                let next = network.due.peek().map(|Reverse(due)| due.0.saturating_duration_since(now));
                let wait = next.unwrap_or(Duration::from_millis(50)).min(Duration::from_millis(50));
                network = sender.1.wait_timeout(network, wait).unwrap().0;
            }
        }));
        Relay { sockets, bind_addresses, network, stop, threads }
    }

    /// The relay's address for a member.
    pub fn address(&self, member: usize) -> SocketAddr {
        self.sockets[member].local_addr().unwrap()
    }

    fn with_network<T>(&self, action: impl FnOnce(&mut Network) -> T) -> T {
        action(&mut self.network.0.lock().unwrap())
    }

    /// Sets the faults of all links that have none of their own.
    pub fn set_default_link(&self, link: Link) {
        self.with_network(|network| network.default_link = link);
    }

    /// Sets the faults of one link in one direction.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        self.with_network(|network| network.links.insert((from, to), link));
    }

    /// Cuts all links between two groups in both directions.
    pub fn partition(&self, group: &[usize], others: &[usize]) {
        self.with_network(|network| {
            for &a in group {
                for &b in others {
                    network.links.insert((a, b), Link::CUT);
                    network.links.insert((b, a), Link::CUT);
                }
            }
        });
    }

    /// Removes the faults of single links: all links have the default again.
    pub fn heal(&self) {
        self.with_network(|network| network.links.clear());
    }

    /// Starts to record the datagrams that pass, up to 2,000, for a replay.
    pub fn start_recording(&self) {
        self.with_network(|network| network.recorded = Some(Vec::new()));
    }

    /// Sends all recorded datagrams again in their order, `times` times, and returns the number sent.
    pub fn replay_recorded(&self, times: usize) -> usize {
        let recorded = self.with_network(|network| network.recorded.take()).unwrap_or_default();
        for _ in 0..times {
            for (from, to, bytes) in &recorded {
                let _ = self.sockets[*from].send_to(bytes, self.bind_addresses[*to]);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        recorded.len() * times
    }

    /// Number of datagrams that were dropped or met a cut link.
    pub fn lost(&self) -> u64 {
        self.with_network(|network| network.lost)
    }
}

impl Network {
    fn forward(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.default_link);
        if link.cut || self.random.f64() < link.drop {
            self.lost += 1;
            return;
        }
        if let Some(recorded) = self.recorded.as_mut().filter(|recorded| recorded.len() < 2_000) {
            recorded.push((from, to, bytes.to_vec()));
        }
        let copies = if self.random.f64() < link.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            self.sequence += 1;
            let due_at = Instant::now() + link.delay + link.jitter.mul_f64(self.random.f64());
            self.due.push(Reverse((due_at, self.sequence, from, to, bytes.to_vec())));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.network.1.notify_all();
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}
