use super::*;

/// Settings of no deployment: other names, effects and figures than any page has.
const TOLD: &str = "\
requestClasses.count=2
requestClasses.0.name=zz-one
requestClasses.0.effect=dedup
requestClasses.0.keyScope=zone
requestClasses.0.windowMs=1000.0
requestClasses.0.objectiveMs=70.0
requestClasses.0.hardLimitMs=900.0
requestClasses.1.name=zz-two
requestClasses.1.effect=fragile
requestClasses.1.objectiveMs=50.0
requestClasses.1.hardLimitMs=40.0
policyLimits.maxAttempts=2
contract.drainGraceMs=30.0
contract.coldFrom=0.5
contract.coldMs=100.0
contract.fallMultiple=1.5
contract.overloadForMs=200.0
domain.callsOut=3
";

fn with(path: &str, value: Option<&str>) -> Result<Settings, String> {
    let lines = TOLD.lines().filter(|line| !line.starts_with(&format!("{path}=")));
    let mut text: String = lines.flat_map(|line| [line, "\n"]).collect();
    if let Some(value) = value {
        text.push_str(&format!("{path}={value}\n"));
    }
    parse(text.as_bytes())
}

#[test]
fn what_is_told_is_taken_whatever_the_deployment() {
    let told = parse(TOLD.as_bytes()).unwrap();
    assert_eq!(told.classes.len(), 2);
    let window = Micros(1_000_000);
    assert_eq!(told.classes[0].effect, Effect::Keyed { window, scope: KeyScope::Zone });
    // A time that is over before its aim is no contradiction: the aim is not reached.
    assert!(told.classes[1].deadline < told.classes[1].target_time);
    assert_eq!((told.slots, told.max_attempts, told.forwarders), (3, 2, 1));
    assert_eq!((told.drain_grace, told.recovery_time), (Micros(30_000), Micros(100_000)));
}

#[test]
fn what_is_missing_or_bad_is_told_with_its_place_and_a_remedy() {
    for path in [
        "requestClasses.0.effect",
        "requestClasses.0.windowMs",
        "requestClasses.1.hardLimitMs",
        "policyLimits.maxAttempts",
        "contract.drainGraceMs",
        "contract.coldMs",
    ] {
        let problem = with(path, None).unwrap_err();
        assert!(problem.contains(&format!("{path} is missing")) && problem.contains(": add it"), "{problem}");
    }
    for (path, value, remedy) in [
        ("requestClasses.1.effect", "royal", "write retryable, dedup or fragile"),
        ("requestClasses.0.windowMs", "long", "write a number"),
        ("contract.coldFrom", "warm", "write a number"),
        ("policyLimits.maxAttempts", "0", "allow 1 at least"),
        ("policyLimits.maxAttempts", "2.5", "write a whole number"),
        ("domain.callsOut", "0", "allow 1 at least"),
        ("policyLimits.cancelling", "perhaps", "write true or false"),
    ] {
        let problem = with(path, Some(value)).unwrap_err();
        assert!(problem.contains(path) && problem.contains(value) && problem.contains(remedy), "{problem}");
    }
}
