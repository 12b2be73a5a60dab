//! Endpoints whose records change while the process runs: their destination or their address, in the operators'
//! file, in discovery's list and in DNS-SD. A process then sends each message where a process would send it that
//! is started with the changed records.

mod support;

use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::broker;
use support::byhand::{
    accept_call, answer, answer_list, message, open_message, request, submit, try_accept, until,
};
use support::config::{apply, ADMIN_SECTION};
use support::load::ask;
use support::Stage;

/// An operators' file with two brokers, of these destinations.
fn two_brokers(second: SocketAddr, cells: [u32; 2]) -> String {
    let broker = |name: &str, address: &str, cell: u32| {
        format!(
            "{{instanceId: {name}, hostPort: {address}, cell: {cell}, machineType: plain, user: u, password: p, \
             vhost: /, exchange: '', routing_key: q}}"
        )
    };
    let brokers = [broker("ria", "BROKER", cells[0]), broker("picos", &second.to_string(), cells[1])];
    format!("{ADMIN_SECTION}amqp: {{brokers: [{}]}}\n", brokers.join(", "))
}

/// The destination of an entry as operators see it.
fn listed_destination(stage: &Stage, name: &str) -> Option<u64> {
    let (_, body) = ask(stage.admin, "GET", "/v1/entries", "", "").ok()?;
    let entries: Vec<Value> = serde_json::from_str(&body).ok()?;
    entries.iter().find(|entry| entry["name"] == name)?["dest"].as_u64()
}

fn deliver(stage: &Stage, id: &str, dest: u32) {
    assert_eq!(submit(stage, &request(id, "payment", dest, 30.0, "pay")), 202);
    until("the payment is not delivered", || open_message(stage, id).is_null());
}

/// Payments for a number went on to the broker that had the number before, another partner's.
#[test]
fn payment_goes_to_the_broker_that_has_its_number_in_the_version_in_force() {
    let mut stage = Stage::new("brokers-change-numbers");
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = second.local_addr().unwrap();
    stage.write_operators_file(&two_brokers(address, [100, 200]));
    let ledgers = [Arc::new(Mutex::new(broker::Ledger::default())), Arc::default()];
    broker::serve(stage.listener("broker"), None, ledgers[0].clone());
    broker::serve(second, None, ledgers[1].clone());
    let effects = |at: usize, id: &str| ledgers[at].lock().unwrap().effects.get(id).copied().unwrap_or(0);
    stage.start();
    deliver(&stage, "first-100", 100);
    deliver(&stage, "first-200", 200);
    assert_eq!((effects(0, "first-100"), effects(1, "first-200")), (1, 1));
    // Each change comes while connections to both brokers are open; the last one restores the first version.
    for (round, cells) in [(2, [200, 100]), (3, [200, 300]), (4, [100, 200])] {
        apply(&stage, &two_brokers(address, cells));
        for (at, dest) in cells.into_iter().enumerate() {
            let id = format!("{round}-{dest}");
            deliver(&stage, &id, dest);
            assert_eq!(
                (effects(at, &id), effects(1 - at, &id)),
                (1, 0),
                "{id}, after the change to {cells:?}"
            );
        }
    }
    // An undo, and an upgrade after it, decide by the version that they restore, too.
    assert_eq!(ask(stage.admin, "POST", "/v1/config/undo", "", "").unwrap().0, 200);
    deliver(&stage, "undone", 200);
    stage.upgrade();
    deliver(&stage, "upgraded", 200);
    assert_eq!(["undone", "upgraded"].map(|id| (effects(0, id), effects(1, id))), [(1, 0), (1, 0)]);
}

