use super::*;

const NOW: Micros = Micros(1_000_000_000);

pub fn plan(id: &str, names: &[&str], at_most: u32, in_service: u16) -> MaintenancePlan {
    MaintenancePlan {
        id: id.to_owned(),
        names: names.iter().map(|&name| name.to_owned()).collect(),
        statuses: vec![MemberStatus::Pending; names.len()],
        limits: OutageLimits { at_most, in_service_permille: in_service },
        window: Micros(60_000_000),
        until: NOW.plus(Micros(3_600_000_000)),
        state: PlanState::Open,
    }
}

fn grant(plan: &str, name: &str, alive: u32) -> Change {
    let (plan, name) = (plan.to_owned(), name.to_owned());
    Change::GrantLease { plan, name, generation: 1, now: NOW, fleet: 5, alive }
}

fn ledger_with(plans: &[MaintenancePlan]) -> Ledger {
    plans.iter().fold(Ledger::default(), |ledger, plan| ledger.apply(&Change::AddPlan(plan.clone())).unwrap())
}

#[test]
fn leases_stay_within_the_plan_limit_and_each_forwarder_gets_one() {
    let ledger = ledger_with(&[plan("r", &["a", "b", "c"], 2, 0)]);
    let ledger = ledger.apply(&grant("r", "a", 5)).unwrap();
    assert_eq!(ledger.apply(&grant("r", "a", 5)), Err(Refusal::NotEligible), "out already");
    let ledger = ledger.apply(&grant("r", "b", 5)).unwrap();
    assert_eq!(ledger.apply(&grant("r", "c", 5)), Err(Refusal::TooManyOut));
    assert_eq!(ledger.apply(&grant("r", "z", 5)), Err(Refusal::NotEligible), "not in the plan");
    assert_eq!(ledger.apply(&grant("q", "c", 5)), Err(Refusal::NoSuchPlan));
    let fence = ledger.lease("a").unwrap().fence;
    assert_eq!(ledger.apply(&Change::ReturnLease("a".into(), Fence(fence.0 + 1))), Err(Refusal::NoSuchLease));
    let ledger = ledger.apply(&Change::ReturnLease("a".into(), fence)).unwrap();
    assert_eq!(
        ledger.apply(&Change::ReturnLease("a".into(), fence)),
        Err(Refusal::NoSuchLease),
        "returned once"
    );
    assert_eq!(ledger.apply(&grant("r", "a", 5)), Err(Refusal::NotEligible), "already done");
    let ledger = ledger.apply(&grant("r", "c", 5)).unwrap();
    assert!(
        ledger.lease("c").unwrap().fence > ledger.lease("b").unwrap().fence,
        "a later lease has a higher token"
    );
}

#[test]
fn minimum_share_in_service_counts_dead_and_leased_forwarders() {
    let ledger = ledger_with(&[plan("r", &["a", "b", "c", "d", "e"], 4, 600)]);
    // Three of five have to stay in service.
    let ledger = ledger.apply(&grant("r", "a", 5)).unwrap();
    assert_eq!(ledger.apply(&grant("r", "b", 4)), Err(Refusal::TooFewInService), "one is dead");
    let ledger = ledger.apply(&grant("r", "b", 5)).unwrap();
    assert_eq!(ledger.apply(&grant("r", "c", 5)), Err(Refusal::TooFewInService));
}

#[test]
fn parallel_plans_keep_the_smaller_limit_while_its_plan_has_a_lease() {
    let ledger = ledger_with(&[plan("wide", &["a", "b", "c"], 3, 0), plan("narrow", &["d", "e"], 1, 0)]);
    let wide = ledger.apply(&grant("wide", "a", 5)).unwrap();
    assert_eq!(
        wide.apply(&grant("narrow", "d", 5)),
        Err(Refusal::TooManyOut),
        "one forwarder is out already"
    );
    assert!(wide.apply(&grant("wide", "b", 5)).is_ok());
    let narrow = ledger.apply(&grant("narrow", "d", 5)).unwrap();
    assert_eq!(
        narrow.apply(&grant("wide", "a", 5)),
        Err(Refusal::TooManyOut),
        "the forwarder of the narrow plan is out"
    );
    assert_eq!(narrow.max_out(), Some(1));
}

