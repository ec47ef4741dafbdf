use std::path::PathBuf;

use serde::Deserialize;

use super::LimitSettings;

/// Contents of a settings file before they are checked. Addresses and names are strings, so that
/// every invalid one is reported, not only the first.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsFile {
    pub(super) name: String,
    pub(super) hosts: Vec<HostSection>,
    #[serde(default)]
    pub(super) listeners: ListenerSection,
    #[serde(default)]
    pub(super) control: ControlSection,
    pub(super) keys: KeySection,
    #[serde(default)]
    pub(super) limits: LimitSettings,
    #[serde(default)]
    pub(super) log: LogSection,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HostSection {
    pub(super) id: u16,
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) peers: String,
    pub(super) forwards: Option<String>,
    #[serde(default)]
    pub(super) control: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenerSection {
    pub(super) callers: Option<String>,
    pub(super) targets: Option<String>,
    pub(super) operators: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ControlSection {
    #[serde(default)]
    pub(super) embedded: bool,
    pub(super) data: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeySection {
    pub(super) frames: Vec<PathBuf>,
    pub(super) operators: PathBuf,
    pub(super) registration: PathBuf,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LogSection {
    pub(super) level: String,
}

impl Default for LogSection {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}
