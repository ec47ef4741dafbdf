//! Settings of entry and control hosts. Each host has a TOML file; all files have the same list of
//! hosts.

mod host_checks;
mod host_settings;
mod key_files;
mod key_settings;
mod limit_settings;
mod settings_error;
mod settings_file;

pub use host_settings::ControlSettings;
pub use host_settings::HostSettings;
pub use host_settings::ListenerSettings;
pub use key_settings::KeySettings;
pub use key_settings::RegistrationToken;
pub use limit_settings::LimitSettings;
pub use settings_error::SettingsError;
pub use settings_error::SettingsErrors;
