//! Values whose encoding by commit 0859f13, the last build that states no version, is kept in
//! `frames-0859f13.bin` and `records-0859f13.bin`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_agreement::LogIndex;
use gw_agreement::Membership;
use gw_agreement::Message;
use gw_agreement::MessageBody;
use gw_agreement::Snapshot;
use gw_agreement::SnapshotMeta;
use gw_agreement::Term;
use gw_dispatch::CrashEvidence;
use gw_dispatch::CrashedRun;
use gw_dispatch::QuarantineEntry;
use gw_dispatch::RequestFingerprint;
use gw_fleet::DepartureCause;
use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::ReplicaRecord;
use gw_fleet::StoredConfig;
use gw_fleet::TargetPhase;
use gw_fleet::TargetRecord;
use gw_ranges::KeyRange;
use gw_ranges::OrderKind;
use gw_ranges::OrderOutcome;
use gw_ranges::RangeCommand;
use gw_ranges::RangeHolder;
use gw_ranges::RangeTransfer;
use gw_ranges::TargetOrder;
use gw_routing::CallerLimits;
use gw_routing::ConfigPatch;
use gw_routing::ConfigVersion;
use gw_routing::HostRules;
use gw_routing::RepeatRule;
use gw_routing::RouteRule;
use gw_routing::RoutingConfig;
use gw_routing::ServiceShare;
use gw_routing::ServiceSpec;
use gw_types::BootId;
use gw_types::HostId;
use gw_types::HostName;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::Timestamp;
use gw_types::ZoneName;

use crate::link::CallFailure;
use crate::link::CallResult;
use crate::link::EntryReport;
use crate::link::HeadDetails;
use crate::link::HeadMessage;
use crate::link::HostKind;
use crate::link::LimitReport;
use crate::link::LinkMessage;
use crate::link::RelayReport;
use crate::link::RunReport;
use crate::link::ServiceHeat;
use crate::link::ShareReport;

fn address(port: u16) -> SocketAddr {
    ([10, 1, 2, 3], port).into()
}

fn service() -> ServiceName {
    ServiceName::new("slips").expect("a valid name")
}

fn zone() -> ZoneName {
    ZoneName::new("spinneri").expect("a valid name")
}

fn holder(run: u64) -> RangeHolder {
    RangeHolder { target: TargetName::new("i-1").expect("a valid name"), run }
}

fn replica(id: u16) -> ReplicaRecord {
    ReplicaRecord { id: HostId(id), folder: 77, peers: address(1), calls: address(2) }
}

fn routing(version: u64) -> RoutingConfig {
    let route = |number: u64| RouteRule {
        name: Arc::from(format!("r-{number}")),
        path_prefix: Arc::from(format!("/{number}/")),
        repeat: RepeatRule::AtMostOnce,
        objective: Duration::from_millis(400),
        priority: 2,
        timeout: Some(Duration::from_millis(800)),
        max_attempts: 2,
        shares: vec![ServiceShare { service: service(), weight: 0.5 }],
    };
    RoutingConfig {
        version: ConfigVersion(version),
        limits: CallerLimits::default(),
        hosts: vec![HostRules {
            host: Arc::from("a.example"),
            routes: (0..version).map(route).collect(),
        }],
        services: vec![ServiceSpec {
            name: service(),
            is_keyed: true,
            max_connections: 110,
            warm_up: Duration::from_secs(2),
        }],
    }
}

