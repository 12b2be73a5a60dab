//! A partner and a platform to try cedarwharf with: takes messages on 127.0.0.1:7171, answers one in four with 503,
//! and plays discovery on 127.0.0.1:7172, where it prints the notices that come.

use cedarwharf::net::http::{parse_request, write_response, Parsed, Request};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

fn main() -> std::io::Result<()> {
    let platform = TcpListener::bind("127.0.0.1:7172")?;
    std::thread::spawn(move || serve(&platform, discovery));
    serve(&TcpListener::bind("127.0.0.1:7171")?, partner);
    Ok(())
}

fn serve(listener: &TcpListener, answer: fn(&Request, usize) -> Vec<u8>) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || connection(stream, answer));
    }
}

fn connection(mut stream: TcpStream, answer: fn(&Request, usize) -> Vec<u8>) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        input.extend(&chunk[..count]);
        while let Parsed::Complete(request, used) = parse_request(&input) {
            input.drain(..used);
            if stream.write_all(&answer(&request, NUMBER.fetch_add(1, Relaxed))).is_err() {
                return;
            }
        }
    }
}

fn partner(request: &Request, number: usize) -> Vec<u8> {
    let id = request.headers.get("Request-Id").unwrap_or("-");
    let full = number % 4 == 3;
    let text = String::from_utf8_lossy(&request.body);
    println!("partner: {id} \"{text}\" {}", if full { "turned away" } else { "taken" });
    std::thread::sleep(Duration::from_millis(150));
    write_response(if full { 503 } else { 200 }, &[], b"", false)
}

fn discovery(request: &Request, _: usize) -> Vec<u8> {
    if request.method == "POST" {
        print!("notice: {}", String::from_utf8_lossy(&request.body));
        return write_response(204, &[], b"", false);
    }
    // Nothing ever changes here: each watch is held for a while.
    std::thread::sleep(Duration::from_secs(3));
    write_response(200, &[], br#"{"generation":1,"reset":false,"instances":[]}"#, false)
}
