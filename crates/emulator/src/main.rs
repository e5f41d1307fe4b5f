//! The command line of the emulator, which runs a whole cluster on one machine with load
//! and faults.

use clap::{Args as ClapArgs, Parser, Subcommand};
use finchquay_emulator::cluster::ClusterError;
use finchquay_emulator::history::{self, HistoryError, HistoryLine, LineCallback};
use finchquay_emulator::report::{self, Report};
use finchquay_emulator::run::{self, Options, Outcome, RunError};
use finchquay_emulator::scenario::Scenario;
use finchquay_emulator::state::{machine::Limits, probe, service as state};
use finchquay_emulator::suite::{self, Expectation, SuiteScenario};
use finchquay_emulator::view::Model;
use finchquay_emulator::{checker, cluster, lock};
use finchquay_hcl::HclError;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;

/// Time between two summaries in the plain output.
const SUMMARY_INTERVAL_S: f64 = 5.0;
/// Longest time for which a state service is measured.
const MAX_PROBE_TIME: Duration = Duration::from_secs(60);

/// Runs finchquay on one machine: real controllers with an emulated cloud, state service and
/// machines, under load and faults. The history of every run is checked afterwards. All
/// addresses are loopback addresses.
///
/// Exit codes: 0: no rule was broken; 1: a rule was broken or the run failed; 2: invalid
/// arguments, an invalid file, an address in use or no controller program.
#[derive(Parser)]
#[command(name = "finchquay-emulator", version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

