//! The text of the platform's settings that [`Model::outline`](super::model::Model::outline) hashes into the
//! digest of a version.
//!
//! The digest is stored in the state folder and compared at the next start, also by a newer build. The text
//! therefore keeps the names and the layout from when it was the derived `Debug` output of the settings, and
//! does not follow the names in the source. If the text changed, the first start of a new build would write a
//! version although no setting changed.

use crate::net::list::Names;
use crate::{KindSettings, Micros, Settings, Weights, WorthDecay};
use std::fmt::{self, Debug, Formatter};

/// Returns the text to hash. Settings that an operators' file can override have the same value in every text:
/// the outline contains them under paths of their own.
pub(super) fn platform_text(settings: &Settings, names: &Names) -> String {
    format!("{:?} {:?}", StoredSettings(settings), StoredNames(names))
}

struct StoredSettings<'a>(&'a Settings);

impl Debug for StoredSettings<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Settings {
            classes: _,
            kinds,
            weights,
            worth_decay,
            tenants: _,
            isolation: _,
            over_share_worth,
            forwarders,
            slots: _,
            max_messages: _,
            max_attempts: _,
            can_cancel,
            must_subscribe,
            max_retry_after: _,
            connection_idle: _,
            drain_grace,
            recovery_start_share,
            recovery_time,
            overload_multiple,
            overload_window,
            key_backoff,
        } = self.0;
        let kinds: Vec<_> = kinds.iter().map(StoredKind).collect();
        f.debug_struct("Settings")
            .field("classes", &Empty)
            .field("kinds", &kinds)
            .field("weights", &StoredWeights(*weights))
            .field("fade", &StoredWorthDecay(*worth_decay))
            .field("tenants", &Empty)
            .field("isolation", &Empty)
            .field("over_share_worth", over_share_worth)
            .field("senders", forwarders)
            .field("slots", &0)
            .field("max_open", &0)
            .field("max_attempts", &0)
            .field("cancels", can_cancel)
            .field("must_subscribe", must_subscribe)
            .field("max_retry_after", &StoredMicros(Micros(0)))
            .field("connection_idle", &StoredMicros(Micros(0)))
            .field("drain_grace", &StoredMicros(*drain_grace))
            .field("cold_from", recovery_start_share)
            .field("cold_time", &StoredMicros(*recovery_time))
            .field("fall_multiple", overload_multiple)
            .field("fall_window", &StoredMicros(*overload_window))
            .field("key_rest", &StoredMicros(*key_backoff))
            .finish()
    }
}

/// A list whose items are part of the outline elsewhere.
struct Empty;

impl Debug for Empty {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.debug_list().finish()
    }
}

struct StoredKind<'a>(&'a KindSettings);

impl Debug for StoredKind<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let KindSettings { separate_routes, batch } = self.0;
        f.debug_struct("KindSettings").field("routes_apart", separate_routes).field("batch", batch).finish()
    }
}

struct StoredWeights(Weights);

impl Debug for StoredWeights {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self.0 {
            Weights::Absent => "Absent",
            Weights::Nominal => "Nominal",
            Weights::Rough => "Rough",
        })
    }
}

struct StoredWorthDecay(WorthDecay);

impl Debug for StoredWorthDecay {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self.0 {
            WorthDecay::Linear => "Line",
            WorthDecay::Halving => "Halves",
        })
    }
}

struct StoredMicros(Micros);

impl Debug for StoredMicros {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Micros(us) = self.0;
        f.debug_tuple("Micros").field(&us).finish()
    }
}

struct StoredNames<'a>(&'a Names);

impl Debug for StoredNames<'_> {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let Names { kinds, zones } = self.0;
        f.debug_struct("Names").field("kinds", kinds).field("zones", zones).finish()
    }
}
