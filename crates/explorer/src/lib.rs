//! Exhaustive exploration of small state machines: every state that some order of
//! events leads to is visited once, breadth first, so that the way to a broken
//! invariant is a shortest one. For models of what real code agrees on by messages
//! that are lost, late and reordered; a model says which code it stands for.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::hash::Hash;

/// A state machine with invariants.
pub trait Model {
    type State: Clone + Eq + Hash;

    fn start(&self) -> Self::State;

    /// All that may happen next, with a name for each.
    fn next(&self, state: &Self::State, out: &mut Vec<(String, Self::State)>);

    /// Says what is wrong with a state, if anything is.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// All states were visited and hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Explored {
    pub states: usize,
    /// Events on the longest of the shortest ways to a state.
    pub depth: usize,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// An invariant does not hold after these events.
    Broken { what: String, path: Vec<String> },
    /// There are more states than were allowed.
    TooMany(usize),
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failed::Broken { what, path } => write!(f, "{what}, after: {}", path.join("; ")),
            Failed::TooMany(n) => write!(f, "more than {n} states"),
        }
    }
}

impl std::error::Error for Failed {}

/// Visits every state of the model, `most` at the most.
pub fn explore<M: Model>(model: &M, most: usize) -> Result<Explored, Failed> {
    let first = model.start();
    let mut known: HashMap<M::State, usize> = HashMap::from([(first.clone(), 0)]);
    // How each state was come to first: from which, by what, at which depth.
    let mut ways: Vec<(usize, String, usize)> = vec![(0, String::new(), 0)];
    let mut layer = vec![(0, first)];
    let mut depth = 0;
    let mut next = Vec::new();
    while !layer.is_empty() {
        let mut after = Vec::new();
        for (at, state) in layer {
            if let Err(what) = model.check(&state) {
                return Err(Failed::Broken { what, path: path(&ways, at) });
            }
            model.next(&state, &mut next);
            for (event, state) in next.drain(..) {
                let number = ways.len();
                if let Entry::Vacant(v) = known.entry(state.clone()) {
                    if number >= most {
                        return Err(Failed::TooMany(most));
                    }
                    v.insert(number);
                    ways.push((at, event, depth + 1));
                    after.push((number, state));
                }
            }
        }
        depth += usize::from(!after.is_empty());
        layer = after;
    }
    Ok(Explored { states: ways.len(), depth })
}

fn path(ways: &[(usize, String, usize)], mut at: usize) -> Vec<String> {
    let mut out = Vec::new();
    while ways[at].2 > 0 {
        out.push(ways[at].1.clone());
        at = ways[at].0;
    }
    out.reverse();
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two counters up to three, of which the sum must not be `bad`.
    struct Counters {
        bad: u8,
    }

    impl Model for Counters {
        type State = (u8, u8);

        fn start(&self) -> (u8, u8) {
            (0, 0)
        }

        fn next(&self, s: &(u8, u8), out: &mut Vec<(String, (u8, u8))>) {
            if s.0 < 3 {
                out.push(("left".into(), (s.0 + 1, s.1)));
            }
            if s.1 < 3 {
                out.push(("right".into(), (s.0, s.1 + 1)));
            }
        }

        fn check(&self, s: &(u8, u8)) -> Result<(), String> {
            if s.0 + s.1 == self.bad { Err(format!("sum is {}", self.bad)) } else { Ok(()) }
        }
    }

    #[test]
    fn every_state_is_visited_once() {
        assert_eq!(explore(&Counters { bad: 99 }, 100), Ok(Explored { states: 16, depth: 6 }));
        assert_eq!(explore(&Counters { bad: 99 }, 10), Err(Failed::TooMany(10)));
    }

    #[test]
    fn the_way_to_a_broken_state_is_a_shortest_one() {
        let Err(Failed::Broken { path, .. }) = explore(&Counters { bad: 4 }, 100) else { panic!("not found") };
        assert_eq!(path.len(), 4);
    }
}
