//! The AMQP front against a misbehaving fake broker, with effects counted, and with a published client
//! library.

mod support;

use cedarwharf::net::amqp::{method, Args, Content, Frame, PutArgument};
use futures_lite::StreamExt;
use lapin::options::*;
use lapin::types::{AMQPValue, FieldTable};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::amqp::AmqpPeer;
use support::broker::{serve, Ledger};
use support::byhand;
use support::Stage;

const CLASSES: [&str; 3] = ["note", "episode", "payment"];

/// A publisher's record of its messages.
#[derive(Default)]
struct Published {
    /// Answers received for each accepted message, by id.
    answers: BTreeMap<String, Vec<String>>,
    /// Publishes that are not confirmed yet, by delivery tag.
    unconfirmed: BTreeMap<u64, String>,
    rejected: u32,
}

fn open(stage: &Stage) -> AmqpPeer {
    let mut peer = AmqpPeer::connect(stage.amqp);
    peer.send_text("open acme-pub secret acme");
    peer.send_text("declare answers");
    peer.send_text("consume answers");
    peer.set_read_timeout(Duration::from_millis(10));
    peer
}

/// Reads all received frames and acknowledges each answer. Returns false once the connection has ended.
fn read(peer: &mut AmqpPeer, published: &mut Published) -> bool {
    loop {
        let (name, bytes) = match peer.frame() {
            Err(()) => return false,
            Ok(None) => return true,
            Ok(Some(Frame { content: Content::Method(name, bytes), .. })) => (name, bytes),
            Ok(Some(other)) => panic!("{other:?}"),
        };
        let mut args = Args(&bytes);
        match name {
            method::ACK | method::NACK => {
                let id = published.unconfirmed.remove(&args.long_long().unwrap()).expect("a known tag");
                if name == method::ACK {
                    published.answers.entry(id).or_default();
                } else {
                    published.rejected += 1;
                }
            }
            method::DELIVER => {
                args.short_string().unwrap();
                let tag = args.long_long().unwrap();
                peer.set_read_timeout(Duration::from_secs(5));
                let (properties, _) = peer.rest_of_content();
                peer.set_read_timeout(Duration::from_millis(10));
                let id = String::from_utf8(properties.message_id.clone().unwrap().to_vec()).unwrap();
                let status = String::from_utf8(properties.header("status").unwrap()).unwrap();
                published.answers.entry(id).or_default().push(status);
                let mut ack = Vec::new();
                ack.put_long_long(tag);
                ack.push(0);
                peer.method(1, method::ACK, &ack);
            }
            method::CLOSE | method::CHANNEL_CLOSE => panic!("closed: {:?}", Args(&bytes).short()),
            _ => {}
        }
    }
}

/// Publishes for `length`, kills the forwarder every `kill_every`, and checks the outcome of each message.
fn soak(name: &str, seed: u64, length: Duration, kill_every: Duration) -> String {
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let mut stage = Stage::new(name);
    serve(stage.listener("broker"), Some(seed), ledger.clone());
    stage.start();
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut peer, mut published, mut kills) = (open(&stage), Published::default(), 0);
    let (started, mut number, mut tag, mut kill_at) = (Instant::now(), 0, 0, kill_every);
    while started.elapsed() < length {
        number += 1;
        tag += 1;
        let class = CLASSES[random.usize(..3)];
        let id = format!("{class}-{number}");
        peer.publish(&id, class, "4", "3000", "answers", "x");
        published.unconfirmed.insert(tag, id);
        assert!(read(&mut peer, &mut published), "the forwarder closed a connection");
        std::thread::sleep(Duration::from_millis(random.u64(5..60)));
        if started.elapsed() > kill_at {
            kill_at += kill_every;
            kills += 1;
            stage.kill();
            // Output that the forwarder wrote before it was killed still counts.
            while read(&mut peer, &mut published) {}
            stage.start();
            peer = open(&stage);
            tag = 0;
            for id in std::mem::take(&mut published.unconfirmed).into_values() {
                tag += 1;
                let class = id.split('-').next().unwrap().to_owned();
                peer.publish(&id, &class, "4", "3000", "answers", "x");
                published.unconfirmed.insert(tag, id);
            }
        }
    }
    let all_answered = |published: &Published| {
        published.unconfirmed.is_empty() && published.answers.values().all(|answers| !answers.is_empty())
    };
    let waited = Instant::now();
    while !all_answered(&published) && waited.elapsed() < Duration::from_secs(30) {
        assert!(read(&mut peer, &mut published), "the forwarder closed a connection");
    }
    assert!(all_answered(&published), "a publish has no answer");
    let ledger = ledger.lock().unwrap();
    check(&published, &ledger, kills)
}

