//! Runs one case of this review: `rig NAME FOLDER` from the root of the repository. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod drain_beside_upgrade;
mod keyed_twice;
mod new_reply_queue;
mod payment_again;
mod pipelined_drain;
mod rig;

use rig::{Calls, Endpoint, Forwarder, Platform, Recorder, Settings, Stage};
use std::net::SocketAddr;
use std::path::Path;

/// The outcome of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// Addresses and stand-ins that most cases need.
pub struct Setup {
    pub stage: Stage,
    pub record: Recorder,
    pub platform: Platform,
    pub calls: Calls,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub amqp: SocketAddr,
    pub admin: SocketAddr,
}

impl Setup {
    fn new(root: &Path, folder: &Path) -> Setup {
        let stage = Stage::new(root, folder);
        let record = stage.recorder.clone();
        let platform = Platform::start(&record);
        let [listen, ops, amqp, admin] = [(); 4].map(|()| rig::free_address());
        Setup { stage, record, platform, calls: Calls::default(), listen, ops, amqp, admin }
    }

    /// Writes the platform's file, for these classes and call slots.
    pub fn write_config(&self, classes: &str, slots: u32) {
        let settings = Settings {
            listen: self.listen,
            discovery: self.platform.address,
            ops: self.ops,
            known: self.platform.known(),
            batch: 1,
            disk_mb: 3.0,
            max_open: 175,
            slots,
            classes: classes.to_owned(),
        };
        self.stage.write("config.json", &settings.json());
    }

    /// Starts a forwarder and waits until it is ready.
    pub fn start(&self, name: &str, arguments: &str) -> Result<Forwarder, Verdict> {
        let forwarder = self.stage.start(name, arguments, None);
        if rig::wait_until(10_000, || rig::is_ready(self.listen)) {
            self.record.line("platform: /ready says yes");
            Ok(forwarder)
        } else {
            Err(Verdict::CouldNotRun(format!("not ready: {}", self.stage.log_of(name))))
        }
    }

    /// Lists these endpoints, the destinations numbered from 1.
    pub fn list(&self, endpoints: &[Endpoint]) {
        let listed = endpoints.iter().enumerate().map(|(index, endpoint)| endpoint.listed(index as u64 + 1));
        self.platform.set_list(listed.collect());
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    rig::end_after(115);
    let root = std::env::current_dir().expect("a working folder");
    let Ok(setup) = std::panic::catch_unwind(|| Setup::new(&root, Path::new(folder))) else {
        std::process::exit(2);
    };
    setup.record.line(format!("case {name}, {} the disruption", if trouble { "with" } else { "without" }));
    let run = || match name.as_str() {
        "payment-again" => payment_again::run(&setup, trouble),
        "keyed-twice" => keyed_twice::run(&setup, trouble),
        "new-reply-queue" => new_reply_queue::run(&setup, trouble),
        "drain-beside-upgrade" => drain_beside_upgrade::run(&setup, trouble),
        "pipelined-drain" => pipelined_drain::run(&setup, trouble),
        _ => Err(Verdict::CouldNotRun("no such case".into())),
    };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err(Verdict::CouldNotRun("the script failed".into())));
    let (code, text) = match result.unwrap_or_else(|verdict| verdict) {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("the case could not run: {text}")),
    };
    setup.record.line(&text);
    println!("{name}: {text}");
    setup.stage.finish();
    rig::end_all();
    std::process::exit(code);
}
