use std::time::Duration;

use gw_types::Timestamp;

/// Fraction of a link that large responses may use. The rest is for requests, small responses and
/// the connections between hosts, which would otherwise wait behind them.
const TRANSFER_SHARE: f64 = 0.7;
/// Time by which large responses may be ahead of their share, so that an idle link is used at once.
const BURST_TIME: Duration = Duration::from_millis(40);

/// Spreads the pieces of large responses over time, so that they leave a part of the host's link
/// free.
#[derive(Clone, Debug)]
pub struct LinkPacer {
    bytes_per_second: f64,
    /// When the pieces passed on so far are sent at the permitted rate.
    free_at: Timestamp,
}

impl LinkPacer {
    /// Creates a pacer for a link of `bytes_per_second`, which is above 0.
    pub fn new(bytes_per_second: f64) -> Self {
        let bytes_per_second = bytes_per_second * TRANSFER_SHARE;
        Self { bytes_per_second, free_at: Timestamp::ZERO }
    }

    /// Returns how long to wait before a piece of `bytes` is passed on, and counts it as passed on
    /// after that time.
    pub fn reserve(&mut self, now: Timestamp, bytes: usize) -> Duration {
        let start = self.free_at.max(now);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        start.since(now).saturating_sub(BURST_TIME)
    }
}
