use std::collections::VecDeque;

use gw_control::ControlCommand;
use gw_control::EntryBatch;

/// Maximum number of kept commands. A host that lacks earlier ones gets a snapshot.
const MAX_COMMANDS: usize = 1_024;
/// Maximum number of zone table rows in the kept commands. A row takes about 200 bytes, so even a
/// history of whole tables takes only a few of the 32 MB that a host has for control state.
const MAX_ROWS: usize = 16_384;
/// Maximum number of commands in one batch, so that a batch fits into a frame of 4 MiB.
const MAX_BATCH_COMMANDS: usize = 64;
/// Maximum number of zone table rows in one batch, unless its first command alone has more. A row
/// takes less than 250 bytes in a frame, because each name has at most 64 bytes.
const MAX_BATCH_ROWS: usize = 8_192;

/// The latest commands of the control log, kept for hosts that are slightly behind.
#[derive(Clone, Debug)]
pub(crate) struct EntryHistory {
    /// Commands up to this index, inclusive, are not kept.
    base: u64,
    /// All commands above `base` up to this index, inclusive, are kept.
    through: u64,
    /// Log indexes and commands, in ascending order of indexes.
    entries: VecDeque<(u64, ControlCommand)>,
    /// Number of zone table rows in `entries`.
    rows: usize,
}

impl EntryHistory {
    pub(crate) fn new(base: u64) -> Self {
        Self { base, through: base, entries: VecDeque::new(), rows: 0 }
    }

    /// Adds the entries of `batch` above `held`, the last index that was applied before the batch.
    pub(crate) fn extend(&mut self, batch: &EntryBatch, held: u64) {
        let new = batch.entries.iter().filter(|(index, _)| *index > held);
        for (index, command) in new {
            self.rows += table_rows(command);
            self.entries.push_back((*index, command.clone()));
        }
        self.through = self.through.max(batch.through);
        while self.entries.len() > MAX_COMMANDS || self.rows > MAX_ROWS {
            let Some((index, command)) = self.entries.pop_front() else { break };
            self.rows -= table_rows(&command);
            self.base = index;
        }
    }

    /// The entries after `applied`, as many as fit into one batch. Returns nothing if some of them
    /// are no longer kept.
    pub(crate) fn batch_after(&self, applied: u64) -> Option<EntryBatch> {
        if applied < self.base {
            return None;
        }
        let first = self.entries.partition_point(|(index, _)| *index <= applied);
        let mut rows = 0;
        let fits = |(_, command): &&(u64, ControlCommand)| {
            let is_first = rows == 0;
            rows += table_rows(command);
            is_first || rows <= MAX_BATCH_ROWS
        };
        let following = self.entries.iter().skip(first).take(MAX_BATCH_COMMANDS);
        let entries: Vec<_> = following.take_while(fits).cloned().collect();
        let is_last = first + entries.len() == self.entries.len();
        let last = entries.last().map_or(applied, |(index, _)| *index);
        let through = if is_last { self.through } else { last };
        Some(EntryBatch { after: applied, through, entries })
    }
}

fn table_rows(command: &ControlCommand) -> usize {
    let ControlCommand::StoreZoneTable(table) = command else { return 0 };
    let services = table.services.iter();
    let owned = services.map(|service| service.ranges.len() + service.overrides.len());
    table.targets.len() + owned.sum::<usize>()
}
