use super::*;

const NOW: Micros = Micros(1_700_000_000_000_000);

fn parsed(body: &str) -> Result<MaintenancePlan, Vec<String>> {
    let alive: BTreeSet<String> = (0..5).map(|number| format!("f{number}")).collect();
    parse(body.as_bytes(), &Fleet { alive, size: 6 }, &Ledger::default(), NOW)
}

#[test]
fn repeated_request_yields_the_same_id_and_a_new_id_once_the_plan_is_finished() {
    let all = r#"{"set":"all","at_most":2,"in_service":0.5,"window_s":60}"#;
    let plan = parsed(all).unwrap();
    assert_eq!(
        (plan.names.len(), plan.limits.in_service_permille, plan.window),
        (5, 500, Micros(60_000_000))
    );
    assert_eq!(parsed(all).unwrap().id, plan.id);
    assert_ne!(parsed(r#"{"set":"all","at_most":1,"window_s":60}"#).unwrap().id, plan.id);
    let mut ledger = Ledger { version: 9, ..Ledger::default() };
    ledger.plans.push(MaintenancePlan { state: PlanState::Closed, ..plan.clone() });
    let alive: BTreeSet<String> = plan.names.iter().cloned().collect();
    let again = parse(all.as_bytes(), &Fleet { alive, size: 6 }, &ledger, NOW).unwrap();
    assert_eq!(again.id, format!("{}-9", plan.id));
    assert_eq!(parsed(r#"{"set":["f1"],"window_s":5,"id":"kernel"}"#).unwrap().id, "kernel");
}

#[test]
fn invalid_request_fields_are_each_reported_with_a_remedy() {
    let reports = |body: &str, text: &str| {
        let problems = parsed(body).expect_err(body);
        assert!(problems.iter().any(|problem| problem.contains(text)), "{body}: {problems:?}");
    };
    reports(
        r#"{"set":"all","at_most":0,"window_s":60}"#,
        "at_most: 0 allows no forwarder to go out of service",
    );
    reports(r#"{"set":"all","at_most":5,"window_s":60}"#, "would leave no forwarder in service");
    reports(r#"{"set":["f1","f9"],"window_s":60}"#, "f9 is not alive among the members");
    reports(r#"{"set":["f1","f1"],"window_s":60}"#, "a name occurs twice");
    reports(r#"{"set":["a","b","c","d","e","f","g"],"window_s":60}"#, "of a fleet of 6");
    reports(r#"{"set":[],"window_s":60}"#, "0 forwarders");
    reports(r#"{"set":"some","window_s":60}"#, "is not a set");
    reports(r#"{"set":"all","in_service":0.8,"window_s":60}"#, "with one out 4 of 6 are left");
    reports(r#"{"set":"all","in_service":1.5,"window_s":60}"#, "is not a share");
    reports(r#"{"set":"all","window_s":0}"#, "window_s: 0 s");
    reports(r#"{"set":"all","window_s":60,"until":1600000000}"#, "is in the past");
    reports(r#"{"set":"all","window_s":60,"deadline_s":-1}"#, "is in the past");
    reports(r#"{"set":"all","window_s":60,"deadline_s":9,"until":1}"#, "both are given");
    reports(r#"{"set":"all","window_s":60,"id":"a b"}"#, "id: \"a b\"");
    reports(r#"{"set":"all","window_s":60,"k":1}"#, "unknown field `k`");
    reports("no json", "cannot be read");
}
