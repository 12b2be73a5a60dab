//! The AMQP front: a server for publishers and for the consumers of their answers.
//!
//! A publish submits a message; `basic.ack` confirms that it was accepted, `basic.nack` that it was rejected.
//! The final outcome goes as an answer to the queue named by `reply-to`, and stays in the journal until a
//! consumer has acknowledged it. A queue belongs to a tenant and outlives connections, unless it was declared
//! exclusive.

mod limits;
mod methods;
mod publishing;

use super::AMQP_FRONT;
use crate::config::descriptors::PUBLISHER_CONNECTIONS;
use crate::config::model::Publisher as Login;
use crate::directory::Directory;
use crate::engine::{Input, MessageSubmission, Reply, Token};
use crate::journal::{FinalOutcome, IdScope};
use crate::net::amqp::{
    self, fault, method, Args, Content, Fault, Frame, HeartbeatTimer, Method, Properties, PutArgument, Value,
};
use crate::net::poll::{Hangup, Peer, Poll};
use crate::net::stream::{self, Stream};
use crate::tenancy::share::{bounds, Shares};
use crate::tenancy::ShareLimits;
use crate::{DestinationId, MessageId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpListener;
use std::rc::Rc;

/// Heartbeat interval proposed to clients.
const HEARTBEAT_SECONDS: u16 = 30;
/// Limit on the channels of one connection.
const MAX_CHANNELS: u16 = 64;
/// Limit on the answers in one queue, including unacknowledged ones. Publishes that name a full queue are
/// rejected.
const MAX_QUEUED_ANSWERS: usize = 1000;
/// Limit on the queues of one tenant.
const MAX_QUEUES: usize = 256;
/// Limit on the queues' answers of one tenant that repeat a known outcome: no held message stands for them.
const MAX_REPEATED_ANSWERS: usize = 4000;
/// Limit on the consumers of one channel, and of one connection.
const MAX_CHANNEL_CONSUMERS: usize = 64;
const MAX_CONSUMERS: usize = 256;
/// Frames of one connection that are handled in one iteration, and connections that are accepted: the others
/// wait for the next.
const MAX_FRAMES_PER_ITERATION: usize = 64;
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Time after which a connection that is not open yet, or is closing, is dropped.
const HANDSHAKE_TIMEOUT: Micros = Micros(3_000_000);
const MAX_BODY_BYTES: u64 = crate::net::http::MAX_BODY_BYTES as u64;

/// An answer that waits for an acknowledgement.
#[derive(Clone, Debug)]
struct Answer {
    /// The message whose outcome is to be delivered; none when the answer repeats a known outcome to a
    /// resubmission.
    message: Option<MessageId>,
    id: Rc<[u8]>,
    correlation: Rc<[u8]>,
    end: FinalOutcome,
    redelivered: bool,
}

#[derive(Default)]
struct Queue {
    waiting: VecDeque<Answer>,
    /// Answers delivered to consumers and not acknowledged.
    unacked: usize,
    /// The connection that declared the queue exclusive; the queue is deleted with it.
    exclusive: Option<u64>,
    /// A client has declared the queue. One that exists for its answers only makes room for others once these
    /// have been taken.
    declared: bool,
}

impl Queue {
    fn is_unused(&self) -> bool {
        !self.declared && self.waiting.is_empty() && self.unacked == 0
    }
}

type QueueName = (usize, Rc<[u8]>);

struct Consumer {
    tag: Rc<[u8]>,
    queue: QueueName,
    no_ack: bool,
}

/// The mandatory flag, the properties with the body size, and the body received so far.
type IncomingPublish = (bool, Option<(Properties, u64)>, Vec<u8>);

#[derive(Default)]
struct Channel {
    /// The client has selected publisher confirms.
    confirms: bool,
    /// Publishes since `confirm.select`; the delivery tag of the last one.
    published: u64,
    /// A publish whose content has not been received in full.
    incoming: Option<IncomingPublish>,
    consumers: Vec<Consumer>,
    prefetch: usize,
    /// Answers delivered on the channel; the delivery tag of the last one.
    delivered: u64,
    /// Delivered answers without an acknowledgement, by delivery tag.
    unacked: BTreeMap<u64, (QueueName, Answer)>,
    /// Closed after an error: frames are ignored until the peer confirms the close.
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
    /// Credentials of its login.
    login: Option<Login>,
    frame_max: u32,
    channel_max: u16,
    started_at: Micros,
    heartbeats: HeartbeatTimer,
    channels: BTreeMap<u16, Channel>,
    out: Vec<u8>,
    /// Bytes of memory that its buffers and incomplete messages took after the last event.
    buffered_bytes: usize,
}

/// A submission that the core has not answered yet.
struct PendingSubmission {
    connection: u64,
    channel: u16,
    tag: u64,
    mandatory: bool,
    reply: Option<(QueueName, Rc<[u8]>)>,
    id: Rc<[u8]>,
}

/// The AMQP front.
pub struct AmqpFront {
    listener: TcpListener,
    credentials: Vec<Login>,
    directory: Rc<Directory>,
    publishers: BTreeMap<u64, Publisher>,
    queues: BTreeMap<QueueName, Queue>,
    pending: BTreeMap<Token, PendingSubmission>,
    next_token: Token,
    /// Connections whose buffered frames are handled in the next iteration.
    unfinished: BTreeSet<u64>,
    /// The most bytes that the buffers and incomplete messages of all connections may take.
    max_buffered_bytes: usize,
    /// Number of the next generated queue or consumer name. It starts from the clock, so that names differ
    /// across restarts.
    next_name: u64,
    /// Number of pending connections that could not be accepted.
    pub listener_failures: u64,
}

impl AmqpFront {
    /// Switches to a listener on another address, which is already registered with the poll. Open connections
    /// stay: they are long-lived, and their pending answers are not lost by waiting.
    pub fn move_to(&mut self, listener: TcpListener) {
        self.listener = listener;
    }

    /// Applies new names and logins. Connections whose login was removed are closed with code 320
    /// (connection-forced), as a broker does. Visits all connections.
    pub fn configure(&mut self, directory: Rc<Directory>, credentials: Vec<Login>, now: Micros) {
        (self.directory, self.credentials) = (directory, credentials);
        for publisher in self.publishers.values_mut() {
            let Some(login) = &publisher.login else { continue };
            if publisher.stage != Stage::Closing && !self.credentials.contains(login) {
                let reason = amqp::Fault(320, "the login is no longer valid".into());
                amqp::write_close(&mut publisher.out, 0, &reason, (0, 0));
                publisher.begin_closing(now);
            }
        }
    }

    /// The most bytes that the buffers and incomplete messages of all connections may take.
    pub fn max_buffered_bytes(&self) -> usize {
        self.max_buffered_bytes
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.publishers.len()
    }

    /// Changes the most bytes that the buffers of all connections may take.
    pub fn set_max_buffered_bytes(&mut self, max_buffered_bytes: usize) {
        self.max_buffered_bytes = max_buffered_bytes;
    }

    /// The logins in force.
    pub fn logins(&self) -> &[Login] {
        &self.credentials
    }

    /// The listener, to be handed over to the successor process.
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Creates the front. The listener is already registered with the poll.
    pub fn new(
        listener: TcpListener,
        credentials: Vec<Login>,
        directory: Rc<Directory>,
        max_buffered_bytes: usize,
        now: Micros,
    ) -> AmqpFront {
        AmqpFront {
            unfinished: BTreeSet::new(),
            max_buffered_bytes,
            listener,
            credentials,
            directory,
            listener_failures: 0,
            publishers: BTreeMap::new(),
            queues: BTreeMap::new(),
            pending: BTreeMap::new(),
            next_token: 0,
            next_name: now.0,
        }
    }

    /// Accepts the pending connections of the listener.
    pub fn accept(&mut self, poll: &mut Poll, now: Micros) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(socket) = stream::accept_next(&self.listener, "amqp", &mut self.listener_failures)
            else {
                break;
            };
            if self.publishers.len() >= PUBLISHER_CONNECTIONS {
                // A connection that is silent before it is open makes room for the new one.
                let silent = self
                    .publishers
                    .iter()
                    .filter(|(_, one)| one.stage != Stage::Ready && one.stream.is_reusable());
                let oldest = silent.min_by_key(|(_, one)| one.started_at).map(|(&token, _)| token);
                oldest.map(|token| self.publishers.remove(&token));
            }
            if self.publishers.len() >= PUBLISHER_CONNECTIONS {
                log!("amqp: {} connections, rejecting one more", self.publishers.len());
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
                channel_max: MAX_CHANNELS,
                started_at: now,
                heartbeats: HeartbeatTimer::new(0, now),
                channels: BTreeMap::new(),
                out: Vec::new(),
                buffered_bytes: 0,
            };
            self.publishers.insert(token, publisher);
        }
    }

    /// Handles readiness of a connection.
    pub fn ready(&mut self, poll: &Poll, token: u64, hangup: Hangup, now: Micros, inputs: &mut Vec<Input>) {
        if hangup != Hangup::None {
            // Nobody would get the confirms: what the client sent before is not read.
            return self.handle_input(poll, token, true, now, inputs);
        }
        if self.unfinished.contains(&token) {
            // What it sends waits in the system's buffer; the socket is ready again in the next iteration.
            return;
        }
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let has_ended = publisher.stream.ready(poll).is_err() || publisher.stream.ended;
        publisher.heartbeats.last_received = now;
        self.handle_input(poll, token, has_ended, now, inputs);
    }

    /// Handles the buffered input of a connection. Of one that has ended nothing more is handled.
    fn handle_input(
        &mut self,
        poll: &Poll,
        token: u64,
        has_ended: bool,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) {
        let stays_open = !has_ended && self.handle_frames(token, now, inputs);
        self.push_to_consumers(inputs);
        self.flush(poll, token, now, inputs);
        if !stays_open {
            self.disconnect(token, inputs);
        }
        if let Some(publisher) = self.publishers.get_mut(&token) {
            publisher.buffered_bytes = publisher.count_buffered_bytes();
        }
        self.free_memory(poll, now, inputs);
    }

    /// Handles buffered frames, a few in each iteration. Returns whether the connection stays open.
    fn handle_frames(&mut self, token: u64, now: Micros, inputs: &mut Vec<Input>) -> bool {
        for _ in 0..MAX_FRAMES_PER_ITERATION {
            let Some(publisher) = self.publishers.get_mut(&token) else { return false };
            let input = &publisher.stream.input;
            if publisher.stage == Stage::Protocol {
                if input.len() < amqp::PROTOCOL.len() {
                    return true;
                }
                if !input.starts_with(amqp::PROTOCOL) {
                    publisher.out.extend(amqp::PROTOCOL);
                    return false;
                }
                publisher.stream.consume(amqp::PROTOCOL.len());
                publisher.stage = Stage::StartOk;
                publisher.write_start();
                continue;
            }
            let result = match amqp::read_frame(input, publisher.frame_max) {
                Ok(None) => return true,
                Ok(Some((frame, used))) => {
                    publisher.stream.consume(used);
                    self.handle_frame(token, frame, now, inputs)
                }
                Err(problem) => Err((problem, (0, 0), 0)),
            };
            let Some(publisher) = self.publishers.get_mut(&token) else { return false };
            match result {
                Ok(true) => {}
                Ok(false) => return false,
                Err((problem, cause, 0)) => {
                    log!("amqp: closing a connection: {} {}", problem.0, problem.1);
                    amqp::write_close(&mut publisher.out, 0, &problem, cause);
                    publisher.begin_closing(now);
                    // After a frame error the input cannot be parsed further; otherwise the peer's close-ok
                    // is awaited.
                    if problem.0 == 501 {
                        return false;
                    }
                }
                Err((problem, cause, channel)) => {
                    self.close_channel(token, channel, &problem, cause);
                }
            }
        }
        self.unfinished.insert(token);
        true
    }

    fn flush(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let out = std::mem::take(&mut publisher.out);
        if !out.is_empty() {
            publisher.heartbeats.last_sent = now;
            if publisher.stream.send(poll, &out).is_err() {
                self.disconnect(token, inputs);
            }
        }
    }

    /// Drops a connection: its unacknowledged answers are requeued and its exclusive queues are deleted.
    fn disconnect(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let numbers: Vec<u16> =
            self.publishers.get(&token).map_or(Vec::new(), |p| p.channels.keys().copied().collect());
        numbers.into_iter().for_each(|number| self.drop_channel(token, number));
        self.publishers.remove(&token);
        self.unfinished.remove(&token);
        let exclusive = self.queues.iter().filter(|(_, queue)| queue.exclusive == Some(token));
        let exclusive: Vec<QueueName> = exclusive.map(|(name, _)| name.clone()).collect();
        for name in &exclusive {
            self.remove_queue(name, inputs);
        }
    }

    fn drop_channel(&mut self, token: u64, number: u16) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let Some(channel) = publisher.channels.remove(&number) else { return };
        for (name, answer) in channel.unacked.into_values().rev() {
            requeue(&mut self.queues, &name, answer);
        }
    }

    fn remove_queue(&mut self, name: &QueueName, inputs: &mut Vec<Input>) -> usize {
        let Some(queue) = self.queues.remove(name) else { return 0 };
        inputs.extend(queue.waiting.iter().filter_map(|answer| answer.message).map(Input::OutcomeReported));
        queue.waiting.len()
    }

    /// Handles one frame. Returns whether the connection stays open. An error contains the channel that it
    /// closes, or 0 for the whole connection.
    fn handle_frame(
        &mut self,
        token: u64,
        Frame { channel: number, content }: Frame,
        now: Micros,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, (Fault, Method, u16)> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let connection_error = |problem: Fault| (problem, (0, 0), 0);
        match content {
            Content::Heartbeat if number == 0 => Ok(true),
            Content::Heartbeat => fault(501, "heartbeat on a channel").map_err(connection_error),
            Content::Method(name, bytes) if number == 0 => self
                .connection_method(token, name, &mut Args(&bytes), now)
                .map_err(|problem| (problem, name, 0)),
            _ if publisher.stage == Stage::Closing => Ok(true),
            _ if publisher.stage != Stage::Ready => fault(503, "not open yet").map_err(connection_error),
            Content::Method(name, bytes) => {
                self.channel_method(token, number, name, &mut Args(&bytes), inputs).map_err(|problem| {
                    // Protocol errors close the connection; all others close the channel.
                    let closes_connection = matches!(problem.0, 501..=540);
                    (problem, name, if closes_connection { 0 } else { number })
                })
            }
            Content::Header(size, properties) => {
                let Some(channel) = publisher.channels.get_mut(&number) else {
                    return fault(504, "channel not open").map_err(connection_error);
                };
                if channel.closing {
                    return Ok(true);
                }
                let Some((_, header @ None, _)) = &mut channel.incoming else {
                    return fault(505, "content header without a publish").map_err(connection_error);
                };
                if size > MAX_BODY_BYTES {
                    return fault(311, "content too large").map_err(|f| (f, method::PUBLISH, number));
                }
                *header = Some((properties, size));
                self.submit_if_complete(token, number, inputs)
            }
            Content::Body(part) => {
                let Some(channel) = publisher.channels.get_mut(&number) else {
                    return fault(504, "channel not open").map_err(connection_error);
                };
                if channel.closing {
                    return Ok(true);
                }
                let Some((_, Some((_, size)), body)) = &mut channel.incoming else {
                    return fault(505, "content body without a header").map_err(connection_error);
                };
                body.extend(part);
                if body.len() as u64 > *size {
                    return fault(502, "content longer than its header says").map_err(connection_error);
                }
                self.submit_if_complete(token, number, inputs)
            }
        }
    }

    /// Queues the final outcome of a message in its reply queue. Without a reply queue, or with an exclusive
    /// one that has been deleted, the outcome counts as reported.
    pub fn queue_outcome(
        &mut self,
        message: MessageId,
        tenant: usize,
        id: Rc<[u8]>,
        (origin, end): (&[u8], FinalOutcome),
        inputs: &mut Vec<Input>,
    ) {
        let mut origin = Args(origin);
        let (Ok(exclusive), Ok(name), Ok(correlation)) =
            (origin.octet(), origin.short_string(), origin.short_string())
        else {
            return inputs.push(Input::OutcomeReported(message));
        };
        let key = (tenant, Rc::from(name));
        if exclusive != 0 && !self.queues.contains_key(&key) {
            return inputs.push(Input::OutcomeReported(message));
        }
        let answer =
            Answer { message: Some(message), id, correlation: correlation.into(), end, redelivered: false };
        self.queues.entry(key).or_default().waiting.push_back(answer);
    }

    /// Delivers waiting answers to consumers.
    pub fn push_to_consumers(&mut self, inputs: &mut Vec<Input>) {
        if self.queues.values().all(|queue| queue.waiting.is_empty()) {
            return;
        }
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
                        head.put_short_string(&tag);
                        head.put_long_long(channel.delivered);
                        head.push(answer.redelivered.into());
                        head.put_short_string(b"");
                        head.put_short_string(&key.1);
                        amqp::write_method(out, number, method::DELIVER, &head);
                        write_answer(out, number, &answer, frame_max);
                        track_delivery(channel, queue, key.clone(), answer, no_ack, inputs);
                    }
                }
            }
        }
    }

    /// Sends the pending output of each connection.
    pub fn flush_all(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        let pending: Vec<u64> =
            self.publishers.iter().filter(|(_, p)| !p.out.is_empty()).map(|(&token, _)| token).collect();
        pending.into_iter().for_each(|token| self.flush(poll, token, now, inputs));
    }

    /// Sends heartbeats; drops connections that have been silent too long and handshakes that take too long.
    pub fn tick(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        for token in std::mem::take(&mut self.unfinished) {
            self.handle_input(poll, token, false, now, inputs);
        }
        let mut expired = Vec::new();
        for (&token, publisher) in &mut self.publishers {
            let timed_out =
                publisher.stage != Stage::Ready && publisher.started_at.plus(HANDSHAKE_TIMEOUT) <= now;
            if timed_out || publisher.heartbeats.has_expired(now) {
                expired.push(token);
            } else if publisher.heartbeats.is_send_due(now) {
                amqp::write_heartbeat(&mut publisher.out);
            }
        }
        expired.into_iter().for_each(|token| self.disconnect(token, inputs));
        self.push_to_consumers(inputs);
        self.flush_all(poll, now, inputs);
    }

    /// Time of the next [`AmqpFront::tick`], if any.
    pub fn due(&self) -> Option<Micros> {
        let due = |publisher: &Publisher| match publisher.stage {
            Stage::Ready => publisher.heartbeats.next_due(),
            _ => Some(publisher.started_at.plus(HANDSHAKE_TIMEOUT)),
        };
        let unfinished = (!self.unfinished.is_empty()).then_some(Micros(0));
        self.publishers.values().filter_map(due).chain(unfinished).min()
    }
}

