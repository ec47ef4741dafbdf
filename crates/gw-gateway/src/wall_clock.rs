use std::time::SystemTime;

/// Returns the time in milliseconds since 1970 by this host's clock, which may differ from those of
/// other hosts and may be set back.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
