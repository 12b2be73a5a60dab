//! Calls to AMQP brokers: publishes with confirms and the `mandatory` flag. There is one connection to each
//! broker. Each channel carries one call at a time, so cancelling a call closes its channel and affects no
//! other call.

use crate::config::model::Broker;
use crate::directory::Directory;
use crate::engine::{CallId, Input, Item};
use crate::net::amqp::{self, method, Args, Content, Frame, HeartbeatTimer, Properties, PutArgument, Value};
use crate::net::poll::{Peer, Poll};
use crate::net::stream::Stream;
use crate::{AttemptOutcome, EndpointId, Micros};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Heartbeat interval proposed to the broker.
const HEARTBEAT_SECONDS: u16 = 20;
/// Largest number of channels on one connection.
const MAX_CHANNELS: u16 = 256;

enum Stage {
    /// Handshake in progress: no call is published before it is complete.
    Opening,
    Open,
}

struct BrokerConnection {
    endpoint: EndpointId,
    /// The broker's settings when the connection began; calls published on this connection end on it.
    broker: Rc<Broker>,
    /// The broker's settings have changed or the broker is gone: no new call begins on this connection.
    retired: bool,
    stream: Stream,
    stage: Stage,
    began_at: Micros,
    frame_max: u32,
    channel_max: u16,
    heartbeats: HeartbeatTimer,
    channels: BTreeMap<u16, Channel>,
    /// The channel that was opened last.
    latest_channel: u16,
    /// Channels whose close is not confirmed yet: their numbers must not be reused.
    closing: Vec<u16>,
}

/// How far a channel is open. Each reply of the broker is expected once: a second copy of one would begin the
/// delivery tags anew, and an earlier confirm would count for a later publish.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ChannelStage {
    /// `channel.open` has been, or will be, sent.
    #[default]
    Opening,
    /// `confirm.select` has been sent.
    Selecting,
    /// Confirm mode is on; nothing is published before that.
    Open,
}

#[derive(Default)]
struct Channel {
    stage: ChannelStage,
    next_tag: u64,
    /// The next content header belongs to a message that the broker returned as unroutable.
    returning: bool,
    /// A message was returned on this channel. No further call begins on it: a second copy of the return could
    /// not be told from that of the message's next publish.
    returned: bool,
    call: Option<ActiveCall>,
}

struct ActiveCall {
    call: CallId,
    /// Messages to publish once the channel is open.
    waiting: Option<Vec<Item>>,
    written: bool,
    /// Messages without an outcome: delivery tag, index in the call, message id.
    unconfirmed: Vec<(u64, usize, std::rc::Rc<[u8]>)>,
}

/// Connections to brokers.
pub struct BrokerConnections {
    brokers: BTreeMap<EndpointId, Rc<Broker>>,
    connections: BTreeMap<u64, BrokerConnection>,
    directory: Rc<Directory>,
    dial_timeout: Micros,
}

impl BrokerConnections {
    /// A handshake that is not complete within `dial_timeout` has failed.
    pub fn new(brokers: &[Broker], directory: Rc<Directory>, dial_timeout: Micros) -> BrokerConnections {
        let mut new = BrokerConnections {
            brokers: BTreeMap::new(),
            connections: BTreeMap::new(),
            directory,
            dial_timeout,
        };
        new.configure(brokers);
        new
    }

    /// Replaces the brokers. Calls on a connection to a broker that is gone or has changed end there with
    /// their own outcomes; the connection closes after the last of them. Cost: linear in the brokers.
    pub fn configure(&mut self, brokers: &[Broker]) {
        let brokers = brokers.iter().map(|broker| (broker.endpoint, Rc::new(broker.clone())));
        self.brokers = brokers.collect();
        for connection in self.connections.values_mut() {
            connection.retired |= self.brokers.get(&connection.endpoint) != Some(&connection.broker);
        }
    }

    /// Replaces the directory of names and the dial time-out.
    pub fn set_directory(&mut self, directory: Rc<Directory>, dial_timeout: Micros) {
        (self.directory, self.dial_timeout) = (directory, dial_timeout);
    }

