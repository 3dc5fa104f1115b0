//! Events and effects of a daemon in the tree.

use {
    super::super::{Attach, AttachReply, Report, Subscribe, SubscribeReply, Update},
    crate::{
        endpoints::Changed,
        model::{Config, DaemonName, Endpoint, Version},
        versions::DeltaPart,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// What happens to a daemon.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due at least each 100 ms.
    Tick,
    /// Answer of a control replica.
    Attach {
        /// Number of the replica.
        control: u32,
        /// The answer; `None` when the replica can't be reached.
        reply: Option<AttachReply>,
    },
    /// Answer of the parent.
    Subscribed {
        /// The stream.
        stream: u64,
        /// The answer; `None` when the parent can't be reached.
        reply: Option<SubscribeReply>,
    },
    /// Frame from the parent.
    Update(Update),
    /// The stream from the parent has ended.
    StreamLost {
        /// The stream.
        stream: u64,
    },
    /// A peer was seen with a version in force, in an answer or in a call's headers.
    PeerVersion {
        /// The peer.
        peer: DaemonName,
        /// Version that it has in force, if any.
        version: Option<Version>,
    },
    /// Parts of the configuration from a peer.
    Fetched(Vec<DeltaPart>),
    /// The peers of the data centre have changed.
    Members(Vec<(DaemonName, SocketAddr)>),
    /// The endpoints beside this daemon have changed.
    Endpoints(Vec<Endpoint>),
    /// A child subscribes.
    Subscribe(Subscribe),
    /// A child reports.
    Report(Report),
    /// The stream to a child has ended.
    ChildLost {
        /// The child.
        child: DaemonName,
        /// The stream.
        stream: u64,
    },
}

/// What the shell has to do, in this order.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attach request to a control replica.
    AskControl {
        /// Number of the replica.
        control: u32,
        /// The request.
        attach: Attach,
    },
    /// Subscribe at the control replica that answered last.
    SubscribeControl {
        /// Number of the replica.
        control: u32,
        /// The request.
        req: Subscribe,
    },
    /// Subscribe at a daemon.
    SubscribeDaemon {
        /// The daemon.
        name: DaemonName,
        /// Its peer address.
        address: SocketAddr,
        /// The request.
        req: Subscribe,
    },
    /// Close the stream from the parent.
    Unsubscribe {
        /// The stream.
        stream: u64,
    },
    /// Ask these peers for the version that they have in force.
    AskPeers(Vec<(DaemonName, SocketAddr)>),
    /// Fetch the configuration from a peer, once and without a subscription.
    Fetch {
        /// The peer.
        name: DaemonName,
        /// Its peer address.
        address: SocketAddr,
        /// Version that is held.
        version: Version,
    },
    /// A new configuration is in force.
    Publish(Arc<Config>),
    /// Endpoint sets have changed.
    PublishEndpoints(Changed),
    /// Send a report to the parent.
    Report(Report),
    /// Answer a child.
    Answer {
        /// The child.
        child: DaemonName,
        /// Its stream.
        stream: u64,
        /// The answer.
        reply: SubscribeReply,
    },
    /// Send a frame to a child.
    Update {
        /// The child.
        child: DaemonName,
        /// The frame.
        update: Update,
    },
    /// Close the streams to children.
    DropChildren(Vec<(DaemonName, u64)>),
}
