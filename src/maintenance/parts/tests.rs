use super::*;

#[test]
fn message_is_reassembled_from_fragments_of_several_transmissions() {
    let message: Vec<u8> = (0..4_321u32).map(|byte| byte as u8).collect();
    let mut assembly = Assembly::default();
    let sent = split(&message).unwrap();
    assert_eq!(sent.len(), 5);
    // The first transmission loses all fragments but two, the second all but the others; one arrives
    // twice.
    for index in [4, 1, 1, 0, 2] {
        assert_eq!(assembly.add_fragment(Micros(0), "a", sent[index].clone()), None);
    }
    assert_eq!(assembly.add_fragment(Micros(0), "b", sent[3].clone()), None, "another sender");
    assert_eq!(assembly.add_fragment(Micros(9), "a", sent[3].clone()), Some(message));
    assert_eq!(split(&[]).map(|fragments| fragments.len()), Some(1));
    assert_eq!(split(&vec![0; FRAGMENT_BYTES * MAX_FRAGMENTS + 1]), None);
}

#[test]
fn malformed_fragments_and_surplus_messages_are_dropped() {
    let message = vec![7; 2_500];
    let sent = split(&message).unwrap();
    let mut assembly = Assembly::default();
    let mut corrupted = sent[1].clone();
    corrupted.bytes[3] ^= 1;
    for fragment in [sent[0].clone(), corrupted, sent[2].clone()] {
        assert_eq!(assembly.add_fragment(Micros(0), "a", fragment), None);
    }
    for fragment in sent.clone() {
        let whole = assembly.add_fragment(Micros(0), "a", fragment);
        assert!(whole.is_none_or(|whole| whole == message));
    }
    let short = Fragment { bytes: vec![1], ..sent[0].clone() };
    let beyond = Fragment { index: 9, ..sent[0].clone() };
    assert!([short, beyond]
        .into_iter()
        .all(|fragment| assembly.add_fragment(Micros(0), "a", fragment).is_none()));
    for number in 0..200 {
        assembly.add_fragment(Micros(0), &format!("m{number}"), sent[0].clone());
    }
    assert_eq!(assembly.0.len(), MAX_INCOMPLETE_MESSAGES);
    assembly.add_fragment(Micros(6_000_000), "z", sent[0].clone());
    assert_eq!(assembly.0.len(), 1, "messages past the time-out are dropped");
}
