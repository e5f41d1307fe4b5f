//! Starts of the whole control plane, and what happened shortly after each of them.

use super::Point;
use crate::history::{Event, HistoryLine};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// A start of controllers after a time in which none was running.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// When the first controller started.
    pub at_s: f64,
    /// Time since the last controller ended.
    pub down_s: f64,
    /// Time until a user's request succeeded, if one did in the 30 s after the start.
    pub first_answer_s: Option<f64>,
    /// Machines that controllers released in the 30 s after the start.
    #[serde(rename = "returned")]
    pub machines_released: u64,
    /// Machines that came up in the 30 s after the start.
    #[serde(rename = "came_up")]
    pub machines_up: u64,
    /// Tasks that started in the 30 s after the start.
    #[serde(rename = "starts")]
    pub task_starts: u64,
    /// Tasks that ended with the lease of their machine, from the end of the last
    /// controller until 30 s after the start.
    #[serde(rename = "lapsed")]
    pub tasks_lapsed: u64,
    /// Changes in the state service in the busiest second of those 30.
    #[serde(rename = "most_changes_per_s")]
    pub peak_changes_per_s: f64,
}

/// How long after a start events are attributed to it.
const OBSERVATION_S: f64 = 30.0;

/// The starts of the whole control plane after the first one.
pub(super) fn cold_starts(lines: &[HistoryLine], curve: &[Point]) -> Vec<ColdStart> {
    let mut running: HashSet<&str> = HashSet::new();
    let (mut ended, mut tasks_lapsed) = (None, 0);
    let mut cold_starts: Vec<ColdStart> = Vec::new();
    for line in lines {
        let t = line.at_s;
        match &line.event {
            Event::Controller { controller, what } if what == "started" => {
                if running.is_empty()
                    && let Some(since) = ended.take()
                {
                    cold_starts.push(ColdStart { at_s: t, down_s: t - since, tasks_lapsed, ..ColdStart::default() });
                }
                running.insert(controller);
            }
            Event::Controller { controller, .. } => {
                running.remove(controller.as_str());
                if running.is_empty() {
                    (ended, tasks_lapsed) = (Some(t), 0);
                }
            }
            Event::Stop { cause, .. } if cause == "lapsed" && running.is_empty() => tasks_lapsed += 1,
            event => {
                let Some(start) = cold_starts.last_mut().filter(|start| t < start.at_s + OBSERVATION_S) else {
                    continue;
                };
                match event {
                    Event::UserRequest { status: Some(200 | 201), .. } if start.first_answer_s.is_none() => {
                        start.first_answer_s = Some(t - start.at_s);
                    }
                    Event::MachineGone { why, .. } => start.machines_released += u64::from(why == "released"),
                    Event::MachineUp { .. } => start.machines_up += 1,
                    Event::Start { .. } => start.task_starts += 1,
                    Event::Stop { cause, .. } => start.tasks_lapsed += u64::from(cause == "lapsed"),
                    _ => {}
                }
            }
        }
    }
    for start in &mut cold_starts {
        let after = curve.iter().filter(|p| p.t >= start.at_s && p.t < start.at_s + OBSERVATION_S);
        start.peak_changes_per_s = after.map(|p| p.changes_per_s).fold(0.0, f64::max);
    }
    cold_starts
}
