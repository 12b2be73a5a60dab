use super::*;

#[test]
fn removed_member_does_not_cost_the_others_their_turn_in_the_round() {
    let mut random = Rng::with_seed(4);
    for probed in 0..6 {
        let mut order = ProbeOrder::default();
        ["a", "b", "c", "d", "e", "f"]
            .into_iter()
            .for_each(|name| order.insert(name.to_owned(), &mut random));
        let mut drawn: Vec<String> = (0..probed).filter_map(|_| order.next(&mut random, |_| true)).collect();
        order.remove("c");
        drawn.retain(|name| name != "c");
        while drawn.len() < 5 {
            drawn.push(order.next(&mut random, |_| true).unwrap());
        }
        drawn.sort();
        assert_eq!(drawn, ["a", "b", "d", "e", "f"], "after {probed} probes");
    }
}
