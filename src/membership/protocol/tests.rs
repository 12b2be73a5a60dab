use super::*;

fn id(name: &str, port: u16, generation: u64) -> Identity {
    Identity { name: name.into(), address: SocketAddr::from(([127, 0, 0, 1], port)), generation }
}

fn node(name: &str, port: u16, generation: u64, seeds: &[u16]) -> Node {
    let seeds = seeds.iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port))).collect();
    Node::new(id(name, port, generation), "t", None, Settings::default(), seeds, u64::from(port), Micros(0))
}

/// Runs the nodes for `length` in steps of 10 ms. Datagrams arrive in the next step at the latest; those from
/// or to a port in `cut` are lost.
fn run(
    nodes: &mut [Node],
    from: Micros,
    length: Micros,
    cut: &[u16],
    changes: &mut Vec<(String, StateChange)>,
) {
    let mut now = from;
    let mut in_flight: Vec<(SocketAddr, SocketAddr, Vec<u8>)> = Vec::new();
    while now < from.plus(length) {
        now = now.plus(Micros::from_ms(10.0));
        for node in nodes.iter_mut() {
            let mut out = Vec::new();
            let arriving: Vec<_> =
                in_flight.iter().filter(|(to, _, _)| *to == node.me().address).cloned().collect();
            in_flight.retain(|(to, _, _)| *to != node.me().address);
            for (_, from, bytes) in arriving {
                node.receive(now, from, &bytes, &mut out);
            }
            node.tick(now, &mut out);
            for output in out {
                match output {
                    Output::Send { to, bytes } => {
                        let own = node.me().address;
                        if !cut.contains(&own.port()) && !cut.contains(&to.port()) {
                            in_flight.push((to, own, bytes));
                        }
                    }
                    Output::Changed(change) => changes.push((node.me().name.clone(), change)),
                    _ => {}
                }
            }
        }
    }
}

fn three_nodes() -> Vec<Node> {
    vec![node("a", 1, 1, &[]), node("b", 2, 1, &[1]), node("c", 3, 1, &[1])]
}

#[test]
fn fleet_joins_through_its_seed_and_an_isolated_member_is_declared_dead() {
    let mut nodes = three_nodes();
    let mut changes = Vec::new();
    run(&mut nodes, Micros(0), Micros::from_ms(3_000.0), &[], &mut changes);
    assert!(nodes.iter().all(|node| node.counts().alive == 3), "every member knows every other");
    run(&mut nodes, Micros::from_ms(3_000.0), Micros::from_ms(20_000.0), &[3], &mut changes);
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Dead));
    assert_eq!(nodes[1].state_of("c").map(|(_, _, state)| state), Some(State::Dead));
}

/// Guards against memory that grows with each update that a peer sends under ever new generations and addresses.
#[test]
fn flood_of_new_generations_and_addresses_takes_bounded_memory() {
    let mut node = node("a", 1, 1, &[]);
    let mut out = Vec::new();
    for number in 0..100_000u32 {
        let address = SocketAddr::from((number.to_be_bytes(), 7));
        let state = if number % 2 == 0 { State::Alive } else { State::Dead };
        let id = Identity { name: "x".into(), address, generation: u64::from(number / 2) };
        let entry = Entry { id, incarnation: 0, state, accuser: None };
        node.apply(Micros(u64::from(number)), &entry, "x", "gossip", &mut out);
        out.clear();
    }
    assert!(node.timers.len() <= MAX_TIMERS, "{} timers", node.timers.len());
    assert!(node.addresses.len() <= MAX_MEMBERS, "{} addresses", node.addresses.len());
    assert!(node.dead_names.len() <= MAX_MEMBERS, "{} dead names", node.dead_names.len());
    assert_eq!(
        node.counts().alive,
        1 + node.members.values().filter(|one| one.state == State::Alive).count()
    );
}

