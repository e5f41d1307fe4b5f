//! finchquay-emulator: a whole cluster on one machine, with load and faults.

use clap::{Args as ClapArgs, Parser, Subcommand};
use finchquay_emulator::cluster::ClusterError;
use finchquay_emulator::history::{self, HistoryError, Line, Watcher};
use finchquay_emulator::report::{self, Report};
use finchquay_emulator::run::{self, Options, Outcome, RunError};
use finchquay_emulator::scenario::Scenario;
use finchquay_emulator::state::{machine::Limits, probe, service as state};
use finchquay_emulator::suite::{self, Expect, SuiteScenario};
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

/// Runs finchquay on one machine: an emulated cloud, state service and
/// machines around real controllers, with load and faults, and a checker of
/// what happened. Everything stays on loopback addresses.
///
/// Exit codes: 0 rules held; 1 a rule was broken or the run failed;
/// 2 bad arguments, a bad scenario, an address in use or no controller program.
#[derive(Parser)]
#[command(name = "finchquay-emulator", version, about)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(ClapArgs)]
struct Common {
    /// The controllers' program [default: finchquay beside this program].
    #[arg(long, value_name = "FILE")]
    controller: Option<PathBuf>,
    /// Seed of load and faults [default: the scenario's].
    #[arg(long)]
    seed: Option<u64>,
}

