use gw_types::FencingToken;
use gw_types::KeyHash;
use gw_types::KeyOverride;
use gw_types::ServiceName;
use gw_types::SlotRange;
use gw_types::TargetName;
use gw_types::TermNumber;
use gw_types::Timestamp;

use crate::HandoverPurpose;
use crate::HandoverState;
use crate::HandoverSubject;
use crate::MoveError;
use crate::OverrideTable;
use crate::PlannedMove;
use crate::ServiceView;
use crate::SlotHandover;
use crate::WeightedTarget;
use crate::ZonePlacement;
use crate::slot_ranges;
use crate::table_delta::service_entry;

/// Handovers and grants of slots and keys.
impl ZonePlacement {
    /// Begins to move the owned slots of `first..=last` to `to` and returns their number. Slots in
    /// handover are not moved.
    ///
    /// # Errors
    ///
    /// Returns an error if the zone has no slots of the service or if `to` does not accept its
    /// work.
    pub fn move_slots(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        first: u16,
        last: u16,
        to: &TargetName,
    ) -> Result<u32, MoveError> {
        self.check_target(service, to)?;
        let table = self.service_table(service).ok_or(MoveError::Service(service.clone()))?;
        let mut moved = 0;
        for range in slot_ranges::within(&table.ranges, first, last) {
            if range.owner.is_some() && range.owner.as_ref() != Some(to) {
                moved += u32::from(range.last - range.first) + 1;
                self.revoke_range(now, service, &range, HandoverPurpose::Grant(Some(to.clone())));
            }
        }
        Ok(moved)
    }

    /// Begins to give `key` an override that names `to`, or to move its override there.
    ///
    /// # Errors
    ///
    /// Returns an error if the zone has no slots of the service, if `to` does not accept its work,
    /// if the key is in handover, or if the service has the maximum number of overrides.
    pub fn move_key(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: KeyHash,
        to: &TargetName,
    ) -> Result<(), MoveError> {
        self.check_target(service, to)?;
        let (owner, token) = self.key_ownership(service, key)?;
        self.revoke_key(now, service, key, owner, token, HandoverPurpose::Grant(Some(to.clone())))
    }

    /// Begins to remove the override of `key`, so that the owner of its slot serves it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the zone has no slots of the service, or if the key has no override or
    /// is in handover.
    pub fn merge_key(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: KeyHash,
    ) -> Result<(), MoveError> {
        let table = self.service_table(service).ok_or(MoveError::Service(service.clone()))?;
        if !table.overrides.iter().any(|entry| entry.key == key) {
            return Err(MoveError::Key(key));
        }
        let (owner, token) = self.key_ownership(service, key)?;
        self.revoke_key(now, service, key, owner, token, HandoverPurpose::MergeKey)
    }

    /// Begins a move that a [`MovePlanner`](crate::MovePlanner) proposed.
    ///
    /// # Errors
    ///
    /// Returns an error if the move is no longer possible because the table has changed since the
    /// plan.
    pub fn begin_move(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        planned: &PlannedMove,
    ) -> Result<(), MoveError> {
        match planned {
            PlannedMove::Override(key, to) => self.move_key(now, service, *key, to),
            PlannedMove::MergeKey(key) => self.merge_key(now, service, *key),
            PlannedMove::Slot(slot, to) => {
                self.move_slots(now, service, slot.0, slot.0, to).map(|_| ())
            }
        }
    }

