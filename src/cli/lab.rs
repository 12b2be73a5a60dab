//! `cedarwharf lab ...`: experiments on the project's own emulator of a fleet, one JSON object each.

use super::Exit;
use cedarwharf::lab::{cold_start, maintenance, membership, Fault};
use cedarwharf::membership::Settings;
use cedarwharf::Micros;
use clap::{Args, Subcommand};

#[derive(Subcommand)]
pub enum Experiment {
    /// Membership: how soon crashes are known, who is wrongly declared dead, what it costs
    Membership(MembershipArgs),
    /// A cold start: calls to the list service, first connections at endpoints, and when each is ready
    ColdStart(ColdStartArgs),
    /// Maintenance: how many are out at once, and what a round takes, while forwarders crash, stall or are cut off
    Maintenance(MaintenanceArgs),
}

#[derive(Args)]
pub struct MaintenanceArgs {
    /// Forwarders of the fleet; all of them go out
    #[arg(long, default_value_t = 10)]
    forwarders: usize,
    /// How many of them vote
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// Out at once at the most
    #[arg(long, default_value_t = 2)]
    at_once: u32,
    /// Seed of every chance in the run: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What goes wrong, with commas between: crash, stall, partition
    #[arg(long, value_delimiter = ',', value_parser = ["crash", "stall", "partition"])]
    faults: Vec<String>,
    /// Share of the members' datagrams lost, 0 to 1
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay between members in milliseconds
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Seconds that each is out at the most; work takes three to eight tenths of it
    #[arg(long, default_value_t = 20.0)]
    window_s: f64,
    /// Seconds of simulated time after the request, at the most
    #[arg(long, default_value_t = 3600.0)]
    duration_s: f64,
    /// One line of JSON (without: the same object, indented)
    #[arg(long)]
    json: bool,
}

impl MaintenanceArgs {
    fn plan(&self) -> Result<maintenance::Plan, String> {
        let told = [
            (
                (1..=MOST_FORWARDERS).contains(&self.forwarders),
                format!("--forwarders is 1 to {MOST_FORWARDERS}"),
            ),
            ((1..=self.forwarders).contains(&self.voters), "--voters is 1 to --forwarders".to_owned()),
            (
                self.at_once > 0 && (self.at_once as usize) < self.forwarders,
                "--at-once is above 0 and below --forwarders".to_owned(),
            ),
            ((0.0..=1.0).contains(&self.loss), "--loss is 0 to 1".to_owned()),
            (
                self.window_s >= 1.0 && self.duration_s >= self.window_s,
                "--window-s is 1 or more, --duration-s no less".to_owned(),
            ),
        ];
        if let Some((_, problem)) = told.into_iter().find(|(good, _)| !good) {
            return Err(problem);
        }
        let fault = |name: &str| self.faults.iter().any(|one| one == name);
        Ok(maintenance::Plan {
            forwarders: self.forwarders,
            voters: self.voters,
            at_once: self.at_once,
            seed: self.seed,
            faults: maintenance::Faults {
                crash: fault("crash"),
                stall: fault("stall"),
                partition: fault("partition"),
            },
            fault: Fault { loss: self.loss, delay: Micros::from_ms(self.delay_ms) },
            window: Micros::from_ms(self.window_s * 1e3),
            duration: Micros::from_ms(self.duration_s * 1e3),
        })
    }
}

#[derive(Args)]
pub struct ColdStartArgs {
    /// Forwarders of the fleet
    #[arg(long, default_value_t = 50)]
    forwarders: usize,
    /// Endpoints that all of them call
    #[arg(long, default_value_t = 3)]
    endpoints: usize,
    /// Calls a second that each endpoint takes
    #[arg(long, default_value_t = 100.0)]
    capacity: f64,
    /// Connections that each endpoint holds
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Messages handed in, as a share of what the endpoints take together
    #[arg(long, default_value_t = 0.5)]
    load: f64,
    /// Messages in the journal of each forwarder that is killed, beside what is under way
    #[arg(long, default_value_t = 5)]
    held: usize,
    /// Endpoints that are out from the starts on
    #[arg(long, default_value_t = 0)]
    endpoints_out: usize,
    /// Seed of every chance in the run: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the list service answers: live, slow, silent, refusing or partial
    #[arg(long, default_value = "live", value_parser = service)]
    list_service: cold_start::Service,
    /// Share of a running fleet that is killed and started again at once; 0: all start from nothing
    #[arg(long, default_value_t = 0.0)]
    killed_share: f64,
    /// Share of the members' datagrams lost, 0 to 1
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay between members in milliseconds
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Seconds of simulated time from the starts that are counted
    #[arg(long, default_value_t = 15.0)]
    duration_s: f64,
    /// One line of JSON (without: the same object, indented)
    #[arg(long)]
    json: bool,
}

fn service(text: &str) -> Result<cold_start::Service, String> {
    use cold_start::Service;
    let all = [
        ("live", Service::Live),
        ("slow", Service::Slow),
        ("silent", Service::Silent),
        ("refusing", Service::Refusing),
        ("partial", Service::Partial),
    ];
    let found = all.into_iter().find(|(name, _)| *name == text);
    found
        .map(|(_, service)| service)
        .ok_or_else(|| "write live, slow, silent, refusing or partial".to_owned())
}

/// Each has a simulated address of its own.
const MOST_FORWARDERS: usize = 4_096;

/// The one object that an experiment prints.
fn print(report: &impl serde::Serialize, json: bool) -> Exit {
    let text = if json { serde_json::to_string(report) } else { serde_json::to_string_pretty(report) };
    println!("{}", text.expect("a report is plain data"));
    Exit::Done
}