#[test]
fn suspect_refutes_with_a_higher_incarnation_and_is_not_declared_dead() {
    let mut nodes = three_nodes();
    let mut changes = Vec::new();
    run(&mut nodes, Micros(0), Micros::from_ms(3_000.0), &[], &mut changes);
    // a receives b's suspicion of c, as if b's probe had failed.
    let c = nodes[2].me().clone();
    let suspicion = Entry { id: c.clone(), incarnation: 0, state: State::Suspect, accuser: Some("b".into()) };
    let mut out = Vec::new();
    nodes[0].apply(Micros::from_ms(3_000.0), &suspicion, "b", "gossip", &mut out);
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Suspect));
    changes.clear();
    run(&mut nodes, Micros::from_ms(3_000.0), Micros::from_ms(30_000.0), &[], &mut changes);
    assert!(nodes[2].incarnation() >= 1, "c refuted");
    assert_eq!(nodes[0].state_of("c"), Some((1, nodes[2].incarnation(), State::Alive)));
    assert!(
        !changes.iter().any(|(_, change)| change.id.name == "c" && change.to == State::Dead),
        "{changes:?}"
    );
    // A late update with its death at the refuted incarnation changes nothing.
    let late = Entry { id: c, incarnation: 0, state: State::Dead, accuser: None };
    nodes[0].apply(Micros::from_ms(30_000.0), &late, "b", "gossip", &mut out);
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Alive));
}

#[test]
fn restarted_member_is_a_new_generation_and_the_old_one_is_reported_dead_once() {
    let mut nodes = three_nodes();
    let mut changes = Vec::new();
    run(&mut nodes, Micros(0), Micros::from_ms(3_000.0), &[], &mut changes);
    nodes[2] = Node::new(
        id("c", 3, 2),
        "t",
        None,
        Settings::default(),
        vec![nodes[0].me().address],
        9,
        Micros::from_ms(3_000.0),
    );
    changes.clear();
    run(&mut nodes, Micros::from_ms(3_000.0), Micros::from_ms(5_000.0), &[], &mut changes);
    assert_eq!(
        nodes[0].state_of("c").map(|(generation, _, state)| (generation, state)),
        Some((2, State::Alive))
    );
    let old_dead = changes
        .iter()
        .filter(|(at, change)| at == "a" && change.id.generation == 1 && change.to == State::Dead);
    assert_eq!(old_dead.count(), 1);
}

#[test]
fn replayed_foreign_and_stale_datagrams_are_counted_by_drop_reason() {
    let mut nodes = three_nodes();
    let mut changes = Vec::new();
    run(&mut nodes, Micros(0), Micros::from_ms(1_000.0), &[], &mut changes);
    let b = nodes[1].me().clone();
    let writer = PacketWriter::new("t", &b, None);
    let bytes = writer.write(1_000_000, None, &Body::Gossip, &[]);
    let mut out = Vec::new();
    nodes[0].receive(Micros::from_ms(1_000.0), b.address, &bytes, &mut out);
    nodes[0].receive(Micros::from_ms(1_000.0), b.address, &bytes, &mut out);
    nodes[0].receive(Micros::from_ms(1_000.0), b.address, b"GET / HTTP/1.1\r\n", &mut out);
    let older = PacketWriter::new("t", &id("b", 2, 0), None).write(1, None, &Body::Gossip, &[]);
    nodes[0].receive(Micros::from_ms(1_000.0), b.address, &older, &mut out);
    let dropped = nodes[0].stats().dropped;
    for cause in [DropReason::Replayed, DropReason::Foreign, DropReason::Stale] {
        assert_eq!(dropped[DropReason::ALL.iter().position(|c| *c == cause).unwrap()], 1, "{cause:?}");
    }
}

fn s(seconds: f64) -> Micros {
    Micros::from_ms(seconds * 1e3)
}

