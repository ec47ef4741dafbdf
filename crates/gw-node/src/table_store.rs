use std::sync::Arc;

use gw_control::ControlView;
use gw_placement::DeltaError;
use gw_types::RoutingTable;
use gw_types::TableVersion;
use gw_types::ZoneName;
use gw_types::ZoneTable;

use crate::TableContent;

/// The zone tables that a host has: the acknowledged table of each zone, and the latest table of
/// its own zone.
#[derive(Debug)]
pub(crate) struct TableStore {
    /// The host's own zone.
    zone: ZoneName,
    /// The own zone's table of the highest version, which may not be acknowledged yet.
    held: Option<Arc<ZoneTable>>,
    /// Acknowledged tables, sorted by zone. A table is only replaced by a higher version.
    acknowledged: Vec<Arc<ZoneTable>>,
    /// Whether a table or a service definition changed since the routes were last compiled.
    routes_changed: bool,
}

impl TableStore {
    pub(crate) fn new(zone: ZoneName) -> Self {
        Self { zone, held: None, acknowledged: Vec::new(), routes_changed: true }
    }

    /// The own zone's table of the highest version, acknowledged or not.
    pub(crate) fn held(&self) -> Option<&Arc<ZoneTable>> {
        self.held.as_ref()
    }

    /// Highest version of the own zone's table; the default version if there is none.
    pub(crate) fn held_version(&self) -> TableVersion {
        self.held.as_ref().map(|table| table.version).unwrap_or_default()
    }

    /// The acknowledged table of `zone`.
    pub(crate) fn acknowledged(&self, zone: &str) -> Option<&Arc<ZoneTable>> {
        let position =
            self.acknowledged.binary_search_by(|table| table.zone.as_str().cmp(zone)).ok()?;
        self.acknowledged.get(position)
    }

    /// All acknowledged tables.
    pub(crate) fn all(&self) -> &[Arc<ZoneTable>] {
        &self.acknowledged
    }

    /// Stores a table of the own zone as a copy without using it for routing. Returns the highest
    /// version held.
    pub(crate) fn apply_held(
        &mut self,
        content: &TableContent,
    ) -> Result<TableVersion, DeltaError> {
        if *content.zone() != self.zone {
            return Err(DeltaError::Zone(content.zone().clone()));
        }
        let table = self.full_table(content, self.held.as_ref())?;
        self.insert_held(table);
        Ok(self.held_version())
    }

    /// Stores a table of the own zone as a copy if its version is higher than that of the held one.
    pub(crate) fn insert_held(&mut self, table: Arc<ZoneTable>) {
        if table.version > self.held_version() || self.held.is_none() {
            self.held = Some(table);
        }
    }

    /// Marks the held table as acknowledged if it has this zone and version. Returns whether this
    /// changed the acknowledged table.
    pub(crate) fn acknowledge(&mut self, zone: &ZoneName, version: TableVersion) -> bool {
        let held = self.held.clone();
        let held = held.filter(|table| table.zone == *zone && table.version == version);
        held.is_some_and(|table| self.insert_acknowledged(table))
    }

    /// Stores an acknowledged table. Returns it if its version is higher than the stored one.
    pub(crate) fn apply_acknowledged(
        &mut self,
        content: &TableContent,
    ) -> Result<Option<Arc<ZoneTable>>, DeltaError> {
        let known = self.acknowledged(content.zone().as_str());
        let table = self.full_table(content, known)?;
        Ok(self.insert_acknowledged(table.clone()).then_some(table))
    }

    /// Stores an acknowledged table if its version is higher than that of the stored one. Returns
    /// whether it was stored.
    pub(crate) fn insert_acknowledged(&mut self, table: Arc<ZoneTable>) -> bool {
        if table.zone == self.zone {
            self.insert_held(table.clone());
        }
        match self.acknowledged.binary_search_by(|known| known.zone.cmp(&table.zone)) {
            Ok(position) if self.acknowledged[position].version >= table.version => return false,
            Ok(position) => self.acknowledged[position] = table,
            Err(position) => self.acknowledged.insert(position, table),
        }
        self.routes_changed = true;
        true
    }

    /// The whole table that `content` describes, where `base` is the table that a delta applies to.
    fn full_table(
        &self,
        content: &TableContent,
        base: Option<&Arc<ZoneTable>>,
    ) -> Result<Arc<ZoneTable>, DeltaError> {
        match (content, base) {
            (TableContent::Full(table), _) => Ok(Arc::new(table.clone())),
            // A delta to the stored or an earlier version contains nothing new.
            (TableContent::Delta(delta), Some(base)) if base.version >= delta.to => {
                Ok(base.clone())
            }
            (TableContent::Delta(delta), Some(base)) => delta.apply(base).map(Arc::new),
            (TableContent::Delta(delta), None) => {
                Err(DeltaError::Version { expected: delta.from, found: TableVersion::default() })
            }
        }
    }

    /// Stores the tables of the control log as acknowledged. A committed table either is
    /// acknowledged or will be, because its leader only waits for further copies of it.
    pub(crate) fn apply_control(&mut self, view: ControlView<'_>) {
        for table in view.zone_tables() {
            self.insert_acknowledged(table.clone());
        }
    }

    /// Marks the routes as outdated, because service definitions may have changed.
    pub(crate) fn mark_changed(&mut self) {
        self.routes_changed = true;
    }

    /// Compiles the routes if a table or a service definition may have changed since the last call.
    pub(crate) fn take_routes(&mut self, view: ControlView<'_>) -> Option<Arc<RoutingTable>> {
        if !std::mem::take(&mut self.routes_changed) {
            return None;
        }
        Some(Arc::new(RoutingTable::compile(view.definitions(), &self.acknowledged)))
    }
}
