//! Tests of typed reading: errors name the right file, line and key.

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

fn refused(text: &str) -> String {
    let file = File::parse(Path::new("f.hcl"), text.into());
    file.and_then(|f| f.typed::<Outer>()).expect_err(text).to_string()
}

/// Guards the promise of one line that leads to the fault.
#[test]
fn errors_name_file_line_and_key() {
    let good = "name = \"x\"\njob \"a\" {\n  tasks = 1\n}\njob \"b\" {\n  tasks = 2\n  sizes = [1, 2]\n}\n";
    let file = File::parse(Path::new("f.hcl"), good.into()).unwrap();
    assert_eq!(file.typed::<Outer>().unwrap().job.len(), 2);
    let late = file.refuse(&["job", "b", "tasks"], "too many").to_string();
    assert_eq!(late, "f.hcl:6: job.b.tasks: too many");
    for (text, start, part) in [
        (good.replace("tasks = 2", "tasks = -2"), "f.hcl:6: job.b.tasks: ", "-2"),
        (good.replace("  sizes = [1, 2]", "  sizes = [1,\n \"x\"]"), "f.hcl:8: job.b.sizes.1: ", "x"),
        (good.replace("  tasks = 2", "  tasks = 2\n  task = 3"), "f.hcl:7: job.b.task: ", "unknown field"),
        (good.replace("  tasks = 2\n", ""), "f.hcl:5: job.b: ", "missing field `tasks`"),
        (good.replace("name = \"x\"", "name = "), "f.hcl:1: ", ""),
    ] {
        let line = refused(&text);
        assert!(line.starts_with(start) && line.contains(part) && !line.contains('\n'), "{line}");
    }
}

/// Guards scenarios with a base: an error must not point into the wrong file.
#[test]
fn a_file_over_another_adds_and_replaces_and_errors_name_the_right_one() {
    let base = || File::parse(Path::new("base.hcl"), "name = \"b\"\njob \"a\" {\n  tasks = 1\n}\n".into()).unwrap();
    let over = |text: &str| File::parse(Path::new("over.hcl"), text.into()).unwrap().over(base());
    let good = over("name = \"o\"\njob \"b\" {\n  tasks = 2\n}\n");
    let read: Outer = good.typed().unwrap();
    assert_eq!((read.name.as_str(), read.job.len(), good.top("name")), ("o", 2, Some("o")));
    assert_eq!(good.refuse(&["job", "a", "tasks"], "x").to_string(), "base.hcl:3: job.a.tasks: x");
    assert_eq!(good.refuse(&["job", "b", "tasks"], "x").to_string(), "over.hcl:3: job.b.tasks: x");
    let bad = over("\njob \"a\" {\n  tasks = -1\n}\n").typed::<Outer>().unwrap_err().to_string();
    assert!(bad.starts_with("over.hcl:3: job.a.tasks: "), "{bad}");
}
