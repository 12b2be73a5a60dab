//! `cedarwharf lab ...`: experiments on an emulated fleet. Each prints its report as one JSON object.

use super::Exit;
use cedarwharf::lab::{cold_start, maintenance, membership, Fault};
use cedarwharf::membership::Settings;
use cedarwharf::Micros;
use clap::{Args, Subcommand};

#[derive(Subcommand)]
pub enum Experiment {
    /// Membership: time until a crash is detected, members wrongly declared dead, network traffic
    Membership(MembershipArgs),
    /// Cold start: calls to the list service, first connections at endpoints, time until forwarders are ready
    ColdStart(ColdStartArgs),
    /// Maintenance: forwarders out at once and duration of a plan, under crashes, stalls and partitions
    Maintenance(MaintenanceArgs),
}

#[derive(Args)]
pub struct MaintenanceArgs {
    /// Forwarders of the fleet; all of them go out of service once
    #[arg(long, default_value_t = 10)]
    forwarders: usize,
    /// Forwarders that are voters
    #[arg(long, default_value_t = 5)]
    voters: usize,
    /// Most forwarders that are out of service at once
    #[arg(long, default_value_t = 2)]
    at_once: u32,
    /// Seed of all random choices: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Faults to inject, separated by commas: crash, stall, partition
    #[arg(long, value_delimiter = ',', value_parser = ["crash", "stall", "partition"])]
    faults: Vec<String>,
    /// Share of the members' datagrams lost, 0 to 1
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay between members in milliseconds
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Longest time in seconds that each forwarder is out of service; the work takes 30% to 80% of it
    #[arg(long, default_value_t = 20.0)]
    window_s: f64,
    /// Longest simulated time after the request, in seconds
    #[arg(long, default_value_t = 3600.0)]
    duration_s: f64,
    /// Print the report on one line (by default it is indented)
    #[arg(long)]
    json: bool,
}

impl MaintenanceArgs {
    /// Checks the arguments and makes the experiment's plan of them.
    fn plan(&self) -> Result<maintenance::Plan, String> {
        let requirements = [
            (
                (1..=MAX_FORWARDERS).contains(&self.forwarders),
                format!("--forwarders must be 1 to {MAX_FORWARDERS}"),
            ),
            ((1..=self.forwarders).contains(&self.voters), "--voters must be 1 to --forwarders".to_owned()),
            (
                self.at_once > 0 && (self.at_once as usize) < self.forwarders,
                "--at-once must be above 0 and below --forwarders".to_owned(),
            ),
            ((0.0..=1.0).contains(&self.loss), "--loss must be 0 to 1".to_owned()),
            (
                self.window_s >= 1.0 && self.duration_s >= self.window_s,
                "--window-s must be 1 or more, and --duration-s at least --window-s".to_owned(),
            ),
        ];
        if let Some((_, problem)) = requirements.into_iter().find(|(met, _)| !met) {
            return Err(problem);
        }
        let fault = |name: &str| self.faults.iter().any(|fault| fault == name);
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
    /// Endpoints, which all forwarders call
    #[arg(long, default_value_t = 3)]
    endpoints: usize,
    /// Calls per second that each endpoint serves
    #[arg(long, default_value_t = 100.0)]
    capacity: f64,
    /// Connections that each endpoint accepts
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Submitted messages, as a share of the capacity of all endpoints
    #[arg(long, default_value_t = 0.5)]
    load: f64,
    /// Messages added to the journal of each killed forwarder, besides those in progress
    #[arg(long, default_value_t = 5)]
    held: usize,
    /// Endpoints that are down from the counted starts on
    #[arg(long, default_value_t = 0)]
    endpoints_out: usize,
    /// Seed of all random choices: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How the list service answers: live, slow, silent, refusing or partial
    #[arg(long, default_value = "live", value_parser = parse_list_service)]
    list_service: cold_start::Service,
    /// Share of a running fleet that is killed and restarted at once; 0: all forwarders start without state
    #[arg(long, default_value_t = 0.0)]
    killed_share: f64,
    /// Share of the members' datagrams lost, 0 to 1
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay between members in milliseconds
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Seconds of simulated time from the counted starts on
    #[arg(long, default_value_t = 15.0)]
    duration_s: f64,
    /// Print the report on one line (by default it is indented)
    #[arg(long)]
    json: bool,
}

fn parse_list_service(text: &str) -> Result<cold_start::Service, String> {
    use cold_start::Service;
    let services = [
        ("live", Service::Live),
        ("slow", Service::Slow),
        ("silent", Service::Silent),
        ("refusing", Service::Refusing),
        ("partial", Service::Partial),
    ];
    let service = services.into_iter().find(|(name, _)| *name == text);
    service
        .map(|(_, service)| service)
        .ok_or_else(|| "expected live, slow, silent, refusing or partial".to_owned())
}

/// Each forwarder has a simulated address of its own.
const MAX_FORWARDERS: usize = 4_096;

/// Prints the report of an experiment as one JSON object.
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
    /// Seed of all random choices: the same seed gives the same output
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Share of datagrams lost, 0 to 1 (0.05 is 5%)
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Mean one-way delay in milliseconds (each datagram takes 0.5 to 1.5 times the mean)
    #[arg(long, default_value_t = 1.0)]
    delay_ms: f64,
    /// Members that crash at the end of the warm-up
    #[arg(long, default_value_t = 1)]
    crash: usize,
    /// K:MS: K members are stopped for MS milliseconds, one second after the warm-up
    #[arg(long, value_parser = parse_stall)]
    stall: Option<(usize, f64)>,
    /// A/B:SECONDS: the first A members are cut off from the next B for SECONDS after the warm-up
    #[arg(long, value_parser = parse_partition)]
    partition: Option<(usize, usize, f64)>,
    /// Seconds for the fleet to join before faults begin
    #[arg(long, default_value_t = 10.0)]
    warmup_s: f64,
    /// Seconds of simulated time in total
    #[arg(long, default_value_t = 30.0)]
    duration_s: f64,
    /// Protocol period in milliseconds
    #[arg(long, default_value_t = 200.0)]
    probe_interval_ms: f64,
    /// Timeout of a direct probe in milliseconds
    #[arg(long, default_value_t = 100.0)]
    probe_timeout_ms: f64,
    /// Shortest suspicion timeout, as a multiple of log10(n) periods
    #[arg(long, default_value_t = 3.5)]
    suspicion_multiplier: f64,
    /// Print the report on one line (by default it is indented)
    #[arg(long)]
    json: bool,
}

