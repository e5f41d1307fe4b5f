//! Command line of finchquay: reads settings, sets up logging, runs a controller.

use clap::Parser;
use finchquay::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

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
    /// Read and judge the settings, start nothing.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match Settings::load(&args.config, args.operator.as_deref()) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("finchquay: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("{}: settings are good", args.config.display());
        return ExitCode::SUCCESS;
    }
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false)
        .without_time()
        .init();
    match finchquay::transport::run(settings, args.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "controller ends");
            ExitCode::FAILURE
        }
    }
}
