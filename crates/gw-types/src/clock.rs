use crate::Timestamp;

/// Source of [`Timestamp`]s.
///
/// Implementations must include time during which the machine is suspended (`CLOCK_BOOTTIME` on
/// Linux), so that leases expire on a suspended host.
pub trait Clock: Send + Sync {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Timestamp;
}
