//! The configuration without any socket: the reader's relations, the plan, the transaction, versions, and the desk.

mod common;

use cedarwharf::config::desk::{check, Change, Desk, Trial};
use cedarwharf::config::model::{differences, digest, Area, Base, Model};
use cedarwharf::config::plan::{plan, Step};
use cedarwharf::config::probation::{Bounds, Sums};
use cedarwharf::config::problem::Problem;
use cedarwharf::config::secret::Files;
use cedarwharf::config::transaction::{self, Ground, Point};
use cedarwharf::config::versions::{Staged, Version, Versions, Window, MOST};
use cedarwharf::net::list::Names;
use cedarwharf::*;
use common::{ms, settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Secrets' files, in memory.
struct Kept(BTreeMap<&'static str, &'static str>);

impl Files for Kept {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).map(|text| (*text).to_owned()).ok_or_else(|| "no such file".to_owned())
    }
}

fn files() -> Kept {
    Kept(BTreeMap::from([("/run/pw", "from-a-file\n"), ("/run/empty", "\n")]))
}

fn base() -> Base {
    let mut settings = settings();
    settings.classes.truncate(3);
    settings.tenants = vec![5.0, 7.0];
    Base {
        listen: "127.0.0.1:7000".parse().unwrap(),
        discovery: "127.0.0.1:7001".parse().unwrap(),
        sockets: 1024,
        disk: 3_000_000,
        settings,
        dial_timeout: ms(1_500),
        classes: ["note", "episode", "payment"].map(str::to_owned).to_vec(),
        tenants: ["onda", "ria"].map(str::to_owned).to_vec(),
        names: Names { kinds: vec!["plain".into()], zones: vec!["z".into()] },
    }
}

fn model(text: &str) -> Model {
    check(&base(), text, &files()).unwrap_or_else(|problems| panic!("{text}\n{problems}")).1
}

fn told(text: &str) -> Vec<String> {
    let problems = check(&base(), text, &files()).map(|_| ()).expect_err(text);
    problems.list().iter().map(ToString::to_string).collect()
}

fn change(text: &str, from: Option<u64>, trial: Option<Trial>) -> Change {
    let (who, why) = ("ana".to_owned(), "test".to_owned());
    Change { document: text.to_owned(), base: None, from, who, why, trial, back: false }
}

fn desk_with(versions: Versions, file: Option<&str>, now: Micros) -> Desk {
    Desk::start(base(), versions, file, false, &files(), now).unwrap().0
}

fn desk() -> Desk {
    desk_with(Versions::new("salt".into(), 100_000), Some("limits: {slots: 6}"), ms(1_000))
}

fn put(desk: &mut Desk, change: Change, now: Micros) {
    let planned = desk.weigh(change, now, &files()).unwrap_or_else(|refusal| panic!("{}", refusal.problems));
    desk.settle(planned, now, Sums::default());
    assert!(desk.consistent());
}

// ---- The model ----

#[test]
fn where_the_operators_file_is_silent_the_platforms_counts() {
    assert_eq!(model("").core.settings, base().settings);
    let text =
        "limits: {slots: 9, held_mb: 0.5}\ndiscovery: 127.0.0.9:1\ntenants: [{name: ria, quota_per_s: 3}]";
    let model = model(text);
    assert_eq!(
        (model.core.settings.slots, model.core.settings.max_messages),
        (9, base().settings.max_messages)
    );
    assert_eq!((model.core.held_bytes, model.discovery.port()), (Some(500_000), 1));
    assert_eq!((model.core.tenants, model.core.settings.tenants), (vec!["ria".to_owned()], vec![3.0]));
    assert_eq!(model.core.classes, base().classes);
}

