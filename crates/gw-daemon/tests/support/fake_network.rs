use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use gw_daemon::records::PeerHandler;
use gw_daemon::records::PeerSender;
use gw_node::PeerMessage;
use gw_node::Transport;
use gw_types::BootId;
use gw_types::HostId;

type Handlers = (BootId, Vec<Arc<dyn PeerHandler>>);

/// Delivers messages between the hosts of a test, except to and from isolated hosts.
#[derive(Clone, Default)]
pub(crate) struct FakeNetwork {
    hosts: Arc<Mutex<BTreeMap<HostId, Handlers>>>,
    isolated: Arc<Mutex<BTreeSet<HostId>>>,
}

struct HostSender {
    network: FakeNetwork,
    from: HostId,
    boot: BootId,
}

impl FakeNetwork {
    /// Connects a host, or replaces it after a restart.
    pub(crate) fn add(&self, host: HostId, boot: BootId, handlers: Vec<Arc<dyn PeerHandler>>) {
        for handler in &handlers {
            let network = self.clone();
            handler.attach(Arc::new(HostSender { network, from: host, boot }));
        }
        self.hosts.lock().unwrap().insert(host, (boot, handlers));
    }

    /// Drops all further messages to and from a host.
    pub(crate) fn isolate(&self, host: HostId) {
        self.isolated.lock().unwrap().insert(host);
    }

    /// Delivers messages to and from an isolated host again.
    pub(crate) fn heal(&self, host: HostId) {
        self.isolated.lock().unwrap().remove(&host);
    }

    fn is_isolated(&self, host: HostId) -> bool {
        self.isolated.lock().unwrap().contains(&host)
    }
}

impl PeerSender for HostSender {
    fn send(&self, to: HostId, _transport: Transport, message: PeerMessage) {
        let (network, from, boot) = (self.network.clone(), self.from, self.boot);
        tokio::spawn(async move {
            let hosts = network.hosts.lock().unwrap();
            let current = hosts.get(&from).is_some_and(|(known, _)| *known == boot);
            let Some((_, handlers)) = hosts.get(&to).cloned() else { return };
            drop(hosts);
            if !current || network.is_isolated(from) || network.is_isolated(to) {
                return;
            }
            let mut handlers = handlers.iter();
            handlers
                .try_fold(message, |message, handler| handler.handle_message(from, boot, message));
        });
    }
}
