//! Tests of deserialization: errors must name the right file, line and key.

use super::*;
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outer {
    #[allow(dead_code)]
    name: String,
    #[serde(default)]
    job: BTreeMap<String, Job>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Job {
    #[allow(dead_code)]
    tasks: u32,
    #[allow(dead_code)]
    #[serde(default)]
    sizes: Vec<f64>,
}

/// Returns the error for a text that is not a valid `Outer`.
fn error_for(text: &str) -> String {
    let file = File::parse(Path::new("f.hcl"), text.into());
    file.and_then(|file| file.deserialize::<Outer>()).expect_err(text).to_string()
}

/// Every error must be one line that leads to the fault.
#[test]
fn errors_name_file_line_and_key() {
    let valid = "name = \"x\"\njob \"a\" {\n  tasks = 1\n}\njob \"b\" {\n  tasks = 2\n  sizes = [1, 2]\n}\n";
    let file = File::parse(Path::new("f.hcl"), valid.into()).unwrap();
    assert_eq!(file.deserialize::<Outer>().unwrap().job.len(), 2);
    let refusal = file.error_at(&["job", "b", "tasks"], "too many").to_string();
    assert_eq!(refusal, "f.hcl:6: job.b.tasks: too many");
    for (text, start, part) in [
        (valid.replace("tasks = 2", "tasks = -2"), "f.hcl:6: job.b.tasks: ", "-2"),
        (valid.replace("  sizes = [1, 2]", "  sizes = [1,\n \"x\"]"), "f.hcl:8: job.b.sizes.1: ", "x"),
        (valid.replace("  tasks = 2", "  tasks = 2\n  task = 3"), "f.hcl:7: job.b.task: ", "unknown field"),
        (valid.replace("  tasks = 2\n", ""), "f.hcl:5: job.b: ", "missing field `tasks`"),
        (valid.replace("name = \"x\"", "name = "), "f.hcl:1: ", ""),
    ] {
        let error = error_for(&text);
        assert!(error.starts_with(start) && error.contains(part) && !error.contains('\n'), "{error}");
    }
}

/// Guards files with a base: an error must not point into the wrong one of the two.
#[test]
fn a_file_merges_over_its_base_and_errors_name_the_right_file() {
    let base = || File::parse(Path::new("base.hcl"), "name = \"b\"\njob \"a\" {\n  tasks = 1\n}\n".into()).unwrap();
    let with_base = |text: &str| File::parse(Path::new("over.hcl"), text.into()).unwrap().merged_over(base());
    let valid = with_base("name = \"o\"\njob \"b\" {\n  tasks = 2\n}\n");
    let outer: Outer = valid.deserialize().unwrap();
    assert_eq!((outer.name.as_str(), outer.job.len(), valid.top_level_string("name")), ("o", 2, Some("o")));
    assert_eq!(valid.error_at(&["job", "a", "tasks"], "x").to_string(), "base.hcl:3: job.a.tasks: x");
    assert_eq!(valid.error_at(&["job", "b", "tasks"], "x").to_string(), "over.hcl:3: job.b.tasks: x");
    let error = with_base("\njob \"a\" {\n  tasks = -1\n}\n").deserialize::<Outer>().unwrap_err().to_string();
    assert!(error.starts_with("over.hcl:3: job.a.tasks: "), "{error}");
}
