use gw_types::TermNumber;

/// Contiguous range of slots that the control group delegated to the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotDelegation {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// Term of the delegation; tokens of these slots are at least of this term.
    pub term: TermNumber,
    /// Whether the zone that held the slots before has certainly given them up: its published table
    /// omits them, or its lease was not renewed for `zone_hold` plus margin.
    pub ready: bool,
}