/// A broker's circuit stayed open after the operator had given the broker another address.
#[test]
fn broker_that_gets_another_address_is_called_there_at_once() {
    let mut stage = Stage::new("broker-moves");
    let dead = support::unused_address();
    stage.write_operators_file(&two_brokers(dead, [100, 200]));
    let ledger: Arc<Mutex<broker::Ledger>> = Arc::default();
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = second.local_addr().unwrap();
    broker::serve(second, None, ledger.clone());
    stage.start();
    assert_eq!(submit(&stage, &request("m", "note", 200, 30.0, "x")), 202);
    until("no circuit opens", || stage.log().contains("endpoint out: destination 200"));
    apply(&stage, &two_brokers(address, [100, 200]));
    until("the message is not delivered", || open_message(&stage, "m").is_null());
    assert_eq!(ledger.lock().unwrap().effects.get("m"), Some(&1), "{}", stage.log());
    let log = stage.log();
    assert!(
        !log.contains("endpoint returning: destination 200"),
        "nothing is known of the new address: {log}"
    );
}

/// Where the stage's endpoint s2 is listed.
fn record(stage: &Stage, listener: &str, cell: u32, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s2","hostPort":"{}","zone":"z","machineType":"plain","cell":{cell},
        "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
        stage.address_of(listener)
    )
}

/// An endpoint that discovery lists with another number went on to get the messages of its first number, also
/// when it had been removed in between.
#[test]
fn endpoint_of_discovery_gets_the_messages_of_the_number_that_it_is_listed_with() {
    let mut stage = Stage::new("endpoint-changes-number");
    let (platform, endpoint) = (stage.listener("platform"), stage.listener("s2"));
    stage.start();
    let (mut watch, _) = accept_call(&platform);
    let steps = [(8, 9, "up"), (9, 2, "up"), (10, 2, "removed"), (11, 9, "up")];
    for (generation, cell, lifecycle) in steps {
        answer_list(&mut watch, generation, &record(&stage, "s2", cell, lifecycle));
        // The next call of the watch follows once the list is applied.
        message(&mut watch);
        if lifecycle == "removed" {
            assert_eq!(listed_destination(&stage, "s2"), None);
            continue;
        }
        let id = format!("at-{generation}");
        assert_eq!(submit(&stage, &request(&id, "payment", cell, 30.0, "pay")), 202);
        let (mut call, head) = accept_call(&endpoint);
        assert!(head.contains(&format!("Request-Id: {id}\r\n")), "{head}");
        answer(&mut call, "200 OK");
        until("it is not delivered", || open_message(&stage, &id).is_null());
        // The other number has no endpoint now.
        let other = format!("other-{generation}");
        let old_cell = if cell == 9 { 2 } else { 9 };
        assert_eq!(submit(&stage, &request(&other, "payment", old_cell, 30.0, "pay")), 202);
        until("it is not deferred", || open_message(&stage, &other)["state"] == "deferred");
        assert!(try_accept(&endpoint).is_none(), "{other} went to an endpoint of another destination");
    }
}

/// A call was out while its endpoint moved to another address. Its connection, idle after the call, carried the
/// next call to the address before.
#[test]
fn connection_to_an_earlier_address_of_an_endpoint_carries_no_further_call() {
    for upgraded in [false, true] {
        let mut stage = Stage::new(&format!("endpoint-moves-{upgraded}"));
        let (platform, old, new) = (stage.listener("platform"), stage.listener("s2"), stage.listener("s1"));
        stage.start();
        let (mut watch, _) = accept_call(&platform);
        let mut kept = support::byhand::kept_connection(&stage, &old);
        assert_eq!(submit(&stage, &request("m1", "payment", 2, 30.0, "pay")), 202);
        message(&mut kept);
        answer_list(&mut watch, 8, &record(&stage, "s1", 2, "up"));
        message(&mut watch);
        if upgraded {
            stage.upgrade();
        }
        answer(&mut kept, "200 OK");
        until("m1 is not delivered", || open_message(&stage, "m1").is_null());
        assert_eq!(submit(&stage, &request("m2", "payment", 2, 30.0, "pay")), 202);
        let (mut call, head) = accept_call(&new);
        assert!(head.contains("Request-Id: m2\r\n"), "{head}");
        answer(&mut call, "200 OK");
        kept.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        assert_eq!(support::byhand::read_to_end(&mut kept), "", "the connection is closed unused");
    }
}
