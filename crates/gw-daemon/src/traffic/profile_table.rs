use std::sync::Arc;

use gw_profile::Profile;
use gw_types::ProfileName;

/// Active profiles of this host.
#[derive(Clone, Debug)]
pub struct ProfileTable {
    /// Sorted by name, without duplicates.
    profiles: Vec<Arc<Profile>>,
    /// Profile with the default rules, used for unknown names.
    fallback: Arc<Profile>,
}

impl ProfileTable {
    /// Creates a table of `profiles`. Of several profiles with the same name, the last one is kept.
    pub fn new(profiles: impl IntoIterator<Item = Arc<Profile>>) -> Self {
        let mut table = Self::default();
        for profile in profiles {
            table.insert(profile);
        }
        table
    }

    fn insert(&mut self, profile: Arc<Profile>) {
        match self.profiles.binary_search_by(|known| known.name.cmp(&profile.name)) {
            Ok(index) => self.profiles[index] = profile,
            Err(index) => self.profiles.insert(index, profile),
        }
    }

    /// Returns the profile called `name`, or one with the default rules if the host has not
    /// received it.
    pub fn find(&self, name: &str) -> Arc<Profile> {
        match self.profiles.binary_search_by(|known| known.name.as_str().cmp(name)) {
            Ok(index) => self.profiles[index].clone(),
            Err(_) => self.fallback.clone(),
        }
    }
}

impl Default for ProfileTable {
    fn default() -> Self {
        Self { profiles: Vec::new(), fallback: default_profile() }
    }
}

fn default_profile() -> Arc<Profile> {
    // The literal is a valid name.
    let name = ProfileName::new("default").expect("a valid name");
    Arc::new(Profile::with_defaults(name))
}
