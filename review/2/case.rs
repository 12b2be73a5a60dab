#[path = "../standin/common.rs"]
mod common;
use common::*;

/// A class goes and comes back with another effect while one of its payments is out.
fn main() {
    let record = Record::create();
    let arrivals = Arrivals::default();
    // The payment's first call takes effect and is answered with an error. Every other call is served.
    let at = endpoint(&record, "rights-1", &arrivals, |id, before| match (id, before) {
        ("pay-17", 0) => Reaction::RunAndFail { after_ms: 1500 },
        _ => Reaction::Answer { status: 200, after_ms: 100 },
    });
    let known = list(1, &[("rights-1", at, 7)]);
    let platform = Platform::new(&record, known.clone());
    let agent = platform.serve("A");
    let place = Place::new(free_address());
    let admin = free_address();
    place.write_config(&config(place.listen, agent.at, &known));
    let others = "  - {name: new-episode, effect: dedup, key_scope: all, window_ms: 15000, aim_ms: 3000, deadline_ms: 16000, worth: 2, late_share: 0.5}\n  - {name: listen-status, effect: retryable, aim_ms: 1500, deadline_ms: 6000, worth: 1, late_share: 0}\n";
    let payment = |effect: &str| {
        format!("  - {{name: royalty-payment, {effect}, aim_ms: 2000, deadline_ms: 28000, worth: 4, late_share: 0.3}}\n")
    };
    let file = |classes: &str| {
        format!("admin:\n  listen: \"{admin}\"\n  tokens:\n    - {{name: ana, token: review-operator}}\nclasses:\n{classes}")
    };
    let first = place.write("operators.yaml", &file(&format!("{others}{}", payment("effect: fragile"))));
    let without = place.write("without.yaml", &file(others));
    let again = place.write(
        "again.yaml",
        &file(&format!("{others}{}", payment("effect: dedup, key_scope: all, window_ms: 15000"))),
    );
    let mut child = place.start(&format!("run {}", first.display()), &[]);
    place.wait_until_ready(&record);
    sleep_ms(500);
    // The usual traffic of the destination.
    {
        let (record, listen) = (record.clone(), place.listen);
        std::thread::spawn(move || {
            for number in 0.. {
                let id = format!("status-{number}");
                let message = Message {
                    id: &id,
                    class: "listen-status",
                    tenant: "onda-norte",
                    dest: 7,
                    timeout_s: 6.0,
                    key: None,
                    body: "plays",
                };
                hand_in(&record, listen, &message);
                sleep_ms(250);
            }
        });
    }
    sleep_ms(1000);
    let message = Message {
        id: "pay-17",
        class: "royalty-payment",
        tenant: "onda-norte",
        dest: 7,
        timeout_s: 28.0,
        key: None,
        body: "pay 17 EUR",
    };
    if hand_in(&record, place.listen, &message) != Some(202) {
        cannot_run("the payment was not taken on");
    }
    if !wait_for(3000, || !arrivals.lock().unwrap().is_empty()) {
        cannot_run("the payment was not sent");
    }
    if trouble() {
        sleep_ms(200);
        let one = place.operate(
            &record,
            admin,
            &format!("config apply {} --why without-the-class", without.display()),
        );
        sleep_ms(300);
        let two = place.operate(
            &record,
            admin,
            &format!("config apply {} --why partner-drops-repeats-by-key-now", again.display()),
        );
        if one != 0 {
            cannot_run("the first change was refused");
        }
        record.line(format!("operator: the second change ended with exit code {two}"));
    }
    sleep_ms(15_000);
    let runs = arrivals.lock().unwrap().iter().filter(|a| a.id == "pay-17" && a.ran).count();
    let died = child.try_wait().ok().flatten().is_some();
    place.finish(&record);
    let mut broken = Vec::new();
    if runs == 0 {
        cannot_run("the payment did not run");
    }
    if runs > 1 {
        broken.push(format!("pay-17, taken on as a payment without a key, took effect {runs} times"));
    }
    if runs > 0 && platform.notice_of("pay-17").is_some_and(|notice| notice.status == "deferred") {
        broken.push(
            "pay-17 took effect, and its notice (deferred) asks the client to hand it in again".to_owned(),
        );
    }
    if died {
        broken.push("the forwarder ended".to_owned());
    }
    verdict(&record, &broken)
}
