//! Limits the open connections of one port. When all are in use, the one that has been idle for the
//! longest time is closed for a new one.

use {
    super::{
        Port,
        budget::{Budget, Client},
    },
    crate::{events::Event, link::Activity, log_event, serve::SEND_BUFFER},
    indexmap::IndexMap,
    std::{
        net::IpAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, time::timeout},
};

/// Longest time for which a new connection waits until another one is closed. No other connection is
/// accepted on the port meanwhile.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Smallest limit in bytes on the read buffer of an HTTP/1 connection.
const MIN_BUFFER: usize = 32 * 1024;

#[derive(Debug)]
struct Open {
    activity: Arc<Activity>,
    close: Arc<Notify>,
    is_closing: bool,
}

/// Open connections of one port.
#[derive(Debug)]
pub struct Connections {
    budget: Arc<Budget>,
    port: Port,
    max: usize,
    open: Mutex<(u64, IndexMap<u64, Open>)>,
    closed: Notify,
}

impl Connections {
    pub(super) fn new(budget: Arc<Budget>, port: Port, max: usize) -> Arc<Self> {
        Arc::new(Self {
            budget,
            port,
            max,
            open: Mutex::default(),
            closed: Notify::new(),
        })
    }

    /// Returns the client at `address`, for the requests of its connection.
    pub fn client(&self, address: IpAddr) -> Client {
        Client {
            budget: Arc::clone(&self.budget),
            port: self.port,
            address,
        }
    }

    /// Returns the largest size in bytes of the read buffer of an HTTP/1 connection: that of all
    /// connections together is bounded by the budget, but a head of 16 KiB must fit twice.
    pub fn buffer_size(&self) -> usize {
        let each = self.budget.limit() as usize / self.max.max(1);
        each.clamp(MIN_BUFFER, SEND_BUFFER)
    }

    /// Returns a place for a new connection, for which an idle one is closed if there is none left;
    /// `None` if all others are in use.
    pub async fn admit(self: &Arc<Self>, activity: &Arc<Activity>) -> Option<Place> {
        let mut closed = pin!(self.closed.notified());
        closed.as_mut().enable();
        if let Some(place) = self.take(activity) {
            return Some(place);
        }
        self.make_room();
        let _elapsed = timeout(MAX_WAIT, closed).await;
        let place = self.take(activity);
        if place.is_none() {
            self.budget.counters.rejected.inc();
            self.log("rejected");
        }
        place
    }

    fn take(self: &Arc<Self>, activity: &Arc<Activity>) -> Option<Place> {
        let mut open = self.open();
        let (next_id, places) = &mut *open;
        if places.len() >= self.max {
            return None;
        }
        *next_id += 1;
        let close = Arc::new(Notify::new());
        let entry = Open {
            activity: Arc::clone(activity),
            close: Arc::clone(&close),
            is_closing: false,
        };
        places.insert(*next_id, entry);
        self.budget.counters.connections.inc();
        Some(Place {
            connections: Arc::clone(self),
            id: *next_id,
            close,
        })
    }

    /// Closes the connection that has been idle for the longest time, or lets bodies without
    /// progress give up if none is idle.
    fn make_room(&self) {
        let mut open = self.open();
        let idle = open.1.iter().filter(|(_, place)| !place.is_closing);
        let idle = idle.map(|(id, place)| {
            let activity = &place.activity;
            (*id, activity.calls(), activity.last_received_at())
        });
        let victim = oldest_idle(idle).and_then(|id| open.1.get_mut(&id));
        if let Some(victim) = victim {
            victim.is_closing = true;
            victim.close.notify_one();
            drop(open);
            self.budget.counters.closed.inc();
            self.log("idle-closed");
            return;
        }
        drop(open);
        self.budget.evict(None, Some(self.port));
    }

    fn log(&self, action: &'static str) {
        if self.budget.is_event_due(action) {
            log_event!(
                Event::ConnectionsShort,
                port = self.port,
                action = action,
                limit = self.max,
            );
        }
    }

    fn open(&self) -> MutexGuard<'_, (u64, IndexMap<u64, Open>)> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the connection without a call from which nothing was received for the longest time, of
/// `(id, calls, last received)`.
pub(super) fn oldest_idle(open: impl Iterator<Item = (u64, u32, Instant)>) -> Option<u64> {
    let idle = open.filter(|(_, calls, _)| *calls == 0);
    let (id, ..) = idle.min_by_key(|(_, _, last_received)| *last_received)?;
    Some(id)
}

/// Place of an open connection; free again when dropped.
#[derive(Debug)]
pub struct Place {
    connections: Arc<Connections>,
    id: u64,
    close: Arc<Notify>,
}

impl Place {
    /// Waits until the connection has to be closed to make room.
    pub async fn wait_for_close(&self) {
        self.close.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let removed = self.connections.open().1.swap_remove(&self.id);
        if removed.is_some() {
            self.connections.budget.counters.connections.dec();
        }
        self.connections.closed.notify_waiters();
    }
}
