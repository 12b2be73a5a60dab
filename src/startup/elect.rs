//! Election of the members that call discovery: a few, by rendezvous hashing, which each member
//! computes identically from its view. A member that joins or leaves changes one of them at most.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of members of a fleet that call discovery; grows with the logarithm of the fleet's size.
pub fn elected_count(member_count: usize) -> usize {
    1 + (member_count.max(1).ilog2() / 2) as usize
}

/// Rendezvous weight of a member in its cluster; the members with the highest weights are elected.
fn weight(cluster: u64, name: &str) -> (u64, &str) {
    (xxh3_64_with_seed(name.as_bytes(), cluster), name)
}

/// Whether `me` is elected among itself and the live members `others`. Cost: the number of members,
/// at each change of the view.
pub fn elected<'a>(cluster: &str, me: &str, others: impl Iterator<Item = &'a str>) -> bool {
    let cluster = xxh3_64_with_seed(cluster.as_bytes(), 0);
    let own_weight = weight(cluster, me);
    let (mut member_count, mut with_higher_weight) = (1, 0);
    for other in others {
        member_count += 1;
        with_higher_weight += usize::from(weight(cluster, other) > own_weight);
    }
    with_higher_weight < elected_count(member_count)
}

#[cfg(test)]
mod tests;
