use super::*;
use crate::net::list::identity::EndpointIdentity;
use crate::DestinationId;
use std::net::SocketAddr;

const NAMES: [&str; 4] = ["one", "two", "three", "four"];

fn entry(name: &str, cell: u64, port: u16, lifecycle: Lifecycle) -> ListEntry {
    let destination = DestinationId(cell);
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let identity = EndpointIdentity { name, destination, kind: "plain", zone: "a", address };
    let endpoint = identity.id();
    let record = EndpointRecord { endpoint, destination, zone: 0, kind: 0, lifecycle, weight: 1.0 };
    ListEntry { name: name.to_owned(), record, address, started_at_ms: 0 }
}

fn random_entry(random: &mut fastrand::Rng) -> ListEntry {
    let lifecycle =
        [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Gone][random.usize(0..4)];
    entry(NAMES[random.usize(0..NAMES.len())], random.u64(1..4), random.u16(1..3), lifecycle)
}

fn whole(entries: Vec<ListEntry>) -> ListUpdate {
    ListUpdate { generation: 0, whole: true, entries }
}

/// After any updates the list is the one that a process has that is started with the present lists of all
/// sources, and the reported changes add up to it. Before, an entry of a name that stood in two sources
/// depended on which of them had changed last.
#[test]
fn list_after_any_updates_is_that_of_a_fresh_start() {
    for seed in 0..500 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut list = EndpointList::default();
        let mut reported: BTreeMap<EndpointId, ListEntry> = BTreeMap::new();
        for _ in 0..30 {
            let source =
                [ListSource::Discovery, ListSource::DnsSd, ListSource::OperatorsFile][random.usize(0..3)];
            let entries = (0..random.usize(0..4)).map(|_| random_entry(&mut random)).collect();
            let update = ListUpdate { whole: random.bool(), ..whole(entries) };
            for change in list.apply(source, &update) {
                if change.record.lifecycle == Lifecycle::Gone {
                    assert!(reported.remove(&change.record.endpoint).is_some(), "seed {seed}: {change:?}");
                } else {
                    reported.insert(change.record.endpoint, change);
                }
            }
        }
        let mut fresh = EndpointList::default();
        for source in [ListSource::OperatorsFile, ListSource::Discovery, ListSource::DnsSd] {
            fresh.apply(source, &whole(list.entries_of(source).cloned().collect()));
        }
        assert!(list.entries().eq(fresh.entries()), "seed {seed}");
        assert_eq!((&list.ids, list.len()), (&fresh.ids, fresh.len()), "seed {seed}");
        let in_force: BTreeMap<EndpointId, ListEntry> =
            list.entries().map(|entry| (entry.record.endpoint, entry.clone())).collect();
        assert_eq!(reported, in_force, "seed {seed}");
    }
}

/// A removal may name the endpoint alone, without its destination.
#[test]
fn removal_that_gives_only_the_name_removes_the_endpoint() {
    let mut list = EndpointList::default();
    let known = entry("one", 1, 7, Lifecycle::Ready);
    list.apply(ListSource::Discovery, &whole(vec![known.clone()]));
    let removal = ListEntry { address: None, ..entry("one", u64::MAX, 0, Lifecycle::Gone) };
    let update = ListUpdate { generation: 0, whole: false, entries: vec![removal] };
    let changes = list.apply(ListSource::Discovery, &update);
    assert_eq!(changes.iter().map(|gone| gone.record.endpoint).collect::<Vec<_>>(), [known.record.endpoint]);
    assert!(list.is_empty() && !list.contains(known.record.endpoint));
}
