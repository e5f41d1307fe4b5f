//! Starts of the whole control plane: what happened in the time after each.

use super::Point;
use crate::history::{Event, Line};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// One start of controllers after a time in which none ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// When the first of them started.
    pub at_s: f64,
    /// Since the last one ended.
    pub down_s: f64,
    /// Until a user got an answer that was no refusal.
    pub first_answer_s: Option<f64>,
    /// In the 30 s after it: machines that controllers returned, and that came up.
    pub returned: u64,
    pub came_up: u64,
    /// Tasks that started, and those that their leases ended, from the last
    /// controller's end on.
    pub starts: u64,
    pub lapsed: u64,
    /// Changes of the state service in its busiest second of those 30.
    pub most_changes_per_s: f64,
}

/// How long after a start what happens is put down to it.
const AFTER_START_S: f64 = 30.0;

/// The starts of all controllers, but for the first.
pub(super) fn cold_starts(lines: &[Line], curve: &[Point]) -> Vec<ColdStart> {
    let mut running: HashSet<&str> = HashSet::new();
    let (mut ended, mut lapsed) = (None, 0);
    let mut out: Vec<ColdStart> = Vec::new();
    for line in lines {
        let t = line.t;
        match &line.event {
            Event::Controller { controller, what } if what == "started" => {
                if running.is_empty()
                    && let Some(since) = ended.take()
                {
                    out.push(ColdStart { at_s: t, down_s: t - since, lapsed, ..ColdStart::default() });
                }
                running.insert(controller);
            }
            Event::Controller { controller, .. } => {
                running.remove(controller.as_str());
                if running.is_empty() {
                    (ended, lapsed) = (Some(t), 0);
                }
            }
            Event::Stop { cause, .. } if cause == "lapsed" && running.is_empty() => lapsed += 1,
            event => {
                let Some(c) = out.last_mut().filter(|c| t < c.at_s + AFTER_START_S) else { continue };
                match event {
                    Event::Call { status: Some(200 | 201), .. } if c.first_answer_s.is_none() => {
                        c.first_answer_s = Some(t - c.at_s);
                    }
                    Event::MachineGone { why, .. } => c.returned += u64::from(why == "released"),
                    Event::MachineUp { .. } => c.came_up += 1,
                    Event::Start { .. } => c.starts += 1,
                    Event::Stop { cause, .. } => c.lapsed += u64::from(cause == "lapsed"),
                    _ => {}
                }
            }
        }
    }
    for c in &mut out {
        let after = curve.iter().filter(|p| p.t >= c.at_s && p.t < c.at_s + AFTER_START_S);
        c.most_changes_per_s = after.map(|p| p.changes_per_s).fold(0.0, f64::max);
    }
    out
}
