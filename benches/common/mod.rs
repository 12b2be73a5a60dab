//! What the benches over sockets share: a configuration for many destinations behind one stand-in partner.

use crate::support::Stage;

pub const DESTINATIONS: u64 = 200;

/// 1,024 calls out, so many messages held, and room for both.
pub fn config(stage: &Stage, held: u32) -> String {
    let entries: Vec<String> = (0..DESTINATIONS)
        .map(|cell| {
            format!(
                r#"{{"instanceId":"e{cell}","hostPort":"{}","zone":"z","machineType":"plain","cell":{cell},
                "lifecycle":"up","weight":1.0,"startedAtMs":0}}"#,
                stage.at("s1")
            )
        })
        .collect();
    include_str!("../../tests/support/config.json")
        .replace("LISTEN", &stage.listen.to_string())
        .replace("DISCOVERY", &stage.at("platform").to_string())
        .replace("ENTRIES", &entries.join(","))
        .replace("\"sockets\":256,\"disk_mb\":1", "\"sockets\":4096,\"disk_mb\":200")
        .replace("\"callsOut\":6", "\"callsOut\":1024")
        .replace("\"maxOpen\":40", &format!("\"maxOpen\":{held}"))
        .replace("\"hardLimitMs\":60000.0", "\"hardLimitMs\":600000.0")
}

/// A message of ten minutes for one of the destinations.
pub fn request(id: u64) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: m{id}\r\nRequest-Class: note\r\nTenant: acme\r\n\
         Request-Timeout: 600\r\nX-Addressing: dest={}\r\nContent-Length: 5\r\n\r\nhello",
        id * 7 % DESTINATIONS
    )
}
