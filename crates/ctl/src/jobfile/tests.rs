//! Tests of job files: what is refused, and that the schema agrees.

use super::*;

const GOOD: &str = r#"job "drafts" {
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

fn read_text(text: &str) -> Result<Vec<NamedJob>, String> {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("jobs.hcl");
    std::fs::write(&path, text).unwrap();
    read(&path).map_err(|e| e.to_string().replace(&format!("{}/", dir.path().display()), ""))
}

#[test]
fn bad_jobs_are_refused_with_line_and_key() {
    let jobs = read_text(GOOD).unwrap();
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
        assert!(GOOD.contains(from));
        let line = read_text(&GOOD.replacen(from, to, 1)).expect_err(to);
        assert!(line.starts_with(start) && !line.contains('\n'), "{line}");
    }
    let twice = format!("{GOOD}{GOOD}").replace("  team", "  id = \"run-5\"\n  team").replacen("drafts", "other", 1);
    assert!(read_text(&twice).unwrap_err().contains("is the id of job"));
}

/// Editors check files by the schema: it must take what the program takes.
#[test]
fn the_schema_agrees_with_the_reader() {
    let schema: serde_json::Value = serde_json::from_str(&schema()).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    let value = |text: &str| hcl_value(text);
    assert!(validator.is_valid(&value(GOOD)));
    for (from, to) in [("tasks = 40", "tasks = 0"), ("cpus = 2", "cpu = 2"), ("\"array\"", "\"swarm\"")] {
        assert!(!validator.is_valid(&value(&GOOD.replace(from, to))), "{to}");
    }
}

fn hcl_value(text: &str) -> serde_json::Value {
    File::parse(Path::new("f"), text.into()).unwrap().typed().unwrap()
}
