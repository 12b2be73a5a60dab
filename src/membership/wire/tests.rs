use super::*;

fn me() -> Identity {
    Identity { name: "a".into(), address: "127.0.0.1:7000".parse().unwrap(), generation: 9 }
}

#[test]
fn packet_round_trips_and_a_corrupted_truncated_or_foreign_one_is_rejected() {
    let key = Key::new(b"secret".to_vec());
    let writer = PacketWriter::new("c", &me(), Some(key.clone()));
    let entry = Entry { id: me(), incarnation: 3, state: State::Suspect, accuser: Some("b".into()) };
    let edition = Edition { epoch: 1, generation: 41 };
    let holding = Holding { edition, digest: 9, age: Micros(300_000) };
    let bytes = writer.write(5, Some(&holding), &Body::Ack { seq: 7 }, std::slice::from_ref(&entry));
    let packet = decode(&bytes, "c", Some(&key)).unwrap();
    assert_eq!((packet.entries, packet.holding), (vec![entry], Some(holding)));
    assert_eq!(decode(&bytes, "d", Some(&key)), Err(DropReason::OtherCluster));
    assert_eq!(decode(&bytes, "c", None), Err(DropReason::BadTag));
    assert_eq!(decode(&bytes, "c", Some(&Key::new(b"other".to_vec()))), Err(DropReason::BadTag));
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x40;
        assert!(decode(&corrupted, "c", Some(&key)).is_err(), "byte {at}");
    }
    for cut in 0..bytes.len() {
        assert!(decode(&bytes[..cut], "c", Some(&key)).is_err(), "cut at {cut}");
    }
}

#[test]
fn requests_pieces_and_parts_round_trip_within_the_datagram_limit() {
    let writer = PacketWriter::new("c", &me(), Some(Key::new(b"secret".to_vec())));
    let edition = Edition { epoch: 1, generation: u64::MAX };
    let holding = Holding { edition, digest: 9, age: Micros(u64::MAX) };
    let piece = Body::ListPiece { edition, index: 3, count: 9, bytes: vec![5; PIECE_BYTES] };
    let part =
        Body::MaintenancePart(Fragment { digest: 7, index: 1, count: 2, bytes: vec![6; FRAGMENT_BYTES] });
    for body in [Body::ListRequest(PieceRequest { edition, first: 8, mask: 0x81 }), piece, part] {
        let bytes = writer.write(1, Some(&holding), &body, &[]);
        assert!(bytes.len() <= MAX_DATAGRAM);
        assert_eq!(decode(&bytes, "c", Some(&Key::new(b"secret".to_vec()))).unwrap().body, body);
    }
}

#[test]
fn entries_beyond_the_capacity_are_left_out() {
    let writer = PacketWriter::new("c", &me(), None);
    let entries = vec![Entry { id: me(), incarnation: 1, state: State::Alive, accuser: None }; 200];
    let bytes = writer.write(1, None, &Body::Gossip, &entries);
    assert!(bytes.len() <= MAX_DATAGRAM);
    let packet = decode(&bytes, "c", None).unwrap();
    assert_eq!(packet.entries.len(), writer.entry_capacity(&Body::Gossip) / entry_size(&entries[0]));
}
