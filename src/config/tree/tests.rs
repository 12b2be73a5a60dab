use super::*;
use proptest::prelude::*;

fn first_problem(text: &str) -> Problem {
    read(text.as_bytes()).unwrap_err().list()[0].clone()
}

#[test]
fn nodes_carry_the_line_of_each_value() {
    let node = read(b"a: 1\nb:\n  - x\n  - y: true\n").unwrap();
    let Raw::Map(map) = node.value else { panic!() };
    assert_eq!((map[0].0.as_str(), map[0].1, &map[0].2.value), ("a", 1, &Raw::Integer(1)));
    let Raw::List(list) = &map[1].2.value else { panic!() };
    assert_eq!((list[0].line, &list[0].value), (3, &Raw::Text("x".into())));
    let Raw::Map(inner) = &list[1].value else { panic!() };
    assert_eq!((inner[0].1, &inner[0].2.value), (4, &Raw::Bool(true)));
}

#[test]
fn json_is_accepted_and_an_empty_file_is_an_empty_section() {
    assert!(matches!(read(b"{\"a\":[1.5,null]}").unwrap().value, Raw::Map(_)));
    assert_eq!(read(b"").unwrap().value, Raw::Map(Vec::new()));
}

#[test]
fn oversized_deeply_nested_and_alias_bomb_documents_are_rejected() {
    assert!(first_problem(&" ".repeat(MAX_DOCUMENT_BYTES + 1)).what.contains("too many"));
    first_problem(&format!("a: {}", "[".repeat(10_000)));
    first_problem(&format!("a: {}{}", "[".repeat(10_000), "]".repeat(10_000)));
    first_problem(
        &(0..10_000).map(|depth| format!("{}a:\n", " ".repeat(depth))).collect::<String>()
            [..MAX_DOCUMENT_BYTES],
    );
    let mut bomb = String::from("a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n");
    for level in 1..12 {
        let refers = vec![format!("*a{}", level - 1); 10].join(",");
        bomb.push_str(&format!("a{level}: &a{level} [{refers}]\n"));
    }
    first_problem(&bomb);
    let aliases = "*x,".repeat(200_000);
    first_problem(&format!("x: &x 1\ny: [{aliases}]\n"));
}

#[test]
fn error_messages_contain_no_text_of_the_file() {
    for text in ["password: \"hunter2\n", "password: [hunter2\n", "a: hunter2: b\n", "hunter2\n\tb: *hunter2"]
    {
        let message = problems_text(text);
        assert!(!message.contains("hunter2"), "{message}");
    }
}

fn problems_text(text: &str) -> String {
    read(text.as_bytes()).map_or_else(|problems| problems.to_string(), |_| String::new())
}

proptest! {
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read(&bytes);
    }

    #[test]
    fn arbitrary_text_of_yaml_syntax_characters_causes_no_panic(text in "[\\[\\]{}:,&*a-c \n\\-|>'\"#!?%@0-9.]{0,300}") {
        let _ = read(text.as_bytes());
    }
}
