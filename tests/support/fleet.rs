//! A fleet of forwarder processes joined by membership, with a simulated network between them, one stand-in
//! platform and endpoints that all of them share.

use super::discovery::Discovery;
use super::load::{self, Shared};
use super::relay::Relay;
use super::{unused_address, Process};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// Parameters of a fleet.
pub struct Plan {
    pub members: usize,
    pub seed: u64,
    /// Indices of the members that each member has as seeds.
    pub seeds: Vec<usize>,
    /// Number of forwarders in the settings (`siblings`).
    pub siblings: usize,
    pub key: Option<&'static str>,
    pub probe_interval_ms: u32,
    /// Whether the platform's file contains an endpoint list.
    pub known: bool,
    /// Indices of the members that vote on maintenance.
    pub voters: Vec<usize>,
    /// Replacements in the text of the settings: old text, new text.
    pub settings_replacements: Vec<(&'static str, String)>,
}

impl Default for Plan {
    fn default() -> Plan {
        let key = Some("a key of the tests' own");
        Plan {
            members: 3,
            seed: 1,
            seeds: vec![0],
            siblings: 1,
            key,
            probe_interval_ms: 200,
            known: true,
            voters: vec![],
            settings_replacements: vec![],
        }
    }
}

/// A running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    pub plan: Plan,
    pub folder: PathBuf,
    pub relay: Relay,
    pub ledger: Shared,
    pub discovery: Discovery,
    /// UDP addresses that the members bind; peers reach them through the relay.
    pub bind_addresses: Vec<SocketAddr>,
    pub listen: Vec<SocketAddr>,
    pub ops: Vec<SocketAddr>,
    processes: Vec<Option<Process>>,
    /// Members whose process has exited without a kill since its start, as seen by `record_exits`.
    exited: BTreeSet<usize>,
    discovery_address: SocketAddr,
    endpoints: Vec<TcpListener>,
}

impl Fleet {
    /// Prepares the fleet without starting a member.
    pub fn new(name: &str, plan: Plan) -> Fleet {
        let folder = std::env::temp_dir().join(format!("cedarwharf-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        // Discovery and endpoints keep their ports while their listeners are shut down for a time. An ephemeral
        // port could be reassigned meanwhile.
        let bind = || TcpListener::bind(unused_address()).unwrap();
        let (platform, endpoints) = (bind(), vec![bind(), bind(), bind()]);
        let ledger = Shared::default();
        let discovery_address = platform.local_addr().unwrap();
        let mut bind_addresses = Vec::new();
        while bind_addresses.len() < plan.members {
            let address = unused_address();
            if UdpSocket::bind(address).is_ok() {
                bind_addresses.push(address);
            }
        }
        let relay = Relay::start(bind_addresses.clone(), plan.seed);
        let any_address = |_| unused_address();
        let (listen, ops) =
            ((0..plan.members).map(any_address).collect(), (0..plan.members).map(any_address).collect());
        let processes = (0..plan.members).map(|_| None).collect();
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), plan.key.unwrap_or_default()).unwrap();
        let discovery = Discovery::start(platform, 7, endpoint_records(&endpoints, "up"), ledger.clone());
        Fleet {
            plan,
            folder,
            relay,
            ledger,
            discovery,
            bind_addresses,
            listen,
            ops,
            processes,
            exited: BTreeSet::new(),
            discovery_address,
            endpoints,
        }
    }

    /// Prepares the fleet and starts all members at once.
    pub fn start_all(name: &str, plan: Plan) -> Fleet {
        let mut fleet = Fleet::new(name, plan);
        (0..fleet.plan.members).for_each(|member| fleet.start(member));
        fleet
    }

    /// The listener of an endpoint, `s1` to `s3`, for a stand-in.
    pub fn endpoint_listener(&self, number: usize) -> TcpListener {
        self.endpoints[number - 1].try_clone().unwrap()
    }

