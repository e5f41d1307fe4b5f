//! The dynamic program of the knapsack, in bounded memory.
//!
//! The standard program keeps, for every item and every cell of the table, whether the item is
//! part of the best set. Where this takes too much memory, it is kept only for some consecutive
//! items at a time: the values before the middle item are copied, the second half of the items
//! is solved from the copy, and then the first half from the values that were kept. Each half
//! may be divided again. The arithmetic is that of the whole table, and so is the result.

#![warn(missing_docs)]

use super::Item;

/// Cells whose flags share a word.
const FLAGS_PER_WORD: usize = u64::BITS as usize;

/// The number of cells in each dimension. The first one is that of consecutive cells, called a
/// line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Shape {
    pub(super) sizes: [usize; 3],
}

/// A cell by its coordinates.
type Cell = [usize; 3];

impl Shape {
    /// The number of lines; `usize::MAX` if there are more.
    fn lines(&self) -> usize {
        self.sizes[1].saturating_mul(self.sizes[2])
    }

    /// The number of cells; `usize::MAX` if there are more.
    fn cells(&self) -> usize {
        self.lines().saturating_mul(self.sizes[0])
    }

    /// The number of the line with these coordinates.
    fn line(&self, middle: usize, outer: usize) -> usize {
        outer * self.sizes[1] + middle
    }

    /// Words for the flags of a line.
    fn line_words(&self) -> usize {
        self.sizes[0].div_ceil(FLAGS_PER_WORD)
    }

    /// Words for the flags of all cells for one item; `usize::MAX` if there are more.
    fn item_words(&self) -> usize {
        self.lines().saturating_mul(self.line_words())
    }

    /// The last cell, in which all of the capacity is free.
    fn last_cell(&self) -> Cell {
        self.sizes.map(|size| size - 1)
    }
}

/// How the items are divided so that the table fits into memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Division {
    /// How many times halves are divided again. Each time takes a copy of the values.
    depth: u32,
    /// The number of items for which flags are kept at a time.
    flagged_items: usize,
}

impl Division {
    /// The division with the fewest copies that takes at most `max_bytes`; `None` if all take more.
    pub(super) fn within(shape: &Shape, items: usize, max_bytes: usize) -> Option<Division> {
        let mut division = Division { depth: 0, flagged_items: items };
        while division.bytes(shape) > max_bytes {
            if division.flagged_items <= 1 {
                return None;
            }
            division = Division { depth: division.depth + 1, flagged_items: division.flagged_items.div_ceil(2) };
        }
        Some(division)
    }

    /// The memory that the table takes; `usize::MAX` if it is more.
    fn bytes(&self, shape: &Shape) -> usize {
        let values = shape.cells().saturating_mul(self.depth as usize + 1).saturating_mul(size_of::<f32>());
        let flags = shape.item_words().saturating_mul(self.flagged_items).saturating_mul(size_of::<u64>());
        let line =
            shape.line_words().saturating_mul(FLAGS_PER_WORD).saturating_mul(size_of::<f32>() + size_of::<bool>());
        values.saturating_add(flags).saturating_add(line)
    }
}

/// The buffers of the program, which are reused from one knapsack to the next.
#[derive(Debug, Default)]
pub(super) struct Table {
    /// For each depth, the greatest value for every free amount.
    values: Vec<Vec<f32>>,
    /// By item and cell, whether the item is part of the best set.
    flags: Vec<u64>,
    /// A copy of a line.
    line: Vec<f32>,
    /// The flags of a line before they are packed into words.
    line_flags: Vec<bool>,
}

impl Table {
    /// The items of the most valuable set that fits, by index, from the last to the first.
    pub(super) fn best_set(&mut self, shape: Shape, items: &[Item], division: Division) -> Vec<usize> {
        self.resize(&shape, division);
        self.values[0].fill(0.0);
        let mut program = Program { shape, items, division, table: self, chosen: Vec::new() };
        program.solve(0, 0, items.len(), shape.last_cell());
        program.chosen
    }

    /// Makes the buffers large enough. A buffer that is too small is released before a larger one
    /// is allocated, so that both are never there at once.
    fn resize(&mut self, shape: &Shape, division: Division) {
        self.values.truncate(division.depth as usize + 1);
        self.values.resize_with(division.depth as usize + 1, Vec::new);
        self.values.iter_mut().for_each(|values| resize_buffer(values, shape.cells()));
        resize_buffer(&mut self.flags, shape.item_words() * division.flagged_items);
        resize_buffer(&mut self.line, shape.sizes[0]);
        resize_buffer(&mut self.line_flags, shape.line_words() * FLAGS_PER_WORD);
    }

    /// The memory that the buffers hold.
    pub(super) fn held_bytes(&self) -> usize {
        let values: usize = self.values.iter().map(Vec::capacity).sum();
        let flags = self.flags.capacity() * size_of::<u64>() + self.line_flags.capacity();
        (values + self.line.capacity()) * size_of::<f32>() + flags
    }
}

/// Sets the length of a buffer, whose contents do not matter.
fn resize_buffer<T: Clone + Default>(buffer: &mut Vec<T>, length: usize) {
    if buffer.capacity() < length {
        *buffer = Vec::new();
        buffer.reserve_exact(length);
    }
    buffer.truncate(length);
    buffer.resize(length, T::default());
    buffer.shrink_to(length);
}

/// One run of the program.
struct Program<'a> {
    shape: Shape,
    items: &'a [Item],
    division: Division,
    table: &'a mut Table,
    chosen: Vec<usize>,
}

