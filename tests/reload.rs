//! SIGHUP that moves discovery while something of the operators stands in its way: the platform waits for no
//! operator. Delivery reports of messages accepted from then on go to the new address, and a process that reads
//! the platform's file decides as one that is started with it.

mod support;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use support::byhand::{accept_call, answer, open_message, request, submit, until};
use support::config::{post, show, value, ADMIN_SECTION};
use support::load::{serve_platform, Shared};
use support::{unused_address, Process, Stage};

/// A stage whose platform answers at its first and at its second address.
struct MovingPlatform {
    stage: Stage,
    first: Shared,
    second: Shared,
}

impl MovingPlatform {
    fn start(name: &str, file: &str) -> MovingPlatform {
        let mut stage = Stage::new(name);
        stage.write_operators_file(&format!("{ADMIN_SECTION}{file}"));
        let (first, second) = (Shared::default(), Shared::default());
        serve_platform(stage.listener("platform"), first.clone());
        serve_platform(stage.listener("platform2"), second.clone());
        stage.start();
        // The listening socket is open before the version of the start is stored.
        stage.wait_until_ready();
        MovingPlatform { stage, first, second }
    }

    /// Moves the platform and sends SIGHUP.
    fn move_platform(&self) {
        self.stage.move_platform_to("platform2");
        self.stage.signal("-HUP");
    }

    fn discovery(&self) -> String {
        value(&self.stage, "discovery")
    }

    fn wait_until_moved(&self) {
        let target = self.stage.address_of("platform2").to_string();
        until("discovery has not moved", || self.discovery() == target);
    }

    /// Submits a payment that fails at the endpoint of destination 2 or 3, and checks which address its report goes
    /// to.
    fn check_report_at_new_address(&self, id: &str, dest: u32) {
        let endpoint = self.stage.listener(&format!("s{dest}"));
        assert_eq!(submit(&self.stage, &request(id, "payment", dest, 30.0, "pay")), 202);
        let (mut call, _) = accept_call(&endpoint);
        answer(&mut call, "500 Error");
        until("no report at the new address", || self.second.lock().unwrap().reports.contains_key(id));
        assert!(!self.first.lock().unwrap().reports.contains_key(id), "{id} was reported at the old address");
        until("the report is not settled", || open_message(&self.stage, id).is_null());
    }
}

/// Posts a change; the section of the administration API is put before a file.
fn post_change(stage: &Stage, target: &str, file: &str) -> u16 {
    let file = if file.is_empty() { String::new() } else { format!("{ADMIN_SECTION}{file}") };
    let (status, body) = post(stage, target, &file);
    println!("{target}: {status} {body}");
    status
}

/// Starts a successor that waits for the running process, which is returned: after a handover that failed, this
/// accepts no successor for some seconds.
fn start_waiting_successor(stage: &mut Stage) -> Process {
    let predecessor = stage.start_successor(&[("CEDARWHARF_FAIL_AT", "built")]);
    stage.wait_for_exit();
    stage.replace(predecessor);
    let predecessor = stage.start_successor(&[]);
    until("the successor does not wait", || stage.log().contains("holds the state folder"));
    predecessor
}

/// SIGHUP in a trial was refused as a whole and not made up for: reports went on to the old address for good.
#[test]
fn platform_that_moves_during_a_trial_gets_its_reports_and_the_trial_goes_on() {
    for end in ["confirm", "undo", "kill"] {
        let mut moving = MovingPlatform::start(&format!("moves-in-trial-{end}"), "");
        assert_eq!(
            post_change(&moving.stage, "/v1/config/apply?confirm_within_s=600", "limits: {slots: 3}\n"),
            200
        );
        moving.move_platform();
        moving.wait_until_moved();
        let trial = show(&moving.stage);
        assert!(trial["trial_left_ms"].as_u64().unwrap() > 500_000, "the trial goes on: {trial}");
        assert_eq!(trial["values"]["limits.slots"], "3");
        moving.check_report_at_new_address("in-trial", 2);
        let slots = match end {
            "kill" => {
                moving.stage.kill();
                moving.stage.start();
                "6"
            }
            end => {
                assert_eq!(post_change(&moving.stage, &format!("/v1/config/{end}"), ""), 200);
                if end == "confirm" {
                    "3"
                } else {
                    "6"
                }
            }
        };
        let after = show(&moving.stage);
        assert!(after["trial_left_ms"].is_null(), "{end} ends the trial: {after}");
        assert_eq!(after["values"]["limits.slots"], slots, "{end}");
        moving.wait_until_moved();
        moving.check_report_at_new_address("after-trial", 3);
    }
}