fn check(published: &Published, ledger: &Ledger, kills: u32) -> String {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, answers) in &published.answers {
        let effects = ledger.effects.get(id).copied().unwrap_or(0);
        // An answer whose ack was lost in a kill is delivered again, with the same content.
        assert!(answers.iter().all(|answer| *answer == answers[0]), "{id}: {answers:?}");
        *counts.entry(&answers[0]).or_default() += 1;
        if answers[0] == "delivered" {
            assert!(effects > 0, "{id} was answered as delivered but had no effect");
        }
        if id.starts_with("payment") {
            assert!(answers[0] != "deferred" || effects == 0, "{id} took effect but is to be retried");
        }
    }
    // This includes payments whose publish was never confirmed to the publisher.
    let payments: Vec<u32> = ledger
        .effects
        .iter()
        .filter(|(id, _)| id.starts_with("payment"))
        .map(|(_, &effects)| effects)
        .collect();
    let duplicates = payments.iter().filter(|&&effects| effects > 1).count();
    assert_eq!(duplicates, 0, "payments with more than one effect");
    let payments = payments.len();
    format!(
        "accepted {}, rejected {}, kills {kills}, answers {counts:?}, payments with an effect {payments}, \
         doubled {duplicates}; the broker: {:?}",
        published.answers.len(),
        published.rejected,
        ledger.responses
    )
}

#[test]
fn misbehaving_broker_causes_no_duplicate_payment() {
    let seconds = std::env::var("CEDARWHARF_SOAK_SECONDS").ok().and_then(|text| text.parse().ok());
    let length = Duration::from_secs(seconds.unwrap_or(6));
    let kill_every = if seconds.is_some() { Duration::from_secs(20) } else { Duration::from_secs(2) };
    println!("{}", soak("soak", 11, length, kill_every));
}

/// A broker whose frames the test writes.
struct BrokerPeer {
    peer: AmqpPeer,
    /// Delivery tag of the latest publish, by channel.
    tags: BTreeMap<u16, u64>,
}

impl BrokerPeer {
    /// Accepts the forwarder's connection.
    fn accept(stage: &Stage) -> BrokerPeer {
        let peer = AmqpPeer::accept(byhand::accept(&stage.listener("broker")));
        BrokerPeer { peer, tags: BTreeMap::new() }
    }

    /// Waits for a publish of this message; opens channels meanwhile. Returns its channel and delivery tag.
    fn published(&mut self, id: &str) -> (u16, u64) {
        loop {
            let frame = self.peer.frame().expect("an open connection").expect("no frame arrives");
            let (channel, Content::Method(name, _)) = (frame.channel, frame.content) else { continue };
            match name {
                method::CHANNEL_OPEN => self.peer.send_text(&format!("{channel}:ok channel")),
                method::CONFIRM_SELECT => self.peer.send_text(&format!("{channel}:ok confirms")),
                method::CHANNEL_CLOSE => self.peer.method(channel, method::CHANNEL_CLOSE_OK, &[]),
                method::PUBLISH => {
                    let (properties, _) = self.peer.rest_of_content();
                    assert_eq!(properties.message_id.as_deref(), Some(id.as_bytes()));
                    let tag = self.tags.entry(channel).or_default();
                    *tag += 1;
                    return (channel, *tag);
                }
                _ => {}
            }
        }
    }

    fn ack(&mut self, (channel, tag): (u16, u64)) {
        let mut args = Vec::new();
        args.put_long_long(tag);
        args.push(0);
        self.peer.method(channel, method::ACK, &args);
    }
}

/// Guards against taking a second copy of a broker's frame for the outcome of the next publish on its channel:
/// a message that the broker had not taken yet counted as delivered.
#[test]
fn second_copies_of_frames_do_not_confirm_the_next_publish() {
    let copies: [(&str, &[&str]); 4] = [
        ("channel.open-ok", &["1:ok channel"]),
        ("confirm.select-ok", &["1:ok confirms"]),
        ("both", &["1:ok channel", "1:ok confirms"]),
        ("none but the ack", &[]),
    ];
    for (name, copies) in copies {
        let mut stage = Stage::new("broker-copies");
        let reports = support::load::Shared::default();
        support::load::serve_platform(stage.listener("platform"), reports.clone());
        stage.start();
        assert_eq!(byhand::submit(&stage, &byhand::request("m1", "note", 4, 30.0, "one")), 202);
        let mut broker = BrokerPeer::accept(&stage);
        let first = broker.published("m1");
        broker.ack(first);
        byhand::until("m1 does not end", || byhand::open_message(&stage, "m1").is_null());
        copies.iter().for_each(|copy| broker.peer.send_text(copy));
        byhand::wait_until_input_read(&stage);
        assert_eq!(byhand::submit(&stage, &byhand::request("m2", "note", 4, 30.0, "two")), 202);
        let second = broker.published("m2");
        broker.ack(first);
        byhand::wait_until_input_read(&stage);
        let open = byhand::open_message(&stage, "m2");
        assert!(!open.is_null(), "copy of {name}: the ack of m1 has ended m2");
        broker.ack(second);
        byhand::until("m2 does not end", || byhand::open_message(&stage, "m2").is_null());
        assert!(reports.lock().unwrap().reports.is_empty(), "copy of {name}");
    }
}

