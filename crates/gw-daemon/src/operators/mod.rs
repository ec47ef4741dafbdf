//! The operators' calls: their requests to the control thread and their answers in JSON.

mod apply_call;
mod apply_reply;
mod apply_request;
mod audit_report;
mod control_api;
mod in_force_report;
mod key_report;
mod profile_report;
mod query_fields;
mod reachability;
mod status_report;

pub use apply_reply::ApplyReply;
pub use apply_request::ApplyRequest;
pub use audit_report::AuditEntry;
pub use audit_report::AuditEntryEvent;
pub use audit_report::AuditReport;
pub use control_api::ControlApi;
pub use in_force_report::HostInForce;
pub use in_force_report::InForceReport;
pub use in_force_report::ZoneInForce;
pub use key_report::KeyReport;
pub use profile_report::ChangeReport;
pub use profile_report::HistoryEntry;
pub use profile_report::ProfileReport;
pub use profile_report::ProfileSummary;
pub use status_report::HostReport;
pub use status_report::ServiceReport;
pub use status_report::StatusReport;
pub use status_report::TargetReport;
pub use status_report::ZoneReport;
