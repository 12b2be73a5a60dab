use super::*;

#[test]
fn truncated_message_is_partial_at_every_length() {
    let whole = b"POST /api HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nabc";
    for cut in 0..whole.len() {
        assert_eq!(parse_request(&whole[..cut]), Parsed::Partial { expects_continue: false }, "cut at {cut}");
    }
    assert!(matches!(parse_request(whole), Parsed::Complete(_, used) if used == whole.len()));
    let whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n";
    for cut in 0..whole.len() {
        assert_eq!(
            parse_response(&whole[..cut], false, 3),
            Parsed::Partial { expects_continue: false },
            "cut at {cut}"
        );
        assert_eq!(parse_response(&whole[..cut], true, 3), Parsed::Invalid(400), "ended at {cut}");
    }
    assert!(matches!(parse_response(whole, false, 3), Parsed::Complete(answer, _) if answer.body == b"abc"));
}

#[test]
fn ambiguous_request_is_rejected() {
    let bad =
        |text: &str, status| assert_eq!(parse_request(text.as_bytes()), Parsed::Invalid(status), "{text}");
    bad("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400);
    bad("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400);
    bad("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", 400);
    bad("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411);
    bad(&"\r\n".repeat(100), 400);
    bad("POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", 400);
    bad("POST / HTTP/1.1\r\n folded: 3\r\n\r\nabc", 400);
    bad("GET / HTTP/2.0\r\n\r\n", 400);
    bad(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000)), 431);
}

#[test]
fn interim_responses_are_skipped_and_the_status_is_known_from_the_first_line() {
    let text = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    assert!(matches!(parse_response(text, false, 0), Parsed::Complete(answer, 49..) if answer.status == 204));
    assert_eq!(response_status(text), Some(204));
    assert_eq!(response_status(b"HTTP/1.1 200 OK\r\nContent-Le"), Some(200));
    assert_eq!(response_status(b"HTTP/1.1 200"), None);
    assert_eq!(response_status(b"HTTP/1.1 2000 OK\r\n"), None);
}

/// Guards against waiting for such a response until the call's time-out, or reading it without a limit.
#[test]
fn malformed_response_is_detected_at_once() {
    let bad = |bytes: &[u8]| assert_eq!(parse_response(bytes, false, 8), Parsed::Invalid(400), "{bytes:?}");
    bad(b"\x00\xffnoise");
    bad(b"HTTP/2");
    bad(b"HTTP/1.1 100 Continue\r\n\r\nnoise");
    bad(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
    bad(b"HTTP/1.1 200 OK\r\n\r\nwithout a length and too long");
    bad(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n");
    bad(format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(20_000)).as_bytes());
    bad("HTTP/1.1 100 Continue\r\n\r\n".repeat(100).as_bytes());
}
