//! A stand-in network between members that talk over UDP: a relay with an address for each of them, and a link for each
//! pair and direction that loses, delays, repeats, reorders or cuts. A member is reached at its address here
//! (`advertise`), and what it sends reaches the others from there. Chances are drawn from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a link does to datagrams. With jitter, later ones overtake.
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

/// A datagram under way: from, to, bytes.
type Due = (Instant, u64, usize, usize, Vec<u8>);

struct Net {
    usual: Link,
    links: BTreeMap<(usize, usize), Link>,
    random: fastrand::Rng,
    due: BinaryHeap<Reverse<Due>>,
    count: u64,
    /// Kept to be sent again: a storm of repeats.
    kept: Option<Vec<(usize, usize, Vec<u8>)>>,
    lost: u64,
}

pub struct Relay {
    sockets: Vec<Arc<UdpSocket>>,
    real: Vec<SocketAddr>,
    net: Arc<(Mutex<Net>, Condvar)>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// A relay between members whose sockets are at `real`.
    pub fn start(real: Vec<SocketAddr>, seed: u64) -> Relay {
        let sockets: Vec<Arc<UdpSocket>> =
            real.iter().map(|_| Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap())).collect();
        let random = fastrand::Rng::with_seed(seed);
        let (links, due, usual) = (BTreeMap::new(), BinaryHeap::new(), Link::default());
        let net = Net { usual, links, random, due, count: 0, kept: None, lost: 0 };
        let net = Arc::new((Mutex::new(net), Condvar::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let from: Arc<HashMap<SocketAddr, usize>> =
            Arc::new(real.iter().enumerate().map(|(at, &real)| (real, at)).collect());
        let mut threads = Vec::new();
        for (to, socket) in sockets.iter().cloned().enumerate() {
            socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
            let (net, stop, from) = (net.clone(), stop.clone(), from.clone());
            threads.push(std::thread::spawn(move || {
                let mut buffer = [0; 2048];
                while !stop.load(SeqCst) {
                    let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
                    let Some(&source) = from.get(&source) else { continue };
                    net.0.lock().unwrap().take(source, to, &buffer[..length]);
                    net.1.notify_one();
                }
            }));
        }
        let (sender, ends, out, at) = (net.clone(), stop.clone(), sockets.clone(), real.clone());
        threads.push(std::thread::spawn(move || {
            let mut net = sender.0.lock().unwrap();
            while !ends.load(SeqCst) {
                let now = Instant::now();
                while net.due.peek().is_some_and(|Reverse(due)| due.0 <= now) {
                    let Reverse((_, _, from, to, bytes)) = net.due.pop().unwrap();
                    let _ = out[from].send_to(&bytes, at[to]);
                }
                let next = net.due.peek().map(|Reverse(due)| due.0.saturating_duration_since(now));
                let wait = next.unwrap_or(Duration::from_millis(50)).min(Duration::from_millis(50));
                net = sender.1.wait_timeout(net, wait).unwrap().0;
            }
        }));
        Relay { sockets, real, net, stop, threads }
    }

    /// Where a member is reached.
    pub fn at(&self, member: usize) -> SocketAddr {
        self.sockets[member].local_addr().unwrap()
    }

    fn with<T>(&self, deed: impl FnOnce(&mut Net) -> T) -> T {
        deed(&mut self.net.0.lock().unwrap())
    }

    /// All links without a word of their own.
    pub fn usual(&self, link: Link) {
        self.with(|net| net.usual = link);
    }

    /// One direction of one link.
    pub fn link(&self, from: usize, to: usize, link: Link) {
        self.with(|net| net.links.insert((from, to), link));
    }

    /// Both directions of all links between two groups.
    pub fn cut(&self, one: &[usize], other: &[usize]) {
        self.with(|net| {
            for &a in one {
                for &b in other {
                    net.links.insert((a, b), Link::CUT);
                    net.links.insert((b, a), Link::CUT);
                }
            }
        });
    }

    /// All links are as usual again.
    pub fn heal(&self) {
        self.with(|net| net.links.clear());
    }

    /// From now on what passes is kept, to be repeated.
    pub fn keep(&self) {
        self.with(|net| net.kept = Some(Vec::new()));
    }

    /// Sends all that was kept again, so many times, as it came.
    pub fn repeat(&self, times: usize) -> usize {
        let kept = self.with(|net| net.kept.take()).unwrap_or_default();
        for _ in 0..times {
            for (from, to, bytes) in &kept {
                let _ = self.sockets[*from].send_to(bytes, self.real[*to]);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        kept.len() * times
    }

    pub fn lost(&self) -> u64 {
        self.with(|net| net.lost)
    }
}

impl Net {
    fn take(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let link = self.links.get(&(from, to)).copied().unwrap_or(self.usual);
        if link.cut || self.random.f64() < link.drop {
            self.lost += 1;
            return;
        }
        if let Some(kept) = self.kept.as_mut().filter(|kept| kept.len() < 2_000) {
            kept.push((from, to, bytes.to_vec()));
        }
        let times = if self.random.f64() < link.duplicate { 2 } else { 1 };
        for _ in 0..times {
            self.count += 1;
            let at = Instant::now() + link.delay + link.jitter.mul_f64(self.random.f64());
            self.due.push(Reverse((at, self.count, from, to, bytes.to_vec())));
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.net.1.notify_all();
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}
