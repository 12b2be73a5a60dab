//! `.ci/known-red`: which lists of known faults it accepts, what it runs and prints. A stand-in for cargo tells which tests there are
//! and which of them fail, and writes down how it was called.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// Tests `closing::sound` and `closing::broken`; the whole run succeeds.
const CARGO: &str = r#"#!/bin/sh
echo "$*" >> "$CALLS"
case "$*" in
    *--list*--exact*) case "$*" in *sound*) echo "sound: test";; *broken*) echo "broken: test";; esac;;
    *--list*) echo "sound: test"; echo "broken: test";;
    *"--test=closing -- --exact broken"*) exit 101;;
esac
exit 0
"#;

struct Outcome {
    passed: bool,
    told: String,
    calls: Vec<String>,
}

fn run(name: &str, list: Option<&str>) -> Outcome {
    let folder: PathBuf = std::env::temp_dir().join(format!("cedarwharf-{}-red-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("cargo"), CARGO).unwrap();
    fs::set_permissions(folder.join("cargo"), fs::Permissions::from_mode(0o755)).unwrap();
    let file = folder.join("KNOWN-RED.txt");
    if let Some(list) = list {
        fs::write(&file, list).unwrap();
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let output = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .envs([("PATH", path.as_str()), ("KNOWN_RED", file.to_str().unwrap())])
        .env("CALLS", folder.join("calls"))
        .output()
        .unwrap();
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    let told = [output.stdout, output.stderr].map(|text| String::from_utf8(text).unwrap()).concat();
    fs::remove_dir_all(&folder).unwrap();
    Outcome { passed: output.status.success(), told, calls: calls.lines().map(str::to_owned).collect() }
}

#[test]
fn without_a_list_or_with_an_empty_one_the_test_command_runs_as_it_is() {
    for (name, list) in [("absent", None), ("empty", Some("")), ("blank", Some("\n  \n"))] {
        let outcome = run(name, list);
        assert!(outcome.passed, "{name}: {}", outcome.told);
        assert_eq!(outcome.calls, ["test --locked"], "{name}");
    }
}

#[test]
fn a_listed_test_that_fails_is_let_pass_alone_and_printed() {
    let outcome = run("fails", Some("closing::broken, a fault that is known, issue 27\n"));
    assert!(outcome.passed, "{}", outcome.told);
    assert!(outcome.told.contains("known red: closing::broken: failed, as listed"), "{}", outcome.told);
    // It is run apart, and left out of the others by its exact name.
    assert!(outcome.calls.iter().any(|call| call == "test --locked --test=closing -- --exact broken"));
    assert_eq!(outcome.calls.last().unwrap(), "test --locked -- --exact --skip broken");
}

#[test]
fn a_list_that_is_wrong_fails() {
    let many: String = (0..4).map(|number| format!("closing::t{number}, a cause, issue 27\n")).collect();
    for (name, list, told) in [
        ("passes", "closing::sound, a cause, issue 27\n", "passes now, take it off: closing::sound"),
        ("many", &many, "4 tests, three at most"),
        ("causeless", "closing::broken, , issue 27\n", "not 'test, cause, issue N'"),
        ("issueless", "closing::broken, a cause\n", "not 'test, cause, issue N'"),
        ("unknown", "closing::nowhere, a cause, issue 27\n", "no such test: closing::nowhere"),
        ("twice", "closing::broken, a cause, issue 27\nclosing::broken, a cause, issue 27\n", "named twice"),
    ] {
        let outcome = run(name, Some(list));
        assert!(!outcome.passed && outcome.told.contains(told), "{name}: {}", outcome.told);
    }
}
