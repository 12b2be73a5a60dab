use super::*;

fn names(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn index_and_number_are_never_reused_for_another_name() {
    let mut table = NameTable::default();
    assert_eq!(table.configure(&names("a b")).len(), 2);
    assert!(table.configure(&names("b a")).is_empty());
    assert_eq!((table.active_index("a"), table.active_index("b")), (Some(0), Some(1)));
    table.configure(&names("b c"));
    assert_eq!((table.active_index("a"), table.name(0), table.active_index("c")), (None, "a", Some(2)));
    let mut restarted = NameTable::default();
    for named in [NumberedName { number: 1, name: "b".into() }, NumberedName { number: 7, name: "z".into() }]
    {
        restarted.declare(named);
    }
    let new_names = restarted.configure(&names("c b"));
    assert_eq!(new_names, [NumberedName { number: 8, name: "c".into() }]);
    assert_eq!(
        (
            restarted.number(restarted.active_index("b").unwrap()),
            restarted.index_of(7).map(|p| restarted.name(p))
        ),
        (1, Some("z"))
    );
}
