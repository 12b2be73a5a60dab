use super::*;

#[test]
fn name_with_a_pointer_to_itself_is_malformed() {
    let mut message = vec![0, 1, 0x80, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    message.extend([0xC0, 12, 0, 12, 0, 1]);
    assert_eq!(read_message(&message), None);
}

#[test]
fn truncated_message_is_malformed_at_every_length() {
    let mut message = vec![0, 1, 0x80, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    message.extend(b"\x01a\x07example\0\0\x21\0\x01\0\0\0\x3c\0\x0a\0\0\0\0\0\x50\x01b\xC0\x0e");
    let (id, records) = read_message(&message).unwrap();
    assert_eq!((id, &records[0].data), (1, &Data::Service("b.example".into(), 80)));
    for cut in 0..message.len() {
        assert_eq!(read_message(&message[..cut]), None, "cut at {cut}");
    }
}

/// A name that does not exist has no records; any other error says nothing of what exists.
#[test]
fn answer_that_a_name_does_not_exist_is_an_empty_one() {
    let answer = |code| [0, 7, 0x81, code, 0, 0, 0, 0, 0, 0, 0, 0];
    assert_eq!(read_message(&answer(3)), Some((7, Vec::new())));
    for code in [1, 2, 4, 5] {
        assert_eq!(read_message(&answer(code)), None, "response code {code}");
    }
}

#[test]
fn escaped_dot_within_a_label_round_trips() {
    let asked = write_question(1, "play\\.count._x._tcp.example", PTR);
    let mut at = 12;
    assert_eq!(read_name(&asked, &mut at).unwrap(), "play\\.count._x._tcp.example");
}
