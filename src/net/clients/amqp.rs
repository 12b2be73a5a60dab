//! AMQP's front: a server for publishers, and for the consumers of their answers.
//!
//! A publish is an offer; `basic.ack` tells that it was taken on, `basic.nack` that it was turned down. The one
//! final answer goes to the queue named by `reply-to`, and stays in the journal until a consumer has acked it. A
//! queue is a name within a tenant; it outlasts connections, unless it was declared exclusive.

mod methods;
mod publishing;

use super::PUBLISHERS;
use crate::config::model::Publisher as Login;
use crate::directory::Directory;
use crate::engine::{Input, Offer, Reply, Token};
use crate::journal::{End, Space};
use crate::net::amqp::{
    self, fault, method, Args, Content, Fault, Frame, Method, Properties, Pulse, Put, Value,
};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::{self, Stream};
use crate::tenancy::share::{bounds, Shares};
use crate::tenancy::ShareLimits;
use crate::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;

const HEARTBEAT: u16 = 30;
/// Channels of one connection at most.
const MOST_CHANNELS: u16 = 64;
/// Connections at most.
const MOST_CONNECTIONS: usize = 64;
/// Answers that wait in one queue at most; beyond, publishes that name it are turned down.
const MOST_WAITING: usize = 1000;
/// Queues of one tenant at most.
const MOST_QUEUES: usize = 256;
/// A handshake takes no longer.
const HANDSHAKE: Micros = Micros(3_000_000);
const LONGEST_BODY: u64 = crate::net::http::MAX_BODY_BYTES as u64;

/// An answer that waits to be acked.
#[derive(Clone, Debug)]
struct Answer {
    /// The flow whose end is owed; none for the known answer to a repeat.
    flow: Option<MessageId>,
    id: Rc<[u8]>,
    correlation: Rc<[u8]>,
    end: End,
    redelivered: bool,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Answer>,
    /// Out at consumers, unacked.
    out: usize,
    /// Gone with that connection.
    exclusive: Option<u64>,
}

type QueueName = (usize, Rc<[u8]>);

struct Consumer {
    tag: Rc<[u8]>,
    queue: QueueName,
    no_ack: bool,
}

/// Mandatory, properties with the size, body so far.
type Coming = (bool, Option<(Properties, u64)>, Vec<u8>);

#[derive(Default)]
struct Channel {
    confirms: bool,
    published: u64,
    /// A publish whose content is still coming.
    coming: Option<Coming>,
    consumers: Vec<Consumer>,
    prefetch: usize,
    delivered: u64,
    unacked: BTreeMap<u64, (QueueName, Answer)>,
    /// After an error: nothing counts until the peer confirms the close.
    closing: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Protocol,
    StartOk,
    TuneOk,
    Open,
    Ready,
    Closing,
}

struct Publisher {
    stream: Stream,
    stage: Stage,
    tenant: usize,
    /// What it logged in with.
    login: Option<Login>,
    frame_max: u32,
    channel_max: u16,
    began: Micros,
    pulse: Pulse,
    channels: BTreeMap<u16, Channel>,
    out: Vec<u8>,
}

/// An offer that is with the core.
struct Asked {
    connection: u64,
    channel: u16,
    tag: u64,
    mandatory: bool,
    reply: Option<(QueueName, Rc<[u8]>)>,
    id: Rc<[u8]>,
}

/// See the module's text.
pub struct Front {
    listener: TcpListener,
    credentials: Vec<Login>,
    directory: Rc<Directory>,
    publishers: BTreeMap<u64, Publisher>,
    queues: BTreeMap<QueueName, Queue>,
    asked: BTreeMap<Token, Asked>,
    next_token: Token,
    /// For the names of queues that the server names: distinct over restarts.
    next_name: u64,
    /// How often no connection could be taken though one was there.
    pub listener_failures: u64,
}

impl Front {
    /// Another address, which the poll waits for already. Who is connected stays so: a connection is long, and none of
    /// what it is owed is lost by waiting.
    pub fn move_to(&mut self, listener: TcpListener) {
        self.listener = listener;
    }

