//! Types of the operators' HTTP interface, shared by the control process and the command line.
//!
//! All requests carry `Authorization: Bearer TOKEN`. Errors have an [`ErrorAnswer`] as body: 401 for
//! a wrong token, 503 when the replica is not the leader or has no quorum.

use {
    crate::lists::Problem,
    serde::{Deserialize, Serialize},
};

/// `GET` gives [`ListsAnswer`].
pub const LISTS: &str = "/v1/lists";
/// `POST` of an [`EditRequest`] gives [`EditAnswer`], [`ConflictAnswer`] or [`ProblemsAnswer`].
pub const EDITS: &str = "/v1/edits";
/// `POST` of an [`EditRequest`] gives [`ValidateAnswer`]; changes nothing.
pub const VALIDATE: &str = "/v1/validate";
/// `GET` gives [`StatusAnswer`].
pub const STATUS: &str = "/v1/status";
/// `GET` gives [`MembersAnswer`], `POST` of a [`MemberRequest`] gives [`MembersAnswer`].
pub const MEMBERS: &str = "/v1/members";
/// `GET` with `plan` and `service` at a daemon's local port gives [`ExplainAnswer`].
pub const EXPLAIN: &str = "/v1/explain";

/// Both lists at the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListsAnswer {
    /// Version of the lists.
    pub version: u64,
    /// `plans.yaml`.
    pub plans: String,
    /// `grants.yaml`.
    pub grants: String,
}

/// An edit of one or both lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Names the edit; the same id is accepted once and answered the same way again.
    pub edit_id: String,
    /// Version that the edit was made from.
    pub base_version: u64,
    /// The new `plans.yaml`, or none to keep the current one.
    pub plans: Option<String>,
    /// The new `grants.yaml`, or none to keep the current one.
    pub grants: Option<String>,
}

/// 200: the edit is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// Version that the edit made.
    pub version: u64,
    /// Whether the edit had been accepted before.
    pub repeated: bool,
    /// Names that nobody has announced.
    pub warnings: Vec<Problem>,
}

/// 409: the base version is not the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictAnswer {
    /// Always `conflict`.
    pub error: String,
    /// Version to edit from.
    pub current_version: u64,
}

/// 422: the lists are not valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemsAnswer {
    /// Always `invalid`.
    pub error: String,
    /// All problems found.
    pub problems: Vec<Problem>,
}

/// Answer to a validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidateAnswer {
    /// Values that would be refused.
    pub problems: Vec<Problem>,
    /// Names that nobody has announced.
    pub warnings: Vec<Problem>,
}

/// State of the control group and of the distribution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Version accepted last.
    pub version: u64,
    /// Name of the leader.
    pub leader: Option<String>,
    /// Replicas of the config group.
    pub members: Vec<Member>,
    /// Data centres with their daemons.
    pub data_centres: Vec<DataCentreStatus>,
}

/// Distribution within one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Daemons that report.
    pub daemons: u32,
    /// Lowest version in force.
    pub in_force_min: u64,
    /// Highest version in force.
    pub in_force_max: u64,
    /// Daemons below the current version.
    pub lagging: Vec<Lagging>,
}

/// A daemon below the current version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// Name of the daemon.
    pub daemon: String,
    /// Version that it has in force.
    pub version: u64,
    /// Why it is behind, as far as it reports.
    pub reason: String,
}

/// One replica of a control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name from its settings.
    pub name: String,
    /// Peer address.
    pub address: String,
    /// Identity; a replica with an empty disk gets a new one.
    pub id: u64,
    /// Whether it votes; a learner does not.
    pub voter: bool,
}

/// Members of the config group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersAnswer {
    /// Name of the leader.
    pub leader: Option<String>,
    /// All replicas, learners included.
    pub members: Vec<Member>,
}

/// What to do with a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberAction {
    /// Adds a learner, which votes once it has caught up.
    Add,
    /// Removes a replica for good.
    Remove,
}

/// One membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberRequest {
    /// Add or remove.
    pub action: MemberAction,
    /// Name of the replica.
    pub name: String,
    /// Peer address; needed to add.
    pub address: Option<String>,
    /// Identity; names which replica of that name is meant.
    pub id: Option<u64>,
    /// Peer address of a replica of the group that is meant; the config group without it.
    #[serde(default)]
    pub of: Option<String>,
}

/// How a daemon would route a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// `routed` or `refused`.
    pub decision: String,
    /// The deciding fact.
    pub reason: String,
    /// Version in force at the daemon.
    #[serde(default)]
    pub version: u64,
    /// The grant, if the plan has one for the service.
    pub grant: Option<ExplainGrant>,
    /// Backend servers that were considered.
    pub candidates: Vec<Candidate>,
}

/// The grant that decides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainGrant {
    /// Backend servers it names; empty means all.
    pub servers: Vec<String>,
    /// Calls per second over the whole mesh.
    pub capacity: u32,
    /// Rank.
    pub rank: String,
}

/// A backend server that was considered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the backend server.
    pub server: String,
    /// Its data centre.
    pub data_centre: String,
    /// Whether a call could go there now.
    pub usable: bool,
    /// Why, or why not.
    pub reason: String,
}

/// Body of any other error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// Short code, such as `unauthorized` or `not-leader`.
    pub error: String,
    /// Text for the operator.
    pub reason: String,
    /// Operator address of the leader, when known.
    #[serde(default)]
    pub leader: Option<String>,
}
