//! A 0-1 knapsack solver that chooses tasks for one machine, by dynamic programming over the
//! machine's free memory, CPUs and GPUs.
//!
//! The knapsack over memory is that of section IV-C of PAPER; CPUs and GPUs are further
//! dimensions of the table. A task that takes c of the machine's C CPUs has the value
//! 1 − (c / C)².

#![warn(missing_docs)]

mod table;

use std::cmp::Reverse;
use table::{Division, Shape, Table};

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
#[derive(Debug)]
pub struct Knapsack {
    table: Table,
    /// The memory that the table may take, in bytes.
    max_table_bytes: usize,
}

impl Default for Knapsack {
    /// A solver whose table may take any amount of memory.
    fn default() -> Knapsack {
        Knapsack::with_limit(usize::MAX)
    }
}

/// An item of the table: `count` tasks of one group that are taken together or not at all.
#[derive(Debug)]
struct Item {
    /// Index of the group in the list of groups that can be taken.
    group: usize,
    count: u32,
    /// Cells that the item takes in each dimension of the table.
    weight: [usize; 3],
    value: f32,
}

impl Knapsack {
    /// A solver whose table takes at most `max_table_bytes` bytes.
    pub fn with_limit(max_table_bytes: usize) -> Knapsack {
        Knapsack { table: Table::default(), max_table_bytes }
    }

    /// Chooses how many tasks of each group to take so that their total value is greatest and
    /// they fit into `free`. Returns group identifiers with counts above zero.
    ///
    /// If the table would take too much memory even with few items at a time, its resolution is
    /// reduced: the tasks still fit, and their value is the greatest for the rounded amounts.
    pub fn solve(&mut self, groups: &[TaskGroup], free: Steps) -> Vec<(usize, u32)> {
        let usable =
            |group: &&TaskGroup| group.count > 0 && group.steps().iter().zip(free).all(|(need, free)| *need <= free);
        let groups: Vec<&TaskGroup> = groups.iter().filter(usable).collect();
        let binds = binding_dimensions(&groups, free);
        if binds == [false; 3] {
            return groups.iter().map(|group| (group.id, group.count)).collect();
        }
        let mut resolution = Resolution::exact(&groups, free, binds);
        let (shape, items, division) = loop {
            let (shape, items) = (resolution.shape(), split_into_items(&groups, &resolution));
            match Division::within(&shape, items.len(), self.max_table_bytes) {
                Some(division) => break (shape, items, division),
                None if resolution.can_be_reduced() => resolution.reduce(),
                None => return Vec::new(),
            }
        };
        let mut chosen: Vec<(usize, u32)> = Vec::new();
        for index in self.table.best_set(shape, &items, division) {
            let item = &items[index];
            let id = groups[item.group].id;
            match chosen.iter_mut().find(|entry| entry.0 == id) {
                Some(entry) => entry.1 += item.count,
                None => chosen.push((id, item.count)),
            }
        }
        chosen
    }

    /// The memory that the buffers hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.table.held_bytes()
    }
}

/// How amounts are mapped to cells of the table.
#[derive(Debug)]
struct Resolution {
    free: Steps,
    /// Whether the dimension can bind. Others have one cell, since leaving them out does not
    /// change the result.
    binds: [bool; 3],
    /// Steps per cell.
    steps_per_cell: [u32; 3],
    /// The dimensions in the order of the table: the largest one first.
    order: [usize; 3],
}

impl Resolution {
    /// The resolution at which the table is exact: a cell is the common divisor of all weights.
    fn exact(groups: &[&TaskGroup], free: Steps, binds: [bool; 3]) -> Resolution {
        let divisor = |d: usize| groups.iter().fold(0, |common, group| gcd(common, group.steps()[d])).max(1);
        let unordered = Resolution { free, binds, steps_per_cell: [0, 1, 2].map(divisor), order: [0, 1, 2] };
        let mut order = unordered.order;
        order.sort_by_key(|d| Reverse(unordered.size(*d)));
        Resolution { order, ..unordered }
    }

    /// The number of cells in a dimension.
    fn size(&self, d: usize) -> usize {
        if self.binds[d] { (self.free[d] / self.steps_per_cell[d]) as usize + 1 } else { 1 }
    }

    /// The shape of the table.
    fn shape(&self) -> Shape {
        Shape { sizes: self.order.map(|d| self.size(d)) }
    }

    /// The cells that a task takes, rounded up. A task that fits into the free capacity by itself
    /// still does so: it then takes all cells.
    fn weight(&self, group: &TaskGroup) -> [usize; 3] {
        self.order.map(|d| {
            let cells = group.steps()[d].div_ceil(self.steps_per_cell[d]) as usize;
            if self.binds[d] { cells.min(self.size(d) - 1).max(usize::from(group.steps()[d] > 0)) } else { 0 }
        })
    }

    /// The dimension with the most cells.
    fn largest_dimension(&self) -> usize {
        self.order.into_iter().max_by_key(|d| self.size(*d)).unwrap_or_default()
    }

    /// Whether some dimension has cells that can be joined and still tell tasks apart.
    fn can_be_reduced(&self) -> bool {
        self.size(self.largest_dimension()) > 2
    }

    /// Halves the resolution of the dimension with the most cells.
    fn reduce(&mut self) {
        let largest = self.largest_dimension();
        self.steps_per_cell[largest] = self.steps_per_cell[largest].saturating_mul(2);
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
fn split_into_items(groups: &[&TaskGroup], resolution: &Resolution) -> Vec<Item> {
    let sizes = resolution.shape().sizes;
    let mut items = Vec::new();
    for (index, group) in groups.iter().enumerate() {
        let weight = resolution.weight(group);
        let fits = |d: usize| (sizes[d] - 1).checked_div(weight[d]).unwrap_or(usize::MAX);
        let most = fits(0).min(fits(1)).min(fits(2)).min(group.count as usize) as u32;
        let (mut left, mut size) = (most, 1);
        while left > 0 {
            let count = size.min(left);
            let item_weight = weight.map(|cells| cells * count as usize);
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
