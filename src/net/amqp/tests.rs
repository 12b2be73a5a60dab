use super::*;

#[test]
fn written_content_is_read_back_unchanged() {
    let properties = Properties {
        headers: vec![("dest".into(), Value::Number(7)), ("key".into(), Value::Text(b"k".to_vec()))],
        delivery_mode: Some(2),
        message_id: Some(b"m1"[..].into()),
        kind: Some(b"note"[..].into()),
        ..Properties::default()
    };
    let mut out = Vec::new();
    write_content(&mut out, 3, &properties, &[5; 5000], 4096);
    let mut frames = Vec::new();
    while let Some((frame, used)) = read_frame(&out, 4096).unwrap() {
        out.drain(..used);
        frames.push(frame);
    }
    assert_eq!(frames[0], Frame { channel: 3, content: Content::Header(5000, properties) });
    let body_sizes = frames[1..].iter().map(|frame| match &frame.content {
        Content::Body(part) => part.len(),
        other => panic!("{other:?}"),
    });
    assert_eq!(body_sizes.collect::<Vec<_>>(), [4088, 912]);
}

#[test]
fn heartbeat_is_due_at_half_the_interval_and_the_peer_expires_at_two_intervals() {
    let at = |seconds: u64| crate::Micros(seconds * 1_000_000);
    let heartbeats = HeartbeatTimer::new(20, at(100));
    assert!(!heartbeats.is_send_due(at(109)) && heartbeats.is_send_due(at(110)));
    assert!(!heartbeats.has_expired(at(139)) && heartbeats.has_expired(at(140)));
    let disabled = HeartbeatTimer::new(0, at(100));
    assert!(
        !disabled.is_send_due(at(9999)) && !disabled.has_expired(at(9999)) && disabled.next_due().is_none()
    );
}

#[test]
fn random_bytes_do_not_panic() {
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..20_000 {
        let mut bytes: Vec<u8> = (0..random.usize(..60)).map(|_| random.u8(..)).collect();
        // Half of the inputs have a valid frame type, size and end marker.
        if bytes.len() > 8 && random.bool() {
            let size = bytes.len() as u32 - 8;
            bytes[0] = random.u8(1..4);
            bytes[3..7].copy_from_slice(&size.to_be_bytes());
            *bytes.last_mut().unwrap() = FRAME_END;
        }
        let _ = read_frame(&bytes, 4096);
    }
}

#[test]
fn damaged_frames_are_reported_as_faults() {
    assert_eq!(read_frame(&[1, 0, 0, 0, 0, 0, 4, 0, 10, 0, 10, 0], 4096).unwrap_err().0, 501);
    assert_eq!(read_frame(&[1, 0, 0, 255, 0, 0, 4], 4096).unwrap_err().0, 501);
    assert_eq!(read_frame(&[9, 0, 0, 0, 0, 0, 0, 0xCE], 4096).unwrap_err().0, 501);
    assert_eq!(read_frame(&[1, 0, 0, 0, 0, 0, 1, 7, 0xCE], 4096).unwrap_err().0, 502);
    let nested = b"\x02\0\0\0\x09\x01aF\0\0\0\x00".repeat(40);
    let mut args = Vec::new();
    args.put_long_string(&nested);
    assert!(Args(&args).table().is_err());
}