#[derive(Args)]
pub struct MembershipArgs {
    /// Members of the fleet
    #[arg(long, default_value_t = 50)]
    members: usize,
    /// Seed of every chance in the run: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Share of datagrams lost, 0 to 1 (0.05 is 5%)
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay in milliseconds (each datagram 0.5 to 1.5 times it)
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Members that crash at the end of the warm-up
    #[arg(long, default_value_t = 1)]
    crash: usize,
    /// K:MS: K members stopped for MS milliseconds, a second after the warm-up
    #[arg(long, value_parser = stall)]
    stall: Option<(usize, f64)>,
    /// A/B:SECONDS: the first A members cut from the next B for SECONDS, from the end of the warm-up
    #[arg(long, value_parser = partition)]
    partition: Option<(usize, usize, f64)>,
    /// Seconds for the fleet to join before faults begin
    #[arg(long, default_value_t = 10.0)]
    warmup_s: f64,
    /// Seconds of simulated time in all
    #[arg(long, default_value_t = 30.0)]
    duration_s: f64,
    /// The protocol period in milliseconds
    #[arg(long, default_value_t = 200.0)]
    probe_interval_ms: f64,
    /// The direct probe's timeout in milliseconds
    #[arg(long, default_value_t = 100.0)]
    probe_timeout_ms: f64,
    /// The shortest suspicion timeout is this times log10(n) periods
    #[arg(long, default_value_t = 3.5)]
    suspicion_multiplier: f64,
    /// One line of JSON (without: the same object, indented)
    #[arg(long)]
    json: bool,
}

fn stall(text: &str) -> Result<(usize, f64), String> {
    let (count, ms) = text.split_once(':').ok_or("write K:MS, as 1:500")?;
    let count = count.parse().map_err(|_| "K is a whole number")?;
    let ms: f64 = ms.parse().map_err(|_| "MS is a number of milliseconds")?;
    (ms > 0.0 && ms.is_finite()).then_some((count, ms)).ok_or_else(|| "MS is above 0".to_owned())
}

fn partition(text: &str) -> Result<(usize, usize, f64), String> {
    let (groups, length) = text.split_once(':').ok_or("write A/B:SECONDS, as 20/10:30")?;
    let (a, b) = groups.split_once('/').ok_or("write A/B:SECONDS, as 20/10:30")?;
    let a = a.parse().map_err(|_| "A is a whole number")?;
    let b = b.parse().map_err(|_| "B is a whole number")?;
    let length: f64 = length.parse().map_err(|_| "SECONDS is a number")?;
    (length > 0.0 && length.is_finite())
        .then_some((a, b, length))
        .ok_or_else(|| "SECONDS is above 0".to_owned())
}

pub fn carry_out(experiment: Experiment) -> Exit {
    match experiment {
        Experiment::Membership(args) => {
            if let Some((a, b, _)) = args.partition {
                if a + b != args.members || a == 0 || b == 0 {
                    eprintln!(
                        "cedarwharf lab membership: --partition {a}/{b} must split all {} members in two",
                        args.members
                    );
                    return Exit::Problems;
                }
            }
            if !(0.0..=1.0).contains(&args.loss) || args.members == 0 || args.duration_s <= args.warmup_s {
                eprintln!("cedarwharf lab membership: --loss is 0 to 1, --members above 0, --duration-s above --warmup-s");
                return Exit::Problems;
            }
            let settings = Settings {
                probe_interval: Micros::from_ms(args.probe_interval_ms),
                probe_timeout: Micros::from_ms(args.probe_timeout_ms),
                suspicion_multiplier: args.suspicion_multiplier,
                ..Settings::default()
            };
            let plan = membership::Plan {
                members: args.members,
                seed: args.seed,
                fault: Fault { loss: args.loss, delay: Micros::from_ms(args.delay_ms) },
                crash: args.crash,
                stall: args.stall.map(|(count, ms)| (count, Micros::from_ms(ms))),
                partition: args.partition.map(|(a, b, s)| (a, b, Micros::from_ms(s * 1e3))),
                warmup: Micros::from_ms(args.warmup_s * 1e3),
                duration: Micros::from_ms(args.duration_s * 1e3),
                settings,
            };
            let report = membership::run(&plan);
            print(&report, args.json)
        }
        Experiment::Maintenance(args) => match args.plan() {
            Ok(plan) => print(&maintenance::run(&plan), args.json),
            Err(problem) => {
                eprintln!("cedarwharf lab maintenance: {problem}");
                Exit::Problems
            }
        },
        Experiment::ColdStart(args) => {
            let shares = [args.loss, args.killed_share].iter().all(|share| (0.0..=1.0).contains(share));
            let above = args.duration_s > 0.0 && args.capacity > 0.0 && args.load >= 0.0;
            if !shares
                || !above
                || args.forwarders == 0
                || args.endpoints == 0
                || args.forwarders > MOST_FORWARDERS
            {
                eprintln!("cedarwharf lab cold-start: --loss and --killed-share are 0 to 1, --forwarders 1 to {MOST_FORWARDERS}, --endpoints, --capacity and --duration-s above 0");
                return Exit::Problems;
            }
            let plan = cold_start::Plan {
                forwarders: args.forwarders,
                endpoints: args.endpoints,
                capacity: args.capacity,
                connections: args.connections,
                load: args.load,
                held: args.held,
                out: args.endpoints_out,
                seed: args.seed,
                service: args.list_service,
                killed_share: args.killed_share,
                fault: Fault { loss: args.loss, delay: Micros::from_ms(args.delay_ms) },
                duration: Micros::from_ms(args.duration_s * 1e3),
            };
            print(&cold_start::run(&plan), args.json)
        }
    }
}
