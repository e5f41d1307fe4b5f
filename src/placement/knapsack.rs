//! The 0-1 knapsack over one machine's free memory (PAPER IV-C), with CPUs as
//! a second table dimension. Value of a task: 1 − (c / C)².

/// Equal waiting tasks that one machine could take.
#[derive(Debug, Clone)]
pub struct Group {
    /// Free-to-choose name that the result refers to.
    pub id: usize,
    pub count: u32,
    /// Memory, in steps, rounded up.
    pub mem: u32,
    /// CPUs, in steps, rounded up.
    pub cpu: u32,
    pub value: f32,
}

/// Steps per CPU core in the table: shares of CPUs are rounded up to this.
pub const CPU_STEPS: f64 = 4.0;

/// Value of a task that takes `c` of the machine's `total` CPUs.
pub fn value(c: f64, total: f64) -> f32 {
    if total <= 0.0 {
        return 0.0;
    }
    (1.0 - (c / total).powi(2)) as f32
}

/// Buffers that are kept from one knapsack to the next.
#[derive(Debug, Default)]
pub struct Knapsack {
    best: Vec<f32>,
    taken: Vec<bool>,
}

/// An item of the table: `times` equal tasks taken or left as one.
struct Item {
    group: usize,
    times: u32,
    mem: usize,
    cpu: usize,
    value: f32,
}

impl Knapsack {
    /// How many tasks of each group to take so that the value is greatest.
    pub fn fill(&mut self, groups: &[Group], free_mem: u32, free_cpu: u32) -> Vec<(usize, u32)> {
        let usable = |g: &&Group| g.count > 0 && g.mem <= free_mem && g.cpu <= free_cpu;
        let groups: Vec<&Group> = groups.iter().filter(usable).collect();
        let sum = |f: fn(&Group) -> u32| -> u64 { groups.iter().map(|g| u64::from(f(g)) * u64::from(g.count)).sum() };
        if sum(|g| g.mem) <= u64::from(free_mem) && sum(|g| g.cpu) <= u64::from(free_cpu) {
            return groups.iter().map(|g| (g.id, g.count)).collect();
        }
        // A common divisor of all weights makes the table smaller, and loses nothing.
        let dm = groups.iter().fold(0, |d, g| gcd(d, g.mem)).max(1);
        let dc = groups.iter().fold(0, |d, g| gcd(d, g.cpu)).max(1);
        let (w, h) = ((free_mem / dm) as usize + 1, (free_cpu / dc) as usize + 1);
        let items = split(&groups, dm, dc, w, h);
        self.best.clear();
        self.best.resize(w * h, 0.0);
        self.taken.clear();
        self.taken.resize(items.len() * w * h, false);
        for (k, it) in items.iter().enumerate() {
            let taken = &mut self.taken[k * w * h..(k + 1) * w * h];
            for c in (it.cpu..h).rev() {
                for m in (it.mem..w).rev() {
                    let with = self.best[(c - it.cpu) * w + m - it.mem] + it.value;
                    let at = c * w + m;
                    if with > self.best[at] {
                        self.best[at] = with;
                        taken[at] = true;
                    }
                }
            }
        }
        let mut out: Vec<(usize, u32)> = Vec::new();
        let (mut c, mut m) = (h - 1, w - 1);
        for (k, it) in items.iter().enumerate().rev() {
            if self.taken[k * w * h + c * w + m] {
                c -= it.cpu;
                m -= it.mem;
                let id = groups[it.group].id;
                match out.iter_mut().find(|o| o.0 == id) {
                    Some(o) => o.1 += it.times,
                    None => out.push((id, it.times)),
                }
            }
        }
        out
    }
}

/// Binary splitting: n equal tasks become about log2(n) items.
fn split(groups: &[&Group], dm: u32, dc: u32, w: usize, h: usize) -> Vec<Item> {
    let mut items = Vec::new();
    for (group, g) in groups.iter().enumerate() {
        let (mem, cpu) = ((g.mem / dm) as usize, (g.cpu / dc) as usize);
        let fits = |room: usize, size: usize| (room - 1).checked_div(size).unwrap_or(usize::MAX);
        let most = fits(w, mem).min(fits(h, cpu)).min(g.count as usize) as u32;
        let (mut left, mut times) = (most, 1);
        while left > 0 {
            let n = times.min(left);
            items.push(Item {
                group,
                times: n,
                mem: mem * n as usize,
                cpu: cpu * n as usize,
                value: g.value * n as f32,
            });
            left -= n;
            times *= 2;
        }
    }
    items
}

fn gcd(a: u32, b: u32) -> u32 {
    if b == 0 { a } else { gcd(b, a % b) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    fn brute(groups: &[Group], mem: u32, cpu: u32) -> f32 {
        let Some((g, rest)) = groups.split_first() else {
            return 0.0;
        };
        let mut best: f32 = 0.0;
        for n in 0..=g.count {
            if n * g.mem > mem || n * g.cpu > cpu {
                break;
            }
            best = best.max(n as f32 * g.value + brute(rest, mem - n * g.mem, cpu - n * g.cpu));
        }
        best
    }

    #[test]
    fn as_good_as_trying_every_set() {
        let mut rng = StdRng::seed_from_u64(7);
        let mut sack = Knapsack::default();
        for round in 0..300 {
            let groups: Vec<Group> = (0..rng.random_range(1..5))
                .map(|id| Group {
                    id,
                    count: rng.random_range(0..6),
                    mem: rng.random_range(0..9),
                    cpu: rng.random_range(0..9),
                    value: value(rng.random_range(0.0..8.0), 8.0),
                })
                .collect();
            let (mem, cpu) = (rng.random_range(0..30), rng.random_range(0..30));
            let took = sack.fill(&groups, mem, cpu);
            let total =
                |f: &dyn Fn(&Group) -> f32| -> f32 { took.iter().map(|(id, n)| f(&groups[*id]) * *n as f32).sum() };
            assert!(total(&|g| g.mem as f32) <= mem as f32, "round {round}");
            assert!(total(&|g| g.cpu as f32) <= cpu as f32, "round {round}");
            assert!(took.iter().all(|(id, n)| *n <= groups[*id].count));
            let (got, want) = (total(&|g| g.value), brute(&groups, mem, cpu));
            assert!((got - want).abs() < 1e-3, "round {round}: {got} {want}");
        }
    }
}
