//! Shared by the benchmarks over sockets: a configuration with many destinations behind two stand-in
//! endpoints, and requests for them.
#![allow(dead_code)]

use crate::support::Stage;

/// The first half belongs to the first endpoint, the second half to the second.
pub const DESTINATIONS: u64 = 400;

/// A configuration with 1,024 slots and a limit of held messages, with sockets and disk space for both.
pub fn config(stage: &Stage, held_messages: u32) -> String {
    let entries: Vec<String> = (0..DESTINATIONS)
        .map(|cell| {
            let endpoint = stage.address_of(if cell < DESTINATIONS / 2 { "s1" } else { "s2" });
            format!(
                r#"{{"instanceId":"e{cell}","hostPort":"{endpoint}","zone":"z","machineType":"plain","cell":{cell},
                "lifecycle":"up","weight":1.0,"startedAtMs":0}}"#
            )
        })
        .collect();
    include_str!("../../tests/support/config.json")
        .replace("LISTEN", &stage.listen.to_string())
        .replace("DISCOVERY", &stage.address_of("platform").to_string())
        .replace("ENTRIES", &entries.join(","))
        .replace("\"sockets\":256,\"disk_mb\":1", "\"sockets\":4096,\"disk_mb\":200")
        .replace("\"callsOut\":6", "\"callsOut\":1024")
        .replace("\"maxOpen\":40", &format!("\"maxOpen\":{held_messages}"))
        .replace("\"hardLimitMs\":60000.0", "\"hardLimitMs\":600000.0")
}

/// A request with a deadline of ten minutes, for one of the destinations of the first endpoint.
pub fn request(id: u64) -> String {
    request_of(id, "acme", id * 7 % (DESTINATIONS / 2))
}

/// A request of a tenant with a deadline of ten minutes.
pub fn request_of(id: u64, tenant: &str, destination: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: m{id}\r\nRequest-Class: note\r\nTenant: {tenant}\r\n\
         Request-Timeout: 600\r\nX-Addressing: dest={destination}\r\nContent-Length: 5\r\n\r\nhello"
    )
}
