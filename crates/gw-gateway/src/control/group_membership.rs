use std::net::SocketAddr;
use std::time::Duration;

use gw_agreement::MemberStatus;
use gw_agreement::MembershipChange;
use gw_agreement::Message;
use gw_agreement::MessageBody;
use gw_agreement::ReplicaNode;
use gw_fleet::FleetCommand;
use gw_fleet::ReplicaRecord;
use gw_fleet::SeatPolicy;
use gw_fleet::SeatView;
use gw_fleet::VoteChange;
use gw_types::HostId;
use gw_types::Timestamp;

use crate::control::control_host::CONTACT_TIMEOUT;
use crate::control::control_host::ControlHost;
use crate::control::control_host::Replica;
use crate::control::control_host::ReplySink;
use crate::control::replica_identity::ReplicaIdentity;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkMessage;

/// Interval at which a host without contact with a majority logs whom it reaches.
const LEADERLESS_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between two changes for the same new replica. Shorter than that between its requests.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a repetition after which a host that announced its stop counts as started again. It
/// repeats the announcement with each response, ten times a second.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(1);

impl ControlHost {
    /// Loads this replica's identity, or creates one: that of an initial member at the first start
    /// of the system, otherwise that of a new replica which has to join.
    pub(crate) fn load_identity(&self) -> std::io::Result<()> {
        let settings = self.settings.borrow().clone();
        let Some(data) = &settings.data_dir else { return Ok(()) };
        if let Some(identity) = ReplicaIdentity::load(data)? {
            *self.identity.borrow_mut() = Some(identity);
            return Ok(());
        }
        let mut seeds = settings.seeds.clone();
        seeds.sort();
        let position = seeds.iter().position(|seed| *seed == self.control_address);
        let identity = match position.filter(|_| settings.is_first_start) {
            Some(position) => {
                let id = HostId(position as u16 + 1);
                let first_members: Vec<_> = (1..=seeds.len() as u16).map(HostId).collect();
                let peers = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_port));
                let peers = first_members.iter().copied().zip(peers).collect();
                let folder = u64::from(id.0);
                ReplicaIdentity { folder, id: Some(id), first_members, peers, peers_index: 0 }
            }
            None => ReplicaIdentity::unassigned(),
        };
        identity.save(data)?;
        log::info!("event=identity_created id={:?} folder={:x}", identity.id, identity.folder);
        *self.identity.borrow_mut() = Some(identity);
        Ok(())
    }

    /// Saves the addresses of the other replicas, which are needed after a restart, unless those
    /// saved are from a later state. A state without this replica is older than its welcome.
    pub(crate) fn save_peers(&self) {
        let (applied, peers) = {
            let log = self.log.borrow();
            (log.applied(), peer_addresses(log.state().replicas()))
        };
        let Some(mut identity) = self.identity.borrow().clone() else { return };
        let is_member = peers.iter().any(|(id, _)| Some(*id) == identity.id);
        if !is_member || identity.peers == peers || applied <= identity.peers_index {
            return;
        }
        log::info!("event=peers_saved index={applied} peers={peers:?}");
        identity.peers = peers;
        identity.peers_index = applied;
        self.save_identity(identity);
    }

    fn save_identity(&self, identity: ReplicaIdentity) {
        let data = self.settings.borrow().data_dir.clone();
        match data.map(|data| identity.save(&data)) {
            Some(Err(error)) => log::error!("event=identity_not_saved cause=\"{error}\""),
            _ => *self.identity.borrow_mut() = Some(identity),
        }
    }

    /// Asks all connected control hosts for a replica id. Members connect to this host if it is one of
    /// their seeds, also if it knows none of them.
    pub(crate) fn ask_to_join(&self) {
        let Some(identity) = self.identity.borrow().clone() else { return };
        let settings = self.settings.borrow();
        let peers = SocketAddr::new(settings.address, settings.peer_port);
        let join =
            LinkMessage::Join { folder: identity.folder, peers, calls: self.control_address };
        let links = self.links.borrow();
        links.iter().filter(|link| link.is_control()).for_each(|link| {
            link.link.send(&join);
        });
    }

    /// Handles a request to join the group. Only the leader decides it; the others pass it on, since
    /// a new replica may know none but them. The replica repeats its request until it is welcomed.
    pub(crate) fn handle_join(
        &self,
        link: LinkHandle,
        folder: u64,
        peers: SocketAddr,
        calls: SocketAddr,
    ) {
        if !self.is_confirmed_leader() {
            self.forward_join(&link, folder, peers, calls);
            return;
        }
        let replicas = self.log.borrow().state().replicas().to_vec();
        if replicas.is_empty() {
            return;
        }
        if let Some(known) = replicas.iter().find(|replica| replica.folder == folder) {
            link.send(&LinkMessage::Welcome { id: known.id, replicas });
            return;
        }
        if !self.may_propose_join(folder) {
            return;
        }
        // The replica that had this address has lost its disk, and with it its votes and
        // acknowledged log entries. The host must not continue under its old id.
        if let Some(old) = replicas.iter().rfind(|replica| replica.peers == peers) {
            log::warn!("event=replica_lost_disk id={} peers={peers}", old.id.0);
        }
        log::info!("event=replica_joins folder={folder:x} peers={peers}");
        self.propose(FleetCommand::AddReplica { folder, peers, calls });
    }

    /// Whether no change for the new replica `folder` was proposed a moment ago: its request arrives over
    /// each connection to a member.
    fn may_propose_join(&self, folder: u64) -> bool {
        let now = self.now();
        let mut proposed = self.proposed_joins.borrow_mut();
        proposed.retain(|_, at| now.since(*at) < JOIN_INTERVAL);
        let is_new = !proposed.contains_key(&folder);
        proposed.entry(folder).or_insert(now);
        is_new
    }

    /// Answers a request to join that the group has granted, and passes any other on to the leader,
    /// unless a member has passed it on to this host.
    fn forward_join(&self, link: &LinkHandle, folder: u64, peers: SocketAddr, calls: SocketAddr) {
        let replicas = self.log.borrow().state().replicas().to_vec();
        let is_member = |id: HostId| replicas.iter().any(|replica| replica.id == id);
        let is_from_member = self
            .links
            .borrow()
            .iter()
            .any(|known| known.link.id == link.id && known.replica.is_some_and(is_member));
        if is_from_member || !self.is_current() {
            return;
        }
        if let Some(known) = replicas.iter().find(|replica| replica.folder == folder) {
            link.send(&LinkMessage::Welcome { id: known.id, replicas });
        } else if let Some(leader) = self.leader_link() {
            leader.send(&LinkMessage::Join { folder, peers, calls });
        }
    }

    /// Stores the id that the group has assigned, once nothing of an earlier journal is left: the host
    /// may have ended while it emptied its folder, and a part of a journal cannot be read.
    pub(crate) fn handle_welcome(&self, id: HostId, replicas: Vec<ReplicaRecord>) {
        let Some(mut identity) = self.identity.borrow().clone() else { return };
        if identity.id.is_some() {
            return;
        }
        let data = self.settings.borrow().data_dir.clone();
        if let Some(Err(error)) = data.map(|data| ReplicaIdentity::remove_journal(&data)) {
            log::error!("event=journal_not_removed cause=\"{error}\"");
            return;
        }
        identity.id = Some(id);
        identity.peers = peer_addresses(&replicas);
        self.save_identity(identity);
    }

    /// Whether this host may tell the replica `id` that the group has removed it. A replica that lost
    /// members need not be connected to the leader, so followers tell it as well, but only once it is no
    /// member of the log's group either: until then its vote may be needed to elect a leader.
    pub(crate) fn knows_as_removed(&self, id: HostId) -> bool {
        if !self.log.borrow().state().is_removed(id) {
            return false;
        }
        let is_member = |replica: &Replica| replica.node.membership().contains(id);
        self.is_confirmed_leader()
            || self.is_current() && !self.replica.borrow().as_ref().is_some_and(is_member)
    }

    /// Handles the removal of this replica from the group: wipes its data so that it joins again as
    /// a new replica. Waits until the journal is closed.
    pub(crate) fn handle_removal(&self, id: HostId) {
        let own = self.identity.borrow().as_ref().and_then(|identity| identity.id);
        if own != Some(id) || self.is_removed.get() {
            return;
        }
        log::warn!("event=replica_was_removed id={}", id.0);
        *self.replica.borrow_mut() = None;
        *self.opening.borrow_mut() = None;
        self.is_removed.set(true);
        self.finish_removal();
    }

    /// Wipes the data of a replica that was removed, unless the journal is still in use.
    pub(crate) fn finish_removal(&self) {
        if !self.is_removed.get() || self.journal.borrow().is_open() {
            return;
        }
        self.is_removed.set(false);
        let data = self.settings.borrow().data_dir.clone();
        if let Some(Err(error)) = data.as_ref().map(|data| ReplicaIdentity::remove(data)) {
            log::error!("event=data_not_removed cause=\"{error}\"");
            return;
        }
        // The votes and log entries of the initial member are gone, so its id must not be used
        // again, also if the new identity cannot be saved now: that with the next id is saved before
        // the replica starts. The addresses lead to the group, of which the seeds need not be members.
        let peers = self.identity.borrow().as_ref().map(|identity| identity.peers.clone());
        let peers = peers.unwrap_or_default();
        let identity = ReplicaIdentity { peers, ..ReplicaIdentity::unassigned() };
        *self.identity.borrow_mut() = Some(identity.clone());
        if let Some(Err(error)) = data.map(|data| ReplicaIdentity::remove_journal(&data)) {
            log::error!("event=journal_not_removed cause=\"{error}\"");
        }
        self.save_identity(identity);
    }

    /// Tells the leader that this host has been told to stop.
    pub(crate) fn announce_leaving(&self) {
        if let Some(leader) = self.recent_leader() {
            self.announce_leaving_to(leader);
        }
    }

    /// Tells another replica that this host has been told to stop, if it has.
    pub(crate) fn announce_leaving_to(&self, replica: HostId) {
        let id = self.identity.borrow().as_ref().and_then(|identity| identity.id);
        if let Some(id) = id.filter(|_| self.is_stopping.get())
            && let Some(link) = self.link_to(replica)
        {
            link.send(&LinkMessage::Leaving { id });
        }
    }

    /// Handles the announcement of a replica whose host was told to stop. Whether it gives up its vote
    /// is for [`ControlHost::review_votes`]: its host may only be restarted.
    pub(crate) fn handle_leaving(&self, id: HostId) {
        if self.leaving.borrow_mut().insert(id, self.now()).is_none() {
            log::info!("event=replica_leaves id={}", id.0);
        }
    }

    /// Proposes a command as leader without waiting for its outcome.
    pub(crate) fn propose(&self, command: FleetCommand) {
        let (sender, _) = tokio::sync::oneshot::channel::<CallResult>();
        self.propose_as_leader(&command, ReplySink::Local(sender));
    }

    /// Makes the group's membership match the replicated list of replicas, as leader.
    pub(crate) fn reconcile_members(&self) {
        let change = {
            let log = self.log.borrow();
            let replicas = log.state().replicas();
            let slot = self.replica.borrow();
            let Some(replica) = slot.as_ref().filter(|_| !replicas.is_empty()) else { return };
            let members = replica.node.membership();
            let is_known = |id: HostId| replicas.iter().any(|known| known.id == id);
            let gone = members.members().find(|id| !is_known(*id));
            let new = replicas.iter().find(|known| !members.contains(known.id));
            let change = gone
                .map(MembershipChange::Remove)
                .or_else(|| new.map(|known| MembershipChange::Add(known.id)));
            let Some(change) = change else { return };
            change
        };
        self.change_membership(change);
    }

    /// Starts a change of the group's membership as leader, unless another one is under way.
    fn change_membership(&self, change: MembershipChange) {
        let changed = {
            let mut slot = self.replica.borrow_mut();
            let Some(replica) = slot.as_mut() else { return };
            replica.node.change_membership(self.now(), change)
        };
        match changed {
            Ok(index) => {
                log::info!("event=members_change index={} {change:?}", index.0);
                self.drive();
            }
            Err(error) => log::debug!("event=members_wait cause=\"{error}\""),
        }
    }

    /// Proposes, as leader, the first list of replicas, and the removal of learners that do not come
    /// back.
    pub(crate) fn review_replicas(&self) {
        if self.log.borrow().state().replicas().is_empty() {
            self.record_first_members();
            return;
        }
        for id in self.seat_policy().abandoned_learners(&self.seats()) {
            log::warn!("event=replica_lost id={}", id.0);
            self.propose(FleetCommand::RemoveReplica { id });
        }
    }

    /// Starts, as leader, the next change of votes in the group, if one is due.
    pub(crate) fn review_votes(&self) {
        let change = match self.seat_policy().next_vote_change(&self.seats()) {
            Some(VoteChange::Promote(id)) => MembershipChange::Promote(id),
            Some(VoteChange::Demote(id)) => MembershipChange::Demote(id),
            None => return,
        };
        self.change_membership(change);
    }

    fn seat_policy(&self) -> SeatPolicy {
        SeatPolicy::new(self.settings.borrow().fault_tolerance)
    }

    /// Records when the control hosts to which this host has connections were last heard.
    pub(crate) fn record_heard_hosts(&self) {
        let mut heard = self.heard_hosts.borrow_mut();
        for link in self.links.borrow().iter().filter(|link| link.is_outbound) {
            heard.insert(link.peer, link.link.last_byte.get());
        }
    }

    /// Returns the members of the group as this leader sees them.
    fn seats(&self) -> Vec<SeatView> {
        let now = self.now();
        let replica = self.replica.borrow();
        let Some(node) = replica.as_ref().map(|replica| &replica.node) else { return Vec::new() };
        self.leaving.borrow_mut().retain(|_, at| now.since(*at) < LEAVING_TIMEOUT);
        let status = node.member_status();
        self.first_seen.borrow_mut().retain(|id, _| status.iter().any(|member| member.host == *id));
        let own = SeatView {
            id: node.id(),
            zone: Some(self.settings.borrow().zone.clone()),
            is_leader: true,
            is_voter: node.membership().is_voter(node.id()),
            silence: Duration::ZERO,
            is_caught_up: true,
            is_leaving: false,
            successor: None,
        };
        status.iter().map(|member| self.seat(now, member)).chain([own]).collect()
    }

    fn seat(&self, now: Timestamp, member: &MemberStatus) -> SeatView {
        let log = self.log.borrow();
        let mut replicas = log.state().replicas().iter();
        let record = replicas.find(|replica| replica.id == member.host);
        let zones = self.control_zones.borrow();
        SeatView {
            id: member.host,
            zone: record.and_then(|record| zones.get(&record.peers).cloned()),
            is_leader: false,
            is_voter: member.voter,
            silence: self.silence(now, member),
            is_caught_up: member
                .caught_up_at
                .is_some_and(|caught_up| now.since(caught_up) < CONTACT_TIMEOUT),
            is_leaving: self.leaving.borrow().contains_key(&member.host),
            successor: log.state().replica_successor(member.host),
        }
    }

    /// Returns the time since a member responded to this leader. For a member that never did, the
    /// time since it was heard over a connection, or since it became a member. Zero while a new
    /// leader waits for the first response.
    fn silence(&self, now: Timestamp, member: &MemberStatus) -> Duration {
        let first_seen = *self.first_seen.borrow_mut().entry(member.host).or_insert(now);
        if now.since(first_seen) < CONTACT_TIMEOUT {
            return Duration::ZERO;
        }
        let heard_hosts = self.heard_hosts.borrow();
        let address = self.peer_address(member.host);
        let heard = address.and_then(|address| heard_hosts.get(&address).copied());
        let unanswered = heard.map_or(first_seen, |heard| heard.min(first_seen));
        now.since(member.last_contact.unwrap_or(unanswered).max(unanswered))
    }

    /// Logs the voters and which of them are connected while this host has no contact with a
    /// majority.
    pub(crate) fn log_lost_majority(&self) {
        let now = self.now();
        if self.is_current() {
            self.majority_seen_at.set(now);
            return;
        }
        if now.since(self.majority_seen_at.get()) < LEADERLESS_LOG_INTERVAL {
            return;
        }
        self.majority_seen_at.set(now);
        let replica = self.replica.borrow();
        let Some(node) = replica.as_ref().map(|replica| &replica.node) else {
            let identity = self.identity.borrow();
            let id = identity.as_ref().and_then(|identity| identity.id);
            log::warn!("event=majority_lost replica=none id={id:?}");
            return;
        };
        self.ask_whether_removed(node);
        let voters = node.membership().voters();
        let is_reached = |id: &&HostId| **id == node.id() || self.link_to(**id).is_some();
        let reached: Vec<_> = voters.iter().filter(is_reached).collect();
        log::warn!(
            "event=majority_lost replica={} term={} voters={voters:?} reached={reached:?} \
             last_index={} applied={}",
            node.id().0,
            node.term().0,
            node.last_index().0,
            node.last_applied().0,
        );
    }

    /// Shows this replica to all connected control hosts, whether or not it knows them as members.
    /// Those that know that it was removed say so. While this host was cut off, all members that it
    /// knows may have been replaced.
    fn ask_whether_removed(&self, node: &ReplicaNode) {
        let (from, to) = (node.id(), HostId(0));
        let message = Message { term: node.term(), body: MessageBody::StaleTerm };
        let message = LinkMessage::Agreement { from, to, message };
        for link in self.links.borrow().iter().filter(|link| link.is_control()) {
            link.link.send(&message);
        }
    }

    fn record_first_members(&self) {
        let Some(identity) = self.identity.borrow().clone() else { return };
        let port = self.control_address.port();
        log::info!("event=first_members members={:?}", identity.peers);
        let first = identity.peers.iter().map(|&(id, peers)| ReplicaRecord {
            id,
            folder: u64::from(id.0),
            peers,
            calls: SocketAddr::new(peers.ip(), port),
        });
        self.propose(FleetCommand::SetFirstReplicas(first.collect()));
    }
}

fn peer_addresses(replicas: &[ReplicaRecord]) -> Vec<(HostId, SocketAddr)> {
    replicas.iter().map(|known| (known.id, known.peers)).collect()
}
