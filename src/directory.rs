//! Names of classes and tenants, with their indices in a process and their permanent numbers.
//!
//! An *index* points into the settings of the engine and of the dispatcher. It is assigned once in a process
//! and never refers to another name. A name that leaves the configuration keeps its index, inactive, for the
//! messages that are still held under it. A *number* identifies a name in the journal. It is never reused
//! within a state folder, whatever the order of the lists in the configuration.
//!
//! Cost: one hash look-up for a name or a number; a configuration change costs the size of its lists.

use crate::config::model::Core;
use crate::tenancy::Isolation;
use crate::{ClassSettings, Micros, Settings};
use std::collections::HashMap;

/// Largest number of names in the lifetime of a process. A restart forgets the inactive ones.
pub const MAX_NAMES: usize = 50_000;

/// A name and its number, as declared in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedName {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: String,
}

/// The names of all classes or of all tenants.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    /// By index: the name, and whether it is in the configuration.
    entries: Vec<(NumberedName, bool)>,
    by_name: HashMap<String, usize>,
    by_number: HashMap<u32, usize>,
    next_number: u32,
    bytes: u64,
}

impl NameTable {
    /// The index of a name that is in the configuration.
    pub fn active_index(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied().filter(|&index| self.is_active(index))
    }

    /// The index of a number, also of an inactive name.
    pub fn index_of(&self, number: u32) -> Option<usize> {
        self.by_number.get(&number).copied()
    }

    /// The number of the name at an index.
    pub fn number(&self, index: usize) -> u32 {
        self.entries.get(index).map_or(u32::MAX, |(named, _)| named.number)
    }

    /// The name at an index, also an inactive one.
    pub fn name(&self, index: usize) -> &str {
        self.entries.get(index).map_or("", |(named, _)| &named.name)
    }

    /// Whether the name at an index is in the configuration.
    pub fn is_active(&self, index: usize) -> bool {
        self.entries.get(index).is_some_and(|(_, active)| *active)
    }

    /// Approximate size of the names in the journal, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of indices assigned so far.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no index has been assigned.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All names with their numbers by index, and whether each is in the configuration.
    pub fn iter(&self) -> impl Iterator<Item = (&NumberedName, bool)> {
        self.entries.iter().map(|(named, active)| (named, *active))
    }

    /// The indices of the names that are in the configuration.
    pub fn active(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.entries.len()).filter(|&index| self.is_active(index))
    }

    /// Adds a name declared in the journal. A name or number that is already known is left unchanged.
    pub fn declare(&mut self, named: NumberedName) {
        self.next_number = self.next_number.max(named.number.saturating_add(1));
        if !self.by_number.contains_key(&named.number) && !self.by_name.contains_key(&named.name) {
            self.add(named);
        }
    }

    fn add(&mut self, named: NumberedName) -> usize {
        let index = self.entries.len();
        self.bytes += named.name.len() as u64 + 32;
        self.by_name.insert(named.name.clone(), index);
        self.by_number.insert(named.number, index);
        self.entries.push((named, false));
        index
    }

    /// Makes exactly these names active. Returns the new ones.
    pub fn configure(&mut self, names: &[String]) -> Vec<NumberedName> {
        for (_, active) in &mut self.entries {
            *active = false;
        }
        let mut new_names = Vec::new();
        for name in names {
            let index = match self.by_name.get(name) {
                Some(&index) => index,
                None => {
                    let named = NumberedName { number: self.next_number, name: name.clone() };
                    self.next_number += 1;
                    new_names.push(named.clone());
                    self.add(named)
                }
            };
            self.entries[index].1 = true;
        }
        new_names
    }

    /// Number of indices after [`Self::configure`] with these names.
    pub fn len_with(&self, names: &[String]) -> usize {
        self.entries.len() + names.iter().filter(|name| !self.by_name.contains_key(*name)).count()
    }
}

/// The names of all classes and tenants.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Classes.
    pub classes: NameTable,
    /// Tenants. A configuration without tenants has a single one with the empty name.
    pub tenants: NameTable,
    /// The deadline of the class at each index, for messages that specify none.
    pub deadlines: Vec<Micros>,
}

impl Directory {
    /// The index of a request's tenant. Where the configuration has no tenants, the index of the single
    /// unnamed one.
    pub fn tenant_index(&self, name: Option<&str>) -> Option<usize> {
        self.tenants.active_index("").or_else(|| self.tenants.active_index(name?))
    }

    /// Applies a configuration. Returns the dispatcher's settings, with a class and a quota at each index,
    /// and the new names of classes and of tenants. An inactive class keeps its previous settings.
    pub fn configure(
        &mut self,
        core: &Core,
        previous: Option<&Settings>,
    ) -> (Settings, Vec<NumberedName>, Vec<NumberedName>) {
        let single_tenant = [String::new()];
        let tenants = if core.tenants.is_empty() { &single_tenant[..] } else { &core.tenants[..] };
        let new_classes = self.classes.configure(&core.classes);
        let new_tenants = self.tenants.configure(tenants);
        let mut settings = core.settings.clone();
        let previous_class =
            |index: usize| previous.and_then(|previous| previous.classes.get(index)).cloned();
        settings.classes =
            (0..self.classes.len()).map(|index| previous_class(index).unwrap_or(REMOVED_CLASS)).collect();
        for (name, class) in core.classes.iter().zip(&core.settings.classes) {
            if let Some(index) = self.classes.active_index(name) {
                settings.classes[index] = class.clone();
            }
        }
        settings.isolation = vec![Isolation::REMOVED; self.tenants.len()];
        for (configured, name) in tenants.iter().enumerate() {
            if let Some(index) = self.tenants.active_index(name) {
                settings.isolation[index] =
                    core.settings.isolation.get(configured).copied().unwrap_or_default();
            }
        }
        if !core.settings.tenants.is_empty() {
            settings.tenants = vec![0.0; self.tenants.len()];
            for (name, quota) in tenants.iter().zip(&core.settings.tenants) {
                if let Some(index) = self.tenants.active_index(name) {
                    settings.tenants[index] = *quota;
                }
            }
        }
        self.deadlines = settings.classes.iter().map(|class| class.deadline).collect();
        (settings, new_classes, new_tenants)
    }
}

/// Settings of a class of which only the name is known: none of its messages is accepted, and those in the
/// journal go on with the effect and the deadline that they were accepted with.
const REMOVED_CLASS: ClassSettings = ClassSettings {
    effect: crate::Effect::Unsafe,
    in_order: false,
    target_time: Micros(0),
    deadline: Micros(0),
    worth: 0.0,
    late_share: 0.0,
};

#[cfg(test)]
mod tests;
