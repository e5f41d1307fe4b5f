//! Runs one case of the review: `stand-ins-2 CASE FOLDER`. Exits with 0 if the rule held, 1 if it was broken,
//! and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cloud;
mod cluster;
mod record;
mod state;
mod wire;
mod worker;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder).canonicalize().expect("the folder exists");
    let root = folder.parent().and_then(|review| review.parent()).expect("the repository").to_path_buf();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(&folder.join("record.txt")).expect("record.txt can be written");
    record.line(&format!("case {case}, trouble {trouble}"));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.line("the case took too long");
        cluster::end_children();
        exit(2);
    });
    let dir = std::env::temp_dir().join(format!("finchquay-case-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the temporary folder can be made");
    let context = cases::Context { root, dir: dir.clone(), record: record.clone(), trouble };
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, &context)));
    cluster::end_children();
    if std::env::var_os("CASE_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let code = match outcome {
        Ok(Ok(Ok(()))) => {
            record.line("the rule held");
            println!("{case}: the rule held");
            0
        }
        Ok(Ok(Err(broken))) => {
            record.line(&format!("the rule was broken: {broken}"));
            println!("{case}: the rule was broken: {broken}");
            1
        }
        Ok(Err(error)) => {
            record.line(&format!("the case could not run: {error}"));
            println!("{case}: the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    exit(code);
}
