//! Unvalidated command-line options of all programs; [`crate::options`] validates those of
//! `anvilbeam`.

use gumdrop::Options;

/// Text at the end of `anvilbeam --help`.
pub const HELP_FOOTER: &str = "\
--control, --token-file and --output may be given before or after the command.

Environment:
  ANVILBEAM_CONTROL  used when --control is absent
  ANVILBEAM_TOKEN    the token itself, used when --token-file is absent

Results go to standard output, all other text to standard error.

Exit codes:
  0  done
  1  failed
  2  wrong options
  3  conflict: the lists changed since the base version
  4  a list is not valid
  5  no control replica can be reached
  6  accepted, but not in force everywhere in time";

/// Shows and edits the plans and grants of a service mesh.
#[derive(Debug, Default, Options)]
pub struct Cli {
    /// print this help, or the help of a command
    pub help: bool,
    /// print the version
    #[options(short = "V")]
    pub version: bool,
    /// operator addresses of the control replicas, tried in turn
    #[options(no_short, meta = "ADDR[,ADDR]")]
    pub control: Option<String>,
    /// file that holds the operator's token
    #[options(no_short, meta = "FILE")]
    pub token_file: Option<String>,
    /// form of results: table (default) or json
    #[options(no_short, meta = "FORM")]
    pub output: Option<String>,
    /// the command
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of `anvilbeam`.
#[derive(Debug, Options)]
pub enum Command {
    /// show, compare, validate or replace the plans
    Plans(ListCli),
    /// show, compare, validate or replace the grants
    Grants(ListCli),
    /// replace one or both lists in one edit
    Put(PutLists),
    /// compare files with the lists in force
    Diff(ListFiles),
    /// validate files without an edit
    Validate(ListFiles),
    /// show versions, leader and where the current version is in force
    Status(NoOptions),
    /// show how a daemon would route a call
    Explain(Explain),
    /// show or change the replicas of the config group
    Members(MembersCli),
    /// introduce a new version of a service's software
    Rollout(RolloutCli),
    /// run all roles with stand-in backend servers in this process
    Dev(Dev),
}

/// Shows, compares, validates or replaces one list.
#[derive(Debug, Default, Options)]
pub struct ListCli {
    /// print this help
    pub help: bool,
    /// what to do with the list
    #[options(command)]
    pub command: Option<ListCommand>,
}

/// What to do with one list.
#[derive(Debug, Options)]
pub enum ListCommand {
    /// print the list; the first line names its version
    Get(NoOptions),
    /// replace the list with a file
    Put(PutList),
    /// compare a file with the list
    Diff(SingleFile),
    /// validate a file without an edit
    Validate(SingleFile),
}

/// Takes no options of its own.
#[derive(Debug, Default, Options)]
pub struct NoOptions {
    /// print this help
    pub help: bool,
}

/// Compares or validates one file; the other list stays as it is.
#[derive(Debug, Default, Options)]
pub struct SingleFile {
    /// print this help
    pub help: bool,
    /// the YAML file
    #[options(free)]
    pub file: Option<String>,
}

/// Compares or validates one or both lists as one whole.
#[derive(Debug, Default, Options)]
pub struct ListFiles {
    /// print this help
    pub help: bool,
    /// file with the plans; default: the current plans
    #[options(no_short, meta = "FILE")]
    pub plans: Option<String>,
    /// file with the grants; default: the current grants
    #[options(no_short, meta = "FILE")]
    pub grants: Option<String>,
}

/// Replaces one list with a file; the other list stays as it is.
#[derive(Debug, Default, Options)]
pub struct PutList {
    /// print this help
    pub help: bool,
    /// the YAML file
    #[options(free)]
    pub file: Option<String>,
    /// version that the file was made from; default: the first line of a file written by get
    #[options(no_short, meta = "VERSION")]
    pub base: Option<String>,
    /// id of the edit; an edit sent again with the same id is applied only once; default: random
    #[options(no_short, meta = "ID")]
    pub edit_id: Option<String>,
    /// wait until the version is in force everywhere
    #[options(no_short)]
    pub wait: bool,
    /// longest wait, such as 30s (default)
    #[options(no_short, meta = "TIME")]
    pub timeout: Option<String>,
}

/// Replaces one or both lists in one edit, which is accepted as a whole or not at all.
#[derive(Debug, Default, Options)]
pub struct PutLists {
    /// print this help
    pub help: bool,
    /// file with the new plans
    #[options(no_short, meta = "FILE")]
    pub plans: Option<String>,
    /// file with the new grants
    #[options(no_short, meta = "FILE")]
    pub grants: Option<String>,
    /// version that the files were made from; default: the first line of files written by get
    #[options(no_short, meta = "VERSION")]
    pub base: Option<String>,
    /// id of the edit; an edit sent again with the same id is applied only once; default: random
    #[options(no_short, meta = "ID")]
    pub edit_id: Option<String>,
    /// wait until the version is in force everywhere
    #[options(no_short)]
    pub wait: bool,
    /// longest wait, such as 30s (default)
    #[options(no_short, meta = "TIME")]
    pub timeout: Option<String>,
}

/// Shows how a daemon would route a call now, and why.
#[derive(Debug, Default, Options)]
pub struct Explain {
    /// print this help
    pub help: bool,
    /// plan of the caller
    #[options(no_short, meta = "NAME")]
    pub plan: Option<String>,
    /// service to call
    #[options(no_short, meta = "NAME")]
    pub service: Option<String>,
    /// local address of the daemon to ask
    #[options(no_short, meta = "ADDR")]
    pub daemon: Option<String>,
}

/// Shows or changes the replicas of the config group, one change at a time.
#[derive(Debug, Default, Options)]
pub struct MembersCli {
    /// print this help
    pub help: bool,
    /// what to do with the members
    #[options(command)]
    pub command: Option<MembersCommand>,
}

/// What to do with the members.
#[derive(Debug, Options)]
pub enum MembersCommand {
    /// show the replicas
    List(ListMembers),
    /// add a replica as a learner; it votes once it has caught up
    Add(AddMember),
    /// remove a replica for good
    Remove(RemoveMember),
}

/// Shows the replicas of a group.
#[derive(Debug, Default, Options)]
pub struct ListMembers {
    /// print this help
    pub help: bool,
    /// peer address of a replica of a claims group, to select that group; default: the config group
    #[options(no_short, meta = "ADDR")]
    pub of: Option<String>,
}

/// Adds a replica as a learner, which votes once it has caught up.
#[derive(Debug, Default, Options)]
pub struct AddMember {
    /// print this help
    pub help: bool,
    /// name from the settings of the replica
    #[options(free)]
    pub name: Option<String>,
    /// peer address of the replica
    #[options(free)]
    pub address: Option<String>,
    /// peer address of a replica of a claims group, to select that group; default: the config group
    #[options(no_short, meta = "ADDR")]
    pub of: Option<String>,
}

/// Removes a replica for good; its disk cannot join again.
#[derive(Debug, Default, Options)]
pub struct RemoveMember {
    /// print this help
    pub help: bool,
    /// name of the replica
    #[options(free)]
    pub name: Option<String>,
    /// id of the replica; needed when two replicas have had the name
    #[options(no_short, meta = "ID")]
    pub id: Option<String>,
    /// peer address of a replica of a claims group, to select that group; default: the config group
    #[options(no_short, meta = "ADDR")]
    pub of: Option<String>,
}

/// Introduces a new version of a service's software, which is kept if it is as good as the old one.
#[derive(Debug, Default, Options)]
pub struct RolloutCli {
    /// print this help
    pub help: bool,
    /// what to do with the rollout
    #[options(command)]
    pub command: Option<RolloutCommand>,
}

/// What to do with the rollout of a service.
#[derive(Debug, Options)]
pub enum RolloutCommand {
    /// order a rollout; sent again, it is acknowledged again
    Start(StartRollout),
    /// show the state of the running rollout, or of the last one
    State(OneService),
    /// show the progress until the rollout has ended
    Follow(OneService),
}

/// Orders a rollout.
#[derive(Debug, Default, Options)]
pub struct StartRollout {
    /// print this help
    pub help: bool,
    /// service whose version changes
    #[options(free)]
    pub service: Option<String>,
    /// name of the new version, as its servers report it
    #[options(free)]
    pub version: Option<String>,
    /// time until the deadline, such as 15s
    #[options(no_short, meta = "TIME")]
    pub duration: Option<String>,
}

/// Names one service.
#[derive(Debug, Default, Options)]
pub struct OneService {
    /// print this help
    pub help: bool,
    /// the service
    #[options(free)]
    pub service: Option<String>,
}

/// Runs all roles with stand-in backend servers on loopback, in this process.
#[derive(Debug, Default, Options)]
pub struct Dev {
    /// print this help
    pub help: bool,
    /// make a few calls and edits, check the answers, and stop
    #[options(no_short)]
    pub check: bool,
}

/// Options of `anvilbeam-control` and `anvilbeam-daemon`.
#[derive(Debug, Default, Options)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one flag of the command line"
)]
pub struct ProgramCli {
    /// print this help
    pub help: bool,
    /// print the version
    #[options(short = "V")]
    pub version: bool,
    /// settings file
    #[options(meta = "FILE")]
    pub settings: Option<String>,
    /// only check the settings file
    #[options(no_short)]
    pub check: bool,
    /// create the group with the replicas that the settings list; only for the first start of a
    /// control replica
    #[options(no_short)]
    pub bootstrap: bool,
    /// file with the mesh token, when the settings hold none
    #[options(no_short, meta = "FILE")]
    pub token_file: Option<String>,
}
