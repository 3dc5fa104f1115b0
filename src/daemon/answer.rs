//! Answers of the own backend server: read in bounded time, and buffered or streamed.

use {
    super::{outflow::Reservation, owner::Slot, shared::Shared},
    crate::{
        admission::Outcome as SlotOutcome,
        backend::ActiveConnection,
        body::{self, Body, BoundedBody, Ending, MonitoredBody, PROGRESS_TIMEOUT, Progress, Start},
        call::{self, Call},
        model::{Rank, Work},
        refusal::{OUTCOME, Reason, Refusal},
        retry::RETRIED_HEADER,
    },
    http::{HeaderValue, Response},
    hyper::body::{Body as _, Incoming},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    strum::EnumCount as _,
    tokio::time::timeout_at,
};

/// Response head of the backend server with the connection that streams the body.
pub(super) struct Answer {
    pub(super) response: Response<Incoming>,
    pub(super) connection: ActiveConnection,
    pub(super) server_time: Duration,
    /// Time by which a buffered body must be complete.
    pub(super) buffer_by: Instant,
    /// Time by which a streamed body must be complete.
    pub(super) stream_by: Instant,
}

/// Largest answer in bytes that is buffered before its head is passed on, so that a request
/// whose answer is truncated can be retried.
const MAX_BUFFERED_ANSWER: usize = 256 * 1024;

/// Buffers the answer so that the call fails as a whole if it is truncated; streams an answer that
/// is larger than `limit` bytes or for which the memory budget has no room.
pub(super) async fn buffer(
    slot: Slot,
    answer: Answer,
    limit: usize,
) -> Result<Response<Body>, Refusal> {
    let size = answer.response.body().size_hint().exact();
    if size.is_some_and(|size| size > limit as u64) {
        return Ok(stream(slot, answer));
    }
    // An answer is delivered in any case; streamed, it waits at the backend server.
    let reserved = size.unwrap_or(limit as u64);
    let Some(lease) = slot.shared.memory.lease_for_answer(reserved) else {
        return Ok(stream(slot, answer));
    };
    let by = answer.buffer_by;
    let (parts, mut incoming) = stream(slot, answer).into_parts();
    let start = read_start(&mut incoming, limit, by).await?;
    let body = match start {
        Start::Whole(bytes) => {
            lease.shrink_to(bytes.len() as u64);
            body::full(bytes)
        }
        Start::Part(bytes) => body::preceded(bytes, incoming),
    };
    Ok(Response::from_parts(parts, body::kept(body, lease)))
}

/// Reads the body of an answer until it ends or exceeds `limit` bytes.
pub(super) async fn read_start(
    incoming: &mut Body,
    limit: usize,
    by: Instant,
) -> Result<Start, Refusal> {
    let read = timeout_at(by.into(), body::read_start(incoming, limit)).await;
    let e = match read {
        Ok(Ok(start)) => return Ok(start),
        Ok(Err(e)) if Instant::now() < by => {
            let detail = format!("reading the answer failed: {e}");
            return Err(Refusal::unknown(Reason::Failed, detail));
        }
        Ok(Err(e)) => e.to_string(),
        Err(_elapsed) => "the deadline passed".to_owned(),
    };
    let detail = format!("the answer of the backend server was not complete in time: {e}");
    Err(Refusal::unknown(Reason::Deadline, detail))
}

/// Returns the times by which a buffered and a streamed body must be complete.
///
/// A streamed call has no deadline of its own, and the callers of the native dialect may read a
/// streamed answer for longer than their deadline.
pub(super) fn deadlines(shared: &Shared, call: &Call) -> (Instant, Instant) {
    let now = Instant::now();
    let buffer_by = if call.streamed {
        call.deadline.max(now + PROGRESS_TIMEOUT)
    } else {
        call.deadline
    };
    if shared.dialect.requires_signature() {
        return (buffer_by, buffer_by);
    }
    (buffer_by, now + call::MAX_TIMEOUT)
}

/// Streams the body to the caller and releases the slot at its end.
pub(super) fn stream(slot: Slot, answer: Answer) -> Response<Body> {
    let Answer {
        response,
        connection,
        server_time,
        stream_by,
        ..
    } = answer;
    let (mut parts, incoming) = response.into_parts();
    call::strip_hop_by_hop(&mut parts.headers);
    call::strip_mesh_headers(&mut parts.headers);
    let server_us = server_time.as_micros() as u64;
    parts.headers.insert(call::SERVER_US, server_us.into());
    let bounded = body::boxed(BoundedBody::new(body::boxed(incoming), stream_by));
    let watched = MonitoredBody::new(bounded, Progress::new(), move |ending| {
        if ending == Ending::Complete {
            connection.return_to_pool();
            slot.finish(SlotOutcome::Done);
        } else if ending == Ending::Failed {
            slot.finish(SlotOutcome::Failed);
        }
    });
    Response::from_parts(parts, body::boxed(watched))
}

/// Reserves the link for the answer of a download; `None` for other calls and without the setting
/// `link_rate`.
pub(super) fn reserve_link(
    shared: &Arc<Shared>,
    call: &Call,
) -> Result<Option<Reservation>, Refusal> {
    let is_download = call.work == Some(Work::Download);
    let Some(outflow) = shared.outflow.as_ref().filter(|_| is_download) else {
        return Ok(None);
    };
    let now = Instant::now();
    let ready_at = {
        let state = shared.state();
        now + state.admission().expected_wait(now) + state.run_time(call)
    };
    let reserved = outflow.reserve(shared.next_call_id(), call, ready_at);
    if reserved.is_err() {
        shared.metrics.record_link_refusal();
    }
    reserved.map(Some)
}

/// Returns the size in bytes up to which an answer is buffered. A download that leaves at the pace
/// of the link would hold its slot for that time.
pub(super) fn read_ahead(shared: &Shared, call: &Call) -> usize {
    let is_download = call.work == Some(Work::Download);
    let outflow = shared.outflow.as_ref().filter(|_| is_download);
    outflow.map_or(MAX_BUFFERED_ANSWER, |outflow| {
        outflow.read_ahead(MAX_BUFFERED_ANSWER)
    })
}

/// Returns the response with a body that leaves at the pace of the link, or as it is without a
/// reservation.
pub(super) fn pace(reservation: Option<Reservation>, response: Response<Body>) -> Response<Body> {
    match reservation {
        Some(reservation) => reservation.pace(response),
        None => response,
    }
}

/// Returns the time that the link needs for the answers that wait, by rank.
pub(super) fn link_waits(shared: &Shared) -> [Duration; Rank::COUNT] {
    let outflow = shared.outflow.as_ref();
    outflow.map_or_else(Default::default, |outflow| outflow.waits(Instant::now()))
}

/// Marks the failure of a run as not worth another attempt if the calls that runs of its route make are
/// being rejected: a resend would run into the same rejections. Refusals are left as they are.
pub(super) fn without_resend(
    shared: &Shared,
    call: &Call,
    mut response: Response<Body>,
) -> Response<Body> {
    let has_run = !response.headers().contains_key(OUTCOME);
    let failed = has_run && response.status().is_server_error();
    if failed && shared.state().inner_calls_fail(call, Instant::now()) {
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(RETRIED_HEADER, value);
    }
    response
}
