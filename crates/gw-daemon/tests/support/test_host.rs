use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use gw_daemon::ApiFuture;
use gw_daemon::ApiReply;
use gw_daemon::ApiRequest;
use gw_daemon::BootClock;
use gw_daemon::OperatorApi;
use gw_daemon::ProfileTable;
use gw_daemon::ReadyState;
use gw_daemon::RecordStore;
use gw_daemon::ShutdownHandle;
use gw_daemon::TrafficState;
use gw_daemon::UnavailableRecords;
use gw_daemon::entry;
use gw_daemon::records::QuarantineReplicator;
use gw_daemon::records::RecordReplicator;
use gw_daemon::records::RecordReplicatorOptions;
use gw_daemon::records::RecordScopes;
use gw_daemon::records::ScopeRange;
use gw_daemon::records::ServiceScope;
use gw_daemon::settings::ControlSettings;
use gw_daemon::settings::HostSettings;
use gw_daemon::settings::KeySettings;
use gw_daemon::settings::LimitSettings;
use gw_daemon::settings::ListenerSettings;
use gw_daemon::settings::RegistrationToken;
use gw_node::DispatchAssignment;
use gw_node::DispatchPlan;
use gw_profile::Profile;
use gw_profile::RecordCopies;
use gw_types::BootId;
use gw_types::FencingToken;
use gw_types::HostEntry;
use gw_types::HostId;
use gw_types::KeySource;
use gw_types::ProfileName;
use gw_types::RouteMatch;
use gw_types::RoutingTable;
use gw_types::SLOT_COUNT;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::ServiceTable;
use gw_types::SlotRange;
use gw_types::TargetEntry;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::Timestamp;
use gw_types::ZoneName;
use gw_types::ZoneTable;
use gw_wire::FrameKey;
use gw_wire::KeyId;
use gw_wire::KeyRing;

use super::FakeControl;
use super::FakeNetwork;

/// Entry host that runs in the test process.
pub(crate) struct TestHost {
    pub(crate) id: HostId,
    pub(crate) callers: SocketAddr,
    pub(crate) forwards: SocketAddr,
    pub(crate) targets: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) state: Arc<TrafficState>,
    pub(crate) control: Arc<FakeControl>,
    pub(crate) ready: Arc<ReadyState>,
    pub(crate) shutdown: ShutdownHandle,
    pub(crate) running: tokio::task::JoinHandle<Result<(), entry::Error>>,
    pub(crate) quarantine: Arc<QuarantineReplicator>,
    /// Present if the host keeps idempotency records.
    pub(crate) records: Option<Arc<RecordReplicator>>,
}

/// Configuration of one service and its targets, all in zone `z`.
#[derive(Clone)]
pub(crate) struct Layout {
    pub(crate) key: Option<KeySource>,
    /// Name, address and dispatcher.
    pub(crate) targets: Vec<(&'static str, SocketAddr, u16)>,
    /// Owner of all slots.
    pub(crate) owner: Option<&'static str>,
    pub(crate) token: u32,
    pub(crate) deadline_ms: u32,
    pub(crate) queue_limit: u32,
    pub(crate) record_limit: u32,
    pub(crate) work_slots: u16,
    pub(crate) lease: Duration,
}

impl Layout {
    /// Returns a service with one target, keyed by the second path segment.
    pub(crate) fn keyed(address: SocketAddr, dispatcher: u16) -> Self {
        Self {
            key: Some(KeySource::PathSegment(1)),
            targets: vec![("t1", address, dispatcher)],
            owner: Some("t1"),
            token: 7,
            deadline_ms: 20_000,
            queue_limit: 64,
            record_limit: 1_000,
            work_slots: 2,
            lease: Duration::from_secs(3_600),
        }
    }

