//! Client with which an owner daemon claims idempotency keys at the claims group of a region.

use {
    crate::{
        claims::{Attempt, ClaimKey, Command, Reply, StoredAnswer},
        error::{Error, Result},
        model::{DaemonName, Digest},
        peer::Client,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Instant,
    },
    tokio::time::{Duration, sleep},
};

/// Path of the peer port for commands of a claims group.
pub const CLAIM_PATH: &str = "/claim";
/// Path of the peer port that returns the state of a key.
pub const PEEK_PATH: &str = "/claim-state";
/// Timeout of a request for the state of a key, after which a refused order has an unknown outcome.
const PEEK_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a request to one replica of the group; an election takes 1 to 2 s.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause before the next request, if a replica failed or does not lead.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time within which a release must be confirmed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an answer must be recorded.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Answer of a replica to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// Reply of the group.
    Reply(Reply),
    /// Another replica leads; its peer address if it is known.
    NotLeader(Option<SocketAddr>),
    /// The replica lost its leadership; the command may still be applied.
    Lost,
}

/// Answer of a replica to a request for the state of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeekAnswer {
    /// State of the key; `None` if it is not claimed.
    Known(Option<Reply>),
    /// Another replica leads; its peer address if it is known.
    NotLeader(Option<SocketAddr>),
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The request may run now; the attempt must be finished or released.
    Granted(Attempt),
    /// The group refused the claim with this reply.
    Refused(Reply),
    /// The group does not answer; the attempt is released, so it does not hold the key.
    Unavailable(String),
    /// The group does not answer and did not confirm the release. The key may stay claimed although
    /// the request did not run.
    MaybeClaimed(String),
}

/// Client of the claims group of one region.
#[derive(Clone, Debug)]
pub struct ClaimGroup {
    client: Client,
    /// Peer addresses.
    replicas: Vec<SocketAddr>,
    /// Index of the replica that last answered as the leader; the next request goes to it first.
    last_leader: Arc<AtomicUsize>,
}

impl ClaimGroup {
    /// Creates a client of the group with these peer addresses.
    pub fn new(client: Client, replicas: Vec<SocketAddr>) -> Self {
        Self {
            client,
            replicas,
            last_leader: Arc::default(),
        }
    }

    /// Claims `key` for a request with the digest `request`.
    pub async fn claim(
        &self,
        key: ClaimKey,
        request: Digest,
        owner: &DaemonName,
        deadline: Instant,
    ) -> ClaimOutcome {
        let attempt = Attempt(rand::random());
        let command = Command::Claim {
            key,
            attempt,
            request,
            owner: owner.clone(),
            now_ms: 0,
        };
        match self.execute("claim key", &command, deadline).await {
            Ok(Reply::Granted) => ClaimOutcome::Granted(attempt),
            Ok(reply) => ClaimOutcome::Refused(reply),
            // The claim may still be applied; only a confirmed release rules that out.
            Err(e) => match self.release(key, attempt).await {
                Ok(()) => ClaimOutcome::Unavailable(e.to_string()),
                Err(_) => ClaimOutcome::MaybeClaimed(e.to_string()),
            },
        }
    }

    /// Declares that the attempt did not and will not run.
    ///
    /// # Errors
    /// [`Error::Peer`] when the group did not confirm it.
    pub async fn release(&self, key: ClaimKey, attempt: Attempt) -> Result<()> {
        let command = Command::Release {
            key,
            attempt,
            now_ms: 0,
        };
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        match self.execute("release key", &command, deadline).await? {
            Reply::Recorded => Ok(()),
            reply => Err(self.peer_error("release key", format!("{reply:?}"))),
        }
    }

    /// Records the answer of the attempt.
    ///
    /// # Errors
    /// [`Error::Peer`] when the group did not confirm it.
    pub async fn finish(
        &self,
        key: ClaimKey,
        attempt: Attempt,
        answer: StoredAnswer,
    ) -> Result<()> {
        let command = Command::Finish {
            key,
            attempt,
            answer,
            now_ms: 0,
        };
        let deadline = Instant::now() + FINISH_TIMEOUT;
        match self.execute("record answer", &command, deadline).await? {
            Reply::Recorded => Ok(()),
            reply => Err(self.peer_error("record answer", format!("{reply:?}"))),
        }
    }

    /// Returns the state of a key; `None` if it is not claimed.
    ///
    /// # Errors
    /// [`Error::Peer`] when no leader answered in time.
    pub async fn peek(&self, key: ClaimKey) -> Result<Option<Reply>> {
        let deadline = Instant::now() + PEEK_TIMEOUT;
        self.request(
            "read key state",
            PEEK_PATH,
            &key,
            deadline,
            |answer| match answer {
                PeekAnswer::Known(reply) => Ok(reply),
                PeekAnswer::NotLeader(leader) => Err(leader),
            },
        )
        .await
    }

    async fn execute(
        &self,
        step: &'static str,
        command: &Command,
        deadline: Instant,
    ) -> Result<Reply> {
        self.request(step, CLAIM_PATH, command, deadline, |answer| match answer {
            ClaimAnswer::Reply(reply) => Ok(reply),
            ClaimAnswer::NotLeader(leader) => Err(leader),
            ClaimAnswer::Lost => Err(None),
        })
        .await
    }

    /// Sends a request to the replicas in turn until the leader answers. `decision` returns the
    /// decision in an answer or, as the error, the leader if the replica names one.
    async fn request<Q, A, D>(
        &self,
        step: &'static str,
        path: &str,
        request: &Q,
        deadline: Instant,
        decision: impl Fn(A) -> std::result::Result<D, Option<SocketAddr>>,
    ) -> Result<D>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let mut index = self.last_leader.load(Ordering::Relaxed);
        let mut leader_hint = None;
        let mut reason = "the region has no claims group in the settings".to_owned();
        while !self.replicas.is_empty() && Instant::now() < deadline {
            let address = match leader_hint.take() {
                Some(leader) => leader,
                None => self.replicas[index % self.replicas.len()],
            };
            let request_deadline = deadline.min(Instant::now() + REPLICA_TIMEOUT);
            let answer = self
                .client
                .request::<_, A>(step, address, path, request, request_deadline)
                .await;
            match answer.map(&decision) {
                Ok(Ok(decision)) => {
                    self.remember_leader(address);
                    return Ok(decision);
                }
                Ok(Err(leader)) => {
                    leader_hint = leader.filter(|leader| *leader != address);
                    reason = format!("replica {address} is not the leader");
                }
                Err(e) => reason = e.to_string(),
            }
            if leader_hint.is_none() {
                index += 1;
            }
            // Replicas may name each other during an election; the pause avoids a tight loop.
            sleep(RETRY_PAUSE).await;
        }
        Err(self.peer_error(step, reason))
    }

    fn remember_leader(&self, address: SocketAddr) {
        if let Some(index) = self.replicas.iter().position(|replica| *replica == address) {
            self.last_leader.store(index, Ordering::Relaxed);
        }
    }

    fn peer_error(&self, step: &'static str, reason: String) -> Error {
        Error::Peer {
            step,
            peer: format!("{:?}", self.replicas),
            reason,
        }
    }
}
