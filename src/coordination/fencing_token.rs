//! Fencing tokens: the tokens by which a worker knows who may command it. The
//! leader's term counts most, then the grant's epoch within the term, then a
//! counter that the machine's owner raises by itself. A worker that took a
//! higher one no longer listens to any earlier owner.

const COUNTER_BITS: u32 = 16;
const EPOCH_BITS: u32 = 24;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Fields that outgrow their bits stay at the top of their range, and so
    /// never spill into a field that counts more.
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
