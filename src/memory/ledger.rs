//! Accounting of the bytes held for others: who holds how many, and who has to give up.

use {
    super::{BUDGET_DIVISOR, PARTS, Port},
    indexmap::IndexMap,
    std::{
        collections::HashMap,
        hash::Hash,
        net::IpAddr,
        time::{Duration, Instant},
    },
    strum::Display,
};

/// Number of a holder.
pub type HolderId = u64;

/// Largest number of bytes of a small holder: a head and a body of some KiB with their overhead.
const SMALL: u64 = 32 * 1024;
/// Sixteenths of the bound for its port that holders of one caller address may use. All clients of
/// a machine share an address, so that this only keeps the last places for other machines.
const ADDRESS_PARTS: u64 = 14;
/// Sixteenths of the bound for its port that holders of one account may use.
const ACCOUNT_PARTS: u64 = 12;
/// Bytes that count as progress when a holder has to give up. A client that sends single bytes to
/// keep its place makes none.
const PROGRESS_BYTES: u64 = 1024;
/// Time without progress after which a body loses its place to another while the budget is short.
/// An honest sender at 10 kbit/s makes progress in 0.8 s.
const EVICT_AFTER: Duration = Duration::from_secs(1);

/// Owner of held bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Port that the client uses.
    pub port: Port,
    /// Address of the client.
    pub address: IpAddr,
    /// Key of the account that the client belongs to, such as a hash of its name; `None` for none.
    pub account: Option<u64>,
}

/// Limit that a reservation exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Short {
    /// The part of the budget for the port and the size.
    Budget,
    /// The share of one caller address.
    Address,
    /// The share of one account.
    Account,
}

/// Bytes of one holder and its progress.
#[derive(Clone, Debug)]
struct Holder {
    owner: Owner,
    bytes: u64,
    /// Whether a body is being read, which can be given up as not run.
    is_reading: bool,
    progressed_at: Instant,
    /// Bytes received since `progressed_at`.
    since_progress: u64,
    is_evicted: bool,
}

/// Bytes held by one address or account.
pub type Share = u64;

/// Accounts of one process.
///
/// ```
/// use {
///     anvilbeam::memory::{Ledger, Owner, Port},
///     std::{net::Ipv4Addr, time::Instant},
/// };
/// let (now, mut ledger) = (Instant::now(), Ledger::new(64 << 20));
/// let owner = Owner { port: Port::Callers, address: Ipv4Addr::LOCALHOST.into(), account: None };
/// let holder = ledger.open(owner, now);
/// ledger.grow(holder, 1 << 20).unwrap();
/// assert_eq!(ledger.held(), 1 << 20);
/// assert!(ledger.grow(holder, 16 << 20).is_err());
/// ledger.release(holder);
/// assert_eq!(ledger.held(), 0);
/// ```
#[derive(Debug)]
pub struct Ledger {
    limit: u64,
    held: u64,
    next_id: HolderId,
    holders: IndexMap<HolderId, Holder>,
    addresses: HashMap<IpAddr, Share>,
    accounts: HashMap<u64, Share>,
}

