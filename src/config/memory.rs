//! Division of the process's memory limit among what its peers can make it hold. What is left is for the program
//! itself, for the state of the dispatcher, and for the files of the state folder where these count as memory.

/// Largest body of an answer of discovery, however much memory there is.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Smallest limit of the answers of one endpoint connection.
const MIN_ANSWER_BYTES: u64 = 8 * 1024;

/// The most bytes that each kind of peer can make the process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// Buffers of all client connections.
    pub clients: usize,
    /// Buffers and incomplete messages of all publishers.
    pub publishers: usize,
    /// Buffers of all connections of the administration API.
    pub administration: usize,
    /// Body of an answer of discovery.
    pub endpoint_list: usize,
    /// Messages that are accepted and not ended.
    pub held_messages: u64,
    /// Answers of all endpoints that are received in part.
    endpoint_answers: u64,
}

impl MemoryShares {
    /// Divides a limit in bytes.
    pub fn of(limit: u64) -> MemoryShares {
        let part = |divisor: u64| usize::try_from(limit / divisor).unwrap_or(usize::MAX);
        MemoryShares {
            clients: part(8),
            publishers: part(8),
            administration: part(16),
            endpoint_list: part(16).min(MAX_LIST_BYTES),
            held_messages: limit / 8,
            endpoint_answers: limit / 8,
        }
    }

    /// Largest body of an endpoint's answer where `slots` calls are in progress at most; never above `most`.
    pub fn answer_bytes(&self, slots: u32, most: usize) -> usize {
        let each = (self.endpoint_answers / u64::from(slots.max(1))).max(MIN_ANSWER_BYTES);
        usize::try_from(each).unwrap_or(usize::MAX).min(most)
    }
}
