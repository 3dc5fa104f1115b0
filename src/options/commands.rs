//! Checks each command.

use {
    super::{Command, DEFAULT_WAIT, Edit, Files, MAX_EDIT_ID, invalid, name, value},
    crate::{
        cli::{Command as CliCommand, FilesBoth, ListCommand, MembersCommand, PutBoth, PutOne},
        error::Result,
        lists::List,
        settings::parse_duration,
    },
    std::{net::SocketAddr, path::PathBuf},
};

pub(super) fn check_command(command: CliCommand) -> Result<Command> {
    match command {
        CliCommand::Plans(cli) => check_list(List::Plans, cli.command),
        CliCommand::Grants(cli) => check_list(List::Grants, cli.command),
        CliCommand::Put(put) => check_put(put),
        CliCommand::Diff(files) => check_files(files).map(Command::Diff),
        CliCommand::Validate(files) => check_files(files).map(Command::Validate),
        CliCommand::Status(_) => Ok(Command::Status),
        CliCommand::Explain(cli) => Ok(Command::Explain {
            plan: name("--plan", cli.plan)?,
            service: name("--service", cli.service)?,
            daemon: value("--daemon", cli.daemon, "ip:port")?,
        }),
        CliCommand::Members(cli) => check_members(cli.command),
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
            let PutOne {
                help,
                file,
                base,
                edit_id,
                wait,
                timeout,
            } = put;
            let (plans, grants) = one(list, file)?;
            check_put(PutBoth {
                help,
                plans,
                grants,
                base,
                edit_id,
                wait,
                timeout,
            })
        }
        ListCommand::Diff(cli) => one_file(list, cli.file).map(Command::Diff),
        ListCommand::Validate(cli) => one_file(list, cli.file).map(Command::Validate),
    }
}

/// `file` as the pair of plans and grants.
fn one(list: List, file: Option<String>) -> Result<(Option<String>, Option<String>)> {
    let file = Some(file.ok_or_else(|| invalid("FILE", "is missing"))?);
    Ok(match list {
        List::Plans => (file, None),
        List::Grants => (None, file),
    })
}

fn one_file(list: List, file: Option<String>) -> Result<Files> {
    let (plans, grants) = one(list, file)?;
    check_files(FilesBoth {
        help: false,
        plans,
        grants,
    })
}

fn check_files(files: FilesBoth) -> Result<Files> {
    if files.plans.is_none() && files.grants.is_none() {
        return Err(invalid("--plans, --grants", "are missing; set one or both"));
    }
    Ok(Files {
        plans: files.plans.map(PathBuf::from),
        grants: files.grants.map(PathBuf::from),
    })
}

fn check_put(put: PutBoth) -> Result<Command> {
    let files = check_files(FilesBoth {
        help: false,
        plans: put.plans,
        grants: put.grants,
    })?;
    let base = put
        .base
        .map(|text| value("--base", Some(text), "a version number"));
    if let Some(id) = put.edit_id.as_deref() {
        check_edit_id(id)?;
    }
    let limit = match put.timeout.as_deref() {
        None => DEFAULT_WAIT,
        Some(_) if !put.wait => return Err(invalid("--timeout", "needs --wait")),
        Some(text) => parse_duration(text).map_err(|reason| invalid("--timeout", reason))?,
    };
    Ok(Command::Put(Edit {
        files,
        base: base.transpose()?,
        edit_id: put.edit_id,
        wait: put.wait.then_some(limit),
    }))
}

fn check_edit_id(id: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if id.is_empty() || id.len() > MAX_EDIT_ID || !id.bytes().all(allowed) {
        let reason = format!("{id:?} is not 1 to {MAX_EDIT_ID} letters, digits, -, _ or .");
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
        MembersCommand::List(cli) => Ok(Command::MembersList { of: group(cli.of)? }),
        MembersCommand::Add(cli) => Ok(Command::MembersAdd {
            name: name("NAME", cli.name)?,
            address: value("ADDRESS", cli.address, "ip:port")?,
            of: group(cli.of)?,
        }),
        MembersCommand::Remove(cli) => {
            let id = cli.id.map(|text| value("--id", Some(text), "a number"));
            Ok(Command::MembersRemove {
                name: name("NAME", cli.name)?,
                id: id.transpose()?,
                of: group(cli.of)?,
            })
        }
    }
}

/// The group that `--of` names.
fn group(of: Option<String>) -> Result<Option<SocketAddr>> {
    let address = of.map(|text| value("--of", Some(text), "ip:port"));
    address.transpose()
}
