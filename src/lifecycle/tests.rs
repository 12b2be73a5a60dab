use super::*;

const AT: Micros = Micros(1_000_000_000);

fn after(ms: u64) -> Micros {
    AT.plus(Micros(ms * 1000))
}

#[test]
fn start_serves_once_its_list_is_confirmed_or_the_wait_for_confirmation_ends() {
    let mut life = Lifecycle::begin(AT, false, None);
    assert_eq!((life.stage(), life.accepts_clients(), life.due(AT)), (Stage::Starting, false, None));
    life.list_confirmed();
    life.tick(after(90_000));
    assert!(!life.can_serve(), "there is no list to confirm");
    life.list_received();
    assert!(life.accepts_clients());
    let unconfirmed_start = || Lifecycle::begin(AT, true, Some(Micros(2_000_000)));
    let (mut unconfirmed, mut confirmed) = (unconfirmed_start(), unconfirmed_start());
    confirmed.list_confirmed();
    assert!(confirmed.accepts_clients() && !unconfirmed.accepts_clients());
    assert_eq!(unconfirmed.due(AT), Some(after(2_000)));
    unconfirmed.tick(after(1_999));
    assert!(!unconfirmed.can_serve());
    unconfirmed.tick(after(2_000));
    assert!(unconfirmed.accepts_clients());
    assert!(Lifecycle::begin(AT, true, None).accepts_clients());
    // A drain and a stop take precedence over a start. The start goes on beside them, also in the
    // successor.
    let mut life = unconfirmed_start();
    assert_eq!(life.start_drain(AT), Ok(true));
    assert_eq!((life.stage(), life.for_successor(true).can_serve()), (Stage::Draining, false));
    assert_eq!((life.stop_drain(), life.stage()), (Ok(true), Stage::Starting));
    assert!(Lifecycle::begin(AT, false, None).for_successor(true).can_serve(), "the successor knows a list");
    assert!(!Lifecycle::default().for_successor(false).can_serve(), "the successor knows no list");
    life.stop(AT);
    assert_eq!((life.stage(), life.for_successor(true).stage()), (Stage::Stopping, Stage::Starting));
}

#[test]
fn drain_closes_client_connections_step_by_step_and_keeps_the_process_running() {
    let mut life = Lifecycle::default();
    assert!(life.accepts_clients() && life.connections(AT) == Connections::KeepOpen);
    assert_eq!(life.start_drain(AT), Ok(true));
    assert_eq!((life.accepts_clients(), life.stage()), (false, Stage::Draining));
    assert_eq!(life.connections(after(300)), Connections::KeepOpen, "the front still opens new connections");
    assert_eq!(life.connections(after(400)), Connections::CloseAfterResponse);
    assert_eq!(life.start_drain(after(2_000)), Ok(false), "a repeated call does not restart the steps");
    assert_eq!(life.connections(after(2_500)), Connections::CloseIdle(Micros(2_000_000)));
    assert_eq!(life.connections(after(3_500)), Connections::CloseIdle(Micros(0)));
    assert!(life.may_call(after(600_000)) && !life.may_exit(after(600_000), 0));
    assert_eq!((life.stop_drain(), life.stop_drain()), (Ok(true), Ok(false)));
    assert!(life.accepts_clients() && life.connections(after(3_500)) == Connections::KeepOpen);
    // The next drain starts its steps anew.
    assert_eq!(life.start_drain(after(9_000)), Ok(true));
    assert_eq!(life.connections(after(9_100)), Connections::KeepOpen);
}

#[test]
fn stop_takes_precedence_over_a_drain_and_cannot_be_undone() {
    let mut life = Lifecycle::default();
    assert_eq!(life.start_drain(AT), Ok(true));
    life.stop(after(1_000));
    life.stop(after(9_000));
    assert_eq!(life.stage(), Stage::Stopping);
    assert_eq!(life.stop_drain(), Err(CannotChangeDrain(Stage::Stopping)));
    assert_eq!(life.connections(after(3_500)), Connections::CloseIdle(Micros(0)), "the drain goes on");
    assert!(life.may_call(after(2_999)) && !life.may_call(after(3_000)));
    assert_eq!(life.connections(after(4_400)), Connections::CloseAll, "the stop closes them all");
    assert!(!life.may_exit(after(4_399), 0) && life.may_exit(after(4_400), 0), "no connection is open");
    assert!(!life.may_exit(after(4_599), 1) && life.may_exit(after(4_600), 1), "one connection is open");
    // A drain that is asked for after the stop would end with the process: it is refused, and does nothing.
    let mut life = Lifecycle::default();
    life.stop(AT);
    assert_eq!(life.start_drain(after(100)), Err(CannotChangeDrain(Stage::Stopping)));
    assert!(!life.accepts_clients() && life.for_successor(true).accepts_clients());
    assert_eq!(life.connections(after(600)), Connections::KeepOpen);
}

/// Guards against a drain that was granted to operators and is ended by maintenance: clients came back.
#[test]
fn drain_of_operators_outlasts_the_one_of_maintenance() {
    for operators_first in [false, true] {
        let mut life = Lifecycle::default();
        if !operators_first {
            life.start_maintenance_drain(AT);
        }
        assert_eq!(life.start_drain(after(100)), Ok(operators_first));
        life.start_maintenance_drain(after(200));
        let mut successor = life.for_successor(true);
        for life in [&mut life, &mut successor] {
            life.stop_maintenance_drain();
            assert_eq!(life.stage(), Stage::Draining);
            assert!(life.drain_complete(after(3_600)), "its steps went on");
            assert_eq!((life.stop_drain(), life.stage()), (Ok(true), Stage::Serving));
        }
    }
    // Operators end a drain of maintenance, too, and nothing of it stays for the next one.
    let mut life = Lifecycle::default();
    life.start_maintenance_drain(AT);
    assert_eq!(life.start_drain(AT), Ok(false));
    assert_eq!(life.stop_drain(), Ok(true));
    life.start_maintenance_drain(AT);
    life.stop_maintenance_drain();
    assert_eq!(life.stage(), Stage::Serving);
}

#[test]
fn handed_over_process_makes_no_calls_and_exits_on_stop() {
    let mut life = Lifecycle::default();
    life.mark_handed_over();
    assert!(!life.accepts_clients() && !life.may_call(AT) && !life.may_exit(after(60_000), 0));
    assert_eq!(life.start_drain(AT), Err(CannotChangeDrain(Stage::HandedOver)));
    assert_eq!(life.stop_drain(), Err(CannotChangeDrain(Stage::HandedOver)));
    life.stop(AT);
    assert_eq!((life.stage(), life.may_exit(AT, 7)), (Stage::HandedOver, true));
}

#[test]
fn due_reports_the_time_of_each_step_of_drain_and_stop() {
    let mut life = Lifecycle::default();
    assert_eq!(life.due(AT), None);
    assert_eq!(life.start_drain(AT), Ok(true));
    life.stop(after(1_000));
    let (mut now, mut steps) = (AT, Vec::new());
    while let Some(at) = life.due(now) {
        (now, _) = (at, steps.push(at.minus(AT).0 / 1000));
    }
    assert_eq!(steps, [400, 2_500, 3_000, 3_500, 4_400, 4_600]);
}
