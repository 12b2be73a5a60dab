use super::*;
use crate::net::http::{parse_response, Parsed};

const ENDPOINT: EndpointId = EndpointId(1);

fn answer(status: u16, body: &str) -> Response {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    match parse_response(text.as_bytes(), false, 64 * 1024) {
        Parsed::Complete(answer, _) => answer,
        other => panic!("{other:?}"),
    }
}

/// Records answers in turn, each on a connection of its own; returns which of them allow reuse.
fn reuse_after(answers: &[Response]) -> Vec<bool> {
    let mut endpoint = EndpointDeliveries::default();
    let mut allows = |answer: &Response| {
        endpoint.record(ENDPOINT, answer);
        endpoint.allow_reuse(ENDPOINT, answer, &mut ConnectionDeliveries::default())
    };
    answers.iter().map(&mut allows).collect()
}

/// Guards against reuse where the next answer could not be told from a copy of the last.
#[test]
fn connection_is_reused_only_after_deliveries_with_bodies_of_their_own() {
    let distinct = ["a", "b", "c"].map(|body| answer(200, body));
    assert_eq!(reuse_after(&distinct), [false, true, true], "one answer says nothing about the next");
    assert_eq!(reuse_after(&["a", "a", "a"].map(|body| answer(200, body))), [false; 3], "equal bodies");
    assert_eq!(reuse_after(&["", "", ""].map(|body| answer(200, body))), [false; 3], "no bodies");
    let rejected = [answer(200, "a"), answer(200, "b"), answer(503, "c"), answer(429, "d"), answer(500, "e")];
    assert_eq!(reuse_after(&rejected), [false, true, false, false, false], "rejections are alike");
    let long = "x".repeat(MAX_BODY_BYTES + 1);
    assert_eq!(reuse_after(&[answer(200, "a"), answer(200, &long)]), [false, false], "a long body");
}

#[test]
fn endpoint_that_repeats_a_body_is_trusted_again_after_as_many_others_as_are_compared() {
    let mut answers = vec![answer(200, "a"), answer(200, "b"), answer(200, "b")];
    answers.extend((0..COMPARED_DELIVERIES).map(|number| answer(200, &format!("c{number}"))));
    let reuse = reuse_after(&answers);
    let again = reuse.iter().skip(2).position(|&allowed| allowed);
    assert_eq!(again, Some(COMPARED_DELIVERIES - 1), "{reuse:?}");
}

#[test]
fn copy_of_any_earlier_delivery_on_the_connection_is_recognized_until_its_room_is_used_up() {
    let (mut endpoint, mut connection) = (EndpointDeliveries::default(), ConnectionDeliveries::default());
    endpoint.record(ENDPOINT, &answer(200, "before"));
    let body = |number: usize| format!("{number:0>MAX_BODY_BYTES$}");
    let fitting = MAX_CONNECTION_BYTES / MAX_BODY_BYTES;
    for number in 0..=fitting {
        let delivery = answer(200, &body(number));
        endpoint.record(ENDPOINT, &delivery);
        let reusable = endpoint.allow_reuse(ENDPOINT, &delivery, &mut connection);
        assert_eq!(reusable, number < fitting, "{number}");
    }
    for number in 0..fitting {
        assert!(connection.may_repeat(&answer(200, &body(number))), "{number}");
    }
    assert!(!connection.may_repeat(&answer(200, "another")));
    assert!(!connection.may_repeat(&answer(503, &body(0))), "a rejection is no copy of a delivery");
    let handed: Vec<Vec<u8>> = connection.bodies().map(<[u8]>::to_vec).collect();
    assert!(ConnectionDeliveries::from_bodies(handed).may_repeat(&answer(200, &body(0))));
}