    /// Whether these brokers and this dial time-out are in force.
    pub fn has_settings(&self, brokers: &[Broker], dial_timeout: Micros) -> bool {
        let has = |broker: &Broker| self.brokers.get(&broker.endpoint).is_some_and(|one| **one == *broker);
        self.dial_timeout == dial_timeout && self.brokers.len() == brokers.len() && brokers.iter().all(has)
    }

    /// Whether an endpoint is a broker.
    pub fn has(&self, endpoint: EndpointId) -> bool {
        self.brokers.contains_key(&endpoint)
    }

    /// Starts a call on a free channel, or on a new one.
    pub fn call(
        &mut self,
        poll: &mut Poll,
        now: Micros,
        (call, endpoint): (CallId, EndpointId),
        items: Vec<Item>,
        inputs: &mut Vec<Input>,
    ) {
        let Some(broker) = self.brokers.get(&endpoint) else {
            return inputs.push(Input::ConnectionFailed(call));
        };
        let usable = |connection: &BrokerConnection| connection.endpoint == endpoint && !connection.retired;
        let known =
            self.connections.iter().find(|(_, connection)| usable(connection)).map(|(&token, _)| token);
        let token = known.unwrap_or_else(|| poll.token(Peer::Broker));
        if known.is_none() {
            let connected = Stream::connect(poll, token, broker.address).and_then(|mut stream| {
                stream.send(poll, amqp::PROTOCOL)?;
                Ok(stream)
            });
            let Ok(stream) = connected else { return inputs.push(Input::ConnectionFailed(call)) };
            let connection = BrokerConnection {
                endpoint,
                broker: broker.clone(),
                retired: false,
                stream,
                stage: Stage::Opening,
                began_at: now,
                frame_max: amqp::FRAME_MAX,
                channel_max: MAX_CHANNELS,
                heartbeats: HeartbeatTimer::new(0, now),
                channels: BTreeMap::new(),
                latest_channel: 0,
                closing: Vec::new(),
            };
            self.connections.insert(token, connection);
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let is_free = |channel: &Channel| channel.call.is_none() && !channel.returned;
        let free =
            connection.channels.iter().find(|(_, channel)| is_free(channel)).map(|(&number, _)| number);
        let unused =
            |number: &u16| !connection.channels.contains_key(number) && !connection.closing.contains(number);
        // In turns: a copied frame of a closed channel may still arrive.
        let channel_max = connection.channel_max.max(1);
        let in_turns =
            (0..channel_max).map(|step| (connection.latest_channel % channel_max + step) % channel_max + 1);
        let Some(number) = free.or_else(|| in_turns.into_iter().find(unused)) else {
            return inputs.push(Input::ConnectionFailed(call));
        };
        if free.is_none() {
            connection.latest_channel = number;
        }
        let mut out = Vec::new();
        if free.is_none() && matches!(connection.stage, Stage::Open) {
            open_channel(&mut out, number);
        }
        let channel = connection.channels.entry(number).or_default();
        channel.call =
            Some(ActiveCall { call, waiting: Some(items), written: false, unconfirmed: Vec::new() });
        if channel.stage == ChannelStage::Open {
            publish(&mut out, number, channel, broker, &self.directory, connection.frame_max);
        }
        connection.heartbeats.last_sent = now;
        if connection.stream.send(poll, &out).is_err() {
            return self.end_connection(token, inputs);
        }
        self.note_written(token, inputs);
    }

    /// Reports published calls as written. A publish may run once any byte of it may have been sent: calls
    /// share the connection, so the bytes that are unsent when it breaks cannot be attributed to a call.
    fn note_written(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        for active_call in connection.channels.values_mut().filter_map(|channel| channel.call.as_mut()) {
            if active_call.waiting.is_none() && !std::mem::replace(&mut active_call.written, true) {
                inputs.push(Input::Written(active_call.call));
            }
        }
    }

    /// Handles a connection that is ready to read or write.
    pub fn ready(&mut self, poll: &Poll, token: u64, now: Micros, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let broke = connection.stream.ready(poll).is_err();
        // Bytes that were sent count as sent, even if the connection broke right after.
        self.note_written(token, inputs);
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.heartbeats.last_received = now;
        let broker = &connection.broker.clone();
        let (mut out, mut at, mut ended) = (Vec::new(), 0, broke || connection.stream.ended);
        let input = std::mem::take(&mut connection.stream.input);
        loop {
            match amqp::read_frame(&input[at..], connection.frame_max) {
                Ok(Some((frame, used))) => {
                    at += used;
                    match connection.handle_frame(frame, broker, &self.directory, &mut out, inputs, now) {
                        Ok(true) => {}
                        Ok(false) => ended = true,
                        Err(problem) => {
                            log!("broker {}: protocol error: {} {}", broker.address, problem.0, problem.1);
                            amqp::write_close(&mut out, 0, &problem, (0, 0));
                            ended = true;
                        }
                    }
                }
                Ok(None) => break,
                Err(problem) => {
                    log!("broker {}: protocol error: {} {}", broker.address, problem.0, problem.1);
                    ended = true;
                    break;
                }
            }
        }
        connection.stream.input = input[at..].to_vec();
        if !out.is_empty() {
            connection.heartbeats.last_sent = now;
            ended |= connection.stream.send(poll, &out).is_err();
        }
        self.note_written(token, inputs);
        if ended {
            self.end_connection(token, inputs);
        }
    }

    /// Ends a connection. Messages published on it and not confirmed may have run.
    fn end_connection(&mut self, token: u64, inputs: &mut Vec<Input>) {
        let Some(connection) = self.connections.remove(&token) else { return };
        inputs.extend(
            connection
                .channels
                .into_values()
                .filter_map(|channel| channel.call)
                .map(|active_call| Input::ConnectionFailed(active_call.call)),
        );
    }

    /// Cancels a call: its channel is closed, and a late confirm is ignored.
    pub fn abort(&mut self, poll: &Poll, call: CallId) {
        for connection in self.connections.values_mut() {
            let carries =
                |channel: &Channel| channel.call.as_ref().is_some_and(|active_call| active_call.call == call);
            let Some(number) =
                connection.channels.iter().find(|(_, c)| carries(c)).map(|(&number, _)| number)
            else {
                continue;
            };
            connection.channels.remove(&number);
            let mut out = Vec::new();
            if matches!(connection.stage, Stage::Open) {
                connection.closing.push(number);
                amqp::write_close(&mut out, number, &amqp::Fault(200, "given up".into()), (0, 0));
            }
            // If the connection breaks here, `ready` finds it.
            let _ = connection.stream.send(poll, &out);
        }
    }

    /// Sends heartbeats; ends connections whose handshake takes too long or whose broker has gone silent.
    pub fn tick(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        let mut ended = Vec::new();
        for (&token, connection) in &mut self.connections {
            let opening = matches!(connection.stage, Stage::Opening);
            if connection.retired && connection.channels.values().all(|channel| channel.call.is_none()) {
                ended.push(token);
                continue;
            }
            if opening && connection.began_at.plus(self.dial_timeout) <= now
                || connection.heartbeats.has_expired(now)
            {
                ended.push(token);
            } else if connection.heartbeats.is_send_due(now) {
                let mut out = Vec::new();
                amqp::write_heartbeat(&mut out);
                connection.heartbeats.last_sent = now;
                if connection.stream.send(poll, &out).is_err() {
                    ended.push(token);
                }
            }
        }
        ended.into_iter().for_each(|token| self.end_connection(token, inputs));
    }

    /// When [`BrokerConnections::tick`] is due.
    pub fn due(&self) -> Option<Micros> {
        let due = |connection: &BrokerConnection| match connection.stage {
            Stage::Opening => Some(connection.began_at.plus(self.dial_timeout)),
            Stage::Open => connection.heartbeats.next_due(),
        };
        self.connections.values().filter_map(due).min()
    }
}

impl BrokerConnection {
    /// Handles one frame from the broker; false if the connection is over.
    fn handle_frame(
        &mut self,
        Frame { channel: number, content }: Frame,
        broker: &Broker,
        directory: &Directory,
        out: &mut Vec<u8>,
        inputs: &mut Vec<Input>,
        now: Micros,
    ) -> Result<bool, amqp::Fault> {
        let (name, bytes) = match content {
            Content::Method(name, bytes) => (name, bytes),
            Content::Header(_, properties) => {
                if let Some(channel) = self.channels.get_mut(&number) {
                    channel.handle_returned(&properties, inputs);
                }
                self.close_channel_after_return(number, out);
                return Ok(true);
            }
            Content::Body(_) | Content::Heartbeat => return Ok(true),
        };
        let mut args = Args(&bytes);
        let opening = matches!(self.stage, Stage::Opening);
        match name {
            method::START if opening => {
                let mut reply = Vec::new();
                let capabilities = ["publisher_confirms", "basic.nack"]
                    .map(|name| (name.to_owned(), Value::Flag(true)))
                    .to_vec();
                reply.put_table(&[
                    ("product".into(), Value::Text(b"cedarwharf".to_vec())),
                    ("capabilities".into(), Value::Table(capabilities)),
                ]);
                reply.put_short_string(b"PLAIN");
                reply.put_long_string(format!("\0{}\0{}", broker.user, broker.password.reveal()).as_bytes());
                reply.put_short_string(b"en_US");
                amqp::write_method(out, 0, method::START_OK, &reply);
            }
            method::TUNE if opening => {
                let proposed = (args.short()?, args.long()?, args.short()?);
                let negotiated =
                    |proposed: u32, own: u32| if proposed == 0 { own } else { proposed.min(own) };
                self.channel_max = negotiated(proposed.0.into(), MAX_CHANNELS.into()) as u16;
                self.frame_max = negotiated(proposed.1, amqp::FRAME_MAX).max(4096);
                let heartbeat = negotiated(proposed.2.into(), HEARTBEAT_SECONDS.into()) as u16;
                self.heartbeats = HeartbeatTimer::new(heartbeat, now);
                let mut reply = Vec::new();
                reply.put_short(self.channel_max);
                reply.put_long(self.frame_max);
                reply.put_short(heartbeat);
                amqp::write_method(out, 0, method::TUNE_OK, &reply);
                let mut open = Vec::new();
                open.put_short_string(broker.vhost.as_bytes());
                open.extend([0, 0]);
                amqp::write_method(out, 0, method::OPEN, &open);
            }
            method::OPEN_OK if opening => {
                self.stage = Stage::Open;
                for &number in self.channels.keys() {
                    open_channel(out, number);
                }
            }
            method::CLOSE => {
                let (code, text) = (args.short()?, args.short_string_utf8()?);
                log!("broker {}: closed the connection: {code} {text}", broker.address);
                amqp::write_method(out, 0, method::CLOSE_OK, &[]);
                return Ok(false);
            }
            method::CHANNEL_OPEN_OK => {
                let expected = |channel: &&mut Channel| channel.stage == ChannelStage::Opening;
                if let Some(channel) = self.channels.get_mut(&number).filter(expected) {
                    channel.stage = ChannelStage::Selecting;
                    amqp::write_method(out, number, method::CONFIRM_SELECT, &[0]);
                }
            }
            method::CONFIRM_SELECT_OK => {
                let expected = |channel: &&mut Channel| channel.stage == ChannelStage::Selecting;
                if let Some(channel) = self.channels.get_mut(&number).filter(expected) {
                    (channel.stage, channel.next_tag) = (ChannelStage::Open, 1);
                    publish(out, number, channel, broker, directory, self.frame_max);
                }
            }
            method::CHANNEL_CLOSE => {
                let (code, text) = (args.short()?, args.short_string_utf8()?);
                log!("broker {}: closed a channel: {code} {text}", broker.address);
                amqp::write_method(out, number, method::CHANNEL_CLOSE_OK, &[]);
                let call = self.channels.remove(&number).and_then(|channel| channel.call);
                inputs.extend(call.map(|active_call| Input::ConnectionFailed(active_call.call)));
            }
            method::CHANNEL_CLOSE_OK => self.closing.retain(|&closing| closing != number),
            method::CHANNEL_FLOW => amqp::write_method(out, number, method::CHANNEL_FLOW_OK, &[1]),
            method::RETURN => {
                if let Some(channel) = self.channels.get_mut(&number) {
                    channel.returning = true;
                }
            }
            method::ACK | method::NACK => {
                let (tag, bits) = (args.long_long()?, args.octet()?);
                let outcome =
                    if name == method::ACK { AttemptOutcome::Delivered } else { AttemptOutcome::Error };
                if let Some(channel) = self.channels.get_mut(&number) {
                    channel.handle_confirm(tag, bits & 1 != 0, outcome, inputs);
                }
                self.close_channel_after_return(number, out);
            }
            _ => {}
        }
        Ok(true)
    }
}

impl BrokerConnection {
    /// Closes a channel on which a message was returned, once its call has ended.
    fn close_channel_after_return(&mut self, number: u16, out: &mut Vec<u8>) {
        let is_done = |channel: &Channel| channel.returned && channel.call.is_none();
        if self.channels.get(&number).is_some_and(is_done) {
            self.channels.remove(&number);
            self.closing.push(number);
            amqp::write_close(out, number, &amqp::Fault(200, "a message was returned".into()), (0, 0));
        }
    }
}

impl Channel {
    fn handle_confirm(&mut self, tag: u64, multiple: bool, outcome: AttemptOutcome, inputs: &mut Vec<Input>) {
        let Some(active_call) = &mut self.call else { return };
        let confirms = |open: u64| open == tag || multiple && (open < tag || tag == 0);
        let results: Vec<_> = active_call
            .unconfirmed
            .iter()
            .filter(|(open, ..)| confirms(*open))
            .map(|&(_, index, _)| (index, outcome, outcome == AttemptOutcome::Delivered))
            .collect();
        active_call.unconfirmed.retain(|(open, ..)| !confirms(*open));
        self.report_results(results, inputs);
    }

