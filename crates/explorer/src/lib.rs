//! Exhaustive exploration of small state machines. Every reachable state is visited once,
//! breadth first, so the path that is reported for a violated invariant is a shortest one.
//!
//! It is meant for models of protocols whose messages may be lost, delayed and reordered.
//! Each model says which code it stands for.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;

/// A state machine with invariants.
pub trait Model {
    /// Type of the states. States that compare equal are visited once.
    type State: Clone + Eq + Hash;

    /// Returns the initial state.
    fn initial_state(&self) -> Self::State;

    /// Adds every event that can happen in `state` to `out`: its name, and the state that it
    /// leads to.
    fn successors(&self, state: &Self::State, out: &mut Vec<(String, Self::State)>);

    /// Checks the invariants in a state.
    ///
    /// # Errors
    /// A description of the violated invariant.
    fn check_invariants(&self, state: &Self::State) -> Result<(), String>;
}

/// Size of a state space that was explored completely without a violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateSpace {
    /// Number of distinct states.
    pub states: usize,
    /// Number of events on the shortest path to the state that is farthest from the initial
    /// state.
    pub depth: usize,
}

/// Why an exploration ended before all states were visited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplorationError {
    /// A state violates an invariant.
    InvariantViolated {
        /// Description of the violated invariant, from [`Model::check_invariants`].
        violation: String,
        /// Names of the events from the initial state to the violating one, in order.
        path: Vec<String>,
    },
    /// There are more states than this limit.
    TooManyStates(usize),
}

impl fmt::Display for ExplorationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExplorationError::InvariantViolated { violation, path } => {
                write!(f, "{violation}, after: {}", path.join("; "))
            }
            ExplorationError::TooManyStates(limit) => write!(f, "more than {limit} states"),
        }
    }
}

impl std::error::Error for ExplorationError {}

/// The last step of a shortest path to a state. Discoveries are indexed in the order in which
/// their states were found.
struct Discovery {
    /// Index of the state before the step.
    parent: usize,
    /// Name of the event of the step.
    event: String,
    /// Number of events from the initial state.
    depth: usize,
}

/// Visits every reachable state of the model and checks its invariants.
///
/// # Errors
/// [`ExplorationError::InvariantViolated`] with a shortest path to a state that violates an invariant, and
/// [`ExplorationError::TooManyStates`] if there are more than `limit` states.
pub fn explore<M: Model>(model: &M, limit: usize) -> Result<StateSpace, ExplorationError> {
    let initial = model.initial_state();
    let mut known: HashSet<M::State> = HashSet::from([initial.clone()]);
    let mut discoveries = vec![Discovery { parent: 0, event: String::new(), depth: 0 }];
    let mut layer = vec![(0, initial)];
    let mut depth = 0;
    let mut successors = Vec::new();
    while !layer.is_empty() {
        let mut next_layer = Vec::new();
        for (index, state) in layer {
            if let Err(violation) = model.check_invariants(&state) {
                return Err(ExplorationError::InvariantViolated { violation, path: path(&discoveries, index) });
            }
            model.successors(&state, &mut successors);
            for (event, successor) in successors.drain(..) {
                if known.contains(&successor) {
                    continue;
                }
                if discoveries.len() >= limit {
                    return Err(ExplorationError::TooManyStates(limit));
                }
                known.insert(successor.clone());
                next_layer.push((discoveries.len(), successor));
                discoveries.push(Discovery { parent: index, event, depth: depth + 1 });
            }
        }
        depth += usize::from(!next_layer.is_empty());
        layer = next_layer;
    }
    Ok(StateSpace { states: discoveries.len(), depth })
}

/// Returns the events that lead from the initial state to the state at `index`.
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
