use std::collections::VecDeque;

use gw_control::ControlCommand;
use gw_control::EntryBatch;

/// Commands kept for hosts that are a little behind; others get a snapshot.
const MAX_COMMANDS: usize = 1_024;
/// Most rows of zone tables in the kept commands. A row takes about 200 bytes, so that a history of
/// whole tables stays within a few of the 32 MB that a host has for control.
const MAX_ROWS: usize = 16_384;
/// Most commands in one batch, so that a batch fits a frame of 4 MiB.
const MAX_BATCH_COMMANDS: usize = 64;
/// Most rows of zone tables in one batch, unless its first command alone has more. A row takes less
/// than 250 bytes in a frame: each name has 64 bytes at most.
const MAX_BATCH_ROWS: usize = 8_192;

/// The last commands of the control log.
#[derive(Clone, Debug)]
pub(crate) struct EntryHistory {
    /// Commands at or before this index are not kept.
    base: u64,
    /// The history holds all commands above `base` up to here.
    through: u64,
    /// Ascending.
    entries: VecDeque<(u64, ControlCommand)>,
    /// Rows of zone tables in `entries`.
    rows: usize,
}

impl EntryHistory {
    pub(crate) fn new(base: u64) -> Self {
        Self { base, through: base, entries: VecDeque::new(), rows: 0 }
    }

    /// Adds the part of `batch` after `held`, the last index that was applied before it.
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

    /// The entries after `applied`, or nothing when some of them are not kept.
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
