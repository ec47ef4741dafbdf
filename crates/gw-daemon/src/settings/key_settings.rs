use std::fmt;

use gw_types::ServiceName;
use gw_wire::KeyRing;

/// Secrets read from the key files.
#[derive(Clone)]
pub struct KeySettings {
    /// Keys that authenticate frames between hosts. The key of the first file signs.
    pub frames: KeyRing,
    /// Bearer token of operators' calls.
    pub operators: String,
    /// Tokens that authorise announcements of targets.
    pub registration: Vec<RegistrationToken>,
}

/// Token that authorises announcements of targets of one service.
#[derive(Clone, PartialEq, Eq)]
pub struct RegistrationToken {
    /// The service whose targets may use the token.
    pub service: ServiceName,
    /// The bearer token.
    pub token: String,
}

impl fmt::Debug for KeySettings {
    /// Omits the tokens, so that they are not logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeySettings").field("frames", &self.frames).finish_non_exhaustive()
    }
}

impl fmt::Debug for RegistrationToken {
    /// Omits the token, so that it is not logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RegistrationToken").field("service", &self.service).finish_non_exhaustive()
    }
}
