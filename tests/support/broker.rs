//! A stand-in broker that misbehaves at random: it drops confirms, confirms late, closes channels and connections
//! after taking a message, nacks and returns. It counts the effects of each message.

use super::amqp::Wire;
use cedarwharf::net::amqp::{method, Content, Frame, PutArgument};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What happened to messages, by id.
#[derive(Default)]
pub struct Ledger {
    pub effects: BTreeMap<String, u32>,
    pub dealt: BTreeMap<&'static str, u32>,
}

/// Serves connections until the process ends; without a seed, it confirms everything at once.
pub fn serve(listener: TcpListener, seed: Option<u64>, ledger: Arc<Mutex<Ledger>>) {
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (ledger, seed) = (ledger.clone(), seed.map(|seed| seed + number as u64));
            // A connection that ends within its handshake ends its thread.
            std::thread::spawn(move || connection(Wire::accept(stream.unwrap()), seed, &ledger));
        }
    });
}

fn connection(mut wire: Wire, seed: Option<u64>, ledger: &Mutex<Ledger>) {
    let mut random = fastrand::Rng::with_seed(seed.unwrap_or(0));
    wire.patience(Duration::from_millis(10));
    let mut tags: BTreeMap<u16, u64> = BTreeMap::new();
    let mut late: Vec<(Instant, u16, u64)> = Vec::new();
    loop {
        let now = Instant::now();
        late.retain(|&(at, channel, tag)| {
            if at <= now && tags.contains_key(&channel) {
                confirm(&mut wire, channel, tag, method::ACK);
            }
            at > now
        });
        let (channel, name) = match wire.frame() {
            Err(()) => return,
            Ok(Some(Frame { channel, content: Content::Method(name, _) })) => (channel, name),
            Ok(_) => continue,
        };
        match name {
            method::CHANNEL_OPEN => wire.say(&format!("{channel}:ok channel")),
            method::CONFIRM_SELECT => {
                tags.insert(channel, 0);
                wire.say(&format!("{channel}:ok confirms"));
            }
            method::CHANNEL_CLOSE => {
                tags.remove(&channel);
                wire.method(channel, method::CHANNEL_CLOSE_OK, &[]);
            }
            method::PUBLISH => {
                wire.patience(Duration::from_secs(5));
                let (properties, _) = wire.rest_of_content();
                wire.patience(Duration::from_millis(10));
                let id = String::from_utf8(properties.message_id.unwrap().to_vec()).unwrap();
                let tag = tags.entry(channel).or_default();
                *tag += 1;
                let tag = *tag;
                let taken = || *ledger.lock().unwrap().effects.entry(id.clone()).or_default() += 1;
                let dealt = match seed.map_or(0, |_| random.u32(..100)) {
                    0..82 => {
                        taken();
                        confirm(&mut wire, channel, tag, method::ACK);
                        "confirmed"
                    }
                    82..86 => {
                        taken();
                        "confirm dropped"
                    }
                    86..90 => {
                        taken();
                        tags.remove(&channel);
                        wire.say(&format!("{channel}:close-channel 541"));
                        "channel closed after taking"
                    }
                    90..94 => {
                        taken();
                        late.push((now + Duration::from_millis(random.u64(100..6000)), channel, tag));
                        "confirmed late"
                    }
                    94..96 => {
                        wire.say(&format!("{channel}:return {id}"));
                        confirm(&mut wire, channel, tag, method::ACK);
                        "returned"
                    }
                    96..98 => {
                        if random.bool() {
                            taken();
                        }
                        confirm(&mut wire, channel, tag, method::NACK);
                        "nacked"
                    }
                    _ => {
                        taken();
                        *ledger
                            .lock()
                            .unwrap()
                            .dealt
                            .entry("connection dropped after taking")
                            .or_default() += 1;
                        return;
                    }
                };
                *ledger.lock().unwrap().dealt.entry(dealt).or_default() += 1;
            }
            _ => {}
        }
    }
}

fn confirm(wire: &mut Wire, channel: u16, tag: u64, how: (u16, u16)) {
    let mut args = Vec::new();
    args.put_long_long(tag);
    args.push(0);
    wire.method(channel, how, &args);
}
