use std::sync::Arc;
use std::sync::LazyLock;

use crate::Profile;
use crate::ProfileFile;

/// Name of the profile that applies to services whose own profile does not exist.
pub const DEFAULT_PROFILE_NAME: &str = "default";

/// Names of the shipped profiles, which are compiled into the programs.
pub const SHIPPED_PROFILE_NAMES: [&str; 3] = [DEFAULT_PROFILE_NAME, "slipwerk", "ullvav"];

/// Parsed only once, because zone leaders look up rules whenever they plan moves.
static SHIPPED_PROFILES: LazyLock<Vec<Arc<Profile>>> = LazyLock::new(|| {
    let files = [
        ("default.toml", include_str!("../profiles/default.toml")),
        ("slipwerk.toml", include_str!("../profiles/slipwerk.toml")),
        ("ullvav.toml", include_str!("../profiles/ullvav.toml")),
    ];
    files
        .into_iter()
        .filter_map(|(file, text)| ProfileFile::parse(file, text).ok().map(Arc::new))
        .collect()
});

/// Returns the shipped profile `name`; absent if there is none. A test ensures that all of them
/// parse.
pub fn shipped_profile(name: &str) -> Option<Arc<Profile>> {
    SHIPPED_PROFILES.iter().find(|profile| profile.name.as_str() == name).cloned()
}
