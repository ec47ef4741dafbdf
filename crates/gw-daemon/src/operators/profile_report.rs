use gw_control::ControlView;
use gw_control::ProfileRevision;
use gw_profile::ProfileFile;
use gw_profile::SHIPPED_PROFILE_NAMES;
use gw_profile::diff;
use gw_profile::shipped_profile;
use serde::Deserialize;
use serde::Serialize;

/// One revision of a profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileReport {
    /// Name of the profile.
    pub name: String,
    /// Revision number; 0 for a shipped profile that no operator has changed.
    pub revision: u64,
    /// The profile as TOML text.
    pub text: String,
    /// The change that made the revision; absent for a shipped profile.
    pub change: Option<ChangeReport>,
}

/// The change that made a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReport {
    /// Operator who made the change.
    pub operator: String,
    /// Time of the change in milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// ID of the change, chosen by the client.
    pub change_id: String,
    /// Index of the change in the control log.
    pub index: u64,
}

/// One entry of the list of profiles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileSummary {
    /// Name of the profile.
    pub name: String,
    /// Latest revision; 0 for a shipped profile that no operator has changed.
    pub revision: u64,
    /// The change that made the revision; absent for a shipped profile.
    pub change: Option<ChangeReport>,
    /// Services that use the profile.
    pub services: Vec<String>,
}

/// One entry of a profile's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision number.
    pub revision: u64,
    /// The change that made the revision.
    pub change: ChangeReport,
    /// Fields that differ from the previous revision, as `field: from -> to`. Absent if the
    /// previous revision is not kept.
    pub changes: Option<Vec<String>>,
}

impl ProfileReport {
    /// Returns the latest revision of the profile `name`, or the given revision. Revision 0 is the
    /// shipped profile. Returns `None` if the profile or the revision does not exist.
    pub fn of(view: ControlView<'_>, name: &str, revision: Option<u64>) -> Option<Self> {
        let found = match revision {
            Some(revision) => view.history(name).find(|kept| kept.revision.0 == revision),
            None => view.profile(name),
        };
        if let Some(found) = found {
            return Some(Self {
                name: name.to_owned(),
                revision: found.revision.0,
                text: ProfileFile::write(&found.profile),
                change: Some(ChangeReport::of(found)),
            });
        }
        let shipped =
            shipped_profile(name).filter(|_| revision.is_none_or(|number| number == 0))?;
        let text = ProfileFile::write(&shipped);
        Some(Self { name: name.to_owned(), revision: 0, text, change: None })
    }
}

impl ChangeReport {
    fn of(entry: &ProfileRevision) -> Self {
        Self {
            operator: entry.operator.to_string(),
            at_ms: entry.at.0,
            change_id: entry.change_id.to_string(),
            index: entry.index,
        }
    }
}

impl ProfileSummary {
    /// Returns all profiles, including the shipped ones, sorted by name.
    pub fn all(view: ControlView<'_>) -> Vec<Self> {
        let changed = view.profiles().map(|entry| entry.profile.name.to_string());
        let mut names: Vec<_> = changed.chain(SHIPPED_PROFILE_NAMES.map(str::to_owned)).collect();
        names.sort();
        names.dedup();
        names.into_iter().map(|name| Self::of(view, name)).collect()
    }

    fn of(view: ControlView<'_>, name: String) -> Self {
        let latest = view.profile(&name);
        let users = view.definitions().filter(|service| service.profile.as_str() == name);
        Self {
            revision: latest.map_or(0, |entry| entry.revision.0),
            change: latest.map(ChangeReport::of),
            services: users.map(|service| service.name.to_string()).collect(),
            name,
        }
    }
}

impl HistoryEntry {
    /// Returns the revisions of a profile that are kept, newest first.
    pub fn all(view: ControlView<'_>, name: &str) -> Vec<Self> {
        let kept: Vec<_> = view.history(name).collect();
        let entries = kept.iter().enumerate();
        entries.map(|(index, entry)| Self::of(entry, kept.get(index + 1).copied())).collect()
    }

    fn of(entry: &ProfileRevision, previous: Option<&ProfileRevision>) -> Self {
        let changes = previous.map(|previous| {
            let changes = diff(&previous.profile, &entry.profile);
            changes.iter().map(ToString::to_string).collect()
        });
        Self { revision: entry.revision.0, change: ChangeReport::of(entry), changes }
    }
}
