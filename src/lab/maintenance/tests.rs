use super::*;

fn plan(forwarders: usize, at_once: u32, seed: u64, faults: Faults) -> Plan {
    Plan {
        forwarders,
        voters: 5,
        at_once,
        seed,
        faults,
        fault: Fault { loss: 0.05, delay: Micros(1_000) },
        window: Micros(20_000_000),
        duration: Micros(1_500_000_000),
    }
}

#[test]
fn plan_completes_without_faults_and_the_same_seed_gives_the_same_report() {
    let report = run(&plan(10, 2, 3, Faults::default()));
    assert_eq!((report.violations, report.completed, report.stuck), (0, 10, 0), "{report:?}");
    assert_eq!(report.max_out_at_once, 2, "{report:?}");
    assert!(report.duration_s.is_some_and(|took| took < report.windows_s), "{report:?}");
    let text = |report: &Report| serde_json::to_string(report).unwrap();
    assert_eq!(text(&report), text(&run(&plan(10, 2, 3, Faults::default()))));
}

#[test]
fn crashes_stalls_and_partitions_never_put_more_forwarders_out_than_the_limit() {
    let kinds = [(true, false, false), (false, true, false), (false, false, true), (true, true, true)];
    for (index, (crash, stall, partition)) in kinds.into_iter().enumerate() {
        for seed in 1..4 {
            let faults = Faults { crash, stall, partition };
            let report = run(&plan(8, 1 + index as u32 % 2, seed, faults));
            assert_eq!(report.violations, 0, "{report:?}");
            assert_eq!(report.completed + report.written_off, 8, "{report:?}");
            assert!(report.crashes + report.stalls + report.cuts > 0, "{report:?}");
        }
    }
}
