//! The command line of finchquay: reads the settings, sets up logging, and runs a controller.

use clap::Parser;
use finchquay::config::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code if the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// A controller of the finchquay cluster scheduler.
#[derive(Parser)]
#[command(name = "finchquay", version, about)]
struct Args {
    /// Settings file of the platform (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operator's own settings (HCL).
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Read and validate the settings, start nothing.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::load(&args.config, args.operator.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("finchquay: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are good", args.config.display());
        return ExitCode::SUCCESS;
    }
    init_logging();
    match finchquay::transport::run(settings, args.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "controller failed");
            ExitCode::FAILURE
        }
    }
}

/// Sets up logging to standard error, at the level that the environment variable `LOG_LEVEL`
/// names, or at the level `info`.
fn init_logging() {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse().ok());
    tracing_subscriber::fmt()
        .with_max_level(level.unwrap_or(tracing::Level::INFO))
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .without_time()
        .init();
}
