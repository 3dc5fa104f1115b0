//! Large answers to other daemons: reservation of the link before the call runs, and pacing of the
//! body. [`Link`] takes the decisions.

#[cfg(test)]
mod tests;

use {
    crate::{
        body::{Body, BoxError},
        call::Call,
        egress::{Arrival, Link, LinkFull, MAX_PART},
        events::Event as LogEvent,
        log_event,
        metrics::Metrics,
        model::Rank,
        refusal::{OUTCOME, Reason, Refusal},
    },
    bytes::Bytes,
    http::Response,
    http_body_util::BodyExt as _,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        collections::{HashMap, HashSet},
        pin::{Pin, pin},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker, ready},
        time::{Duration, Instant},
    },
    strum::{EnumCount as _, IntoEnumIterator as _},
    tokio::{sync::Notify, time::timeout_at},
};

/// Longest sleep of the task that grants parts when nothing waits.
const IDLE_WAIT: Duration = Duration::from_mins(1);
/// Largest answer in bytes that is read from the backend server at once, so that the pace of the
/// link holds no slot.
const MAX_READ_AHEAD: usize = 1024 * 1024;
/// Bytes of answers in hand beyond which further ones are read as they leave. Admission keeps the
/// bytes far below unless the sizes of answers grow suddenly.
const MAX_HELD: u64 = 16 * 1024 * 1024;

/// The link of this VM, shared by the bodies that leave over it.
#[derive(Debug)]
pub struct Outflow {
    state: Mutex<State>,
    /// Notifies the task that grants parts of a request that has to wait.
    requested: Notify,
}

#[derive(Debug)]
struct State {
    link: Link,
    /// Bodies that wait for a part.
    waiting: HashMap<u64, Waker>,
    /// Bodies that may send the part they asked for.
    granted: HashSet<u64>,
}

impl State {
    /// Grants the parts that may leave now, and wakes their bodies.
    fn grant_parts(&mut self, now: Instant) {
        while let Some(id) = self.link.grant(now) {
            self.granted.insert(id);
            if let Some(waker) = self.waiting.remove(&id) {
                waker.wake();
            }
        }
    }
}

