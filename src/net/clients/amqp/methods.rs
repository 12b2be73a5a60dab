//! Handlers of connection and channel methods; each is answered immediately.

use super::*;

impl AmqpFront {
    pub(super) fn connection_method(
        &mut self,
        token: u64,
        name: Method,
        args: &mut Args,
        now: Micros,
    ) -> Result<bool, Fault> {
        let shares = if name == method::START_OK { self.connection_shares() } else { Shares::default() };
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        match (publisher.stage, name) {
            (_, method::CLOSE) => {
                // The peer closes the connection once it has read this. If this side closed it, the peer's
                // library might see the end before the close-ok and report an aborted connection.
                amqp::write_method(&mut publisher.out, 0, method::CLOSE_OK, &[]);
                publisher.begin_closing(now);
                let numbers: Vec<u16> = publisher.channels.keys().copied().collect();
                numbers.into_iter().for_each(|number| self.drop_channel(token, number));
            }
            (_, method::CLOSE_OK) => return Ok(false),
            (Stage::Closing, _) => {}
            (Stage::StartOk, method::START_OK) => {
                args.table()?;
                let (mechanism, response) = (args.short_string()?, args.long_string()?);
                let mut parts = response.split(|&byte| byte == 0);
                let (_, user, password) = (parts.next(), parts.next(), parts.next());
                let known = self.credentials.iter().find(|known| {
                    user == Some(known.user.as_bytes())
                        && password.is_some_and(|password| known.password.matches(password))
                });
                let Some(known) = known.filter(|_| mechanism == b"PLAIN") else {
                    return fault(403, "access refused");
                };
                let Some(tenant) = self.directory.tenants.active_index(&known.tenant) else {
                    return fault(403, "access refused");
                };
                if shares.check(tenant, 1).is_err() {
                    return fault(530, "no connection left for this tenant");
                }
                (publisher.tenant, publisher.login) = (tenant, Some(known.clone()));
                publisher.stage = Stage::TuneOk;
                let mut tune = Vec::new();
                tune.put_short(MAX_CHANNELS);
                tune.put_long(amqp::FRAME_MAX);
                tune.put_short(HEARTBEAT_SECONDS);
                amqp::write_method(&mut publisher.out, 0, method::TUNE, &tune);
            }
            (Stage::TuneOk, method::TUNE_OK) => {
                let (channels, frame, heartbeat) = (args.short()?, args.long()?, args.short()?);
                if channels > MAX_CHANNELS || frame > amqp::FRAME_MAX || (1..4096).contains(&frame) {
                    return fault(530, "limits beyond those offered");
                }
                publisher.channel_max = if channels == 0 { MAX_CHANNELS } else { channels };
                publisher.frame_max = if frame == 0 { amqp::FRAME_MAX } else { frame };
                publisher.heartbeats = HeartbeatTimer::new(heartbeat, now);
                publisher.stage = Stage::Open;
            }
            (Stage::Open, method::OPEN) => {
                let vhost = args.short_string_utf8()?;
                if self.directory.tenants.name(publisher.tenant) != vhost {
                    return fault(530, "no such virtual host for this user");
                }
                publisher.stage = Stage::Ready;
                amqp::write_method(&mut publisher.out, 0, method::OPEN_OK, &[0]);
            }
            _ => return fault(503, "method not expected here"),
        }
        Ok(true)
    }

