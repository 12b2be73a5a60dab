//! Received datagrams: sender checks, membership updates and replies.

use super::*;

impl Node {
    /// Handles a datagram received from the address `from`.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.now = now;
        self.stats.received += 1;
        let packet = match wire::decode(bytes, &self.cluster, self.key.as_ref()) {
            Ok(packet) => packet,
            Err(cause) => return self.stats.count_dropped(cause),
        };
        if let Err(cause) = self.check_sender(&packet) {
            self.reply_to_rejected_sender(now, from, &packet, cause, out);
            return self.stats.count_dropped(cause);
        }
        let Packet { from: sender, holding, body, entries, .. } = packet;
        if let Some(member) = self.members.get_mut(&sender.name) {
            if member.id.generation == sender.generation {
                member.heard = Some(now);
            }
        }
        self.apply_entries(now, &sender, &body, &entries, out);
        if self.left {
            return;
        }
        // A known name with a newer generation is a process that this member has not heard of: the update
        // about its start is sent a bounded number of times to random members and may have missed this one.
        let known = self.members.get(&sender.name);
        if known.is_none_or(|member| member.id.generation < sender.generation) {
            self.stats.strangers += 1;
            self.reply_to_unknown_sender(now, from, &sender, out);
        } else if let Some(holding) = holding {
            if self.held_list.is_none_or(|(edition, ..)| edition <= holding.edition) {
                out.push(Output::ListAnnounced(from, holding));
            }
        }
        self.handle_body(now, from, sender, body, out);
    }

    /// Replies to some rejected senders with the reason.
    fn reply_to_rejected_sender(
        &mut self,
        now: Micros,
        from: SocketAddr,
        packet: &Packet,
        cause: DropReason,
        out: &mut Vec<Output>,
    ) {
        if cause != DropReason::Stale {
            return;
        }
        if packet.from.name != self.me.name {
            // After a restart with a clock that went back, the sender learns which generation it has to
            // exceed.
            self.reply_to_unknown_sender(now, from, &packet.from, out);
        } else {
            let id = packet.from.clone();
            self.handle_own_entry(&Entry { id, incarnation: 0, state: State::Alive, accuser: None }, out);
        }
    }

    /// Applies the membership updates that a datagram carries.
    fn apply_entries(
        &mut self,
        now: Micros,
        sender: &Identity,
        body: &Body,
        entries: &[Entry],
        out: &mut Vec<Output>,
    ) {
        let is_full_state = matches!(body, Body::Sync { .. });
        let cause = if is_full_state { "sync" } else { "gossip" };
        for entry in entries {
            // A full state may come from the other side of a healed partition: members that are dead there
            // may be alive here. They become suspect first, which gives them time to refute (as the
            // best-known Go implementation does).
            let recorded = self.members.get(&entry.id.name);
            let live = recorded.is_some_and(|recorded| {
                recorded.state.live() && recorded.id.generation == entry.id.generation
            });
            if entry.state == State::Dead && is_full_state && live {
                let (state, accuser) = (State::Suspect, Some(sender.name.clone()));
                let suspicion = Entry { state, accuser, ..entry.clone() };
                self.apply(now, &suspicion, &sender.name, cause, out);
            } else {
                self.apply(now, entry, &sender.name, cause, out);
            }
        }
    }

    /// Handles the body of a datagram.
    fn handle_body(
        &mut self,
        now: Micros,
        from: SocketAddr,
        sender: Identity,
        body: Body,
        out: &mut Vec<Output>,
    ) {
        match body {
            Body::Ping { seq, target, .. } => self.handle_ping(from, &sender, seq, &target, out),
            Body::PingReq { seq, target } => self.handle_ping_req(now, from, seq, target, out),
            Body::Ack { seq } => self.handle_ack(seq, out),
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                    self.stats.nacks += 1;
                }
            }
            Body::Sync { reply: true, .. } => self.handle_sync_request(now, from, &sender.name, out),
            Body::ListRequest(wanted) => {
                if self.is_live(&sender.name) {
                    out.push(Output::ListRequested(from, wanted));
                }
            }
            Body::ListPiece { edition, index, count, bytes } => {
                out.push(Output::ListPiece { from, edition, index, count, bytes });
            }
            Body::MaintenancePart(part) => {
                if self.is_live(&sender.name) {
                    out.push(Output::MaintenancePart(sender.name, part));
                }
            }
            Body::Sync { reply: false, .. } | Body::Gossip => {}
        }
    }

    fn is_live(&self, name: &str) -> bool {
        self.members.get(name).is_some_and(|member| member.state.live())
    }

    fn handle_ping(
        &mut self,
        from: SocketAddr,
        sender: &Identity,
        seq: u32,
        target: &Identity,
        out: &mut Vec<Output>,
    ) {
        // A new process on an old address must not ack probes of the previous one.
        if target.name != self.me.name || target.generation != self.me.generation {
            return;
        }
        let mut notice = self.buddy_notice(sender);
        if self.incarnation > 0 {
            // The ack carries the refutation for a sender that missed it and may have a suspicion timeout
            // running.
            notice.push(self.own_entry());
        }
        self.send(from, Body::Ack { seq }, &notice, out);
    }

    /// Pings a target for a member that got no ack from it.
    fn handle_ping_req(
        &mut self,
        now: Micros,
        origin: SocketAddr,
        origin_seq: u32,
        target: Identity,
        out: &mut Vec<Output>,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        self.seq = self.seq.wrapping_add(1);
        let seq = self.seq;
        let suspected = self.members.get(&target.name).is_some_and(|member| member.state == State::Suspect);
        let address = target.address;
        self.send(address, Body::Ping { seq, target, suspected }, &[], out);
        self.relays.insert(seq, RelayedProbe { origin, origin_seq });
        let nack_at = now.plus(Micros(self.settings.probe_timeout.0 * 4 / 5));
        self.timers.push(Reverse((nack_at, Timer::RelayNack(seq))));
    }

    fn handle_ack(&mut self, seq: u32, out: &mut Vec<Output>) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.acked) {
            probe.acked = true;
            self.stats.acks += 1;
            self.local_health = self.local_health.saturating_sub(1);
        } else if let Some(relay) = self.relays.remove(&seq) {
            self.send(relay.origin, Body::Ack { seq: relay.origin_seq }, &[], out);
        }
    }

    /// Sends the full state, unless the member got it a short time ago.
    fn handle_sync_request(&mut self, now: Micros, from: SocketAddr, name: &str, out: &mut Vec<Output>) {
        let min_gap = self.settings.sync_interval.0 / SYNC_REPLIES_PER_INTERVAL;
        let last = self.members.get(name).and_then(|member| member.last_sync_reply);
        if last.is_some_and(|at| now.minus(at).0 < min_gap) {
            return;
        }
        if let Some(member) = self.members.get_mut(name) {
            member.last_sync_reply = Some(now);
        }
        self.send_full_state(from, false, out);
    }

    /// Sends an unknown sender, or one with an older generation than the known one, what is known about it,
    /// and requests its full state. Sends at most one reply per probe interval to all such senders together,
    /// so that a flood of them costs little.
    pub(super) fn reply_to_unknown_sender(
        &mut self,
        now: Micros,
        to: SocketAddr,
        sender: &Identity,
        out: &mut Vec<Output>,
    ) {
        if self.left || now < self.next_unknown_sender_reply {
            return;
        }
        self.next_unknown_sender_reply = now.plus(self.settings.probe_interval);
        let known = self.members.get(&sender.name).map(|member| Entry {
            id: member.id.clone(),
            incarnation: member.incarnation,
            state: member.state,
            accuser: None,
        });
        let entries: Vec<Entry> = [self.own_entry()].into_iter().chain(known).collect();
        self.send(to, Body::Sync { reply: true, last: true }, &entries, out);
    }

    /// Checks a packet's sender: it must not use this member's name, have an older generation than the known
    /// one, or repeat a packet.
    pub(super) fn check_sender(&mut self, packet: &Packet) -> Result<(), DropReason> {
        let from = &packet.from;
        if from.name == self.me.name {
            return Err(DropReason::Stale);
        }
        if self.members.get(&from.name).is_some_and(|member| member.id.generation > from.generation) {
            return Err(DropReason::Stale);
        }
        if let Some(window) = self.replay_windows.get_mut(&from.name) {
            return window.accept(from.generation, packet.seq);
        }
        if self.replay_windows.len() < MAX_NON_MEMBER_WINDOWS + self.members.len() {
            self.replay_windows
                .insert(from.name.clone(), ReplayWindow::starting_at(from.generation, packet.seq));
        }
        Ok(())
    }
}
