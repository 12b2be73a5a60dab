//! What all publishers together may hold: connections, queues, and memory of buffers and incomplete messages.

use super::*;

/// Approximate bytes of memory of a consumer, or of an answer without an acknowledgement.
const ENTRY_BYTES: usize = 256;

impl AmqpFront {
    /// Closes the connections that take most memory while all of them together take too much. Messages that
    /// they have sent in part are not accepted. Visits all connections, 64 at most, for each that it closes.
    pub(super) fn free_memory(&mut self, poll: &Poll, now: Micros, inputs: &mut Vec<Input>) {
        loop {
            let total: usize = self.publishers.values().map(|one| one.buffered_bytes).sum();
            let largest = self.publishers.iter().max_by_key(|(_, one)| one.buffered_bytes);
            let Some((&token, publisher)) = largest.filter(|_| total > self.max_buffered_bytes) else {
                return;
            };
            let bytes = publisher.buffered_bytes;
            log!("amqp: closing a connection whose buffers take {bytes} bytes: {total} are in use");
            if publisher.stage != Stage::Closing {
                self.close_for_lack_of_memory(token, now);
                self.flush(poll, token, now, inputs);
            }
            self.disconnect(token, inputs);
        }
    }

    /// Tells a client why its connection closes.
    fn close_for_lack_of_memory(&mut self, token: u64, now: Micros) {
        let Some(publisher) = self.publishers.get_mut(&token) else { return };
        let problem = Fault(506, "the connections take too much memory".to_owned());
        amqp::write_close(&mut publisher.out, 0, &problem, (0, 0));
        publisher.begin_closing(now);
    }

    /// The queues of a tenant.
    pub(super) fn queues_of(&self, tenant: usize) -> impl Iterator<Item = (&QueueName, &Queue)> {
        let first = |tenant| (tenant, Rc::from(&[][..]));
        self.queues.range(first(tenant)..first(tenant + 1))
    }

    /// Whether a tenant may have one queue more. At the limit, queues that nobody declared and that hold no
    /// answers are removed.
    pub(super) fn has_room_for_queue(&mut self, tenant: usize) -> bool {
        if self.queues_of(tenant).count() < MAX_QUEUES {
            return true;
        }
        self.queues.retain(|(owner, _), queue| *owner != tenant || !queue.is_unused());
        self.queues_of(tenant).count() < MAX_QUEUES
    }

    /// Connections by tenant: the number in use and the share of each tenant with a login. Each login costs
    /// one pass over the connections and the tenants.
    pub(super) fn connection_shares(&self) -> Shares {
        let tenant_index = |login: &Login| self.directory.tenants.active_index(&login.tenant);
        let mut limits = vec![(0.0, ShareLimits::default()); self.directory.tenants.len()];
        self.credentials.iter().filter_map(tenant_index).for_each(|tenant| limits[tenant].0 = 1.0);
        let mut shares = Shares::default();
        let connections = PUBLISHER_CONNECTIONS as u64;
        shares.configure(connections, &bounds(connections, &limits));
        let logged_in = self.publishers.values().filter(|one| one.login.is_some());
        logged_in.for_each(|one| shares.acquire(one.tenant, 1));
        shares
    }
}

impl Channel {
    fn buffered_bytes(&self) -> usize {
        let incoming = self.incoming.as_ref().map_or(0, |(_, header, body)| {
            body.capacity() + header.as_ref().map_or(0, |(properties, _)| properties.memory_bytes())
        });
        std::mem::size_of::<Channel>() + incoming + ENTRY_BYTES * (self.consumers.len() + self.unacked.len())
    }
}

impl Publisher {
    /// Bytes of memory that its buffers and incomplete messages take.
    pub(super) fn count_buffered_bytes(&self) -> usize {
        let channels: usize = self.channels.values().map(Channel::buffered_bytes).sum();
        self.stream.buffered_bytes() + self.out.capacity() + channels
    }
}