    /// The endpoint list as JSON; `first_lifecycle` is the lifecycle of the first endpoint.
    pub fn endpoint_records(&self, first_lifecycle: &str) -> String {
        endpoint_records(&self.endpoints, first_lifecycle)
    }

    fn config(&self, member: usize) -> String {
        let settings = self.plan.settings_replacements.iter().fold(
            include_str!("config.json").to_owned(),
            |text, (old, new)| {
                assert!(text.contains(old), "not in the settings: {old}");
                text.replace(old, new)
            },
        );
        settings
            .replace("LISTEN", &self.listen[member].to_string())
            .replace("DISCOVERY", &self.discovery_address.to_string())
            .replace("ENTRIES", &self.endpoint_records("up"))
            .replace("\"known\"", if self.plan.known { "\"known\"" } else { "\"unknown\"" })
            .replace("00000000000000aa", &format!("{:016x}", self.plan.seed * 1_000 + member as u64))
            .replace("\"siblings\":2", &format!("\"siblings\":{}", self.plan.siblings))
    }

    /// The membership section of a member's operators' file, without the key.
    pub fn membership_section(&self, member: usize) -> String {
        let seeds: Vec<String> =
            self.plan.seeds.iter().map(|&seed| format!("\"{}\"", self.relay.address(seed))).collect();
        let voters: Vec<String> = self.plan.voters.iter().map(|voter| format!("f{voter}")).collect();
        let voters =
            if voters.is_empty() { String::new() } else { format!("  voters: [{}]\n", voters.join(", ")) };
        format!(
            "membership:\n  name: f{member}\n  cluster: tests\n  listen: \"{}\"\n  advertise: \"{}\"\n  seeds: [{}]\n  \
             probe_interval_ms: {}\n{voters}",
            self.bind_addresses[member],
            self.relay.address(member),
            seeds.join(", "),
            self.plan.probe_interval_ms
        )
    }

    /// The line of the membership section that names the key file.
    pub fn key_line(&self) -> String {
        format!("  key: {{file: \"{}\"}}\n", self.folder.join("key").display())
    }

    fn member_folder(&self, member: usize) -> PathBuf {
        self.folder.join(format!("f{member}"))
    }

    pub fn start(&mut self, member: usize) {
        let mut file = self.membership_section(member);
        if self.plan.key.is_some() {
            file.push_str(&self.key_line());
        }
        self.start_as(member, &file);
    }

