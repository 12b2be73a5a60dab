#[path = "../standin/common.rs"]
mod common;
use common::*;

/// The platform moves discovery while an operator's change waits for its confirmation.
fn main() {
    let record = Record::create();
    let arrivals = Arrivals::default();
    // This destination turns everything away, so that its messages end with notices.
    let at = endpoint(&record, "station-1", &arrivals, |_, _| Reaction::Answer { status: 503, after_ms: 20 });
    let known = list(1, &[("station-1", at, 7)]);
    let platform = Platform::new(&record, known.clone());
    let old = platform.serve("A");
    let place = Place::new(free_address());
    let admin = free_address();
    place.write_config(&config(place.listen, old.at, &known));
    let file = |held: u32| {
        format!("limits: {{held_messages: {held}}}\nadmin:\n  listen: \"{admin}\"\n  tokens:\n    - {{name: ana, token: review-operator}}\n")
    };
    let first = place.write("operators.yaml", &file(150));
    let next = place.write("next.yaml", &file(170));
    let mut child = place.start(&format!("run {}", first.display()), &[]);
    place.wait_until_ready(&record);
    sleep_ms(2000);
    if place.operate(
        &record,
        admin,
        &format!("config apply {} --why more-room-for-the-final --confirm-within 20s", next.display()),
    ) != 0
    {
        cannot_run("the change was refused");
    }
    sleep_ms(1000);
    let new = platform.serve("B");
    let mut counts_from = record.now();
    if trouble() {
        place.write_config(&config(place.listen, new.at, &known));
        record.line(format!("platform: discovery moves from A {} to B {}; SIGHUP", old.at, new.at));
        send_signal(child.id(), "HUP");
        old.retire();
        counts_from = record.now() + 4.0;
    }
    sleep_ms(5000);
    // Taken on while the change waits for its confirmation (before 23 s), and after that.
    let mut taken: Vec<(String, f64)> = Vec::new();
    for number in 0..24 {
        let id = format!("status-{number}");
        let message = Message {
            id: &id,
            class: "listen-status",
            tenant: "onda-norte",
            dest: 7,
            timeout_s: 3.0,
            key: None,
            body: "plays",
        };
        let at = record.now();
        if hand_in(&record, place.listen, &message) == Some(202) {
            taken.push((id, at + 3.0));
        }
        if number == 10 {
            place.operate(&record, admin, "config confirm");
        }
        sleep_ms(1000);
    }
    sleep_ms(5000);
    let died = child.try_wait().ok().flatten().is_some();
    place.finish(&record);
    record.line(format!("counted from {counts_from:.3} on: {} messages were taken on", taken.len()));
    let mut broken = Vec::new();
    for (id, deadline) in &taken {
        // Half a second, the longest that a page allows, and the 50 ms of the rules on sockets.
        match platform.notice_of(id) {
            Some(notice) if notice.at <= deadline + 0.55 => {}
            Some(notice) => broken
                .push(format!("{id}: its time was up at {deadline:.3}, its notice came at {:.3}", notice.at)),
            None => broken.push(format!(
                "{id}: neither delivered nor ended by a notice; its time was up at {deadline:.3}"
            )),
        }
    }
    if taken.is_empty() {
        cannot_run("no message was taken on");
    }
    if died {
        broken.push("the forwarder ended".to_owned());
    }
    verdict(&record, &broken)
}
