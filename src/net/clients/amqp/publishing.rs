//! Publishes: each is an offer to the core, and its reply a confirmation.

use super::*;

impl AmqpFront {
    /// A content may be whole now: then it is offered.
    pub(super) fn published(
        &mut self,
        token: u64,
        number: u16,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, (Fault, Method, u16)> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let Some(channel) = publisher.channels.get_mut(&number) else { return Ok(true) };
        let whole = |body: &Vec<u8>, size: u64| body.len() as u64 == size;
        let coming = channel
            .coming
            .take_if(|(_, header, body)| header.as_ref().is_some_and(|(_, size)| whole(body, *size)));
        let Some((mandatory, Some((properties, _)), body)) = coming else { return Ok(true) };
        let tenant = publisher.tenant;
        self.next_token += 1;
        let (offer, reply) = offer(self.next_token, tenant, &self.directory, properties, body)
            .map_err(|problem| (problem, method::PUBLISH, number))?;
        if channel.confirms {
            channel.published += 1;
        }
        let tag = if channel.confirms { channel.published } else { 0 };
        let reply = reply.map(|(name, correlation)| ((tenant, name), correlation));
        let id = offer.id.clone();
        let asked = Asked { connection: token, channel: number, tag, mandatory, reply, id };
        let full = asked.reply.as_ref().is_some_and(|(name, _)| {
            self.queues.get(name).is_some_and(|queue| queue.waiting.len() + queue.out >= MOST_WAITING)
        });
        if full {
            log!("amqp: a reply queue is full, its publishes are turned down");
            self.confirm(&asked, false);
        } else {
            let exclusive = asked.reply.as_ref().and_then(|(name, _)| self.queues.get(name));
            let exclusive = exclusive.is_some_and(|queue| queue.exclusive.is_some());
            let origin = asked.reply.as_ref().map_or(Vec::new(), |((_, name), correlation)| {
                let mut origin = vec![exclusive.into()];
                origin.put_short_string(name);
                origin.put_short_string(correlation);
                origin
            });
            self.asked.insert(self.next_token, asked);
            inputs.push(Input::Offer(Offer { origin: origin.into(), ..offer }));
        }
        Ok(true)
    }

    /// The core's reply to an offer.
    pub fn reply(&mut self, poll: &Poll, token: Token, reply: Reply, now: Micros, inputs: &mut Vec<Input>) {
        let Some(asked) = self.asked.remove(&token) else { return };
        match reply {
            Reply::TakenOn => self.confirm(&asked, true),
            Reply::TurnDown(_) | Reply::Taken => self.confirm(&asked, false),
            Reply::Known(end) => {
                self.confirm(&asked, true);
                if let Some((name, correlation)) = asked.reply.clone() {
                    // Not a second time while the first one still waits.
                    let queue = self.queues.entry(name).or_default();
                    if !queue.waiting.iter().any(|answer| answer.id == asked.id) {
                        let id = asked.id.clone();
                        let answer = Answer { flow: None, id, correlation, end, redelivered: false };
                        queue.waiting.push_back(answer);
                    }
                }
            }
            Reply::Unknown => {
                let problem = Fault(406, "unknown class or destination".into());
                if self.lives(&asked) {
                    self.close_channel(asked.connection, asked.channel, &problem, method::PUBLISH);
                }
            }
        }
        self.push_to_consumers(inputs);
        self.flush_all(poll, now, inputs);
    }

    /// The channel of an offer may have been closed, and its number given to another, meanwhile.
    pub(super) fn lives(&self, asked: &Asked) -> bool {
        let channel = self.publishers.get(&asked.connection).and_then(|p| p.channels.get(&asked.channel));
        channel.is_some_and(|channel| channel.published >= asked.tag && !channel.closing)
    }

    /// Says what is wrong; until the peer has confirmed the close, nothing on the channel counts.
    pub(super) fn close_channel(&mut self, token: u64, number: u16, problem: &Fault, cause: Method) {
        log!("amqp: closing a channel: {} {}", problem.0, problem.1);
        self.drop_channel(token, number);
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        amqp::write_close(&mut publisher.out, number, problem, cause);
        publisher.channels.insert(number, Channel { closing: true, ..Channel::default() });
    }

    pub(super) fn confirm(&mut self, asked: &Asked, taken_on: bool) {
        if !self.lives(asked) {
            return;
        }
        let Some(publisher) = self.publishers.get_mut(&asked.connection) else { return };
        let mut args = Vec::new();
        if asked.tag > 0 {
            args.put_long_long(asked.tag);
            args.push(0);
            let name = if taken_on { method::ACK } else { method::NACK };
            amqp::write_method(&mut publisher.out, asked.channel, name, &args);
        } else if !taken_on && asked.mandatory {
            args.put_short(313);
            args.put_short_string(b"turned down");
            args.put_short_string(b"");
            args.put_short_string(b"");
            amqp::write_method(&mut publisher.out, asked.channel, method::RETURN, &args);
            let properties = Properties { message_id: Some(asked.id.clone()), ..Properties::default() };
            amqp::write_content(&mut publisher.out, asked.channel, &properties, b"", publisher.frame_max);
        }
    }
}