    /// Starts a member with the given operators' file. A process of this member that already runs is left
    /// running and returned.
    pub fn start_as(&mut self, member: usize, file: &str) -> Option<Process> {
        let folder = self.member_folder(member);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::write(folder.join("config.json"), self.config(member)).unwrap();
        std::fs::write(folder.join("file.yaml"), file).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_cedarwharf"));
        // The file takes precedence over a version that an earlier start has stored.
        command.arg("run").arg("--from-file").arg(folder.join("file.yaml"));
        command.env("PROXY_CONFIG", folder.join("config.json"));
        command.env("PROXY_STATE", folder.join("state"));
        command.env("PROXY_ADMIN_ADDR", self.ops[member].to_string());
        command.env("TMPDIR", &folder);
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("lines"));
        let process = Process(command.stderr(log.unwrap()).spawn().unwrap());
        self.exited.remove(&member);
        self.processes[member].replace(process)
    }

    pub fn log(&self, member: usize) -> String {
        std::fs::read_to_string(self.member_folder(member).join("lines")).unwrap_or_default()
    }

    /// Sends a signal, given as an option of `kill`: SIGSTOP and SIGCONT stall and resume a member, SIGHUP
    /// makes it reload its file.
    pub fn signal(&self, member: usize, signal: &str) {
        self.processes[member].as_ref().unwrap().signal(signal);
    }

    /// The process of a running member.
    pub fn process(&mut self, member: usize) -> &mut Process {
        self.processes[member].as_mut().unwrap()
    }

    /// Kills a member with SIGKILL; a process that has exited is only removed.
    pub fn kill(&mut self, member: usize) {
        let Some(mut process) = self.processes[member].take() else { return };
        if process.try_wait().is_ok_and(|status| status.is_none()) {
            self.ledger.lock().unwrap().record_kill(&format!("f{member}-"));
        }
    }

    /// Records which processes have exited by themselves: their calls in flight may have taken effect.
    pub fn record_exits(&mut self) {
        for (member, process) in self.processes.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            let has_ended = process.try_wait().is_ok_and(|status| status.is_some());
            if has_ended && self.exited.insert(member) {
                self.ledger.lock().unwrap().record_kill(&format!("f{member}-"));
            }
        }
    }

    /// Sends SIGTERM and waits for a successful exit.
    pub fn terminate(&mut self, member: usize) {
        self.signal(member, "-TERM");
        assert_eq!(self.processes[member].take().unwrap().wait().unwrap().code(), Some(0));
    }

    pub fn is_running(&self, member: usize) -> bool {
        self.processes[member].is_some()
    }

    /// The JSON body of a GET at a member's operators' address, such as `/ops/members` or `/ops/stats`; null
    /// if the member does not answer with status 200.
    pub fn get_json(&self, member: usize, path: &str) -> Value {
        let response =
            load::ask(self.ops[member], "GET", path, "", "").ok().filter(|response| response.0 == 200);
        response.and_then(|(_, body)| serde_json::from_str(&body).ok()).unwrap_or(Value::Null)
    }

    /// A number from the membership section of `/ops/stats`, by its dotted path; NaN if it is missing.
    pub fn membership_stat(&self, member: usize, name: &str) -> f64 {
        let stats = self.get_json(member, "/ops/stats");
        name.split('.').fold(&stats["membership"], |value, key| &value[key]).as_f64().unwrap_or(f64::NAN)
    }

    /// A member's state, generation and incarnation in the view of `observer`.
    pub fn member_state(&self, observer: usize, member: usize) -> Option<(String, u64, u64)> {
        let view = self.get_json(observer, "/ops/members");
        let name = format!("f{member}");
        let entry = view["members"].as_array()?.iter().find(|entry| entry["name"] == name.as_str())?.clone();
        Some((
            entry["state"].as_str()?.to_owned(),
            entry["generation"].as_u64()?,
            entry["incarnation"].as_u64()?,
        ))
    }

    /// Whether each of `members` counts exactly as many members alive as are given, and none suspect.
    pub fn agree(&self, members: &[usize]) -> bool {
        members.iter().all(|&member| {
            let view = self.get_json(member, "/ops/members");
            view["alive"] == members.len() && view["suspect"] == 0
        })
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.plan.members).collect()
    }

    /// Waits until a condition holds and returns the time that took.
    pub fn until(
        &self,
        what: &str,
        timeout: Duration,
        mut condition: impl FnMut(&Fleet) -> bool,
    ) -> Duration {
        let begun = Instant::now();
        while !condition(self) {
            if begun.elapsed() > timeout {
                let views = self.all().into_iter().filter(|&member| self.is_running(member)).map(|member| {
                    format!("f{member}: {}\n{}", self.get_json(member, "/ops/members"), self.log(member))
                });
                panic!("not within {timeout:?}: {what}\n{}", views.collect::<Vec<_>>().join("\n"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        begun.elapsed()
    }
}

fn endpoint_records(endpoints: &[TcpListener], first_lifecycle: &str) -> String {
    let record = |(index, endpoint): (usize, &TcpListener)| {
        let (address, cell) = (endpoint.local_addr().unwrap(), index + 1);
        let lifecycle = if index == 0 { first_lifecycle } else { "up" };
        format!(
            r#"{{"instanceId":"s{cell}","hostPort":"{address}","zone":"z","machineType":"plain","cell":{cell},
            "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
        )
    };
    endpoints.iter().enumerate().map(record).collect::<Vec<_>>().join(",")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