impl Ledger {
    /// Creates the accounts of a process on a machine with `memory` bytes.
    pub fn new(memory: u64) -> Self {
        Self {
            limit: memory / BUDGET_DIVISOR,
            held: 0,
            next_id: 0,
            holders: IndexMap::new(),
            addresses: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Returns the budget in bytes.
    pub const fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the bytes held.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, owner: Owner, now: Instant) -> HolderId {
        self.next_id += 1;
        let holder = Holder {
            owner,
            bytes: 0,
            is_reading: false,
            progressed_at: now,
            since_progress: 0,
            is_evicted: false,
        };
        self.holders.insert(self.next_id, holder);
        self.next_id
    }

    /// Reserves `more` bytes for a holder.
    ///
    /// # Errors
    /// The limit that would be exceeded; nothing is reserved then.
    pub fn grow(&mut self, id: HolderId, more: u64) -> Result<(), Short> {
        let Some(holder) = self.holders.get(&id) else {
            return Ok(());
        };
        let owner = holder.owner;
        let is_small = holder.bytes + more <= SMALL;
        let bound = part(self.limit, owner.port.budget_parts(is_small));
        if self.held + more > bound {
            return Err(Short::Budget);
        }
        // Peers are part of the mesh; their number of calls is limited by slots and transfers.
        if owner.port != Port::Peers {
            let of_address = self.addresses.get(&owner.address).copied().unwrap_or(0);
            if of_address + more > part(bound, ADDRESS_PARTS) {
                return Err(Short::Address);
            }
            let of_account = owner.account.and_then(|key| self.accounts.get(&key));
            if of_account.copied().unwrap_or(0) + more > part(bound, ACCOUNT_PARTS) {
                return Err(Short::Account);
            }
        }
        self.charge(id, more);
        Ok(())
    }

    /// Charges `more` bytes to a holder, also above the limits: for answers, which are delivered in
    /// any case. New reservations fail until they are released.
    pub fn charge(&mut self, id: HolderId, more: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        holder.bytes += more;
        self.held += more;
        *self.addresses.entry(holder.owner.address).or_default() += more;
        if let Some(key) = holder.owner.account {
            *self.accounts.entry(key).or_default() += more;
        }
    }

    /// Assigns a holder to an account.
    pub fn set_account(&mut self, id: HolderId, account: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = holder.bytes;
        if let Some(before) = holder.owner.account.replace(account) {
            subtract(&mut self.accounts, &before, bytes);
        }
        *self.accounts.entry(account).or_default() += bytes;
    }

    /// Records that a holder begins or ends to read a body.
    pub fn set_reading(&mut self, id: HolderId, is_reading: bool, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_reading = is_reading;
            holder.progressed_at = now;
        }
    }

    /// Records that `bytes` of the body of a holder have arrived.
    pub fn record_received(&mut self, id: HolderId, bytes: u64, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.since_progress += bytes;
            if holder.since_progress >= PROGRESS_BYTES {
                holder.since_progress = 0;
                holder.progressed_at = now;
            }
        }
    }

    /// Selects the body that made no progress for the longest time among those that made none for a
    /// second, on `port` or on all, and marks it as evicted; its holder releases the bytes. `except`
    /// is not selected.
    pub fn evict(
        &mut self,
        except: Option<HolderId>,
        port: Option<Port>,
        now: Instant,
    ) -> Option<HolderId> {
        let stalled = self.holders.iter_mut().filter(|(id, holder)| {
            let stalled = now.saturating_duration_since(holder.progressed_at) >= EVICT_AFTER;
            let is_eligible = holder.is_reading && !holder.is_evicted && Some(**id) != except;
            stalled && is_eligible && port.is_none_or(|port| port == holder.owner.port)
        });
        let (id, holder) = stalled.min_by_key(|(_, holder)| holder.progressed_at)?;
        holder.is_evicted = true;
        Some(*id)
    }

    /// Releases the bytes of a holder above `bytes`.
    pub fn shrink_to(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let less = holder.bytes.saturating_sub(bytes);
        holder.bytes -= less;
        self.held -= less;
        subtract(&mut self.addresses, &holder.owner.address, less);
        if let Some(key) = holder.owner.account {
            subtract(&mut self.accounts, &key, less);
        }
    }

    /// Removes a holder and releases its bytes.
    pub fn release(&mut self, id: HolderId) {
        self.shrink_to(id, 0);
        self.holders.swap_remove(&id);
    }
}

const fn part(whole: u64, parts: u64) -> u64 {
    whole / PARTS * parts
}

/// Takes `bytes` from a share and removes it when nothing is left, so that the table does not grow
/// with all clients ever seen.
fn subtract<K: Eq + Hash>(shares: &mut HashMap<K, Share>, key: &K, bytes: u64) {
    if let Some(share) = shares.get_mut(key) {
        *share = share.saturating_sub(bytes);
        if *share == 0 {
            shares.remove(key);
        }
    }
}