    /// Other names and logins count from now on. Connections whose login is no longer among them are closed, as a
    /// broker closes them: 320. Cost: the connections held.
    pub fn configure(&mut self, directory: Rc<Directory>, credentials: Vec<Login>, now: Micros) {
        (self.directory, self.credentials) = (directory, credentials);
        for publisher in self.publishers.values_mut() {
            let Some(login) = &publisher.login else { continue };
            if publisher.stage != Stage::Closing && !self.credentials.contains(login) {
                let told = amqp::Fault(320, "the login is no longer valid".into());
                amqp::write_close(&mut publisher.out, 0, &told, (0, 0));
                (publisher.stage, publisher.began) = (Stage::Closing, now);
            }
        }
    }

    /// The listener, for the process that follows.
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// The poll waits for the listener already.
    pub fn new(
        listener: TcpListener,
        credentials: Vec<Login>,
        directory: Rc<Directory>,
        now: Micros,
    ) -> Front {
        Front {
            listener,
            credentials,
            directory,
            listener_failures: 0,
            publishers: BTreeMap::new(),
            queues: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_token: 0,
            next_name: now.0,
        }
    }

    /// New connections are there.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        loop {
            let Some(socket) = stream::accept_next(&self.listener, "amqp", &mut self.listener_failures)
            else {
                break;
            };
            if self.publishers.len() >= MOST_CONNECTIONS {
                // Who is silent before it has opened costs nobody else a place.
                let silent = self
                    .publishers
                    .iter()
                    .filter(|(_, one)| one.stage != Stage::Ready && one.stream.is_reusable());
                let oldest = silent.min_by_key(|(_, one)| one.began).map(|(&token, _)| token);
                oldest.map(|token| self.publishers.remove(&token));
            }
            if self.publishers.len() >= MOST_CONNECTIONS {
                log!("amqp: {MOST_CONNECTIONS} connections, one more turned down");
                continue;
            }
            let token = poll.token(Peer::Publisher);
            let Ok(stream) = Stream::accepted(poll, token, socket) else { continue };
            let publisher = Publisher {
                stream,
                stage: Stage::Protocol,
                tenant: 0,
                login: None,
                frame_max: amqp::FRAME_MAX,
                channel_max: MOST_CHANNELS,
                began: now,
                pulse: Pulse::new(0, now),
                channels: BTreeMap::new(),
                out: Vec::new(),
            };
            self.publishers.insert(token, publisher);
        }
    }

    /// A connection is ready.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let mut over = publisher.stream.ready(poll).is_err() || publisher.stream.ended;
        publisher.pulse.heard = now;
        while !over {
            let Some(publisher) = self.publishers.get_mut(&token) else { return };
            let input = &publisher.stream.input;
            if publisher.stage == Stage::Protocol {
                if input.len() < amqp::PROTOCOL.len() {
                    break;
                }
                if !input.starts_with(amqp::PROTOCOL) {
                    publisher.out.extend(amqp::PROTOCOL);
                    over = true;
                    break;
                }
                publisher.stream.input.drain(..amqp::PROTOCOL.len());
                publisher.stage = Stage::StartOk;
                publisher.start();
                continue;
            }
            let result = match amqp::read(input, publisher.frame_max) {
                Ok(None) => break,
                Ok(Some((frame, used))) => {
                    publisher.stream.input.drain(..used);
                    self.take(token, frame, now, inputs)
                }
                Err(problem) => Err((problem, (0, 0), 0)),
            };
            let Some(publisher) = self.publishers.get_mut(&token) else { return };
            match result {
                Ok(going) => over = !going,
                Err((problem, cause, 0)) => {
                    log!("amqp: closing a connection: {} {}", problem.0, problem.1);
                    amqp::write_close(&mut publisher.out, 0, &problem, cause);
                    // What cannot be framed cannot be read on; else the peer's close-ok is waited for.
                    over = problem.0 == 501;
                    publisher.stage = Stage::Closing;
                }
                Err((problem, cause, channel)) => {
                    self.close_channel(token, channel, &problem, cause);
                }
            }
        }
        self.pump(inputs);
        self.flush(poll, token, now, inputs);
        if over {
            self.lose(token, inputs);
        }
    }

    fn flush(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let out = std::mem::take(&mut publisher.out);
        if !out.is_empty() {
            publisher.pulse.said = now;
            if publisher.stream.send(poll, &out).is_err() {
                self.lose(token, inputs);
            }
        }
    }

    /// A connection is gone: its unacked answers wait again, its exclusive queues go with it.
    fn lose(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let numbers: Vec<u16> =
            self.publishers.get(&token).map_or(Vec::new(), |p| p.channels.keys().copied().collect());
        numbers.into_iter().for_each(|number| self.drop_channel(token, number));
        self.publishers.remove(&token);
        let gone = self.queues.iter().filter(|(_, queue)| queue.exclusive == Some(token));
        let gone: Vec<QueueName> = gone.map(|(name, _)| name.clone()).collect();
        for name in &gone {
            self.delete(name, inputs);
        }
    }

    fn drop_channel(&mut self, token: u64, number: u16) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let Some(channel) = publisher.channels.remove(&number) else { return };
        for (name, answer) in channel.unacked.into_values().rev() {
            put_back(&mut self.queues, &name, answer);
        }
    }

    fn delete(&mut self, name: &QueueName, inputs: &mut Vec<Input>) -> usize {
        let Some(queue) = self.queues.remove(name) else { return 0 };
        inputs.extend(queue.waiting.iter().filter_map(|answer| answer.flow).map(Input::Told));
        queue.waiting.len()
    }

    /// One frame; false when the connection is over. An error names the channel that it closes, 0 for all.
    fn take(
        &mut self,
        token: u64,
        Frame { channel: number, content }: Frame,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, (Fault, Method, u16)> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let all = |problem: Fault| (problem, (0, 0), 0);
        match content {
            Content::Heartbeat if number == 0 => Ok(true),
            Content::Heartbeat => fault(501, "heartbeat on a channel").map_err(all),
            Content::Method(name, bytes) if number == 0 => self
                .connection_method(token, name, &mut Args(&bytes), now)
                .map_err(|problem| (problem, name, 0)),
            _ if publisher.stage == Stage::Closing => Ok(true),
            _ if publisher.stage != Stage::Ready => fault(503, "not open yet").map_err(all),
            Content::Method(name, bytes) => {
                self.channel_method(token, number, name, &mut Args(&bytes), inputs).map_err(|problem| {
                    // Faults of form close the connection; those of content, the channel.
                    let hard = matches!(problem.0, 501..=540);
                    (problem, name, if hard { 0 } else { number })
                })
            }
            Content::Header(size, properties) => {
                let Some(channel) = publisher.channels.get_mut(&number) else {
                    return fault(504, "channel not open").map_err(all);
                };
                if channel.closing {
                    return Ok(true);
                }
                let Some((_, header @ None, _)) = &mut channel.coming else {
                    return fault(505, "content header without a publish").map_err(all);
                };
                if size > LONGEST_BODY {
                    return fault(311, "content too large").map_err(|f| (f, method::PUBLISH, number));
                }
                *header = Some((properties, size));
                self.published(token, number, inputs)
            }
            Content::Body(part) => {
                let Some(channel) = publisher.channels.get_mut(&number) else {
                    return fault(504, "channel not open").map_err(all);
                };
                if channel.closing {
                    return Ok(true);
                }
                let Some((_, Some((_, size)), body)) = &mut channel.coming else {
                    return fault(505, "content body without a header").map_err(all);
                };
                body.extend(part);
                if body.len() as u64 > *size {
                    return fault(502, "content longer than its header says").map_err(all);
                }
                self.published(token, number, inputs)
            }
        }
    }

    /// Connections by tenant: what each that may log in has and may have. Cost: the connections held and the tenants, for
    /// each login.
    fn parts(&self) -> Shares {
        let places = |login: &Login| self.directory.tenants.active_index(&login.tenant);
        let mut told = vec![(0.0, ShareLimits::default()); self.directory.tenants.len()];
        self.credentials.iter().filter_map(places).for_each(|place| told[place].0 = 1.0);
        let mut parts = Shares::default();
        parts.configure(MOST_CONNECTIONS as u64, &bounds(MOST_CONNECTIONS as u64, &told));
        let logged_in = self.publishers.values().filter(|one| one.login.is_some());
        logged_in.for_each(|one| parts.acquire(one.tenant, 1));
        parts
    }

    /// The end of a flow: to its reply queue. Where nobody asked for it, it is told already.
    pub fn tell(
        &mut self,
        flow: MessageId,
        tenant: usize,
        id: Rc<[u8]>,
        (origin, end): (&[u8], End),
        inputs: &mut Vec<Input>,
    ) {
        let mut origin = Args(origin);
        let (Ok(exclusive), Ok(name), Ok(correlation)) = (origin.octet(), origin.name(), origin.name())
        else {
            return inputs.push(Input::Told(flow));
        };
        let key = (tenant, Rc::from(name));
        if exclusive != 0 && !self.queues.contains_key(&key) {
            return inputs.push(Input::Told(flow));
        }
        let answer =
            Answer { flow: Some(flow), id, correlation: correlation.into(), end, redelivered: false };
        self.queues.entry(key).or_default().waiting.push_back(answer);
    }

    /// Hands waiting answers to consumers.
    pub fn pump(&mut self, inputs: &mut Vec<Input>) {
        for publisher in self.publishers.values_mut().filter(|p| p.stage == Stage::Ready) {
            let (out, frame_max) = (&mut publisher.out, publisher.frame_max);
            for (&number, channel) in &mut publisher.channels {
                for index in 0..channel.consumers.len() {
                    let Consumer { tag, queue: key, no_ack } = &channel.consumers[index];
                    let (tag, key, no_ack) = (tag.clone(), key.clone(), *no_ack);
                    let Some(queue) = self.queues.get_mut(&key) else { continue };
                    while no_ack || channel.prefetch == 0 || channel.unacked.len() < channel.prefetch {
                        let Some(answer) = queue.waiting.pop_front() else { break };
                        channel.delivered += 1;
                        let mut head = Vec::new();
                        head.put_name(&tag);
                        head.put_long_long(channel.delivered);
                        head.push(answer.redelivered.into());
                        head.put_name(b"");
                        head.put_name(&key.1);
                        amqp::write_method(out, number, method::DELIVER, &head);
                        write_answer(out, number, &answer, frame_max);
                        hand_over(channel, queue, key.clone(), answer, no_ack, inputs);
                    }
                }
            }
        }
    }

    /// Sends what has been written for each connection.
    pub fn flush_all(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        let pending: Vec<u64> =
            self.publishers.iter().filter(|(_, p)| !p.out.is_empty()).map(|(&token, _)| token).collect();
        pending.into_iter().for_each(|token| self.flush(poll, token, now, inputs));
    }

    /// Heartbeats; ends connections gone silent, and handshakes that take too long.
    pub fn tick(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        let mut lost = Vec::new();
        for (&token, publisher) in &mut self.publishers {
            let slow = publisher.stage != Stage::Ready && publisher.began.plus(HANDSHAKE) <= now;
            if slow || publisher.pulse.dead(now) {
                lost.push(token);
            } else if publisher.pulse.wanted(now) {
                amqp::write_heartbeat(&mut publisher.out);
            }
        }
        lost.into_iter().for_each(|token| self.lose(token, inputs));
        self.pump(inputs);
        self.flush_all(poll, now, inputs);
    }

    /// When [`Front::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let due = |publisher: &Publisher| match publisher.stage {
            Stage::Ready => publisher.pulse.due(),
            _ => Some(publisher.began.plus(HANDSHAKE)),
        };
        self.publishers.values().filter_map(due).min()
    }
}

