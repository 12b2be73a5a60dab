//! An endpoint and a platform to try cedarwharf with. The endpoint receives messages on 127.0.0.1:7171 and
//! answers one in four with 503. The platform serves discovery on 127.0.0.1:7172 and prints the delivery
//! reports that it receives.

use cedarwharf::net::http::{parse_request, write_response, Parsed, Request};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let platform = TcpListener::bind("127.0.0.1:7172")?;
    std::thread::spawn(move || serve(&platform, answer_platform_request));
    serve(&TcpListener::bind("127.0.0.1:7171")?, answer_message);
    Ok(())
}

fn serve(listener: &TcpListener, answer: fn(&Request, usize) -> Vec<u8>) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || serve_connection(stream, answer));
    }
}

fn serve_connection(mut stream: TcpStream, answer: fn(&Request, usize) -> Vec<u8>) {
    static REQUESTS: AtomicUsize = AtomicUsize::new(0);
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        input.extend(&chunk[..count]);
        while let Parsed::Complete(request, used) = parse_request(&input) {
            input.drain(..used);
            if stream.write_all(&answer(&request, REQUESTS.fetch_add(1, Relaxed))).is_err() {
                return;
            }
        }
    }
}

fn answer_message(request: &Request, number: usize) -> Vec<u8> {
    let id = request.headers.get("Request-Id").unwrap_or("-");
    let reject = number % 4 == 3;
    let text = String::from_utf8_lossy(&request.body);
    println!("endpoint: {id} \"{text}\" {}", if reject { "rejected" } else { "accepted" });
    std::thread::sleep(Duration::from_millis(150));
    write_response(if reject { 503 } else { 200 }, &[], b"", false)
}

fn answer_platform_request(request: &Request, _: usize) -> Vec<u8> {
    if request.method == "POST" {
        print!("delivery report: {}", String::from_utf8_lossy(&request.body));
        return write_response(204, &[], b"", false);
    }
    // The endpoint list never changes, so each watch is held for three seconds and answered without changes.
    std::thread::sleep(Duration::from_secs(3));
    write_response(200, &[], br#"{"generation":1,"reset":false,"instances":[]}"#, false)
}
