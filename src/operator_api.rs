//! Paths and bodies of the operators' HTTP interface, shared by the control process and the command
//! line.
//!
//! Requests to control replicas carry `Authorization: Bearer TOKEN`. The body of an error is an
//! [`ErrorResponse`]: status 401 for an unknown token, 503 if the replica is not the leader or has no
//! quorum.

use {
    crate::lists::Problem,
    serde::{Deserialize, Serialize},
};

/// `GET` returns [`ListsResponse`].
pub const LISTS: &str = "/v1/lists";
/// `POST` of an [`EditRequest`] returns [`EditResponse`], [`ConflictResponse`] or [`ProblemsResponse`].
pub const EDITS: &str = "/v1/edits";
/// `POST` of an [`EditRequest`] returns [`ValidateResponse`] and changes nothing.
pub const VALIDATE: &str = "/v1/validate";
/// `GET` returns [`StatusResponse`].
pub const STATUS: &str = "/v1/status";
/// `GET`, and `POST` of a [`MemberRequest`], return [`MembersResponse`].
pub const MEMBERS: &str = "/v1/members";
/// `POST` of a [`RolloutRequest`], and `GET` with the query `service`, return [`RolloutResponse`].
pub const ROLLOUTS: &str = "/v1/rollouts";
/// `GET` with the query `plan` and `service` at a daemon's local port returns [`ExplainResponse`].
pub const EXPLAIN: &str = "/v1/explain";

/// Both lists at the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListsResponse {
    /// Version of the lists.
    pub version: u64,
    /// Text of `plans.yaml`.
    pub plans: String,
    /// Text of `grants.yaml`.
    pub grants: String,
}

/// An edit of one or both lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Id of the edit. An edit with the same id is accepted at most once; a resend returns the
    /// version that it created.
    pub edit_id: String,
    /// Version on which the edit is based; it must be current.
    pub base_version: u64,
    /// Text of the new `plans.yaml`; `None` keeps the current plans.
    pub plans: Option<String>,
    /// Text of the new `grants.yaml`; `None` keeps the current grants.
    pub grants: Option<String>,
}

/// Status 200: the edit is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditResponse {
    /// Version that the edit created.
    pub version: u64,
    /// Whether an edit with the same id was accepted before.
    pub repeated: bool,
    /// Services and backend servers in the grants that are not announced.
    pub warnings: Vec<Problem>,
}

/// Status 409: the base version is not current.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictResponse {
    /// Always `conflict`.
    pub error: String,
    /// The current version.
    pub current_version: u64,
}

/// Status 422: the lists are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemsResponse {
    /// Always `invalid`.
    pub error: String,
    /// Problems in the lists.
    pub problems: Vec<Problem>,
}

/// Result of a validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidateResponse {
    /// Problems for which an edit would be refused.
    pub problems: Vec<Problem>,
    /// Services and backend servers in the grants that are not announced.
    pub warnings: Vec<Problem>,
}

/// State of the config group and of the distribution of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The current version.
    pub version: u64,
    /// Name of the leader; `None` if there is none.
    pub leader: Option<String>,
    /// Replicas of the config group.
    pub members: Vec<Member>,
    /// Distribution within each data centre.
    pub data_centres: Vec<DataCentreStatus>,
}

/// Versions that the daemons of one data centre have in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Number of daemons that report.
    pub daemons: u32,
    /// Lowest version in force at a daemon; 0 while a daemon has none.
    pub in_force_min: u64,
    /// Highest version in force at a daemon.
    pub in_force_max: u64,
    /// Daemons that reported why they may lag, those with the lowest versions first; at most
    /// [`crate::relays::MAX_LAGGING`].
    pub lagging: Vec<Lagging>,
}

/// A daemon that may have an older version than the current one in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Name of the daemon.
    pub daemon: String,
    /// Version in force; 0 for none.
    pub version: u64,
    /// Reason that the daemon reports for the delay.
    pub reason: String,
}

/// One replica of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name from its settings.
    pub name: String,
    /// Peer address.
    pub address: String,
    /// Id; a replica that starts with an empty disk gets a new one.
    pub id: u64,
    /// Whether it is a voter; otherwise it is a learner.
    pub voter: bool,
}

/// Members of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersResponse {
    /// Name of the leader; `None` if there is none.
    pub leader: Option<String>,
    /// Voters and learners.
    pub members: Vec<Member>,
}

/// Kind of a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberAction {
    /// Adds a learner, which becomes a voter once it has caught up.
    Add,
    /// Removes a replica permanently.
    Remove,
}

/// One membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// Kind of the change.
    pub action: MemberAction,
    /// Name of the replica.
    pub name: String,
    /// Peer address; required to add, `None` to remove.
    pub address: Option<String>,
    /// Id, which selects one of several replicas with the same name; `None` if the name suffices.
    pub id: Option<u64>,
    /// Peer address of any replica of the group to change; `None` means the config group.
    #[serde(default)]
    pub of: Option<String>,
}

/// How a daemon would route a call now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// `routed` or `refused`.
    pub decision: String,
    /// Reason for the decision.
    pub reason: String,
    /// Version in force at the daemon.
    #[serde(default)]
    pub version: u64,
    /// Grant of the plan for the service; `None` if there is none.
    pub grant: Option<ExplainGrant>,
    /// Backend servers that were considered.
    pub candidates: Vec<Candidate>,
}

/// Grant that applies to the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainGrant {
    /// Backend servers that may receive the call; empty means all of the service.
    pub servers: Vec<String>,
    /// Maximum rate in calls per second over the whole mesh; 0 means no limit.
    pub capacity: u32,
    /// Priority in admission under load.
    pub rank: String,
}

/// A backend server that the daemon considered for the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the backend server.
    pub server: String,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// Whether it can receive a call now.
    pub usable: bool,
    /// Why it is usable or not.
    pub reason: String,
}

/// Body of all other errors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Error code, such as `unauthorized` or `not-leader`.
    pub error: String,
    /// Description of the error.
    pub reason: String,
    /// Operator address of the leader; `None` if unknown.
    #[serde(default)]
    pub leader: Option<String>,
}

/// An order of a rollout. Sent again, it is acknowledged again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutRequest {
    /// Service whose version changes.
    pub service: String,
    /// Name of the new version.
    pub version: String,
    /// Time until the deadline in milliseconds.
    pub duration_ms: u64,
}

/// State of the running rollout of a service, or else of its last one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutResponse {
    /// The service.
    pub service: String,
    /// Name of the new version.
    pub version: String,
    /// `running`, `succeeded` or `rolled_back`.
    pub state: String,
    /// Deadline, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Share of the calls that may use the new version, in percent.
    pub share_percent: u32,
    /// What the share depends on next; empty unless the rollout is running.
    pub progress: String,
}
