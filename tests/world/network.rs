//! Requests and calls on their way: who reaches whom, what is late, and what the receivers answer.

use super::events::{Pending, Source, WorldEvent};
use super::faults::Delay;
use super::worker::TaskState;
use super::{World, s, users, value};
use ciborium::Value;
use finchquay::effects::{Action, NoAnswer, Reply, Target};
use rand::RngExt;

impl World {
    /// By how much something is late, where it is.
    pub(super) fn late(&mut self, part: Option<Delay>) -> Option<f64> {
        let (part, (from, to)) = part?;
        self.rng.random_bool(part).then(|| self.rng.random_range(from..to))
    }

    pub(super) fn lag(&mut self) -> f64 {
        let slow = self.faults.slow_links.map_or(0.0, |(from, to)| self.rng.random_range(from..to));
        slow + self.rng.random_range(0.001..0.006)
    }

    pub(super) fn request(
        &mut self,
        node: usize,
        source: Source,
        method: &str,
        path: &str,
        body: Vec<u8>,
        lost: bool,
    ) -> u64 {
        let conn = self.next_conn;
        self.next_conn += 1;
        let life = self.nodes[node].life;
        let request = (method.to_string(), path.to_string(), body);
        let floor = match &source {
            Source::User(asked) => self.confirmed_state(asked.uid()),
            _ => users::ConfirmedState::Nothing,
        };
        self.pending.insert(conn, Pending { source, node, life, request, floor });
        if !lost {
            let lag = self.lag();
            self.at(lag, WorldEvent::Request(node, conn));
        }
        conn
    }

    pub(super) fn carry_out(&mut self, i: usize, life: u64, action: Action) {
        let Action::Call { id, target, method, path, body, timeout } = action else { return };
        let receiver = match target {
            Target::Store => "state",
            Target::Cloud => "cloud",
            Target::Worker(_) => "worker",
        };
        self.counters.requests_sent.insert((receiver, method, path.clone()));
        let id = (life & 0xffff) << 32 | id;
        let body = body.map(|b| value(&b)).unwrap_or(Value::Null);
        let lag = self.lag();
        let late = match target {
            Target::Store => self.late(self.faults.late_transactions),
            Target::Worker(_) => self.late(self.faults.late_commands),
            Target::Cloud => None,
        };
        let answer = match target {
            Target::Store if self.nodes[i].store_cut => {
                if path == "/multi" {
                    self.nodes[i].held.push(body);
                }
                return self.at(timeout.as_secs_f64(), WorldEvent::Answer(i, id, Err(NoAnswer)));
            }
            Target::Store if self.nodes[i].refused || self.store.down => Some((503, vec![])),
            Target::Store if path == "/multi" && late.is_some() => {
                self.at(late.unwrap_or_default(), WorldEvent::LateTransaction(body));
                return self.at(timeout.as_secs_f64(), WorldEvent::Answer(i, id, Err(NoAnswer)));
            }
            Target::Store => {
                let answer = self.store.serve(self.now, i, id, method, &path, &body);
                if self.nodes[i].answers_lost && answer.is_some() {
                    return self.at(timeout.as_secs_f64(), WorldEvent::Answer(i, id, Err(NoAnswer)));
                }
                let late = self.late(self.faults.late_answers).filter(|_| path == "/multi");
                if let (Some(after), Some((status, body))) = (late, &answer) {
                    let given_up = after > timeout.as_secs_f64();
                    let reply = Reply { status: *status, body: body.clone() };
                    let ev = WorldEvent::Answer(i, id, if given_up { Err(NoAnswer) } else { Ok(reply) });
                    return self.at(after.min(timeout.as_secs_f64()), ev);
                }
                answer
            }
            Target::Cloud => {
                let a = self.cloud.serve(self.now, method, &path, &body);
                let gone: Vec<String> =
                    self.workers.keys().filter(|n| !self.cloud.machines.contains_key(*n)).cloned().collect();
                for n in gone {
                    let heard = (0..self.nodes.len())
                        .any(|i| self.nodes[i].logic.is_some() && self.machine_reaches_node(&n, i));
                    let w = self.workers.remove(&n).unwrap();
                    // One that was cut off from all comes back after a time-out and a pause.
                    let heard = heard && w.back_at.is_none_or(|t| self.now > t + s(6.0));
                    let running = w.tasks.values().filter(|t| t.state == TaskState::Running).count();
                    self.counters.tasks_lost_on_reachable_machines += if heard { running } else { 0 };
                }
                Some(a)
            }
            Target::Worker(addr) => {
                let name = self.workers.values().find(|w| w.addr == addr.to_string()).map(|w| w.name.clone());
                match name {
                    Some(n) if self.node_reaches_machine(&n, i) && path == "/show" => {
                        Some((200, self.workers.get_mut(&n).unwrap().report(self.now)))
                    }
                    Some(n) if self.node_reaches_machine(&n, i) && late.is_some() => {
                        self.at(late.unwrap_or_default(), WorldEvent::LateCommand(n, body));
                        None
                    }
                    Some(n) if self.node_reaches_machine(&n, i) => {
                        let now = self.now;
                        let w = self.workers.get_mut(&n).unwrap();
                        let (status, report, started) = w.pushed(&body, now);
                        self.check_starts(&n, started);
                        Some((status, report))
                    }
                    Some(n) if !self.nodes[i].deaf && path != "/show" => {
                        // Held back: carried out once the cut is over.
                        self.workers.get_mut(&n).unwrap().held.push(body);
                        None
                    }
                    _ => None,
                }
            }
        };
        match answer {
            Some((status, body)) => self.at(lag, WorldEvent::Answer(i, id, Ok(Reply { status, body }))),
            None if path.starts_with("/follow") => {}
            None => self.at(timeout.as_secs_f64(), WorldEvent::Answer(i, id, Err(NoAnswer))),
        }
    }

    /// Whether anything passes between an agent and a controller.
    pub(super) fn reaches(&self, worker: &str, node: usize) -> bool {
        let w = &self.workers.get(worker);
        !self.nodes[node].deaf && w.is_some_and(|w| !w.cut && w.hangs.is_none() && !w.unreached.contains(&node))
    }

    /// Whether an agent's own calls come to a controller.
    pub(super) fn machine_reaches_node(&self, worker: &str, node: usize) -> bool {
        self.reaches(worker, node) && self.workers.get(worker).is_some_and(|w| !w.mute)
    }

    /// Whether anything that a controller says reaches an agent.
    pub(super) fn node_reaches_machine(&self, worker: &str, node: usize) -> bool {
        self.reaches(worker, node) && self.workers.get(worker).is_some_and(|w| !w.deaf)
    }
}