impl Publisher {
    /// Waits for the peer's confirmation of the close. A further reason to close does not extend that time.
    fn begin_closing(&mut self, now: Micros) {
        if self.stage != Stage::Closing {
            (self.stage, self.started_at) = (Stage::Closing, now);
        }
    }

    fn write_start(&mut self) {
        let capabilities = ["publisher_confirms", "basic.nack", "authentication_failure_close"]
            .map(|name| (name.to_owned(), Value::Flag(true)))
            .to_vec();
        let mut args = vec![0, 9];
        args.put_table(&[
            ("product".into(), Value::Text(b"cedarwharf".to_vec())),
            ("version".into(), Value::Text(env!("CARGO_PKG_VERSION").into())),
            ("capabilities".into(), Value::Table(capabilities)),
        ]);
        args.put_long_string(b"PLAIN");
        args.put_long_string(b"en_US");
        amqp::write_method(&mut self.out, 0, method::START, &args);
    }
}

/// Puts an unacknowledged answer back at the head of its queue.
fn requeue(queues: &mut BTreeMap<QueueName, Queue>, name: &QueueName, answer: Answer) {
    let queue = queues.entry(name.clone()).or_default();
    queue.unacked = queue.unacked.saturating_sub(1);
    queue.waiting.push_front(Answer { redelivered: true, ..answer });
}

/// Records that an answer was written to a consumer: with `no_ack` it counts as reported, otherwise it waits
/// for an acknowledgement.
fn track_delivery(
    channel: &mut Channel,
    queue: &mut Queue,
    key: QueueName,
    answer: Answer,
    no_ack: bool,
    inputs: &mut Vec<Input>,
) {
    if no_ack {
        inputs.extend(answer.message.map(Input::OutcomeReported));
    } else {
        queue.unacked += 1;
        channel.unacked.insert(channel.delivered, (key, answer));
    }
}

fn write_answer(out: &mut Vec<u8>, number: u16, answer: &Answer, frame_max: u32) {
    let status = match answer.end {
        FinalOutcome::Delivered => "delivered",
        FinalOutcome::Deferred(_) => "deferred",
        FinalOutcome::Undeliverable | FinalOutcome::Closed => "undeliverable",
    };
    let mut headers = vec![("status".to_owned(), Value::Text(status.into()))];
    if let FinalOutcome::Deferred(retry_after) = answer.end {
        headers.push(("again_ms".to_owned(), Value::Number(retry_after.0.div_ceil(1000) as i64)));
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
