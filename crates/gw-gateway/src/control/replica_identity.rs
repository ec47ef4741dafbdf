use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use gw_types::HostId;
use serde::Deserialize;
use serde::Serialize;

/// Name of the file in the data folder.
const FILE_NAME: &str = "identity.json";
/// Name of the file while it is written.
const TEMP_FILE_NAME: &str = "identity.json.new";
/// Folder of the journal within the data folder.
pub(crate) const JOURNAL_FOLDER: &str = "journal";

/// Who a replica is. Lost together with the disk: a host with an empty disk is a new replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaIdentity {
    /// Names the data folder.
    pub(crate) folder: u64,
    /// The id, once the group has given one.
    pub(crate) id: Option<HostId>,
    /// The first members, if this replica is one of them.
    pub(crate) first_members: Vec<HostId>,
    /// Replicas that were known last, with their addresses. After a restart of the whole group,
    /// replicas have to reach each other before the log can say where they are.
    pub(crate) peers: Vec<(HostId, SocketAddr)>,
}

impl ReplicaIdentity {
    /// A replica that has to join a running group.
    pub(crate) fn unassigned() -> Self {
        let (first_members, peers) = (Vec::new(), Vec::new());
        Self { folder: rand::random(), id: None, first_members, peers }
    }

    /// Reads the identity from the data folder; `None` if the folder has none.
    pub(crate) fn load(data: &Path) -> io::Result<Option<Self>> {
        match fs::read(data.join(FILE_NAME)) {
            Ok(bytes) => Ok(Some(serde_json::from_slice(&bytes)?)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes and syncs the identity.
    pub(crate) fn save(&self, data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        let new = data.join(TEMP_FILE_NAME);
        let mut file = File::create(&new)?;
        file.write_all(&serde_json::to_vec(self)?)?;
        file.sync_all()?;
        fs::rename(&new, data.join(FILE_NAME))?;
        File::open(data)?.sync_all()
    }

    /// Removes everything from the data folder.
    pub(crate) fn wipe(data: &Path) -> io::Result<()> {
        // The identity goes first: without it, the rest is never read.
        for name in [FILE_NAME, TEMP_FILE_NAME] {
            match fs::remove_file(data.join(name)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        File::open(data)?.sync_all()?;
        match fs::remove_dir_all(data.join(JOURNAL_FOLDER)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}
