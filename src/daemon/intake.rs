//! Intake of request bodies from other daemons.
//!
//! The link of a VM may carry a few megabits per second. If all callers sent their bodies at once,
//! seconds of bytes would queue up in front of it, and pings, cancellations and small calls would
//! wait behind them. A body of more than one flow control window that its entry daemon has buffered
//! is therefore received in a transfer; few run at the same time, in order of rank, and a call whose
//! body cannot arrive in time is refused at once. Such a call takes a slot of the backend server
//! only when its body is complete.
//!
//! A body that the entry daemon streams while its caller sends it could hold a transfer for long.
//! It is received while the call holds a slot, so that the slots limit the bytes in flight.

#[cfg(test)]
mod tests;

use {
    super::{
        event::{CallId, Effect, Event},
        owner::deadline_refusal,
        shared::Shared,
    },
    crate::{
        admission::Outcome,
        body::{self, Body},
        call::Call,
        events::Event as LogEvent,
        log_event,
        memory::{self, Lease},
        refusal::{Reason, Refusal},
    },
    bytes::{Bytes, BytesMut},
    http::Request,
    http_body_util::BodyExt as _,
    hyper::body::Body as _,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Flow control window of one request body from another daemon in bytes: one frame. The rest of a
/// larger body is sent as the daemon receives it.
pub const BODY_WINDOW: u32 = 16 * 1024;
/// Number of bodies that are received at the same time. With one window each, their bytes in flight
/// delay a ping by 0.12 s on a link of 4 Mbit/s. The first window of each waiting call adds to them;
/// entry daemons therefore refuse calls that would wait for too long without sending them.
pub const MAX_TRANSFERS: u32 = 4;
/// Time without a frame after which a transfer fails; a frozen entry daemon would hold it for as
/// long as its connection is not closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time before the deadline of a call at which its transfer is refused, so that the refusal reaches
/// the entry daemon before that gives up and can only say that the outcome is unknown.
pub const REFUSAL_MARGIN: Duration = Duration::from_millis(100);
/// Largest body in bytes that is received as a whole; larger ones are streamed to the server.
const MAX_BODY: u64 = 4 * 1024 * 1024;

/// A transfer that runs or waits; cancelled when dropped.
struct Transfer {
    shared: Arc<Shared>,
    id: CallId,
    finished: bool,
}

impl Transfer {
    fn finish(mut self, outcome: Outcome) {
        self.finished = true;
        let id = self.id;
        let event = Event::TransferEnded { id, outcome };
        self.shared.dispatch(None, event);
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.stop_waiting(self.id);
            let id = self.id;
            self.shared.dispatch(None, Event::TransferCancelled { id });
        }
    }
}

/// Receives the body of a call from another daemon and returns the request with the whole body.
///
/// `buffered` tells that the entry daemon has all bytes of the body. Other bodies and small ones are
/// not received in advance.
pub(super) async fn receive(
    shared: &Arc<Shared>,
    call: &Call,
    buffered: bool,
    req: Request<Body>,
) -> Result<Request<Body>, Refusal> {
    let Some(size) = transfer_size(req.body()).filter(|_| buffered) else {
        return Ok(req);
    };
    let transfer = begin_transfer(shared, call).await?;
    let started = Instant::now();
    let lease = memory::lease_of(req.extensions());
    let (parts, incoming) = req.into_parts();
    let bytes = match read(incoming, size as usize, transfer_deadline(call), &lease).await {
        Ok(bytes) => bytes,
        Err(refusal) => {
            transfer.finish(Outcome::Failed);
            return Err(refusal);
        }
    };
    transfer.finish(Outcome::Done);
    log_event!(
        LogEvent::BodyReceived,
        request = shared.dialect.request_id_of(&parts.headers),
        bytes = size,
        took_ms = started.elapsed().as_millis(),
    );
    let held = body::kept(body::full(bytes), lease);
    Ok(Request::from_parts(parts, held))
}

/// Returns the size of a body that is received in a transfer; `None` for all others.
fn transfer_size(body: &Body) -> Option<u64> {
    let size = body.size_hint().exact()?;
    (size > BODY_WINDOW.into() && size <= MAX_BODY).then_some(size)
}

/// Returns the time by which the body of a call must be received.
pub(super) fn transfer_deadline(call: &Call) -> Instant {
    call.deadline
        .checked_sub(REFUSAL_MARGIN)
        .unwrap_or(call.deadline)
}

/// Reads a body of `size` bytes until `deadline`, as long as it makes progress.
async fn read(
    mut incoming: Body,
    size: usize,
    deadline: Instant,
    lease: &Lease,
) -> Result<Bytes, Refusal> {
    let mut buf = BytesMut::with_capacity(size);
    loop {
        let frame_by = deadline.min(Instant::now() + STALL_TIMEOUT);
        let Ok(frame) = timeout_at(frame_by.into(), incoming.frame()).await else {
            let received = buf.len();
            let detail =
                format!("only {received} of {size} bytes of the body were received in time");
            return Err(Refusal::not_run(Reason::Overload, detail));
        };
        let Some(frame) = frame else {
            return Ok(buf.freeze());
        };
        let frame = frame.map_err(|e| {
            let detail = format!("receiving the body of {size} bytes failed: {e}");
            Refusal::not_run(Reason::ServerUnreachable, detail)
        })?;
        if let Ok(data) = frame.into_data() {
            let grown = lease.grow(data.len() as u64).await;
            grown.map_err(|e| e.refusal(Instant::now()))?;
            buf.extend_from_slice(&data);
        }
    }
}

/// Waits until the body may be received.
async fn begin_transfer(shared: &Arc<Shared>, call: &Call) -> Result<Transfer, Refusal> {
    let id = shared.next_call_id();
    let mut decision_rx = shared.register_slot_wait(id);
    // Created before the wait, so that the transfer ends if the caller disconnects.
    let mut transfer = Transfer {
        shared: Arc::clone(shared),
        id,
        finished: false,
    };
    let decision = match shared.dispatch(Some(id), Event::TransferRequested { id, call }) {
        Some(Effect::Start { .. }) => Ok(()),
        Some(Effect::Refuse { refusal, .. }) => Err(refusal),
        _ => match timeout_at(transfer_deadline(call).into(), &mut decision_rx).await {
            Ok(decision) => decision.unwrap_or_else(|_closed| Err(deadline_refusal())),
            Err(_elapsed) => Err(deadline_refusal()),
        },
    };
    shared.stop_waiting(id);
    if let Err(refusal) = decision {
        // The reducer has already removed a call that it refused.
        transfer.finished = refusal.reason != Reason::Deadline;
        return Err(refusal);
    }
    Ok(transfer)
}