#[test]
fn member_restarted_with_a_clock_gone_back_takes_a_generation_above_the_remembered_one() {
    let (mut nodes, mut changes) = (three_nodes(), Vec::new());
    nodes[2] = node("c", 3, 900, &[1]);
    run(&mut nodes, Micros(0), s(3.0), &[], &mut changes);
    nodes[2] = node("c", 3, 5, &[1]);
    // It does so at once, not only after its old generation was declared dead.
    run(&mut nodes, s(3.0), s(0.5), &[], &mut changes);
    assert_eq!(nodes[2].me().generation, 901);
    assert_eq!(
        nodes[0].state_of("c").map(|(generation, _, state)| (generation, state)),
        Some((901, State::Alive))
    );
    assert_eq!(nodes[2].counts().alive, 3);
}

#[test]
fn forged_leave_announcement_is_answered_with_a_new_generation() {
    let (mut nodes, mut changes) = (three_nodes(), Vec::new());
    run(&mut nodes, Micros(0), s(3.0), &[], &mut changes);
    let forged = Entry { id: nodes[2].me().clone(), incarnation: 0, state: State::Left, accuser: None };
    nodes[0].apply(s(3.0), &forged, "b", "gossip", &mut Vec::new());
    run(&mut nodes, s(3.0), s(3.0), &[], &mut changes);
    assert_eq!(
        nodes[0].state_of("c").map(|(generation, _, state)| (generation, state)),
        Some((2, State::Alive))
    );
}

#[test]
fn stalled_member_does_not_declare_suspects_dead_for_refutations_that_it_missed() {
    let (mut nodes, mut changes) = (three_nodes(), Vec::new());
    run(&mut nodes, Micros(0), s(3.0), &[], &mut changes);
    // a has just started to suspect c and is then suspended for 20 s; datagrams sent to it in that time are
    // lost.
    let c = nodes[2].me().clone();
    let suspicion = Entry { id: c, incarnation: 0, state: State::Suspect, accuser: Some("b".into()) };
    nodes[0].apply(s(3.0), &suspicion, "b", "gossip", &mut Vec::new());
    let mut out = Vec::new();
    nodes[0].tick(s(23.0), &mut out);
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Suspect), "{out:?}");
    changes.clear();
    run(&mut nodes, s(23.0), s(10.0), &[], &mut changes);
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Alive));
    let dead = changes.iter().any(|(at, change)| at == "a" && change.to == State::Dead);
    assert!(!dead, "{changes:?}");
}

#[test]
fn separately_formed_fleets_merge_through_a_seed_and_replies_to_unknown_senders() {
    let mut changes = Vec::new();
    let mut nodes =
        vec![node("a", 1, 1, &[]), node("b", 2, 1, &[1]), node("c", 3, 1, &[2]), node("d", 4, 1, &[3])];
    // Each pair forms its own fleet, because c's seed does not receive its requests.
    run(&mut nodes[..2], Micros(0), s(2.0), &[], &mut changes);
    run(&mut nodes[2..], Micros(0), s(2.0), &[], &mut changes);
    assert!(nodes.iter().all(|node| node.counts().alive == 2));
    run(&mut nodes, s(2.0), s(6.0), &[], &mut changes);
    assert!(nodes.iter().all(|node| node.counts().alive == 4), "one fleet");
    assert!(changes.iter().all(|(_, change)| change.to != State::Dead));
}

#[test]
fn death_reported_by_a_full_state_sync_is_a_suspicion_first() {
    let (mut nodes, mut changes) = (three_nodes(), Vec::new());
    run(&mut nodes, Micros(0), s(3.0), &[], &mut changes);
    let (b, c) = (nodes[1].me().clone(), nodes[2].me().clone());
    let dead = Entry { id: c.clone(), incarnation: 0, state: State::Dead, accuser: None };
    let bytes = PacketWriter::new("t", &b, None).write(
        1_000_000,
        None,
        &Body::Sync { reply: false, last: true },
        &[dead],
    );
    nodes[0].receive(s(3.0), b.address, &bytes, &mut Vec::new());
    assert_eq!(nodes[0].state_of("c").map(|(_, _, state)| state), Some(State::Suspect));
}

