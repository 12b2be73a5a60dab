//! From one model to another: the steps, each with its undo, and what cannot change in a running process.

use super::model::{Model, Part, PartKind};
use super::problem::{Problem, Problems};
use crate::Effect;
use std::collections::HashMap;
use std::mem::discriminant;

/// One part that changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// As it is.
    pub from: Part,
    /// As it shall be.
    pub to: Part,
}

impl Step {
    /// What it changes.
    pub fn kind(&self) -> PartKind {
        self.to.kind()
    }

    /// The step that takes it back.
    pub fn undo(&self) -> Step {
        Step { from: self.to.clone(), to: self.from.clone() }
    }

    /// Does it to a model.
    pub fn apply(&self, model: &mut Model) {
        debug_assert!(model.part(self.kind()) == self.from, "a step meets what it was made for");
        model.set_part(self.to.clone());
    }
}

/// The steps from one model to another, or why there is no way in a running process. Cost: the size of the models.
pub fn plan(from: &Model, to: &Model) -> Result<Vec<Step>, Problems> {
    let mut problems = Problems::default();
    if !from.part_equals(to, PartKind::Names) {
        problems.add(Problem::new(
            "platform",
            "kinds and zones cannot change while the process runs",
            "restart: real servers are known by their place in these lists",
        ));
    }
    let known: HashMap<&str, Effect> = from
        .core
        .classes
        .iter()
        .zip(&from.core.settings.classes)
        .map(|(n, c)| (n.as_str(), c.effect))
        .collect();
    for (name, class) in to.core.classes.iter().zip(&to.core.settings.classes) {
        let other =
            known.get(name.as_str()).filter(|effect| discriminant(*effect) != discriminant(&class.effect));
        if other.is_some() {
            problems.add(Problem::new(
                format!("classes[{name}].effect"),
                "cannot change while the process runs",
                "give the class a new name: what was taken on under the old effect is still held",
            ));
        }
    }
    let changed = PartKind::ALL.iter().filter(|kind| !from.part_equals(to, **kind));
    let steps = changed.map(|&kind| Step { from: from.part(kind), to: to.part(kind) }).collect();
    problems.into_result(steps)
}
