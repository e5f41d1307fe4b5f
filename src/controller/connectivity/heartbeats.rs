//! Heartbeats between controllers: what is said of this one's view, and what follows
//! from that of the others.

use crate::connectivity::frame_fitting::{self, Rotation};
use crate::controller::Controller;
use crate::effects::Action;
use crate::protocol::peer::{FRAME_LIMIT, Frame, PeerHeartbeat, RecentMachine, Revocations};
use std::time::Duration;

/// So many heartbeats tell of the images of all machines.
const HEARTBEATS_PER_ROUND: usize = 4;
/// Revocations take no more than this part of a frame.
const REVOCATIONS_PART: usize = 8;
/// A machine that came to the wrong controller is told of within this part of a
/// heartbeat interval of the agents.
pub(super) const HASTENED_HEARTBEAT: f64 = 1.0 / 8.0;
/// That a machine came to the wrong controller is news again after so many intervals.
const MISDIRECTED_INTERVALS: f64 = 2.0;

impl Controller {
    /// Controllers send heartbeats at this interval.
    pub(in crate::controller) fn heartbeat_interval(agent_interval: Duration) -> Duration {
        agent_interval / 2
    }

    /// Tells the other controllers what is seen from here, and calls silent machines.
    pub(in crate::controller) fn send_heartbeat(&mut self) {
        let keep = self.full_retry_round() + self.heartbeat_intervals(1.0);
        self.agents.prune_heard(&self.state, self.now, keep);
        if self.store.session.following() {
            self.agents.retain_images_of(&self.state);
        }
        let (seq, acknowledgements) = self.connectivity.number_heartbeat(self.now);
        self.agents.prune_probed(self.now, keep);
        let silent = self.silent_machines();
        self.probe(&silent);
        let mut heartbeat = PeerHeartbeat { seq, acknowledgements, unresponsive: silent, ..self.describe_view() };
        self.connectivity.heartbeats = self.connectivity.heartbeats.wrapping_add(1);
        let sent = self.connectivity.heartbeats;
        self.add_images(&mut heartbeat, sent);
        let turns = Rotation { heartbeats: sent, held: sent / HEARTBEATS_PER_ROUND };
        frame_fitting::fit(&mut heartbeat, turns, |machine| self.must_include(machine));
        for other in &self.config.others {
            let frame = Frame::PeerHeartbeat(Box::new(heartbeat.clone()));
            self.outbox.push(Action::Send { member: other.member.clone(), frame });
        }
    }

    /// What a heartbeat says of this controller's view.
    fn describe_view(&self) -> PeerHeartbeat {
        let follows = self.store.session.following();
        let leads = self.am_leader();
        let millis = |span: Duration| span.as_millis() as u64;
        let heard = self.agents.heard().map(|(machine, at, (agent_epoch, heartbeat_seq))| RecentMachine {
            machine: machine.to_string(),
            ago_ms: millis(self.now.saturating_sub(at)),
            agent_epoch,
            heartbeat_seq,
        });
        let reached = self.agents.probed().map(|(name, at)| (name.clone(), millis(self.now.saturating_sub(at))));
        PeerHeartbeat {
            incarnation: self.process.incarnation,
            seq: 0,
            acknowledgements: Vec::new(),
            unresponsive: Vec::new(),
            probe_answers: reached.collect(),
            members: if follows && self.fresh() { self.live_members() } else { Vec::new() },
            revision: follows.then_some(self.state.revision),
            known_revision: self.state.known_revision(),
            revocations: self.revocations(),
            provisioned: if leads { self.autoscaler.newly_provisioned().iter().cloned().collect() } else { Vec::new() },
            unlisted: if leads { self.cloud.unlisted().iter().cloned().collect() } else { Vec::new() },
            image_indices: Vec::new(),
            images: Vec::new(),
            stale_ms: self.store.session.staleness(self.now).map_or(u64::MAX, millis),
            recent_machines: heard.collect(),
        }
    }

    fn live_members(&self) -> Vec<(String, u64)> {
        self.state.members.iter().map(|(name, member)| (name.clone(), member.rec.incarnation)).collect()
    }