    pub(super) fn channel_method(
        &mut self,
        token: u64,
        number: u16,
        name: Method,
        args: &mut Args,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, Fault> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        if name == method::CHANNEL_OPEN {
            if number > publisher.channel_max || publisher.channels.contains_key(&number) {
                return fault(504, "channel open already, or beyond the limit");
            }
            publisher.channels.insert(number, Channel::default());
            amqp::write_method(&mut publisher.out, number, method::CHANNEL_OPEN_OK, &[0, 0, 0, 0]);
            return Ok(true);
        }
        let Some(channel) = publisher.channels.get_mut(&number) else {
            return fault(504, "channel not open");
        };
        if channel.closing {
            if name == method::CHANNEL_CLOSE_OK {
                publisher.channels.remove(&number);
            } else if name == method::CHANNEL_CLOSE {
                amqp::write_method(&mut publisher.out, number, method::CHANNEL_CLOSE_OK, &[]);
            }
            return Ok(true);
        }
        if channel.incoming.is_some() && name != method::CHANNEL_CLOSE {
            return fault(505, "method within a content");
        }
        let out = &mut publisher.out;
        match name {
            method::CHANNEL_CLOSE => {
                amqp::write_method(out, number, method::CHANNEL_CLOSE_OK, &[]);
                self.drop_channel(token, number);
            }
            method::CHANNEL_FLOW => {
                amqp::write_method(out, number, method::CHANNEL_FLOW_OK, &[args.octet()?]);
            }
            method::CONFIRM_SELECT => {
                channel.confirms = true;
                if args.octet()? & 1 == 0 {
                    amqp::write_method(out, number, method::CONFIRM_SELECT_OK, &[]);
                }
            }
            method::PUBLISH => {
                args.short()?;
                let (exchange, _) = (args.short_string()?, args.short_string()?);
                let bits = args.octet()?;
                if bits & 2 != 0 {
                    return fault(540, "immediate is not supported");
                }
                if !exchange.is_empty() {
                    return fault(404, "no such exchange: publish to the default one");
                }
                channel.incoming = Some((bits & 1 != 0, None, Vec::new()));
            }
            method::QUEUE_DECLARE => return self.declare_queue(token, number, args),
            method::QUEUE_DELETE => return self.delete_queue(token, number, args, inputs),
            method::QOS => {
                args.long()?;
                channel.prefetch = args.short()?.into();
                amqp::write_method(out, number, method::QOS_OK, &[]);
            }
            method::CONSUME => return self.consume(token, number, args),
            method::CANCEL => {
                let (tag, no_wait) = (args.short_string()?, args.octet()? & 1 != 0);
                channel.consumers.retain(|known| &known.tag[..] != tag);
                if !no_wait {
                    let mut reply = Vec::new();
                    reply.put_short_string(tag);
                    amqp::write_method(out, number, method::CANCEL_OK, &reply);
                }
            }
            method::GET => return self.get(token, number, args, inputs),
            method::ACK | method::NACK | method::REJECT => {
                return self.settle_deliveries(token, number, name, args, inputs);
            }
            _ => return fault(540, "method not supported"),
        }
        Ok(true)
    }

    /// `queue.declare`: creates a queue, or reports on an existing one.
    fn declare_queue(&mut self, token: u64, number: u16, args: &mut Args) -> Result<bool, Fault> {
        let Some(tenant) = self.publishers.get(&token).map(|publisher| publisher.tenant) else {
            return Ok(false);
        };
        args.short()?;
        let (name, bits) = (args.short_string()?, args.octet()?);
        let name: Rc<[u8]> = if name.is_empty() {
            self.next_name += 1;
            format!("amq.gen-{:x}", self.next_name).into_bytes().into()
        } else {
            name.into()
        };
        let key = (tenant, name.clone());
        let (passive, exclusive) = (bits & 1 != 0, bits & 4 != 0);
        let is_new = !self.queues.contains_key(&key);
        let has_room = !is_new || passive || self.has_room_for_queue(tenant);
        match self.queues.get(&key) {
            Some(queue) if queue.exclusive.is_some_and(|owner| owner != token) => {
                return fault(405, "queue is exclusive to another connection");
            }
            None if passive => return fault(404, "no such queue"),
            None if !has_room => return fault(506, "too many queues"),
            _ => {}
        }
        let new = Queue { exclusive: exclusive.then_some(token), ..Queue::default() };
        let queue = self.queues.entry(key.clone()).or_insert(new);
        queue.declared = true;
        let mut reply = Vec::new();
        reply.put_short_string(&name);
        reply.put_long(queue.waiting.len() as u32);
        let consuming = self.publishers.values().flat_map(|p| p.channels.values());
        let consumers = consuming.flat_map(|c| &c.consumers).filter(|consumer| consumer.queue == key).count();
        reply.put_long(consumers as u32);
        if bits & 16 == 0 {
            let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
            amqp::write_method(&mut publisher.out, number, method::QUEUE_DECLARE_OK, &reply);
        }
        Ok(true)
    }