/// Arguments of all commands that run controllers.
#[derive(ClapArgs)]
struct CommonArgs {
    /// Controller program [default: finchquay in the directory of this program].
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Seed of the load and the faults [default: that of the scenario].
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a whole cluster with a sample load until Ctrl-C.
    Up {
        #[command(flatten)]
        common: CommonArgs,
        /// Run this scenario instead of the sample.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// Keep the state in this directory, where a later `up` continues from it.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// Port for users, both of the entry point at 127.0.0.1 and of each controller.
        #[arg(long, default_value_t = 8080)]
        port: u16,
        /// Print plain lines even on a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Run a scenario and write its history and a report.
    Run {
        /// Scenario file.
        scenario: PathBuf,
        #[command(flatten)]
        common: CommonArgs,
        /// Directory for the history, the report, settings and logs.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Run the scenarios that are built into the program, several at a time.
    Suite {
        #[command(flatten)]
        common: CommonArgs,
        /// Names of the scenarios to run [default: all].
        names: Vec<String>,
        /// Scenarios that run at a time.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Directory for the results, with one subdirectory for each scenario.
        #[arg(long, value_name = "DIR", default_value = "emulator-suite")]
        out: PathBuf,
    },
    /// Check a history, or those of several runs in one directory, given in their order.
    Check {
        /// History files.
        #[arg(required = true)]
        history: Vec<PathBuf>,
    },
    /// Write the report on a history again.
    Report {
        /// History file.
        history: PathBuf,
        /// Directory for the report.
        #[arg(long, value_name = "DIR", default_value = ".")]
        out: PathBuf,
    },
    /// Print the figures of two reports side by side.
    Compare {
        /// First report (JSON).
        a: PathBuf,
        /// Second report (JSON).
        b: PathBuf,
    },
    /// Run only the emulated state service.
    State {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:2379")]
        listen: SocketAddr,
        /// File that holds the state.
        file: PathBuf,
        /// Sync every write to disk.
        #[arg(long)]
        fsync: bool,
    },
    /// Measure a state service: transactions per second and their latency.
    Probe {
        /// Loopback address of the state service.
        address: SocketAddr,
        /// Connections to use at once.
        #[arg(long, default_value_t = 32)]
        connections: usize,
        /// How long to measure, at most 60 s.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
}

/// Why a command failed.
#[derive(Debug, Error)]
enum MainError {
    #[error(transparent)]
    Scenario(#[from] HclError),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error("{}: {cause}", file.display())]
    File { file: PathBuf, cause: std::io::Error },
    #[error("{}: not a report: {cause}", file.display())]
    Report { file: PathBuf, cause: serde_json::Error },
    #[error("{0}")]
    Usage(String),
}

impl MainError {
    fn exit_code(&self) -> u8 {
        match self {
            MainError::Scenario(_) | MainError::Usage(_) | MainError::Report { .. } => 2,
            MainError::Run(RunError::Cluster(_)) => 2,
            MainError::History(_) | MainError::File { .. } => 2,
            MainError::Run(_) => 1,
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("finchquay-emulator: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(run_command(args.command));
    runtime.shutdown_timeout(Duration::from_secs(1));
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("finchquay-emulator: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

async fn run_command(command: Command) -> Result<ExitCode, MainError> {
    match command {
        Command::Up { common, scenario, keep, port, plain } => up(common, scenario, keep, port, plain).await,
        Command::Run { scenario, common, out } => {
            let scenario = Scenario::read(&scenario)?;
            let dir = unused_directory(out, &scenario.name)?;
            let model = Arc::new(Mutex::new(Model::default()));
            let line_callback = plain_line_callback(model);
            let options = run_options(scenario, &common, dir.clone(), None, Some(line_callback))?;
            let outcome = run::play(options, termination_signal()).await?;
            let report = save_report(&dir, &outcome)?;
            print!("{}", report::text(&report));
            println!("{}, {}", outcome.history.display(), dir.join("report.html").display());
            Ok(exit_code(outcome.verdict.passed()))
        }
        Command::Suite { common, names, jobs, out } => play_suite(common, names, jobs.max(1), &out).await,
        Command::Check { history } => {
            let mut lines = Vec::new();
            for file in &history {
                lines = history::join_runs(lines, history::read(file)?);
            }
            let verdict = checker::check(&lines);
            print!("{}", report::verdict_text(&verdict));
            Ok(exit_code(verdict.passed()))
        }
        Command::Report { history, out } => {
            let lines = history::read(&history)?;
            let report = report::report(&lines);
            write_report(&out, &report)?;
            print!("{}", report::text(&report));
            Ok(exit_code(report.verdict.passed()))
        }
        Command::Compare { a, b } => {
            print!("{}", report::compare(&read_report(&a)?, &read_report(&b)?));
            Ok(ExitCode::SUCCESS)
        }
        Command::State { listen, file, fsync } => {
            let limits = Limits { rps: f64::MAX, write_rps: f64::MAX, value_kb: 8.0, txn_ops: 32 };
            let config = state::Config { path: file, fsync, limits };
            let listener = cluster::bind(listen).await.map_err(RunError::Cluster)?;
            let handle = state::start(&config, Arc::new(|_| {})).map_err(RunError::State)?;
            println!("state service on {}", listener.local_addr().map_or(listen, |a| a));
            tokio::select! {
                () = handle.clone().serve("alone".into(), listener) => {}
                () = termination_signal() => handle.stop().await,
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Probe { address, connections, seconds } => {
            if !address.ip().is_loopback() {
                return Err(MainError::Usage(format!("{address}: only loopback addresses are probed")));
            }
            let duration = Duration::try_from_secs_f64(seconds).map_err(|e| MainError::Usage(e.to_string()))?;
            let measurement = probe::run(address, connections, duration.min(MAX_PROBE_TIME)).await;
            println!("{measurement}");
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// The exit code of a check: success if no rule was broken.
fn exit_code(passed: bool) -> ExitCode {
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Completes when a signal asks the process to end. Signals are caught from this call on,
/// not from the first poll: one that arrives while children are being started must end
/// them too.
fn termination_signal() -> impl Future<Output = ()> {
    let signals = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()];
    let mut caught: Vec<_> = signals.into_iter().filter_map(|kind| signal(kind).ok()).collect();
    std::future::poll_fn(move |cx| {
        let any = caught.iter_mut().any(|stream| stream.poll_recv(cx).is_ready());
        if any { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
}

/// The options of a run; fails if there is no controller program.
fn run_options(
    scenario: Scenario,
    common: &CommonArgs,
    dir: PathBuf,
    front: Option<SocketAddr>,
    line_callback: Option<LineCallback>,
) -> Result<Options, MainError> {
    let controller = match &common.controller {
        Some(program) => program.clone(),
        None => std::env::current_exe()
            .map_err(|cause| MainError::File { file: "finchquay".into(), cause })?
            .with_file_name("finchquay"),
    };
    if !controller.is_file() {
        return Err(MainError::Run(RunError::Cluster(ClusterError::MissingProgram(controller))));
    }
    let seed = common.seed.unwrap_or(scenario.seed);
    let public_port = front.map_or(0, |address| address.port());
    Ok(Options { scenario, seed, dir, controller, public_port, front, line_callback })
}

/// The directory that a run writes to: the given one, or the first unused one that is
/// named after the scenario. A directory that holds a run is never overwritten.
fn unused_directory(out: Option<PathBuf>, name: &str) -> Result<PathBuf, MainError> {
    let used = |dir: &Path| dir.join("history-1.jsonl").exists();
    match out {
        Some(dir) if used(&dir) => {
            Err(MainError::Usage(format!("{}: holds a run already; name another directory", dir.display())))
        }
        Some(dir) => Ok(dir),
        None => {
            let mut dirs = (1..).map(|i| match i {
                1 => PathBuf::from(format!("emulator-{name}")),
                _ => PathBuf::from(format!("emulator-{name}-{i}")),
            });
            dirs.find(|d| !used(d)).ok_or_else(|| MainError::Usage("no unused directory".into()))
        }
    }
}

/// Prints news as it arrives, and a summary at regular intervals.
fn plain_line_callback(model: Arc<Mutex<Model>>) -> LineCallback {
    let last_summary_s = Mutex::new(0.0f64);
    Box::new(move |line: &HistoryLine| {
        let mut model = lock(&model);
        if let Some(news) = model.update(line) {
            println!("{news}");
        }
        let mut last_summary_s = lock(&last_summary_s);
        if line.at_s >= *last_summary_s + SUMMARY_INTERVAL_S {
            *last_summary_s = line.at_s;
            println!("{}", model.summary());
        }
    })
}

/// Runs the command `up`.
async fn up(
    common: CommonArgs,
    scenario: Option<PathBuf>,
    keep: Option<PathBuf>,
    port: u16,
    plain: bool,
) -> Result<ExitCode, MainError> {
    let scenario = match scenario {
        Some(file) => Scenario::read(&file)?,
        None => Scenario::parse("sample", suite::SAMPLE)?,
    };
    let (dir, temporary) = match keep {
        Some(dir) => (dir, None),
        None => {
            let temporary =
                tempfile::tempdir().map_err(|cause| MainError::File { file: std::env::temp_dir(), cause })?;
            (temporary.path().to_path_buf(), Some(temporary))
        }
    };
    let model = Arc::new(Mutex::new(Model::default()));
    let use_screen = !plain && std::io::stdout().is_terminal();
    let line_callback: LineCallback = if use_screen {
        let model = model.clone();
        Box::new(move |line| {
            lock(&model).update(line);
        })
    } else {
        plain_line_callback(model.clone())
    };
    let front = SocketAddr::from(([127, 0, 0, 1], port));
    let options = run_options(scenario, &common, dir.clone(), Some(front), Some(line_callback))?;
    let quit = Arc::new(Notify::new());
    let run_ended = Arc::new(AtomicBool::new(false));
    let screen_thread = use_screen.then(|| {
        let (model, quit, run_ended) = (model.clone(), quit.clone(), run_ended.clone());
        std::thread::spawn(move || run_screen(&model, &quit, &run_ended))
    });
    let terminated = termination_signal();
    let stop = async {
        tokio::select! {
            () = terminated => {}
            () = quit.notified() => {}
        }
    };
    let result = run::play(options, stop).await;
    run_ended.store(true, Ordering::SeqCst);
    if let Some(thread) = screen_thread {
        let _ = thread.join();
    }
    let outcome = result?;
    let report = save_report(&dir, &outcome)?;
    print!("{}", report::text(&report));
    if temporary.is_none() {
        println!("state kept in {0}; `up --keep {0}` continues from it", dir.display());
    }
    Ok(exit_code(outcome.verdict.passed()))
}

/// Draws the terminal view until the run has ended; q and Ctrl-C ask the run to end.
fn run_screen(model: &Mutex<Model>, quit: &Notify, run_ended: &AtomicBool) {
    use crossterm::event::{Event, KeyCode, KeyModifiers, poll, read};
    let mut terminal = ratatui::init();
    while !run_ended.load(Ordering::SeqCst) {
        let drawn = terminal.draw(|f| lock(model).draw(f));
        if drawn.is_err() {
            break;
        }
        if poll(Duration::from_millis(250)).unwrap_or(false)
            && let Ok(Event::Key(key)) = read()
        {
            let interrupt = key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
            if interrupt || key.code == KeyCode::Char('q') {
                quit.notify_one();
            }
        }
    }
    ratatui::restore();
}

fn write(file: PathBuf, text: &str) -> Result<(), MainError> {
    std::fs::write(&file, text).map_err(|cause| MainError::File { file, cause })
}

fn write_report(dir: &Path, report: &Report) -> Result<(), MainError> {
    std::fs::create_dir_all(dir).map_err(|cause| MainError::File { file: dir.into(), cause })?;
    write(dir.join("report.json"), &serde_json::to_string_pretty(report).unwrap_or_default())?;
    write(dir.join("report.html"), &report::page(report))
}

/// Computes the report on a run and writes it into the directory of the history.
fn save_report(dir: &Path, outcome: &Outcome) -> Result<Report, MainError> {
    let report = report::report_with_verdict(&outcome.lines, outcome.verdict.clone());
    write_report(dir, &report)?;
    Ok(report)
}

fn read_report(file: &Path) -> Result<Report, MainError> {
    let text = std::fs::read_to_string(file).map_err(|cause| MainError::File { file: file.into(), cause })?;
    serde_json::from_str(&text).map_err(|cause| MainError::Report { file: file.into(), cause })
}

/// Runs the command `suite`; prints a table with one row for each scenario.
async fn play_suite(common: CommonArgs, names: Vec<String>, jobs: usize, out: &Path) -> Result<ExitCode, MainError> {
    for name in &names {
        if suite::find(name).is_none() {
            let all: Vec<&str> = suite::SUITE.iter().map(|scenario| scenario.name).collect();
            return Err(MainError::Usage(format!("no scenario {name:?} in the suite; there are {}", all.join(", "))));
        }
    }
    let wanted = |scenario: &&SuiteScenario| names.is_empty() || names.iter().any(|name| name == scenario.name);
    let selected: Vec<&SuiteScenario> = suite::SUITE.iter().filter(wanted).collect();
    let mut running = tokio::task::JoinSet::new();
    let mut failed = 0;
    let mut waiting = selected.into_iter();
    println!("| scenario | jobs accepted | final answers | task starts | tasks done | done again | rules broken |");
    println!("|---|---|---|---|---|---|---|");
    loop {
        while running.len() < jobs
            && let Some(SuiteScenario { name, text, expect }) = waiting.next()
        {
            let dir = out.join(name);
            // Results of an earlier suite are replaced.
            let _ = std::fs::remove_dir_all(&dir);
            let options = run_options(Scenario::parse(name, text)?, &common, dir.clone(), None, None)?;
            running.spawn(async move {
                let outcome = run::play(options, termination_signal()).await?;
                Ok::<_, RunError>((name, expect, dir, outcome))
            });
        }
        let Some(joined) = running.join_next().await else { break };
        let (name, expect, dir, outcome) = match joined {
            Ok(played) => played?,
            Err(e) => return Err(MainError::Usage(format!("a scenario ended early: {e}"))),
        };
        save_report(&dir, &outcome)?;
        let verdict = &outcome.verdict;
        let mut rules: Vec<String> =
            verdict.violations.iter().map(|violation| format!("{:?}", violation.rule)).collect();
        rules.sort();
        rules.dedup();
        let broken = match (verdict.passed(), expect) {
            (true, _) => "none".to_string(),
            (false, Expectation::Holds) => format!("**{}: {}**", verdict.violations.len(), rules.join(", ")),
            (false, Expectation::Recorded) => format!("{} (recorded): {}", verdict.violations.len(), rules.join(", ")),
        };
        failed += u32::from(!verdict.passed() && *expect == Expectation::Holds);
        println!(
            "| {name} | {} | {} | {} | {} | {} | {broken} |",
            verdict.accepted,
            verdict.confirmed_done + verdict.confirmed_cancelled,
            verdict.starts,
            verdict.tasks_done,
            verdict.done_again
        );
    }
    Ok(exit_code(failed == 0))
}
