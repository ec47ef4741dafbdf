//! Entry hosts: serve callers' requests and follow the control log as non-voting learners.

mod admission;
mod cold_watch;
mod control_links;
mod control_reports;
mod entry_host;
mod followed_state;
mod forwarded_stream;
mod hedged_attempt;
mod local_reply;
mod path_probe;
mod read_request;
mod relay_attempt;
mod relay_headers;
mod relay_hosts;
mod relay_slot;
mod relay_turn;
mod relayed_order;
mod request_handler;
mod run_entry;
mod target_attempt;
mod transfer_gate;

pub(crate) use run_entry::run_entry;
