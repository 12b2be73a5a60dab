//! A change is put in force whole or not at all. Every step that can fail is prepared first; then the version is
//! written; then all steps are committed, which cannot fail. Before that point everything prepared is let go in
//! reverse order, and nothing of the change was ever in force.

use super::plan::Step;
use super::problem::Problem;

/// A place between two of the transaction's deeds; a test ends the process there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Before a step is prepared.
    Prepare(usize),
    /// Before the version is written.
    Record,
    /// Before a step is committed.
    Commit(usize),
    /// Before a prepared step is let go.
    Release(usize),
    /// After all of it.
    Done,
}

/// What a change is put in force on.
pub trait ChangeTarget {
    /// What a prepared step holds: a bound listener, an opened file. Dropping it lets go of it.
    type Prepared;

    /// Does all of a step that can fail, and changes nothing that anybody sees.
    fn prepare(&mut self, step: &Step) -> Result<Self::Prepared, Problem>;

    /// Lets go of a prepared step.
    fn release(&mut self, step: &Step, held: Self::Prepared);

    /// Writes the version: from here on, a start runs it.
    fn record(&mut self) -> Result<(), Problem>;

    /// Puts a prepared step in force.
    fn commit(&mut self, step: &Step, held: Self::Prepared);

    /// Passes a point.
    fn reach(&mut self, _: Point) {}
}

/// Puts steps in force on a target, or none of them.
pub fn run<G: ChangeTarget>(target: &mut G, steps: &[Step]) -> Result<(), Problem> {
    let mut prepared: Vec<G::Prepared> = Vec::with_capacity(steps.len());
    let mut failure = None;
    for (place, step) in steps.iter().enumerate() {
        target.reach(Point::Prepare(place));
        match target.prepare(step) {
            Ok(held) => prepared.push(held),
            Err(problem) => {
                failure = Some(problem);
                break;
            }
        }
    }
    if failure.is_none() {
        target.reach(Point::Record);
        failure = target.record().err();
    }
    if let Some(problem) = failure {
        while let Some(held) = prepared.pop() {
            let place = prepared.len();
            target.reach(Point::Release(place));
            target.release(&steps[place], held);
        }
        return Err(problem);
    }
    for (place, (step, held)) in steps.iter().zip(prepared).enumerate() {
        target.reach(Point::Commit(place));
        target.commit(step, held);
    }
    target.reach(Point::Done);
    Ok(())
}

impl Point {
    /// Its name, as a test gives it: `prepare-0`, `record`, `commit-2`, ...
    pub fn name(self) -> String {
        match self {
            Point::Prepare(place) => format!("prepare-{place}"),
            Point::Record => "record".to_owned(),
            Point::Commit(place) => format!("commit-{place}"),
            Point::Release(place) => format!("release-{place}"),
            Point::Done => "done".to_owned(),
        }
    }
}
