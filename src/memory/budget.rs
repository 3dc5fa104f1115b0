//! The budget of one process: leases on bytes, waits for room, counters and events.

use {
    super::{
        Connections, Port,
        counters::{Counters, EventTimes},
        ledger::{HolderId, Ledger, Owner, Short},
        reading::ReadError,
    },
    crate::{events::Event, log_event},
    bytes::Bytes,
    gotham::state::StateData,
    http::Extensions,
    std::{
        collections::HashMap,
        fmt,
        net::{IpAddr, Ipv4Addr},
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{select, sync::Notify, time::sleep_until},
};

/// Longest time for which a body is not read on because the budget is short. It exceeds the time
/// after which bodies without progress lose their place, so that one of them can make room.
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Interval at which a body that waits for room looks for one without progress.
const EVICT_INTERVAL: Duration = Duration::from_millis(100);
/// Bodies that lose their place at once; a search goes through all holders.
const EVICTED_AT_ONCE: usize = 8;
/// Number of bodies that may wait for room; others are refused at once.
const MAX_WAITING: usize = 64;

/// Memory and descriptors of one process.
#[derive(Debug)]
pub struct Budget {
    ledger: Mutex<Ledger>,
    /// Signals to the holders that lose their place.
    holders: Mutex<HashMap<HolderId, Arc<Notify>>>,
    freed: Notify,
    waiting: AtomicUsize,
    event_times: Mutex<EventTimes>,
    descriptors: u64,
    pub(super) counters: Counters,
}

impl Budget {
    /// Creates the budget of a process on a machine with `memory` bytes, in which it may open
    /// `descriptors` descriptors.
    pub fn new(memory: u64, descriptors: u64) -> Arc<Self> {
        Arc::new(Self {
            ledger: Mutex::new(Ledger::new(memory)),
            holders: Mutex::default(),
            freed: Notify::new(),
            waiting: AtomicUsize::new(0),
            event_times: Mutex::default(),
            descriptors,
            counters: Counters::default(),
        })
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> u64 {
        self.ledger().limit()
    }

    /// Returns the bytes held.
    pub fn held(&self) -> u64 {
        self.ledger().held()
    }

    /// Returns the metrics.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the limit on the connections to a port, without connections.
    pub fn connections(self: &Arc<Self>, port: Port) -> Arc<Connections> {
        let max = port.max_connections(self.descriptors);
        Connections::new(Arc::clone(self), port, max)
    }

    /// Opens a lease without bytes.
    pub fn lease(self: &Arc<Self>, owner: Owner) -> Lease {
        let id = self.ledger().open(owner, Instant::now());
        let evicted = Arc::new(Notify::new());
        self.holders().insert(id, Arc::clone(&evicted));
        Lease {
            held: Some((Arc::clone(self), id)),
            port: owner.port,
            evicted,
        }
    }

    /// Reserves `bytes` for an answer of the own backend server; `None` if there is no room.
    pub fn lease_for_answer(self: &Arc<Self>, bytes: u64) -> Option<Lease> {
        let lease = self.lease(Owner {
            port: Port::Peers,
            address: Ipv4Addr::LOCALHOST.into(),
            account: None,
        });
        lease.try_grow(bytes).is_ok().then_some(lease)
    }

    /// Reserves a frame for another process until it has been sent; `None` if there is no room. The
    /// `only` frame for that process is held in any case, so that none is cut off.
    pub fn hold_frame(self: &Arc<Self>, frame: Bytes, only: bool) -> Option<Bytes> {
        let lease = self.lease(Owner {
            port: Port::Peers,
            address: Ipv4Addr::LOCALHOST.into(),
            account: None,
        });
        let size = frame.len() as u64;
        if let Err(short) = lease.try_grow(size) {
            if !only {
                self.record_refusal(Port::Peers, &short);
                return None;
            }
            lease.charge(size);
        }
        Some(Bytes::from_owner(HeldFrame {
            frame,
            _lease: lease,
        }))
    }

    /// Tells bodies without progress to give up, on `port` or on all; returns whether there are any.
    pub(super) fn evict(&self, except: Option<HolderId>, port: Option<Port>) -> bool {
        let mut evicted = 0;
        while evicted < EVICTED_AT_ONCE {
            let Some(id) = self.ledger().evict(except, port, Instant::now()) else {
                break;
            };
            evicted += 1;
            self.counters.evictions.inc();
            if let Some(holder) = self.holders().get(&id) {
                holder.notify_one();
            }
        }
        evicted > 0
    }

    /// Returns whether an event of this kind may be logged now.
    pub(super) fn is_event_due(&self, kind: &'static str) -> bool {
        let mut times = self
            .event_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        times.take(kind, Instant::now())
    }

    fn reserve(&self, id: HolderId, bytes: u64) -> Result<(), Short> {
        let mut ledger = self.ledger();
        let grown = ledger.grow(id, bytes);
        self.update_gauge(&ledger);
        grown
    }

    fn record_refusal(&self, port: Port, cause: &dyn fmt::Display) {
        self.counters.refusals.inc();
        if self.is_event_due("refusal") {
            let ledger = self.ledger();
            log_event!(
                Event::MemoryShort,
                port = port,
                cause = cause,
                held = ledger.held(),
                budget = ledger.limit(),
            );
        }
    }

    fn update_gauge(&self, ledger: &Ledger) {
        let held = i64::try_from(ledger.held()).unwrap_or(i64::MAX);
        self.counters.held.set(held);
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holders(&self) -> MutexGuard<'_, HashMap<HolderId, Arc<Notify>>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A frame with the lease on its bytes.
struct HeldFrame {
    frame: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for HeldFrame {
    fn as_ref(&self) -> &[u8] {
        &self.frame
    }
}

/// Bytes of a budget, released when dropped.
#[derive(Debug)]
pub struct Lease {
    /// `None` without a limit.
    held: Option<(Arc<Budget>, HolderId)>,
    port: Port,
    evicted: Arc<Notify>,
}

impl Lease {
    /// Returns a lease that has no limit.
    pub fn unlimited() -> Self {
        Self {
            held: None,
            port: Port::Local,
            evicted: Arc::default(),
        }
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    /// The limit that would be exceeded.
    pub fn try_grow(&self, bytes: u64) -> Result<(), Short> {
        let Some((budget, id)) = &self.held else {
            return Ok(());
        };
        budget.reserve(*id, bytes)
    }

    /// Reserves `bytes` more; waits a short time for room while the budget is short.
    ///
    /// # Errors
    /// There is no room in time, or the holder has to give up.
    pub async fn grow(&self, bytes: u64) -> Result<(), ReadError> {
        let Some((budget, id)) = &self.held else {
            return Ok(());
        };
        let Err(short) = budget.reserve(*id, bytes) else {
            return Ok(());
        };
        let waiting = Waiting::new(budget);
        let waited = if waiting.count > MAX_WAITING {
            Err(short.into())
        } else {
            self.wait_for_room(budget, *id, bytes).await
        };
        if let Err(e) = &waited {
            budget.record_refusal(self.port, e);
        }
        waited
    }

    async fn wait_for_room(
        &self,
        budget: &Budget,
        id: HolderId,
        bytes: u64,
    ) -> Result<(), ReadError> {
        let by = Instant::now() + MAX_WAIT;
        loop {
            let mut freed = pin!(budget.freed.notified());
            freed.as_mut().enable();
            let now = Instant::now();
            match budget.reserve(id, bytes) {
                Ok(()) => return Ok(()),
                Err(short) if now >= by => return Err(short.into()),
                Err(_) => {}
            }
            budget.evict(Some(id), None);
            let next = by.min(now + EVICT_INTERVAL);
            select! {
                () = freed => {}
                () = sleep_until(next.into()) => {}
                () = self.evicted.notified() => return Err(ReadError::Evicted),
            }
        }
    }

    /// Charges `bytes`, also above the limits; for what is delivered in any case.
    pub fn charge(&self, bytes: u64) {
        if let Some((budget, id)) = &self.held {
            let mut ledger = budget.ledger();
            ledger.charge(*id, bytes);
            budget.update_gauge(&ledger);
        }
    }

    /// Releases what is reserved above `bytes`.
    pub fn shrink_to(&self, bytes: u64) {
        if let Some((budget, id)) = &self.held {
            let mut ledger = budget.ledger();
            ledger.shrink_to(*id, bytes);
            budget.update_gauge(&ledger);
            drop(ledger);
            budget.freed.notify_waiters();
        }
    }

    /// Assigns the bytes to an account.
    pub fn set_account(&self, account: u64) {
        if let Some((budget, id)) = &self.held {
            budget.ledger().set_account(*id, account);
        }
    }

    /// Records that the holder begins or ends to read a body.
    pub(super) fn set_reading(&self, is_reading: bool) {
        if let Some((budget, id)) = &self.held {
            budget.ledger().set_reading(*id, is_reading, Instant::now());
        }
    }

    pub(super) fn record_received(&self, bytes: u64) {
        if let Some((budget, id)) = &self.held {
            let now = Instant::now();
            budget.ledger().record_received(*id, bytes, now);
        }
    }

    /// Waits until the holder has to give up.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some((budget, id)) = self.held.take() {
            let mut ledger = budget.ledger();
            ledger.release(id);
            budget.update_gauge(&ledger);
            drop(ledger);
            budget.holders().remove(&id);
            budget.freed.notify_waiters();
        }
    }
}

/// A body that is counted as waiting for room until it is dropped.
struct Waiting<'a> {
    budget: &'a Budget,
    count: usize,
}

impl<'a> Waiting<'a> {
    fn new(budget: &'a Budget) -> Self {
        let count = budget.waiting.fetch_add(1, Ordering::Relaxed) + 1;
        Self { budget, count }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.budget.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Client of a connection; an extension of each of its requests.
#[derive(Clone, Debug)]
pub struct Client {
    pub(super) budget: Arc<Budget>,
    pub(super) port: Port,
    pub(super) address: IpAddr,
}

impl StateData for Client {}

impl Client {
    /// Opens a lease for a request of the client.
    pub fn lease(&self) -> Lease {
        self.budget.lease(Owner {
            port: self.port,
            address: self.address,
            account: None,
        })
    }
}

/// Opens a lease for the request with these extensions; it has no limit if the port has none.
pub fn lease_of(extensions: &Extensions) -> Lease {
    extensions
        .get::<Client>()
        .map_or_else(Lease::unlimited, Client::lease)
}
