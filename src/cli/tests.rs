use super::*;
use clap::CommandFactory;

#[test]
fn command_line_is_valid_and_runs_the_forwarder_without_a_verb() {
    Cli::command().debug_assert();
    let plain = Cli::try_parse_from(["cedarwharf"]).unwrap();
    assert!(plain.verb.is_none() && plain.file.is_none());
    let file = Cli::try_parse_from(["cedarwharf", "fronts.json"]).unwrap();
    assert_eq!(file.file, Some("fronts.json".into()));
    let verb = Cli::try_parse_from(["cedarwharf", "run", "a.yaml", "--from-file"]).unwrap();
    assert!(matches!(verb.verb, Some(Verb::Run { from_file: true, .. })));
}

#[test]
fn durations_with_units_are_parsed_and_malformed_ones_rejected() {
    assert_eq!(duration("30s"), Ok(30.0));
    assert_eq!(duration("1.5m"), Ok(90.0));
    assert_eq!(duration("250ms"), Ok(0.25));
    for wrong in ["", "0s", "-1s", "3 weeks", "nans"] {
        assert!(duration(wrong).is_err(), "{wrong}");
    }
}
