//! The control thread, which runs the state machines of a host, and the interface to it.

mod control_handle;
mod control_thread;
mod journal_thread;
mod journal_writer;
mod log_recovery;
mod peer_transport;

pub use control_handle::ControlError;
pub use control_handle::ControlHandle;
pub use control_handle::ControlReply;
pub use control_handle::ReplyFuture;
pub use control_thread::ControlClient;
pub use control_thread::ControlOptions;
pub use control_thread::ControlStartError;
pub use control_thread::start_control;
pub use journal_thread::JournalReport;
pub use journal_thread::JournalThread;
pub use journal_writer::JournalError;
pub use journal_writer::JournalWriter;
pub use log_recovery::MAX_UNCOMMITTED_BYTES;
pub use log_recovery::RecoveredLog;
pub use log_recovery::RecoveryBounds;
