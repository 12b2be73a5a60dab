//! Protection against replayed datagrams.

use super::super::wire::DropReason;

/// Packet sequence numbers received from one generation of a sender: the highest and a window of 64 numbers
/// that ends with it.
#[derive(Clone, Copy)]
pub(super) struct ReplayWindow {
    generation: u64,
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// A window that starts with the sender's first datagram.
    pub(super) fn starting_at(generation: u64, seq: u64) -> ReplayWindow {
        ReplayWindow { generation, highest: seq, received: 1 }
    }

    /// Records a datagram, unless its generation is older or its sequence number was received before.
    pub(super) fn accept(&mut self, generation: u64, seq: u64) -> Result<(), DropReason> {
        if generation < self.generation {
            return Err(DropReason::Stale);
        }
        if generation > self.generation {
            *self = ReplayWindow::starting_at(generation, seq);
            return Ok(());
        }
        if seq > self.highest {
            let shift = seq - self.highest;
            self.received = if shift >= 64 { 1 } else { (self.received << shift) | 1 };
            self.highest = seq;
            return Ok(());
        }
        let distance = self.highest - seq;
        let bit = 1u64.checked_shl(distance as u32).filter(|_| distance < 64).ok_or(DropReason::Replayed)?;
        if self.received & bit != 0 {
            return Err(DropReason::Replayed);
        }
        self.received |= bit;
        Ok(())
    }
}
