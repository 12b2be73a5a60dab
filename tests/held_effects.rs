//! The effect of a repeat that a message was accepted under holds to its final outcome, whatever becomes of its
//! class: in a running process, after a restart and after an upgrade. What is accepted after a change goes by
//! the changed class, as in a process that is started with it.

mod common;
mod support;

use cedarwharf::config::model::Core;
use cedarwharf::engine::{Engine, Input};
use cedarwharf::journal::{FinalOutcome, Journal, Record};
use cedarwharf::*;
use common::core::{call_in, core, outcome_in, start_with, submission, upgraded, Folder};
use common::{ms, settings};
use support::byhand::{accept_call, answer, open_message, request, submit, try_accept, until};
use support::config::{apply, ADMIN_SECTION};
use support::load::{serve_platform, Shared};
use support::Stage;

const DISK: u64 = 1 << 20;
/// The class under test, by index.
const CLASS: usize = 1;
const WINDOW_MS: u64 = 5_000;
const LONG: Effect = Effect::Keyed { scope: KeyScope::All, window: Micros(WINDOW_MS * 1_000) };
const SHORT: Effect = Effect::Keyed { scope: KeyScope::All, window: Micros(1_000_000) };
const BY_ZONE: Effect = Effect::Keyed { scope: KeyScope::Zone, window: Micros(WINDOW_MS * 1_000) };
const EFFECTS: [Effect; 5] = [Effect::Safe, LONG, SHORT, BY_ZONE, Effect::Unsafe];

/// Two classes, of which the second has this effect; without one it is not configured.
fn core_with(effect: Option<Effect>) -> Core {
    let mut settings = settings();
    settings.classes.truncate(CLASS + 1);
    match effect {
        Some(effect) => settings.classes[CLASS].effect = effect,
        None => settings.classes.truncate(CLASS),
    }
    core(settings)
}

/// How a change reaches the process that holds the message.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Change,
    ClassGoes,
    ClassGoesAndReturns,
    ChangeAndUndo,
    Restart,
    RestartWithoutClass,
    Upgrade,
    ChangeAndUpgrade,
}

const WAYS: [Way; 8] = [
    Way::Change,
    Way::ClassGoes,
    Way::ClassGoesAndReturns,
    Way::ChangeAndUndo,
    Way::Restart,
    Way::RestartWithoutClass,
    Way::Upgrade,
    Way::ChangeAndUpgrade,
];

/// The versions that a running process goes through, and whether and with which one another process follows.
fn versions(way: Way, from: Effect, to: Effect) -> Vec<Core> {
    let (before, after, without) = (core_with(Some(from)), core_with(Some(to)), core_with(None));
    match way {
        Way::Change | Way::ChangeAndUpgrade => vec![after],
        Way::ClassGoes => vec![without],
        Way::ClassGoesAndReturns => vec![without, after],
        Way::ChangeAndUndo => vec![after, before],
        Way::Restart | Way::RestartWithoutClass | Way::Upgrade => Vec::new(),
    }
}

fn change(mut engine: Engine, way: Way, folder: &Folder, (from, to): (Effect, Effect), now: u64) -> Engine {
    for version in versions(way, from, to) {
        engine.configure(&version);
        engine.step(ms(now), []);
    }
    match way {
        Way::Restart => start_with(&core_with(Some(to)), folder, DISK, now),
        Way::RestartWithoutClass => start_with(&core_with(None), folder, DISK, now),
        Way::Upgrade | Way::ChangeAndUpgrade => upgraded(engine, &core_with(Some(to)), folder, DISK, now),
        _ => engine,
    }
}

/// Whether a message whose first call breaks at this time is called again, and its outcome if not.
fn after_break(engine: &mut Engine, now: u64, call: u64, breaks_at: u64) -> (bool, Option<FinalOutcome>) {
    for now in (now..breaks_at + 3_000).step_by(10) {
        let input = (now == breaks_at).then_some(Input::ConnectionFailed(call));
        let outputs = engine.step(ms(now), input);
        if call_in(&outputs).is_some() {
            return (true, None);
        }
        if let Some(outcome) = outcome_in(&outputs) {
            return (false, Some(outcome));
        }
    }
    (false, None)
}

/// A message of a fragile class that went and came back as `dedup` was sent again after it may have run; others
/// took on the window of the changed class, or ended at a restart without being tried again.
#[test]
fn held_message_keeps_the_effect_that_it_was_accepted_under() {
    // Within the shortest window, and after it but within the other one.
    for failed_at in [1_400, 2_600] {
        for (way, from, to) in combinations() {
            let case = format!("{way:?}, accepted as {from:?}, then {to:?}, in doubt at {failed_at}");
            let folder = Folder::new("held-effect");
            let mut engine = start_with(&core_with(Some(from)), &folder, DISK, 1_000);
            let call = call_in(&engine.step(ms(1_000), [submission("m1", CLASS, 10)])).unwrap();
            engine.step(ms(1_001), [Input::Written(call)]);
            let mut engine = change(engine, way, &folder, (from, to), 1_200);
            let (again, outcome) = after_break(&mut engine, 1_200, call, failed_at);
            // A restart ends the first call at once, within every window.
            let is_restart = matches!(way, Way::Restart | Way::RestartWithoutClass);
            let repeatable = match from {
                Effect::Safe => true,
                Effect::Unsafe => false,
                Effect::Keyed { window, .. } => is_restart || ms(failed_at) < ms(1_000).plus(window),
            };
            assert_eq!(again, repeatable, "{case}: {outcome:?}");
            if from == Effect::Unsafe {
                assert_eq!(outcome, Some(FinalOutcome::Undeliverable), "{case}");
            }
        }
    }
}

