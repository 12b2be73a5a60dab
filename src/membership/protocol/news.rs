//! Membership updates and their effect on this member's state.

use super::*;

impl Node {
    /// Applies an update about a member that came by gossip, by a sync or from this member's own probe.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        entry: &Entry,
        from: &str,
        cause: &'static str,
        out: &mut Vec<Output>,
    ) {
        if entry.id.name == self.me.name {
            return self.handle_own_entry(entry, out);
        }
        if self.timers.len() >= MAX_TIMERS {
            self.stats.overflow += 1;
            return;
        }
        let Some(member) = self.members.get_mut(&entry.id.name) else {
            return self.add_member(now, entry, from, cause, out);
        };
        if entry.id.generation < member.id.generation {
            return;
        }
        if entry.id.generation > member.id.generation {
            let old = member.id.clone();
            let (old_state, old_incarnation) = (member.state, member.incarnation);
            if old_state.live() {
                self.stats.dead += 1;
                out.push(Output::Changed(StateChange {
                    id: old,
                    incarnation: old_incarnation,
                    from: Some(old_state),
                    to: State::Dead,
                    cause: "restarted",
                }));
            }
            return self.add_member(now, entry, from, cause, out);
        }
        let before = member.state;
        let recorded = Belief { incarnation: member.incarnation, state: before };
        let update = Belief { incarnation: entry.incarnation, state: entry.state };
        if !rules::supersedes(recorded, update) {
            if recorded == update && update.state == State::Suspect {
                self.confirm_suspicion(entry);
            }
            return;
        }
        let next = entry.state;
        if before == State::Suspect && next == State::Alive {
            self.stats.refutations += 1;
        }
        member.suspicion = None;
        member.incarnation = entry.incarnation;
        member.state = next;
        member.since = now;
        let id = member.id.clone();
        let incarnation = member.incarnation;
        let joins_probe_order = next.live() && !member.in_probe_order;
        if joins_probe_order {
            member.in_probe_order = true;
        }
        if next == State::Suspect {
            self.start_suspicion(now, entry, from);
            self.stats.suspicions += 1;
        }
        if !next.live() && next != before {
            self.timers.push(Reverse((
                now.plus(self.settings.reap_after),
                Timer::Reap { name: id.name.clone(), generation: id.generation },
            )));
            match next {
                State::Dead => {
                    self.stats.dead += 1;
                    if self.dead_names.len() < MAX_MEMBERS {
                        self.dead_names.push(id.name.clone());
                    }
                }
                _ => self.stats.left += 1,
            }
        }
        if joins_probe_order {
            self.probe_order.insert(id.name.clone(), &mut self.rng);
        }
        self.counts.record_transition(Some(before), Some(next));
        let accuser = if next == State::Suspect { entry.accuser.clone() } else { None };
        self.broadcasts.push(Entry { id: id.clone(), incarnation, state: next, accuser });
        if before != next {
            let cause = if before == State::Suspect && next == State::Alive { "refuted" } else { cause };
            out.push(Output::Changed(StateChange { id, incarnation, from: Some(before), to: next, cause }));
        }
    }

    /// Starts the suspicion timeout of a known member. `from` is the accuser if the entry names none.
    fn start_suspicion(&mut self, now: Micros, entry: &Entry, from: &str) {
        let Some(member) = self.members.get_mut(&entry.id.name) else { return };
        let accuser = entry.accuser.as_deref().unwrap_or(from);
        let suspicion = Suspicion::new(now, accuser, self.counts.live(), &self.settings);
        let timer = Timer::Suspicion {
            name: entry.id.name.clone(),
            generation: entry.id.generation,
            incarnation: entry.incarnation,
        };
        self.timers.push(Reverse((suspicion.deadline(), timer)));
        member.suspicion = Some(suspicion);
    }

    /// Shortens the suspicion timeout for an independent accuser (Lifeguard). A repeated accusation has no
    /// effect.
    pub(super) fn confirm_suspicion(&mut self, entry: &Entry) {
        let Some(member) = self.members.get_mut(&entry.id.name) else { return };
        let (Some(suspicion), Some(accuser)) = (member.suspicion.as_mut(), entry.accuser.as_deref()) else {
            return;
        };
        if !suspicion.confirm(accuser) {
            return;
        }
        let timer = Timer::Suspicion {
            name: entry.id.name.clone(),
            generation: entry.id.generation,
            incarnation: member.incarnation,
        };
        self.timers.push(Reverse((suspicion.deadline(), timer)));
        self.broadcasts.push(entry.clone());
    }

    /// Adds an unknown member, or a new generation that replaces the old one. The new generation also takes
    /// over the old one's entry in the probe order: a second entry would, with each restart, draw probes and
    /// gossip away from the other members.
    pub(super) fn add_member(
        &mut self,
        now: Micros,
        entry: &Entry,
        from: &str,
        cause: &'static str,
        out: &mut Vec<Output>,
    ) {
        let replaced = self.members.remove(&entry.id.name);
        if replaced.is_none() && self.members.len() >= MAX_MEMBERS {
            self.stats.overflow += 1;
            return;
        }
        let in_probe_order = replaced.as_ref().is_some_and(|member| member.in_probe_order);
        self.counts.record_transition(replaced.as_ref().map(|member| member.state), None);
        let live = entry.state.live();
        let old_address = replaced.as_ref().map(|member| member.id.address);
        if let Some(old) = old_address.filter(|old| self.addresses.get(old) == Some(&entry.id.name)) {
            self.addresses.remove(&old);
        }
        self.addresses.insert(entry.id.address, entry.id.name.clone());
        let member = MemberRecord {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            state: entry.state,
            since: now,
            heard: None,
            suspicion: None,
            in_probe_order: live || in_probe_order,
            last_sync_reply: None,
        };
        self.members.insert(entry.id.name.clone(), member);
        self.counts.record_transition(None, Some(entry.state));
        if !live {
            // Only remembered, so that older gossip does not revive the member; it is not announced.
            self.timers.push(Reverse((
                now.plus(self.settings.reap_after),
                Timer::Reap { name: entry.id.name.clone(), generation: entry.id.generation },
            )));
            return;
        }
        if !in_probe_order {
            self.probe_order.insert(entry.id.name.clone(), &mut self.rng);
        }
        if entry.state == State::Suspect {
            self.start_suspicion(now, entry, from);
        }
        self.stats.joined += 1;
        self.broadcasts.push(entry.clone());
        out.push(Output::Changed(StateChange {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            from: None,
            to: entry.state,
            cause,
        }));
    }

    /// Handles an update about this member. A suspicion or death is refuted with a higher incarnation, which
    /// is gossiped. An equal or higher generation at this member's own address comes from an earlier start of
    /// it (the clock went back) or from a leave announcement that it did not send: it continues with a higher
    /// generation. At another address it is another process with the same name.
    pub(super) fn handle_own_entry(&mut self, entry: &Entry, out: &mut Vec<Output>) {
        if entry.id.generation < self.me.generation || self.left {
            return;
        }
        if entry.id.address != self.me.address {
            out.push(Output::NameConflict(entry.id.clone()));
            return;
        }
        if entry.id.generation > self.me.generation || entry.state == State::Left {
            self.me.generation = entry.id.generation.saturating_add(1);
            self.incarnation = 0;
            self.writer = PacketWriter::new(&self.cluster, &self.me, self.key.clone());
            self.broadcasts.push(self.own_entry());
            out.push(Output::GenerationRaised(self.me.generation));
            return;
        }
        let update = Belief { incarnation: entry.incarnation, state: entry.state };
        if let Some(incarnation) = rules::refuting_incarnation(self.incarnation, update) {
            self.incarnation = incarnation;
            if update.state != State::Alive {
                self.stats.refuted_self += 1;
                // Lifeguard: a suspicion may be caused by this member being slow as much as by the others.
                self.local_health = (self.local_health + 1).min(self.settings.max_local_health);
            }
            let own = self.own_entry();
            self.broadcasts.push(own.clone());
            // The accuser gets the refutation at once, not by random gossip.
            let accuser = entry.accuser.as_ref().and_then(|name| self.members.get(name));
            if let Some(address) = accuser.map(|member| member.id.address) {
                self.send(address, Body::Gossip, &[own], out);
            }
        }
    }
}