impl Program<'_> {
    /// Chooses from the items `from..to` those that are in the best set of the cell `end`, and returns
    /// the cell that remains for the items before. The values at `depth` are those before the
    /// item `from`, and are used up.
    fn solve(&mut self, depth: usize, from: usize, to: usize, end: Cell) -> Cell {
        if to - from <= self.division.flagged_items {
            return self.solve_with_flags(depth, from, to, end);
        }
        let middle = from + (to - from) / 2;
        self.copy_values(depth, end);
        for item in from..middle {
            self.add_item(depth + 1, item, end, None);
        }
        let cell = self.solve(depth + 1, middle, to, end);
        self.solve(depth, from, middle, cell)
    }

    /// Like [`solve`](Self::solve), for items whose flags fit into memory.
    fn solve_with_flags(&mut self, depth: usize, from: usize, to: usize, end: Cell) -> Cell {
        for item in from..to {
            self.add_item(depth, item, end, Some(item - from));
        }
        // Walk back from the last cell through the items of the best set.
        let mut cell = end;
        for item in (from..to).rev() {
            if self.is_taken(item - from, cell) {
                self.chosen.push(item);
                let weight = self.items[item].weight;
                cell = [0, 1, 2].map(|d| cell[d] - weight[d]);
            }
        }
        cell
    }

    /// Copies the values up to the cell `end` from `depth` to the next depth.
    fn copy_values(&mut self, depth: usize, end: Cell) {
        let [length, middles, outers] = end.map(|last| last + 1);
        let (source, copy) = self.table.values.split_at_mut(depth + 1);
        for (outer, middle) in (0..outers).flat_map(|outer| (0..middles).map(move |middle| (outer, middle))) {
            let start = self.shape.line(middle, outer) * self.shape.sizes[0];
            copy[0][start..start + length].copy_from_slice(&source[depth][start..start + length]);
        }
    }

    /// Adds an item to the values at `depth`, for all cells up to `end`. With `flagged_item`, records in
    /// the flags of that number in which cells the item is taken.
    fn add_item(&mut self, depth: usize, item: usize, end: Cell, flagged_item: Option<usize>) {
        let Table { values, flags, line: line_copy, line_flags } = &mut *self.table;
        let (values, item_words, line_words) = (&mut values[depth], self.shape.item_words(), self.shape.line_words());
        let mut flags = flagged_item.map(|number| &mut flags[number * item_words..(number + 1) * item_words]);
        if let Some(flags) = &mut flags {
            flags.fill(0);
            line_flags.fill(false);
        }
        let Item { weight: [weight, middle_weight, outer_weight], value, .. } = self.items[item];
        let line_length = self.shape.sizes[0];
        let [last, last_middle, last_outer] = end;
        if weight > last {
            return;
        }
        // Amounts are visited in descending order, so that each item is taken once at most.
        for outer in (outer_weight..=last_outer).rev() {
            for middle in (middle_weight..=last_middle).rev() {
                let line = self.shape.line(middle, outer);
                let without = self.shape.line(middle - middle_weight, outer - outer_weight);
                let (before, rest) = values.split_at_mut(line * line_length);
                let source = if without == line {
                    line_copy[..=last].copy_from_slice(&rest[..=last]);
                    &line_copy[..=last - weight]
                } else {
                    &before[without * line_length..][..=last - weight]
                };
                let target = &mut rest[weight..=last];
                match &mut flags {
                    Some(flags) => {
                        add_to_line_with_flags(target, source, value, &mut line_flags[weight..=last]);
                        pack_flags(line_flags, &mut flags[line * line_words..(line + 1) * line_words]);
                    }
                    None => add_to_line(target, source, value),
                }
            }
        }
    }

    /// Whether the item with this number of flags is taken in the cell.
    fn is_taken(&self, flagged_item: usize, [cell, middle, outer]: Cell) -> bool {
        let line = flagged_item * self.shape.item_words() + self.shape.line(middle, outer) * self.shape.line_words();
        self.table.flags[line + cell / FLAGS_PER_WORD] >> (cell % FLAGS_PER_WORD) & 1 == 1
    }
}

/// Adds an item to the values of a line. `source` has the values without the item.
fn add_to_line(target: &mut [f32], source: &[f32], value: f32) {
    for (best, without) in target.iter_mut().zip(source) {
        let with = without + value;
        *best = if with > *best { with } else { *best };
    }
}

/// Like [`add_to_line`], and records in which cells the item is taken.
fn add_to_line_with_flags(target: &mut [f32], source: &[f32], value: f32, taken: &mut [bool]) {
    for ((best, without), taken) in target.iter_mut().zip(source).zip(taken) {
        let with = without + value;
        *taken = with > *best;
        *best = if with > *best { with } else { *best };
    }
}

/// Packs flags into words, the first flag into the lowest bit.
fn pack_flags(flags: &[bool], words: &mut [u64]) {
    /// Moves the lowest bit of each byte of a word into the word's highest byte, in order.
    const GATHER_BITS: u64 = 0x0102_0408_1020_4080;
    for (word, flags) in words.iter_mut().zip(flags.chunks_exact(FLAGS_PER_WORD)) {
        let mut packed = [0u8; size_of::<u64>()];
        for (byte, flags) in packed.iter_mut().zip(flags.chunks_exact(u8::BITS as usize)) {
            let mut bits = [0u8; size_of::<u64>()];
            bits.iter_mut().zip(flags).for_each(|(bit, flag)| *bit = u8::from(*flag));
            *byte = (u64::from_le_bytes(bits).wrapping_mul(GATHER_BITS) >> (u64::BITS - u8::BITS)) as u8;
        }
        *word = u64::from_le_bytes(packed);
    }
}
