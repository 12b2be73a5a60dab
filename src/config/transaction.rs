//! Applies a change atomically. First every step is prepared, which can fail; then the version is written;
//! then all steps are committed, which cannot fail. If a step fails before the commits, the prepared steps
//! are released in reverse order, and no part of the change has been in force.

use super::plan::Step;
use super::problem::Problem;

/// A point between two actions of the transaction, at which a test can abort the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Before a step is prepared.
    Prepare(usize),
    /// Before the version is written.
    Record,
    /// Before a step is committed.
    Commit(usize),
    /// Before a prepared step is released.
    Release(usize),
    /// After the last commit.
    Done,
}

/// The system that a change is applied to.
pub trait ChangeTarget {
    /// Resources of a prepared step, such as a bound listener or an open file. They are freed when dropped.
    type Prepared;

    /// Does everything in a step that can fail, without a visible effect.
    fn prepare(&mut self, step: &Step) -> Result<Self::Prepared, Problem>;

    /// Frees the resources of a prepared step that is not committed.
    fn release(&mut self, step: &Step, held: Self::Prepared);

    /// Writes the version; after that, a start runs the new version.
    fn record(&mut self) -> Result<(), Problem>;

    /// Puts a prepared step into effect. It cannot fail.
    fn commit(&mut self, step: &Step, held: Self::Prepared);

    /// Called at each point; does nothing by default.
    fn reach(&mut self, _: Point) {}
}

/// Applies all steps to a target, or none of them.
pub fn run<T: ChangeTarget>(target: &mut T, steps: &[Step]) -> Result<(), Problem> {
    let mut prepared: Vec<T::Prepared> = Vec::with_capacity(steps.len());
    let mut failure = None;
    for (index, step) in steps.iter().enumerate() {
        target.reach(Point::Prepare(index));
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
            let index = prepared.len();
            target.reach(Point::Release(index));
            target.release(&steps[index], held);
        }
        return Err(problem);
    }
    for (index, (step, held)) in steps.iter().zip(prepared).enumerate() {
        target.reach(Point::Commit(index));
        target.commit(step, held);
    }
    target.reach(Point::Done);
    Ok(())
}

impl Point {
    /// The name by which a test refers to the point: `prepare-0`, `record`, `commit-2`, ...
    pub fn name(self) -> String {
        match self {
            Point::Prepare(index) => format!("prepare-{index}"),
            Point::Record => "record".to_owned(),
            Point::Commit(index) => format!("commit-{index}"),
            Point::Release(index) => format!("release-{index}"),
            Point::Done => "done".to_owned(),
        }
    }
}