/// Guards against taking a second copy of a return for the outcome of the same message's next publish: a payment
/// that the broker took was published again.
#[test]
fn second_copy_of_a_return_does_not_repeat_the_message() {
    let mut stage = Stage::new("broker-returns");
    support::load::serve_platform(stage.listener("platform"), support::load::Shared::default());
    stage.start();
    assert_eq!(byhand::submit(&stage, &byhand::request("m1", "payment", 4, 30.0, "pay")), 202);
    let mut broker = BrokerPeer::accept(&stage);
    let first = broker.published("m1");
    let returned = format!("{}:return m1", first.0);
    broker.peer.send_text(&returned);
    broker.ack(first);
    let second = broker.published("m1");
    broker.peer.send_text(&returned);
    broker.ack(second);
    byhand::until("m1 does not end", || byhand::open_message(&stage, "m1").is_null());
    let again = byhand::submit(&stage, &byhand::request("m1", "payment", 4, 30.0, "pay"));
    assert_eq!(again, 200, "it is known as delivered");
    broker.peer.set_read_timeout(Duration::from_secs(2));
    let more = std::iter::from_fn(|| broker.peer.frame().unwrap());
    let published = more.filter(|frame| matches!(frame.content, Content::Method(method::PUBLISH, _)));
    assert_eq!(published.count(), 0, "published a third time");
}

#[test]
fn published_client_library_publishes_and_receives_the_answer() {
    let mut stage = Stage::new("lapin");
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    serve(stage.listener("broker"), None, ledger.clone());
    stage.start();
    let uri = format!("amqp://acme-pub:secret@{}/acme", stage.amqp);
    futures_lite::future::block_on(async {
        let connection =
            lapin::Connection::connect(&uri, lapin::ConnectionProperties::default()).await.unwrap();
        let channel = connection.create_channel().await.unwrap();
        channel.confirm_select(ConfirmSelectOptions::default()).await.unwrap();
        let queue = channel.queue_declare("", QueueDeclareOptions::default(), FieldTable::default());
        let queue = queue.await.unwrap();
        let consumer = channel.basic_consume(
            queue.name().as_str(),
            "",
            BasicConsumeOptions::default(),
            FieldTable::default(),
        );
        let mut consumer = consumer.await.unwrap();
        let mut headers = FieldTable::default();
        headers.insert("dest".into(), AMQPValue::LongInt(4));
        let properties = lapin::BasicProperties::default()
            .with_message_id("m1".into())
            .with_type("payment".into())
            .with_expiration("4000".into())
            .with_reply_to(queue.name().clone())
            .with_correlation_id("c1".into())
            .with_headers(headers);
        let publish = channel.basic_publish("", "any", BasicPublishOptions::default(), b"pay", properties);
        let confirm = publish.await.unwrap().await.unwrap();
        assert!(confirm.is_ack());
        let answer = consumer.next().await.unwrap().unwrap();
        assert_eq!(answer.properties.correlation_id().as_ref().unwrap().as_str(), "c1");
        assert_eq!(answer.data, b"delivered");
        answer.ack(BasicAckOptions::default()).await.unwrap();
        connection.close(200, "done").await.unwrap();
    });
    assert_eq!(ledger.lock().unwrap().effects["m1"], 1);
}

#[test]
fn tenant_that_opens_connections_without_limit_leaves_another_its_share() {
    let mut stage = Stage::new("amqp-crowd");
    let logins = "{tenant: acme, user: acme-pub, password: secret}, {tenant: other, user: other-pub, password: secret}";
    stage.write_operators_file(&format!("amqp: {{listen: AMQP, tenants: [{logins}]}}\n"));
    stage.start();
    let mut crowd = Vec::new();
    let rejection = loop {
        let mut peer = AmqpPeer::connect(stage.amqp);
        peer.open("acme-pub", "secret", "acme");
        match peer.receive_text() {
            reply if reply.contains("channel.open-ok") => crowd.push(peer),
            reply => break reply,
        }
        assert!(crowd.len() < 64, "one tenant opened all connections");
    };
    assert_eq!(rejection, "0: connection.close 530 no connection left for this tenant");
    // Half of the 64 is its own share; a quarter of the other tenant's half is not lent.
    assert_eq!(crowd.len(), 56);
    for _ in 0..7 {
        let mut peer = AmqpPeer::connect(stage.amqp);
        peer.open("other-pub", "secret", "other");
        assert_eq!(peer.receive_text(), "1: channel.open-ok");
        crowd.push(peer);
    }
}