    /// Returns the planner's view of a service with `targets`, as returned by
    /// [`targets_of`](Self::targets_of).
    pub fn view<'a>(
        &'a self,
        service: &ServiceName,
        targets: &'a [WeightedTarget],
    ) -> Option<ServiceView<'a>> {
        let table = self.service_table(service)?;
        Some(ServiceView { targets, table })
    }

    /// Begins to balance the owned slots of a service among its targets, moving at most `budget`
    /// slots. Returns the number of slots that begin to move.
    pub fn rebalance(&mut self, now: Timestamp, service: &ServiceName, budget: u32) -> u32 {
        let targets = self.targets_of(service);
        if targets.is_empty() || budget == 0 {
            return 0;
        }
        let balance = self.plan(service, &targets, budget as usize);
        let mut moved = 0;
        for run in balance.runs() {
            let (first, last) = run.bounds();
            let Some(to) = targets.get(usize::from(run.owner)) else { continue };
            moved += self.move_slots(now, service, first, last, &to.name).unwrap_or(0);
        }
        moved
    }

    fn check_target(&self, service: &ServiceName, name: &TargetName) -> Result<(), MoveError> {
        match self.accepts_work(service, name) {
            true => Ok(()),
            false => Err(MoveError::Target(name.clone())),
        }
    }

    fn accepts_work(&self, service: &ServiceName, name: &TargetName) -> bool {
        let entry = self.table.target(name.as_str());
        entry.is_some_and(|entry| entry.service == *service && entry.state.accepts_work())
    }

    /// Returns the owner of a key and the highest token of the key and its slot.
    fn key_ownership(
        &self,
        service: &ServiceName,
        key: KeyHash,
    ) -> Result<(TargetName, FencingToken), MoveError> {
        let table = self.service_table(service).ok_or(MoveError::Service(service.clone()))?;
        let slot = slot_ranges::find(&table.ranges, key.slot().0).ok_or(MoveError::Key(key))?;
        let entry = table.overrides.iter().find(|entry| entry.key == key);
        let (owner, token) = match entry {
            Some(entry) => (entry.owner.clone(), entry.token.max(slot.token)),
            None => (slot.owner.clone(), slot.token),
        };
        Ok((owner.ok_or(MoveError::Key(key))?, token))
    }

    pub(crate) fn next_token(
        &mut self,
        service: &ServiceName,
        slot: u16,
        previous: FencingToken,
    ) -> FencingToken {
        let delegation = self.delegation_of(service, slot);
        let term = delegation.map_or(TermNumber(0), |delegation| delegation.term);
        self.tokens.next(term, previous)
    }

    /// Returns a token for all slots of a range, above their highest and in the term of their
    /// latest delegation.
    fn next_range_token(&mut self, service: &ServiceName, first: u16, last: u16) -> FencingToken {
        let ranges = self.service_table(service).map_or(&[][..], |table| &table.ranges);
        let previous = slot_ranges::highest_token(ranges, first, last);
        let delegated = self.delegations.get(service).into_iter().flatten();
        let overlapping = delegated.filter(|range| range.first <= last && range.last >= first);
        let term = overlapping.map(|range| range.term).max().unwrap_or(TermNumber(0));
        self.tokens.next(term, previous)
    }

    pub(crate) fn set_range(
        &mut self,
        service: &ServiceName,
        first: u16,
        last: u16,
        owner: Option<TargetName>,
    ) -> FencingToken {
        let token = if self.options.faults.keep_token {
            let ranges = self.service_table(service).map_or(&[][..], |table| &table.ranges);
            slot_ranges::highest_token(ranges, first, last)
        } else {
            self.next_range_token(service, first, last)
        };
        let ranges = &mut service_entry(&mut self.table, service).ranges;
        slot_ranges::overlay(ranges, SlotRange { first, last, owner, token });
        self.dirty = true;
        token
    }

    /// Revokes slots of one owner and begins their handover.
    fn revoke_range(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        range: &SlotRange,
        purpose: HandoverPurpose,
    ) {
        let Some(from) = range.owner.clone() else { return };
        let token = self.set_range(service, range.first, range.last, None);
        let subject = HandoverSubject::Slots { first: range.first, last: range.last };
        self.begin_handover(now, service, subject, from, purpose, token);
    }

    fn revoke_key(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: KeyHash,
        from: TargetName,
        previous: FencingToken,
        purpose: HandoverPurpose,
    ) -> Result<(), MoveError> {
        let token = self.next_token(service, key.slot().0, previous);
        let overrides = &mut service_entry(&mut self.table, service).overrides;
        OverrideTable::new(overrides).set(key, None, token)?;
        self.dirty = true;
        self.begin_handover(now, service, HandoverSubject::Key(key), from, purpose, token);
        Ok(())
    }

    fn begin_handover(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        subject: HandoverSubject,
        from: TargetName,
        purpose: HandoverPurpose,
        token: FencingToken,
    ) {
        let entry = self.table.target(from.as_str());
        let dispatcher = entry.and_then(|entry| entry.dispatcher);
        let checks_tokens = entry.is_some_and(|entry| entry.checks_tokens);
        let bound = self.bounds.get(&from).copied().unwrap_or_default();
        let id = self.allocate_handover_id();
        let service = service.clone();
        let earlier_requests = self.earlier_requests.get(&from).copied();
        let mut handover = SlotHandover::start(
            now,
            id,
            service,
            subject,
            Some(from),
            dispatcher,
            checks_tokens,
            purpose,
            token,
            bound,
        );
        handover.wait_until(earlier_requests.unwrap_or(now));
        self.handovers.push(handover);
    }

    /// Revokes all slots and keys of a target that accepts no work.
    pub(crate) fn revoke_all(&mut self, now: Timestamp, name: &TargetName) {
        for table in self.table.services.clone() {
            for range in table.ranges.iter().filter(|range| range.owner.as_ref() == Some(name)) {
                self.revoke_range(now, &table.service, range, HandoverPurpose::Grant(None));
            }
            for entry in table.overrides.iter().filter(|key| key.owner.as_ref() == Some(name)) {
                self.revoke_override(now, &table.service, entry, HandoverPurpose::MergeKey);
            }
        }
    }

    fn revoke_override(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        entry: &KeyOverride,
        purpose: HandoverPurpose,
    ) {
        let Some(owner) = entry.owner.clone() else { return };
        let revoked = self.revoke_key(now, service, entry.key, owner, entry.token, purpose);
        debug_assert!(revoked.is_ok(), "an existing override accepts a higher token");
    }

    /// Revokes slots and keys that are no longer delegated to the zone.
    pub(crate) fn release_undelegated(&mut self, now: Timestamp, service: &ServiceName) {
        let Some(table) = self.service_table(service).cloned() else { return };
        for range in self.undelegated(service, &table.ranges) {
            self.revoke_range(now, service, &range, HandoverPurpose::Release);
        }
        for entry in &table.overrides {
            if self.delegation_of(service, entry.key.slot().0).is_none() {
                self.revoke_override(now, service, entry, HandoverPurpose::Release);
            }
        }
    }

    pub(crate) fn undelegated(
        &self,
        service: &ServiceName,
        ranges: &[SlotRange],
    ) -> Vec<SlotRange> {
        let mut undelegated = ranges.to_vec();
        for range in self.delegations.get(service).into_iter().flatten() {
            slot_ranges::remove(&mut undelegated, range.first, range.last);
        }
        undelegated
    }

    /// Finishes the handovers that are safe.
    pub(crate) fn finish_safe_handovers(&mut self, now: Timestamp) {
        let is_early = self.options.faults.grant_early;
        let mut safe = Vec::new();
        let bounds = &self.bounds;
        self.handovers.retain_mut(|handover| {
            let from = handover.from.as_ref();
            handover
                .extend_bound(from.and_then(|from| bounds.get(from)).copied().unwrap_or_default());
            let is_safe = is_early || handover.advance(now) == HandoverState::Granting;
            if is_safe {
                safe.push(handover.clone());
            }
            !is_safe
        });
        self.dirty |= !safe.is_empty();
        for handover in safe {
            self.finish_handover(&handover);
        }
    }

    fn finish_handover(&mut self, handover: &SlotHandover) {
        let service = &handover.service;
        let destination = match &handover.purpose {
            HandoverPurpose::Grant(Some(to)) if self.accepts_work(service, to) => Some(to.clone()),
            _ => None,
        };
        match (handover.subject, destination) {
            (HandoverSubject::Slots { first, last }, Some(to)) => {
                self.grant_delegated(service, first, last, &to);
            }
            // The slots are free from here on; the next step assigns or removes them.
            (HandoverSubject::Slots { .. }, None) => {}
            (HandoverSubject::Key(key), Some(to))
                if self.delegation_of(service, key.slot().0).is_some() =>
            {
                self.grant_key(service, key, to);
            }
            (HandoverSubject::Key(key), _) => self.remove_override(service, key),
        }
    }

    pub(crate) fn grant_delegated(
        &mut self,
        service: &ServiceName,
        first: u16,
        last: u16,
        to: &TargetName,
    ) {
        let delegated = self.delegations.get(service).cloned().unwrap_or_default();
        for range in delegated {
            let (first, last) = (first.max(range.first), last.min(range.last));
            if first <= last {
                self.set_range(service, first, last, Some(to.clone()));
            }
        }
    }

    fn grant_key(&mut self, service: &ServiceName, key: KeyHash, to: TargetName) {
        let table = service_entry(&mut self.table, service);
        let Some(entry) = table.overrides.iter().find(|entry| entry.key == key) else { return };
        let previous = entry.token;
        let token = self.next_token(service, key.slot().0, previous);
        let overrides = &mut service_entry(&mut self.table, service).overrides;
        // Cannot fail: the override exists and its token increased.
        let _ = OverrideTable::new(overrides).set(key, Some(to), token);
        self.dirty = true;
    }

    /// Removes the override and raises the slot's token above that of the override.
    fn remove_override(&mut self, service: &ServiceName, key: KeyHash) {
        let table = service_entry(&mut self.table, service);
        let Some(entry) = OverrideTable::new(&mut table.overrides).remove(key) else { return };
        self.dirty = true;
        let slot = key.slot().0;
        let Some(range) = slot_ranges::find(&table.ranges, slot) else { return };
        let (owner, previous) = (range.owner.clone(), range.token.max(entry.token));
        let token = self.next_token(service, slot, previous);
        let range = SlotRange { first: slot, last: slot, owner, token };
        slot_ranges::overlay(&mut service_entry(&mut self.table, service).ranges, range);
    }
}
