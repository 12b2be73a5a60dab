//! What operators' staff are told of each class, counted where the transition happens, from 0 in each process.

/// Counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Messages delivered.
    pub succeeded: u64,
    /// Messages turned down when they were handed in, or handed back later.
    pub declined: u64,
    /// Messages that failed.
    pub aborted: u64,
    /// Messages written whole to real servers, each time.
    pub forwards: u64,
}
