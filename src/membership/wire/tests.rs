use super::*;

fn me() -> Identity {
    Identity { name: "a".into(), address: "127.0.0.1:7000".parse().unwrap(), generation: 9 }
}

#[test]
fn a_message_reads_back_and_a_flipped_byte_does_not() {
    let key = Key::new(b"secret".to_vec());
    let writer = Writer::new("c", &me(), Some(key.clone()));
    let entry = Entry { id: me(), incarnation: 3, state: State::Suspect, accuser: Some("b".into()) };
    let edition = Edition { epoch: 1, generation: 41 };
    let holding = Holding { edition, digest: 9, age: Micros(300_000) };
    let bytes = writer.write(5, Some(&holding), &Body::Ack { seq: 7 }, std::slice::from_ref(&entry));
    let packet = read(&bytes, "c", Some(&key)).unwrap();
    assert_eq!((packet.entries, packet.holding), (vec![entry], Some(holding)));
    assert_eq!(read(&bytes, "d", Some(&key)), Err(Dropped::OtherCluster));
    assert_eq!(read(&bytes, "c", None), Err(Dropped::BadTag));
    assert_eq!(read(&bytes, "c", Some(&Key::new(b"other".to_vec()))), Err(Dropped::BadTag));
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x40;
        assert!(read(&spoilt, "c", Some(&key)).is_err(), "byte {at}");
    }
    for cut in 0..bytes.len() {
        assert!(read(&bytes[..cut], "c", Some(&key)).is_err(), "cut at {cut}");
    }
}

#[test]
fn requests_and_pieces_read_back_within_the_bound() {
    let writer = Writer::new("c", &me(), Some(Key::new(b"secret".to_vec())));
    let edition = Edition { epoch: 1, generation: u64::MAX };
    let holding = Holding { edition, digest: 9, age: Micros(u64::MAX) };
    let piece = Body::Piece { edition, index: 3, count: 9, bytes: vec![5; PIECE_BYTES] };
    let part = Body::Part(Fragment { digest: 7, index: 1, count: 2, bytes: vec![6; FRAGMENT_BYTES] });
    for body in [Body::Ask(PieceRequest { edition, first: 8, mask: 0x81 }), piece, part] {
        let bytes = writer.write(1, Some(&holding), &body, &[]);
        assert!(bytes.len() <= MAX_DATAGRAM);
        assert_eq!(read(&bytes, "c", Some(&Key::new(b"secret".to_vec()))).unwrap().body, body);
    }
}

#[test]
fn entries_past_the_room_are_left_out() {
    let writer = Writer::new("c", &me(), None);
    let entries = vec![Entry { id: me(), incarnation: 1, state: State::Alive, accuser: None }; 200];
    let bytes = writer.write(1, None, &Body::Gossip, &entries);
    assert!(bytes.len() <= MAX_DATAGRAM);
    let packet = read(&bytes, "c", None).unwrap();
    assert_eq!(packet.entries.len(), writer.room(&Body::Gossip) / entry_size(&entries[0]));
}
