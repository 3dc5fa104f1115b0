//! How an owner daemon claims idempotency keys at the claims group of a region.

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

/// Path of the peer port that takes commands of a claims group.
pub const CLAIM_PATH: &str = "/claim";
/// Path of the peer port that tells what is known of a key.
pub const PEEK_PATH: &str = "/claim-state";
/// Longest wait for the state of a key, after which a refused order has an unknown outcome.
const PEEK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for one replica of the group; an election takes 1 to 2 s.
const ASK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a replica that does not lead.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time in which a release must be confirmed.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which an answer must be recorded.
const FINISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Answer of a replica to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The group decided.
    Reply(Reply),
    /// Another replica leads.
    NotLeader(Option<SocketAddr>),
    /// The replica lost its leadership; the command may still be applied.
    Lost,
}

/// Answer of a replica to a question for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeekAnswer {
    /// What the group knows; `None` when no try holds or held the key.
    Known(Option<Reply>),
    /// Another replica leads.
    NotLeader(Option<SocketAddr>),
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The request may run now; the attempt must be finished or released.
    Granted(Attempt),
    /// The group decided otherwise.
    Refused(Reply),
    /// The group cannot be reached; the attempt certainly holds nothing.
    Unavailable(String),
    /// The group cannot be reached; the key may stay claimed though the request did not run.
    Stuck(String),
}

/// The claims group of one region.
#[derive(Clone, Debug)]
pub struct ClaimGroup {
    client: Client,
    replicas: Vec<SocketAddr>,
    /// Index of the replica that answered last.
    last: Arc<AtomicUsize>,
}

impl ClaimGroup {
    /// A group with these peer addresses.
    pub fn new(client: Client, replicas: Vec<SocketAddr>) -> Self {
        Self {
            client,
            replicas,
            last: Arc::default(),
        }
    }

    /// Claims `key` for a request with the digest `request`.
    pub async fn claim(
        &self,
        key: ClaimKey,
        request: Digest,
        owner: &DaemonName,
        deadline: Instant,
    ) -> Claimed {
        let attempt = Attempt(rand::random());
        let command = Command::Claim {
            key,
            attempt,
            request,
            owner: owner.clone(),
            now_ms: 0,
        };
        match self.run("claim key", &command, deadline).await {
            Ok(Reply::Granted) => Claimed::Granted(attempt),
            Ok(reply) => Claimed::Refused(reply),
            // The claim may be applied later, so only a confirmed release makes it void.
            Err(e) => match self.release(key, attempt).await {
                Ok(()) => Claimed::Unavailable(e.to_string()),
                Err(_) => Claimed::Stuck(e.to_string()),
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
        match self.run("release key", &command, deadline).await? {
            Reply::Recorded => Ok(()),
            reply => Err(self.failed("release key", format!("{reply:?}"))),
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
        match self.run("record answer", &command, deadline).await? {
            Reply::Recorded => Ok(()),
            reply => Err(self.failed("record answer", format!("{reply:?}"))),
        }
    }

    /// What the group knows of a key; `None` when no try holds or held it.
    ///
    /// # Errors
    /// [`Error::Peer`] when no leader answered in time.
    pub async fn peek(&self, key: ClaimKey) -> Result<Option<Reply>> {
        let deadline = Instant::now() + PEEK_TIMEOUT;
        self.request(
            "ask for key",
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

    async fn run(&self, step: &'static str, command: &Command, deadline: Instant) -> Result<Reply> {
        self.request(step, CLAIM_PATH, command, deadline, |answer| match answer {
            ClaimAnswer::Reply(reply) => Ok(reply),
            ClaimAnswer::NotLeader(leader) => Err(leader),
            ClaimAnswer::Lost => Err(None),
        })
        .await
    }

    /// Asks the replicas in turn until one that leads decides; `decided` gives the decision, or
    /// the leader if the replica names one.
    async fn request<Q, A, D>(
        &self,
        step: &'static str,
        path: &str,
        question: &Q,
        deadline: Instant,
        decided: impl Fn(A) -> std::result::Result<D, Option<SocketAddr>>,
    ) -> Result<D>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let mut at = self.last.load(Ordering::Relaxed);
        let mut hint = None;
        let mut reason = "the region has no claims group in the settings".to_owned();
        while !self.replicas.is_empty() && Instant::now() < deadline {
            let address = match hint.take() {
                Some(leader) => leader,
                None => self.replicas[at % self.replicas.len()],
            };
            let limit = deadline.min(Instant::now() + ASK_TIMEOUT);
            let asked = self
                .client
                .request::<_, A>(step, address, path, question, limit)
                .await;
            match asked.map(&decided) {
                Ok(Ok(decision)) => {
                    self.remember(address);
                    return Ok(decision);
                }
                Ok(Err(leader)) => {
                    hint = leader.filter(|leader| *leader != address);
                    reason = format!("{address} does not lead");
                }
                Err(e) => reason = e.to_string(),
            }
            if hint.is_none() {
                at += 1;
            }
            // Replicas that name each other during an election must not be asked in a tight loop.
            sleep(RETRY_PAUSE).await;
        }
        Err(self.failed(step, reason))
    }

    fn remember(&self, address: SocketAddr) {
        if let Some(at) = self.replicas.iter().position(|replica| *replica == address) {
            self.last.store(at, Ordering::Relaxed);
        }
    }

    fn failed(&self, step: &'static str, reason: String) -> Error {
        Error::Peer {
            step,
            peer: format!("{:?}", self.replicas),
            reason,
        }
    }
}
