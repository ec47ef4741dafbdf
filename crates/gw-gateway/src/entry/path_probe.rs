use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::entry::entry_host::EntryHost;

/// Interval at which the path to targets is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of targets to which connections are opened in a check.
const PROBED_TARGETS: usize = 4;

/// Time for which only one of them is tried; a target that can be reached takes a few milliseconds.
const HEAD_START: Duration = Duration::from_millis(100);

/// Finds out whether this host can reach targets, whenever its exchanges raise doubts, until the
/// process ends.
pub(crate) async fn watch_path(host: Rc<EntryHost>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let needs_probe = host.connections.path().needs_probe(host.now());
        if needs_probe && !is_any_reached(&host).await {
            host.connections.path().record_probe_failed();
        }
        host.update_path();
    }
}

/// Whether a connection to one of the targets that responded last can be opened. The others are
/// tried only if the first one is not reached at once. Without targets there is nothing to reach.
async fn is_any_reached(host: &EntryHost) -> bool {
    let addresses: Vec<SocketAddr> = {
        let pool = host.pool.borrow();
        let targets = pool.probe_targets(PROBED_TARGETS);
        targets.iter().map(|target| target.record.address).collect()
    };
    let Some((first, others)) = addresses.split_first() else { return true };
    let mut probes = JoinSet::new();
    let start = |probes: &mut JoinSet<bool>, address: SocketAddr| {
        let connections = host.connections.clone();
        probes.spawn_local(async move { connections.probe(address).await });
    };
    start(&mut probes, *first);
    if let Ok(Some(Ok(true))) = timeout(HEAD_START, probes.join_next()).await {
        return true;
    }
    others.iter().for_each(|address| start(&mut probes, *address));
    while let Some(probed) = probes.join_next().await {
        if matches!(probed, Ok(true)) {
            return true;
        }
    }
    false
}
