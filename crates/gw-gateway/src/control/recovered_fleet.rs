use gw_agreement::EntryPayload;
use gw_agreement::LogEntry;
use gw_daemon::control::RecoveredLog;
use gw_fleet::FleetCommand;
use gw_fleet::FleetState;

/// State to which the journal's committed entries are applied while it is read.
#[derive(Debug, Default)]
pub(crate) struct RecoveredFleet {
    state: FleetState,
}

impl RecoveredLog for RecoveredFleet {
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.state = FleetState::restore(snapshot).map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Skips commands that cannot be read, like a running replica.
    fn apply(&mut self, entry: &LogEntry) {
        if let EntryPayload::Command(bytes) = &entry.payload
            && let Ok(command) = postcard::from_bytes::<FleetCommand>(bytes)
        {
            self.state.apply(&command);
        }
    }

    fn snapshot(&self) -> Result<Vec<u8>, String> {
        self.state.snapshot().map_err(|error| error.to_string())
    }
}