    /// Handles a content header. If it belongs to a message that the broker returned as unroutable, that
    /// publish never ran.
    fn handle_returned(&mut self, properties: &Properties, inputs: &mut Vec<Input>) {
        if !std::mem::take(&mut self.returning) {
            return;
        }
        let Some(active_call) = &mut self.call else { return };
        let returned =
            active_call.unconfirmed.iter().position(|(.., id)| properties.message_id.as_ref() == Some(id));
        let Some((_, index, _)) = returned.map(|index| active_call.unconfirmed.remove(index)) else { return };
        self.returned = true;
        self.report_results(vec![(index, AttemptOutcome::Rejected { retry_after: None }, false)], inputs);
    }

    fn report_results(&mut self, results: Vec<(usize, AttemptOutcome, bool)>, inputs: &mut Vec<Input>) {
        let Some(active_call) = &self.call else { return };
        if !results.is_empty() {
            inputs.push(Input::Answered { call: active_call.call, results, wait: None });
        }
        if active_call.unconfirmed.is_empty() {
            self.call = None;
        }
    }
}

fn open_channel(out: &mut Vec<u8>, number: u16) {
    amqp::write_method(out, number, method::CHANNEL_OPEN, &[0]);
}

/// Publishes the messages that wait on a channel.
fn publish(
    out: &mut Vec<u8>,
    number: u16,
    channel: &mut Channel,
    broker: &Broker,
    directory: &Directory,
    frame_max: u32,
) {
    let Some(call) = &mut channel.call else { return };
    for (index, item) in call.waiting.take().unwrap_or_default().into_iter().enumerate() {
        let mut args = vec![0, 0];
        args.put_short_string(broker.exchange.as_bytes());
        args.put_short_string(broker.routing_key.as_bytes());
        args.push(1); // mandatory
        amqp::write_method(out, number, method::PUBLISH, &args);
        let key = item.key.iter().map(|key| ("key".to_owned(), Value::Text(key.to_vec())));
        let properties = Properties {
            headers: key.collect(),
            delivery_mode: Some(2),
            message_id: Some(item.id.clone()),
            kind: Some(directory.classes.name(item.class).as_bytes().into()),
            ..Properties::default()
        };
        amqp::write_content(out, number, &properties, &item.body, frame_max);
        call.unconfirmed.push((channel.next_tag, index, item.id));
        channel.next_tag += 1;
    }
}
