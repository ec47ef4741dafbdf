use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use gw_node::NodeEvent;
use gw_node::TargetResult;
use gw_types::BootId;
use gw_types::HostEntry;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::sync::Semaphore;
use tokio::time::Sleep;

use super::RecordStore;
use super::TrafficState;
use super::load_meter::LoadMeter;
use super::request_context::RequestContext;
use super::request_stats::RequestStats;
use super::target_picker::TargetPicker;
use crate::control::ControlHandle;
use crate::forward::ForwardSigner;
use crate::forward::ForwardVerifier;
use crate::forward::HostPools;
use crate::http::OUTCOME;
use crate::http::PROXY_STATUS;
use crate::http::ResponseBody;
use crate::http::ResponseGuard;
use crate::http::StreamedResponse;
use crate::http::remove_hop_fields;
use crate::http::remove_internal_fields;
use crate::metrics::TrafficMetrics;
use crate::records::AnswerCapture;
use crate::records::QuarantineReplicator;
use crate::records::RecordGuard;
use crate::settings::LimitSettings;

/// Dependencies of a [`Router`].
pub(crate) struct RouterParts {
    pub(crate) state: Arc<TrafficState>,
    pub(crate) host: HostEntry,
    pub(crate) boot: BootId,
    pub(crate) limits: LimitSettings,
    pub(crate) control: Arc<dyn ControlHandle>,
    pub(crate) records: Arc<dyn RecordStore>,
    pub(crate) quarantine: Arc<QuarantineReplicator>,
    pub(crate) host_pools: HostPools,
    pub(crate) signer: ForwardSigner,
    pub(crate) verifier: ForwardVerifier,
    pub(crate) metrics: Arc<TrafficMetrics>,
}

/// Routes requests of callers and other hosts to targets.
pub(crate) struct Router {
    pub(crate) parts: RouterParts,
    pub(super) stats: RequestStats,
    pub(super) picker: Arc<TargetPicker>,
    pub(super) loads: LoadMeter,
    /// Limits the number of requests that wait for a newer routing table.
    pub(super) handover_permits: Semaphore,
    via: HeaderValue,
    /// `Proxy-Status` entry of this host, without parameters.
    proxy_status: HeaderValue,
    next_request: AtomicU64,
}

impl Router {
    pub(crate) fn new(parts: RouterParts) -> Self {
        let name = parts.host.name.as_str();
        // Names contain only characters that are valid in header values.
        let value = |text: String| HeaderValue::try_from(text).expect("a name is a header value");
        Self {
            stats: RequestStats::new(),
            loads: LoadMeter::default(),
            picker: Arc::new(TargetPicker::new(parts.boot.0)),
            handover_permits: Semaphore::new(parts.limits.handover_waiting),
            via: value(format!("1.1 {name}")),
            proxy_status: value(name.to_owned()),
            next_request: AtomicU64::new(0),
            parts,
        }
    }

    pub(super) fn state(&self) -> &Arc<TrafficState> {
        &self.parts.state
    }

    /// Returns an ID that is unique among all hosts and boots.
    pub(super) fn new_request_id(&self) -> Arc<str> {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.parts.host.id, self.parts.boot.0).into()
    }

    /// Prepares the header fields of a request for the next hop (RFC 9110, section 7.6).
    pub(super) fn clean_request(&self, headers: &mut HeaderMap) {
        remove_hop_fields(headers);
        remove_internal_fields(headers);
        // hyper sets the framing of the forwarded body, and this host handles `Expect` itself.
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        headers.append(header::VIA, self.via.clone());
    }

    /// Converts a target's response into the response to the caller. `guard` is kept until the end
    /// of the body. If there is a `record`, the response is stored in it.
    pub(super) fn relay_response(
        &self,
        response: Response<Incoming>,
        mut guard: ResponseGuard,
        timer: Pin<Box<Sleep>>,
        context: &RequestContext,
        record: Option<RecordGuard>,
    ) -> Response<ResponseBody> {
        let (mut parts, body) = response.into_parts();
        let has_coding = parts.headers.contains_key(header::TRANSFER_ENCODING);
        remove_hop_fields(&mut parts.headers);
        remove_internal_fields(&mut parts.headers);
        if has_coding {
            // RFC 9112, section 6.3: Transfer-Encoding overrides Content-Length.
            parts.headers.remove(header::CONTENT_LENGTH);
        }
        parts.version = Version::HTTP_11;
        guard.capture = record.map(|rec| AnswerCapture::new(rec, parts.status, &parts.headers));
        self.mark_answered(&mut parts.headers);
        if body.is_end_stream() {
            guard.complete();
            return Response::from_parts(parts, ResponseBody::empty());
        }
        let reset = context.reset.clone();
        let streamed = StreamedResponse { body, guard: Some(guard), timer, reset };
        Response::from_parts(parts, ResponseBody::Streamed(Box::new(streamed)))
    }

    /// Adds the header fields of a response that comes from a target.
    pub(super) fn mark_answered(&self, headers: &mut HeaderMap) {
        headers.append(header::VIA, self.via.clone());
        headers.append(PROXY_STATUS, self.proxy_status.clone());
        headers.insert(OUTCOME, HeaderValue::from_static("answered"));
    }

    /// Sends the zone leader the load of the targets of this host since the previous call.
    pub(crate) fn report_loads(&self) {
        for report in self.loads.take_reports() {
            self.parts.control.send(NodeEvent::Load(report));
        }
    }

    pub(super) fn report(&self, result: TargetResult) {
        self.parts.control.send(NodeEvent::RequestEnded(result));
    }
}