#[derive(Subcommand)]
enum Verb {
    /// Bring up a whole cluster with a sample load, until Ctrl-C.
    Up {
        #[command(flatten)]
        common: Common,
        /// Play this scenario instead of the sample.
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// Keep the state here; a later `up` on it goes on.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// Port for users: of the way in at 127.0.0.1, and of each controller.
        #[arg(long, default_value_t = 8080)]
        port: u16,
        /// Plain lines even where there is a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Play a scenario; leaves a history and a report.
    Run {
        scenario: PathBuf,
        #[command(flatten)]
        common: Common,
        /// Where history, report, settings and logs go.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Play the scenarios that come with the program, several at a time.
    Suite {
        #[command(flatten)]
        common: Common,
        /// Only these.
        names: Vec<String>,
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        #[arg(long, value_name = "DIR", default_value = "emulator-suite")]
        out: PathBuf,
    },
    /// Judge a history, or those of several runs on one folder in their order.
    Check {
        #[arg(required = true)]
        history: Vec<PathBuf>,
    },
    /// Write a report of a history anew.
    Report {
        history: PathBuf,
        #[arg(long, value_name = "DIR", default_value = ".")]
        out: PathBuf,
    },
    /// Set two reports (JSON) side by side.
    Compare { a: PathBuf, b: PathBuf },
    /// Serve the emulated state service alone.
    State {
        #[arg(long, default_value = "127.0.0.1:2379")]
        listen: SocketAddr,
        /// The file that holds the state.
        file: PathBuf,
        #[arg(long)]
        fsync: bool,
    },
    /// Measure a state service: transactions and reads a second.
    Probe {
        address: SocketAddr,
        #[arg(long, default_value_t = 32)]
        connections: usize,
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
}

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
    fn code(&self) -> u8 {
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
        Ok(r) => r,
        Err(e) => {
            eprintln!("finchquay-emulator: {e}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(carry_out(args.verb));
    runtime.shutdown_timeout(Duration::from_secs(1));
    match result {
        Ok(code) => code,
        Err(e) => {
            eprintln!("finchquay-emulator: {e}");
            ExitCode::from(e.code())
        }
    }
}

async fn carry_out(verb: Verb) -> Result<ExitCode, MainError> {
    match verb {
        Verb::Up { common, scenario, keep, port, plain } => up(common, scenario, keep, port, plain).await,
        Verb::Run { scenario, common, out } => {
            let s = Scenario::read(&scenario)?;
            let dir = fresh_folder(out, &s.name)?;
            let model = Arc::new(Mutex::new(Model::default()));
            let watcher = plain_watcher(model);
            let options = options(s, &common, dir.clone(), None, Some(watcher))?;
            let outcome = run::play(options, ended()).await?;
            let report = leave(&dir, &outcome)?;
            print!("{}", report::text(&report));
            println!("{}, {}", outcome.history.display(), dir.join("report.html").display());
            Ok(code(outcome.verdict.holds()))
        }
        Verb::Suite { common, names, jobs, out } => play_suite(common, names, jobs.max(1), &out).await,
        Verb::Check { history } => {
            let mut lines = Vec::new();
            for file in &history {
                lines = history::join(lines, history::read(file)?);
            }
            let verdict = checker::check(&lines);
            print!("{}", report::verdict_text(&verdict));
            Ok(code(verdict.holds()))
        }
        Verb::Report { history, out } => {
            let lines = history::read(&history)?;
            let report = report::report(&lines);
            write_report(&out, &report)?;
            print!("{}", report::text(&report));
            Ok(code(report.verdict.holds()))
        }
        Verb::Compare { a, b } => {
            print!("{}", report::compare(&read_report(&a)?, &read_report(&b)?));
            Ok(ExitCode::SUCCESS)
        }
        Verb::State { listen, file, fsync } => {
            let limits = Limits { rps: f64::MAX, write_rps: f64::MAX, value_kb: 8.0, txn_ops: 32 };
            let config = state::Config { path: file, fsync, limits };
            let listener = cluster::bind(listen).await.map_err(RunError::Cluster)?;
            let handle = state::start(&config, Arc::new(|_| {})).map_err(RunError::State)?;
            println!("state service on {}", listener.local_addr().map_or(listen, |a| a));
            tokio::select! {
                () = handle.clone().serve("alone".into(), listener) => {}
                () = ended() => handle.stop().await,
            }
            Ok(ExitCode::SUCCESS)
        }
        Verb::Probe { address, connections, seconds } => {
            if !address.ip().is_loopback() {
                return Err(MainError::Usage(format!("{address}: only loopback addresses are probed")));
            }
            let seconds = Duration::try_from_secs_f64(seconds).map_err(|e| MainError::Usage(e.to_string()))?;
            let got = probe::run(address, connections, seconds.min(Duration::from_secs(60))).await;
            println!("{got}");
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn code(holds: bool) -> ExitCode {
    if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Comes when the process is asked to end, by whatever signal. Signals are
/// caught from this call on, not from the first wait: one that comes while
/// children are being started must end them too.
fn ended() -> impl Future<Output = ()> {
    let kinds = [SignalKind::interrupt(), SignalKind::terminate(), SignalKind::hangup()];
    let mut caught: Vec<_> = kinds.into_iter().filter_map(|k| signal(k).ok()).collect();
    std::future::poll_fn(move |cx| {
        let any = caught.iter_mut().any(|s| s.poll_recv(cx).is_ready());
        if any { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
}

fn options(
    scenario: Scenario,
    common: &Common,
    dir: PathBuf,
    front: Option<SocketAddr>,
    watcher: Option<Watcher>,
) -> Result<Options, MainError> {
    let controller = match &common.controller {
        Some(c) => c.clone(),
        None => std::env::current_exe()
            .map_err(|cause| MainError::File { file: "finchquay".into(), cause })?
            .with_file_name("finchquay"),
    };
    if !controller.is_file() {
        return Err(MainError::Run(RunError::Cluster(ClusterError::NoBinary(controller))));
    }
    let seed = common.seed.unwrap_or(scenario.seed);
    let public_port = front.map_or(0, |f| f.port());
    Ok(Options { scenario, seed, dir, controller, public_port, front, watcher })
}

/// The folder that a run writes to: the one asked for, or the first of the
/// scenario's name that is free. A folder that holds a run is never overwritten.
fn fresh_folder(out: Option<PathBuf>, name: &str) -> Result<PathBuf, MainError> {
    let used = |dir: &Path| dir.join("history-1.jsonl").exists();
    match out {
        Some(dir) if used(&dir) => {
            Err(MainError::Usage(format!("{}: holds a run already; name another folder", dir.display())))
        }
        Some(dir) => Ok(dir),
        None => {
            let mut dirs = (1..).map(|i| match i {
                1 => PathBuf::from(format!("emulator-{name}")),
                _ => PathBuf::from(format!("emulator-{name}-{i}")),
            });
            dirs.find(|d| !used(d)).ok_or_else(|| MainError::Usage("no free folder".into()))
        }
    }
}

/// Prints news as they come, and a summary now and then.
fn plain_watcher(model: Arc<Mutex<Model>>) -> Watcher {
    let last = Mutex::new(0.0f64);
    Box::new(move |line: &Line| {
        let mut m = lock(&model);
        if let Some(news) = m.take(line) {
            println!("{news}");
        }
        let mut last = lock(&last);
        if line.t >= *last + 5.0 {
            *last = line.t;
            println!("{}", m.summary());
        }
    })
}

async fn up(
    common: Common,
    scenario: Option<PathBuf>,
    keep: Option<PathBuf>,
    port: u16,
    plain: bool,
) -> Result<ExitCode, MainError> {
    let s = match scenario {
        Some(file) => Scenario::read(&file)?,
        None => Scenario::parse("sample", suite::SAMPLE)?,
    };
    let (dir, temporary) = match keep {
        Some(dir) => (dir, None),
        None => {
            let t = tempfile::tempdir().map_err(|cause| MainError::File { file: std::env::temp_dir(), cause })?;
            (t.path().to_path_buf(), Some(t))
        }
    };
    let model = Arc::new(Mutex::new(Model::default()));
    let screen = !plain && std::io::stdout().is_terminal();
    let watcher: Watcher = if screen {
        let model = model.clone();
        Box::new(move |line| {
            lock(&model).take(line);
        })
    } else {
        plain_watcher(model.clone())
    };
    let front = SocketAddr::from(([127, 0, 0, 1], port));
    let options = options(s, &common, dir.clone(), Some(front), Some(watcher))?;
    let quit = Arc::new(Notify::new());
    let closed = Arc::new(AtomicBool::new(false));
    let drawing = screen.then(|| {
        let (model, quit, closed) = (model.clone(), quit.clone(), closed.clone());
        std::thread::spawn(move || show(&model, &quit, &closed))
    });
    let asked = ended();
    let stop = async {
        tokio::select! {
            () = asked => {}
            () = quit.notified() => {}
        }
    };
    let played = run::play(options, stop).await;
    closed.store(true, Ordering::SeqCst);
    if let Some(d) = drawing {
        let _ = d.join();
    }
    let outcome = played?;
    let report = leave(&dir, &outcome)?;
    print!("{}", report::text(&report));
    if temporary.is_none() {
        println!("kept in {}; `up --keep` on it goes on", dir.display());
    }
    Ok(code(outcome.verdict.holds()))
}

/// Draws until told to close; q and Ctrl-C ask for the end.
fn show(model: &Mutex<Model>, quit: &Notify, closed: &AtomicBool) {
    use crossterm::event::{Event, KeyCode, KeyModifiers, poll, read};
    let mut terminal = ratatui::init();
    while !closed.load(Ordering::SeqCst) {
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

/// Leaves the report beside the history.
fn leave(dir: &Path, outcome: &Outcome) -> Result<Report, MainError> {
    let report = report::judged(&outcome.lines, outcome.verdict.clone());
    write_report(dir, &report)?;
    Ok(report)
}

fn read_report(file: &Path) -> Result<Report, MainError> {
    let text = std::fs::read_to_string(file).map_err(|cause| MainError::File { file: file.into(), cause })?;
    serde_json::from_str(&text).map_err(|cause| MainError::Report { file: file.into(), cause })
}

async fn play_suite(common: Common, names: Vec<String>, jobs: usize, out: &Path) -> Result<ExitCode, MainError> {
    for n in &names {
        if suite::find(n).is_none() {
            let all: Vec<&str> = suite::SUITE.iter().map(|s| s.name).collect();
            return Err(MainError::Usage(format!("no scenario {n:?} in the suite; there are {}", all.join(", "))));
        }
    }
    let wanted = |scenario: &&SuiteScenario| names.is_empty() || names.iter().any(|n| n == scenario.name);
    let chosen: Vec<&SuiteScenario> = suite::SUITE.iter().filter(wanted).collect();
    let mut running = tokio::task::JoinSet::new();
    let mut failed = 0;
    let mut waiting = chosen.into_iter();
    println!("| scenario | jobs accepted | final answers | task starts | tasks done | done again | rules broken |");
    println!("|---|---|---|---|---|---|---|");
    loop {
        while running.len() < jobs
            && let Some(SuiteScenario { name, text, expect }) = waiting.next()
        {
            let dir = out.join(name);
            // A suite begins anew each time.
            let _ = std::fs::remove_dir_all(&dir);
            let options = options(Scenario::parse(name, text)?, &common, dir.clone(), None, None)?;
            running.spawn(async move {
                let outcome = run::play(options, ended()).await?;
                Ok::<_, RunError>((name, expect, dir, outcome))
            });
        }
        let Some(joined) = running.join_next().await else { break };
        let (name, expect, dir, outcome) = match joined {
            Ok(played) => played?,
            Err(e) => return Err(MainError::Usage(format!("a scenario was cut off: {e}"))),
        };
        leave(&dir, &outcome)?;
        let v = &outcome.verdict;
        let mut rules: Vec<String> = v.violations.iter().map(|x| format!("{:?}", x.rule)).collect();
        rules.sort();
        rules.dedup();
        let broken = match (v.holds(), expect) {
            (true, _) => "none".to_string(),
            (false, Expect::Holds) => format!("**{}: {}**", v.violations.len(), rules.join(", ")),
            (false, Expect::Recorded) => format!("{} (recorded): {}", v.violations.len(), rules.join(", ")),
        };
        failed += u32::from(!v.holds() && *expect == Expect::Holds);
        println!(
            "| {name} | {} | {} | {} | {} | {} | {broken} |",
            v.accepted,
            v.confirmed_done + v.confirmed_cancelled,
            v.starts,
            v.tasks_done,
            v.done_again
        );
    }
    Ok(code(failed == 0))
}
