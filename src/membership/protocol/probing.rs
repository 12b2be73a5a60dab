//! Probes, indirect probes, timeouts, and the choice of the next probe target.

use super::*;

impl Node {
    /// Handles an expired timer.
    pub(super) fn on_timer(&mut self, now: Micros, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::ProbeTimeout(seq) => {
                let Some(probe) = self.probe.as_ref().filter(|probe| probe.seq == seq && !probe.acked) else {
                    return;
                };
                let target = probe.target.clone();
                let mut requested = 0u64;
                let mut helpers: Vec<SocketAddr> = Vec::new();
                for _ in 0..self.settings.indirect_probes * 3 {
                    if helpers.len() >= self.settings.indirect_probes {
                        break;
                    }
                    if let Some(helper) = self.random_live_address(Some(&target.name)) {
                        if !helpers.contains(&helper) {
                            helpers.push(helper);
                        }
                    }
                }
                for helper in helpers {
                    self.send(helper, Body::PingReq { seq, target: target.clone() }, &[], out);
                    requested += 1;
                }
                self.stats.indirect += requested;
                if let Some(probe) = self.probe.as_mut() {
                    probe.expected_nacks = requested;
                }
            }
            Timer::ProbeEnd(seq) => {
                let Some(probe) = self.probe.take_if(|probe| probe.seq == seq) else { return };
                if probe.acked {
                    return;
                }
                // Lifeguard: missing nacks from helpers indicate a problem with this member's own links, not
                // the target's.
                let penalty = if probe.expected_nacks > 0 {
                    probe.expected_nacks.saturating_sub(probe.nacks)
                } else {
                    1
                };
                self.local_health = (self.local_health + penalty as u32).min(self.settings.max_local_health);
                if let Some(member) = self.members.get(&probe.target.name) {
                    // If the target is suspect already, this failed probe is one more independent
                    // confirmation (Lifeguard).
                    if member.id.generation == probe.target.generation && member.state.live() {
                        let entry = Entry {
                            id: member.id.clone(),
                            incarnation: member.incarnation,
                            state: State::Suspect,
                            accuser: Some(self.me.name.clone()),
                        };
                        let me = self.me.name.clone();
                        self.apply(now, &entry, &me, "probe", out);
                    }
                }
            }
            Timer::RelayNack(seq) => {
                if let Some(relay) = self.relays.remove(&seq) {
                    self.send(relay.origin, Body::Nack { seq: relay.origin_seq }, &[], out);
                }
            }
            Timer::Suspicion { name, generation, incarnation } => {
                let Some(member) = self.members.get(&name) else { return };
                let Some(suspicion) = member.suspicion.as_ref() else { return };
                if member.id.generation != generation || member.incarnation != incarnation {
                    return;
                }
                let deadline = suspicion.deadline();
                if deadline > now {
                    self.timers.push(Reverse((deadline, Timer::Suspicion { name, generation, incarnation })));
                    return;
                }
                let entry = Entry { id: member.id.clone(), incarnation, state: State::Dead, accuser: None };
                let me = self.me.name.clone();
                self.apply(now, &entry, &me, "timeout", out);
            }
            Timer::Reap { name, generation } => {
                let due = self.members.get(&name).is_some_and(|member| {
                    member.id.generation == generation
                        && !member.state.live()
                        && now.minus(member.since) >= self.settings.reap_after
                });
                if due {
                    if let Some(member) = self.members.remove(&name) {
                        self.counts.record_transition(Some(member.state), None);
                        if member.in_probe_order {
                            self.probe_order.remove(&name);
                        }
                        if self.addresses.get(&member.id.address) == Some(&name) {
                            self.addresses.remove(&member.id.address);
                        }
                    }
                    self.replay_windows.remove(&name);
                }
            }
        }
    }

    /// Runs one protocol period: probes the next member of the shuffled order.
    pub(super) fn start_probe(&mut self, now: Micros, out: &mut Vec<Output>) {
        if let Some(name) = self.next_probe_target() {
            let member = &self.members[&name];
            let target = member.id.clone();
            let suspected = member.state == State::Suspect;
            self.seq = self.seq.wrapping_add(1);
            let seq = self.seq;
            self.stats.probes += 1;
            self.probe =
                Some(Probe { seq, target: target.clone(), acked: false, expected_nacks: 0, nacks: 0 });
            self.timers.push(Reverse((
                now.plus(self.scale_by_health(self.settings.probe_timeout)),
                Timer::ProbeTimeout(seq),
            )));
            self.timers.push(Reverse((
                now.plus(self.scale_by_health(self.settings.probe_interval)),
                Timer::ProbeEnd(seq),
            )));
            let address = target.address;
            let notice = self.buddy_notice(&target);
            self.send(address, Body::Ping { seq, target, suspected }, &notice, out);
        }
    }

    /// The next live member of the current probe round.
    pub(super) fn next_probe_target(&mut self) -> Option<String> {
        let members = &mut self.members;
        self.probe_order.next(&mut self.rng, |name| {
            let Some(member) = members.get_mut(name) else { return false };
            member.in_probe_order = member.state.live();
            member.in_probe_order
        })
    }

    /// Pings one random dead member. If it is alive after all (a partition healed, a stall ended), its ack
    /// and the buddy notice on the ping let both sides recover; if it is gone, this costs one datagram.
    pub(super) fn ping_dead_member(&mut self, out: &mut Vec<Output>) {
        while !self.dead_names.is_empty() {
            let at = self.rng.usize(..self.dead_names.len());
            let member = self.members.get(&self.dead_names[at]).filter(|member| member.state == State::Dead);
            let Some(member) = member else {
                self.dead_names.swap_remove(at);
                continue;
            };
            let target = member.id.clone();
            let notice = self.buddy_notice(&target);
            self.seq = self.seq.wrapping_add(1);
            let seq = self.seq;
            self.send(target.address, Body::Ping { seq, target, suspected: false }, &notice, out);
            return;
        }
    }

    /// Address of a random live member other than `excluded`; `None` if a few draws find none.
    pub(super) fn random_live_address(&mut self, excluded: Option<&str>) -> Option<SocketAddr> {
        for _ in 0..MAX_PEER_DRAWS {
            let name = self.probe_order.random_name(&mut self.rng)?;
            let member = self.members.get(name).filter(|member| member.state.live());
            if let Some(member) = member.filter(|_| excluded != Some(name)) {
                return Some(member.id.address);
            }
        }
        None
    }
}