fn commands() -> Vec<FleetCommand> {
    let target = |name: &str, port| TargetRecord {
        name: TargetName::new(name).expect("a valid name"),
        run: 1_700_000_000_000,
        address: address(port),
        service: service(),
        zone: zone(),
        work_slots: 2,
        phase: TargetPhase::Serving,
    };
    let upper = KeyRange { first: 30_000, last: u16::MAX };
    let transfer = |range, run, fence| RangeTransfer { range, to: holder(run), fence };
    let config = |version, text: &str| StoredConfig {
        routing: Arc::new(routing(version)),
        document: Arc::from(text.as_bytes()),
    };
    vec![
        FleetCommand::SetFirstReplicas(vec![replica(1), replica(2)]),
        FleetCommand::AddReplica { folder: 78, peers: address(3), calls: address(4) },
        FleetCommand::RemoveReplica { id: HostId(2) },
        FleetCommand::SetConfig(config(3, "{}")),
        FleetCommand::PutTarget(target("i-1", 5)),
        FleetCommand::PutTarget(TargetRecord { phase: TargetPhase::Draining, ..target("i-2", 6) }),
        FleetCommand::RemoveTarget {
            name: TargetName::new("i-2").expect("a valid name"),
            run: Some(1_700_000_000_000),
            cause: DepartureCause::Silent,
        },
        FleetCommand::ChangeRanges(RangeCommand::Assign {
            service: service(),
            moves: vec![transfer(KeyRange::ALL, 1, 0)],
        }),
        FleetCommand::ChangeRanges(RangeCommand::Announce {
            service: service(),
            moves: vec![transfer(upper, 2, 1)],
        }),
        FleetCommand::PatchConfig(ConfigPatch::between(&routing(3), &routing(5))),
    ]
}

fn state() -> FleetState {
    let mut state = FleetState::default();
    commands().iter().for_each(|command| {
        state.apply(command);
    });
    state
}

fn consensus_bodies() -> Vec<MessageBody> {
    let (last_index, last_term, sent_at) = (LogIndex(9), Term(2), Timestamp::from_millis(5));
    let entries = entries();
    vec![
        MessageBody::PreVoteRequest { last_index, last_term },
        MessageBody::PreVoteResponse { requested_term: Term(3), granted: true },
        MessageBody::VoteRequest { last_index, last_term, transfer: true },
        MessageBody::VoteResponse {
            granted: false,
            since_leader_contact: Duration::from_millis(250),
        },
        MessageBody::Append {
            previous_index: last_index,
            previous_term: last_term,
            entries,
            commit_index: LogIndex(8),
            sent_at,
        },
        MessageBody::Matched { match_index: last_index, sent_at },
        MessageBody::Mismatch { rejected_index: last_index, match_hint: LogIndex(4), sent_at },
        MessageBody::SnapshotChunk {
            meta: snapshot().meta,
            offset: 3,
            total_bytes: 300,
            bytes: vec![1, 2, 3],
            sent_at,
        },
        MessageBody::SnapshotProgress { index: last_index, received_bytes: 6, sent_at },
        MessageBody::TimeoutNow,
        MessageBody::StaleTerm,
    ]
}

/// Log entries as in journals and in messages.
pub(crate) fn entries() -> Vec<LogEntry> {
    let bytes = |command| postcard::to_stdvec(command).expect("bytes");
    let commands = commands()
        .iter()
        .map(|command| EntryPayload::Command(bytes(command).into()))
        .collect::<Vec<_>>();
    let members = Membership::of_voters([HostId(1), HostId(3)]);
    let others = [EntryPayload::Noop, EntryPayload::Membership(members)];
    let payloads = others.into_iter().chain(commands);
    (1..)
        .zip(payloads)
        .map(|(index, payload)| LogEntry { index: LogIndex(index), term: Term(2), payload })
        .collect()
}

/// A snapshot as in journals.
pub(crate) fn snapshot() -> Snapshot {
    let membership = Membership::of_voters([HostId(1), HostId(3)]);
    let meta = SnapshotMeta { index: LogIndex(9), term: Term(2), membership };
    Snapshot { meta, data: Arc::from(state().snapshot().expect("a snapshot")) }
}

fn report() -> EntryReport {
    let evidence = CrashEvidence {
        run: CrashedRun { target: holder(1).target, boot: BootId(1) },
        in_flight: 2,
        is_cleared: false,
    };
    EntryReport {
        clock: 1_000_000,
        applied: 12,
        heat: vec![ServiceHeat { service: service(), counts: vec![(7, 3), (65_535, 1)] }],
        runs: vec![RunReport {
            holder: holder(1),
            runs: 5,
            milliseconds: 500,
            rests: 1,
            rest_millis: 40,
        }],
        crashes: vec![QuarantineEntry {
            fingerprint: RequestFingerprint(1 << 100),
            evidence: vec![evidence],
            age: Duration::from_secs(3),
        }],
        limits: vec![LimitReport { holder: holder(1), per_second: Some(2.5), age_millis: 30 }],
        leaving: vec![holder(2)],
        takes_relays: true,
    }
}

