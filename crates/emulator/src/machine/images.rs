//! Images on one machine: fetches that share the machine's rate, and a cache
//! that drops what was used longest ago.

use std::time::Duration;

#[derive(Debug)]
struct Fetch {
    image: String,
    image_gb: f64,
    left_gb: f64,
}

#[derive(Debug)]
pub struct Images {
    gb_per_s: f64,
    cache_gb: f64,
    /// Least recently used first.
    held: Vec<(String, f64)>,
    fetches: Vec<Fetch>,
    at: Duration,
}

impl Images {
    pub fn new(gb_per_s: f64, cache_gb: f64, now: Duration) -> Images {
        Images { gb_per_s, cache_gb, held: Vec::new(), fetches: Vec::new(), at: now }
    }

    /// Whether the image is there; it counts as used now.
    pub fn has(&mut self, image: &str) -> bool {
        match self.held.iter().position(|(i, _)| i == image) {
            Some(at) => {
                let used = self.held.remove(at);
                self.held.push(used);
                true
            }
            None => false,
        }
    }

    /// Begins to fetch an image unless it is there or under way.
    pub fn want(&mut self, image: &str, image_gb: f64) {
        if !self.has(image) && self.fetches.iter().all(|f| f.image != image) {
            self.fetches.push(Fetch { image: image.into(), image_gb, left_gb: image_gb });
        }
    }

    /// Gives up fetches that nobody waits for any more.
    pub fn keep(&mut self, wanted: impl Fn(&str) -> bool) {
        self.fetches.retain(|f| wanted(&f.image));
    }

    /// Lets time pass; `standing` machines fetch nothing meanwhile. True when
    /// an image has come.
    pub fn advance(&mut self, now: Duration, standing: bool) -> bool {
        let mut left = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let mut came = false;
        while !standing && !self.fetches.is_empty() && left > 0.0 {
            let share = self.gb_per_s / self.fetches.len() as f64;
            let least = self.fetches.iter().map(|f| f.left_gb).fold(f64::INFINITY, f64::min);
            let step = left.min(least / share);
            left -= step;
            self.fetches.iter_mut().for_each(|f| f.left_gb -= share * step);
            for f in self.fetches.extract_if(.., |f| f.left_gb <= 1e-9) {
                self.held.push((f.image, f.image_gb));
                came = true;
            }
            if step <= 0.0 && !came {
                break;
            }
        }
        while self.held.len() > 1 && self.held.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb {
            self.held.remove(0);
        }
        came
    }

    /// When the next image will be there, if nothing changes.
    pub fn next(&self) -> Option<Duration> {
        let least = self.fetches.iter().map(|f| f.left_gb).min_by(f64::total_cmp)?;
        let s = (least * self.fetches.len() as f64 / self.gb_per_s).max(0.0);
        Some(self.at + Duration::from_secs_f64(s) + Duration::from_millis(1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn s(x: f64) -> Duration {
        Duration::from_secs_f64(x)
    }

    #[test]
    fn fetches_share_the_rate_and_old_images_go() {
        let mut i = Images::new(1.0, 5.0, s(0.0));
        i.want("a", 2.0);
        i.want("b", 4.0);
        assert!(!i.advance(s(3.9), false) && i.advance(s(4.1), false));
        assert!(i.has("a") && !i.has("b"));
        assert!(i.next().unwrap() < s(6.1));
        assert!(!i.advance(s(10.0), true), "a machine that hangs fetches nothing");
        assert!(i.advance(s(12.0), false));
        assert!(i.has("b") && !i.has("a"), "six gigabytes do not fit into five");
        i.want("c", 1.0);
        i.keep(|_| false);
        assert_eq!(i.next(), None);
    }
}
