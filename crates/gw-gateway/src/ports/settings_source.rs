use std::time::SystemTime;

use crate::GatewaySettings;
use crate::SettingsError;

/// Source from which a process loads and reloads its settings.
pub trait SettingsSource {
    /// Reads and validates the settings.
    fn load(&self) -> Result<GatewaySettings, SettingsError>;

    /// Time of the last modification; `None` if it cannot be determined.
    fn modified(&self) -> Option<SystemTime>;
}