impl Publisher {
    fn start(&mut self) {
        let capabilities = ["publisher_confirms", "basic.nack", "authentication_failure_close"]
            .map(|name| (name.to_owned(), Value::Flag(true)))
            .to_vec();
        let mut args = vec![0, 9];
        args.put_table(&[
            ("product".into(), Value::Text(b"cedarwharf".to_vec())),
            ("version".into(), Value::Text(env!("CARGO_PKG_VERSION").into())),
            ("capabilities".into(), Value::Table(capabilities)),
        ]);
        args.put_text(b"PLAIN");
        args.put_text(b"en_US");
        amqp::write_method(&mut self.out, 0, method::START, &args);
    }
}

/// An answer that was out at a consumer waits again, first of its queue.
fn put_back(queues: &mut BTreeMap<QueueName, Queue>, name: &QueueName, answer: Answer) {
    let queue = queues.entry(name.clone()).or_default();
    queue.out = queue.out.saturating_sub(1);
    queue.waiting.push_front(Answer { redelivered: true, ..answer });
}

/// An answer has been written to a consumer: it is told, or waits to be acked.
fn hand_over(
    channel: &mut Channel,
    queue: &mut Queue,
    key: QueueName,
    answer: Answer,
    no_ack: bool,
    inputs: &mut Vec<Input>,
) {
    if no_ack {
        inputs.extend(answer.flow.map(Input::Told));
    } else {
        queue.out += 1;
        channel.unacked.insert(channel.delivered, (key, answer));
    }
}

