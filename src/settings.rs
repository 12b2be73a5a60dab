//! Reads the dispatcher's [`Settings`] from `path=value` pairs: lines of the simulator or the JSON of a
//! configuration file. Unknown paths are ignored.

use crate::report::Report;
use crate::tenancy::Isolation;
use crate::{ClassSettings, Effect, KeyScope, KindSettings, Micros, Settings, Weights, WorthDecay};
use std::collections::BTreeMap;
use std::str::FromStr;

#[cfg(test)]
mod tests;

/// Settings by path.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied().filter(|value| !value.is_empty())
    }

    fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        self.text(path).map(|value| parse_value(path, value)).transpose()
    }

    fn required<T: FromStr>(&self, path: &str) -> Result<T, String> {
        let missing = || format!("settings: {path} is missing: add it, there is no default value");
        self.optional(path)?.ok_or_else(missing)
    }

    fn list<T: FromStr>(&self, path: &str) -> Result<Vec<T>, String> {
        self.text(path).map_or(Ok(Vec::new()), |v| v.split(',').map(|item| parse_value(path, item)).collect())
    }

    /// Rejects a count of zero.
    fn at_least_one(&self, path: &str, count: u32) -> Result<u32, String> {
        if count == 0 {
            return Err(format!(
                "settings: {path} is 0, so that nothing could ever be sent: allow 1 at least"
            ));
        }
        Ok(count)
    }

    fn time(&self, path: &str) -> Result<Micros, String> {
        self.required(path).map(Micros::from_ms)
    }

    fn time_or_zero(&self, path: &str) -> Result<Micros, String> {
        Ok(self.optional(path)?.map_or(Micros(0), Micros::from_ms))
    }

    fn flag(&self, path: &str) -> Result<bool, String> {
        Ok(self.optional(path)?.unwrap_or(false))
    }
}

fn parse_value<T: FromStr>(path: &str, value: &str) -> Result<T, String> {
    let kind = std::any::type_name::<T>();
    let kind = match kind {
        "f64" => "a number",
        "bool" => "true or false",
        _ if kind.starts_with('u') => "a whole number, not negative",
        _ => "a text",
    };
    value.parse().map_err(|_| format!("settings: {path} is \"{value}\": write {kind}"))
}

/// Parses settings from lines of `path=value`.
pub fn parse(info: &[u8]) -> Result<Settings, String> {
    let text = std::str::from_utf8(info).map_err(|error| format!("settings: not text: {error}"))?;
    from_pairs(text.lines().filter_map(|line| line.split_once('=')))
}

/// Indices of a report's two numbers among the numbers that accompany an attempt outcome.
pub fn report_indices(info: &[u8]) -> Option<(usize, usize)> {
    let mut lines = std::str::from_utf8(info).ok()?.lines();
    let names = lines.find_map(|line| line.strip_prefix("report.names="))?;
    Report::indices(names.split(','))
}

/// Isolation of tenants without explicit shares: each tenant's weight is its quota, or 1 for all tenants
/// where a quota is zero.
pub fn isolation_from_quotas(quotas: &[f64]) -> Vec<Isolation> {
    let all_positive = quotas.iter().all(|quota| *quota > 0.0);
    let weight = |&quota: &f64| if all_positive { quota } else { 1.0 };
    quotas.iter().map(|quota| Isolation { weight: weight(quota), ..Isolation::default() }).collect()
}

/// Builds settings from pairs of path and value.
pub fn from_pairs<'a>(pairs: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Settings, String> {
    let pairs = Pairs(pairs.collect());
    let classes = (0..pairs.required::<usize>("requestClasses.count")?)
        .map(|index| parse_class(&pairs, &format!("requestClasses.{index}.")))
        .collect::<Result<_, _>>()?;
    let batches = pairs.list::<u32>("domain.batchByKind")?;
    let separate_routes = pairs.list::<bool>("domain.ownLimits")?;
    let kinds = (0..batches.len().max(separate_routes.len()))
        .map(|index| KindSettings {
            separate_routes: separate_routes.get(index).copied().unwrap_or(false),
            batch: batches.get(index).copied().unwrap_or(1),
        })
        .collect();
    let tenants: Vec<f64> = (0..pairs.optional::<usize>("realms.count")?.unwrap_or(0))
        .map(|index| pairs.required(&format!("realms.{index}.quotaPerS")))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        kinds,
        isolation: isolation_from_quotas(&tenants),
        tenants,
        over_share_worth: pairs.optional("overShareWorth")?.unwrap_or(1.0),
        weights: match pairs.text("weights") {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            _ => Weights::Absent,
        },
        worth_decay: match pairs.text("domain.fades") {
            Some("halves") => WorthDecay::Halving,
            _ => WorthDecay::Linear,
        },
        forwarders: pairs.optional("siblings")?.unwrap_or(1),
        slots: pairs
            .at_least_one("domain.callsOut", pairs.optional("domain.callsOut")?.unwrap_or(u32::MAX))?,
        max_messages: pairs.optional("policyLimits.maxOpen")?.unwrap_or(u32::MAX),
        max_attempts: pairs
            .at_least_one("policyLimits.maxAttempts", pairs.required("policyLimits.maxAttempts")?)?,
        can_cancel: pairs.flag("policyLimits.cancelling")?,
        must_subscribe: pairs.text("registryMode") == Some("subscribe"),
        max_retry_after: pairs.time_or_zero("policyLimits.maxRetryAfterMs")?,
        connection_idle: pairs.time_or_zero("policyLimits.connIdleMs")?,
        drain_grace: pairs.time("contract.drainGraceMs")?,
        recovery_start_share: pairs.required("contract.coldFrom")?,
        recovery_time: pairs.time("contract.coldMs")?,
        overload_multiple: pairs.required("contract.fallMultiple")?,
        overload_window: pairs.time("contract.overloadForMs")?,
        key_backoff: pairs.time_or_zero("contract.keyRestMs")?,
    })
}

fn parse_class(pairs: &Pairs, prefix: &str) -> Result<ClassSettings, String> {
    let path = |name: &str| format!("{prefix}{name}");
    let effect = match pairs.required::<String>(&path("effect"))?.as_str() {
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
            let effect_path = path("effect");
            return Err(format!("settings: {effect_path} is \"{other}\": write retryable, dedup or fragile"));
        }
    };
    Ok(ClassSettings {
        effect,
        in_order: pairs.flag(&path("inOrder"))?,
        target_time: pairs.time(&path("objectiveMs"))?,
        deadline: pairs.time(&path("hardLimitMs"))?,
        worth: pairs.optional(&path("worth"))?.unwrap_or(1.0),
        late_share: pairs.optional(&path("lateShare"))?.unwrap_or(0.0),
    })
}
