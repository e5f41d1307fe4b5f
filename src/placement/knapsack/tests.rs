//! Compares the knapsack with an exhaustive search.

use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The greatest value of any set of tasks that fits, found by trying all sets.
fn best_value(groups: &[TaskGroup], free: Steps) -> f32 {
    let Some((first, rest)) = groups.split_first() else {
        return 0.0;
    };
    let mut best: f32 = 0.0;
    for count in 0..=first.count {
        let left = [0, 1, 2].map(|d| free[d].checked_sub(count * first.steps()[d]));
        let [Some(mem), Some(cpu), Some(gpu)] = left else { break };
        best = best.max(count as f32 * first.value + best_value(rest, [mem, cpu, gpu]));
    }
    best
}

/// Covers all dimensions. Many of the cases have dimensions that cannot bind: leaving those out
/// must not change the value.
#[test]
fn the_value_is_that_of_an_exhaustive_search() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut knapsack = Knapsack::default();
    for round in 0..600 {
        let gpus = if round % 3 == 0 { 1 } else { 5 };
        let groups: Vec<TaskGroup> = (0..rng.random_range(1..5))
            .map(|id| TaskGroup {
                id,
                count: rng.random_range(0..6),
                mem: rng.random_range(0..9),
                cpu: rng.random_range(0..9),
                gpu: rng.random_range(0..gpus),
                value: task_value(rng.random_range(0.0..8.0), 8.0),
            })
            .collect();
        let free = [rng.random_range(0..30), rng.random_range(0..30), rng.random_range(0..12)];
        let chosen = knapsack.solve(&groups, free);
        let total = |f: &dyn Fn(&TaskGroup) -> f32| -> f32 {
            chosen.iter().map(|(id, count)| f(&groups[*id]) * *count as f32).sum()
        };
        for (d, free) in free.iter().enumerate() {
            assert!(total(&|g| g.steps()[d] as f32) <= *free as f32, "round {round}");
        }
        assert!(chosen.iter().all(|(id, count)| *count <= groups[*id].count));
        let (found, expected) = (total(&|g| g.value), best_value(&groups, free));
        assert!((found - expected).abs() < 1e-3, "round {round}: {found} {expected}");
    }
}

/// Chooses as the standard program does that keeps a flag for every item and cell.
fn with_whole_table(groups: &[TaskGroup], free: Steps) -> Vec<(usize, u32)> {
    let usable: Vec<&TaskGroup> = groups
        .iter()
        .filter(|group| group.count > 0 && group.steps().iter().zip(free).all(|(need, free)| *need <= free))
        .collect();
    let binds = binding_dimensions(&usable, free);
    if binds == [false; 3] {
        return usable.iter().map(|group| (group.id, group.count)).collect();
    }
    let resolution = Resolution { order: [0, 1, 2], ..Resolution::exact(&usable, free, binds) };
    let [mem_size, cpu_size, gpu_size] = resolution.shape().sizes;
    let cells = mem_size * cpu_size * gpu_size;
    let items = split_into_items(&usable, &resolution);
    let (mut best, mut taken) = (vec![0.0f32; cells], vec![false; items.len() * cells]);
    for (i, item) in items.iter().enumerate() {
        let [mem, cpu, gpu] = item.weight;
        for cell in (0..cells).rev() {
            let (m, c, g) = (cell % mem_size, cell / mem_size % cpu_size, cell / mem_size / cpu_size);
            if m >= mem && c >= cpu && g >= gpu {
                let with = best[cell - (gpu * cpu_size + cpu) * mem_size - mem] + item.value;
                if with > best[cell] {
                    (best[cell], taken[i * cells + cell]) = (with, true);
                }
            }
        }
    }
    let (mut chosen, mut cell): (Vec<(usize, u32)>, usize) = (Vec::new(), cells - 1);
    for (i, item) in items.iter().enumerate().rev() {
        if taken[i * cells + cell] {
            let [mem, cpu, gpu] = item.weight;
            cell -= (gpu * cpu_size + cpu) * mem_size + mem;
            let id = usable[item.group].id;
            match chosen.iter_mut().find(|entry| entry.0 == id) {
                Some(entry) => entry.1 += item.count,
                None => chosen.push((id, item.count)),
            }
        }
    }
    chosen
}

/// Different small tasks, which are an item each.
fn small_tasks(rng: &mut StdRng, count: usize, max_steps: Steps) -> Vec<TaskGroup> {
    let mut group = |id| TaskGroup {
        id,
        count: rng.random_range(1..4),
        mem: rng.random_range(0..=max_steps[0]),
        cpu: rng.random_range(0..=max_steps[1]),
        gpu: rng.random_range(0..=max_steps[2]),
        value: task_value(rng.random_range(0.0..8.0), 8.0) + 1e-3 * id as f32 / count as f32,
    };
    (0..count).map(&mut group).collect()
}

