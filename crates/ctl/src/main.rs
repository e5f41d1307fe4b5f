//! finchquayctl: the command line of finchquay's users.

mod ids;
mod jobfile;
mod output;

use clap::{CommandFactory, Parser, Subcommand};
use finchquay_client::{Client, ClientError};
use finchquay_protocol::user::Status;
use ids::{Ids, IdsError};
use output::{Format, JobLine};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;

/// Submits jobs to finchquay, follows and cancels them.
///
/// Exit codes: 0 done as asked; 1 the service could not be reached or gave no
/// answer in time; 2 bad arguments or a bad file, nothing was sent; 3 the
/// service refused for good; 4 no such job; 5 the job was cancelled while it
/// was waited for; 6 the time to wait is over and the job goes on.
#[derive(Parser)]
#[command(name = "finchquayctl", version, about)]
struct Args {
    /// Addresses of controllers, separated by commas.
    #[arg(long, env = "FINCHQUAY_CONTROLLERS", value_delimiter = ',', global = true, value_name = "ADDR,...")]
    controllers: Vec<SocketAddr>,
    /// How results are written.
    #[arg(long, value_enum, default_value_t = Format::Table, global = true)]
    output: Format,
    /// Where the ids of submitted jobs are noted [default: in the user's state folder].
    #[arg(long, env = "FINCHQUAY_IDS", global = true, value_name = "FILE")]
    ids: Option<PathBuf>,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Submit every job of a job file (HCL). Safe to repeat: a job keeps its id.
    Submit {
        file: PathBuf,
        /// Read and judge the file, send nothing.
        #[arg(long)]
        check: bool,
        /// Wait for the end of every job.
        #[arg(long)]
        wait: bool,
    },
    /// Show the state of a job.
    Status { id: String },
    /// Wait until a job is done or cancelled.
    Wait {
        id: String,
        /// Give up waiting after this many seconds; the job goes on.
        #[arg(long, value_name = "SECONDS")]
        limit: Option<f64>,
    },
    /// Cancel a job: none of its tasks starts any more and those that run are stopped.
    #[command(name = "withdraw")]
    Cancel { id: String },
    /// List the jobs that this user submitted.
    List {
        /// Ask the service for the state of each.
        #[arg(long)]
        states: bool,
    },
    /// Print the JSON Schema of job files.
    Schema,
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Debug, Error)]
enum CtlError {
    #[error(transparent)]
    File(#[from] finchquay_hcl::HclError),
    #[error(transparent)]
    Ids(#[from] IdsError),
    #[error("{uid}: {cause}")]
    Job { uid: String, cause: ClientError },
    #[error("{0}")]
    Client(ClientError),
    #[error("{0}")]
    Usage(String),
}

impl CtlError {
    fn code(&self) -> u8 {
        match self {
            CtlError::File(_) | CtlError::Usage(_) | CtlError::Ids(IdsError::Spoilt { .. }) => 2,
            CtlError::Ids(_) => 1,
            CtlError::Job { cause, .. } | CtlError::Client(cause) => match cause {
                ClientError::Refused { .. } => 3,
                ClientError::NotFound => 4,
                ClientError::Unfinished(_) => 6,
                ClientError::BadUid(_) | ClientError::NoAddress => 2,
                ClientError::Exhausted { .. } | ClientError::Setup(_) => 1,
            },
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = Args::parse();
    match run(args).await {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("finchquayctl: {e}");
            ExitCode::from(e.code())
        }
    }
}

/// Carries out one command; the number is the exit code.
async fn run(args: Args) -> Result<u8, CtlError> {
    let client = || {
        if args.controllers.is_empty() {
            return Err(CtlError::Usage("no controller: give --controllers or set FINCHQUAY_CONTROLLERS".into()));
        }
        Client::new(args.controllers.iter().copied()).map_err(CtlError::Client)
    };
    let ids = || Ids::open(args.ids.as_deref());
    let show = |lines: &[JobLine]| println!("{}", output::render(args.output, lines));
    let about = |uid: &str| {
        let uid = uid.to_string();
        move |cause| CtlError::Job { uid, cause }
    };
    match &args.verb {
        Verb::Submit { file, check, wait } => {
            let jobs = jobfile::read(file)?;
            if *check {
                println!("{}: {} job(s) are good", file.display(), jobs.len());
                return Ok(0);
            }
            let client = client()?;
            // The id is on disk before anything is sent: whatever happens to
            // this process, submitting the file again repeats the same job.
            let jobs = ids()?.assign(file, jobs)?;
            let mut lines = Vec::new();
            for spec in &jobs {
                let state = client.submit(spec).await.map_err(about(&spec.uid))?;
                lines.push(JobLine::of(&spec.uid, Some(&spec.class), Some(&state)));
            }
            if *wait {
                lines.clear();
                for spec in &jobs {
                    let state = client.wait(&spec.uid, None).await.map_err(about(&spec.uid))?;
                    lines.push(JobLine::of(&spec.uid, Some(&spec.class), Some(&state)));
                }
            }
            show(&lines);
            Ok(ended(&lines))
        }
        Verb::Status { id } => {
            let state = client()?.status(id).await.map_err(about(id))?;
            show(&[JobLine::of(id, None, Some(&state))]);
            Ok(0)
        }
        Verb::Wait { id, limit } => {
            let limit = limit.map(Duration::try_from_secs_f64).transpose();
            let limit = limit.map_err(|e| CtlError::Usage(format!("--limit: {e}")))?;
            let state = client()?.wait(id, limit).await.map_err(about(id))?;
            let lines = [JobLine::of(id, None, Some(&state))];
            show(&lines);
            Ok(ended(&lines))
        }
        Verb::Cancel { id } => {
            let state = client()?.cancel(id).await.map_err(about(id))?;
            show(&[JobLine::of(id, None, Some(&state))]);
            Ok(0)
        }
        Verb::List { states } => {
            let client = if *states { Some(client()?) } else { None };
            let mut lines = Vec::new();
            for noted in ids()?.list()? {
                let state = match &client {
                    Some(c) => match c.status(&noted.uid).await {
                        Ok(s) => Some(s),
                        Err(ClientError::NotFound) => None,
                        Err(e) => return Err(about(&noted.uid)(e)),
                    },
                    None => None,
                };
                lines.push(JobLine::of(&noted.uid, Some(&noted.class), state.as_ref()));
            }
            show(&lines);
            Ok(0)
        }
        Verb::Schema => {
            println!("{}", jobfile::schema());
            Ok(0)
        }
        Verb::Completions { shell } => {
            clap_complete::generate(*shell, &mut Args::command(), "finchquayctl", &mut std::io::stdout());
            Ok(0)
        }
    }
}

/// The exit code for jobs that were waited for.
fn ended(lines: &[JobLine]) -> u8 {
    if lines.iter().any(|l| l.status == Some(Status::Cancelled)) { 5 } else { 0 }
}