fn parse_stall(text: &str) -> Result<(usize, f64), String> {
    let (count, ms) = text.split_once(':').ok_or("expected K:MS, such as 1:500")?;
    let count = count.parse().map_err(|_| "K must be a whole number")?;
    let ms: f64 = ms.parse().map_err(|_| "MS must be a number of milliseconds")?;
    (ms > 0.0 && ms.is_finite()).then_some((count, ms)).ok_or_else(|| "MS must be above 0".to_owned())
}

fn parse_partition(text: &str) -> Result<(usize, usize, f64), String> {
    let (groups, length) = text.split_once(':').ok_or("expected A/B:SECONDS, such as 20/10:30")?;
    let (a, b) = groups.split_once('/').ok_or("expected A/B:SECONDS, such as 20/10:30")?;
    let a = a.parse().map_err(|_| "A must be a whole number")?;
    let b = b.parse().map_err(|_| "B must be a whole number")?;
    let length: f64 = length.parse().map_err(|_| "SECONDS must be a number")?;
    (length > 0.0 && length.is_finite())
        .then_some((a, b, length))
        .ok_or_else(|| "SECONDS must be above 0".to_owned())
}

/// Runs an experiment and prints its report.
pub fn run(experiment: Experiment) -> Exit {
    match experiment {
        Experiment::Membership(args) => {
            if let Some((a, b, _)) = args.partition {
                if a + b != args.members || a == 0 || b == 0 {
                    eprintln!(
                        "cedarwharf lab membership: --partition {a}/{b} must split all {} members into two groups",
                        args.members
                    );
                    return Exit::Problems;
                }
            }
            if !(0.0..=1.0).contains(&args.loss) || args.members == 0 || args.duration_s <= args.warmup_s {
                eprintln!("cedarwharf lab membership: --loss must be 0 to 1, --members above 0, --duration-s above --warmup-s");
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
            let shares_valid = [args.loss, args.killed_share].iter().all(|share| (0.0..=1.0).contains(share));
            let quantities_valid = args.duration_s > 0.0 && args.capacity > 0.0 && args.load >= 0.0;
            if !shares_valid
                || !quantities_valid
                || args.forwarders == 0
                || args.endpoints == 0
                || args.forwarders > MAX_FORWARDERS
            {
                eprintln!("cedarwharf lab cold-start: --loss and --killed-share must be 0 to 1, --forwarders 1 to {MAX_FORWARDERS}, --endpoints, --capacity and --duration-s above 0");
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
