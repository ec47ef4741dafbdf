use std::net::SocketAddr;

use gw_agreement::MembershipChange;
use gw_fleet::FleetCommand;
use gw_fleet::ReplicaRecord;
use gw_fleet::ReplicaView;
use gw_fleet::lost_replica;
use gw_types::HostId;

use crate::control::control_host::Asker;
use crate::control::control_host::ControlHost;
use crate::control::replica_identity::ReplicaIdentity;
use crate::link::CallResult;
use crate::link::LinkHandle;
use crate::link::LinkMessage;

impl ControlHost {
    /// Finds out who this replica is: a first member, a member that restarts, or a new one.
    pub(crate) fn identify(&self) -> std::io::Result<()> {
        let settings = self.settings.borrow().clone();
        let Some(data) = &settings.data_dir else { return Ok(()) };
        if let Some(identity) = ReplicaIdentity::load(data)? {
            *self.identity.borrow_mut() = Some(identity);
            return Ok(());
        }
        let mut seeds = settings.seeds.clone();
        seeds.sort();
        let position = seeds.iter().position(|seed| *seed == self.calls_address);
        let identity = match position.filter(|_| settings.is_first_start) {
            Some(position) => {
                let id = HostId(position as u16 + 1);
                let first_members: Vec<_> = (1..=seeds.len() as u16).map(HostId).collect();
                let peers = seeds.iter().map(|seed| SocketAddr::new(seed.ip(), settings.peer_port));
                let peers = first_members.iter().copied().zip(peers).collect();
                ReplicaIdentity { folder: u64::from(id.0), id: Some(id), first_members, peers }
            }
            None => ReplicaIdentity::of_new_replica(),
        };
        identity.save(data)?;
        log::info!("event=identity_created id={:?} folder={:x}", identity.id, identity.folder);
        *self.identity.borrow_mut() = Some(identity);
        Ok(())
    }

    /// Keeps the addresses of the other replicas for a restart.
    pub(crate) fn remember_peers(&self) {
        let replicas = self.log.borrow().state().replicas().to_vec();
        let peers: Vec<_> = replicas.iter().map(|known| (known.id, known.peers)).collect();
        let Some(mut identity) = self.identity.borrow().clone() else { return };
        if peers.is_empty() || identity.peers == peers {
            return;
        }
        identity.peers = peers;
        self.save_identity(identity);
    }

    fn save_identity(&self, identity: ReplicaIdentity) {
        let data = self.settings.borrow().data_dir.clone();
        match data.map(|data| identity.save(&data)) {
            Some(Err(error)) => log::error!("event=identity_not_saved cause=\"{error}\""),
            _ => *self.identity.borrow_mut() = Some(identity),
        }
    }

    /// Asks all connected control hosts for an id.
    pub(crate) fn ask_to_join(&self) {
        let Some(identity) = self.identity.borrow().clone() else { return };
        let settings = self.settings.borrow();
        let peers = SocketAddr::new(settings.address, settings.peer_port);
        let join = LinkMessage::Join { folder: identity.folder, peers, calls: self.calls_address };
        for link in self.links.borrow().iter().filter(|link| link.is_own) {
            link.link.send(&join);
        }
    }