#[test]
fn relations_are_checked_and_all_that_fail_are_told_with_their_lines() {
    let text = "limits:\n  slots: 900\n  held_messages: 10\nlisten: 127.0.0.1:9\nclasses:\n- {name: a, effect: \
                dedup, aim_ms: 9, deadline_ms: 5}\n- {name: a, effect: fragile, window_ms: 4, aim_ms: 1, \
                deadline_ms: 5}\namqp:\n  listen: 127.0.0.1:9\n  tenants:\n  - {tenant: rai, user: u, password: \
                {file: /run/none}}\nadmin:\n  listen: 127.0.0.1:10\n  tokens:\n  - token: same\n  - token: \
                same\n  - {token: {file: /run/empty}, tenant: nobody}\n";
    let told = told(text).join("\n");
    for part in [
        "limits.sockets: 1024 descriptors do not suffice for 900 slots",
        "line 2: limits.slots: 900 slots for 10 held messages",
        "classes[0].window_ms: missing",
        "line 6: classes[0].aim_ms: longer than deadline_ms",
        "line 7: classes[1].window_ms: only for effect dedup",
        "line 7: classes[1].name: a stands at classes[0] too",
        "line 9: amqp.listen: the address of listen",
        "amqp.tenants[0].tenant: no tenant rai; name one of the tenants: onda, ria",
        "amqp.tenants[0].password: /run/none: no such file",
        "line 16: admin.tokens[1].token: the same as another token",
        "admin.tokens[2].token: the secret is empty",
        "admin.tokens[2].tenant: no tenant nobody",
    ] {
        assert!(told.contains(part), "{part} is not in\n{told}");
    }
    assert!(!told.contains("same\"") && !told.contains("from-a-file"));
}

#[test]
fn guarantees_beyond_what_there_is_are_refused_with_their_sum() {
    let tenants = |slots: [u32; 2]| {
        let [a, b] = slots;
        format!(
            "limits: {{slots: 6}}\ntenants:\n  - {{name: a, quota_per_s: 1, slots: {{guarantee: {a}}}}}\n  \
             - {{name: b, quota_per_s: 1, slots: {{guarantee: {b}, ceiling: 5}}}}\n"
        )
    };
    assert_eq!(model(&tenants([3, 3])).core.settings.isolation.len(), 2);
    model(include_str!("../example/two-tenants.yaml"));
    assert_eq!(
        told(&tenants([3, 4])),
        ["line 4: tenants[1].slots.guarantee: guarantees up to this tenant add up to 7, but there are 6 in all; \
          guarantee 3 at most here, or less to others"]
    );
    assert!(told(&tenants([0, 6])).iter().any(|line| line.contains("a ceiling below the guarantee of 6")));
}

#[test]
fn a_membership_that_cannot_work_is_told_with_its_lines() {
    let problems = told(
        "membership:\n  name: ''\n  cluster: c\n  listen: 0.0.0.0:0\n  seeds: ['127.0.0.1:9', '[::1]:9']\n  key: short\n  \
         probe_interval_ms: 1\n",
    );
    let expected = ["line 7: membership.probe_interval_ms: out of bounds; stay within 20 to 60000"];
    for part in expected {
        assert!(problems.iter().any(|line| line.contains(part)), "{part} is not in {problems:?}");
    }
    let problems = told(
        "membership:\n  name: ''\n  cluster: c\n  listen: 0.0.0.0:0\n  seeds: ['127.0.0.1:9', '[::1]:9']\n  key: short\n",
    );
    let expected = [
        "line 2: membership.name: 0 bytes; write a name of 1 to 64 bytes",
        "line 4: membership.listen: a port that the system draws; write the port that the others are told",
        "membership.advertise: 0.0.0.0:0 reaches nobody; write the address at which the others reach this forwarder",
        "line 5: membership.seeds[1]: [::1]:9 cannot be sent to from 0.0.0.0:0; write a member's address",
        "line 6: membership.key: short enough to be guessed; draw 16 bytes or more, the same for all members",
    ];
    for part in expected {
        assert!(problems.iter().any(|line| line.contains(part)), "{part} is not in {problems:?}");
    }
    assert_eq!(problems.len(), expected.len(), "{problems:?}");
    let told = model("membership: {name: a, cluster: c, listen: '127.0.0.1:9', key: '0123456789abcdef'}");
    let members = told.members.clone().unwrap();
    assert_eq!((members.advertise, members.seeds.len()), (members.listen, 0));
    let outline = format!("{:?}", told.outline(b"salt"));
    assert!(!outline.contains("0123456789abcdef") && outline.contains("membership.cluster"), "{outline}");
}

