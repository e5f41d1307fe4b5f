//! Heartbeats between controllers: what this controller reports in its own, and what it does
//! about the contents of the others.

use crate::connectivity::frame_fitting::{self, Rotation};
use crate::controller::Controller;
use crate::effects::Action;
use crate::protocol::peer::{Frame, MAX_FRAME_BYTES, PeerHeartbeat, RecentMachine, Revocations};
use std::time::Duration;

/// This many successive heartbeats together report the images on all machines.
const HEARTBEATS_PER_IMAGE_ROUND: usize = 4;
/// Revocations take at most one part in this many of a frame.
const REVOCATIONS_FRAME_DIVISOR: usize = 8;
/// Delay within which the other controllers are told of a machine that contacted the wrong
/// controller, in heartbeat intervals of the agents.
pub(super) const HASTENED_HEARTBEAT_INTERVALS: f64 = 1.0 / 8.0;
/// After this many heartbeat intervals of the agents it is news again that a machine contacted
/// the wrong controller.
const MISDIRECTED_INTERVALS: f64 = 2.0;

impl Controller {
    /// The interval at which controllers send heartbeats, given that of the agents.
    pub(in crate::controller) fn peer_heartbeat_interval(agent_interval: Duration) -> Duration {
        agent_interval / 2
    }

    /// Sends a heartbeat to the other controllers, and probes silent machines.
    pub(in crate::controller) fn send_heartbeat(&mut self) {
        let keep = self.full_retry_round() + self.heartbeat_intervals(1.0);
        self.agents.prune_heartbeats(&self.state, self.now, keep);
        if self.store.session.is_following() {
            self.agents.retain_images_of(&self.state);
        }
        let (seq, acknowledgements) = self.connectivity.number_heartbeat(self.now);
        self.agents.prune_probe_answers(self.now, keep);
        let silent = self.silent_machines();
        self.probe(&silent);
        let mut heartbeat = PeerHeartbeat { seq, acknowledgements, unresponsive: silent, ..self.describe_view() };
        self.connectivity.heartbeats_sent = self.connectivity.heartbeats_sent.wrapping_add(1);
        let sent = self.connectivity.heartbeats_sent;
        self.add_images(&mut heartbeat, sent);
        let rotation = Rotation { heartbeats: sent, image_rounds: sent / HEARTBEATS_PER_IMAGE_ROUND };
        frame_fitting::fit_to_frame(&mut heartbeat, rotation, |machine| self.must_include(machine));
        for other in &self.config.peers {
            let frame = Frame::PeerHeartbeat(Box::new(heartbeat.clone()));
            self.outbox.push(Action::Send { member: other.member.clone(), frame });
        }
    }

    /// What a heartbeat reports of the state that this controller observes.
    fn describe_view(&self) -> PeerHeartbeat {
        let is_following = self.store.session.is_following();
        let is_leader = self.is_leader();
        let millis = |duration: Duration| duration.as_millis() as u64;
        let recent_machines =
            self.agents.alive_machines().map(|(machine, at, (agent_epoch, heartbeat_seq))| RecentMachine {
                machine: machine.to_string(),
                ago_ms: millis(self.now.saturating_sub(at)),
                agent_epoch,
                heartbeat_seq,
            });
        let probe_answers =
            self.agents.probe_answers().map(|(name, at)| (name.clone(), millis(self.now.saturating_sub(at))));
        PeerHeartbeat {
            incarnation: self.process.incarnation,
            seq: 0,
            acknowledgements: Vec::new(),
            unresponsive: Vec::new(),
            probe_answers: probe_answers.collect(),
            members: if is_following && self.is_replica_fresh() { self.live_members() } else { Vec::new() },
            revision: is_following.then_some(self.state.revision),
            known_revision: self.state.known_revision(),
            revocations: self.revocations(),
            provisioned: if is_leader {
                self.autoscaler.newly_provisioned().iter().cloned().collect()
            } else {
                Vec::new()
            },
            unlisted: if is_leader { self.cloud.unlisted().iter().cloned().collect() } else { Vec::new() },
            image_indices: Vec::new(),
            images: Vec::new(),
            stale_ms: self.store.session.staleness(self.now).map_or(u64::MAX, millis),
            recent_machines: recent_machines.collect(),
        }
    }

    /// The live controllers in the replica, with their incarnations.
    fn live_members(&self) -> Vec<(String, u64)> {
        self.state.members.iter().map(|(name, member)| (name.clone(), member.rec.incarnation)).collect()
    }

