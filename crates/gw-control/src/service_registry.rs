use std::sync::Arc;

use gw_types::BootId;
use gw_types::ServiceDefinition;
use gw_types::TargetName;
use serde::Deserialize;
use serde::Serialize;

use crate::ServiceOutcome;

/// Maximum number of services, which bounds the size of the control state.
pub const MAX_SERVICES: usize = 256;

/// A field of a service definition that may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DefinitionField {
    /// The requests that belong to the service.
    Route,
    /// The part of a request that contains the key.
    Key,
    /// The name of the profile.
    Profile,
}

/// All registered services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceRegistry {
    /// Sorted by name, at most [`MAX_SERVICES`].
    services: Vec<ServiceEntry>,
}

/// One registered service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServiceEntry {
    pub(crate) definition: Arc<ServiceDefinition>,
    /// Index of the log entry that registered the definition.
    pub(crate) index: u64,
    /// The differing definition that targets announced last. Not in force until all live targets
    /// have announced it.
    pending: Option<PendingDefinition>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PendingDefinition {
    definition: ServiceDefinition,
    /// Live targets that have announced the definition, sorted, without duplicates.
    announced: Vec<(TargetName, BootId)>,
}

impl ServiceRegistry {
    /// Registers `definition`, or changes the registered one if all `live` targets of the service
    /// have announced it or there are none. `announced` lists targets that announce it now.
    pub(crate) fn register(
        &mut self,
        index: u64,
        definition: &ServiceDefinition,
        announced: &[(TargetName, BootId)],
        live: &[(TargetName, BootId)],
    ) -> ServiceOutcome {
        let position =
            self.services.binary_search_by(|entry| entry.definition.name.cmp(&definition.name));
        match position {
            Ok(position) => self.services[position].change(index, definition, announced, live),
            Err(_) if self.services.len() == MAX_SERVICES => ServiceOutcome::TooManyServices,
            Err(position) => {
                let definition = Arc::new(definition.clone());
                self.services.insert(position, ServiceEntry { definition, index, pending: None });
                ServiceOutcome::Registered { changed: true, warnings: Vec::new() }
            }
        }
    }

    pub(crate) fn entry(&self, name: &str) -> Option<&ServiceEntry> {
        let search =
            self.services.binary_search_by(|entry| entry.definition.name.as_str().cmp(name));
        search.ok().map(|position| &self.services[position])
    }

    pub(crate) fn definitions(&self) -> impl Iterator<Item = &Arc<ServiceDefinition>> {
        self.services.iter().map(|entry| &entry.definition)
    }
}

impl ServiceEntry {
    fn change(
        &mut self,
        index: u64,
        definition: &ServiceDefinition,
        announced: &[(TargetName, BootId)],
        live: &[(TargetName, BootId)],
    ) -> ServiceOutcome {
        let fields = differing_fields(&self.definition, definition);
        if fields.is_empty() {
            return ServiceOutcome::Registered { changed: false, warnings: Vec::new() };
        }
        let waiting_for = self.count_missing(definition, announced, live);
        // A change of the key source needs a service without live targets. Hosts apply a definition
        // at different times; with two key sources in use at once, requests for one key would be
        // sent to two owners.
        let keeps_owners = !fields.contains(&DefinitionField::Key);
        if live.is_empty() || (waiting_for == 0 && keeps_owners) {
            self.definition = Arc::new(definition.clone());
            self.index = index;
            self.pending = None;
            return ServiceOutcome::Registered { changed: true, warnings: Vec::new() };
        }
        let waiting_for = if keeps_owners { waiting_for } else { live.len() as u32 };
        ServiceOutcome::Differs { fields, waiting_for }
    }

    /// Records the targets that announce `definition`, and counts the live targets that have not
    /// announced it yet.
    fn count_missing(
        &mut self,
        definition: &ServiceDefinition,
        announced: &[(TargetName, BootId)],
        live: &[(TargetName, BootId)],
    ) -> u32 {
        let known = self.pending.take().filter(|pending| pending.definition == *definition);
        let mut all = known.map(|pending| pending.announced).unwrap_or_default();
        all.extend_from_slice(announced);
        all.retain(|target| live.contains(target));
        all.sort();
        all.dedup();
        let missing = live.len() - all.len();
        if !all.is_empty() {
            let definition = definition.clone();
            self.pending = Some(PendingDefinition { definition, announced: all });
        }
        missing as u32
    }
}

fn differing_fields(known: &ServiceDefinition, new: &ServiceDefinition) -> Vec<DefinitionField> {
    let differences = [
        (known.route != new.route, DefinitionField::Route),
        (known.key != new.key, DefinitionField::Key),
        (known.profile != new.profile, DefinitionField::Profile),
    ];
    differences.into_iter().filter(|(differs, _)| *differs).map(|(_, field)| field).collect()
}
