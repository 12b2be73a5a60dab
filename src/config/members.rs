//! The section `membership`: this forwarder's settings for the membership protocol of its fleet.

use super::document;
use super::problem::{Problem, Problems};
use super::secret::SecretText;
use crate::membership::{wire, Settings};
use crate::Micros;
use std::fmt::Display;
use std::net::SocketAddr;

/// A shorter key can be guessed.
const MIN_KEY_BYTES: usize = 16;
/// Each change waits for a majority of the voters.
const MAX_VOTERS: usize = 9;

/// Checked settings of the section, with defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// Name of this forwarder.
    pub name: String,
    /// Name of the cluster.
    pub cluster: String,
    /// Address to which the UDP socket is bound.
    pub listen: SocketAddr,
    /// Address at which the other members reach this forwarder.
    pub advertise: SocketAddr,
    /// Members that this forwarder asks in order to join.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by all members.
    pub key: Option<SecretText>,
    /// Interval between probes, each of one member.
    pub probe_interval: Micros,
    /// See [`Settings::suspicion_multiplier`].
    pub suspicion_multiplier: f64,
    /// Members that decide about maintenance; empty where no forwarder goes out for it.
    pub voters: Vec<String>,
}

impl Membership {
    /// Timing of the protocol: values that are not configured are derived from the probe interval.
    pub fn settings(&self) -> Settings {
        Settings {
            suspicion_multiplier: self.suspicion_multiplier,
            ..Settings::with_probe_interval(self.probe_interval)
        }
    }

    /// Passes each value with its key to `put`, except the secret.
    pub fn outline(&self, mut put: impl FnMut(&str, &dyn Display)) {
        put("name", &self.name);
        put("cluster", &self.cluster);
        put("listen", &self.listen);
        put("advertise", &self.advertise);
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        put("seeds", &seeds.join(" "));
        put("probe_interval_ms", &self.probe_interval.as_ms());
        put("suspicion_multiplier", &self.suspicion_multiplier);
        put("voters", &self.voters.join(" "));
    }
}

/// Checks the section and fills in defaults; adds what is wrong to `problems`.
pub fn read(problems: &mut Problems, section: &document::Membership, key: Option<SecretText>) -> Membership {
    for (at, name) in [("membership.name", &section.name), ("membership.cluster", &section.cluster)] {
        if name.is_empty() || name.len() > wire::MAX_NAME {
            let what = format!("{} bytes", name.len());
            problems.add(Problem::new(at, what, format!("write a name of 1 to {} bytes", wire::MAX_NAME)));
        }
    }
    if section.listen.port() == 0 {
        let remedy = "write a fixed port";
        problems.add(Problem::new("membership.listen", "port 0 is assigned by the system", remedy));
    }
    let advertise = section.advertise.unwrap_or(section.listen);
    if advertise.ip().is_unspecified() || advertise.port() == 0 {
        let remedy = "write the address at which the other members reach this forwarder";
        problems.add(Problem::new(
            "membership.advertise",
            format!("{advertise} is not a reachable address"),
            remedy,
        ));
    }
    if advertise.is_ipv4() != section.listen.is_ipv4() {
        let remedy = "use the same address family for both";
        problems.add(Problem::new(
            "membership.advertise",
            "address family differs from that of listen",
            remedy,
        ));
    }
    let seeds = section.seeds.clone().unwrap_or_default();
    for (index, seed) in seeds.iter().enumerate() {
        if seed.ip().is_unspecified() || seed.port() == 0 || seed.is_ipv4() != section.listen.is_ipv4() {
            let what = format!("{seed} cannot be sent to from {}", section.listen);
            problems.add(Problem::new(
                format!("membership.seeds[{index}]"),
                what,
                "write a member's address",
            ));
        }
    }
    // An empty secret is already among the problems.
    let is_short = |key: &&SecretText| (1..MIN_KEY_BYTES).contains(&key.reveal().len());
    if key.as_ref().filter(is_short).is_some() {
        let remedy = format!("generate at least {MIN_KEY_BYTES} bytes, the same for all members");
        problems.add(Problem::new("membership.key", "short enough to be guessed", remedy));
    }
    let voters = section.voters.clone().unwrap_or_default();
    if voters.len() > MAX_VOTERS {
        let what = format!("{} voters", voters.len());
        let remedy = format!("name at most {MAX_VOTERS}: three or five are enough for any fleet");
        problems.add(Problem::new("membership.voters", what, remedy));
    }
    for (index, voter) in voters.iter().enumerate() {
        let path = format!("membership.voters[{index}]");
        if voter.is_empty() || voter.len() > wire::MAX_NAME {
            let remedy = format!("write a name of 1 to {} bytes", wire::MAX_NAME);
            problems.add(Problem::new(path, format!("{} bytes", voter.len()), remedy));
        } else if voters[..index].contains(voter) {
            problems.add(Problem::new(path, "duplicate voter", "name each voter once"));
        }
    }
    Membership {
        name: section.name.clone(),
        cluster: section.cluster.clone(),
        listen: section.listen,
        advertise,
        seeds,
        key,
        probe_interval: Micros::from_ms(section.probe_interval_ms.unwrap_or(200.0)),
        suspicion_multiplier: section
            .suspicion_multiplier
            .unwrap_or(Settings::default().suspicion_multiplier),
        voters,
    }
}
