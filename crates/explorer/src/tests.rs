//! Tests of the exploration with a model of two counters.

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

/// Guards completeness: all 16 states are counted, and the limit is kept.
#[test]
fn every_state_is_visited_once() {
    assert_eq!(explore(&Counters { bad: 99 }, 100), Ok(Explored { states: 16, depth: 6 }));
    assert_eq!(explore(&Counters { bad: 99 }, 10), Err(Failed::TooMany(10)));
}

/// Guards the use of a report: a longer path would hide the cause.
#[test]
fn path_to_a_broken_state_is_shortest() {
    let Err(Failed::Broken { path, .. }) = explore(&Counters { bad: 4 }, 100) else { panic!("not found") };
    assert_eq!(path.len(), 4);
}
