use super::*;
use crate::membership::{Identity, Settings};

#[test]
fn changes_beyond_those_that_may_wait_for_the_voters_are_rejected() {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let me = Identity { name: "a".into(), address, generation: 1 };
    let node = Node::new(me.clone(), "t", None, Settings::default(), Vec::new(), 1, Micros(0));
    let voters = ["a", "b", "c"].map(str::to_owned);
    let mut maintenance =
        Maintenance::new(&me, &voters, &std::env::temp_dir().join("missing"), None, 1, Micros(0));
    let mut submit = |token| {
        let request = MaintenanceRequest::Cancel(format!("plan{token}"));
        maintenance.submit(Micros(0), token, request, &node)
    };
    let rejected = (0..100).filter(|&token| submit(token).is_some()).count();
    assert_eq!(rejected, 100 - MAX_PENDING_CHANGES);
    assert_eq!(maintenance.pending.len(), MAX_PENDING_CHANGES);
}
