//! Publishing: each publish is a submission to the core, whose reply becomes a confirm.

use super::*;

impl AmqpFront {
    /// Submits the publish of a channel once its content is complete.
    pub(super) fn submit_if_complete(
        &mut self,
        token: u64,
        number: u16,
        inputs: &mut Vec<Input>,
    ) -> Result<bool, (Fault, Method, u16)> {
        let Some(publisher) = self.publishers.get_mut(&token) else { return Ok(false) };
        let Some(channel) = publisher.channels.get_mut(&number) else { return Ok(true) };
        let is_complete = |body: &Vec<u8>, size: u64| body.len() as u64 == size;
        let incoming = channel
            .incoming
            .take_if(|(_, header, body)| header.as_ref().is_some_and(|(_, size)| is_complete(body, *size)));
        let Some((mandatory, Some((properties, _)), body)) = incoming else { return Ok(true) };
        let tenant = publisher.tenant;
        self.next_token += 1;
        let (offer, reply) = parse_submission(self.next_token, tenant, &self.directory, properties, body)
            .map_err(|problem| (problem, method::PUBLISH, number))?;
        if channel.confirms {
            channel.published += 1;
        }
        let tag = if channel.confirms { channel.published } else { 0 };
        let reply = reply.map(|(name, correlation)| ((tenant, name), correlation));
        let id = offer.id.clone();
        let submission = PendingSubmission { connection: token, channel: number, tag, mandatory, reply, id };
        let has_room = submission.reply.is_none()
            || submission.reply.as_ref().is_some_and(|(name, _)| self.has_room_for_answer(name));
        if !has_room {
            log!("amqp: a reply queue is full, or its tenant has too many, rejecting its publishes");
            self.confirm(&submission, false);
        } else {
            let exclusive = submission.reply.as_ref().and_then(|(name, _)| self.queues.get(name));
            let exclusive = exclusive.is_some_and(|queue| queue.exclusive.is_some());
            let origin = submission.reply.as_ref().map_or(Vec::new(), |((_, name), correlation)| {
                let mut origin = vec![exclusive.into()];
                origin.put_short_string(name);
                origin.put_short_string(correlation);
                origin
            });
            self.pending.insert(self.next_token, submission);
            inputs.push(Input::Submission(MessageSubmission { origin: origin.into(), ..offer }));
        }
        Ok(true)
    }

    /// Whether one more answer may wait in a queue, which may not exist yet.
    fn has_room_for_answer(&mut self, name: &QueueName) -> bool {
        let Some(queue) = self.queues.get(name) else { return self.has_room_for_queue(name.0) };
        queue.waiting.len() + queue.unacked < MAX_QUEUED_ANSWERS
    }

    /// Queues the outcome of a message that had ended before this submission, unless its first answer still
    /// waits. Returns whether there is room for it. Cost: the tenant's waiting answers.
    fn repeat_answer(&mut self, submission: &PendingSubmission, end: FinalOutcome) -> bool {
        let Some((name, correlation)) = submission.reply.clone() else { return true };
        let waiting = self.queues_of(name.0).flat_map(|(_, queue)| &queue.waiting);
        if waiting.filter(|answer| answer.message.is_none()).count() >= MAX_REPEATED_ANSWERS {
            return false;
        }
        let queue = self.queues.entry(name).or_default();
        if !queue.waiting.iter().any(|answer| answer.id == submission.id) {
            let id = submission.id.clone();
            let answer = Answer { message: None, id, correlation, end, redelivered: false };
            queue.waiting.push_back(answer);
        }
        true
    }

    /// Answers a publish with the core's reply.
    pub fn reply(&mut self, poll: &Poll, token: Token, reply: Reply, now: Micros, inputs: &mut Vec<Input>) {
        let Some(submission) = self.pending.remove(&token) else { return };
        match reply {
            Reply::Accepted => self.confirm(&submission, true),
            Reply::Rejected(_) | Reply::IdConflict => self.confirm(&submission, false),
            Reply::AlreadyEnded(end) => {
                let has_room = self.repeat_answer(&submission, end);
                self.confirm(&submission, has_room);
            }
            Reply::Unknown => {
                let problem = Fault(406, "unknown class or destination".into());
                if self.is_channel_open(&submission) {
                    self.close_channel(submission.connection, submission.channel, &problem, method::PUBLISH);
                }
            }
        }
        self.push_to_consumers(inputs);
        self.flush_all(poll, now, inputs);
    }

    /// Whether the channel of a submission is still open: it may have been closed, and its number reused,
    /// meanwhile.
    pub(super) fn is_channel_open(&self, submission: &PendingSubmission) -> bool {
        let channel =
            self.publishers.get(&submission.connection).and_then(|p| p.channels.get(&submission.channel));
        channel.is_some_and(|channel| channel.published >= submission.tag && !channel.closing)
    }

    /// Closes a channel with an error. Its frames are ignored until the peer has confirmed the close.
    pub(super) fn close_channel(&mut self, token: u64, number: u16, problem: &Fault, cause: Method) {
        log!("amqp: closing a channel: {} {}", problem.0, problem.1);
        self.drop_channel(token, number);
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        amqp::write_close(&mut publisher.out, number, problem, cause);
        publisher.channels.insert(number, Channel { closing: true, ..Channel::default() });
    }

    pub(super) fn confirm(&mut self, submission: &PendingSubmission, accepted: bool) {
        if !self.is_channel_open(submission) {
            return;
        }
        let Some(publisher) = self.publishers.get_mut(&submission.connection) else { return };
        let mut args = Vec::new();
        if submission.tag > 0 {
            args.put_long_long(submission.tag);
            args.push(0);
            let name = if accepted { method::ACK } else { method::NACK };
            amqp::write_method(&mut publisher.out, submission.channel, name, &args);
        } else if !accepted && submission.mandatory {
            args.put_short(313);
            args.put_short_string(b"turned down");
            args.put_short_string(b"");
            args.put_short_string(b"");
            amqp::write_method(&mut publisher.out, submission.channel, method::RETURN, &args);
            let properties = Properties { message_id: Some(submission.id.clone()), ..Properties::default() };
            amqp::write_content(
                &mut publisher.out,
                submission.channel,
                &properties,
                b"",
                publisher.frame_max,
            );
        }
    }
}

type ReplyTo = Option<(Rc<[u8]>, Rc<[u8]>)>;

/// Parses a submission from a publish. Missing or unknown properties close the channel.
fn parse_submission(
    token: Token,
    tenant: usize,
    directory: &Directory,
    properties: Properties,
    body: Vec<u8>,
) -> Result<(MessageSubmission, ReplyTo), Fault> {
    let is_graphic = |name: &[u8]| !name.is_empty() && name.iter().all(u8::is_ascii_graphic);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let destination = properties.header("dest").and_then(|dest| text(&dest).parse().ok());
    let Some(destination) = destination.map(DestinationId) else {
        return fault(406, "header dest is missing or no number");
    };
    let key: Option<Rc<[u8]>> = properties.header("key").map(Rc::from);
    let Some(id) = properties.message_id.clone().filter(|id| is_graphic(id)) else {
        return fault(406, "message-id is missing or not plain");
    };
    if key.as_ref().is_some_and(|key| !is_graphic(key) || key.len() > 255) {
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
    let offer = MessageSubmission {
        token,
        front: AMQP_FRONT,
        id_scope: IdScope::Tenant,
        report_delivery: reply.is_some(),
        tenant,
        class,
        destination,
        id,
        key,
        time_left,
        resubmitted: false,
        origin: Rc::from(&[][..]),
        body: body.into(),
    };
    Ok((offer, reply))
}