#[test]
fn repeated_request_is_the_same_plan_and_a_different_one_with_its_id_is_refused() {
    let first = plan("r", &["a"], 1, 0);
    let ledger = ledger_with(std::slice::from_ref(&first));
    assert_eq!(ledger.apply(&Change::AddPlan(first.clone())), Err(Refusal::PlanExists));
    assert_eq!(ledger.apply(&Change::AddPlan(plan("r", &["b"], 1, 0))), Err(Refusal::IdInUse));
    let many: Vec<MaintenancePlan> = (0..4).map(|number| plan(&format!("r{number}"), &["a"], 1, 0)).collect();
    assert_eq!(ledger_with(&many).apply(&Change::AddPlan(first)), Err(Refusal::TooManyPlans));
}

#[test]
fn cancelled_or_expired_plan_grants_no_lease_and_closes_once_all_are_back() {
    let ledger = ledger_with(&[plan("r", &["a", "b"], 1, 0)]).apply(&grant("r", "a", 5)).unwrap();
    let cancelled = ledger.apply(&Change::CancelPlan("r".into())).unwrap();
    assert_eq!(cancelled.apply(&Change::CancelPlan("r".into())), Err(Refusal::NoSuchPlan));
    assert_eq!(cancelled.apply(&grant("r", "b", 5)), Err(Refusal::NoSuchPlan));
    assert_eq!(cancelled.apply(&Change::ClosePlan("r".into(), NOW)), Err(Refusal::NotFinished), "one is out");
    let fence = cancelled.leases[0].fence;
    let back = cancelled.apply(&Change::ReturnLease("a".into(), fence)).unwrap();
    let over = back.apply(&Change::ClosePlan("r".into(), NOW)).unwrap();
    assert_eq!(
        over.plan("r").map(|plan| (plan.state, plan.status_of("b"))),
        Some((PlanState::Closed, Some(MemberStatus::Pending)))
    );
    let late = Change::GrantLease {
        plan: "r".into(),
        name: "b".into(),
        generation: 1,
        now: NOW.plus(Micros(3_600_000_000)),
        fleet: 5,
        alive: 5,
    };
    let open = ledger.apply(&Change::WriteOffLease("a".into(), fence)).unwrap();
    assert_eq!(open.apply(&late), Err(Refusal::DeadlinePassed));
    assert_eq!(
        open.apply(&Change::ClosePlan("r".into(), NOW)),
        Err(Refusal::NotFinished),
        "b can still go out"
    );
}

#[test]
fn lease_order_is_deterministic_and_puts_forwarders_with_fewer_leases_first() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let one = plan("r", &names, 1, 0);
    let mut turned = names;
    turned.reverse();
    assert_eq!(one.lease_order(&BTreeMap::new()), plan("r", &turned, 1, 0).lease_order(&BTreeMap::new()));
    assert_ne!(
        one.lease_order(&BTreeMap::new()),
        plan("q", &names, 1, 0).lease_order(&BTreeMap::new()),
        "depends on the plan"
    );
    let first = one.lease_order(&BTreeMap::new())[0].to_owned();
    assert_eq!(*one.lease_order(&[(first.clone(), 1)].into()).last().unwrap(), first);
}

#[test]
fn closed_plans_and_lease_counts_stay_bounded() {
    let mut ledger = Ledger::default();
    for number in 0..30 {
        let id = format!("r{number}");
        ledger = ledger.apply(&Change::AddPlan(plan(&id, &["a", "b", "c"], 1, 0))).unwrap();
        for name in ["a", "b", "c"] {
            ledger = ledger.apply(&grant(&id, name, 5)).unwrap();
            let fence = ledger.leases[0].fence;
            ledger = ledger.apply(&Change::ReturnLease(name.into(), fence)).unwrap();
        }
        ledger = ledger.apply(&Change::ClosePlan(id, NOW)).unwrap();
    }
    assert_eq!((ledger.plans.len(), ledger.lease_counts.len(), ledger.version), (4, 0, 240));
}
