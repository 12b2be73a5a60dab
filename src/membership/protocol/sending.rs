//! Sent datagrams: piggybacked updates, buddy notices and full-state syncs.

use super::*;

impl Node {
    /// Contacts a random seed address that has no live member: the seed was down, or formed a cluster of its
    /// own meanwhile.
    pub(super) fn contact_absent_seed(&mut self, out: &mut Vec<Output>) {
        if self.seeds.is_empty() || self.is_joining() {
            return;
        }
        let seed = self.seeds[self.rng.usize(..self.seeds.len())];
        let known = self.addresses.get(&seed).and_then(|name| self.members.get(name));
        if known.is_some_and(|member| member.id.address == seed && member.state.live()) {
            return;
        }
        let own = self.own_entry();
        self.send(seed, Body::Sync { reply: true, last: true }, std::slice::from_ref(&own), out);
    }

    /// Lifeguard's buddy notice: each ping or ack to a suspect starts with the suspicion, so that it can
    /// refute at once. Sent also to a member that was declared dead but still probes.
    pub(super) fn buddy_notice(&self, to: &Identity) -> Vec<Entry> {
        match self.members.get(&to.name) {
            Some(member)
                if member.id.generation == to.generation
                    && matches!(member.state, State::Suspect | State::Dead) =>
            {
                vec![Entry {
                    id: member.id.clone(),
                    incarnation: member.incarnation,
                    state: member.state,
                    accuser: None,
                }]
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn own_entry(&self) -> Entry {
        let state = if self.left { State::Left } else { State::Alive };
        Entry { id: self.me.clone(), incarnation: self.incarnation, state, accuser: None }
    }

    pub(super) fn holding(&self) -> Option<Holding> {
        let (edition, digest, confirmed) = self.held_list?;
        // A list that was never confirmed gets the maximum age.
        let age = confirmed.map_or(Micros(u64::MAX), |at| self.now.minus(at));
        Some(Holding { edition, digest, age })
    }

    /// Sends `body` with the `priority_entries` and as many pending updates as fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        priority_entries: &[Entry],
        out: &mut Vec<Output>,
    ) {
        let mut entries: Vec<Entry> = priority_entries.to_vec();
        let mut capacity = self.writer.entry_capacity(&body);
        for entry in &entries {
            capacity = capacity.saturating_sub(wire::entry_size(entry));
        }
        let limit = self.retransmit_limit();
        self.broadcasts.take_batch(capacity, limit, &mut entries);
        self.packet_seq += 1;
        let holding = self.holding();
        let bytes = self.writer.write(self.packet_seq, holding.as_ref(), &body, &entries);
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        out.push(Output::Send { to, bytes });
    }

    /// Sends the full state to `to`, split into pieces that fit a datagram each.
    pub(super) fn send_full_state(&mut self, to: SocketAddr, reply: bool, out: &mut Vec<Output>) {
        let mut all = vec![self.own_entry()];
        all.extend(self.members.values().map(|member| Entry {
            id: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
            accuser: None,
        }));
        let capacity = self.writer.entry_capacity(&Body::Sync { reply, last: false });
        let mut pieces: Vec<Vec<Entry>> = vec![Vec::new()];
        let mut used = 0;
        for entry in all {
            let size = wire::entry_size(&entry);
            if used + size > capacity
                || pieces.last().is_some_and(|piece| piece.len() == usize::from(u8::MAX))
            {
                pieces.push(Vec::new());
                used = 0;
            }
            used += size;
            pieces.last_mut().expect("at least one piece").push(entry);
        }
        let count = pieces.len();
        for (index, piece) in pieces.into_iter().enumerate() {
            self.packet_seq += 1;
            let body = Body::Sync { reply, last: index + 1 == count };
            let holding = self.holding();
            let bytes = self.writer.write(self.packet_seq, holding.as_ref(), &body, &piece);
            self.stats.sent += 1;
            self.stats.sent_bytes += bytes.len() as u64;
            out.push(Output::Send { to, bytes });
        }
    }
}
