use std::collections::VecDeque;

use gw_fleet::FleetCommand;
use gw_fleet::FleetOutcome;
use gw_fleet::FleetState;
use gw_fleet::FormatVersion;
use gw_routing::ConfigPatch;
use gw_routing::RoutingConfig;

use crate::link::FrameBudget;
use crate::link::LinkFrame;
use crate::link::LinkMessage;
use crate::link::encode;

/// Number of recent commands kept to update entry hosts incrementally.
const KEPT_COMMANDS: usize = 1024;

/// The applied state and the most recent commands that led to it.
#[derive(Debug)]
pub(crate) struct FleetLog {
    state: FleetState,
    applied: u64,
    /// Commands in the form sent to entry hosts, sorted by index: configurations as patches,
    /// without commands that had no effect on the configuration.
    recent: VecDeque<(u64, FleetCommand)>,
    /// Encoded sizes of `recent`, in bytes, and their sum.
    recent_sizes: VecDeque<usize>,
    recent_bytes: usize,
    max_recent_bytes: usize,
    /// Every command after this index is in `recent`.
    base: u64,
    /// The frame that was encoded last, with the index after which it continues, the index that it
    /// reaches and the version that it was encoded for. Most entry hosts need the same one.
    encoded: Option<(u64, u64, FormatVersion, LinkFrame)>,
}

impl FleetLog {
    /// Creates an empty log that keeps at most `max_recent_bytes` of encoded recent commands.
    pub(crate) fn new(max_recent_bytes: usize) -> Self {
        Self {
            state: FleetState::default(),
            applied: 0,
            recent: VecDeque::new(),
            recent_sizes: VecDeque::new(),
            recent_bytes: 0,
            max_recent_bytes,
            base: 0,
            encoded: None,
        }
    }

    /// Returns the applied state.
    pub(crate) fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns the index of the last applied entry.
    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    /// Replaces the state with a snapshot.
    pub(crate) fn install(&mut self, index: u64, state: FleetState) {
        self.state = state;
        self.applied = index;
        self.base = index;
        self.recent.clear();
        self.recent_sizes.clear();
        self.recent_bytes = 0;
        self.encoded = None;
    }

    /// Applies the entry at `index`; `command` is `None` for entries without a command.
    pub(crate) fn apply(
        &mut self,
        index: u64,
        command: Option<&FleetCommand>,
    ) -> Option<FleetOutcome> {
        self.applied = index;
        let command = command?;
        let before = self.state.config().cloned();
        let outcome = self.state.apply(command);
        if let Some(sent) = for_entry_hosts(command, before.as_deref(), outcome) {
            let bytes = postcard::experimental::serialized_size(&sent).unwrap_or(usize::MAX);
            self.recent.push_back((index, sent));
            self.recent_sizes.push_back(bytes);
            self.recent_bytes = self.recent_bytes.saturating_add(bytes);
        }
        while (self.recent.len() > KEPT_COMMANDS || self.recent_bytes > self.max_recent_bytes)
            && let Some((dropped, _)) = self.recent.pop_front()
        {
            self.base = dropped;
            self.recent_bytes -= self.recent_sizes.pop_front().unwrap_or_default();
        }
        self.encoded = None;
        Some(outcome)
    }

    /// Returns the encoded form of [`FleetLog::since`], whose bytes are taken from `budget` until
    /// they are sent; `None` while it has no room.
    pub(crate) fn frame_since(
        &mut self,
        after: u64,
        version: FormatVersion,
        budget: &FrameBudget,
    ) -> Option<LinkFrame> {
        if let Some((from, through, format, frame)) = &self.encoded
            && (*from, *through, *format) == (after, self.applied, version)
        {
            return Some(frame.clone());
        }
        if !budget.has_room() {
            return None;
        }
        let frame = encode(&self.since(after, version))?.charged(budget);
        self.encoded = Some((after, self.applied, version, frame.clone()));
        Some(frame)
    }

    /// Returns the message that updates an entry host of version `version` from index `after`: the
    /// commands since that it can read, or the whole state if they are no longer kept.
    fn since(&self, after: u64, version: FormatVersion) -> LinkMessage {
        if after >= self.applied {
            return LinkMessage::Updates { after, through: after, commands: Vec::new() };
        }
        if after < self.base || after == 0 {
            return self.complete_state(version);
        }
        let first = self.recent.partition_point(|(index, _)| *index <= after);
        let readable =
            self.recent.range(first..).filter(|(_, command)| command.format() <= version);
        let commands = readable.cloned().collect();
        LinkMessage::Updates { after, through: self.applied, commands }
    }

    fn complete_state(&self, version: FormatVersion) -> LinkMessage {
        let (index, state) = (self.applied, self.state.for_entry_hosts());
        if version >= FormatVersion::EVACUATIONS {
            match state.snapshot() {
                Ok(state) => return LinkMessage::EncodedState { index, state },
                Err(error) => log::error!("event=state_not_encoded cause=\"{error}\""),
            }
        }
        LinkMessage::Snapshot { index, state: Box::new(state) }
    }
}

/// Returns the form of a command that is sent to entry hosts, or `None` if it does not concern
/// them. Their links have little bandwidth, so a configuration is sent as a patch to the previous
/// one, `before`.
fn for_entry_hosts(
    command: &FleetCommand,
    before: Option<&RoutingConfig>,
    outcome: FleetOutcome,
) -> Option<FleetCommand> {
    let FleetCommand::SetConfig(config) = command else { return Some(command.clone()) };
    if outcome != FleetOutcome::Config(config.routing.version) {
        return None;
    }
    Some(match before {
        Some(before) if before.version == config.routing.version => return None,
        Some(before) => FleetCommand::PatchConfig(ConfigPatch::between(before, &config.routing)),
        None => FleetCommand::SetConfig(config.without_document()),
    })
}