/// The platform's file was dropped, too, where the operators' file had a problem, was gone, or named a secret that
/// is gone, and where the new version could not be written.
#[test]
fn platform_that_moves_gets_its_reports_whatever_the_operators_files_are() {
    for fault in ["invalid", "missing", "secret", "unwritable versions"] {
        let name = format!("moves-beside-{}", fault.replace(' ', "-"));
        let secret = std::env::temp_dir().join(format!("cedarwharf-{}-{name}.secret", std::process::id()));
        std::fs::write(&secret, "pw").unwrap();
        let file = format!(
            "amqp: {{brokers: [{{instanceId: b3, hostPort: BROKER, machineType: plain, cell: 4, user: u, \
             password: {{file: {}}}, vhost: /, exchange: '', routing_key: q}}]}}\n",
            secret.display()
        );
        let moving = MovingPlatform::start(&name, &file);
        match fault {
            "invalid" => moving.stage.write_operators_file(&format!("{ADMIN_SECTION}limits: {{slots: 0}}\n")),
            "missing" => std::fs::remove_file(moving.stage.folder.join("fronts.json")).unwrap(),
            "secret" => std::fs::remove_file(&secret).unwrap(),
            _ => {
                let versions = moving.stage.folder.join("state/config.versions");
                std::fs::remove_file(&versions).unwrap();
                std::fs::create_dir(&versions).unwrap();
            }
        }
        moving.move_platform();
        moving.wait_until_moved();
        moving.check_report_at_new_address("moved", 2);
        let _ = std::fs::remove_file(&secret);
    }
}

/// A rollback that could not be prepared was tried in every turn, and everything else waited for it.
#[test]
fn rollback_that_fails_keeps_neither_the_platform_nor_an_operator_waiting() {
    let moving = MovingPlatform::start("moves-beside-rollback", "amqp: {listen: AMQP}\n");
    let other = unused_address();
    let file = format!("amqp: {{listen: {other}}}\n");
    assert_eq!(post_change(&moving.stage, "/v1/config/apply?confirm_within_s=0.2", &file), 200);
    // The address that the rollback needs is taken.
    let mut taken = None;
    until("the address is not free", || {
        taken = TcpListener::bind(moving.stage.amqp).ok();
        taken.is_some()
    });
    until("the rollback does not fail", || {
        moving.stage.log().contains("configuration cannot be rolled back")
    });
    moving.move_platform();
    moving.wait_until_moved();
    moving.check_report_at_new_address("moved", 2);
    assert_eq!(post_change(&moving.stage, "/v1/config/confirm", ""), 200);
    assert_eq!(value(&moving.stage, "amqp.listen"), other.to_string());
    let attempts = moving.stage.log().matches("configuration cannot be rolled back").count();
    assert!(attempts < 20, "{attempts} attempts: one a second is enough");
}

/// What the operators' file overrides hid a change of the platform's file: it was forgotten, and the old value came
/// back once the override went.
#[test]
fn platform_file_read_under_an_override_counts_once_the_override_goes() {
    let moving = MovingPlatform::start("moves-under-override", "");
    let first = moving.discovery();
    assert_eq!(post_change(&moving.stage, "/v1/config/apply", &format!("discovery: {first}\n")), 200);
    moving.stage.write_operators_file(&format!("{ADMIN_SECTION}discovery: {first}\n"));
    moving.move_platform();
    until("the files are not read", || moving.stage.log().contains("configuration read again"));
    assert_eq!(moving.discovery(), first, "the operators' file overrides it");
    assert_eq!(post_change(&moving.stage, "/v1/config/apply", "limits: {slots: 5}\n"), 200);
    moving.wait_until_moved();
    moving.check_report_at_new_address("moved", 2);
}

