use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// File name of the identity in the data directory.
const FILE_NAME: &str = "identity.json";
/// File name of the identity while it is written.
const TEMP_FILE_NAME: &str = "identity.json.new";
/// Directory of the journal within the data directory.
pub(crate) const JOURNAL_FOLDER: &str = "journal";

/// Identity of a replica. It is stored on the same disk as the journal, so a host that lost its
/// disk is a new replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaIdentity {
    /// Random id of the data directory; for initial members the replica id.
    pub(crate) folder: u64,
    /// Replica id; `None` until the group has assigned one.
    pub(crate) id: Option<HostId>,
    /// Initial members of the group, if this replica is one of them; otherwise empty.
    pub(crate) first_members: Vec<HostId>,
    /// Last known replicas and their addresses. After a restart of the whole group, replicas need
    /// them to reach each other before the log can be read.
    pub(crate) peers: Vec<(HostId, SocketAddr)>,
    /// Log index of the state that `peers` was taken from; 0 if it was not taken from a state.
    /// Never decreases: a replica that restarts applies its last snapshot first, which may lack
    /// members that joined later.
    #[serde(default)]
    pub(crate) peers_index: u64,
}

impl ReplicaIdentity {
    /// Creates the identity of a replica that has to join a running group.
    pub(crate) fn unassigned() -> Self {
        let (first_members, peers) = (Vec::new(), Vec::new());
        Self { folder: rand::random(), id: None, first_members, peers, peers_index: 0 }
    }

    /// Reads the identity from the data directory; `None` if there is none.
    pub(crate) fn load(data: &Path) -> io::Result<Option<Self>> {
        match fs::read(data.join(FILE_NAME)) {
            Ok(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes the identity atomically and syncs it to disk.
    pub(crate) fn save(&self, data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        let new = data.join(TEMP_FILE_NAME);
        let mut file = File::create(&new)?;
        file.write_all(&serde_json::to_vec(self)?)?;
        file.sync_all()?;
        fs::rename(&new, data.join(FILE_NAME))?;
        File::open(data)?.sync_all()
    }

    /// Removes the identity from the data directory. Must precede the removal of the journal: a
    /// replica must not go on under its id without its votes and log entries.
    pub(crate) fn remove(data: &Path) -> io::Result<()> {
        for name in [FILE_NAME, TEMP_FILE_NAME] {
            match fs::remove_file(data.join(name)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        File::open(data)?.sync_all()
    }

    /// Removes the journal from the data directory.
    pub(crate) fn remove_journal(data: &Path) -> io::Result<()> {
        match fs::remove_dir_all(data.join(JOURNAL_FOLDER)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
