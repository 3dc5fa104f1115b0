//! Validates the arguments of each command.

use {
    super::{
        Command, DEFAULT_WAIT, Edit, Files, MAX_EDIT_ID_BYTES, RolloutAction, invalid, parse_name,
        parse_value,
    },
    crate::{
        cli::{
            Command as CliCommand, ListCommand, ListFiles, MembersCommand, PutList, PutLists,
            RolloutCommand,
        },
        error::Result,
        lists::List,
        operator_api::RolloutRequest,
        rollouts::Order,
        settings::parse_duration,
    },
    std::{net::SocketAddr, path::PathBuf},
};

/// Validates a command and its options.
pub(super) fn check_command(command: CliCommand) -> Result<Command> {
    match command {
        CliCommand::Plans(cli) => check_list(List::Plans, cli.command),
        CliCommand::Grants(cli) => check_list(List::Grants, cli.command),
        CliCommand::Put(put) => check_put(put),
        CliCommand::Diff(files) => check_files(files).map(Command::Diff),
        CliCommand::Validate(files) => check_files(files).map(Command::Validate),
        CliCommand::Status(_) => Ok(Command::Status),
        CliCommand::Explain(cli) => Ok(Command::Explain {
            plan: parse_name("--plan", cli.plan)?,
            service: parse_name("--service", cli.service)?,
            daemon: parse_value("--daemon", cli.daemon, "ip:port")?,
        }),
        CliCommand::Members(cli) => check_members(cli.command),
        CliCommand::Rollout(cli) => check_rollout(cli.command).map(Command::Rollout),
        CliCommand::Dev(cli) => Ok(Command::Dev { check: cli.check }),
    }
}

fn check_list(list: List, command: Option<ListCommand>) -> Result<Command> {
    let Some(command) = command else {
        let reason = "is missing: get, put, diff or validate";
        return Err(invalid(&format!("{list} command"), reason));
    };
    match command {
        ListCommand::Get(_) => Ok(Command::Get(list)),
        ListCommand::Put(put) => {
            let PutList {
                help,
                file,
                base,
                edit_id,
                wait,
                timeout,
            } = put;
            let (plans, grants) = as_file_pair(list, file)?;
            check_put(PutLists {
                help,
                plans,
                grants,
                base,
                edit_id,
                wait,
                timeout,
            })
        }
        ListCommand::Diff(cli) => check_single_file(list, cli.file).map(Command::Diff),
        ListCommand::Validate(cli) => check_single_file(list, cli.file).map(Command::Validate),
    }
}

/// Returns `file` as a pair of plans file and grants file, of which the other is `None`.
fn as_file_pair(list: List, file: Option<String>) -> Result<(Option<String>, Option<String>)> {
    let file = Some(file.ok_or_else(|| invalid("FILE", "is missing"))?);
    Ok(match list {
        List::Plans => (file, None),
        List::Grants => (None, file),
    })
}

fn check_single_file(list: List, file: Option<String>) -> Result<Files> {
    let (plans, grants) = as_file_pair(list, file)?;
    check_files(ListFiles {
        help: false,
        plans,
        grants,
    })
}

fn check_files(files: ListFiles) -> Result<Files> {
    if files.plans.is_none() && files.grants.is_none() {
        return Err(invalid("--plans, --grants", "are missing; set one or both"));
    }
    Ok(Files {
        plans: files.plans.map(PathBuf::from),
        grants: files.grants.map(PathBuf::from),
    })
}

fn check_put(put: PutLists) -> Result<Command> {
    let files = check_files(ListFiles {
        help: false,
        plans: put.plans,
        grants: put.grants,
    })?;
    let base = put
        .base
        .map(|text| parse_value("--base", Some(text), "a version number"));
    if let Some(id) = put.edit_id.as_deref() {
        check_edit_id(id)?;
    }
    let max_wait = match put.timeout.as_deref() {
        None => DEFAULT_WAIT,
        Some(_) if !put.wait => return Err(invalid("--timeout", "needs --wait")),
        Some(text) => parse_duration(text).map_err(|reason| invalid("--timeout", reason))?,
    };
    Ok(Command::Put(Edit {
        files,
        base: base.transpose()?,
        edit_id: put.edit_id,
        wait: put.wait.then_some(max_wait),
    }))
}

fn check_edit_id(id: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if id.is_empty() || id.len() > MAX_EDIT_ID_BYTES || !id.bytes().all(allowed) {
        let reason = format!("{id:?} is not 1 to {MAX_EDIT_ID_BYTES} letters, digits, -, _ or .");
        return Err(invalid("--edit-id", reason));
    }
    Ok(())
}

fn check_members(command: Option<MembersCommand>) -> Result<Command> {
    let Some(command) = command else {
        return Err(invalid(
            "members command",
            "is missing: list, add or remove",
        ));
    };
    match command {
        MembersCommand::List(cli) => Ok(Command::MembersList {
            of: parse_group(cli.of)?,
        }),
        MembersCommand::Add(cli) => Ok(Command::MembersAdd {
            name: parse_name("NAME", cli.name)?,
            address: parse_value("ADDRESS", cli.address, "ip:port")?,
            of: parse_group(cli.of)?,
        }),
        MembersCommand::Remove(cli) => {
            let id = cli
                .id
                .map(|text| parse_value("--id", Some(text), "a number"));
            Ok(Command::MembersRemove {
                name: parse_name("NAME", cli.name)?,
                id: id.transpose()?,
                of: parse_group(cli.of)?,
            })
        }
    }
}

fn check_rollout(command: Option<RolloutCommand>) -> Result<RolloutAction> {
    let Some(command) = command else {
        let reason = "is missing: start, state or follow";
        return Err(invalid("rollout command", reason));
    };
    match command {
        RolloutCommand::Start(cli) => {
            let service = parse_name("SERVICE", cli.service)?;
            let version = cli
                .version
                .ok_or_else(|| invalid("VERSION", "is missing"))?;
            let duration = cli.duration.as_deref();
            let duration = duration.ok_or_else(|| invalid("--duration", "is missing"))?;
            let duration =
                parse_duration(duration).map_err(|reason| invalid("--duration", reason))?;
            let order = Order {
                service: service.as_str().into(),
                target: version.clone(),
                duration_ms: duration.as_millis() as u64,
            };
            order.check().map_err(|reason| invalid("rollout", reason))?;
            Ok(RolloutAction::Start(RolloutRequest {
                service,
                version,
                duration_ms: order.duration_ms,
            }))
        }
        RolloutCommand::State(cli) => Ok(RolloutAction::State {
            service: parse_name("SERVICE", cli.service)?,
        }),
        RolloutCommand::Follow(cli) => Ok(RolloutAction::Follow {
            service: parse_name("SERVICE", cli.service)?,
        }),
    }
}

/// Parses `--of`, the peer address of a replica of the group.
fn parse_group(of: Option<String>) -> Result<Option<SocketAddr>> {
    let address = of.map(|text| parse_value("--of", Some(text), "ip:port"));
    address.transpose()
}