    /// Lets a new replica join. Only the leader answers.
    pub(crate) fn take_join(
        &self,
        link: LinkHandle,
        folder: u64,
        peers: SocketAddr,
        calls: SocketAddr,
    ) {
        if !self.leads() {
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
        // The replica that had this address has lost its disk, and with it all that it promised.
        if let Some(old) = replicas.iter().find(|replica| replica.peers == peers) {
            log::warn!("event=replica_lost_disk id={} peers={peers}", old.id.0);
            self.command(FleetCommand::RemoveReplica { id: old.id });
            return;
        }
        if let Some(id) = lost_replica(&self.replica_views(), true) {
            log::warn!("event=replica_replaced id={} by={peers}", id.0);
            self.command(FleetCommand::RemoveReplica { id });
            return;
        }
        log::info!("event=replica_joins folder={folder:x} peers={peers}");
        self.command(FleetCommand::AddReplica { folder, peers, calls });
    }

    /// Takes the id that the group has given.
    pub(crate) fn take_welcome(&self, id: HostId, replicas: Vec<ReplicaRecord>) {
        let Some(mut identity) = self.identity.borrow().clone() else { return };
        if identity.id.is_some() {
            return;
        }
        identity.id = Some(id);
        identity.peers = replicas.iter().map(|known| (known.id, known.peers)).collect();
        self.save_identity(identity);
    }

    /// The group no longer counts this replica: it becomes a new one.
    pub(crate) fn take_removal(&self, id: HostId) {
        let own = self.identity.borrow().as_ref().and_then(|identity| identity.id);
        if own != Some(id) {
            return;
        }
        log::warn!("event=replica_was_removed id={}", id.0);
        *self.replica.borrow_mut() = None;
        let data = self.settings.borrow().data_dir.clone();
        if let Some(Err(error)) = data.map(|data| ReplicaIdentity::wipe(&data)) {
            log::error!("event=data_not_removed cause=\"{error}\"");
            return;
        }
        // Never again as a first member: what that one promised is forgotten.
        self.save_identity(ReplicaIdentity::of_new_replica());
    }

    /// Puts a command into the log without waiting for it.
    pub(crate) fn command(&self, command: FleetCommand) {
        let (sender, _) = tokio::sync::oneshot::channel::<CallResult>();
        self.propose_as_leader(&command, Asker::Own(sender));
    }

    /// Lets the group's members follow the list of replicas, as leader.
    pub(crate) fn keep_group(&self) {
        let state_replicas = self.log.borrow().state().replicas().to_vec();
        if state_replicas.is_empty() {
            self.record_first_members();
            return;
        }
        let now = self.now();
        if let Some(replica) = self.replica.borrow_mut().as_mut() {
            let members = replica.node.membership().clone();
            let is_known = |id: HostId| state_replicas.iter().any(|known| known.id == id);
            let gone = members.members().find(|id| !is_known(*id));
            let new = state_replicas.iter().find(|known| !members.contains(known.id));
            let change = gone
                .map(MembershipChange::Remove)
                .or_else(|| new.map(|known| MembershipChange::Add(known.id)));
            if let Some(change) = change {
                match replica.node.change_membership(now, change) {
                    Ok(index) => log::info!("event=members_change index={} {change:?}", index.0),
                    Err(error) => log::debug!("event=members_wait cause=\"{error}\""),
                }
            }
        }
        if let Some(id) = lost_replica(&self.replica_views(), false) {
            log::warn!("event=replica_lost id={}", id.0);
            self.command(FleetCommand::RemoveReplica { id });
        }
        self.drive();
    }

    /// The other replicas as this leader sees them.
    fn replica_views(&self) -> Vec<ReplicaView> {
        let now = self.now();
        let replica = self.replica.borrow();
        let Some(replica) = replica.as_ref() else { return Vec::new() };
        let status = replica.node.member_status();
        let mut noticed = self.noticed.borrow_mut();
        noticed.retain(|id, _| status.iter().any(|member| member.host == *id));
        let others = status.iter().filter(|member| member.host != replica.node.id());
        others
            .map(|member| {
                // A member that was never heard counts from when it became one.
                let noticed = *noticed.entry(member.host).or_insert(now);
                let heard = member.last_contact.map_or(noticed, |at| at.max(noticed));
                ReplicaView { id: member.host, silence: now.since(heard) }
            })
            .collect()
    }

    fn record_first_members(&self) {
        let Some(identity) = self.identity.borrow().clone() else { return };
        let port = self.calls_address.port();
        log::info!("event=first_members members={:?}", identity.peers);
        let first = identity.peers.iter().map(|&(id, peers)| ReplicaRecord {
            id,
            folder: u64::from(id.0),
            peers,
            calls: SocketAddr::new(peers.ip(), port),
        });
        self.command(FleetCommand::SetFirstReplicas(first.collect()));
    }
}
