//! What controllers tell each other in beats: machines that report, images that
//! machines hold. Hints only; no rule rests on them.

use super::*;

/// So many beats tell of the images of all machines.
const BEATS_PER_ROUND: usize = 4;

#[derive(Debug)]
pub(super) struct PeerView {
    pub(super) stale_ms: u64,
    /// Machines that reported to it, and how many milliseconds before.
    pub(super) heard: HashMap<String, u64>,
    pub(super) at: Instant,
}

impl PeerView {
    /// How old its view was when it told so.
    pub(super) fn stale(&self) -> Duration {
        Duration::from_millis(self.stale_ms)
    }
}

impl Controller {
    /// Tells the other controllers what is seen from here.
    pub(super) fn beat(&mut self) {
        let keep = self.report_s(4.0);
        let now = self.now;
        self.heard.retain(|_, t| now.saturating_sub(*t) < keep);
        let view = &self.view;
        if self.ses.following() {
            self.images.retain(|m, _| view.hosts.contains_key(m));
        }
        let millis = |d: Duration| d.as_millis() as u64;
        let mut beat = Beat {
            incarnation: self.incarnation,
            held: Vec::new(),
            images: Vec::new(),
            stale_ms: self.ses.staleness(now).map_or(u64::MAX, millis),
            heard: self.heard.iter().map(|(m, t)| (m.clone(), millis(now.saturating_sub(*t)))).collect(),
        };
        self.beats = self.beats.wrapping_add(1);
        for (n, name) in self.view.hosts.keys().enumerate() {
            if (n + self.beats).is_multiple_of(BEATS_PER_ROUND)
                && let Some(images) = self.held_images(name).filter(|i| !i.is_empty())
            {
                beat.note_images(name, images.iter());
            }
        }
        for other in &self.set.others {
            let frame = Frame::Beat(beat.clone());
            self.out.push(Action::Send { member: other.member.clone(), frame });
        }
    }

    /// The images that a machine of any block is known to hold.
    pub(super) fn held_images(&self, machine: &str) -> Option<&Images> {
        self.machines.get(machine).map(|m| &m.images).or_else(|| self.images.get(machine))
    }

    /// Takes in what another controller knows of images: of its machines, and
    /// of ours from before we started.
    pub(super) fn note_images(&mut self, beat: &Beat) {
        for (machine, images) in beat.images() {
            if !self.view.hosts.contains_key(machine) {
                continue;
            }
            let known = match self.machines.get_mut(machine) {
                Some(m) => &mut m.images,
                None => self.images.entry(machine.to_string()).or_default(),
            };
            for image in images {
                if !known.contains(image) {
                    std::rc::Rc::make_mut(known).insert(image.clone());
                }
            }
        }
    }
}