#[test]
fn a_secret_shows_in_no_outline_difference_or_refusal_and_its_change_does() {
    let with = |secret: &str| format!("admin: {{listen: '127.0.0.1:1', tokens: [{{token: {secret}}}]}}");
    let (one, other) = (model(&with("hunter2")), model(&with("{file: /run/pw}")));
    let (from, to) = (one.outline(b"s"), other.outline(b"s"));
    let differs = differences(&from, &to);
    assert_eq!(differs.len(), 1, "{differs:?}");
    assert_eq!(differs[0].path, "admin.tokens[token 1].token");
    let shown = format!("{differs:?} {one:?} {other:?}");
    assert!(!shown.contains("hunter2") && !shown.contains("from-a-file"), "{shown}");
    assert_ne!(digest(&from), digest(&to));
    assert_ne!(digest(&from), digest(&one.outline(b"another installation")));
}

#[test]
fn the_order_of_a_list_is_no_difference() {
    let one = model("tenants: [{name: a, quota_per_s: 1}, {name: b, quota_per_s: 2}]");
    let other = model("tenants: [{name: b, quota_per_s: 2}, {name: a, quota_per_s: 1}]");
    assert_eq!(digest(&one.outline(b"")), digest(&other.outline(b"")));
}

// ---- The plan ----

#[test]
fn what_cannot_change_in_a_running_process_is_refused_by_name() {
    let effect = |effect: &str| {
        model(&format!("classes: [{{name: note, effect: {effect}, aim_ms: 1, deadline_ms: 2}}]"))
    };
    let problems = plan(&effect("retryable"), &effect("fragile")).unwrap_err();
    assert!(problems.to_string().contains("classes[note].effect: cannot change while the process runs"));
    let mut other = base();
    other.names.zones.push("y".into());
    let other = check(&other, "", &files()).unwrap().1;
    assert!(plan(&model(""), &other).unwrap_err().to_string().contains("kinds and zones cannot change"));
    // A class may go, come and change its times.
    let times = "classes: [{name: new, effect: fragile, aim_ms: 1, deadline_ms: 2}]";
    assert_eq!(plan(&model(""), &model(times)).unwrap().len(), 1);
}

fn document() -> impl Strategy<Value = String> {
    let limits = (1u32..40, 40u32..90, 64u32..70, 1u32..9).prop_map(|(slots, held, disk, attempts)| {
        format!(
            "limits: {{slots: {slots}, held_messages: {held}, disk_mb: {disk}, max_attempts: {attempts}}}\n"
        )
    });
    let listen = (0u8..3).prop_map(|port| format!("listen: 127.0.0.1:{}\n", 7000 + u32::from(port)));
    let tenants = proptest::sample::subsequence(vec!["onda", "ria", "sol", "mar"], 1..4).prop_map(|names| {
        let lines: Vec<String> =
            names.iter().map(|name| format!("{{name: {name}, quota_per_s: 2}}")).collect();
        format!("tenants: [{}]\n", lines.join(", "))
    });
    let amqp = (any::<bool>(), proptest::sample::subsequence(vec!["b1", "b2", "b3"], 0..3)).prop_map(|(on, names)| {
        let line = |name: &&str| {
            format!("{{instanceId: {name}, hostPort: '127.0.0.1:9', cell: 4, machineType: plain, user: u, password: \
                     p, vhost: /, exchange: '', routing_key: q}}")
        };
        let lines: Vec<String> = names.iter().map(line).collect();
        let listen = if on { "listen: 127.0.0.1:8100, " } else { "" };
        format!("amqp: {{{listen}brokers: [{}]}}\n", lines.join(", "))
    });
    let admin = (1u32..4)
        .prop_map(|token| format!("admin: {{listen: '127.0.0.1:8', tokens: [{{token: t{token}}}]}}\n"));
    let dns = Just("dns_sd: {resolver: '127.0.0.1:53', service: _x._tcp.example}\n".to_owned());
    let log = Just("log: {level: debug, form: json}\n".to_owned());
    let part =
        |strategy: BoxedStrategy<String>| proptest::option::of(strategy).prop_map(Option::unwrap_or_default);
    (
        part(limits.boxed()),
        part(listen.boxed()),
        part(tenants.boxed()),
        part(amqp.boxed()),
        part(admin.boxed()),
        part(dns.boxed()),
        part(log.boxed()),
    )
        .prop_map(|(a, b, c, d, e, f, g)| [a, b, c, d, e, f, g].concat())
}

