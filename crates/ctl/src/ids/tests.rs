//! Tests of the file that records submitted jobs.

use super::*;

fn job(name: &str, tasks: u32) -> NamedJob {
    let spec = JobSpec { task_count: tasks, uid: String::new(), ..JobSpec::example("") };
    NamedJob { name: name.into(), spec }
}

/// A submission that is interrupted and repeated must not create a second job.
#[test]
fn the_same_job_keeps_its_id_and_another_gets_a_new_one() {
    let directory = tempfile::tempdir().unwrap();
    let id_file = IdFile { path: directory.path().join("a/jobs.jsonl") };
    let file = Path::new("/jobs.hcl");
    let first = id_file.assign_ids(file, vec![job("x", 1), job("y", 1)]).unwrap();
    assert_ne!(first[0].uid, first[1].uid);
    assert_eq!(id_file.assign_ids(file, vec![job("x", 1), job("y", 1)]).unwrap(), first);
    assert_ne!(id_file.assign_ids(file, vec![job("x", 2)]).unwrap()[0].uid, first[0].uid);
    assert_eq!(id_file.submissions().unwrap().len(), 3);
    // A line that a crash cut short is removed, and later lines stay readable.
    std::fs::OpenOptions::new().append(true).open(&id_file.path).unwrap().write_all(b"{\"uid\":\"ru").unwrap();
    assert_eq!(id_file.submissions().unwrap().len(), 3);
    id_file.assign_ids(file, vec![job("z", 1)]).unwrap();
    assert_eq!(id_file.submissions().unwrap().len(), 4);
    std::fs::write(&id_file.path, "nonsense\n").unwrap();
    assert!(id_file.submissions().unwrap_err().to_string().contains("jobs.jsonl:1: "));
}
