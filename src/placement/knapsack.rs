//! The 0-1 knapsack over one machine's free memory (PAPER IV-C), with CPUs and
//! GPUs as further table dimensions. Value of a task: 1 − (c / C)².

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
    /// GPUs, in steps, rounded up.
    pub gpu: u32,
    pub value: f32,
}

/// Steps per CPU core and per GPU in the table: shares are rounded up to this.
pub const CPU_STEPS: f64 = 4.0;
pub const GPU_STEPS: f64 = 4.0;

/// What a machine has free, or a task takes, in steps: memory, CPUs, GPUs.
pub type Steps = [u32; 3];

impl Group {
    fn steps(&self) -> Steps {
        [self.mem, self.cpu, self.gpu]
    }
}

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
    takes: [usize; 3],
    value: f32,
}

impl Knapsack {
    /// How many tasks of each group to take so that the value is greatest.
    pub fn fill(&mut self, groups: &[Group], free: Steps) -> Vec<(usize, u32)> {
        let usable = |g: &&Group| g.count > 0 && g.steps().iter().zip(free).all(|(need, free)| *need <= free);
        let groups: Vec<&Group> = groups.iter().filter(usable).collect();
        let binds = binding(&groups, free);
        if binds == [false; 3] {
            return groups.iter().map(|g| (g.id, g.count)).collect();
        }
        // A common divisor of all weights makes the table smaller, and loses
        // nothing; nor does leaving out what cannot bind.
        let divisor = |d: usize| groups.iter().fold(0, |n, g| gcd(n, g.steps()[d])).max(1);
        let divisors = [0, 1, 2].map(divisor);
        let sizes = [0, 1, 2].map(|d| if binds[d] { (free[d] / divisors[d]) as usize + 1 } else { 1 });
        let weigh = |g: &Group| [0, 1, 2].map(|d| if binds[d] { (g.steps()[d] / divisors[d]) as usize } else { 0 });
        let [w, h, l] = sizes;
        let cells = w * h * l;
        let items = split(&groups, weigh, sizes);
        self.best.clear();
        self.best.resize(cells, 0.0);
        self.taken.clear();
        self.taken.resize(items.len() * cells, false);
        for (k, it) in items.iter().enumerate() {
            let taken = &mut self.taken[k * cells..(k + 1) * cells];
            let [mem, cpu, gpu] = it.takes;
            for g in (gpu..l).rev() {
                for c in (cpu..h).rev() {
                    let (row, from) = ((g * h + c) * w, ((g - gpu) * h + c - cpu) * w);
                    for m in (mem..w).rev() {
                        let with = self.best[from + m - mem] + it.value;
                        if with > self.best[row + m] {
                            self.best[row + m] = with;
                            taken[row + m] = true;
                        }
                    }
                }
            }
        }
        let mut out: Vec<(usize, u32)> = Vec::new();
        let mut at = cells - 1;
        for (k, it) in items.iter().enumerate().rev() {
            if self.taken[k * cells + at] {
                let [mem, cpu, gpu] = it.takes;
                at -= (gpu * h + cpu) * w + mem;
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

/// Which of memory, CPUs and GPUs can keep a set from fitting. One cannot if all
/// tasks fit, or if every set that another one allows leaves enough of it.
fn binding(groups: &[&Group], free: Steps) -> [bool; 3] {
    let sum = |d: usize| -> u64 { groups.iter().map(|g| u64::from(g.steps()[d]) * u64::from(g.count)).sum() };
    let mut binds = [0, 1, 2].map(|d| sum(d) > u64::from(free[d]));
    for d in 0..3 {
        let implied = |by: usize| {
            let within = |g: &&Group| {
                let (x, y) = (u64::from(g.steps()[d]), u64::from(g.steps()[by]));
                x * u64::from(free[by]) <= y * u64::from(free[d])
            };
            binds[by] && by != d && groups.iter().all(within)
        };
        binds[d] = binds[d] && !(0..3).any(implied);
    }
    binds
}

/// Binary splitting: n equal tasks become about log2(n) items.
fn split(groups: &[&Group], weigh: impl Fn(&Group) -> [usize; 3], sizes: [usize; 3]) -> Vec<Item> {
    let mut items = Vec::new();
    for (group, g) in groups.iter().enumerate() {
        let takes = weigh(g);
        let fits = |d: usize| (sizes[d] - 1).checked_div(takes[d]).unwrap_or(usize::MAX);
        let most = fits(0).min(fits(1)).min(fits(2)).min(g.count as usize) as u32;
        let (mut left, mut times) = (most, 1);
        while left > 0 {
            let n = times.min(left);
            items.push(Item { group, times: n, takes: takes.map(|t| t * n as usize), value: g.value * n as f32 });
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
mod tests;
