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

/// Handovers and grants.
impl ZonePlacement {
    /// Begins to move the owned slots of `first..=last` to `to`. Slots in handover are left alone.
    /// Returns the number of slots that begin to move.
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
                self.take_range(now, service, &range, HandoverPurpose::Grant(Some(to.clone())));
            }
        }
        Ok(moved)
    }

    /// Begins to give `key` an owner of its own, or to move its override.
    pub fn move_key(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: KeyHash,
        to: &TargetName,
    ) -> Result<(), MoveError> {
        self.check_target(service, to)?;
        let (owner, token) = self.key_claim(service, key)?;
        self.take_key(now, service, key, owner, token, HandoverPurpose::Grant(Some(to.clone())))
    }

    /// Begins to merge the override of `key` back into its slot.
    pub fn merge_key(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        key: KeyHash,
    ) -> Result<(), MoveError> {
        let table = self.service_table(service).ok_or(MoveError::Service(service.clone()))?;
        if !table.overrides.iter().any(|known| known.key == key) {
            return Err(MoveError::Key(key));
        }
        let (owner, token) = self.key_claim(service, key)?;
        self.take_key(now, service, key, owner, token, HandoverPurpose::MergeKey)
    }

    /// Begins a move that a [`MovePlanner`](crate::MovePlanner) proposed.
    ///
    /// # Errors
    ///
    /// The table may have changed since the plan was made; the move is then left out.
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

    /// The planner's view of a service, for as long as `targets` lives.
    ///
    /// `targets` is what [`targets_of`](Self::targets_of) returned.
    pub fn view<'a>(
        &'a self,
        service: &ServiceName,
        targets: &'a [WeightedTarget],
    ) -> Option<ServiceView<'a>> {
        let table = self.service_table(service)?;
        Some(ServiceView { targets, table })
    }

    /// Begins to level the owned slots of a service among its targets, moving at most `budget`
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
        match self.takes_work(service, name) {
            true => Ok(()),
            false => Err(MoveError::Target(name.clone())),
        }
    }

    fn takes_work(&self, service: &ServiceName, name: &TargetName) -> bool {
        let entry = self.table.target(name.as_str());
        entry.is_some_and(|entry| entry.service == *service && entry.state.accepts_work())
    }

    /// Owner and highest token of a key.
    fn key_claim(
        &self,
        service: &ServiceName,
        key: KeyHash,
    ) -> Result<(TargetName, FencingToken), MoveError> {
        let table = self.service_table(service).ok_or(MoveError::Service(service.clone()))?;
        let slot = slot_ranges::find(&table.ranges, key.slot().0).ok_or(MoveError::Key(key))?;
        let known = table.overrides.iter().find(|known| known.key == key);
        let (owner, token) = match known {
            Some(known) => (known.owner.clone(), known.token.max(slot.token)),
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

    /// Token for all slots of a range: above the highest, in the latest delegation's term.
    fn next_range_token(&mut self, service: &ServiceName, first: u16, last: u16) -> FencingToken {
        let ranges = self.service_table(service).map_or(&[][..], |table| &table.ranges);
        let previous = slot_ranges::highest_token(ranges, first, last);
        let delegated = self.delegations.get(service).into_iter().flatten();
        let touched = delegated.filter(|range| range.first <= last && range.last >= first);
        let term = touched.map(|range| range.term).max().unwrap_or(TermNumber(0));
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

    /// Takes slots with one owner away from it.
    fn take_range(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        range: &SlotRange,
        purpose: HandoverPurpose,
    ) {
        let Some(from) = range.owner.clone() else { return };
        let token = self.set_range(service, range.first, range.last, None);
        let subject = HandoverSubject::Slots { first: range.first, last: range.last };
        self.begin(now, service, subject, from, purpose, token);
    }

    fn take_key(
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
        self.begin(now, service, HandoverSubject::Key(key), from, purpose, token);
        Ok(())
    }

    fn begin(
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
        let id = self.take_handover_id();
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

    /// Takes all slots and keys of a target that takes no work.
    pub(crate) fn take_everything(&mut self, now: Timestamp, name: &TargetName) {
        for table in self.table.services.clone() {
            for range in table.ranges.iter().filter(|range| range.owner.as_ref() == Some(name)) {
                self.take_range(now, &table.service, range, HandoverPurpose::Grant(None));
            }
            for known in table.overrides.iter().filter(|key| key.owner.as_ref() == Some(name)) {
                self.take_known(now, &table.service, known, HandoverPurpose::MergeKey);
            }
        }
    }

    fn take_known(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        known: &KeyOverride,
        purpose: HandoverPurpose,
    ) {
        let Some(owner) = known.owner.clone() else { return };
        let taken = self.take_key(now, service, known.key, owner, known.token, purpose);
        debug_assert!(taken.is_ok(), "an existing override takes a higher token");
    }

    /// Takes slots and keys that are no longer delegated to the zone.
    pub(crate) fn release_undelegated(&mut self, now: Timestamp, service: &ServiceName) {
        let Some(table) = self.service_table(service).cloned() else { return };
        for range in self.undelegated(service, &table.ranges) {
            self.take_range(now, service, &range, HandoverPurpose::Release);
        }
        for known in &table.overrides {
            if self.delegation_of(service, known.key.slot().0).is_none() {
                self.take_known(now, service, known, HandoverPurpose::Release);
            }
        }
    }

    pub(crate) fn undelegated(
        &self,
        service: &ServiceName,
        ranges: &[SlotRange],
    ) -> Vec<SlotRange> {
        let mut left = ranges.to_vec();
        for range in self.delegations.get(service).into_iter().flatten() {
            slot_ranges::remove(&mut left, range.first, range.last);
        }
        left
    }

    /// Ends the handovers that are safe.
    pub(crate) fn finish_safe(&mut self, now: Timestamp) {
        let early = self.options.faults.grant_early;
        let mut safe = Vec::new();
        let bounds = &self.bounds;
        self.handovers.retain_mut(|handover| {
            let from = handover.from.as_ref();
            handover
                .extend_bound(from.and_then(|from| bounds.get(from)).copied().unwrap_or_default());
            let is_safe = early || handover.advance(now) == HandoverState::Granting;
            if is_safe {
                safe.push(handover.clone());
            }
            !is_safe
        });
        self.dirty |= !safe.is_empty();
        for handover in safe {
            self.finish(&handover);
        }
    }

    fn finish(&mut self, handover: &SlotHandover) {
        let service = &handover.service;
        let wanted = match &handover.purpose {
            HandoverPurpose::Grant(Some(to)) if self.takes_work(service, to) => Some(to.clone()),
            _ => None,
        };
        match (handover.subject, wanted) {
            (HandoverSubject::Slots { first, last }, Some(to)) => {
                self.grant_delegated(service, first, last, &to);
            }
            // The slots are free now; they are assigned or dropped with the next step.
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
        let Some(known) = table.overrides.iter().find(|known| known.key == key) else { return };
        let previous = known.token;
        let token = self.next_token(service, key.slot().0, previous);
        let overrides = &mut service_entry(&mut self.table, service).overrides;
        // Cannot fail: the override exists and the token grew.
        let _ = OverrideTable::new(overrides).set(key, Some(to), token);
        self.dirty = true;
    }

    /// Removes the override and raises the slot's token above that of the override.
    fn remove_override(&mut self, service: &ServiceName, key: KeyHash) {
        let table = service_entry(&mut self.table, service);
        let Some(known) = OverrideTable::new(&mut table.overrides).remove(key) else { return };
        self.dirty = true;
        let slot = key.slot().0;
        let Some(range) = slot_ranges::find(&table.ranges, slot) else { return };
        let (owner, previous) = (range.owner.clone(), range.token.max(known.token));
        let token = self.next_token(service, slot, previous);
        let range = SlotRange { first: slot, last: slot, owner, token };
        slot_ranges::overlay(&mut service_entry(&mut self.table, service).ranges, range);
    }
}