#[test]
fn members_beyond_the_maximum_are_counted_as_overflow_and_not_added() {
    let mut single = node("a", 1, 1, &[]);
    for number in 0..MAX_MEMBERS + 50 {
        let id = id(&format!("x{number}"), 2, 1);
        let update = Entry { id, incarnation: 0, state: State::Alive, accuser: None };
        single.apply(Micros(1), &update, "x", "gossip", &mut Vec::new());
    }
    assert_eq!((single.counts().live(), single.stats().overflow), (MAX_MEMBERS + 1, 50));
}

#[test]
fn restart_whose_announcement_was_missed_is_learned_from_its_first_datagram() {
    // b knows the previous generation of c as dead. The next one knows b, and no other member can announce it
    // to b.
    let mut nodes = vec![node("b", 2, 1, &[]), node("c", 3, 2, &[])];
    let b = Entry { id: nodes[0].me().clone(), incarnation: 0, state: State::Alive, accuser: None };
    let previous = Entry { id: id("c", 3, 1), incarnation: 0, state: State::Alive, accuser: None };
    let dead = Entry { state: State::Dead, ..previous.clone() };
    let mut out = Vec::new();
    nodes[0].apply(Micros(0), &previous, "a", "gossip", &mut out);
    nodes[0].apply(Micros(0), &dead, "a", "gossip", &mut out);
    nodes[1].apply(Micros(0), &b, "a", "sync", &mut out);
    let two_probes = Micros(2 * Settings::default().probe_interval.0);
    run(&mut nodes, Micros(0), two_probes, &[], &mut Vec::new());
    assert_eq!(nodes[0].state_of("c"), Some((2, 0, State::Alive)));
}

/// Number of entries of each member in the probe order.
fn probe_entries(node: &Node) -> Vec<(&str, usize)> {
    node.members.keys().map(|name| (name.as_str(), node.probe_order.entry_count(name))).collect()
}

#[test]
fn restarted_member_keeps_a_single_entry_in_the_probe_order() {
    let (mut nodes, mut changes) = (three_nodes(), Vec::new());
    run(&mut nodes, Micros(0), s(3.0), &[], &mut changes);
    for generation in 2..7 {
        let now = s(generation as f64 * 3.0);
        nodes[2] = Node::new(
            id("c", 3, generation),
            "t",
            None,
            Settings::default(),
            vec![nodes[0].me().address],
            9,
            now,
        );
        run(&mut nodes, now, s(3.0), &[], &mut changes);
        assert_eq!(nodes[0].state_of("c"), Some((generation, 0, State::Alive)));
        assert_eq!(probe_entries(&nodes[0]), [("b", 1), ("c", 1)]);
        assert_eq!(probe_entries(&nodes[1]), [("a", 1), ("c", 1)]);
    }
}

#[test]
fn reaped_member_is_removed_from_the_probe_order() {
    let mut single = node("a", 1, 1, &[]);
    for (at, name) in ["b", "c", "d", "e"].into_iter().enumerate() {
        let update =
            Entry { id: id(name, 2 + at as u16, 1), incarnation: 0, state: State::Alive, accuser: None };
        single.apply(Micros(0), &update, "b", "gossip", &mut Vec::new());
    }
    for name in ["b", "d"] {
        let member = single.members[name].id.clone();
        let dead = Entry { id: member, incarnation: 0, state: State::Dead, accuser: None };
        single.apply(Micros(0), &dead, "b", "gossip", &mut Vec::new());
        single.on_timer(
            single.settings.reap_after,
            Timer::Reap { name: name.to_owned(), generation: 1 },
            &mut Vec::new(),
        );
        assert_eq!(single.probe_order.entry_count(name), 0);
    }
    assert_eq!(probe_entries(&single), [("c", 1), ("e", 1)]);
}