/// A platform's file that cannot be put in force whole is not forgotten: discovery moves at once, the rest follows
/// once it can.
#[test]
fn rest_of_the_platforms_file_follows_once_what_stands_in_its_way_is_gone() {
    let moving = MovingPlatform::start("moves-in-part", "tenants: [{name: acme, quota_per_s: 50}]\n");
    let login = "amqp: {tenants: [{tenant: other, user: u, password: p}]}\n";
    assert_eq!(post_change(&moving.stage, "/v1/config/apply", login), 200);
    // The platform takes the tenant away that the document in force names.
    moving.stage.edit_platform_file("platform2", |text| {
        text.replace(r#",{"name":"other","quotaPerS":5.0,"share":0.1}"#, "")
            .replace("\"maxOpen\":40", "\"maxOpen\":30")
    });
    std::fs::remove_file(moving.stage.folder.join("fronts.json")).unwrap();
    moving.stage.signal("-HUP");
    moving.wait_until_moved();
    moving.check_report_at_new_address("moved", 2);
    assert_eq!(value(&moving.stage, "limits.held_messages"), "40");
    assert_eq!(post_change(&moving.stage, "/v1/config/apply", "log: {form: text}\n"), 200);
    until("the rest does not follow", || value(&moving.stage, "limits.held_messages") == "30");
}

/// SIGHUP to a process that is stopping was dropped: reports of its last messages went to the old address.
#[test]
fn platform_that_moves_during_a_stop_gets_the_last_reports() {
    let moving = MovingPlatform::start("moves-in-stop", "");
    let endpoint = moving.stage.listener("s2");
    assert_eq!(submit(&moving.stage, &request("last", "payment", 2, 30.0, "pay")), 202);
    let (mut call, _) = accept_call(&endpoint);
    moving.stage.signal("-TERM");
    until("the stop is not begun", || moving.stage.log().contains("SIGTERM received"));
    moving.move_platform();
    until("SIGHUP is not handled", || moving.stage.log().contains("platform's file read again"));
    answer(&mut call, "500 Error");
    until("no report at the new address", || moving.second.lock().unwrap().reports.contains_key("last"));
}

/// A process that waited for its predecessor kept the platform's file as it was at its own start.
#[test]
fn successor_reads_the_platforms_file_when_it_takes_over() {
    let mut moving = MovingPlatform::start("moves-before-upgrade", "");
    let mut predecessor = start_waiting_successor(&mut moving.stage);
    moving.stage.move_platform_to("platform2");
    predecessor.signal("-HUP");
    moving.wait_until_moved();
    moving.stage.wait_until_ready();
    predecessor.signal("-TERM");
    assert_eq!(predecessor.wait().unwrap().code(), Some(0), "{}", moving.stage.log());
    moving.wait_until_moved();
    moving.check_report_at_new_address("moved", 2);
}

/// SIGHUP that a process got while it waited for its predecessor was lost, and so was one that the predecessor had
/// not handled when it handed over, as its file was still being written.
#[test]
fn reload_that_is_pending_at_a_takeover_is_done_by_the_successor() {
    let mut moving = MovingPlatform::start("pending-reload", "");
    let mut predecessor = start_waiting_successor(&mut moving.stage);
    moving.stage.write_operators_file(&format!("{ADMIN_SECTION}limits: {{slots: 4}}\n"));
    moving.stage.signal("-HUP");
    moving.stage.wait_until_ready();
    predecessor.signal("-TERM");
    assert_eq!(predecessor.wait().unwrap().code(), Some(0), "{}", moving.stage.log());
    until("the file is not read", || value(&moving.stage, "limits.slots") == "4");

    let (stop, writer) = keep_rewriting(&moving.stage);
    moving.stage.signal("-HUP");
    let mut predecessor = moving.stage.start_successor(&[]);
    until("no takeover", || moving.stage.log().matches("this process has followed").count() == 2);
    stop.store(true, Ordering::SeqCst);
    writer.join().unwrap();
    predecessor.signal("-TERM");
    assert_eq!(predecessor.wait().unwrap().code(), Some(0), "{}", moving.stage.log());
    until("the file is not read", || value(&moving.stage, "limits.slots") == "5");
}

/// Writes the operators' file anew, with other text each time, until the flag is set.
fn keep_rewriting(stage: &Stage) -> (Arc<AtomicBool>, std::thread::JoinHandle<()>) {
    let path = stage.folder.join("fronts.json");
    let file = stage.fill_addresses(&format!("{ADMIN_SECTION}limits: {{slots: 5}}\n"));
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let (sender, first_written) = std::sync::mpsc::channel();
    let writer = std::thread::spawn(move || {
        for number in 0.. {
            let next = path.with_extension("next");
            std::fs::write(&next, format!("{file}# {number}\n")).unwrap();
            std::fs::rename(&next, &path).unwrap();
            let _ = sender.send(());
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    first_written.recv().unwrap();
    (stop, writer)
}

/// An undo without a number went to a version with the same document, and changed nothing.
#[test]
fn undo_after_a_change_of_the_platforms_file_restores_the_document_before() {
    let moving = MovingPlatform::start("undo-after-platform", "");
    assert_eq!(post_change(&moving.stage, "/v1/config/apply", "limits: {slots: 3}\n"), 200);
    moving.stage.write_operators_file(&format!("{ADMIN_SECTION}limits: {{slots: 0}}\n"));
    moving.move_platform();
    moving.wait_until_moved();
    assert_eq!(post_change(&moving.stage, "/v1/config/undo", ""), 200);
    assert_eq!(value(&moving.stage, "limits.slots"), "6");
    moving.wait_until_moved();
}
