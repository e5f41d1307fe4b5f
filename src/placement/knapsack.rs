//! A 0-1 knapsack solver that chooses tasks for one machine, by dynamic programming over the
//! machine's free memory, CPUs and GPUs.
//!
//! The knapsack over memory is that of section IV-C of PAPER; CPUs and GPUs are further
//! dimensions of the table. A task that takes c of the machine's C CPUs has the value
//! 1 − (c / C)².

#![warn(missing_docs)]

/// Identical waiting tasks that one machine could take.
#[derive(Debug, Clone)]
pub struct TaskGroup {
    /// Identifier chosen by the caller, by which the result refers to the group.
    pub id: usize,
    /// Number of tasks.
    pub count: u32,
    /// Memory of one task, in steps, rounded up.
    pub mem: u32,
    /// CPUs of one task, in steps, rounded up.
    pub cpu: u32,
    /// GPUs of one task, in steps, rounded up.
    pub gpu: u32,
    /// Value of one task (see [`task_value`]).
    pub value: f32,
}

/// Steps per CPU core in the table: fractions of a core are rounded up to a step.
pub const CPU_STEPS: f64 = 4.0;
/// Steps per GPU in the table: fractions of a GPU are rounded up to a step.
pub const GPU_STEPS: f64 = 4.0;

/// Amounts of memory, CPUs and GPUs, in this order and in steps.
pub type Steps = [u32; 3];

impl TaskGroup {
    /// What one task takes.
    fn steps(&self) -> Steps {
        [self.mem, self.cpu, self.gpu]
    }
}

/// The value of a task that takes `cpus` of the machine's `total` CPUs.
pub fn task_value(cpus: f64, total: f64) -> f32 {
    if total <= 0.0 {
        return 0.0;
    }
    (1.0 - (cpus / total).powi(2)) as f32
}

/// The solver, with buffers that are reused from one knapsack to the next.
#[derive(Debug, Default)]
pub struct Knapsack {
    /// Greatest value for every free amount of memory, CPUs and GPUs.
    best: Vec<f32>,
    /// By item and free amount, whether the item is part of the best set.
    taken: Vec<bool>,
}

/// An item of the table: `count` tasks of one group that are taken together or not at all.
struct Item {
    /// Index of the group in the list of groups that can be taken.
    group: usize,
    count: u32,
    /// Table steps that the item takes in each dimension.
    weight: [usize; 3],
    value: f32,
}

impl Knapsack {
    /// Chooses how many tasks of each group to take so that their total value is greatest and
    /// they fit into `free`. Returns group identifiers with counts above zero.
    pub fn solve(&mut self, groups: &[TaskGroup], free: Steps) -> Vec<(usize, u32)> {
        let usable =
            |group: &&TaskGroup| group.count > 0 && group.steps().iter().zip(free).all(|(need, free)| *need <= free);
        let groups: Vec<&TaskGroup> = groups.iter().filter(usable).collect();
        let binds = binding_dimensions(&groups, free);
        if binds == [false; 3] {
            return groups.iter().map(|group| (group.id, group.count)).collect();
        }
        // Neither dividing all weights by a common divisor nor leaving out dimensions that
        // cannot bind changes the result; both make the table smaller.
        let divisor = |d: usize| groups.iter().fold(0, |common, group| gcd(common, group.steps()[d])).max(1);
        let divisors = [0, 1, 2].map(divisor);
        let sizes = [0, 1, 2].map(|d| if binds[d] { (free[d] / divisors[d]) as usize + 1 } else { 1 });
        let weight_of =
            |group: &TaskGroup| [0, 1, 2].map(|d| if binds[d] { (group.steps()[d] / divisors[d]) as usize } else { 0 });
        let [mem_size, cpu_size, gpu_size] = sizes;
        let cells = mem_size * cpu_size * gpu_size;
        let items = split_into_items(&groups, weight_of, sizes);
        self.best.clear();
        self.best.resize(cells, 0.0);
        self.taken.clear();
        self.taken.resize(items.len() * cells, false);
        // Amounts are visited in descending order, so that each item is taken once at most.
        for (i, item) in items.iter().enumerate() {
            let taken = &mut self.taken[i * cells..(i + 1) * cells];
            let [mem, cpu, gpu] = item.weight;
            for g in (gpu..gpu_size).rev() {
                for c in (cpu..cpu_size).rev() {
                    let row = (g * cpu_size + c) * mem_size;
                    let row_without = ((g - gpu) * cpu_size + c - cpu) * mem_size;
                    for m in (mem..mem_size).rev() {
                        let value_with = self.best[row_without + m - mem] + item.value;
                        if value_with > self.best[row + m] {
                            self.best[row + m] = value_with;
                            taken[row + m] = true;
                        }
                    }
                }
            }
        }
        // Walk back from the cell with everything free through the items of the best set.
        let mut chosen: Vec<(usize, u32)> = Vec::new();
        let mut cell = cells - 1;
        for (i, item) in items.iter().enumerate().rev() {
            if self.taken[i * cells + cell] {
                let [mem, cpu, gpu] = item.weight;
                cell -= (gpu * cpu_size + cpu) * mem_size + mem;
                let id = groups[item.group].id;
                match chosen.iter_mut().find(|entry| entry.0 == id) {
                    Some(entry) => entry.1 += item.count,
                    None => chosen.push((id, item.count)),
                }
            }
        }
        chosen
    }
}

/// For memory, CPUs and GPUs, whether that dimension can keep a set of tasks from fitting. It
/// cannot if there is enough of it for all tasks, or if every set that fits in another
/// dimension that binds fits in this one as well.
fn binding_dimensions(groups: &[&TaskGroup], free: Steps) -> [bool; 3] {
    let sum =
        |d: usize| -> u64 { groups.iter().map(|group| u64::from(group.steps()[d]) * u64::from(group.count)).sum() };
    let mut binds = [0, 1, 2].map(|d| sum(d) > u64::from(free[d]));
    for d in 0..3 {
        let is_implied_by = |other: usize| {
            // Every task takes no larger share of this dimension than of the other one.
            let takes_no_larger_share = |group: &&TaskGroup| {
                let (need, need_of_other) = (u64::from(group.steps()[d]), u64::from(group.steps()[other]));
                need * u64::from(free[other]) <= need_of_other * u64::from(free[d])
            };
            binds[other] && other != d && groups.iter().all(takes_no_larger_share)
        };
        binds[d] = binds[d] && !(0..3).any(is_implied_by);
    }
    binds
}

/// Binary splitting: n identical tasks become about log2(n) items, sums of which give every
/// number of tasks up to n.
fn split_into_items(
    groups: &[&TaskGroup],
    weight_of: impl Fn(&TaskGroup) -> [usize; 3],
    sizes: [usize; 3],
) -> Vec<Item> {
    let mut items = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        let weight = weight_of(group);
        let fits = |d: usize| (sizes[d] - 1).checked_div(weight[d]).unwrap_or(usize::MAX);
        let most = fits(0).min(fits(1)).min(fits(2)).min(group.count as usize) as u32;
        let (mut left, mut size) = (most, 1);
        while left > 0 {
            let count = size.min(left);
            let item_weight = weight.map(|steps| steps * count as usize);
            items.push(Item { group: index, count, weight: item_weight, value: group.value * count as f32 });
            left -= count;
            size *= 2;
        }
    }
    items
}

/// The greatest common divisor.
fn gcd(a: u32, b: u32) -> u32 {
    if b == 0 { a } else { gcd(b, a % b) }
}

#[cfg(test)]
mod tests;
