//! Message counts of each class for operators. Each is counted where the transition happens and starts at 0
//! in each process.

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages delivered.
    pub succeeded: u64,
    /// Messages rejected on submission, and messages deferred later.
    pub declined: u64,
    /// Messages that failed.
    pub aborted: u64,
    /// Messages written completely to endpoints; each attempt counts.
    pub forwards: u64,
}
