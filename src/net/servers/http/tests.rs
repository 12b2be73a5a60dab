use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

#[test]
fn connection_limit_is_reported_only_for_a_new_connection_rejected_and_closed_without_a_wait() {
    let outcome_of = |head: &str, new| {
        let out = ActiveCall::new(1, vec![Rc::from(&b"a"[..])], false, Micros(u64::MAX));
        let input = format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n");
        let Parsed::Complete(answer, _) = http::parse_response(input.as_bytes(), false, 1_000) else {
            panic!("{head}")
        };
        let Input::Answered { results, .. } = outcome(&out, &answer, new) else { panic!("{head}") };
        results[0].1
    };
    let full = AttemptOutcome::Rejected { retry_after: None };
    assert_eq!(outcome_of("503 Busy\r\nConnection: close", true), AttemptOutcome::ConnectionLimitReached);
    assert_eq!(
        outcome_of("503 Busy\r\nConnection: close", false),
        full,
        "on a reused connection it answers the call"
    );
    assert_eq!(outcome_of("503 Busy", true), full, "the connection stays open");
    let wait = AttemptOutcome::Rejected { retry_after: Some(Micros(300_000)) };
    assert_eq!(outcome_of("503 Shut\r\nConnection: close\r\nX-RateLimit-Wait-Ms: 300", true), wait);
}

#[test]
fn no_address_is_kept_of_endpoints_that_are_gone() {
    let time = Micros(1_000_000);
    let mut servers = EndpointConnections::new(time, time, 8, http::MAX_RESPONSE_BYTES);
    for number in 0..100 {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        servers.set_address(EndpointId(number), address);
        if let Some(gone) = number.checked_sub(2) {
            servers.forget(EndpointId(gone));
        }
    }
    assert_eq!(servers.addresses.keys().copied().collect::<Vec<_>>(), [EndpointId(98), EndpointId(99)]);
}

const ENDPOINT: EndpointId = EndpointId(7);
const CALL: CallId = 1;

/// Connections to one endpoint; the test holds the endpoint's side.
struct Harness {
    poll: Poll,
    servers: EndpointConnections,
    token: u64,
    endpoint: TcpStream,
}

impl Harness {
    /// Writes a call with `messages` messages.
    fn with_written_call(messages: usize) -> Harness {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut poll = Poll::new().unwrap();
        let mut servers =
            EndpointConnections::new(Micros(9_000_000), Micros(9_000_000), 8, http::MAX_RESPONSE_BYTES);
        servers.set_address(ENDPOINT, listener.local_addr().unwrap());
        let outgoing = Outgoing {
            call: CALL,
            endpoint: ENDPOINT,
            wait: Micros(9_000_000),
            send_deadline: Micros(u64::MAX),
        };
        let item = |number: usize| Item {
            id: format!("m{number}").into_bytes().into(),
            key: None,
            class: 0,
            body: Rc::from(&b"x"[..]),
        };
        let items: Vec<Item> = (0..messages).map(item).collect();
        servers.call(&mut poll, Micros(0), outgoing, &items, &mut Vec::new());
        let endpoint = listener.accept().unwrap().0;
        endpoint.set_nodelay(true).unwrap();
        let token = servers.connections.keys().copied().next().unwrap();
        let mut harness = Harness { poll, servers, token, endpoint };
        harness.process_ready();
        harness
    }

    /// Waits until the connection is ready and returns the inputs that this produces.
    fn process_ready(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        let ready = self.poll.wait(Duration::from_secs(10));
        assert!(ready.iter().any(|ready| ready.token == self.token), "the connection is not ready");
        self.servers.ready(&self.poll, self.token, Micros(1), &mut inputs);
        inputs
    }

    /// Sends bytes of a response, read in one piece, and returns the inputs that they produce.
    fn answer(&mut self, bytes: &[u8]) -> Vec<Input> {
        if bytes.is_empty() {
            return Vec::new();
        }
        self.endpoint.write_all(bytes).unwrap();
        self.process_ready()
    }
}

#[test]
fn nothing_is_remembered_of_an_endpoint_that_is_gone_when_its_last_call_ends() {
    let mut harness = Harness::with_written_call(1);
    harness.servers.forget(ENDPOINT);
    harness.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    assert!(harness.servers.deliveries.0.is_empty());
}

/// Waits reported apart from an outcome, and the number of load reports.
fn limits(inputs: &[Input]) -> (Vec<Micros>, usize) {
    let waits = inputs.iter().filter_map(|input| match input {
        Input::RetryAfter(ENDPOINT, wait) => Some(*wait),
        _ => None,
    });
    let reports = inputs.iter().filter(|input| matches!(input, Input::Report(ENDPOINT, _))).count();
    (waits.collect(), reports)
}

const HEADERS: &str = "Server-Load: x0=0.4,x1=25\r\nX-RateLimit-Wait-Ms: 2700\r\nContent-Length: ";

/// A call with a single message is delivered with the status line. Guards against dropping a wait or a load
/// report that arrives in a later piece of the headers: the next call was then sent 2 ms later instead of 2.7
/// s.
#[test]
fn wait_and_load_report_are_reported_once_wherever_the_response_is_split() {
    for (messages, first_line, body) in [
        (1, "200 OK", ""),
        (1, "429 Full", ""),
        (1, "503 Busy", "no"),
        (2, "200 OK", "m0 delivered\r\nm1 over\r\n"),
    ] {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        let whole = format!("{interim}HTTP/1.1 {first_line}\r\n{HEADERS}{}\r\n\r\n{body}", body.len());
        for cut in 0..whole.len() {
            let mut harness = Harness::with_written_call(messages);
            let mut inputs = harness.answer(&whole.as_bytes()[..cut]);
            inputs.extend(harness.answer(&whole.as_bytes()[cut..]));
            let reported = limits(&inputs);
            assert_eq!(
                reported,
                (vec![Micros(2_700_000)], 1),
                "{first_line} of {messages}, cut at {cut}: {inputs:?}"
            );
            let outcomes =
                inputs.iter().filter(|input| matches!(input, Input::Answered { call: CALL, .. })).count();
            assert_eq!(outcomes, 1, "{first_line} of {messages}, cut at {cut}: {inputs:?}");
        }
    }
}

/// The wait counts although the response breaks off, or turns out malformed, after the header line.
#[test]
fn wait_is_reported_from_its_header_line_even_if_the_response_is_cut_off_or_malformed() {
    for (messages, first_line) in [(1, "200 OK"), (1, "429 Full"), (2, "200 OK")] {
        let begun = format!("HTTP/1.1 {first_line}\r\nX-RateLimit-Wait-Ms: 2700\r\n");
        for rest in ["", "Content-Length: 9\r\n\r\nm0", "Content-Length: 3000000000\r\n\r\n"] {
            let mut harness = Harness::with_written_call(messages);
            let mut inputs = harness.answer(begun.as_bytes());
            assert_eq!(limits(&inputs).0, [Micros(2_700_000)], "{first_line}, {rest:?}");
            inputs.extend(harness.answer(rest.as_bytes()));
            if harness.servers.connections.contains_key(&harness.token) {
                harness.endpoint.shutdown(std::net::Shutdown::Both).unwrap();
                inputs.extend(harness.process_ready());
            }
            assert_eq!(limits(&inputs).0, [Micros(2_700_000)], "{first_line}, {rest:?}: {inputs:?}");
        }
        // An incomplete header line is ignored: its number may continue.
        let mut harness = Harness::with_written_call(messages);
        assert_eq!(limits(&harness.answer(&begun.as_bytes()[..begun.len() - 2])).0, []);
    }
}