fn head() -> HeadMessage {
    HeadMessage {
        index: 12,
        is_current: true,
        is_leader: true,
        host_count: 76,
        shares: vec![ShareReport { holder: holder(1), permille: 700 }],
        limits: vec![LimitReport { holder: holder(1), per_second: None, age_millis: 0 }],
        details: Some(HeadDetails {
            replicas: vec![replica(1)],
            zone_hosts: vec![HostName::new("edge-1").expect("a valid name")],
            crashes: report().crashes,
            control_zones: vec![(address(1), zone())],
            leader: Some(address(1)),
            relays: vec![RelayReport { address: address(9), is_same_zone: true }],
        }),
    }
}

/// One message of each kind that commit 0859f13 knows, several of those with different content.
pub(crate) fn messages() -> Vec<LinkMessage> {
    let host = HostName::new("edge-1").expect("a valid name");
    let hello = |kind, relay| LinkMessage::Hello { host: host.clone(), zone: zone(), kind, relay };
    let order = |kind| TargetOrder {
        number: 4,
        holder: holder(1),
        service: service(),
        range: KeyRange { first: 3, last: 9 },
        fence: 6,
        kind,
    };
    let grant =
        OrderKind::Grant { hold: Duration::from_secs(5), handover: Some(Arc::from("token")) };
    let run_order = |kind| LinkMessage::RunOrder {
        call: 5,
        order: order(kind),
        address: address(8),
        send_before: 1 << 40,
    };
    let results = [
        CallResult::Committed(FleetOutcome::Applied),
        CallResult::Committed(FleetOutcome::Superseded),
        CallResult::Committed(FleetOutcome::Replica(HostId(4))),
        CallResult::Committed(FleetOutcome::Config(ConfigVersion(5))),
        CallResult::ReadIndex(12),
        CallResult::Order(OrderOutcome::Done { handover: Some(Arc::from("token")) }),
        CallResult::Order(OrderOutcome::Refused),
        CallResult::Order(OrderOutcome::Unanswered),
        CallResult::Order(OrderOutcome::NotSent),
        CallResult::Failed(CallFailure::NotLeader),
        CallResult::Failed(CallFailure::Unavailable),
    ];
    let mut messages = vec![
        hello(HostKind::Entry, Some(address(1))),
        hello(HostKind::Control, None),
        LinkMessage::Ping,
        LinkMessage::Pong,
        LinkMessage::Join { folder: 78, peers: address(3), calls: address(4) },
        LinkMessage::Welcome { id: HostId(3), replicas: vec![replica(1)] },
        LinkMessage::Removed { id: HostId(2) },
        LinkMessage::ReadFence { call: 7 },
        LinkMessage::Heard { targets: vec![holder(1).target] },
        LinkMessage::Head(head()),
        LinkMessage::Head(HeadMessage { details: None, ..head() }),
        LinkMessage::Fetch { after: 3, stream: true },
        LinkMessage::Updates { after: 3, through: 12, commands: (4..).zip(commands()).collect() },
        LinkMessage::Snapshot { index: 12, state: Box::new(state()) },
        run_order(grant),
        run_order(OrderKind::Release),
        LinkMessage::Report(report()),
        LinkMessage::Leaving { id: HostId(2) },
    ];
    let message = |body| Message { term: Term(2), body };
    let (from, to) = (HostId(1), HostId(3));
    messages.extend(consensus_bodies().into_iter().map(|body| LinkMessage::Agreement {
        from,
        to,
        message: message(body),
    }));
    messages
        .extend(commands().into_iter().map(|command| LinkMessage::Propose { call: 6, command }));
    messages.extend(results.into_iter().map(|result| LinkMessage::Answer { call: 6, result }));
    messages
}
