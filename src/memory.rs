//! Bounds the memory and the connections that a process holds for others.
//!
//! Addresses crowds of clients that send many bodies of legal size, stop short of the end and stay
//! connected. All bytes that are held for others are reserved in one [`Budget`] per process; the
//! [`Ledger`] decides, without I/O. [`Connections`] limits the open connections of each port.

mod budget;
mod connections;
mod counters;
mod ledger;
mod reading;
#[cfg(test)]
mod tests;

pub use self::{
    budget::{Budget, Client, Lease, lease_of},
    connections::{Connections, Place},
    counters::Counters,
    ledger::{HolderId, Ledger, Owner, Share, Short},
    reading::{ReadError, STALL_TIMEOUT, head_size, read_start},
};

pub(crate) use self::reading::stream_cost;

use strum::Display;

/// Default memory of a machine in bytes. The budget that follows from it is reached by no load
/// inside the limits of the interface: 2,000 callers with bodies of 64 KiB hold half of it. It also
/// keeps the read buffers of connections at their largest size.
pub const DEFAULT_MEMORY: u64 = 2 * 1024 * 1024 * 1024;
/// Smallest memory of a machine in bytes that can be set: one body for retries and one message of
/// the largest size must fit into the budget.
pub const MIN_MEMORY: u64 = 64 * 1024 * 1024;
/// Default number of descriptors of a process; a mesh of 2,600 daemons needs about 6,000.
pub const DEFAULT_DESCRIPTORS: u64 = 16 * 1024;
/// Smallest number of descriptors that can be set.
pub const MIN_DESCRIPTORS: u64 = 128;
/// Part of the memory of a machine that is the budget. The rest holds the state of the process, the
/// buffers of its connections and what the allocator keeps.
const BUDGET_DIVISOR: u64 = 4;
/// Parts into which shares and descriptors are divided.
const PARTS: u64 = 16;

/// Port on which a process serves others. Each has its limits, so that clients of one port cannot
/// shut out those of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Port {
    /// Callers of a daemon.
    Callers,
    /// Operators of a control replica.
    Operators,
    /// The backend server, metrics and health checks.
    Local,
    /// Readiness checks.
    Ready,
    /// Other processes of the mesh.
    Peers,
}

impl Port {
    /// Sixteenths of the budget up to which small and large bodies are accepted. Small requests,
    /// heartbeats and peers are still served when large bodies have used up their part.
    const fn budget_parts(self, is_small: bool) -> u64 {
        match (self, is_small) {
            (Self::Callers | Self::Operators, false) => 10,
            (Self::Callers | Self::Operators, true) | (Self::Local | Self::Ready, false) => 12,
            (Self::Local | Self::Ready, true) => 14,
            (Self::Peers, _) => PARTS,
        }
    }

    /// Sixteenths of the descriptors that connections to this port may use. Those of a daemon leave
    /// three for its own connections, those of a control replica seven.
    const fn descriptor_parts(self) -> u64 {
        match self {
            Self::Callers => 7,
            Self::Operators | Self::Peers => 4,
            Self::Local | Self::Ready => 1,
        }
    }

    /// Returns the largest number of connections to this port in a process with `descriptors`.
    pub const fn max_connections(self, descriptors: u64) -> usize {
        (descriptors * self.descriptor_parts() / PARTS) as usize
    }
}