/// A ground that fails at one place, and notes all that happens.
struct Fake {
    model: Model,
    fails_at: Option<Point>,
    at: Point,
    held: Vec<Area>,
    recorded: bool,
}

impl Ground for Fake {
    type Held = Area;

    fn prepare(&mut self, step: &Step) -> Result<Area, Problem> {
        if self.fails_at == Some(self.at) {
            return Err(Problem::new("", "fails", "as it should"));
        }
        self.held.push(step.area());
        Ok(step.area())
    }

    fn release(&mut self, step: &Step, held: Area) {
        assert_eq!((step.area(), self.held.pop()), (held, Some(held)), "let go in reverse order");
        assert!(!self.recorded);
    }

    fn record(&mut self) -> Result<(), Problem> {
        if self.fails_at == Some(self.at) {
            return Err(Problem::new("", "fails", "as it should"));
        }
        self.recorded = true;
        Ok(())
    }

    fn commit(&mut self, step: &Step, held: Area) {
        assert!(self.recorded, "written before the first of it is in force");
        self.held.retain(|&area| area != held);
        step.apply(&mut self.model);
    }

    fn pass(&mut self, point: Point) {
        self.at = point;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn do_then_undo_is_the_identity_for_every_prefix(from in document(), to in document()) {
        let (from, to) = (model(&from), model(&to));
        let steps = plan(&from, &to).unwrap();
        let mut whole = from.clone();
        for prefix in 0..=steps.len() {
            let mut model = from.clone();
            steps[..prefix].iter().for_each(|step| step.apply(&mut model));
            whole.clone_from(&model);
            steps[..prefix].iter().rev().for_each(|step| step.undo().apply(&mut model));
            prop_assert_eq!(&model, &from);
        }
        prop_assert_eq!(&whole, &to);
        prop_assert_eq!(digest(&whole.outline(b"s")) == digest(&from.outline(b"s")), steps.is_empty());
    }

    #[test]
    fn a_change_that_fails_anywhere_is_not_seen(from in document(), to in document(), at in 0usize..14) {
        let (from, to) = (model(&from), model(&to));
        let steps = plan(&from, &to).unwrap();
        let fails_at = match at {
            place if place < steps.len() => Some(Point::Prepare(place)),
            place if place == steps.len() => Some(Point::Record),
            _ => None,
        };
        let (at, held) = (Point::Done, Vec::new());
        let mut ground = Fake { model: from.clone(), fails_at, at, held, recorded: false };
        let done = transaction::run(&mut ground, &steps);
        prop_assert_eq!(done.is_ok(), fails_at.is_none());
        prop_assert!(ground.held.is_empty());
        prop_assert_eq!(&ground.model, if fails_at.is_none() { &to } else { &from });
    }
}

// ---- Versions ----

fn version(number: u64, document: &str) -> Version {
    let (who, why, digest) = ("ana".to_owned(), "test".to_owned(), format!("d{number}"));
    let (from, at_ms, window) = (number - 1, number * 10, None);
    Version { number, digest, from, at_ms, who, why, document: document.into(), window }
}

#[test]
fn every_cut_of_the_versions_file_keeps_whole_versions() {
    let mut versions = Versions::new("abc".into(), 100_000);
    for number in 1..4 {
        versions = versions.with(version(number, "limits: {}\n# \"x\"\n")).unwrap();
    }
    let bytes = versions.encode();
    assert_eq!(Versions::decode(&bytes, 100_000).unwrap(), (versions.clone(), bytes.len()));
    let mut most = 0;
    for cut in 0..bytes.len() {
        let Some((found, good)) = Versions::decode(&bytes[..cut], 100_000) else { continue };
        assert!(good <= cut);
        assert!(found.number() >= most);
        most = found.number();
        assert!(found.iter().zip(versions.iter()).all(|(one, other)| one == other));
        let mut damaged = bytes.clone();
        damaged[cut] ^= 4;
        let found = Versions::decode(&damaged, 100_000);
        assert!(
            found.is_none_or(|(found, _)| found.iter().zip(versions.iter()).all(|(one, other)| one == other))
        );
    }
    assert_eq!(most, 2);
}

#[test]
fn the_oldest_versions_go_and_the_one_that_a_window_leads_back_to_stays() {
    let mut versions = Versions::new("abc".into(), 100_000);
    versions = versions.with(version(1, "")).unwrap();
    for number in 2..40 {
        let window = Some(Window { until_ms: 9, back_to: 1 });
        versions = versions.with(Version { window, ..version(number, "") }).unwrap();
    }
    assert_eq!((versions.iter().count(), versions.get(1).is_some(), versions.number()), (MOST, true, 39));
    let small = Versions::new("abc".into(), 4_000);
    let small = (1..9).fold(small, |kept, number| kept.with(version(number, &"x".repeat(900))).unwrap());
    assert!(small.encode().len() <= 4_000 && small.iter().count() > 1);
    assert!(small.with(version(9, &"x".repeat(5_000))).unwrap_err().what.contains("does not fit"));
    assert_eq!(small.rebound(2_000).unwrap().iter().count(), 1);
}

#[test]
fn lines_at_the_end_of_the_file_say_the_same_as_a_new_one() {
    let mut versions = Versions::new("abc".into(), 6_000).with(version(1, "")).unwrap();
    let mut bytes = versions.encode();
    for number in 2..40u64 {
        let staged = Staged { from: number - 1, at_ms: 1, who: "ana".into(), document: "x".into() };
        let window = (number % 3 == 0).then_some(Window { until_ms: 9, back_to: number - 1 });
        let next = versions.with_staged((number % 2 == 0).then_some(staged)).unwrap();
        let put = next.with(Version { window, ..version(number, "limits: {}\n") }).unwrap();
        let done = if number % 6 == 0 { put.confirmed() } else { put.clone() };
        for (from, to) in [(&versions, &next), (&next, &put), (&put, &done)] {
            bytes.extend(to.since(from));
            assert_eq!(&Versions::decode(&bytes, 6_000).unwrap().0, to);
        }
        versions = done;
    }
}

// ---- The desk ----

#[test]
fn a_change_made_from_another_version_loses_and_both_are_named() {
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 7}", Some(1), None), ms(2_000));
    let refusal = desk.weigh(change("limits: {slots: 8}", Some(1), None), ms(2_001), &files()).err().unwrap();
    assert_eq!(refusal.status, 412);
    let text = refusal.problems.to_string();
    assert!(text.contains("made from version 1, but version 2 is in force"), "{text}");
    assert_eq!(desk.model().core.settings.slots, 7);
}

