use super::*;

fn elected_names(names: &[String]) -> Vec<&str> {
    let others = |me: &str| names.iter().map(String::as_str).filter(|one| *one != me).collect::<Vec<_>>();
    names.iter().map(String::as_str).filter(|me| elected("c", me, others(me).into_iter())).collect()
}

#[test]
fn members_elect_the_same_few_and_a_departure_changes_one() {
    let names: Vec<String> = (0..300).map(|number| format!("f{number}")).collect();
    let all = elected_names(&names);
    assert_eq!((all.len(), elected_count(300)), (5, 5));
    let gone: Vec<String> = names.iter().filter(|name| *name != all[0]).cloned().collect();
    let after = elected_names(&gone);
    assert_eq!(after.len(), 5);
    assert_eq!(after.iter().filter(|one| all.contains(one)).count(), 4, "{all:?} {after:?}");
    assert_eq!([1, 2, 10, 100, 1_000].map(elected_count), [1, 1, 2, 4, 5]);
}