    /// Adds the images on the machines that this heartbeat covers.
    fn add_images(&self, heartbeat: &mut PeerHeartbeat, sent: usize) {
        for (position, name) in self.state.machines.keys().enumerate() {
            if (position + sent).is_multiple_of(HEARTBEATS_PER_IMAGE_ROUND)
                && let Some(images) = self.agents.known_images(name).filter(|images| !images.is_empty())
            {
                heartbeat.add_cached_images(name, images.iter());
            }
        }
    }

    /// Whether a heartbeat that has no room for all machines must include this machine:
    /// another controller owns it or receives its heartbeats, or it has no task by which the others know
    /// that it is up.
    fn must_include(&self, machine: &str) -> bool {
        let is_own = self.owner_of(machine).is_some_and(|owner| *owner == self.process.member);
        !is_own || self.connectivity.peers.any_reports(machine) || !self.state.machine_loads.contains_key(machine)
    }

    /// Cancellations and grants that other controllers have not applied yet, as far as they report.
    fn revocations(&self) -> Option<Revocations> {
        if !self.store.session.is_following() || !self.state.has_applied_all_known() {
            return None;
        }
        let recently = self.secs(self.config.deployment.workers.lease_s);
        let since = self.connectivity.peers.min_applied_revision(self.now, recently).unwrap_or(self.state.revision);
        let to_pair = |(name, revision): (&String, u64)| (name.clone(), revision);
        let cancelled: Vec<(String, u64)> = self.state.cancelled_since(since).map(to_pair).collect();
        let granted: Vec<(String, u64)> = self.state.machines_granted_since(since).map(to_pair).collect();
        let bytes_of = |list: &[(String, u64)]| -> usize {
            list.iter().map(|(name, _)| name.len() + size_of::<(u32, u64)>()).sum()
        };
        let total_bytes = bytes_of(&cancelled) + bytes_of(&granted);
        (total_bytes < MAX_FRAME_BYTES / REVOCATIONS_FRAME_DIVISOR).then_some(Revocations { since, cancelled, granted })
    }

    /// Stops jobs that another controller knows to be cancelled.
    pub(in crate::controller) fn apply_revocations(&mut self, revocations: &Revocations) {
        if !self.store.session.is_following() {
            return;
        }
        let revision = self.state.revision;
        let (mut jobs, mut newest_revision) = (0, 0);
        for (uid, cancelled_at) in revocations.cancelled.iter().filter(|(_, at)| *at > revision) {
            if !self.state.must_not_run(uid) {
                self.state.apply_remote_cancellation(uid, *cancelled_at);
                jobs += 1;
                newest_revision = newest_revision.max(*cancelled_at);
            }
        }
        if jobs > 0 {
            self.scheduler.request_round();
            tracing::info!(jobs, revision, newest_revision, "jobs cancelled by another controller");
        }
    }

    /// Whether the revocations are applied: the jobs are stopped, and no machine of ours was
    /// granted since.
    pub(super) fn has_applied(&self, revocations: &Revocations) -> bool {
        let revision = self.state.revision;
        let is_own = |machine: &str, granted_at: u64| {
            self.state
                .machines
                .get(machine)
                .is_some_and(|known| self.owns(known) && known.rec.grant_revision < granted_at)
        };
        revocations.cancelled.iter().all(|(uid, at)| *at <= revision || self.state.must_not_run(uid))
            && !revocations.granted.iter().any(|(machine, at)| *at > revision && is_own(machine, *at))
    }

    /// Records which images another controller knows to be on machines: on its own, and on ours
    /// from before this controller started.
    pub(in crate::controller) fn record_peer_images(&mut self, heartbeat: &PeerHeartbeat) {
        for (machine, images) in heartbeat.cached_images() {
            if self.state.machines.contains_key(machine) {
                self.agents.add_images(machine, images.into_iter());
            }
        }
    }

    /// Records that an agent contacted this controller instead of its owner, and hastens the next
    /// heartbeat so that the others learn of it sooner.
    pub(in crate::controller) fn report_misdirected_machine(&mut self, machine: &str) {
        let keep = self.heartbeat_intervals(MISDIRECTED_INTERVALS);
        if self.connectivity.record_misdirected(machine, self.now, keep) {
            self.connectivity.hasten_heartbeat(self.now + self.heartbeat_intervals(HASTENED_HEARTBEAT_INTERVALS));
        }
    }
}
