use super::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

#[test]
fn only_a_new_connection_that_is_turned_away_and_closed_tells_of_a_full_table() {
    let told = |head: &str, new| {
        let out = ActiveCall::new(1, vec![Rc::from(&b"a"[..])], false, Micros(u64::MAX));
        let input = format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n");
        let Parsed::Complete(answer, _) = http::parse_response(input.as_bytes(), false, 1_000) else {
            panic!("{head}")
        };
        let Input::Answered { results, .. } = outcome(&out, &answer, new) else { panic!("{head}") };
        results[0].1
    };
    let full = AttemptOutcome::Rejected { retry_after: None };
    assert_eq!(told("503 Busy\r\nConnection: close", true), AttemptOutcome::ConnectionLimitReached);
    assert_eq!(told("503 Busy\r\nConnection: close", false), full, "the call was heard before");
    assert_eq!(told("503 Busy", true), full, "it stays open");
    let wait = AttemptOutcome::Rejected { retry_after: Some(Micros(300_000)) };
    assert_eq!(told("503 Shut\r\nConnection: close\r\nX-RateLimit-Wait-Ms: 300", true), wait);
}

#[test]
fn endpoints_that_are_gone_are_let_go() {
    let time = Micros(1_000_000);
    let mut servers = EndpointConnections::new(time, time, 8);
    for number in 0..100 {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        servers.set_address(EndpointId(number), address);
        servers.retain(|endpoint| endpoint.0 + 2 > number);
    }
    assert_eq!(servers.addresses.keys().copied().collect::<Vec<_>>(), [EndpointId(98), EndpointId(99)]);
}

const ENDPOINT: EndpointId = EndpointId(7);
const CALL: CallId = 1;

/// Connections to one endpoint, whose side the test holds.
struct Rig {
    poll: Poll,
    servers: EndpointConnections,
    token: u64,
    endpoint: TcpStream,
}

impl Rig {
    /// A call of some messages has been written.
    fn called(messages: usize) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut poll = Poll::new().unwrap();
        let mut servers = EndpointConnections::new(Micros(9_000_000), Micros(9_000_000), 8);
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
        let mut rig = Rig { poll, servers, token, endpoint };
        rig.hear();
        rig
    }

    /// What the next ready moment of the connection brings.
    fn hear(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        let ready = self.poll.wait(Duration::from_secs(10));
        assert!(ready.iter().any(|ready| ready.token == self.token), "nothing came");
        self.servers.ready(&self.poll, self.token, Micros(1), &mut inputs);
        inputs
    }

    /// What some bytes of an answer bring, read in one piece.
    fn answer(&mut self, bytes: &[u8]) -> Vec<Input> {
        if bytes.is_empty() {
            return Vec::new();
        }
        self.endpoint.write_all(bytes).unwrap();
        self.hear()
    }
}

/// Waits told outside of an outcome, and reports.
fn limits(inputs: &[Input]) -> (Vec<Micros>, usize) {
    let waits = inputs.iter().filter_map(|input| match input {
        Input::RetryAfter(ENDPOINT, wait) => Some(*wait),
        _ => None,
    });
    let reports = inputs.iter().filter(|input| matches!(input, Input::Report(ENDPOINT, _))).count();
    (waits.collect(), reports)
}

const HEADERS: &str = "Server-Load: x0=0.4,x1=25\r\nX-RateLimit-Wait-Ms: 2700\r\nContent-Length: ";

/// A single call is told as delivered with its first line, and was then heard no more: a wait or a report that came in a later
/// piece of the head was dropped, and the next call left 2 ms later in place of 2.7 s.
#[test]
fn a_wait_and_a_report_are_told_once_wherever_the_answer_is_cut() {
    for (messages, first_line, body) in [
        (1, "200 OK", ""),
        (1, "429 Full", ""),
        (1, "503 Busy", "no"),
        (2, "200 OK", "m0 delivered\r\nm1 over\r\n"),
    ] {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        let whole = format!("{interim}HTTP/1.1 {first_line}\r\n{HEADERS}{}\r\n\r\n{body}", body.len());
        for cut in 0..whole.len() {
            let mut rig = Rig::called(messages);
            let mut inputs = rig.answer(&whole.as_bytes()[..cut]);
            inputs.extend(rig.answer(&whole.as_bytes()[cut..]));
            let told = limits(&inputs);
            assert_eq!(
                told,
                (vec![Micros(2_700_000)], 1),
                "{first_line} of {messages}, cut at {cut}: {inputs:?}"
            );
            let outcomes =
                inputs.iter().filter(|input| matches!(input, Input::Answered { call: CALL, .. })).count();
            assert_eq!(outcomes, 1, "{first_line} of {messages}, cut at {cut}: {inputs:?}");
        }
    }
}

/// An answer that breaks off, or is spoilt, behind the header's line: the wait was told all the same.
#[test]
fn a_wait_counts_from_its_line_whatever_becomes_of_the_answer() {
    for (messages, first_line) in [(1, "200 OK"), (1, "429 Full"), (2, "200 OK")] {
        let begun = format!("HTTP/1.1 {first_line}\r\nX-RateLimit-Wait-Ms: 2700\r\n");
        for rest in ["", "Content-Length: 9\r\n\r\nm0", "Content-Length: 3000000000\r\n\r\n"] {
            let mut rig = Rig::called(messages);
            let mut inputs = rig.answer(begun.as_bytes());
            assert_eq!(limits(&inputs).0, [Micros(2_700_000)], "{first_line}, {rest:?}");
            inputs.extend(rig.answer(rest.as_bytes()));
            if rig.servers.connections.contains_key(&rig.token) {
                rig.endpoint.shutdown(std::net::Shutdown::Both).unwrap();
                inputs.extend(rig.hear());
            }
            assert_eq!(limits(&inputs).0, [Micros(2_700_000)], "{first_line}, {rest:?}: {inputs:?}");
        }
        // Half a line tells nothing: its figure may go on.
        let mut rig = Rig::called(messages);
        assert_eq!(limits(&rig.answer(&begun.as_bytes()[..begun.len() - 2])).0, []);
    }
}