    /// Returns an unkeyed service.
    pub(crate) fn unkeyed(targets: Vec<(&'static str, SocketAddr, u16)>) -> Self {
        let address = targets[0].1;
        Self { key: None, targets, owner: None, ..Self::keyed(address, 0) }
    }

    fn entries(&self) -> Vec<TargetEntry> {
        let entry = |(name, address, dispatcher): &(&str, SocketAddr, u16)| TargetEntry {
            name: TargetName::new(*name).unwrap(),
            service: ServiceName::new("slips").unwrap(),
            address: *address,
            boot: BootId(1),
            state: TargetState::Serving,
            work_slots: self.work_slots,
            checks_tokens: true,
            dispatcher: Some(HostId(*dispatcher)),
        };
        self.targets.iter().map(entry).collect()
    }

    pub(crate) fn routes(&self) -> RoutingTable {
        let definition = Arc::new(ServiceDefinition {
            name: ServiceName::new("slips").unwrap(),
            route: RouteMatch { host: None, path_prefix: Some("/slips".to_owned()) },
            key: self.key.clone(),
            profile: ProfileName::new("default").unwrap(),
        });
        let mut table = ZoneTable::empty(ZoneName::new("z").unwrap());
        table.targets = self.entries();
        table.services = vec![ServiceTable {
            service: definition.name.clone(),
            ranges: vec![SlotRange {
                first: 0,
                last: SLOT_COUNT - 1,
                owner: self.owner.map(|name| TargetName::new(name).unwrap()),
                token: FencingToken::new(gw_types::TermNumber(1), self.token),
            }],
            overrides: Vec::new(),
        }];
        RoutingTable::compile([&definition], &[Arc::new(table)])
    }

    pub(crate) fn plan(&self, host: HostId, now: Timestamp) -> DispatchPlan {
        let entries = self.entries().into_iter();
        let own = entries.filter(|entry| entry.dispatcher == Some(host));
        let assign = |target| DispatchAssignment { target, lease_end: now + self.lease };
        DispatchPlan { assignments: own.map(assign).collect() }
    }

    /// Returns the record scopes that the control log would contain.
    pub(crate) fn scopes(&self, now: Timestamp) -> RecordScopes {
        let zone = ZoneName::new("z").unwrap();
        let range = ScopeRange { first: 0, last: SLOT_COUNT - 1, zone, since: now };
        let scope = ServiceScope {
            service: ServiceName::new("slips").unwrap(),
            copies: RecordCopies::Zone,
            copies_since: now,
            ranges: vec![range],
            earlier_zones: Vec::new(),
        };
        RecordScopes { last_term: gw_types::TermNumber(1), services: vec![scope] }
    }

    pub(crate) fn profiles(&self) -> ProfileTable {
        let mut profile = Profile::with_defaults(ProfileName::new("default").unwrap());
        profile.refuse.deadline_ms = self.deadline_ms;
        profile.refuse.queue_limit = self.queue_limit;
        profile.refuse.record_limit = self.record_limit;
        ProfileTable::new([Arc::new(profile)])
    }
}

impl TestHost {
    /// Publishes a layout as the control thread does.
    pub(crate) fn publish(&self, layout: &Layout) {
        if let Some(records) = &self.records {
            records.publish_scopes(layout.scopes(self.state.now()));
        }
        self.state.publish_profiles(Arc::new(layout.profiles()));
        self.state.publish_routes(Arc::new(layout.routes()));
        self.state.publish_plan(Arc::new(layout.plan(self.id, self.state.now())));
    }
}

/// Returns the frame keys of all test hosts.
pub(crate) fn frame_keys() -> KeyRing {
    KeyRing::new(vec![FrameKey::new(KeyId(1), [9; 32])]).unwrap()
}

/// Operator API that replies with the path of the request.
struct EchoApi;

impl OperatorApi for EchoApi {
    fn handle(&self, request: ApiRequest) -> ApiFuture {
        let body = format!("{:?}", request.path).into();
        Box::pin(std::future::ready(ApiReply { status: 200, body }))
    }
}

fn open() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Starts `count` entry hosts with the IDs 1, 2, ...
pub(crate) fn start_hosts(count: u16, limits: &LimitSettings) -> Vec<TestHost> {
    start(count, limits, None)
}

/// Starts hosts that exchange idempotency records and crash reports over `network`.
pub(crate) fn start_hosts_with_records(count: u16, network: &FakeNetwork) -> Vec<TestHost> {
    start(count, &LimitSettings::default(), Some(network))
}

fn start(count: u16, limits: &LimitSettings, network: Option<&FakeNetwork>) -> Vec<TestHost> {
    let listeners: Vec<_> = (0..count)
        .map(|_| entry::Listeners {
            callers: open(),
            forwards: open(),
            targets: open(),
            operators: open(),
        })
        .collect();
    let entry = |(index, listeners): (usize, &entry::Listeners)| HostEntry {
        id: HostId(index as u16 + 1),
        name: gw_types::HostName::new(format!("entry-{}", index + 1)).unwrap(),
        zone: ZoneName::new("z").unwrap(),
        peers: ([127, 0, 0, 1], 9).into(),
        forwards: Some(listeners.forwards.local_addr().unwrap()),
        control: index == 0,
    };
    let hosts: Vec<_> = listeners.iter().enumerate().map(entry).collect();
    let started = hosts.iter().zip(listeners);
    started.map(|(host, own)| start_host(host, &hosts, own, limits, network)).collect()
}

fn start_host(
    host: &HostEntry,
    hosts: &[HostEntry],
    listeners: entry::Listeners,
    limits: &LimitSettings,
    network: Option<&FakeNetwork>,
) -> TestHost {
    let address = |listener: &TcpListener| listener.local_addr().unwrap();
    let (callers, forwards) = (address(&listeners.callers), address(&listeners.forwards));
    let (targets, operators) = (address(&listeners.targets), address(&listeners.operators));
    let settings = HostSettings {
        host: host.clone(),
        hosts: hosts.to_vec(),
        listeners: ListenerSettings { callers, targets, operators },
        control: ControlSettings { embedded: false, data: None },
        keys: KeySettings {
            frames: frame_keys(),
            operators: "operators-token-1".to_owned(),
            registration: vec![RegistrationToken {
                service: ServiceName::new("slips").unwrap(),
                token: "registration-token-1".to_owned(),
            }],
        },
        limits: limits.clone(),
        log_level: log::LevelFilter::Off,
    };
    let state = TrafficState::new(Arc::new(BootClock));
    let control = Arc::new(FakeControl::default());
    let ready = Arc::new(ReadyState::default());
    let shutdown = ShutdownHandle::default();
    let quarantine = QuarantineReplicator::new(host.id, hosts, state.clone());
    let records = network.map(|network| {
        let keeper = new_record_replicator(host.id, BootId(1), hosts, &state);
        keeper.set_complete(&ServiceName::new("slips").unwrap());
        network.add(host.id, BootId(1), vec![keeper.clone(), quarantine.clone()]);
        keeper
    });
    let gate: Arc<dyn RecordStore> = match &records {
        Some(keeper) => keeper.clone(),
        None => Arc::new(UnavailableRecords),
    };
    let options = entry::Options {
        boot: BootId(1),
        state: state.clone(),
        control: control.clone(),
        records: gate,
        quarantine: quarantine.clone(),
        api: Arc::new(EchoApi),
        ready: ready.clone(),
    };
    let running = tokio::spawn(entry::run(settings, listeners, options, shutdown.clone()));
    let id = host.id;
    TestHost {
        id,
        callers,
        forwards,
        targets,
        operators,
        state,
        control,
        ready,
        shutdown,
        running,
        quarantine,
        records,
    }
}

/// Creates a record replicator without the records of earlier processes of the host.
pub(crate) fn new_record_replicator(
    host: HostId,
    boot: BootId,
    hosts: &[HostEntry],
    state: &Arc<TrafficState>,
) -> Arc<RecordReplicator> {
    let (hosts, state) = (hosts.to_vec(), state.clone());
    RecordReplicator::new(RecordReplicatorOptions { host, boot, hosts, state })
}

/// Returns the settings entry of a running host.
pub(crate) fn host_entry(host: &TestHost) -> HostEntry {
    HostEntry {
        id: host.id,
        name: gw_types::HostName::new(format!("entry-{}", host.id)).unwrap(),
        zone: ZoneName::new("z").unwrap(),
        peers: ([127, 0, 0, 1], 9).into(),
        forwards: Some(host.forwards),
        control: false,
    }
}
