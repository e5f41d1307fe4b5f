//! Exhaustive exploration of small state machines: every state that some order of
//! events leads to is visited once, breadth first, so that the way to a broken
//! invariant is a shortest one. For models of what real code agrees on by messages
//! that are lost, late and reordered; a model says which code it stands for.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;

/// A state machine with invariants.
pub trait Model {
    /// A state; equal states are visited once.
    type State: Clone + Eq + Hash;

    /// The state that exploration begins with.
    fn start(&self) -> Self::State;

    /// Adds to `out` every event that may happen next, by name, with the state
    /// that it leads to.
    fn next(&self, state: &Self::State, out: &mut Vec<(String, Self::State)>);

    /// Checks the invariants.
    ///
    /// # Errors
    /// What is wrong with the state.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// Size of a state space whose states were all visited and hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Explored {
    /// Number of distinct states.
    pub states: usize,
    /// Number of events on the longest of the shortest paths to a state.
    pub depth: usize,
}

/// Why an exploration ended early.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failed {
    /// An invariant does not hold.
    Broken {
        /// What the model's check said.
        what: String,
        /// Events from the first state to the broken one, in order.
        path: Vec<String>,
    },
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

/// A state that was found: the last step of a shortest path to it.
struct Discovery {
    /// Index of the state that it was reached from.
    parent: usize,
    /// Name of the event that led to it.
    event: String,
    /// Number of events from the first state.
    depth: usize,
}

/// Visits every state of the model.
///
/// # Errors
/// [`Failed::Broken`] with a shortest path where an invariant does not hold,
/// [`Failed::TooMany`] where there are more than `limit` states.
pub fn explore<M: Model>(model: &M, limit: usize) -> Result<Explored, Failed> {
    let first = model.start();
    let mut known: HashSet<M::State> = HashSet::from([first.clone()]);
    let mut discoveries = vec![Discovery { parent: 0, event: String::new(), depth: 0 }];
    let mut layer = vec![(0, first)];
    let mut depth = 0;
    let mut successors = Vec::new();
    while !layer.is_empty() {
        let mut next_layer = Vec::new();
        for (index, state) in layer {
            if let Err(what) = model.check(&state) {
                return Err(Failed::Broken { what, path: path(&discoveries, index) });
            }
            model.next(&state, &mut successors);
            for (event, successor) in successors.drain(..) {
                if known.contains(&successor) {
                    continue;
                }
                if discoveries.len() >= limit {
                    return Err(Failed::TooMany(limit));
                }
                known.insert(successor.clone());
                next_layer.push((discoveries.len(), successor));
                discoveries.push(Discovery { parent: index, event, depth: depth + 1 });
            }
        }
        depth += usize::from(!next_layer.is_empty());
        layer = next_layer;
    }
    Ok(Explored { states: discoveries.len(), depth })
}

/// The events that lead from the first state to the one at `index`.
fn path(discoveries: &[Discovery], mut index: usize) -> Vec<String> {
    let mut events = Vec::new();
    while discoveries[index].depth > 0 {
        events.push(discoveries[index].event.clone());
        index = discoveries[index].parent;
    }
    events.reverse();
    events
}

#[cfg(test)]
mod tests;
