use std::time::SystemTime;

use crate::GatewaySettings;
use crate::SettingsError;

/// Where a process has its settings from.
pub trait SettingsSource {
    /// Reads and checks the settings.
    fn load(&self) -> Result<GatewaySettings, SettingsError>;

    /// When they were last changed, if that can be told.
    fn modified(&self) -> Option<SystemTime>;
}
