//! Upgrades of the real program: another process is started beside a serving one and takes everything over. Under load, with
//! kills and hangs at each named step, with a full journal and with descriptors nearly spent.

mod support;

use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};
use support::load::{ask, serve_endpoint, serve_platform, Clients, Shared};
use support::Stage;

const PATIENCE: Duration = Duration::from_secs(20);

fn staged(name: &str) -> (Stage, Shared) {
    let stage = Stage::new(name);
    stage.write_operators_file("{}");
    let ledger = Shared::default();
    serve_platform(stage.listener("platform"), ledger.clone());
    for (name, slow) in [("s1", 2), ("s2", 30), ("s3", 60)] {
        serve_endpoint(stage.listener(name), slow, ledger.clone());
    }
    (stage, ledger)
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

fn outstanding(stage: &Stage) -> Option<u64> {
    let (_, body) = ask(stage.ops, "GET", "/ops/stats", "", "").ok()?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["outstanding"].as_u64()
}

/// Waits until so many messages were taken on since the start, and one was delivered: however busy the machine is, and
/// whatever lots partners draw, what follows happens under load.
fn played(ledger: &Shared, taken: usize) {
    until("too little is taken on", || {
        let ledger = ledger.lock().unwrap();
        ledger.accepted.len() > taken && !ledger.delivered.is_empty()
    });
}

/// Waits until nothing is held any more, and a little for the notices.
fn settled(stage: &Stage) {
    until("all that was taken on has its end", || outstanding(stage) == Some(0));
    thread::sleep(Duration::from_millis(200));
}

fn term(child: &mut Child) -> Option<i32> {
    let id = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    child.wait().unwrap().code()
}

#[test]
fn upgrades_in_a_row_under_load_are_seen_by_no_client() {
    let (mut stage, ledger) = staged("in-a-row");
    stage.start();
    let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
    for upgrade in 1..=4 {
        played(&ledger, 25 * upgrade);
        let took = stage.upgrade();
        assert!(took < Duration::from_secs(6), "{took:?}");
    }
    played(&ledger, 125);
    clients.stop();
    settled(&stage);
    let ledger = ledger.lock().unwrap();
    assert_eq!(ledger.check_outcomes(&stage.log()), 0, "two ends\n{}", stage.log());
    assert_eq!(
        (ledger.broken_connections, ledger.unconfirmed.len(), ledger.other_statuses.get(&0)),
        (0, 0, None),
        "{}",
        stage.log()
    );
    // A told wait binds the process that follows, as a restart does not.
    assert_eq!(ledger.early_retries, 0, "{}", stage.log());
    assert!(
        ledger.accepted.len() > 100 && ledger.reports.len() < ledger.accepted.len(),
        "too little was played"
    );
    assert_eq!(stage.log().matches("this process has followed").count(), 4, "{}", stage.log());
}

/// The old one is killed, or hangs, at each of its steps: the new one serves in the end, and nothing is lost or done twice.
#[test]
fn an_old_process_killed_at_any_step_leaves_a_new_one_that_serves() {
    for step in ["asked", "handed", "ready"] {
        let (mut stage, ledger) = staged(&format!("old-{step}"));
        stage.start_with(&[("CEDARWHARF_FAIL_AT", step)]);
        let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
        played(&ledger, 20);
        let mut before = stage.start_successor(&[]);
        assert!(!before.wait().unwrap().success(), "{step}: no kill");
        stage.wait_until_ready();
        assert!(!stage.log().contains("has followed"), "{step}: {}", stage.log());
        let taken = ledger.lock().unwrap().accepted.len();
        played(&ledger, taken + 10);
        clients.stop();
        settled(&stage);
        let ledger = ledger.lock().unwrap();
        assert!(ledger.check_outcomes(&stage.log()) <= 12, "{step}");
        assert!(ledger.accepted.len() > 20, "{step}: too little was played");
    }
}

/// The new one is killed before it has said that it is ready: the old one goes on, and clients see nothing of it.
#[test]
fn a_new_process_killed_before_it_is_ready_changes_nothing() {
    let (mut stage, ledger) = staged("new-built");
    stage.start();
    let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
    thread::sleep(Duration::from_millis(300));
    let ops = stage.ops;
    let before = stage.start_successor(&[("CEDARWHARF_FAIL_AT", "built")]);
    assert!(!stage.replace(before).unwrap().wait().unwrap().success());
    stage.ops = ops;
    until("the old one goes on", || stage.log().contains("not handed over, this process goes on"));
    assert!(stage.is_ready());
    thread::sleep(Duration::from_millis(300));
    clients.stop();
    settled(&stage);
    let ledger = ledger.lock().unwrap();
    assert_eq!(
        (ledger.check_outcomes(&stage.log()), ledger.broken_connections, ledger.unconfirmed.len()),
        (0, 0, 0)
    );
}

/// The new one is killed as soon as it is the owner: the old one has nothing any more, and the next start goes on with all.
#[test]
fn a_new_process_killed_once_it_owns_the_folder_is_followed_by_the_next() {
    let (mut stage, ledger) = staged("new-go");
    stage.start();
    let clients = Clients::start(6, stage.listen, Duration::from_millis(3), ledger.clone());
    thread::sleep(Duration::from_millis(300));
    let (ops, mut before) = (stage.ops, stage.start_successor(&[("CEDARWHARF_FAIL_AT", "go")]));
    stage.wait_for_exit();
    let told = ask(ops, "GET", "/ops/readiness", "", "").unwrap();
    assert_eq!(told.0, 503, "{told:?}");
    let told = ask(ops, "PUT", "/ops/drain/stop", "", "").unwrap();
    assert_eq!(told.0, 409, "{told:?}");
    stage.start();
    stage.wait_until_ready();
    assert_eq!(term(&mut before), Some(0));
    thread::sleep(Duration::from_millis(300));
    clients.stop();
    settled(&stage);
    assert!(ledger.lock().unwrap().check_outcomes(&stage.log()) <= 12);
}

/// A new one that hangs keeps the old one from its work for 0.7 s, and then not again for 5 s.
#[test]
fn a_new_process_that_hangs_is_given_up_soon() {
    let (mut stage, ledger) = staged("hangs");
    stage.start();
    let ops = stage.ops;
    let clients = Clients::start(2, stage.listen, Duration::from_millis(3), ledger.clone());
    let before = stage.start_successor(&[("CEDARWHARF_HANG_AT", "built")]);
    until("it stands still", || {
        let begun = Instant::now();
        let told = ask(ops, "GET", "/ops/readiness", "", "").unwrap();
        assert_eq!(told.0, 200);
        assert!(begun.elapsed() < Duration::from_secs(1), "staff are answered within a second");
        stage.log().contains("not handed over, this process goes on")
    });
    let calm = Instant::now();
    while calm.elapsed() < Duration::from_secs(4) {
        let begun = Instant::now();
        assert_eq!(ask(ops, "GET", "/ops/readiness", "", "").unwrap().0, 200);
        assert!(begun.elapsed() < Duration::from_millis(300), "it stands still again");
        thread::sleep(Duration::from_millis(20));
    }
    let mut hung = stage.replace(before).unwrap();
    hung.kill().unwrap();
    hung.wait().unwrap();
    stage.ops = ops;
    clients.stop();
    settled(&stage);
    let ledger = ledger.lock().unwrap();
    assert_eq!((ledger.check_outcomes(&stage.log()), ledger.broken_connections), (0, 0), "{}", stage.log());
}

/// A journal that is nearly full is handed over whole, and the folder never holds more than it may.
#[test]
fn a_full_journal_is_handed_over_within_the_disk() {
    let stage = Stage::new("full");
    let (mut stage, ledger) = (stage, Shared::default());
    stage.write_operators_file("{}");
    serve_platform(stage.listener("platform"), ledger.clone());
    // Nobody accepts at the real servers: all is held.
    stage.start();
    let body = "x".repeat(60_000);
    let hand_in = |id: &str, at| {
        let headers = format!("Request-Id: {id}\r\nRequest-Class: note\r\nTenant: acme\r\nRequest-Timeout: 25\r\nX-Addressing: dest=2\r\n");
        ask(at, "POST", "/api", &headers, &body).unwrap().0
    };
    let taken = (0..20).take_while(|number| hand_in(&format!("f{number}"), stage.listen) == 202).count();
    assert!((3..10).contains(&taken), "{taken} of 60 kB in a folder of 1 MB");
    let size = |folder: &std::path::Path| -> u64 {
        std::fs::read_dir(folder)
            .unwrap()
            .flatten()
            .filter_map(|file| Some(file.metadata().ok()?.len()))
            .sum()
    };
    let folder = stage.folder.join("state");
    let watched = folder.clone();
    let done = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let stop = done.clone();
    let watch = thread::spawn(move || {
        let mut most = 0;
        while !stop.load(std::sync::atomic::Ordering::SeqCst) {
            most = most.max(size(&watched));
        }
        most
    });
    for _ in 0..3 {
        stage.upgrade();
        assert_eq!(outstanding(&stage), Some(taken as u64));
    }
    done.store(true, std::sync::atomic::Ordering::SeqCst);
    let most = watch.join().unwrap();
    assert!(most <= 1_000_000 && most > 150_000, "{most} bytes");
    assert_eq!(hand_in("f0", stage.listen), 202, "a repeat of what is held is known");
    assert_eq!(hand_in("more", stage.listen), 503, "it is as full as before");
    serve_endpoint(stage.listener("s2"), 2, ledger.clone());
    settled(&stage);
    let ledger = ledger.lock().unwrap();
    assert_eq!(ledger.delivered.len() + ledger.reports.len(), taken);
}

/// With nearly all descriptors in use, both processes together keep within the limit of one: unused connections give way.
#[test]
fn with_descriptors_nearly_spent_both_together_keep_the_limit() {
    let (mut stage, _) = staged("descriptors");
    stage.start();
    let mut crowd = Vec::new();
    for _ in 0..60 {
        let mut stream = std::net::TcpStream::connect(stage.listen).unwrap();
        std::io::Write::write_all(&mut stream, b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
        std::io::Read::read_exact(&mut stream, &mut [0; 38]).unwrap();
        crowd.push(stream);
    }
    // Those that have said nothing yet are not let go of: they may be about to.
    let silent: Vec<_> = (0..60).map(|_| std::net::TcpStream::connect(stage.listen).unwrap()).collect();
    thread::sleep(Duration::from_millis(50));
    let open =
        |child: &Child| std::fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, |all| all.count());
    let mut before = stage.start_successor(&[("CEDARWHARF_HANG_AT", "go")]);
    until("both have all", || stage.log().contains("another process has followed"));
    let mut most = 0;
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(300) {
        most = most.max(open(stage.process()));
    }
    // The old one has closed its own by now; twice what the new one has is what both had.
    assert!(most > 60 && 2 * most <= 256, "{most} in each");
    stage.wait_until_ready();
    assert_eq!(term(&mut before), Some(0));
    drop((crowd, silent));
}

#[test]
fn of_two_at_once_each_hands_over_whole_and_the_last_serves() {
    let (mut stage, ledger) = staged("two");
    stage.start();
    let clients = Clients::start(4, stage.listen, Duration::from_millis(3), ledger.clone());
    thread::sleep(Duration::from_millis(200));
    let mut first = stage.start_successor(&[]);
    let mut others = [(stage.ops, stage.start_successor(&[])), (stage.ops, stage.start_successor(&[]))];
    // `start_successor` gave back the one before each time: the second and the third are the ones that came together.
    others[0].0 = stage.ops;
    until("both have followed", || stage.log().matches("this process has followed").count() >= 3);
    until("too little is accepted", || ledger.lock().unwrap().accepted.len() > 50);
    clients.stop();
    assert_eq!(term(&mut first), Some(0));
    // One of the three serves; whoever was followed says so, and leaves when it is told to.
    let [(_, mut second), (_, mut third)] = others;
    let followed = |child: &mut Child| {
        let begun = Instant::now();
        term(child);
        begun.elapsed() < Duration::from_secs(2)
    };
    let serves = stage.is_ready();
    if serves {
        assert!(followed(&mut second) && followed(&mut third));
        settled(&stage);
    } else {
        [&mut second, &mut third].into_iter().for_each(|child| {
            followed(child);
        });
        stage.kill();
        stage.start();
        settled(&stage);
    }
    let ledger = ledger.lock().unwrap();
    ledger.check_outcomes(&stage.log());
}

/// Another holds the folder and hands nothing over: the new one waits, tells staff so, and starts from the journal.
#[test]
fn a_folder_that_is_held_is_waited_for() {
    let (mut stage, _) = staged("held");
    let folder = std::fs::File::open(stage.folder.join("state")).unwrap();
    rustix::fs::flock(&folder, rustix::fs::FlockOperation::LockExclusive).unwrap();
    let node = {
        stage.start_without_waiting();
        until("staff hear of it", || ask(stage.ops, "GET", "/ops/readiness", "", "").is_ok());
        ask(stage.ops, "GET", "/ops/readiness", "", "").unwrap()
    };
    assert!(node.0 == 503 && node.1.contains("waiting"), "{node:?}");
    assert!(std::net::TcpStream::connect(stage.listen).is_err(), "no client is let in");
    assert!(stage.log().contains("another process holds the folder"), "{}", stage.log());
    drop(folder);
    stage.wait_until_ready();
    // A socket that a killed process left is in nobody's way.
    stage.kill();
    stage.start();
    stage.wait_until_ready();
    stage.upgrade();
}

#[test]
fn told_to_stop_while_it_waits_it_ends() {
    let (mut stage, _) = staged("held-stop");
    let folder = std::fs::File::open(stage.folder.join("state")).unwrap();
    rustix::fs::flock(&folder, rustix::fs::FlockOperation::LockExclusive).unwrap();
    stage.start_without_waiting();
    until("it waits", || stage.log().contains("another process holds the folder"));
    assert_eq!(term(stage.process()), Some(0));
}
