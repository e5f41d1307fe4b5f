//! Tests of job files: which are refused, and whether the schema agrees.

use super::*;

const VALID: &str = r#"job "drafts" {
  class = "return-assembly"
  team = "preparers"
  kind = "array"
  tasks = 40
  cpus = 2
  memory_gb = 4.2
  image {
    name = "assembly-7"
    size_gb = 1.5
  }
  checkpoint {
    every_s = 30
    save_s = 4
  }
}
"#;

/// Reads the text as a job file. Errors name the file without its directory.
fn read_text(text: &str) -> Result<Vec<NamedJob>, String> {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("jobs.hcl");
    std::fs::write(&path, text).unwrap();
    read(&path).map_err(|error| error.to_string().replace(&format!("{}/", directory.path().display()), ""))
}

/// Errors must lead users to the line and key of the fault.
#[test]
fn invalid_jobs_are_refused_with_line_and_key() {
    let jobs = read_text(VALID).unwrap();
    assert_eq!((jobs[0].spec.task_count, jobs[0].spec.checkpoint_duration_s), (40, 4.0));
    for (from, to, start) in [
        ("tasks = 40", "tasks = 0", "jobs.hcl:5: job.drafts.tasks: "),
        ("cpus = 2", "cpus = -2", "jobs.hcl:6: job.drafts.cpus: "),
        ("kind = \"array\"", "kind = \"swarm\"", "jobs.hcl:4: job.drafts.kind"),
        ("size_gb = 1.5", "size_gb = -1", "jobs.hcl:10: job.drafts.image.size_gb: "),
        ("every_s = 30", "every_s = 0", "jobs.hcl:12: job.drafts.checkpoint: "),
        ("team =", "id = \"job-1\"\n  team =", "jobs.hcl:3: job.drafts.id: "),
        ("team =", "spread = true\n  one_zone = true\n  team =", "jobs.hcl:3: job.drafts.spread: "),
        ("tasks = 40", "parcels = 40", "jobs.hcl:5: job.drafts.parcels: "),
        ("class = \"return-assembly\"", "class = \"\"", "jobs.hcl:1: job.drafts: "),
        ("job \"drafts\"", "work \"drafts\"", "jobs.hcl:1: work: "),
    ] {
        assert!(VALID.contains(from));
        let error = read_text(&VALID.replacen(from, to, 1)).expect_err(to);
        assert!(error.starts_with(start) && !error.contains('\n'), "{error}");
    }
    let same_id_twice =
        format!("{VALID}{VALID}").replace("  team", "  id = \"run-5\"\n  team").replacen("drafts", "other", 1);
    assert!(read_text(&same_id_twice).unwrap_err().contains("is the id of job"));
}

/// Editors check job files by the schema, so it must accept what the program accepts.
#[test]
fn the_schema_agrees_with_the_program() {
    let schema: serde_json::Value = serde_json::from_str(&schema()).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    let value = |text: &str| hcl_to_json(text);
    assert!(validator.is_valid(&value(VALID)));
    for (from, to) in [("tasks = 40", "tasks = 0"), ("cpus = 2", "cpu = 2"), ("\"array\"", "\"swarm\"")] {
        assert!(!validator.is_valid(&value(&VALID.replace(from, to))), "{to}");
    }
}

fn hcl_to_json(text: &str) -> serde_json::Value {
    File::parse(Path::new("f"), text.into()).unwrap().deserialize().unwrap()
}
