//! The section `membership`: this forwarder among the others of its fleet.

use super::document;
use super::problem::{Problem, Problems};
use super::secret::Opened;
use crate::membership::{wire, Settings};
use crate::Micros;
use std::fmt::Display;
use std::net::SocketAddr;

/// Bytes of a key at least: a shorter one can be guessed.
const SHORTEST_KEY: usize = 16;
/// Each change waits for a majority of them.
const MOST_VOTERS: usize = 9;

/// See the module's text.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    /// This forwarder's name.
    pub name: String,
    /// The cluster's.
    pub cluster: String,
    /// Where the socket is bound.
    pub listen: SocketAddr,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Who is asked to let it in.
    pub seeds: Vec<SocketAddr>,
    /// Shared by all members.
    pub key: Option<Opened>,
    /// One member is probed in so long.
    pub probe_interval: Micros,
    /// See [`Settings::suspicion_multiplier`].
    pub suspicion_multiplier: f64,
    /// Who settles maintenance; nobody where empty.
    pub voters: Vec<String>,
}

impl Membership {
    /// The protocol's pace: what is not told follows the probe interval.
    pub fn settings(&self) -> Settings {
        Settings {
            suspicion_multiplier: self.suspicion_multiplier,
            ..Settings::with_probe_interval(self.probe_interval)
        }
    }

    /// Its values by key, but for the secret.
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

/// Reads the section; what is wrong with it is told.
pub fn read(problems: &mut Problems, told: &document::Membership, key: Option<Opened>) -> Membership {
    for (at, name) in [("membership.name", &told.name), ("membership.cluster", &told.cluster)] {
        if name.is_empty() || name.len() > wire::MAX_NAME {
            let what = format!("{} bytes", name.len());
            problems.add(Problem::new(at, what, format!("write a name of 1 to {} bytes", wire::MAX_NAME)));
        }
    }
    if told.listen.port() == 0 {
        let remedy = "write the port that the others are told";
        problems.add(Problem::new("membership.listen", "a port that the system draws", remedy));
    }
    let advertise = told.advertise.unwrap_or(told.listen);
    if advertise.ip().is_unspecified() || advertise.port() == 0 {
        let remedy = "write the address at which the others reach this forwarder";
        problems.add(Problem::new("membership.advertise", format!("{advertise} reaches nobody"), remedy));
    }
    if advertise.is_ipv4() != told.listen.is_ipv4() {
        let remedy = "bind and advertise one family of addresses";
        problems.add(Problem::new("membership.advertise", "another family than listen", remedy));
    }
    let seeds = told.seeds.clone().unwrap_or_default();
    for (place, seed) in seeds.iter().enumerate() {
        if seed.ip().is_unspecified() || seed.port() == 0 || seed.is_ipv4() != told.listen.is_ipv4() {
            let what = format!("{seed} cannot be sent to from {}", told.listen);
            problems.add(Problem::new(
                format!("membership.seeds[{place}]"),
                what,
                "write a member's address",
            ));
        }
    }
    // An empty secret was told already.
    let short = |key: &&Opened| (1..SHORTEST_KEY).contains(&key.reveal().len());
    if key.as_ref().filter(short).is_some() {
        let remedy = format!("draw {SHORTEST_KEY} bytes or more, the same for all members");
        problems.add(Problem::new("membership.key", "short enough to be guessed", remedy));
    }
    let voters = told.voters.clone().unwrap_or_default();
    if voters.len() > MOST_VOTERS {
        let what = format!("{} voters", voters.len());
        let remedy = format!("name {MOST_VOTERS} at the most: three or five are enough for any fleet");
        problems.add(Problem::new("membership.voters", what, remedy));
    }
    for (place, voter) in voters.iter().enumerate() {
        let path = format!("membership.voters[{place}]");
        if voter.is_empty() || voter.len() > wire::MAX_NAME {
            let remedy = format!("write a name of 1 to {} bytes", wire::MAX_NAME);
            problems.add(Problem::new(path, format!("{} bytes", voter.len()), remedy));
        } else if voters[..place].contains(voter) {
            problems.add(Problem::new(path, "the same as another voter", "name each once"));
        }
    }
    Membership {
        name: told.name.clone(),
        cluster: told.cluster.clone(),
        listen: told.listen,
        advertise,
        seeds,
        key,
        probe_interval: Micros::from_ms(told.probe_interval_ms.unwrap_or(200.0)),
        suspicion_multiplier: told.suspicion_multiplier.unwrap_or(Settings::default().suspicion_multiplier),
        voters,
    }
}
