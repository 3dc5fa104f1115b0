//! `anvilbeam`, the command-line program for operators.

use {
    anvilbeam::{
        dev,
        operator::{self, Exit},
        options::{self, Command, Parsed},
    },
    std::{
        env,
        io::{self, Write},
        process::ExitCode,
    },
};

fn main() -> ExitCode {
    let args: Vec<_> = env::args_os()
        .skip(1)
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    ExitCode::from(run(&args) as u8)
}

fn run(args: &[String]) -> Exit {
    let options = match options::parse(args, |name| env::var(name).ok()) {
        Ok(Parsed::Run(options)) => options,
        Ok(Parsed::Print(text)) => {
            let result = io::stdout().write_all(text.as_bytes());
            return result.map_or(Exit::Failed, |()| Exit::Done);
        }
        Err(e) => {
            eprintln!("error: {e}\nnext: see anvilbeam --help");
            return Exit::Usage;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let (mut stdout, mut stderr) = (io::stdout(), io::stderr());
    match runtime {
        Ok(runtime) => match options.command {
            Command::Dev { check } => runtime.block_on(dev::run(check, &mut stdout, &mut stderr)),
            _ => runtime.block_on(operator::run(&options, &mut stdout, &mut stderr)),
        },
        Err(e) => {
            eprintln!(
                "error: cannot start the async runtime: {e}\nnext: check thread and file limits"
            );
            Exit::Failed
        }
    }
}
