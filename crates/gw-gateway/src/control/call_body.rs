use std::time::Duration;

use bytes::Bytes;
use gw_balance::ConnectionState;
use gw_balance::DemandAnswer;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::memory::ConnectionMemory;
use crate::memory::HeldBytes;

/// Largest body of a call, in bytes; fits a configuration with thousands of routes.
pub(crate) const BODY_LIMIT: usize = 16 * 1024 * 1024;
/// Longest time for which a body waits for memory before it is read. Clients try another control host
/// after a second.
const MAX_BODY_WAIT: Duration = Duration::from_millis(800);

/// Reason why the body of a call was not read.
pub(crate) enum CallBodyError {
    /// It is larger than [`BODY_LIMIT`].
    TooLarge,
    /// There is no memory for it now.
    NoMemory,
    /// It is malformed, or the client has left.
    Broken(String),
}

/// Reads the body of a call within the memory of the host. The bytes are held for as long as the
/// second part of the result.
pub(crate) async fn read_body(
    memory: &ConnectionMemory,
    mut body: Incoming,
) -> Result<(Bytes, HeldBytes), CallBodyError> {
    memory.set_state(ConnectionState::Body);
    let read = collect(memory, &mut body).await;
    memory.set_state(ConnectionState::Running);
    match read {
        Ok(bytes) => {
            let held = memory.finish_body(bytes.len());
            Ok((bytes, held))
        }
        Err(error) => {
            memory.drop_body();
            Err(error)
        }
    }
}

async fn collect(memory: &ConnectionMemory, body: &mut Incoming) -> Result<Bytes, CallBodyError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > BODY_LIMIT as u64) {
        return Err(CallBodyError::TooLarge);
    }
    let length = length.map(|length| length as usize);
    let mut bytes = Vec::new();
    if let Some(length) = length.filter(|length| *length > 0) {
        demand(memory, length).await?;
        bytes.reserve_exact(length);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallBodyError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        let needed = bytes.len() + data.len();
        if needed > BODY_LIMIT {
            return Err(CallBodyError::TooLarge);
        }
        if needed > memory.granted() {
            demand(memory, memory.next_size(needed, BODY_LIMIT)).await?;
            bytes.reserve_exact(memory.granted() - bytes.len());
        }
        bytes.extend_from_slice(&data);
        memory.record_progress(data.len());
    }
    Ok(Bytes::from(bytes))
}

async fn demand(memory: &ConnectionMemory, bytes: usize) -> Result<(), CallBodyError> {
    match memory.demand(bytes, MAX_BODY_WAIT) {
        DemandAnswer::Granted => Ok(()),
        DemandAnswer::Waiting if memory.decision().await => {
            memory.set_granted(bytes);
            Ok(())
        }
        _ => Err(CallBodyError::NoMemory),
    }
}
