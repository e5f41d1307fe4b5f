//! Tests of the file of ids.

use super::*;

fn job(name: &str, tasks: u32) -> NamedJob {
    let spec = JobSpec { task_count: tasks, uid: String::new(), ..JobSpec::example("") };
    NamedJob { name: name.into(), spec }
}

/// A submission cut short and repeated must not become a second job.
#[test]
fn the_same_job_keeps_its_id_and_another_gets_its_own() {
    let dir = tempfile::tempdir().unwrap();
    let ids = Ids { file: dir.path().join("a/jobs.jsonl") };
    let file = Path::new("/jobs.hcl");
    let first = ids.assign(file, vec![job("x", 1), job("y", 1)]).unwrap();
    assert_ne!(first[0].uid, first[1].uid);
    assert_eq!(ids.assign(file, vec![job("x", 1), job("y", 1)]).unwrap(), first);
    assert_ne!(ids.assign(file, vec![job("x", 2)]).unwrap()[0].uid, first[0].uid);
    assert_eq!(ids.list().unwrap().len(), 3);
    // A note torn by a crash is dropped, and what follows stays readable.
    std::fs::OpenOptions::new().append(true).open(&ids.file).unwrap().write_all(b"{\"uid\":\"ru").unwrap();
    assert_eq!(ids.list().unwrap().len(), 3);
    ids.assign(file, vec![job("z", 1)]).unwrap();
    assert_eq!(ids.list().unwrap().len(), 4);
    std::fs::write(&ids.file, "nonsense\n").unwrap();
    assert!(ids.list().unwrap_err().to_string().contains("jobs.jsonl:1: "));
}