    /// Adds the images on those machines whose turn it is.
    fn add_images(&self, heartbeat: &mut PeerHeartbeat, sent: usize) {
        for (position, name) in self.state.machines.keys().enumerate() {
            if (position + sent).is_multiple_of(HEARTBEATS_PER_ROUND)
                && let Some(images) = self.agents.known_images(name).filter(|images| !images.is_empty())
            {
                heartbeat.add_cached_images(name, images.iter());
            }
        }
    }

    /// Whether a heartbeat that has no room for all machines must name this one: another
    /// controller owns or hears it, or it has no task by which the others know that it is up.
    fn must_include(&self, machine: &str) -> bool {
        let is_own = self.owner_of(machine).is_some_and(|owner| *owner == self.process.member);
        !is_own || self.connectivity.peers.knows(machine) || !self.state.loads.contains_key(machine)
    }

    /// Cancellations and grants that others have not seen yet, as far as they said.
    fn revocations(&self) -> Option<Revocations> {
        if !self.store.session.following() || !self.state.has_applied_all_known() {
            return None;
        }
        let recently = self.secs(self.config.settings.workers.lease_s);
        let since = self.connectivity.peers.min_applied_revision(self.now, recently).unwrap_or(self.state.revision);
        let named = |(name, revision): (&String, u64)| (name.clone(), revision);
        let cancelled: Vec<(String, u64)> = self.state.cancelled_since(since).map(named).collect();
        let granted: Vec<(String, u64)> = self.state.granted_since(since).map(named).collect();
        let bytes = |list: &[(String, u64)]| -> usize {
            list.iter().map(|(name, _)| name.len() + size_of::<(u32, u64)>()).sum()
        };
        let size = bytes(&cancelled) + bytes(&granted);
        (size < FRAME_LIMIT / REVOCATIONS_PART).then_some(Revocations { since, cancelled, granted })
    }

    /// Stops jobs that another controller knows to be cancelled.
    pub(in crate::controller) fn apply_revocations(&mut self, revocations: &Revocations) {
        if !self.store.session.following() {
            return;
        }
        let revision = self.state.revision;
        let (mut jobs, mut newest) = (0, 0);
        for (uid, cancelled_at) in revocations.cancelled.iter().filter(|(_, at)| *at > revision) {
            if !self.state.must_not_run(uid) {
                self.state.cancelled_elsewhere(uid, *cancelled_at);
                jobs += 1;
                newest = newest.max(*cancelled_at);
            }
        }
        if jobs > 0 {
            self.scheduler.request_round();
            tracing::info!(jobs, revision, newest_revision = newest, "jobs_cancelled_by_peer");
        }
    }

    /// Whether the revocations are applied: the jobs are stopped, and no machine of ours
    /// was granted since.
    pub(super) fn has_applied(&self, revocations: &Revocations) -> bool {
        let revision = self.state.revision;
        let is_own = |machine: &str, granted_at: u64| {
            self.state.machines.get(machine).is_some_and(|known| self.owns(known) && known.rec.granted < granted_at)
        };
        revocations.cancelled.iter().all(|(uid, at)| *at <= revision || self.state.must_not_run(uid))
            && !revocations.granted.iter().any(|(machine, at)| *at > revision && is_own(machine, *at))
    }

    /// Takes in what another controller knows of images: of its machines, and
    /// of ours from before we started.
    pub(in crate::controller) fn note_images(&mut self, heartbeat: &PeerHeartbeat) {
        for (machine, images) in heartbeat.cached_images() {
            if self.state.machines.contains_key(machine) {
                self.agents.add_images(machine, images.into_iter());
            }
        }
    }

    /// An agent that should have reported to its owner came here: the others
    /// hear of it sooner than by the next regular heartbeat.
    pub(in crate::controller) fn report_misdirected_machine(&mut self, machine: &str) {
        let keep = self.heartbeat_intervals(MISDIRECTED_INTERVALS);
        if self.connectivity.record_misdirected(machine, self.now, keep) {
            self.connectivity.hasten_heartbeat(self.now + self.heartbeat_intervals(HASTENED_HEARTBEAT));
        }
    }
}
