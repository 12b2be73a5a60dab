use super::*;

/// Valid settings whose names and values occur in no real deployment, so that no default can hide a parse
/// error.
const VALID_SETTINGS: &str = "\
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

fn with_value(path: &str, value: Option<&str>) -> Result<Settings, String> {
    let lines = VALID_SETTINGS.lines().filter(|line| !line.starts_with(&format!("{path}=")));
    let mut text: String = lines.flat_map(|line| [line, "\n"]).collect();
    if let Some(value) = value {
        text.push_str(&format!("{path}={value}\n"));
    }
    parse(text.as_bytes())
}

#[test]
fn valid_settings_are_parsed_whatever_the_deployment() {
    let settings = parse(VALID_SETTINGS.as_bytes()).unwrap();
    assert_eq!(settings.classes.len(), 2);
    let window = Micros(1_000_000);
    assert_eq!(settings.classes[0].effect, Effect::Keyed { window, scope: KeyScope::Zone });
    // A deadline before the target time is valid: the target time is then never reached.
    assert!(settings.classes[1].deadline < settings.classes[1].target_time);
    assert_eq!((settings.slots, settings.max_attempts, settings.forwarders), (3, 2, 1));
    assert_eq!((settings.drain_grace, settings.recovery_time), (Micros(30_000), Micros(100_000)));
}

#[test]
fn missing_or_invalid_setting_is_reported_with_its_path_and_a_remedy() {
    for path in [
        "requestClasses.0.effect",
        "requestClasses.0.windowMs",
        "requestClasses.1.hardLimitMs",
        "policyLimits.maxAttempts",
        "contract.drainGraceMs",
        "contract.coldMs",
    ] {
        let problem = with_value(path, None).unwrap_err();
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
        let problem = with_value(path, Some(value)).unwrap_err();
        assert!(problem.contains(path) && problem.contains(value) && problem.contains(remedy), "{problem}");
    }
}
