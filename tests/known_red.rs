//! Tests of `.ci/known-red`: which lists of known failures it accepts, what it runs and what it prints. A
//! stand-in for cargo defines which tests exist and which of them fail, and records its command lines.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;

/// The stand-in for cargo. `closing::sound` passes and `closing::broken` fails; the run of all other tests
/// exits with the status in `OTHERS`, or 0.
const CARGO_SCRIPT: &str = r#"#!/bin/sh
echo "$*" >> "$CALLS"
case "$*" in
    *--list*--exact*) case "$*" in *sound*) echo "sound: test";; *broken*) echo "broken: test";; esac;;
    nextest*) exit ${OTHERS:-0};;
    *"--test=closing broken"*) exit 101;;
esac
exit 0
"#;

/// Result of one run of the script.
struct RunResult {
    passed: bool,
    /// Standard output and standard error.
    text: String,
    /// Command lines of the stand-in.
    calls: Vec<String>,
}

fn run(name: &str, list: Option<&str>) -> RunResult {
    run_with_others(name, list, "0")
}

/// Runs the script; the run of the tests that are not listed exits with `others_status`.
fn run_with_others(name: &str, list: Option<&str>, others_status: &str) -> RunResult {
    let folder: PathBuf = std::env::temp_dir().join(format!("cedarwharf-{}-red-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    fs::write(folder.join("cargo"), CARGO_SCRIPT).unwrap();
    fs::set_permissions(folder.join("cargo"), fs::Permissions::from_mode(0o755)).unwrap();
    let file = folder.join("KNOWN-RED.txt");
    if let Some(list) = list {
        fs::write(&file, list).unwrap();
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let output = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .envs([("PATH", path.as_str()), ("KNOWN_RED", file.to_str().unwrap())])
        .env("CALLS", folder.join("calls"))
        .env("OTHERS", others_status)
        .output()
        .unwrap();
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    let text = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).unwrap()).concat();
    fs::remove_dir_all(&folder).unwrap();
    RunResult { passed: output.status.success(), text, calls: calls.lines().map(str::to_owned).collect() }
}

/// A list entry for a test of `closing`.
fn entry(test: &str, when: &str) -> String {
    format!("closing::{test} | cargo test --test=closing {test} | a fault, seed 5 | {when} | issue 33\n")
}

#[test]
fn absent_or_empty_list_runs_all_tests() {
    for (name, list) in [("absent", None), ("empty", Some("")), ("blank", Some("\n  \n# a comment\n"))] {
        let result = run(name, list);
        assert!(result.passed, "{name}: {}", result.text);
        assert_eq!(result.calls, ["nextest run --locked -E all()", "test --locked --doc"], "{name}");
    }
}

#[test]
fn failing_listed_test_is_accepted_run_separately_and_printed_with_its_known_failure() {
    for when in ["always", "at times"] {
        let result = run(&format!("fails-{}", &when[..2]), Some(&entry("broken", when)));
        assert!(result.passed, "{}", result.text);
        let line = format!(
            "known red ({when}, issue 33): closing::broken: failed, as listed; seen: a fault, seed 5"
        );
        assert!(result.text.contains(&line), "{}", result.text);
        // The test runs separately by its own command. Its exact name and binary exclude it from the run of
        // the others.
        assert!(result.calls.iter().any(|call| call == "test --test=closing broken"), "{:?}", result.calls);
        let others = "nextest run --locked -E all() - (test(=broken) & binary(=closing))";
        assert!(result.calls.iter().any(|call| call == others), "{:?}", result.calls);
    }
}

#[test]
fn passing_test_listed_as_failing_at_times_is_accepted_and_printed() {
    let result = run("at-times", Some(&entry("sound", "at times")));
    assert!(result.passed, "{}", result.text);
    assert!(result.text.contains("closing::sound: passed; seen: a fault, seed 5"), "{}", result.text);
}

#[test]
fn failure_of_an_unlisted_test_fails_the_run() {
    for list in [None, Some(entry("broken", "always"))] {
        assert!(!run_with_others("others", list.as_deref(), "100").passed);
    }
}

#[test]
fn every_entry_of_a_list_of_seven_is_looked_up() {
    let entries: String = (0..7).map(|number| entry(&format!("broken{number}"), "at times")).collect();
    let entries = entries.replace("closing::broken", "lib::broken");
    let text = run("many", Some(&entries)).text;
    assert!(text.contains("no such test: lib::broken0"), "each entry is looked up: {text}");
}

#[test]
fn invalid_list_fails_with_a_message_that_names_the_problem() {
    let broken = entry("broken", "always");
    for (name, list, message) in [
        ("passes", entry("sound", "always"), "passes now, take it off: closing::sound"),
        ("nothing-seen", broken.replace("a fault, seed 5", " "), "not 'test | command | what was seen"),
        (
            "no-command",
            broken.replace("cargo test --test=closing broken", ""),
            "not 'test | command | what was seen",
        ),
        (
            "other-command",
            broken.replace("closing broken", "closing other"),
            "the command does not name the test",
        ),
        ("no-name", broken.replace("closing::broken", ""), "not 'test | command | what was seen"),
        ("when", broken.replace("always", "sometimes"), "neither 'always' nor 'at times'"),
        ("no-when", broken.replace("always", ""), "neither 'always' nor 'at times'"),
        ("issueless", broken.replace("issue 33", ""), "no issue"),
        ("short", broken.replace(" | issue 33", ""), "no issue"),
        ("long", broken.replace("issue 33", "issue 33 | more"), "not 'test | command | what was seen"),
        ("unknown", entry("nowhere", "always"), "no such test: closing::nowhere"),
        ("twice", format!("{broken}{broken}"), "named twice"),
    ] {
        let result = run(name, Some(&list));
        assert!(!result.passed && result.text.contains(message), "{name}: {}", result.text);
    }
}
