use super::*;

fn plan(forwarders: usize, service: Service, killed_share: f64) -> Plan {
    let fault = Fault { loss: 0.02, delay: Micros(1_000) };
    Plan {
        forwarders,
        endpoints: 3,
        capacity: 100.0,
        connections: 32,
        load: 0.5,
        held: 5,
        out: 0,
        seed: 5,
        service,
        killed_share,
        fault,
        duration: Micros(15_000_000),
    }
}

#[test]
fn few_members_call_the_list_service_and_the_same_seed_gives_the_same_report() {
    let report = run(&plan(60, Service::Live, 0.0));
    assert!(report.alone.list_calls_total >= 60 && report.known.list_calls_total <= 18, "{report:?}");
    assert_eq!((report.known.never_ready, report.started), (0, 60), "{report:?}");
    for counts in [&report.known, &report.alone] {
        assert_eq!((counts.lost, counts.two_ends, counts.paid_twice), (0, 0, 0), "{report:?}");
        assert!(counts.messages > 1_500 && counts.delivered_share > 0.95, "{report:?}");
    }
    let text = |report: &Report| serde_json::to_string(report).unwrap();
    assert_eq!(text(&report), text(&run(&plan(60, Service::Live, 0.0))));
}

#[test]
fn killed_forwarders_of_a_running_fleet_become_ready_however_the_list_service_answers() {
    for service in [Service::Live, Service::Slow, Service::Silent, Service::Refusing, Service::Partial] {
        let report = run(&plan(40, service, 0.7));
        assert_eq!((report.started, report.known.never_ready), (28, 0), "{report:?}");
        assert!(report.known.ready_p99_s.is_some_and(|p99| p99 < 2.5), "{report:?}");
        assert!(report.known.list_calls_total < report.alone.list_calls_total, "{report:?}");
        assert_eq!((report.known.lost, report.known.paid_twice), (0, 0), "{report:?}");
    }
}

#[test]
fn endpoint_down_during_the_restart_loses_no_message_and_runs_no_payment_twice() {
    let report = run(&Plan { out: 1, ..plan(40, Service::Live, 0.7) });
    assert!(report.known.refused_share > 0.1, "{report:?}");
    assert_eq!((report.known.lost, report.known.paid_twice), (0, 0), "{report:?}");
}
