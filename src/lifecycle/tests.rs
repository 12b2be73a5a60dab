use super::*;

const AT: Micros = Micros(1_000_000_000);

fn after(ms: u64) -> Micros {
    AT.plus(Micros(ms * 1000))
}

#[test]
fn a_start_serves_once_it_has_a_list_that_is_confirmed_or_has_waited_for_that() {
    let mut life = Lifecycle::begin(AT, false, None);
    assert_eq!((life.stage(), life.takes_clients(), life.due(AT)), (Stage::Starting, false, None));
    life.confirmed();
    life.tick(after(90_000));
    assert!(!life.can_serve(), "nothing was there to be confirmed");
    life.listed();
    assert!(life.takes_clients());
    let doubtful = || Lifecycle::begin(AT, true, Some(Micros(2_000_000)));
    let (mut waits, mut told) = (doubtful(), doubtful());
    told.confirmed();
    assert!(told.takes_clients() && !waits.takes_clients());
    assert_eq!(waits.due(AT), Some(after(2_000)));
    waits.tick(after(1_999));
    assert!(!waits.can_serve());
    waits.tick(after(2_000));
    assert!(waits.takes_clients());
    assert!(Lifecycle::begin(AT, true, None).takes_clients());
    // A drain and a stop go before a start, which goes on beside them, also in the process that follows.
    let mut life = doubtful();
    life.start_drain(AT);
    assert_eq!((life.stage(), life.inherited(true).can_serve()), (Stage::Draining, false));
    assert_eq!((life.stop_drain(), life.stage()), (Ok(true), Stage::Starting));
    assert!(Lifecycle::begin(AT, false, None).inherited(true).can_serve(), "it knows a list");
    assert!(!Lifecycle::default().inherited(false).can_serve(), "it knows none");
    life.stop(AT);
    assert_eq!((life.stage(), life.inherited(true).stage()), (Stage::Stopping, Stage::Starting));
}

#[test]
fn a_drain_sends_clients_away_step_by_step_and_the_process_runs_on() {
    let mut life = Lifecycle::default();
    assert!(life.takes_clients() && life.connections(AT) == Connections::Kept);
    assert!(life.start_drain(AT));
    assert_eq!((life.takes_clients(), life.stage()), (false, Stage::Draining));
    assert_eq!(life.connections(after(300)), Connections::Kept, "the front still sends new ones");
    assert_eq!(life.connections(after(400)), Connections::EndAnswered);
    assert!(!life.start_drain(after(2_000)), "told again, the steps go on");
    assert_eq!(life.connections(after(2_500)), Connections::EndUnused(Micros(2_000_000)));
    assert_eq!(life.connections(after(3_500)), Connections::EndUnused(Micros(0)));
    assert!(life.may_call(after(600_000)) && !life.finished(after(600_000), 0));
    assert_eq!((life.stop_drain(), life.stop_drain()), (Ok(true), Ok(false)));
    assert!(life.takes_clients() && life.connections(after(3_500)) == Connections::Kept);
    // The next drain has its own steps.
    assert!(life.start_drain(after(9_000)));
    assert_eq!(life.connections(after(9_100)), Connections::Kept);
}

#[test]
fn a_stop_goes_before_a_drain_and_there_is_no_way_back() {
    let mut life = Lifecycle::default();
    life.start_drain(AT);
    life.stop(after(1_000));
    life.stop(after(9_000));
    assert_eq!(life.stage(), Stage::Stopping);
    assert_eq!(life.stop_drain(), Err(NoWayBack(Stage::Stopping)));
    assert_eq!(life.connections(after(3_500)), Connections::EndUnused(Micros(0)), "the drain goes on");
    assert!(life.may_call(after(2_999)) && !life.may_call(after(3_000)));
    assert_eq!(life.connections(after(4_400)), Connections::End, "the stop ends them all");
    assert!(!life.finished(after(4_399), 0) && life.finished(after(4_400), 0), "nobody is left");
    assert!(!life.finished(after(4_599), 1) && life.finished(after(4_600), 1), "somebody is");
    // The other way round.
    let mut life = Lifecycle::default();
    life.stop(AT);
    assert!(life.start_drain(after(100)) && !life.takes_clients());
    assert_eq!(life.connections(after(600)), Connections::EndAnswered);
}

#[test]
fn whoever_was_followed_calls_nobody_and_ends_when_told_to() {
    let mut life = Lifecycle::default();
    life.follow();
    assert!(!life.takes_clients() && !life.may_call(AT) && !life.finished(after(60_000), 0));
    assert_eq!(life.stop_drain(), Err(NoWayBack(Stage::Followed)));
    life.stop(AT);
    assert_eq!((life.stage(), life.finished(AT, 7)), (Stage::Followed, true));
}

#[test]
fn it_is_looked_at_again_when_something_changes() {
    let mut life = Lifecycle::default();
    assert_eq!(life.due(AT), None);
    life.start_drain(AT);
    life.stop(after(1_000));
    let (mut now, mut seen) = (AT, Vec::new());
    while let Some(at) = life.due(now) {
        (now, _) = (at, seen.push(at.minus(AT).0 / 1000));
    }
    assert_eq!(seen, [400, 2_500, 3_000, 3_500, 4_400, 4_600]);
}
