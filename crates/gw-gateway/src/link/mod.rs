//! Connections between hosts, which carry length-prefixed postcard frames over TCP.

mod cold_message;
mod dialed_peers;
#[cfg(test)]
#[path = "../../tests/link/dropped_peers.rs"]
mod dropped_peers;
#[cfg(test)]
#[path = "../../tests/link/earlier_frames.rs"]
mod earlier_frames;
#[cfg(test)]
#[path = "../../tests/link/earlier_values.rs"]
mod earlier_values;
mod frame_budget;
mod frame_decoder;
mod frame_queue;
mod link_frame;
mod link_handle;
mod link_message;
mod link_task;
mod receive_room;

pub(crate) use cold_message::ColdMessage;
pub(crate) use cold_message::GrantReport;
pub(crate) use cold_message::LeaseReport;
pub(crate) use cold_message::WarmthReport;
pub(crate) use dialed_peers::DialedPeers;
pub(crate) use frame_budget::FrameBudget;
pub(crate) use frame_queue::FrameQueue;
pub(crate) use link_frame::LinkFrame;
pub(crate) use link_handle::LinkHandle;
pub(crate) use link_handle::encode;
pub(crate) use link_message::CallFailure;
pub(crate) use link_message::CallId;
pub(crate) use link_message::CallResult;
pub(crate) use link_message::EntryReport;
pub(crate) use link_message::HeadDetails;
pub(crate) use link_message::HeadMessage;
pub(crate) use link_message::HostKind;
pub(crate) use link_message::LimitReport;
pub(crate) use link_message::LinkMessage;
pub(crate) use link_message::RelayReport;
pub(crate) use link_message::RunReport;
pub(crate) use link_message::ServiceHeat;
pub(crate) use link_message::ShareReport;
pub(crate) use link_message::log_limit;
pub(crate) use link_task::LinkEvent;
pub(crate) use link_task::LinkId;
pub(crate) use link_task::accept_links;
use link_task::maintain_link;
