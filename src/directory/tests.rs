use super::*;

fn names(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn a_place_and_a_number_never_mean_another_name() {
    let mut table = NameTable::default();
    assert_eq!(table.configure(&names("a b")).len(), 2);
    assert!(table.configure(&names("b a")).is_empty());
    assert_eq!((table.active_index("a"), table.active_index("b")), (Some(0), Some(1)));
    table.configure(&names("b c"));
    assert_eq!((table.active_index("a"), table.name(0), table.active_index("c")), (None, "a", Some(2)));
    let mut next = NameTable::default();
    for named in [NumberedName { number: 1, name: "b".into() }, NumberedName { number: 7, name: "z".into() }]
    {
        next.declare(named);
    }
    let fresh = next.configure(&names("c b"));
    assert_eq!(fresh, [NumberedName { number: 8, name: "c".into() }]);
    assert_eq!(
        (next.number(next.active_index("b").unwrap()), next.index_of(7).map(|p| next.name(p))),
        (1, Some("z"))
    );
}