impl Outflow {
    /// Creates the state of an idle link that carries `rate` bytes per second.
    pub fn new(rate: u64) -> Arc<Self> {
        let state = State {
            link: Link::new(rate),
            waiting: HashMap::new(),
            granted: HashSet::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            requested: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time that the link needs for the bytes ahead of a download of each rank, by
    /// [`Rank::index`].
    pub fn waits(&self, now: Instant) -> [Duration; Rank::COUNT] {
        let state = self.state();
        let mut waits = [Duration::ZERO; Rank::COUNT];
        for rank in Rank::iter() {
            waits[rank.index()] = state.link.wait(rank, now);
        }
        waits
    }

    /// Sets the metrics of the link.
    pub fn report(&self, metrics: &Metrics) {
        let state = self.state();
        metrics.set_link(state.link.admitted(), state.link.unsent());
    }

    /// Returns the size in bytes up to which an answer is read from the backend server before it
    /// leaves.
    pub fn read_ahead(&self, default: usize) -> usize {
        if self.state().link.unsent() > MAX_HELD {
            return default;
        }
        MAX_READ_AHEAD
    }

    /// Reserves the link for the answer of a download that the backend server is expected to have
    /// ready at `ready_at`.
    ///
    /// # Errors
    /// A refusal of the call, which has not run, if its answer would be late.
    pub fn reserve(
        self: &Arc<Self>,
        id: u64,
        call: &Call,
        ready_at: Instant,
    ) -> Result<Reservation, Refusal> {
        let now = Instant::now();
        let arrival = Arrival {
            id,
            plan: &call.plan,
            path: &call.path,
            rank: call.rank,
            deadline: call.deadline,
            soft_deadline: call.soft_deadline,
            ready_at,
        };
        let admitted = self.state().link.admit(&arrival, now);
        admitted.map_err(|full| refusal(call, full, now))?;
        Ok(Reservation {
            outflow: Arc::clone(self),
            id,
            complete: false,
        })
    }

    /// Grants waiting parts when the link is free for them.
    pub async fn grant_forever(self: Arc<Self>) {
        loop {
            let now = Instant::now();
            let next = {
                let mut state = self.state();
                state.grant_parts(now);
                state.link.next_grant_at(now)
            };
            let next = next.unwrap_or(now + IDLE_WAIT);
            let requested = pin!(self.requested.notified());
            // After a timeout the next part is due.
            let _timed_out = timeout_at(next.into(), requested).await;
        }
    }
}

fn refusal(call: &Call, full: LinkFull, now: Instant) -> Refusal {
    let LinkFull { wait, retry_at } = full;
    log_event!(
        LogEvent::LinkFull,
        plan = call.plan,
        service = call.service,
        rank = call.rank,
        wait_ms = wait.as_millis(),
        retry_ms = retry_at.saturating_duration_since(now).as_millis(),
    );
    let detail = format!(
        "the link is full of answers for the next {} ms",
        wait.as_millis()
    );
    let mut refusal = Refusal::not_run(Reason::Overload, detail);
    refusal.retry_at = Some(retry_at);
    refusal
}

/// Reserved use of the link by one answer; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    outflow: Arc<Outflow>,
    id: u64,
    complete: bool,
}

impl Reservation {
    /// Returns the response with a body that leaves in parts as the link has room. A small body
    /// leaves at once.
    pub fn pace(mut self, response: Response<Body>) -> Response<Body> {
        let size = response.body().size_hint().exact();
        let refused = response.headers().contains_key(OUTCOME);
        {
            let mut state = self.outflow.state();
            state.link.answered(self.id, size);
            if let Some(size) = size.filter(|size| *size <= MAX_PART as u64) {
                state.link.sent_at_once(self.id, size, Instant::now());
                drop(state);
                // A refusal says nothing about the sizes of answers.
                self.complete = !refused;
                return response;
            }
        }
        response.map(|inner| {
            let paced = PacedBody {
                inner,
                buf: Bytes::new(),
                reservation: self,
            };
            paced.boxed_unsync()
        })
    }

    /// Waits until `size` bytes may leave. They may if the link has room and no other body goes
    /// first.
    fn poll_part(&self, size: usize, cx: &Context<'_>) -> Poll<usize> {
        let mut state = self.outflow.state();
        let size = size.min(state.link.part_size());
        if !state.granted.contains(&self.id) {
            state.link.request_part(self.id, size);
            state.grant_parts(Instant::now());
        }
        if state.granted.remove(&self.id) {
            return Poll::Ready(size);
        }
        state.waiting.insert(self.id, cx.waker().clone());
        drop(state);
        self.outflow.requested.notify_one();
        Poll::Pending
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.outflow.state();
        state.waiting.remove(&self.id);
        state.granted.remove(&self.id);
        state.link.end(self.id, self.complete, Instant::now());
    }
}

/// A body whose bytes leave in parts.
struct PacedBody {
    inner: Body,
    /// Bytes that were read from `inner` and have not left.
    buf: Bytes,
    reservation: Reservation,
}

impl HttpBody for PacedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        loop {
            if !this.buf.is_empty() {
                let size = ready!(this.reservation.poll_part(this.buf.len(), cx));
                let part = this.buf.split_to(size);
                this.reservation.complete = this.buf.is_empty() && this.inner.is_end_stream();
                return Poll::Ready(Some(Ok(Frame::data(part))));
            }
            let Some(frame) = ready!(Pin::new(&mut this.inner).poll_frame(cx)) else {
                this.reservation.complete = true;
                return Poll::Ready(None);
            };
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => this.buf = data,
                Ok(Err(trailers)) => return Poll::Ready(Some(Ok(trailers))),
                Err(e) => return Poll::Ready(Some(Err(e))),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.buf.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.inner.size_hint();
        let held = self.buf.len() as u64;
        let mut size = SizeHint::new();
        size.set_lower(rest.lower() + held);
        if let Some(upper) = rest.upper() {
            size.set_upper(upper + held);
        }
        size
    }
}
