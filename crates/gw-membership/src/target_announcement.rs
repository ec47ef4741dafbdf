use std::net::SocketAddr;

use gw_types::BootId;
use gw_types::KeySource;
use gw_types::ProfileName;
use gw_types::RouteMatch;
use gw_types::ServiceDefinition;
use gw_types::ServiceName;
use gw_types::TargetName;
use gw_types::TargetState;
use gw_types::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Announcement that a target sends when it joins and repeats to renew its registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetAnnouncement {
    /// The service that the target belongs to.
    pub service: ServiceName,
    /// Rule that selects the requests of the service.
    pub route: RouteMatch,
    /// Where a request carries its key; absent for a service that is not partitioned by key.
    #[serde(default)]
    pub key: Option<KeySource>,
    /// Name of the profile that the service uses.
    pub profile: ProfileName,
    /// Name of the target, unique within the system.
    pub target: TargetName,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Identifies the run of the target process. Increases with each restart.
    pub boot_id: BootId,
    /// Whether the target rejects a fencing token lower than one it has seen.
    #[serde(default)]
    pub checks_tokens: bool,
    /// Maximum number of requests that the target runs at the same time.
    #[serde(default = "default_work_slots")]
    pub work_slots: u16,
    /// Increases with each announcement of a run, so that a delayed one does not undo a newer one.
    /// 0 if the target does not number its announcements.
    #[serde(default)]
    pub sequence: u64,
}

fn default_work_slots() -> u16 {
    2
}

impl TargetAnnouncement {
    /// Returns the definition of the service that the announcement contains.
    pub fn definition(&self) -> ServiceDefinition {
        ServiceDefinition {
            name: self.service.clone(),
            route: self.route.clone(),
            key: self.key.clone(),
            profile: self.profile.clone(),
        }
    }
}

/// Response to an announcement: the state of the target as the receiving host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementReply {
    /// State of the target; absent until the zone leader has registered this run.
    pub state: Option<TargetState>,
    /// Slots that the target owns. The target must not treat any other slot as its own.
    pub owned: Vec<OwnedSlots>,
    /// Keys that the target owns independently of their slots.
    pub owned_keys: Vec<OwnedKey>,
    /// Time in milliseconds after which the target should announce again.
    pub renew_after_ms: u32,
    /// Time in milliseconds for which the listed ownership is valid, from when the target sent the
    /// announcement.
    pub valid_for_ms: u32,
}

/// A hot key that a target owns independently of the key's slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedKey {
    /// Hash of the key in 16 hexadecimal digits, as in the requests for it.
    pub key: String,
    /// The fencing token of the grant as one number.
    pub token: u64,
}

/// A range of consecutive slots that a target owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedSlots {
    /// First slot of the range.
    pub first: u16,
    /// Last slot of the range, inclusive.
    pub last: u16,
    /// The fencing token of the grant as one number.
    pub token: u64,
}