/// Guards against another choice of tasks where less memory than that of the whole table is used:
/// which of several best sets is chosen decides which jobs meet their objective.
#[test]
fn the_choice_does_not_depend_on_the_memory() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut divided = 0;
    for round in 0..120 {
        let free = [rng.random_range(1..90), rng.random_range(1..20), [0, 0, 6][round % 3]];
        let groups = small_tasks(&mut rng, [3, 20, 60][round % 3], [12, 4, 3]);
        let expected = with_whole_table(&groups, free);
        assert_eq!(Knapsack::default().solve(&groups, free), expected, "round {round}");
        // From the limit at which the table just fits, down to that at which it does not.
        let usable: Vec<&TaskGroup> =
            groups.iter().filter(|group| group.steps().iter().zip(free).all(|(need, free)| *need <= free)).collect();
        let resolution = Resolution::exact(&usable, free, binding_dimensions(&usable, free));
        let (shape, items) = (resolution.shape(), split_into_items(&usable, &resolution));
        for max_bytes in (1..2_000).map(|n| n * 512) {
            if Division::within(&shape, items.len(), max_bytes).is_none() {
                continue;
            }
            let mut knapsack = Knapsack::with_limit(max_bytes);
            assert_eq!(knapsack.solve(&groups, free), expected, "round {round}, {max_bytes} bytes");
            assert!(knapsack.held_bytes() <= max_bytes, "round {round}: {} of {max_bytes}", knapsack.held_bytes());
            divided += 1;
            if divided % 4 == 0 {
                break;
            }
        }
    }
    assert!(divided > 120, "{divided} tables were divided");
}

/// 500 different small tasks waited for a machine of 64 CPUs and 512 GB, and the table took
/// 263 MB of a controller's 104 MB: it was killed for memory, and again after each restart. Here the machine
/// and the memory are a sixteenth of that. In an eighth of the memory the choice is that of the whole
/// table; with less, the tasks still fit.
#[test]
fn many_tasks_on_a_large_machine_stay_within_the_memory() {
    let mut rng = StdRng::seed_from_u64(12);
    let groups: Vec<TaskGroup> = (0..500)
        .map(|id| {
            let cpus: f64 = rng.random_range(0.175..0.325);
            let (mem, cpu) = (rng.random_range(6..=10), (cpus * CPU_STEPS).ceil() as u32);
            TaskGroup { id, count: 1, mem, cpu, gpu: 0, value: task_value(cpus, 64.0) }
        })
        .collect();
    let (free, memory) = ([512, 64, 0], 104 * 1024 * 1024 / 16);
    let whole = with_whole_table(&groups, free);
    for max_bytes in [memory / 8, memory / 16, memory / 1_000] {
        let mut knapsack = Knapsack::with_limit(max_bytes);
        let chosen = knapsack.solve(&groups, free);
        assert!(knapsack.held_bytes() <= max_bytes, "{} of {max_bytes}", knapsack.held_bytes());
        assert!(max_bytes < memory / 8 || chosen == whole, "another choice in {max_bytes}");
        let used = |d: usize| chosen.iter().map(|(id, _)| groups[*id].steps()[d]).sum::<u32>();
        assert!(!chosen.is_empty() && used(0) <= free[0] && used(1) <= free[1], "{max_bytes}");
    }
}

/// Guards against a machine of any size, or a controller with any memory, for which the table's
/// size overflows: tasks are chosen all the same, and fit.
#[test]
fn machines_of_any_size_are_filled_within_the_memory() {
    let mut rng = StdRng::seed_from_u64(13);
    for free in [[u32::MAX, u32::MAX, u32::MAX], [u32::MAX, 1, 0], [5_000_000, 4_000, 64]] {
        for max_bytes in [1_000_000, 4_000] {
            let mut groups = small_tasks(&mut rng, 40, free.map(|steps| steps / 3));
            groups.push(TaskGroup { id: 40, count: 1, mem: free[0], cpu: free[1], gpu: free[2], value: 0.5 });
            let mut knapsack = Knapsack::with_limit(max_bytes);
            let chosen = knapsack.solve(&groups, free);
            assert!(knapsack.held_bytes() <= max_bytes, "{} of {max_bytes}", knapsack.held_bytes());
            assert!(!chosen.is_empty(), "{free:?}");
            for d in 0..3 {
                let used = chosen.iter().map(|(id, count)| u64::from(groups[*id].steps()[d]) * u64::from(*count));
                assert!(used.sum::<u64>() <= u64::from(free[d]), "{free:?} in {max_bytes}");
            }
            // A task that takes the whole machine is chosen if it is alone.
            let whole = TaskGroup { count: 2, ..groups[40].clone() };
            assert_eq!(Knapsack::with_limit(max_bytes).solve(&[whole], free), [(40, 1)], "{free:?}");
        }
    }
    for max_bytes in [0, 1, 16] {
        let groups = small_tasks(&mut rng, 40, [9, 9, 9]);
        Knapsack::with_limit(max_bytes).solve(&groups, [20, 20, 20]);
    }
}
