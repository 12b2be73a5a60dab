use super::*;

fn problems_of(text: &str) -> Vec<String> {
    parse(text.as_bytes()).map_or_else(|p| p.list().iter().map(ToString::to_string).collect(), |_| Vec::new())
}

#[test]
fn every_problem_is_listed_with_its_line_and_remedy() {
    let text = "limits:\n  slotz: 4\n  held_messages: 0\n  disk_mb: lots\nclasses:\n  - name: a\n    \
                effect: sometimes\n    aim_ms: 5\nadmin:\n  listen: here\n  tokens:\n  - token: ''\n\
                limits: {}\ntenants: 7\n";
    let problems = problems_of(text);
    let expected = [
        "line 2: limits.slotz: unknown key; did you mean slots?",
        "line 3: limits.held_messages: out of bounds; stay within 1 to 10000000",
        "line 4: limits.disk_mb: text where a finite number is needed; write a finite number",
        "line 7: classes[0].effect: not an allowed value; write one of: retryable dedup fragile",
        "classes[0].deadline_ms: missing; add it",
        "line 10: admin.listen: not an address;",
        "line 12: admin.tokens[0].token: an empty secret would give access to everyone; write one",
        "line 13: limits: also defined on line 1; keep one of them",
        "line 14: tenants: a number where a list is needed; write a list",
    ];
    for part in expected {
        assert!(problems.iter().any(|line| line.contains(part)), "{part} is not in\n{}", problems.join("\n"));
    }
    assert_eq!(problems.len(), expected.len(), "{}", problems.join("\n"));
}

#[test]
fn secrets_are_absent_from_debug_json_and_problems() {
    let text = "admin: {listen: '127.0.0.1:1', tokens: [{token: hunter2}, {token: {file: /run/t}}]}";
    let (document, _) = parse(text.as_bytes()).unwrap();
    let printed = format!("{document:?}{}", serde_json::to_string(&document).unwrap());
    assert!(!printed.contains("hunter2") && printed.contains("/run/t"), "{printed}");
    let wrong = problems_of("amqp: {brokers: [{password: [hunter2], user: {a: hunter2}, cell: hunter2}]}");
    assert!(wrong.len() > 5 && !wrong.join("\n").contains("hunter2"), "{}", wrong.join("\n"));
}

#[test]
fn schema_contains_bounds_and_descriptions() {
    let schema: serde_json::Value = serde_json::from_str(&schema()).unwrap();
    let slots = &schema["$defs"]["Limits"]["properties"]["slots"];
    assert_eq!((slots["minimum"].as_f64(), slots["maximum"].as_f64()), (Some(1.0), Some(65_536.0)));
    assert!(slots["description"].as_str().unwrap().contains("concurrent calls to endpoints"));
    assert_eq!(schema["additionalProperties"], false);
}

#[test]
fn file_in_the_older_json_form_is_accepted_unchanged() {
    let text = include_bytes!("../../../tests/support/fronts.json");
    let text = String::from_utf8_lossy(text);
    let text = ["AMQP", "BROKER", "RESOLVER", "ADMIN"]
        .iter()
        .fold(text.into_owned(), |text, name| text.replace(&format!("\"{name}\""), "\"127.0.0.1:1\""));
    let (document, _) = parse(text.as_bytes()).map_err(|problems| panic!("{problems}")).unwrap();
    assert!(document.amqp.is_some() && document.admin.is_some());
}
