//! Start settings: `path=value` pairs, from the simulator's lines or from the JSON of a configuration file.
//! Unknown paths are skipped.

use crate::report::Report;
use crate::tenancy::Isolation;
use crate::{ClassSettings, Effect, KeyScope, KindSettings, Micros, Settings, Weights, WorthDecay};
use std::collections::BTreeMap;
use std::str::FromStr;

#[cfg(test)]
mod tests;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|value| !value.is_empty())
    }

    fn maybe<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        self.text(path).map(|value| read(path, value)).transpose()
    }

    fn needed<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let missing =
            || format!("settings: {path} is missing: add it, no deployment's figure stands in for it");
        self.maybe(path)?.ok_or_else(missing)
    }

    fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        self.text(path).map_or(Ok(Vec::new()), |v| v.split(',').map(|item| read(path, item)).collect())
    }

    /// Of something that there must be at least one of.
    fn some(&self, path: &str, count: u32) -> Result<u32, String> {
        if count == 0 {
            return Err(format!(
                "settings: {path} is 0, so that nothing could ever be sent: allow 1 at least"
            ));
        }
        Ok(count)
    }

    fn time(&self, path: &str) -> Result<Micros, String> {
        self.needed(path).map(Micros::from_ms)
    }

    fn time_or_zero(&self, path: &str) -> Result<Micros, String> {
        Ok(self.maybe(path)?.map_or(Micros(0), Micros::from_ms))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        Ok(self.maybe(path)?.unwrap_or(false))
    }
}

fn read<T: FromStr>(path: &str, value: &str) -> Result<T, String> {
    let kind = std::any::type_name::<T>();
    let kind = match kind {
        "f64" => "a number",
        "bool" => "true or false",
        _ if kind.starts_with('u') => "a whole number, not negative",
        _ => "a text",
    };
    value.parse().map_err(|_| format!("settings: {path} is \"{value}\": write {kind}"))
}

/// Reads all that the module is told at a start, from lines.
pub fn parse(info: &[u8]) -> Result<Settings, String> {
    let text = std::str::from_utf8(info).map_err(|error| format!("settings: not text: {error}"))?;
    from_pairs(text.lines().filter_map(|line| line.split_once('=')))
}

/// Where the figures of a report stand among those that come with an outcome.
pub fn report_indices(info: &[u8]) -> Option<(usize, usize)> {
    let mut lines = std::str::from_utf8(info).ok()?.lines();
    let names = lines.find_map(|line| line.strip_prefix("report.names="))?;
    Report::indices(names.split(','))
}

/// Nothing is told of isolation: each tenant has its part by its quota, beside the others'.
pub fn by_quota(quotas: &[f64]) -> Vec<Isolation> {
    let told = quotas.iter().all(|quota| *quota > 0.0);
    let weight = |&quota: &f64| if told { quota } else { 1.0 };
    quotas.iter().map(|quota| Isolation { weight: weight(quota), ..Isolation::default() }).collect()
}

/// The same from pairs of path and value.
pub fn from_pairs<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Settings, String> {
    let pairs = Pairs(pairs.collect());
    let classes = (0..pairs.needed::<usize>("requestClasses.count")?)
        .map(|index| class(&pairs, &format!("requestClasses.{index}.")))
        .collect::<Result<_, _>>()?;
    let batches = pairs.list::<u32>("domain.batchByKind")?;
    let apart = pairs.list::<bool>("domain.ownLimits")?;
    let kinds = (0..batches.len().max(apart.len()))
        .map(|index| KindSettings {
            separate_routes: apart.get(index).copied().unwrap_or(false),
            batch: batches.get(index).copied().unwrap_or(1),
        })
        .collect();
    let tenants: Vec<f64> = (0..pairs.maybe::<usize>("realms.count")?.unwrap_or(0))
        .map(|index| pairs.needed(&format!("realms.{index}.quotaPerS")))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        kinds,
        isolation: by_quota(&tenants),
        tenants,
        over_share_worth: pairs.maybe("overShareWorth")?.unwrap_or(1.0),
        weights: match pairs.text("weights") {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::Absent,
        },
        worth_decay: match pairs.text("domain.fades") {
            Some("halves") => WorthDecay::Halving,
            _ => WorthDecay::Linear,
        },
        forwarders: pairs.maybe("siblings")?.unwrap_or(1),
        slots: pairs.some("domain.callsOut", pairs.maybe("domain.callsOut")?.unwrap_or(u32::MAX))?,
        max_messages: pairs.maybe("policyLimits.maxOpen")?.unwrap_or(u32::MAX),
        max_attempts: pairs.some("policyLimits.maxAttempts", pairs.needed("policyLimits.maxAttempts")?)?,
        can_cancel: pairs.flag("policyLimits.cancelling")?,
        must_subscribe: pairs.text("registryMode") == Some("subscribe"),
        max_retry_after: pairs.time_or_zero("policyLimits.maxRetryAfterMs")?,
        connection_idle: pairs.time_or_zero("policyLimits.connIdleMs")?,
        drain_grace: pairs.time("contract.drainGraceMs")?,
        recovery_start_share: pairs.needed("contract.coldFrom")?,
        recovery_time: pairs.time("contract.coldMs")?,
        overload_multiple: pairs.needed("contract.fallMultiple")?,
        overload_window: pairs.time("contract.overloadForMs")?,
        key_backoff: pairs.time_or_zero("contract.keyRestMs")?,
    })
}

fn class(pairs: &Pairs, at: &str) -> Result<ClassSettings, String> {
    let path = |name: &str| format!("{at}{name}");
    let effect = match pairs.needed::<String>(&path("effect"))?.as_str() {
        "retryable" => Effect::Safe,
        "fragile" => Effect::Unsafe,
        "dedup" => Effect::Keyed {
            scope: match pairs.text(&path("keyScope")) {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Endpoint,
            },
            window: pairs.time(&path("windowMs"))?,
        },
        other => {
            let at = path("effect");
            return Err(format!("settings: {at} is \"{other}\": write retryable, dedup or fragile"));
        }
    };
    Ok(ClassSettings {
        effect,
        in_order: pairs.flag(&path("inOrder"))?,
        target_time: pairs.time(&path("objectiveMs"))?,
        deadline: pairs.time(&path("hardLimitMs"))?,
        worth: pairs.maybe(&path("worth"))?.unwrap_or(1.0),
        late_share: pairs.maybe(&path("lateShare"))?.unwrap_or(0.0),
    })
}
