//! Who asks discovery: a few members by rendezvous hashing, which every member computes alike from its view. Whoever comes or
//! goes changes one place at the most.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// So many of a fleet's members ask: it grows with the logarithm.
pub fn watchers(members: usize) -> usize {
    1 + (members.max(1).ilog2() / 2) as usize
}

/// A member's weight in its cluster; the highest ask.
fn weight(cluster: u64, name: &str) -> (u64, &str) {
    (xxh3_64_with_seed(name.as_bytes(), cluster), name)
}

/// Whether `me` is one of those who ask, among itself and `others` who are live. Cost: the members, when the view has
/// changed.
pub fn elected<'a>(cluster: &str, me: &str, others: impl Iterator<Item = &'a str>) -> bool {
    let cluster = xxh3_64_with_seed(cluster.as_bytes(), 0);
    let mine = weight(cluster, me);
    let (mut members, mut before) = (1, 0);
    for other in others {
        members += 1;
        before += usize::from(weight(cluster, other) > mine);
    }
    before < watchers(members)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn chosen(names: &[String]) -> Vec<&str> {
        let others = |me: &str| names.iter().map(String::as_str).filter(|one| *one != me).collect::<Vec<_>>();
        names.iter().map(String::as_str).filter(|me| elected("c", me, others(me).into_iter())).collect()
    }

    #[test]
    fn all_elect_the_same_few_and_one_that_goes_changes_one_place() {
        let names: Vec<String> = (0..300).map(|number| format!("f{number}")).collect();
        let all = chosen(&names);
        assert_eq!((all.len(), watchers(300)), (5, 5));
        let gone: Vec<String> = names.iter().filter(|name| *name != all[0]).cloned().collect();
        let after = chosen(&gone);
        assert_eq!(after.len(), 5);
        assert_eq!(after.iter().filter(|one| all.contains(one)).count(), 4, "{all:?} {after:?}");
        assert_eq!([1, 2, 10, 100, 1_000].map(watchers), [1, 1, 2, 4, 5]);
    }
}