#[test]
fn a_window_keeps_others_out_and_goes_back_unless_confirmed() {
    let trial = Trial { for_ms: 500, stays: false, bounds: Bounds::default() };
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let other = desk.weigh(change("limits: {slots: 8}", None, None), ms(2_100), &files());
    assert_eq!(other.err().unwrap().status, 409);
    assert!(desk.turn(ms(2_499), Sums::default(), Micros(0)).is_none());
    let back = desk.turn(ms(2_500), Sums::default(), Micros(0)).expect("goes back");
    put(&mut desk, back, ms(2_500));
    assert_eq!((desk.model().core.settings.slots, desk.versions().number()), (6, 3));
    assert!(desk.turn(ms(9_000), Sums::default(), Micros(0)).is_none());
    // Confirmed, it stays.
    put(&mut desk, change("limits: {slots: 7}", None, Some(trial)), ms(10_000));
    let confirmed = desk.confirm().unwrap();
    desk.keep(confirmed);
    assert!(desk.turn(ms(20_000), Sums::default(), Micros(0)).is_none());
    assert_eq!(desk.confirm().err().unwrap().status, 409);
}

#[test]
fn a_probation_ends_at_once_where_offers_are_turned_down_and_stays_where_not() {
    let bounds = Bounds { turn_downs: Some(0.1), turn_ms: None };
    let trial = Trial { for_ms: 5_000, stays: true, bounds };
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let bad = Sums { taken_on: 80, turned_down: 20, listener_failures: 0 };
    assert!(desk.turn(ms(2_010), bad, Micros(0)).unwrap().why.contains("20% of offers turned down"));
    let good = Sums { taken_on: 980, turned_down: 20, listener_failures: 0 };
    assert!(desk.turn(ms(7_000), good, Micros(0)).is_none() && desk.passed(ms(7_000)));
}

