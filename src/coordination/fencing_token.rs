//! Fencing tokens, which tell an agent which controller may command its machine.
//!
//! A token consists of three parts, from the highest bits to the lowest: the leader's term, the
//! epoch of the grant within that term, and a counter that the machine's owner raises by
//! itself. An agent that has seen a token refuses commands with a lower one, and therefore the
//! commands of every earlier owner.

#![warn(missing_docs)]

/// Size of the owner's counter, the lowest part.
const COUNTER_BITS: u32 = 16;
/// Size of the grant's epoch, the middle part. The term has the remaining bits.
const EPOCH_BITS: u32 = 24;

/// The highest value of the owner's counter.
pub const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;

/// A fencing token as it is sent to agents. A token with a higher value takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Builds a token from its parts. A part that exceeds its range is set to the highest
    /// value of that range, so that it never overflows into the next higher part.
    pub fn new(term: u64, epoch: u64, counter: u64) -> FencingToken {
        let cap = |value: u64, bits: u32| value.min((1 << bits) - 1);
        FencingToken(
            (cap(term, 64 - EPOCH_BITS - COUNTER_BITS) << (EPOCH_BITS + COUNTER_BITS))
                | (cap(epoch, EPOCH_BITS) << COUNTER_BITS)
                | cap(counter, COUNTER_BITS),
        )
    }
}

#[cfg(test)]
mod tests;