    /// `queue.delete`: the outcomes of the answers that wait in the queue count as reported.
    fn delete_queue(
        &mut self,
        token: u64,
        number: u16,
        args: &mut Args,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, Fault> {
        let Some(tenant) = self.publishers.get(&token).map(|publisher| publisher.tenant) else {
            return Ok(false);
        };
        args.short()?;
        let key = (tenant, Rc::from(args.short_string()?));
        let bits = args.octet()?;
        if bits & 2 != 0 && self.queues.get(&key).is_some_and(|queue| !queue.waiting.is_empty()) {
            return fault(406, "queue is not empty");
        }
        let count = self.remove_queue(&key, inputs);
        let mut reply = Vec::new();
        reply.put_long(count as u32);
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        if bits & 4 == 0 {
            amqp::write_method(&mut publisher.out, number, method::QUEUE_DELETE_OK, &reply);
        }
        Ok(true)
    }

    /// `basic.consume`: registers a consumer, to which answers of the queue are pushed.
    fn consume(&mut self, token: u64, number: u16, args: &mut Args) -> Result<bool, Fault> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let consumer_count: usize = publisher.channels.values().map(|channel| channel.consumers.len()).sum();
        let Some(channel) = publisher.channels.get_mut(&number) else { return Ok(false) };
        let (tenant, out) = (publisher.tenant, &mut publisher.out);
        args.short()?;
        let key = (tenant, Rc::from(args.short_string()?));
        let (tag, bits) = (args.short_string()?, args.octet()?);
        if !self.queues.contains_key(&key) {
            return fault(404, "no such queue");
        }
        let tag: Rc<[u8]> = if tag.is_empty() {
            self.next_name += 1;
            format!("amq.ctag-{:x}", self.next_name).into_bytes().into()
        } else {
            tag.into()
        };
        let has_room = channel.consumers.len() < MAX_CHANNEL_CONSUMERS && consumer_count < MAX_CONSUMERS;
        if channel.consumers.iter().any(|known| known.tag == tag) || !has_room {
            return fault(530, "consumer tag in use, or too many consumers");
        }
        if bits & 8 == 0 {
            let mut reply = Vec::new();
            reply.put_short_string(&tag);
            amqp::write_method(out, number, method::CONSUME_OK, &reply);
        }
        channel.consumers.push(Consumer { tag, queue: key, no_ack: bits & 2 != 0 });
        Ok(true)
    }

    /// `basic.get`: returns one answer, if the queue has any.
    fn get(
        &mut self,
        token: u64,
        number: u16,
        args: &mut Args,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, Fault> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let Some(channel) = publisher.channels.get_mut(&number) else { return Ok(false) };
        let (tenant, out) = (publisher.tenant, &mut publisher.out);
        args.short()?;
        let key = (tenant, Rc::from(args.short_string()?));
        let no_ack = args.octet()? & 1 != 0;
        let Some(queue) = self.queues.get_mut(&key) else { return fault(404, "no such queue") };
        let Some(answer) = queue.waiting.pop_front() else {
            amqp::write_method(out, number, method::GET_EMPTY, &[0]);
            return Ok(true);
        };
        channel.delivered += 1;
        let mut head = Vec::new();
        head.put_long_long(channel.delivered);
        head.push(answer.redelivered.into());
        head.put_short_string(b"");
        head.put_short_string(&key.1);
        head.put_long(queue.waiting.len() as u32);
        amqp::write_method(out, number, method::GET_OK, &head);
        write_answer(out, number, &answer, publisher.frame_max);
        track_delivery(channel, queue, key, answer, no_ack, inputs);
        Ok(true)
    }

    /// `basic.ack`, `basic.nack`, `basic.reject`: completes deliveries, or requeues them.
    fn settle_deliveries(
        &mut self,
        token: u64,
        number: u16,
        name: Method,
        args: &mut Args,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, Fault> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let Some(channel) = publisher.channels.get_mut(&number) else { return Ok(false) };
        let (tag, bits) = (args.long_long()?, args.octet()?);
        let multiple = name != method::REJECT && bits & 1 != 0;
        let return_to_queue = match name {
            method::NACK => bits & 2 != 0,
            method::REJECT => bits & 1 != 0,
            _ => false,
        };
        let is_settled = |known: &u64| *known == tag || multiple && (*known <= tag || tag == 0);
        let tags: Vec<u64> = channel.unacked.keys().copied().filter(is_settled).collect();
        if tags.is_empty() && !(multiple && tag == 0) {
            return fault(406, "unknown delivery tag");
        }
        for tag in tags.into_iter().rev() {
            let Some((key, answer)) = channel.unacked.remove(&tag) else { continue };
            if return_to_queue {
                requeue(&mut self.queues, &key, answer);
            } else {
                if let Some(queue) = self.queues.get_mut(&key) {
                    queue.unacked = queue.unacked.saturating_sub(1);
                }
                inputs.extend(answer.message.map(Input::OutcomeReported));
            }
        }
        Ok(true)
    }
}
