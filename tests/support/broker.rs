//! A stand-in broker with random faults: it omits confirms, confirms late, closes channels and connections
//! after a message took effect, nacks and returns messages. It counts the effects of each message.

use super::amqp::AmqpPeer;
use cedarwharf::net::amqp::{method, Content, Frame, PutArgument};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Effects of messages, by id, and how often each response was given.
#[derive(Default)]
pub struct Ledger {
    pub effects: BTreeMap<String, u32>,
    pub responses: BTreeMap<&'static str, u32>,
}

/// Serves connections until the process exits; without a seed, every message is confirmed at once.
pub fn serve(listener: TcpListener, seed: Option<u64>, ledger: Arc<Mutex<Ledger>>) {
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (ledger, seed) = (ledger.clone(), seed.map(|seed| seed + number as u64));
            // A connection that ends during its handshake panics only its own thread.
            std::thread::spawn(move || serve_connection(AmqpPeer::accept(stream.unwrap()), seed, &ledger));
        }
    });
}

fn serve_connection(mut peer: AmqpPeer, seed: Option<u64>, ledger: &Mutex<Ledger>) {
    let mut random = fastrand::Rng::with_seed(seed.unwrap_or(0));
    peer.set_read_timeout(Duration::from_millis(10));
    let mut last_tags: BTreeMap<u16, u64> = BTreeMap::new();
    let mut delayed_confirms: Vec<(Instant, u16, u64)> = Vec::new();
    loop {
        let now = Instant::now();
        delayed_confirms.retain(|&(at, channel, tag)| {
            if at <= now && last_tags.contains_key(&channel) {
                confirm(&mut peer, channel, tag, method::ACK);
            }
            at > now
        });
        let (channel, name) = match peer.frame() {
            Err(()) => return,
            Ok(Some(Frame { channel, content: Content::Method(name, _) })) => (channel, name),
            Ok(_) => continue,
        };
        match name {
            method::CHANNEL_OPEN => peer.send_text(&format!("{channel}:ok channel")),
            method::CONFIRM_SELECT => {
                last_tags.insert(channel, 0);
                peer.send_text(&format!("{channel}:ok confirms"));
            }
            method::CHANNEL_CLOSE => {
                last_tags.remove(&channel);
                peer.method(channel, method::CHANNEL_CLOSE_OK, &[]);
            }
            method::PUBLISH => {
                peer.set_read_timeout(Duration::from_secs(5));
                let (properties, _) = peer.rest_of_content();
                peer.set_read_timeout(Duration::from_millis(10));
                let id = String::from_utf8(properties.message_id.unwrap().to_vec()).unwrap();
                let tag = last_tags.entry(channel).or_default();
                *tag += 1;
                let tag = *tag;
                let record_effect = || *ledger.lock().unwrap().effects.entry(id.clone()).or_default() += 1;
                let response = match seed.map_or(0, |_| random.u32(..100)) {
                    0..82 => {
                        record_effect();
                        confirm(&mut peer, channel, tag, method::ACK);
                        "confirmed"
                    }
                    82..86 => {
                        record_effect();
                        "confirm dropped"
                    }
                    86..90 => {
                        record_effect();
                        last_tags.remove(&channel);
                        peer.send_text(&format!("{channel}:close-channel 541"));
                        "channel closed after the effect"
                    }
                    90..94 => {
                        record_effect();
                        delayed_confirms.push((
                            now + Duration::from_millis(random.u64(100..6000)),
                            channel,
                            tag,
                        ));
                        "confirmed late"
                    }
                    94..96 => {
                        peer.send_text(&format!("{channel}:return {id}"));
                        confirm(&mut peer, channel, tag, method::ACK);
                        "returned"
                    }
                    96..98 => {
                        if random.bool() {
                            record_effect();
                        }
                        confirm(&mut peer, channel, tag, method::NACK);
                        "nacked"
                    }
                    _ => {
                        record_effect();
                        *ledger
                            .lock()
                            .unwrap()
                            .responses
                            .entry("connection dropped after the effect")
                            .or_default() += 1;
                        return;
                    }
                };
                *ledger.lock().unwrap().responses.entry(response).or_default() += 1;
            }
            _ => {}
        }
    }
}

fn confirm(peer: &mut AmqpPeer, channel: u16, tag: u64, reply: (u16, u16)) {
    let mut args = Vec::new();
    args.put_long_long(tag);
    args.push(0);
    peer.method(channel, reply, &args);
}
