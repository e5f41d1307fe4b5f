//! Tests of the exploration, with a model of two counters.

use super::*;

/// Two counters that go up to three. Their sum must not be `forbidden_sum`.
struct Counters {
    forbidden_sum: u8,
}

impl Model for Counters {
    type State = (u8, u8);

    fn initial_state(&self) -> (u8, u8) {
        (0, 0)
    }

    fn successors(&self, s: &(u8, u8), out: &mut Vec<(String, (u8, u8))>) {
        if s.0 < 3 {
            out.push(("left".into(), (s.0 + 1, s.1)));
        }
        if s.1 < 3 {
            out.push(("right".into(), (s.0, s.1 + 1)));
        }
    }

    fn check_invariants(&self, s: &(u8, u8)) -> Result<(), String> {
        if s.0 + s.1 == self.forbidden_sum { Err(format!("sum is {}", self.forbidden_sum)) } else { Ok(()) }
    }
}

/// All 16 states must be counted, and the limit must be kept.
#[test]
fn every_state_is_visited_once() {
    assert_eq!(explore(&Counters { forbidden_sum: 99 }, 100), Ok(StateSpace { states: 16, depth: 6 }));
    assert_eq!(explore(&Counters { forbidden_sum: 99 }, 10), Err(ExplorationError::TooManyStates(10)));
}

/// A path with needless events would make the cause harder to find.
#[test]
fn the_path_to_a_violation_is_a_shortest_one() {
    let Err(ExplorationError::InvariantViolated { path, .. }) = explore(&Counters { forbidden_sum: 4 }, 100) else {
        panic!("not found")
    };
    assert_eq!(path.len(), 4);
}
