//! Configuration without sockets: relations between settings, the plan, the transaction, versions, the change
//! service.

mod common;

use cedarwharf::config::desk::{check, Change, ChangeOrigin, ChangeService, Trial};
use cedarwharf::config::model::{differences, digest, Model, PartKind, PlatformConfig};
use cedarwharf::config::plan::{plan, Step};
use cedarwharf::config::probation::{Bounds, ServiceCounts};
use cedarwharf::config::problem::Problem;
use cedarwharf::config::secret::SecretFiles;
use cedarwharf::config::transaction::{self, ChangeTarget, Point};
use cedarwharf::config::versions::{Staged, Version, Versions, Window, MAX_VERSIONS};
use cedarwharf::net::list::Names;
use cedarwharf::*;
use common::{ms, settings};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Files of secrets, in memory.
struct MemoryFiles(BTreeMap<&'static str, &'static str>);

impl SecretFiles for MemoryFiles {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).map(|text| (*text).to_owned()).ok_or_else(|| "no such file".to_owned())
    }
}

fn files() -> MemoryFiles {
    MemoryFiles(BTreeMap::from([("/run/pw", "from-a-file\n"), ("/run/empty", "\n")]))
}

fn base() -> PlatformConfig {
    let mut settings = settings();
    settings.classes.truncate(3);
    settings.tenants = vec![5.0, 7.0];
    PlatformConfig {
        listen: "127.0.0.1:7000".parse().unwrap(),
        discovery: "127.0.0.1:7001".parse().unwrap(),
        sockets: 1024,
        memory: 192_000_000,
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

fn problems_of(text: &str) -> Vec<String> {
    let problems = check(&base(), text, &files()).map(|_| ()).expect_err(text);
    problems.list().iter().map(ToString::to_string).collect()
}

fn change(text: &str, from: Option<u64>, trial: Option<Trial>) -> Change {
    let (who, why) = ("ana".to_owned(), "test".to_owned());
    Change { document: text.to_owned(), base: None, from, who, why, trial, origin: ChangeOrigin::Document }
}

fn change_service_with(versions: Versions, file: Option<&str>, now: Micros) -> ChangeService {
    ChangeService::start(base(), versions, file, false, &files(), now).unwrap().0
}

fn change_service() -> ChangeService {
    change_service_with(Versions::new("salt".into(), 100_000), Some("limits: {slots: 6}"), ms(1_000))
}

fn apply_change(change_service: &mut ChangeService, change: Change, now: Micros) {
    let planned = change_service
        .plan_change(change, now, &files())
        .unwrap_or_else(|refusal| panic!("{}", refusal.problems));
    change_service.complete(planned, now, ServiceCounts::default());
    assert!(change_service.is_consistent());
}

// ---- The model ----

#[test]
fn settings_missing_in_the_operators_file_come_from_the_platforms_file() {
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
fn all_violated_relations_are_reported_with_their_lines() {
    let text = "limits:\n  slots: 900\n  held_messages: 10\nlisten: 127.0.0.1:9\nclasses:\n- {name: a, effect: \
                dedup, aim_ms: 9, deadline_ms: 5}\n- {name: a, effect: fragile, window_ms: 4, aim_ms: 1, \
                deadline_ms: 5}\namqp:\n  listen: 127.0.0.1:9\n  tenants:\n  - {tenant: rai, user: u, password: \
                {file: /run/none}}\nadmin:\n  listen: 127.0.0.1:10\n  tokens:\n  - token: same\n  - token: \
                same\n  - {token: {file: /run/empty}, tenant: nobody}\n";
    let problems = problems_of(text).join("\n");
    for part in [
        "limits.sockets: 1024 descriptors are not enough for 900 slots",
        "line 2: limits.slots: 900 slots exceed the limit of 10 held messages",
        "classes[0].window_ms: missing",
        "line 6: classes[0].aim_ms: longer than deadline_ms",
        "line 7: classes[1].window_ms: only for effect dedup",
        "line 7: classes[1].name: a is already used at classes[0]",
        "line 9: amqp.listen: the same address as listen",
        "amqp.tenants[0].tenant: unknown tenant rai; use one of the tenants: onda, ria",
        "amqp.tenants[0].password: /run/none: no such file",
        "line 16: admin.tokens[1].token: the same as another token",
        "admin.tokens[2].token: the secret is empty",
        "admin.tokens[2].tenant: unknown tenant nobody",
    ] {
        assert!(problems.contains(part), "{part} is not in\n{problems}");
    }
    assert!(!problems.contains("same\"") && !problems.contains("from-a-file"));
}

#[test]
fn guarantees_that_exceed_the_total_are_rejected_with_their_sum() {
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
        problems_of(&tenants([3, 4])),
        ["line 4: tenants[1].slots.guarantee: guarantees up to this tenant add up to 7, but only 6 are available; \
          guarantee at most 3 here, or less to others"]
    );
    assert!(problems_of(&tenants([0, 6]))
        .iter()
        .any(|line| line.contains("the ceiling is below the guarantee of 6")));
}

#[test]
fn unusable_membership_settings_are_reported_with_their_lines() {
    let problems = problems_of(
        "membership:\n  name: ''\n  cluster: c\n  listen: 0.0.0.0:0\n  seeds: ['127.0.0.1:9', '[::1]:9']\n  key: short\n  \
         probe_interval_ms: 1\n",
    );
    let expected = ["line 7: membership.probe_interval_ms: out of bounds; stay within 20 to 60000"];
    for part in expected {
        assert!(problems.iter().any(|line| line.contains(part)), "{part} is not in {problems:?}");
    }
    let problems = problems_of(
        "membership:\n  name: ''\n  cluster: c\n  listen: 0.0.0.0:0\n  seeds: ['127.0.0.1:9', '[::1]:9']\n  key: short\n",
    );
    let expected = [
        "line 2: membership.name: 0 bytes; write a name of 1 to 64 bytes",
        "line 4: membership.listen: port 0 is assigned by the system; write a fixed port",
        "membership.advertise: 0.0.0.0:0 is not a reachable address; write the address at which the other members reach this forwarder",
        "line 5: membership.seeds[1]: [::1]:9 cannot be sent to from 0.0.0.0:0; write a member's address",
        "line 6: membership.key: short enough to be guessed; generate at least 16 bytes, the same for all members",
    ];
    for part in expected {
        assert!(problems.iter().any(|line| line.contains(part)), "{part} is not in {problems:?}");
    }
    assert_eq!(problems.len(), expected.len(), "{problems:?}");
    let model = model("membership: {name: a, cluster: c, listen: '127.0.0.1:9', key: '0123456789abcdef'}");
    let members = model.members.clone().unwrap();
    assert_eq!((members.advertise, members.seeds.len()), (members.listen, 0));
    let outline = format!("{:?}", model.outline(b"salt"));
    assert!(!outline.contains("0123456789abcdef") && outline.contains("membership.cluster"), "{outline}");
}

#[test]
fn secrets_are_never_shown_but_a_changed_secret_is_a_difference() {
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
fn reordering_a_list_is_no_difference() {
    let one = model("tenants: [{name: a, quota_per_s: 1}, {name: b, quota_per_s: 2}]");
    let other = model("tenants: [{name: b, quota_per_s: 2}, {name: a, quota_per_s: 1}]");
    assert_eq!(digest(&one.outline(b"")), digest(&other.outline(b"")));
}

/// The settings of [`base`] with other values in every field that only the platform's file has.
fn platform(change: impl FnOnce(&mut Settings, &mut Names)) -> PlatformConfig {
    let mut base = base();
    change(&mut base.settings, &mut base.names);
    base
}

/// The digest of the platform's settings is part of a version's digest, which the state folder stores. The
/// first start of a new build compares it with the stored one and writes a version where they differ. The
/// expected values were computed by a build whose `Settings` had the stored names, so renames in the source
/// must not change them.
#[test]
fn digest_of_the_platforms_settings_equals_the_one_that_earlier_builds_stored() {
    let rough_halving = platform(|settings, names| {
        *settings = Settings {
            classes: settings.classes.clone(),
            kinds: vec![
                KindSettings { separate_routes: true, batch: 1 },
                KindSettings { separate_routes: false, batch: 32 },
                KindSettings { separate_routes: true, batch: 7 },
            ],
            weights: Weights::Rough,
            worth_decay: WorthDecay::Halving,
            tenants: settings.tenants.clone(),
            isolation: vec![tenancy::Isolation::default(); 2],
            over_share_worth: 0.375,
            forwarders: 11,
            slots: 12,
            max_messages: 130,
            max_attempts: 14,
            can_cancel: false,
            must_subscribe: true,
            max_retry_after: ms(15),
            connection_idle: ms(16),
            drain_grace: ms(17),
            recovery_start_share: 1e-7,
            recovery_time: Micros(18),
            overload_multiple: 1e20,
            overload_window: Micros(19),
            key_backoff: Micros(20_021),
        };
        names.kinds = ["plain", "with \"quotes\" and \\", "größe"].map(str::to_owned).to_vec();
        names.zones = ["north", "south-2"].map(str::to_owned).to_vec();
    });
    let absent_linear = platform(|settings, names| {
        *settings = Settings {
            classes: Vec::new(),
            kinds: Vec::new(),
            weights: Weights::Absent,
            worth_decay: WorthDecay::Linear,
            tenants: Vec::new(),
            isolation: Vec::new(),
            over_share_worth: 1.0,
            forwarders: 1,
            slots: 2,
            max_messages: 3,
            max_attempts: 4,
            can_cancel: true,
            must_subscribe: false,
            max_retry_after: ms(5),
            connection_idle: ms(6),
            drain_grace: Micros(0),
            recovery_start_share: 0.0,
            recovery_time: ms(7),
            overload_multiple: f64::INFINITY,
            overload_window: ms(8),
            key_backoff: Micros(u64::MAX),
        };
        *names = Names::default();
    });
    let cases = [
        ("nominal, linear", base(), "7bd181049557e6e4"),
        ("rough, halving", rough_halving, "99dc64e695691467"),
        ("absent, linear", absent_linear, "b4139725cc10fca0"),
    ];
    for (case, base, digest) in cases {
        let model = check(&base, "{}", &files()).unwrap().1;
        assert_eq!(model.outline(b"")["platform"].text, digest, "{case}");
    }
}

// ---- The plan ----

#[test]
fn changes_that_need_a_restart_are_rejected_by_name() {
    let effect = |effect: &str| {
        model(&format!("classes: [{{name: note, effect: {effect}, aim_ms: 1, deadline_ms: 2}}]"))
    };
    let problems = plan(&effect("retryable"), &effect("fragile")).unwrap_err();
    assert!(problems.to_string().contains("classes[note].effect: cannot change while the process runs"));
    let mut other = base();
    other.names.zones.push("y".into());
    let other = check(&other, "", &files()).unwrap().1;
    assert!(plan(&model(""), &other).unwrap_err().to_string().contains("kinds and zones cannot change"));
    // Classes can be removed, be added and change their times.
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

/// A change target that fails at a given point and records what is prepared and whether the version is
/// written.
struct FakeTarget {
    model: Model,
    fails_at: Option<Point>,
    at: Point,
    held: Vec<PartKind>,
    recorded: bool,
}

impl ChangeTarget for FakeTarget {
    type Prepared = PartKind;

    fn prepare(&mut self, step: &Step) -> Result<PartKind, Problem> {
        if self.fails_at == Some(self.at) {
            return Err(Problem::new("", "fails", "as intended"));
        }
        self.held.push(step.kind());
        Ok(step.kind())
    }

    fn release(&mut self, step: &Step, held: PartKind) {
        assert_eq!(
            (step.kind(), self.held.pop()),
            (held, Some(held)),
            "prepared steps are released in reverse order"
        );
        assert!(!self.recorded);
    }

    fn record(&mut self) -> Result<(), Problem> {
        if self.fails_at == Some(self.at) {
            return Err(Problem::new("", "fails", "as intended"));
        }
        self.recorded = true;
        Ok(())
    }

    fn commit(&mut self, step: &Step, held: PartKind) {
        assert!(self.recorded, "the version is written before the first commit");
        self.held.retain(|&kind| kind != held);
        step.apply(&mut self.model);
    }

    fn reach(&mut self, point: Point) {
        self.at = point;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn undoing_any_applied_prefix_of_steps_restores_the_model(from in document(), to in document()) {
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
    fn change_that_fails_at_any_point_has_no_effect(from in document(), to in document(), at in 0usize..14) {
        let (from, to) = (model(&from), model(&to));
        let steps = plan(&from, &to).unwrap();
        let fails_at = match at {
            index if index < steps.len() => Some(Point::Prepare(index)),
            index if index == steps.len() => Some(Point::Record),
            _ => None,
        };
        let (at, held) = (Point::Done, Vec::new());
        let mut target = FakeTarget { model: from.clone(), fails_at, at, held, recorded: false };
        let done = transaction::run(&mut target, &steps);
        prop_assert_eq!(done.is_ok(), fails_at.is_none());
        prop_assert!(target.held.is_empty());
        prop_assert_eq!(&target.model, if fails_at.is_none() { &to } else { &from });
    }
}

// ---- Versions ----

fn version(number: u64, document: &str) -> Version {
    let (who, why, digest) = ("ana".to_owned(), "test".to_owned(), format!("d{number}"));
    let (from, at_ms, window) = (number - 1, number * 10, None);
    Version { number, digest, from, at_ms, who, why, document: document.into(), window }
}

#[test]
fn versions_file_truncated_or_damaged_anywhere_yields_only_whole_versions() {
    let mut versions = Versions::new("abc".into(), 100_000);
    for number in 1..4 {
        versions = versions.with_version(version(number, "limits: {}\n# \"x\"\n")).unwrap();
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
fn oldest_versions_are_removed_but_not_the_one_an_open_window_restores() {
    let mut versions = Versions::new("abc".into(), 100_000);
    versions = versions.with_version(version(1, "")).unwrap();
    for number in 2..40 {
        let window = Some(Window { until_ms: 9, back_to: 1 });
        versions = versions.with_version(Version { window, ..version(number, "") }).unwrap();
    }
    assert_eq!(
        (versions.iter().count(), versions.get(1).is_some(), versions.number()),
        (MAX_VERSIONS, true, 39)
    );
    let small = Versions::new("abc".into(), 4_000);
    let small =
        (1..9).fold(small, |kept, number| kept.with_version(version(number, &"x".repeat(900))).unwrap());
    assert!(small.encode().len() <= 4_000 && small.iter().count() > 1);
    assert!(small.with_version(version(9, &"x".repeat(5_000))).unwrap_err().what.contains("does not fit"));
    assert_eq!(small.with_bound(2_000).unwrap().iter().count(), 1);
}

#[test]
fn appended_lines_decode_to_the_same_history_as_a_rewritten_file() {
    let mut versions = Versions::new("abc".into(), 6_000).with_version(version(1, "")).unwrap();
    let mut bytes = versions.encode();
    for number in 2..40u64 {
        let staged = Staged { from: number - 1, at_ms: 1, who: "ana".into(), document: "x".into() };
        let window = (number % 3 == 0).then_some(Window { until_ms: 9, back_to: number - 1 });
        let next = versions.with_staged((number % 2 == 0).then_some(staged)).unwrap();
        let put = next.with_version(Version { window, ..version(number, "limits: {}\n") }).unwrap();
        let done = if number % 6 == 0 { put.confirmed() } else { put.clone() };
        for (from, to) in [(&versions, &next), (&next, &put), (&put, &done)] {
            bytes.extend(to.lines_since(from));
            assert_eq!(&Versions::decode(&bytes, 6_000).unwrap().0, to);
        }
        versions = done;
    }
}

// ---- The change service ----

#[test]
fn change_made_from_an_outdated_version_is_rejected_with_both_versions() {
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 7}", Some(1), None), ms(2_000));
    let refusal = change_service
        .plan_change(change("limits: {slots: 8}", Some(1), None), ms(2_001), &files())
        .err()
        .unwrap();
    assert_eq!(refusal.status, 412);
    let text = refusal.problems.to_string();
    assert!(text.contains("made from version 1, but version 2 is in force"), "{text}");
    assert_eq!(change_service.model().core.settings.slots, 7);
}

#[test]
fn open_window_blocks_other_changes_and_rolls_back_unless_confirmed() {
    let trial = Trial { duration_ms: 500, keep_on_expiry: false, bounds: Bounds::default() };
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let other = change_service.plan_change(change("limits: {slots: 8}", None, None), ms(2_100), &files());
    assert_eq!(other.err().unwrap().status, 409);
    assert!(change_service.check_window(ms(2_499), ServiceCounts::default(), Micros(0)).is_none());
    let back =
        change_service.check_window(ms(2_500), ServiceCounts::default(), Micros(0)).expect("rolls back");
    apply_change(&mut change_service, back, ms(2_500));
    assert_eq!((change_service.model().core.settings.slots, change_service.versions().number()), (6, 3));
    assert!(change_service.check_window(ms(9_000), ServiceCounts::default(), Micros(0)).is_none());
    // A confirmed version is kept.
    apply_change(&mut change_service, change("limits: {slots: 7}", None, Some(trial)), ms(10_000));
    let confirmed = change_service.confirm().unwrap();
    change_service.replace_versions(confirmed);
    assert!(change_service.check_window(ms(20_000), ServiceCounts::default(), Micros(0)).is_none());
    assert_eq!(change_service.confirm().err().unwrap().status, 409);
}

#[test]
fn probation_rolls_back_on_rejected_submissions_and_otherwise_keeps_the_version() {
    let bounds = Bounds { turn_downs: Some(0.1), turn_ms: None };
    let trial = Trial { duration_ms: 5_000, keep_on_expiry: true, bounds };
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let bad = ServiceCounts { accepted: 80, rejected: 20, listener_failures: 0 };
    assert!(change_service
        .check_window(ms(2_010), bad, Micros(0))
        .unwrap()
        .why
        .contains("20% of offers turned down"));
    let good = ServiceCounts { accepted: 980, rejected: 20, listener_failures: 0 };
    assert!(
        change_service.check_window(ms(7_000), good, Micros(0)).is_none()
            && change_service.probation_passed(ms(7_000))
    );
}

#[test]
fn start_within_an_open_window_rolls_back_and_after_confirmation_does_not() {
    let trial = Trial { duration_ms: 60_000, keep_on_expiry: false, bounds: Bounds::default() };
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 7}", None, Some(trial)), ms(2_000));
    let kept = Versions::decode(&change_service.versions().encode(), 100_000).unwrap().0;
    let next = change_service_with(kept, Some("limits: {slots: 9}"), ms(3_000));
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (6, 3));
    assert_eq!(next.versions().current().unwrap().why, "version 2 was not confirmed");
    let again = change_service_with(next.versions().clone(), None, ms(4_000));
    assert_eq!((again.model().core.settings.slots, again.versions().number()), (6, 3));
    let confirmed = change_service.confirm().unwrap();
    let next = change_service_with(confirmed, None, ms(3_000));
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 2));
}

#[test]
fn start_runs_the_last_version_instead_of_an_edited_file() {
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 7}", None, None), ms(2_000));
    let file = Some("limits: {slots: 9}");
    let (next, notes) =
        ChangeService::start(base(), change_service.versions().clone(), file, false, &files(), ms(3_000))
            .unwrap();
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 2));
    assert!(notes.iter().any(|note| note.contains("the file differs")), "{notes:?}");
    let fresh =
        ChangeService::start(base(), change_service.versions().clone(), file, true, &files(), ms(3_000))
            .unwrap()
            .0;
    assert_eq!((fresh.model().core.settings.slots, fresh.versions().number()), (9, 3));
    // If the platform's file no longer allows the last version, an earlier one is run.
    let mut smaller = base();
    smaller.tenants = vec!["ria".into()];
    smaller.settings.tenants = vec![1.0];
    let logins = "amqp: {tenants: [{tenant: onda, user: u, password: p}]}";
    apply_change(&mut change_service, change(logins, None, None), ms(4_000));
    let (next, notes) =
        ChangeService::start(smaller, change_service.versions().clone(), None, false, &files(), ms(5_000))
            .unwrap();
    assert_eq!((next.model().core.settings.slots, next.versions().number()), (7, 4));
    assert!(notes.iter().any(|note| note.contains("a stored version is no longer valid")), "{notes:?}");
}

