//! Plans the change from one model to another: reversible steps, and the changes that need a restart.

use super::model::{Model, Part, PartKind};
use super::problem::{Problem, Problems};
use crate::Effect;
use std::collections::HashMap;
use std::mem::discriminant;

/// The change of one part of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The part before the change.
    pub from: Part,
    /// The part after the change.
    pub to: Part,
}

impl Step {
    /// Which part the step changes.
    pub fn kind(&self) -> PartKind {
        self.to.kind()
    }

    /// The step that reverts this one.
    pub fn undo(&self) -> Step {
        Step { from: self.to.clone(), to: self.from.clone() }
    }

    /// Applies the step to a model.
    pub fn apply(&self, model: &mut Model) {
        debug_assert!(
            model.part(self.kind()) == self.from,
            "the model has the value that the step was planned from"
        );
        model.set_part(self.to.clone());
    }
}

/// Plans the steps from one model to another, or returns why a running process cannot make the change. The
/// cost is linear in the size of the models.
pub fn plan(from: &Model, to: &Model) -> Result<Vec<Step>, Problems> {
    let mut problems = Problems::default();
    if !from.part_equals(to, PartKind::Names) {
        problems.add(Problem::new(
            "platform",
            "kinds and zones cannot change while the process runs",
            "restart the process: endpoints refer to their kind and zone by index in these lists",
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
        let changed_effect =
            known.get(name.as_str()).filter(|effect| discriminant(*effect) != discriminant(&class.effect));
        if changed_effect.is_some() {
            problems.add(Problem::new(
                format!("classes[{name}].effect"),
                "cannot change while the process runs",
                "give the class a new name: messages accepted under the old effect are still held",
            ));
        }
    }
    let changed = PartKind::ALL.iter().filter(|kind| !from.part_equals(to, **kind));
    let steps = changed.map(|&kind| Step { from: from.part(kind), to: to.part(kind) }).collect();
    problems.into_result(steps)
}