#[test]
fn a_start_within_a_window_goes_back_and_one_after_does_not() {
    let trial = Trial { for_ms: 60_000, stays: false, bounds: Bounds::default() };
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let kept = Versions::decode(&desk.versions().encode(), 100_000).unwrap().0;
    let next = desk_with(kept, Some("limits: {slots: 9}"), ms(3_000));
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (6, 3));
    assert_eq!(next.versions().current().unwrap().why, "version 2 was not confirmed");
    let again = desk_with(next.versions().clone(), None, ms(4_000));
    assert_eq!((again.model().core.settings.slots, again.versions().number()), (6, 3));
    let confirmed = desk.confirm().unwrap();
    let next = desk_with(confirmed, None, ms(3_000));
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 2));
}

#[test]
fn a_start_runs_the_last_version_and_not_an_edited_file() {
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 7}", None, None), ms(2_000));
    let file = Some("limits: {slots: 9}");
    let (next, notes) =
        Desk::start(base(), desk.versions().clone(), file, false, &files(), ms(3_000)).unwrap();
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 2));
    assert!(notes.iter().any(|note| note.contains("the file differs")), "{notes:?}");
    let fresh = Desk::start(base(), desk.versions().clone(), file, true, &files(), ms(3_000)).unwrap().0;
    assert_eq!((fresh.model().core.settings.slots, fresh.versions().number()), (9, 3));
    // A version that the platform's file no longer allows gives way to one before it.
    let mut smaller = base();
    smaller.tenants = vec!["ria".into()];
    smaller.settings.tenants = vec![1.0];
    let logins = "amqp: {tenants: [{tenant: onda, user: u, password: p}]}";
    put(&mut desk, change(logins, None, None), ms(4_000));
    let (next, notes) =
        Desk::start(smaller, desk.versions().clone(), None, false, &files(), ms(5_000)).unwrap();
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 4));
    assert!(notes.iter().any(|note| note.contains("cannot run any more")), "{notes:?}");
}

#[test]
fn an_undo_goes_to_any_kept_version_by_the_same_path() {
    let mut desk = desk();
    for slots in 7..12 {
        put(&mut desk, change(&format!("limits: {{slots: {slots}}}"), None, None), ms(2_000));
    }
    assert_eq!(desk.before(), Some(5));
    let back = desk.back(2, "ana".into(), "".into()).unwrap();
    put(&mut desk, back, ms(3_000));
    assert_eq!((desk.model().core.settings.slots, desk.versions().number()), (7, 7));
    assert_eq!(desk.versions().current().unwrap().digest, desk.versions().get(2).unwrap().digest);
    assert_eq!(desk.back(99, "ana".into(), "".into()).err().unwrap().status, 404);
}

#[test]
fn a_change_of_nothing_makes_no_version_and_a_bad_one_changes_nothing() {
    let mut desk = desk();
    put(&mut desk, change("limits: {slots: 6}\n# said anew\n", None, None), ms(2_000));
    assert_eq!(desk.versions().number(), 1);
    let before = desk.versions().clone();
    let refusal = desk.weigh(change("limits: {slots: 0}", None, None), ms(2_000), &files()).err().unwrap();
    assert_eq!((refusal.status, desk.versions()), (422, &before));
    let staged = desk.stage("limits: {slots: 8}".into(), "ana".into(), ms(3_000), &files()).unwrap();
    assert_eq!(Versions::decode(&staged.encode(), 100_000).unwrap().0.staged(), staged.staged());
    assert_eq!(staged.staged().unwrap().from, 1);
}
