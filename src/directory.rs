//! Names of classes and tenants, their places in a process, and their numbers for good.
//!
//! A *place* is an index into the settings that the core and the module hold. It is given once in a process and never
//! means another name; a name that leaves the configuration keeps its place, retired, for what is still held under it.
//! A *number* is what the journal knows a name by. It is never given again within a folder, whatever the order of the
//! lists in the configuration.
//!
//! Cost: one hash look-up for a name or a number; a change of the configuration costs the size of its lists.

use crate::config::model::Core;
use crate::tenancy::Isolation;
use crate::{ClassSettings, Micros, Settings};
use std::collections::HashMap;

/// Names that one process can have known at most. Beyond, a restart forgets those that are retired.
pub const MAX_NAMES: usize = 50_000;

/// A name and its number, as the journal declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedName {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
}

/// The names of one kind.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    places: Vec<(NumberedName, bool)>,
    by_name: HashMap<String, usize>,
    by_number: HashMap<u32, usize>,
    next: u32,
    bytes: u64,
}

impl NameTable {
    /// The place of a name that is in the configuration.
    pub fn active_index(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied().filter(|&place| self.is_active(place))
    }

    /// The place of a number, also a retired one.
    pub fn index_of(&self, number: u32) -> Option<usize> {
        self.by_number.get(&number).copied()
    }

    /// The number of a place.
    pub fn number(&self, place: usize) -> u32 {
        self.places.get(place).map_or(u32::MAX, |(named, _)| named.number)
    }

    /// The name at a place, also a retired one.
    pub fn name(&self, place: usize) -> &str {
        self.places.get(place).map_or("", |(named, _)| &named.name)
    }

    /// Whether the name at a place is in the configuration.
    pub fn is_active(&self, place: usize) -> bool {
        self.places.get(place).is_some_and(|(_, active)| *active)
    }

    /// Bytes that the names take in the journal, about.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Places given so far.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// None given.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// All names with their numbers, in the order of places, and whether each is in the configuration.
    pub fn iter(&self) -> impl Iterator<Item = (&NumberedName, bool)> {
        self.places.iter().map(|(named, active)| (named, *active))
    }

    /// The places whose names are in the configuration.
    pub fn active(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.places.len()).filter(|&place| self.is_active(place))
    }

    /// The journal names a number. A name or number that is known already stays as it is.
    pub fn declare(&mut self, named: NumberedName) {
        self.next = self.next.max(named.number.saturating_add(1));
        if !self.by_number.contains_key(&named.number) && !self.by_name.contains_key(&named.name) {
            self.add(named);
        }
    }

    fn add(&mut self, named: NumberedName) -> usize {
        let place = self.places.len();
        self.bytes += named.name.len() as u64 + 32;
        self.by_name.insert(named.name.clone(), place);
        self.by_number.insert(named.number, place);
        self.places.push((named, false));
        place
    }

    /// These names are in the configuration from now on, and no others. What is new is told.
    pub fn configure(&mut self, names: &[String]) -> Vec<NumberedName> {
        for (_, active) in &mut self.places {
            *active = false;
        }
        let mut fresh = Vec::new();
        for name in names {
            let place = match self.by_name.get(name) {
                Some(&place) => place,
                None => {
                    let named = NumberedName { number: self.next, name: name.clone() };
                    self.next += 1;
                    fresh.push(named.clone());
                    self.add(named)
                }
            };
            self.places[place].1 = true;
        }
        fresh
    }

    /// How many places there would be with these names.
    pub fn len_with(&self, names: &[String]) -> usize {
        self.places.len() + names.iter().filter(|name| !self.by_name.contains_key(*name)).count()
    }
}

/// All names.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Classes.
    pub classes: NameTable,
    /// Tenants. Where there is only one, without a name, it is the empty name.
    pub tenants: NameTable,
    /// The deadline of the class at each place: a message's, where it tells none.
    pub deadlines: Vec<Micros>,
}

impl Directory {
    /// The place of the tenant of a request: the only one, where the configuration names none.
    pub fn tenant_index(&self, name: Option<&str>) -> Option<usize> {
        self.tenants.active_index("").or_else(|| self.tenants.active_index(name?))
    }

    /// Takes a configuration over: settings as the core needs them, a class and a quota at each place, and the names
    /// that are new. What is retired keeps the settings that it had.
    pub fn configure(
        &mut self,
        core: &Core,
        before: Option<&Settings>,
    ) -> (Settings, Vec<NumberedName>, Vec<NumberedName>) {
        let alone = [String::new()];
        let tenants = if core.tenants.is_empty() { &alone[..] } else { &core.tenants[..] };
        let fresh_classes = self.classes.configure(&core.classes);
        let fresh_tenants = self.tenants.configure(tenants);
        let mut settings = core.settings.clone();
        let kept = |place: usize| before.and_then(|before| before.classes.get(place)).cloned();
        settings.classes = (0..self.classes.len()).map(|place| kept(place).unwrap_or(GONE)).collect();
        for (name, class) in core.classes.iter().zip(&core.settings.classes) {
            if let Some(place) = self.classes.active_index(name) {
                settings.classes[place] = class.clone();
            }
        }
        settings.isolation = vec![Isolation::REMOVED; self.tenants.len()];
        for (place, name) in tenants.iter().enumerate() {
            if let Some(to) = self.tenants.active_index(name) {
                settings.isolation[to] = core.settings.isolation.get(place).copied().unwrap_or_default();
            }
        }
        if !core.settings.tenants.is_empty() {
            settings.tenants = vec![0.0; self.tenants.len()];
            for (name, quota) in tenants.iter().zip(&core.settings.tenants) {
                if let Some(place) = self.tenants.active_index(name) {
                    settings.tenants[place] = *quota;
                }
            }
        }
        self.deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        (settings, fresh_classes, fresh_tenants)
    }
}

/// A class of which only the name is left: nothing is taken on under it, and what the journal holds of it is ended.
const GONE: ClassSettings = ClassSettings {
    effect: crate::Effect::Unsafe,
    in_order: false,
    target_time: Micros(0),
    deadline: Micros(0),
    worth: 0.0,
    late_share: 0.0,
};

#[cfg(test)]
mod tests;
