//! What a process runs with is what its version in force says, part by part, whatever the way of a change: by
//! the administration API, at the end of a trial, by SIGHUP, at an upgrade and at a restart. The forwarder checks
//! itself after each change in debug builds, and ends where a part differs.

mod support;

use std::net::SocketAddr;
use support::byhand::until;
use support::config::{apply, number, post, show, ADMIN_SECTION};
use support::load::{serve_platform, Shared};
use support::{unused_address, Stage};

const SEED: u64 = 20_261_204;
const CHANGES: u32 = 300;

/// The parts of an operators' file that change, each with the number of its values; value 0 of an optional part
/// leaves it out.
const PARTS: [(Part, usize); 13] = [
    (Part::SecondToken, 2),
    (Part::Slots, 3),
    (Part::HeldMessages, 3),
    (Part::Sockets, 3),
    (Part::DialTimeout, 3),
    (Part::IdleTime, 3),
    (Part::Disk, 2),
    (Part::AmqpListener, 2),
    (Part::Login, 3),
    (Part::Broker, 3),
    (Part::DnsSd, 3),
    (Part::Membership, 4),
    (Part::Discovery, 3),
];

#[derive(Clone, Copy, PartialEq)]
enum Part {
    SecondToken,
    Slots,
    HeldMessages,
    Sockets,
    DialTimeout,
    IdleTime,
    Disk,
    AmqpListener,
    Login,
    Broker,
    DnsSd,
    Membership,
    Discovery,
}

/// Addresses that an operators' file may name besides those of the stage.
struct Addresses {
    membership: [SocketAddr; 2],
    discovery: [SocketAddr; 2],
}

/// An operators' file, by the value that each part has.
#[derive(Clone)]
struct File {
    values: [usize; PARTS.len()],
}

impl File {
    fn value(&self, part: Part) -> usize {
        let index = PARTS.iter().position(|(one, _)| *one == part).unwrap();
        self.values[index]
    }

    /// A file that differs from this one, mostly in a single part: a change of one part must not depend on that of
    /// another one.
    fn changed(&self, random: &mut fastrand::Rng) -> File {
        let mut file = self.clone();
        let mut indices: Vec<usize> = (0..PARTS.len()).collect();
        random.shuffle(&mut indices);
        let count = if random.u8(0..4) == 0 { 4 } else { 1 };
        for &index in &indices[..count] {
            let values = PARTS[index].1;
            file.values[index] = (file.values[index] + random.usize(1..values)) % values;
        }
        file
    }

    fn text(&self, addresses: &Addresses) -> String {
        let value = |part| self.value(part);
        let second_token = ["", ", {token: second}"][value(Part::SecondToken)];
        let mut sections = vec![ADMIN_SECTION.trim_end().replace("}]}", &format!("}}{second_token}]}}"))];
        sections.push(format!(
            "limits: {{slots: {}, held_messages: {}, sockets: {}, dial_timeout_ms: {}, server_idle_ms: {}, \
             disk_mb: {}}}",
            5 + value(Part::Slots),
            30 + value(Part::HeldMessages),
            200 + value(Part::Sockets),
            1_000 + value(Part::DialTimeout),
            60_000 + value(Part::IdleTime),
            1 + value(Part::Disk),
        ));
        sections.push(format!("amqp: {{{}}}", self.amqp_keys().join(", ")));
        if let Some(service) = [None, Some("_partner"), Some("_other")][value(Part::DnsSd)] {
            sections.push(format!("dns_sd: {{resolver: RESOLVER, service: {service}._tcp.example}}"));
        }
        let [first, second] = addresses.membership;
        let membership = [None, Some((first, "c")), Some((second, "c")), Some((first, "d"))];
        if let Some((listen, cluster)) = membership[value(Part::Membership)] {
            sections.push(format!(
                "membership: {{name: a, cluster: {cluster}, listen: '{listen}', key: '0123456789abcdef'}}"
            ));
        }
        if let Some(index) = value(Part::Discovery).checked_sub(1) {
            sections.push(format!("discovery: {}", addresses.discovery[index]));
        }
        sections.join("\n") + "\n"
    }

    fn amqp_keys(&self) -> Vec<String> {
        let mut keys = Vec::new();
        if self.value(Part::AmqpListener) > 0 {
            keys.push("listen: AMQP".to_owned());
        }
        if let login @ 1.. = self.value(Part::Login) {
            keys.push(format!("tenants: [{{tenant: acme, user: u, password: p{login}}}]"));
        }
        if let broker @ 1.. = self.value(Part::Broker) {
            keys.push(format!(
                "brokers: [{{instanceId: b3, hostPort: BROKER, cell: {}, machineType: plain, user: u, \
                 password: p, vhost: /, exchange: '', routing_key: q}}]",
                3 + broker
            ));
        }
        keys
    }
}

/// Guards against values of an earlier version that a component keeps after a change.
#[test]
fn process_runs_with_each_part_of_the_version_in_force_whatever_the_way_of_a_change() {
    let mut stage = Stage::new("in-force");
    for name in ["platform", "platform2", "s1", "s2"] {
        serve_platform(stage.listener(name), Shared::default());
    }
    let addresses = Addresses {
        membership: [unused_address(), unused_address()],
        // Others than those of the platform's file, so that each change of the part changes the address.
        discovery: ["s1", "s2"].map(|name| stage.address_of(name)),
    };
    let mut random = fastrand::Rng::with_seed(SEED);
    let mut in_force = File { values: [0; PARTS.len()] };
    let mut on_disk = in_force.clone();
    stage.write_operators_file(&in_force.text(&addresses));
    stage.start();
    stage.wait_until_ready();
    for change in 1..=CHANGES {
        let before = number(&stage);
        let file = in_force.changed(&mut random);
        let text = file.text(&addresses);
        let way = random.u32(0..10);
        println!("change {change}, way {way}:\n{text}");
        match way {
            0..=3 => {
                apply(&stage, &text);
                in_force = file;
            }
            4 => {
                apply(&stage, &text);
                assert_eq!(post(&stage, &format!("/v1/config/undo?to={before}"), "").0, 200);
            }
            5 => {
                let (status, body) = post(&stage, "/v1/config/apply?confirm_within_s=0.05", &text);
                assert_eq!(status, 200, "{body}");
                until("the trial does not end", || number(&stage) == before + 2);
            }
            6 => {
                (in_force, on_disk) = (file.clone(), file);
                stage.write_operators_file(&text);
                stage.signal("-HUP");
                until("the file is not applied", || number(&stage) > before);
            }
            7 => {
                let platform = ["platform", "platform2"][random.usize(0..2)];
                let attempts = format!("\"maxAttempts\":{}", 4 + change);
                let siblings = format!("\"siblings\":{}", random.u32(2..5));
                stage.edit_platform_file(platform, |text| {
                    text.replace("\"maxAttempts\":4", &attempts).replace("\"siblings\":2", &siblings)
                });
                stage.signal("-HUP");
                until("the files are not applied", || number(&stage) > before);
                in_force = on_disk.clone();
            }
            8 => drop(stage.upgrade()),
            _ => {
                stage.kill();
                stage.start();
                stage.wait_until_ready();
            }
        }
        // One more iteration of the event loop, with its check, comes before this answer.
        show(&stage);
        let exited = stage.process().try_wait().unwrap();
        assert!(exited.is_none(), "{exited:?}: {}", stage.log());
    }
}