fn write_answer(out: &mut Vec<u8>, number: u16, answer: &Answer, frame_max: u32) {
    let status = match answer.end {
        End::Delivered => "delivered",
        End::Deferred(_) => "deferred",
        End::Undeliverable | End::Over => "undeliverable",
    };
    let mut headers = vec![("status".to_owned(), Value::Text(status.into()))];
    if let End::Deferred(again) = answer.end {
        headers.push(("again_ms".to_owned(), Value::Number(again.0.div_ceil(1000) as i64)));
    }
    let properties = Properties {
        headers,
        correlation_id: Some(answer.correlation.clone()),
        message_id: Some(answer.id.clone()),
        kind: Some(b"answer"[..].into()),
        ..Properties::default()
    };
    amqp::write_content(out, number, &properties, status.as_bytes(), frame_max);
}

type ReplyTo = Option<(Rc<[u8]>, Rc<[u8]>)>;

/// The offer that a content makes. What is missing or unknown closes the channel.
fn offer(
    token: Token,
    tenant: usize,
    directory: &Directory,
    properties: Properties,
    body: Vec<u8>,
) -> Result<(Offer, ReplyTo), Fault> {
    let graphic = |name: &[u8]| !name.is_empty() && name.iter().all(u8::is_ascii_graphic);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let destination = properties.header("dest").and_then(|dest| text(&dest).parse().ok());
    let Some(destination) = destination.map(DestinationId) else {
        return fault(406, "header dest is missing or no number");
    };
    let key: Option<Rc<[u8]>> = properties.header("key").map(Rc::from);
    let Some(id) = properties.message_id.clone().filter(|id| graphic(id)) else {
        return fault(406, "message-id is missing or not plain");
    };
    if key.as_ref().is_some_and(|key| !graphic(key) || key.len() > 255) {
        return fault(406, "header key is not plain");
    }
    let kind = properties.kind.clone().unwrap_or_default();
    let Some(class) = std::str::from_utf8(&kind).ok().and_then(|name| directory.classes.active_index(name))
    else {
        return fault(406, "type names no class");
    };
    let time_left = match &properties.expiration {
        None => directory.deadlines[class],
        Some(expiration) => match text(expiration).parse::<u32>() {
            Ok(ms) => Micros(u64::from(ms) * 1000),
            Err(_) => return fault(406, "expiration is no number of milliseconds"),
        },
    };
    let reply = properties.reply_to.map(|queue| {
        let correlation = properties.correlation_id.unwrap_or_else(|| id.clone());
        (queue, correlation)
    });
    let offer = Offer {
        token,
        front: PUBLISHERS,
        space: Space::Tenant,
        tell_delivered: reply.is_some(),
        tenant,
        class,
        destination,
        id,
        key,
        time_left,
        again: false,
        origin: Rc::from(&[][..]),
        body: body.into(),
    };
    Ok((offer, reply))
}
