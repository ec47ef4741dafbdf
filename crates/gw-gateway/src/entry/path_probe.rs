use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::entry::entry_host::EntryHost;

/// Interval at which the path to targets is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of targets to which connections are opened in a check.
const PROBED_TARGETS: usize = 3;

/// Finds out whether this host can reach targets, whenever its exchanges raise doubts, until the
/// process ends.
pub(crate) async fn watch_path(host: Rc<EntryHost>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if host.connections.path().needs_probe(host.now()) {
            probe(&host).await;
        }
        host.update_path();
    }
}

/// Opens connections to some targets until one succeeds.
async fn probe(host: &EntryHost) {
    let mut probes = JoinSet::new();
    for address in choose_targets(host) {
        let connections = host.connections.clone();
        probes.spawn_local(async move { connections.probe(address).await });
    }
    while let Some(probed) = probes.join_next().await {
        if matches!(probed, Ok(true)) {
            return;
        }
    }
}

/// Returns the addresses of some serving targets, drawn at random.
fn choose_targets(host: &EntryHost) -> Vec<SocketAddr> {
    let pool = host.pool.borrow();
    let serving: Vec<SocketAddr> = pool.serving().map(|target| target.record.address).collect();
    let count = serving.len().min(PROBED_TARGETS);
    let first = rand::random::<u32>() as usize;
    let step = serving.len() / count.max(1);
    (0..count).map(|turn| serving[(first + turn * step) % serving.len()]).collect()
}