fn combinations() -> Vec<(Way, Effect, Effect)> {
    let pairs = EFFECTS.iter().flat_map(|&from| EFFECTS.iter().map(move |&to| (from, to)));
    pairs.flat_map(|(from, to)| WAYS.iter().map(move |&way| (way, from, to))).collect()
}

/// What is accepted after a change is repeated, or not, as in a process that is started with the changed class.
#[test]
fn message_accepted_after_a_change_goes_by_the_class_in_force() {
    for (way, from, to) in combinations() {
        if matches!(way, Way::ClassGoes | Way::RestartWithoutClass) {
            continue;
        }
        let in_force = if way == Way::ChangeAndUndo { from } else { to };
        let folders = [Folder::new("changed"), Folder::new("fresh")];
        let engine = start_with(&core_with(Some(from)), &folders[0], DISK, 1_000);
        let changed = change(engine, way, &folders[0], (from, to), 1_200);
        let fresh = start_with(&core_with(Some(in_force)), &folders[1], DISK, 1_200);
        let decisions = [changed, fresh].map(|mut engine| {
            let call = call_in(&engine.step(ms(1_300), [submission("m1", CLASS, 10)])).unwrap();
            engine.step(ms(1_301), [Input::Written(call)]);
            after_break(&mut engine, 1_310, call, 2_500).0
        });
        assert_eq!(decisions[0], decisions[1], "{way:?} from {from:?} to {to:?}");
    }
}

/// The journal of an earlier version has no scope and window: the class's count if it is keyed still, else the
/// message is not repeated.
#[test]
fn keyed_message_of_an_older_journal_takes_the_window_of_its_class() {
    for (to, repeated) in [(LONG, true), (Effect::Safe, false), (Effect::Unsafe, false)] {
        let folder = Folder::new("older-journal");
        let mut engine = start_with(&core_with(Some(LONG)), &folder, DISK, 1_000);
        let call = call_in(&engine.step(ms(1_000), [submission("m1", CLASS, 10)])).unwrap();
        engine.step(ms(1_001), [Input::Written(call)]);
        drop(engine);
        let mut recovered = Journal::open(&folder.0, DISK);
        for record in &mut recovered.records {
            if let Record::Accepted(accepted) = record {
                assert_eq!(accepted.effect, Some(LONG), "the journal has the effect whole");
                accepted.effect = None;
            }
        }
        recovered.journal.claim();
        recovered.journal.compact(&recovered.records).unwrap();
        let mut engine = start_with(&core_with(Some(to)), &folder, DISK, 1_500);
        assert_eq!(after_break(&mut engine, 1_500, call, 1_500).0, repeated, "{to:?}");
    }
}

const FRAGILE: &str = "{name: payment, effect: fragile, aim_ms: 900, deadline_ms: 60000}";
const DEDUP: &str =
    "{name: payment, effect: dedup, key_scope: all, window_ms: 40000, aim_ms: 900, deadline_ms: 60000}";
const NOTE: &str = "{name: note, effect: retryable, aim_ms: 900, deadline_ms: 60000}";

fn apply_classes(stage: &Stage, classes: &[&str]) {
    apply(stage, &format!("{ADMIN_SECTION}classes: [{}]\n", classes.join(", ")));
}

/// A payment was out while its class went and came back as `dedup`. After the endpoint's 500 it was sent again, and
/// took effect twice.
#[test]
fn payment_is_not_sent_again_after_its_class_went_and_came_back_as_dedup() {
    for upgraded in [false, true] {
        let mut stage = Stage::new(&format!("class-returns-{upgraded}"));
        stage.write_operators_file(&format!("{ADMIN_SECTION}classes: [{NOTE}, {FRAGILE}]\n"));
        let ledger = Shared::default();
        serve_platform(stage.listener("platform"), ledger.clone());
        let endpoint = stage.listener("s2");
        stage.start();
        assert_eq!(submit(&stage, &request("m1", "payment", 2, 30.0, "pay")), 202);
        let (mut call, head) = accept_call(&endpoint);
        assert!(head.contains("Request-Id: m1\r\n"), "{head}");
        apply_classes(&stage, &[NOTE]);
        apply_classes(&stage, &[NOTE, DEDUP]);
        if upgraded {
            stage.upgrade();
        }
        answer(&mut call, "500 Error");
        until("m1 has no outcome", || open_message(&stage, "m1").is_null());
        let reports = ledger.lock().unwrap().reports.get("m1").cloned();
        assert!(reports.is_some_and(|reports| reports.len() == 1), "one report: {}", stage.log());
        assert!(try_accept(&endpoint).is_none(), "m1 was sent again");
    }
}
