use super::*;
use crate::membership::{Identity, State};

fn entry(name: &str, incarnation: u32) -> Entry {
    let id = Identity { name: name.into(), address: "127.0.0.1:1".parse().unwrap(), generation: 1 };
    Entry { id, incarnation, state: State::Alive, accuser: None }
}

#[test]
fn updates_are_sent_least_sent_first_up_to_the_limit_and_replaced_by_newer_ones() {
    let mut queue = BroadcastQueue::default();
    queue.push(entry("a", 1));
    queue.push(entry("b", 1));
    let mut out = Vec::new();
    queue.take_batch(40, 2, &mut out);
    assert_eq!(out.len(), 1, "the capacity fits one update");
    assert_eq!(out[0].id.name, "b", "newest first");
    out.clear();
    queue.take_batch(40, 2, &mut out);
    assert_eq!(out[0].id.name, "a", "least sent first");
    queue.push(entry("a", 2));
    out.clear();
    queue.take_batch(1_000, 2, &mut out);
    assert_eq!(
        out.iter().map(|e| (e.id.name.as_str(), e.incarnation)).collect::<Vec<_>>(),
        [("a", 2), ("b", 1)]
    );
    out.clear();
    queue.take_batch(1_000, 2, &mut out);
    assert_eq!(out.len(), 1, "b was sent twice and left the queue");
    assert_eq!(queue.len(), 0);
}