#[test]
fn undo_restores_any_kept_version_as_a_new_version() {
    let mut change_service = change_service();
    for slots in 7..12 {
        apply_change(
            &mut change_service,
            change(&format!("limits: {{slots: {slots}}}"), None, None),
            ms(2_000),
        );
    }
    assert_eq!(change_service.previous_version(), Some(5));
    let back = change_service.rollback_to(2, "ana".into(), "".into()).unwrap();
    apply_change(&mut change_service, back, ms(3_000));
    assert_eq!((change_service.model().core.settings.slots, change_service.versions().number()), (7, 7));
    assert_eq!(
        change_service.versions().current().unwrap().digest,
        change_service.versions().get(2).unwrap().digest
    );
    assert_eq!(change_service.rollback_to(99, "ana".into(), "".into()).err().unwrap().status, 404);
}

#[test]
fn change_without_effect_makes_no_version_and_an_invalid_one_changes_nothing() {
    let mut change_service = change_service();
    apply_change(&mut change_service, change("limits: {slots: 6}\n# said anew\n", None, None), ms(2_000));
    assert_eq!(change_service.versions().number(), 1);
    let before = change_service.versions().clone();
    let refusal = change_service
        .plan_change(change("limits: {slots: 0}", None, None), ms(2_000), &files())
        .err()
        .unwrap();
    assert_eq!((refusal.status, change_service.versions()), (422, &before));
    let staged =
        change_service.stage("limits: {slots: 8}".into(), "ana".into(), ms(3_000), &files()).unwrap();
    assert_eq!(Versions::decode(&staged.encode(), 100_000).unwrap().0.staged(), staged.staged());
    assert_eq!(staged.staged().unwrap().from, 1);
}
