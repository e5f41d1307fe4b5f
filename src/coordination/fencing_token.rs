//! Fencing tokens, by which an agent knows which controller may command its machine.
//!
//! A token consists of the leader's term in its highest bits, the epoch of the grant within
//! that term, and a counter that the machine's owner raises by itself. An agent that has seen
//! a token refuses commands with a lower one, and so those of any earlier owner.

/// Bits of the owner's counter, the lowest part.
const COUNTER_BITS: u32 = 16;
/// Bits of the grant's epoch, the middle part.
const EPOCH_BITS: u32 = 24;

/// A fencing token as it is sent to agents; tokens are ordered by their value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Parts that outgrow their bits stay at the top of their range, so that they never
    /// overflow into a higher part.
    pub fn new(term: u64, epoch: u64, counter: u64) -> FencingToken {
        let cap = |v: u64, bits: u32| v.min((1 << bits) - 1);
        FencingToken(
            (cap(term, 64 - EPOCH_BITS - COUNTER_BITS) << (EPOCH_BITS + COUNTER_BITS))
                | (cap(epoch, EPOCH_BITS) << COUNTER_BITS)
                | cap(counter, COUNTER_BITS),
        )
    }
}

#[cfg(test)]
mod tests;
