//! finchquayctl: the command line program for users of finchquay.

#![warn(missing_docs)]

mod ids;
mod jobfile;
mod output;

use clap::{CommandFactory, Parser, Subcommand};
use finchquay_client::{Client, ClientError};
use finchquay_protocol::user::Status;
use ids::{IdFile, IdFileError};
use output::{Format, JobLine};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Submits jobs to finchquay, shows their states, waits for them and cancels them.
///
/// Exit codes: 0 success; 1 the service could not be reached or did not answer in
/// time, or the file of job ids could not be accessed; 2 invalid arguments or an
/// invalid file, nothing was sent; 3 the service refused the request for good; 4 no
/// such job; 5 a job was cancelled while the program waited for it; 6 the time limit
/// of a wait was reached and the job continues.
#[derive(Parser)]
#[command(name = "finchquayctl", version, about)]
struct Args {
    /// Addresses of controllers, separated by commas.
    #[arg(long, env = "FINCHQUAY_CONTROLLERS", value_delimiter = ',', global = true, value_name = "ADDR,...")]
    controllers: Vec<SocketAddr>,
    /// Format in which results are printed.
    #[arg(long, value_enum, default_value_t = Format::Table, global = true)]
    output: Format,
    /// File that records the ids of submitted jobs [default: in the user's state directory].
    #[arg(long, env = "FINCHQUAY_IDS", global = true, value_name = "FILE")]
    ids: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Submit every job in a job file (HCL). Safe to repeat: a job keeps its id.
    Submit {
        /// Job file.
        file: PathBuf,
        /// Only check the file, send nothing.
        #[arg(long)]
        check: bool,
        /// Wait until every job is done or cancelled.
        #[arg(long)]
        wait: bool,
    },
    /// Show the state of a job.
    Status {
        /// Id of the job.
        id: String,
    },
    /// Wait until a job is done or cancelled.
    Wait {
        /// Id of the job.
        id: String,
        /// Stop waiting after this many seconds; the job continues.
        #[arg(long, value_name = "SECONDS")]
        limit: Option<f64>,
    },
    /// Cancel a job: its running tasks are stopped and no more tasks are started.
    #[command(name = "withdraw")]
    Cancel {
        /// Id of the job.
        id: String,
    },
    /// List the jobs that this user submitted.
    List {
        /// Ask the service for the state of each job and show it.
        #[arg(long)]
        states: bool,
    },
    /// Print the JSON Schema of job files.
    Schema,
    /// Print the completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: clap_complete::Shell,
    },
}

/// Why a command failed.
#[derive(Debug, Error)]
enum CtlError {
    /// The job file is unreadable or invalid.
    #[error(transparent)]
    JobFile(#[from] finchquay_hcl::HclError),
    /// The file of job ids is unreadable or invalid, or cannot be written.
    #[error(transparent)]
    IdFile(#[from] IdFileError),
    /// A call about a job failed.
    #[error("{uid}: {cause}")]
    Job { uid: String, cause: ClientError },
    /// The client could not be created.
    #[error("{0}")]
    Client(ClientError),
    /// An argument is missing or invalid.
    #[error("{0}")]
    Usage(String),
}

impl CtlError {
    /// The exit code of the program, see [`Args`].
    fn exit_code(&self) -> u8 {
        match self {
            CtlError::JobFile(_) | CtlError::Usage(_) | CtlError::IdFile(IdFileError::InvalidLine { .. }) => 2,
            CtlError::IdFile(_) => 1,
            CtlError::Job { cause, .. } | CtlError::Client(cause) => match cause {
                ClientError::Refused { .. } => 3,
                ClientError::NotFound => 4,
                ClientError::Unfinished(_) => 6,
                ClientError::InvalidJobId(_) | ClientError::NoControllers => 2,
                ClientError::RetriesExhausted { .. } | ClientError::Setup(_) => 1,
            },
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(args).await {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("finchquayctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// Runs a command and returns the exit code.
async fn run(args: Args) -> Result<u8, CtlError> {
    let client = || {
        if args.controllers.is_empty() {
            return Err(CtlError::Usage("no controller: give --controllers or set FINCHQUAY_CONTROLLERS".into()));
        }
        Client::new(args.controllers.iter().copied()).map_err(CtlError::Client)
    };
    let id_file = || IdFile::locate(args.ids.as_deref());
    let print = |lines: &[JobLine]| println!("{}", output::render(args.output, lines));
    let job_error = |uid: &str| {
        let uid = uid.to_string();
        move |cause| CtlError::Job { uid, cause }
    };
    match &args.command {
        Command::Submit { file, check, wait } => {
            let jobs = jobfile::read(file)?;
            if *check {
                println!("{}: {} job(s) are good", file.display(), jobs.len());
                return Ok(0);
            }
            let client = client()?;
            // The ids are on disk before anything is sent. If the process is interrupted,
            // submitting the file again repeats the same jobs.
            let jobs = id_file()?.assign_ids(file, jobs)?;
            let mut lines = Vec::new();
            for spec in &jobs {
                let state = client.submit(spec).await.map_err(job_error(&spec.uid))?;
                lines.push(JobLine::new(&spec.uid, Some(&spec.class), Some(&state)));
            }
            if *wait {
                lines.clear();
                for spec in &jobs {
                    let state = client.wait(&spec.uid, None).await.map_err(job_error(&spec.uid))?;
                    lines.push(JobLine::new(&spec.uid, Some(&spec.class), Some(&state)));
                }
            }
            print(&lines);
            Ok(exit_code_for(&lines))
        }
        Command::Status { id } => {
            let state = client()?.status(id).await.map_err(job_error(id))?;
            print(&[JobLine::new(id, None, Some(&state))]);
            Ok(0)
        }
        Command::Wait { id, limit } => {
            let limit = limit.map(Duration::try_from_secs_f64).transpose();
            let limit = limit.map_err(|error| CtlError::Usage(format!("--limit: {error}")))?;
            let state = client()?.wait(id, limit).await.map_err(job_error(id))?;
            let lines = [JobLine::new(id, None, Some(&state))];
            print(&lines);
            Ok(exit_code_for(&lines))
        }
        Command::Cancel { id } => {
            let state = client()?.cancel(id).await.map_err(job_error(id))?;
            print(&[JobLine::new(id, None, Some(&state))]);
            Ok(0)
        }
        Command::List { states } => {
            let client = if *states { Some(client()?) } else { None };
            let mut lines = Vec::new();
            for submission in id_file()?.submissions()? {
                let state = match &client {
                    Some(client) => match client.status(&submission.uid).await {
                        Ok(state) => Some(state),
                        Err(ClientError::NotFound) => None,
                        Err(error) => return Err(job_error(&submission.uid)(error)),
                    },
                    None => None,
                };
                lines.push(JobLine::new(&submission.uid, Some(&submission.class), state.as_ref()));
            }
            print(&lines);
            Ok(0)
        }
        Command::Schema => {
            println!("{}", jobfile::schema());
            Ok(0)
        }
        Command::Completions { shell } => {
            clap_complete::generate(*shell, &mut Args::command(), "finchquayctl", &mut std::io::stdout());
            Ok(0)
        }
    }
}

/// The exit code after the program has waited for jobs or submitted them.
fn exit_code_for(lines: &[JobLine]) -> u8 {
    if lines.iter().any(|line| line.status == Some(Status::Cancelled)) { 5 } else { 0 }
}
