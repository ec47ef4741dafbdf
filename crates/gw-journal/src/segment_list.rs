const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of files that are not yet complete.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Segment files of the log, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SegmentList {
    /// Segments with consecutive numbers. The last one is the current segment, which is written to.
    pub(crate) segments: Vec<Segment>,
}

/// One segment file of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    /// Highest index of a record in the segment, or 0 if it has none.
    pub(crate) max_index: u64,
}

impl SegmentList {
    /// Returns the number of the current segment, or 0 if there is none.
    pub(crate) fn current(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.number)
    }

    /// Records that the current segment contains a record with `index`.
    pub(crate) fn update_max_index(&mut self, index: u64) {
        if let Some(segment) = self.segments.last_mut() {
            segment.max_index = segment.max_index.max(index);
        }
    }

    /// Returns the number of the oldest segment if a snapshot at `index` covers all its records and
    /// it is not the current segment.
    pub(crate) fn oldest_covered(&self, index: u64) -> Option<u64> {
        let [oldest, _, ..] = self.segments[..] else { return None };
        (oldest.max_index <= index).then_some(oldest.number)
    }
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

pub(crate) fn temporary_name(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

pub(crate) fn is_temporary(name: &str) -> bool {
    name.ends_with(TEMPORARY_SUFFIX)
}

/// Returns the number in a segment's file name, or `None` for other files.
pub(crate) fn parse_segment(name: &str) -> Option<u64> {
    name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
}

/// Returns the index in a snapshot's file name, or `None` for other files.
pub(crate) fn parse_snapshot(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}
