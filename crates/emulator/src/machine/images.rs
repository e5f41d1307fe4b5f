//! Images on one machine: fetches that share the bandwidth of the machine, and a cache that
//! evicts the least recently used images.

use std::time::Duration;

#[derive(Debug)]
struct Fetch {
    image: String,
    image_gb: f64,
    /// What has not been fetched yet.
    remaining_gb: f64,
}

/// Image cache of one machine, with the fetches under way.
#[derive(Debug)]
pub struct ImageCache {
    gb_per_s: f64,
    cache_gb: f64,
    /// Cached images and their sizes in GB, least recently used first.
    cached: Vec<(String, f64)>,
    fetches: Vec<Fetch>,
    updated_at: Duration,
}

impl ImageCache {
    /// Creates an empty cache of `cache_gb` that fetches `gb_per_s` in total.
    pub fn new(gb_per_s: f64, cache_gb: f64, now: Duration) -> ImageCache {
        ImageCache { gb_per_s, cache_gb, cached: Vec::new(), fetches: Vec::new(), updated_at: now }
    }

    /// Marks an image as the most recently used one. Returns whether it is cached.
    pub fn touch(&mut self, image: &str) -> bool {
        match self.cached.iter().position(|(name, _)| name == image) {
            Some(index) => {
                let entry = self.cached.remove(index);
                self.cached.push(entry);
                true
            }
            None => false,
        }
    }

    /// Starts to fetch an image, unless it is cached or being fetched already.
    pub fn fetch(&mut self, image: &str, image_gb: f64) {
        if !self.touch(image) && self.fetches.iter().all(|f| f.image != image) {
            self.fetches.push(Fetch { image: image.into(), image_gb, remaining_gb: image_gb });
        }
    }

    /// Cancels the fetches of images that are not needed any more.
    pub fn retain_fetches(&mut self, needed: impl Fn(&str) -> bool) {
        self.fetches.retain(|f| needed(&f.image));
    }

    /// Advances the clock; a `hung` machine fetches nothing in that time. Returns whether a
    /// fetch has completed.
    pub fn advance(&mut self, now: Duration, hung: bool) -> bool {
        let mut remaining_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let mut completed = false;
        while !hung && !self.fetches.is_empty() && remaining_s > 0.0 {
            let gb_per_s = self.gb_per_s / self.fetches.len() as f64;
            let least_gb = self.fetches.iter().map(|f| f.remaining_gb).fold(f64::INFINITY, f64::min);
            let step_s = remaining_s.min(least_gb / gb_per_s);
            remaining_s -= step_s;
            self.fetches.iter_mut().for_each(|f| f.remaining_gb -= gb_per_s * step_s);
            for f in self.fetches.extract_if(.., |f| f.remaining_gb <= 1e-9) {
                self.cached.push((f.image, f.image_gb));
                completed = true;
            }
            if step_s <= 0.0 && !completed {
                break;
            }
        }
        while self.cached.len() > 1 && self.cached.iter().map(|(_, gb)| gb).sum::<f64>() > self.cache_gb {
            self.cached.remove(0);
        }
        completed
    }

    /// When the next fetch will complete, if none is started or cancelled before.
    pub fn next_completion(&self) -> Option<Duration> {
        let least_gb = self.fetches.iter().map(|f| f.remaining_gb).min_by(f64::total_cmp)?;
        let duration_s = (least_gb * self.fetches.len() as f64 / self.gb_per_s).max(0.0);
        Some(self.updated_at + Duration::from_secs_f64(duration_s) + Duration::from_millis(1))
    }
}

#[cfg(test)]
mod tests;
