use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::entry::entry_host::EntryHost;

/// Interval at which the path to targets is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of targets to which connections are opened in a check.
const PROBED_TARGETS: usize = 4;

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

/// Whether a connection to one of the targets that responded last can be opened. Without targets
/// there is nothing to reach.
async fn is_any_reached(host: &EntryHost) -> bool {
    let addresses: Vec<SocketAddr> = {
        let pool = host.pool.borrow();
        let targets = pool.probe_targets(PROBED_TARGETS);
        targets.iter().map(|target| target.record.address).collect()
    };
    let mut probes = JoinSet::new();
    for address in &addresses {
        let (connections, address) = (host.connections.clone(), *address);
        probes.spawn_local(async move { connections.probe(address).await });
    }
    while let Some(probed) = probes.join_next().await {
        if matches!(probed, Ok(true)) {
            return true;
        }
    }
    addresses.is_empty()
}
