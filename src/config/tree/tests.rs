use super::*;
use proptest::prelude::*;

fn told(text: &str) -> Problem {
    read(text.as_bytes()).unwrap_err().list()[0].clone()
}

#[test]
fn values_know_their_lines() {
    let node = read(b"a: 1\nb:\n  - x\n  - y: true\n").unwrap();
    let Raw::Map(map) = node.value else { panic!() };
    assert_eq!((map[0].0.as_str(), map[0].1, &map[0].2.value), ("a", 1, &Raw::Integer(1)));
    let Raw::List(list) = &map[1].2.value else { panic!() };
    assert_eq!((list[0].line, &list[0].value), (3, &Raw::Text("x".into())));
    let Raw::Map(inner) = &list[1].value else { panic!() };
    assert_eq!((inner[0].1, &inner[0].2.value), (4, &Raw::Bool(true)));
}

#[test]
fn json_is_read_as_it_is_and_nothing_is_an_empty_section() {
    assert!(matches!(read(b"{\"a\":[1.5,null]}").unwrap().value, Raw::Map(_)));
    assert_eq!(read(b"").unwrap().value, Raw::Map(Vec::new()));
}

#[test]
fn bombs_are_refused() {
    assert!(told(&" ".repeat(MAX_DOCUMENT_BYTES + 1)).what.contains("too many"));
    told(&format!("a: {}", "[".repeat(10_000)));
    told(&format!("a: {}{}", "[".repeat(10_000), "]".repeat(10_000)));
    told(
        &(0..10_000).map(|depth| format!("{}a:\n", " ".repeat(depth))).collect::<String>()
            [..MAX_DOCUMENT_BYTES],
    );
    let mut bomb = String::from("a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n");
    for level in 1..12 {
        let refers = vec![format!("*a{}", level - 1); 10].join(",");
        bomb.push_str(&format!("a{level}: &a{level} [{refers}]\n"));
    }
    told(&bomb);
    let aliases = "*x,".repeat(200_000);
    told(&format!("x: &x 1\ny: [{aliases}]\n"));
}

#[test]
fn errors_quote_nothing_of_the_file() {
    for text in ["password: \"hunter2\n", "password: [hunter2\n", "a: hunter2: b\n", "hunter2\n\tb: *hunter2"]
    {
        let told = told_any(text);
        assert!(!told.contains("hunter2"), "{told}");
    }
}

fn told_any(text: &str) -> String {
    read(text.as_bytes()).map_or_else(|problems| problems.to_string(), |_| String::new())
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read(&bytes);
    }

    #[test]
    fn no_text_of_its_own_signs_makes_it_panic(text in "[\\[\\]{}:,&*a-c \n\\-|>'\"#!?%@0-9.]{0,300}") {
        let _ = read(text.as_bytes());
    }
}
