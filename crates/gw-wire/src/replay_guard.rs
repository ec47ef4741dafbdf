use gw_types::HostId;

use crate::FrameError;
use crate::FrameHeader;
use crate::ReplayWindow;

/// Rejects replayed frames, with one [`ReplayWindow`] per known host.
#[derive(Clone, Debug)]
pub struct ReplayGuard {
    /// Sorted by host, without duplicates.
    windows: Vec<(HostId, ReplayWindow)>,
}

impl ReplayGuard {
    /// Creates windows of `bits` sequences for `hosts`. Frames of other hosts are rejected.
    pub fn new(hosts: impl IntoIterator<Item = HostId>, bits: usize) -> Self {
        let mut hosts: Vec<HostId> = hosts.into_iter().collect();
        hosts.sort();
        hosts.dedup();
        Self { windows: hosts.into_iter().map(|host| (host, ReplayWindow::new(bits))).collect() }
    }

    /// Accepts each frame once. The frame's authenticator must have been verified before: otherwise
    /// a forged header could move the window.
    pub fn accept(&mut self, header: &FrameHeader) -> Result<(), FrameError> {
        let index = self
            .windows
            .binary_search_by_key(&header.sender, |(host, _)| *host)
            .map_err(|_| FrameError::UnknownSender { sender: header.sender })?;
        self.windows[index].1.accept(header.boot, header.sequence)
    }
}
