//! Typed HCL files. Reads a file into any `Deserialize` type and, where that
//! fails, says in one line which file, line and key is at fault. The same line
//! numbers serve checks made later: `File::refuse` finds the key by its path.

use hcl_edit::structure::{Body, Structure};
use hcl_edit::{Span, expr::Expression, expr::ObjectKey};
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file was refused: one line that names file, line and key.
#[derive(Debug, Error)]
pub enum HclError {
    #[error("{}: cannot be read: {cause}", file.display())]
    Read { file: PathBuf, cause: std::io::Error },
    #[error("{}:{line}: {what}", file.display())]
    Syntax { file: PathBuf, line: usize, what: String },
    #[error("{}:{line}: {key}: {what}", file.display())]
    Key { file: PathBuf, line: usize, key: String, what: String },
}

/// A file that parsed: its text and where everything stands in it.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    text: String,
    body: Body,
    /// What holds where this file says nothing.
    base: Option<Box<File>>,
}

impl File {
    pub fn read(path: &Path) -> Result<File, HclError> {
        let text = std::fs::read_to_string(path).map_err(|cause| HclError::Read { file: path.into(), cause })?;
        File::parse(path, text)
    }

    /// Parses text that came from elsewhere; `path` is its name in errors.
    pub fn parse(path: &Path, text: String) -> Result<File, HclError> {
        let body = hcl_edit::parser::parse_body(&text).map_err(|e| HclError::Syntax {
            file: path.into(),
            line: e.location().line(),
            what: one_line(e.message()),
        })?;
        Ok(File { path: path.into(), text, body, base: None })
    }

    /// Lays this file over another: blocks and keys of both hold, and where
    /// both have one, this file's does.
    pub fn over(mut self, base: File) -> File {
        self.base = Some(Box::new(base));
        self
    }

    /// The text of a key at the top, if it has one.
    pub fn top(&self, key: &str) -> Option<&str> {
        self.body.get_attribute(key)?.value.as_str()
    }

    fn value(&self) -> Result<serde_json::Value, HclError> {
        let mut value: serde_json::Value = hcl::from_str(&self.text).map_err(|e| HclError::Syntax {
            file: self.path.clone(),
            line: 1,
            what: one_line(&e.to_string()),
        })?;
        if let Some(base) = &self.base {
            let mut under = base.value()?;
            lay_over(&mut under, value);
            value = under;
        }
        Ok(value)
    }

    /// Reads the whole file as `T`.
    pub fn typed<T: DeserializeOwned>(&self) -> Result<T, HclError> {
        let value = self.value()?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let mut path: Vec<String> = e
                .path()
                .iter()
                .filter_map(|s| match s {
                    Segment::Seq { index } => Some(index.to_string()),
                    Segment::Map { key } => Some(key.clone()),
                    Segment::Enum { variant } => Some(variant.clone()),
                    Segment::Unknown => None,
                })
                .collect();
            let what = one_line(&e.inner().to_string());
            // The unknown key is named in the message only; its line is wanted.
            if let Some(key) = what.strip_prefix("unknown field `").and_then(|r| r.split('`').next())
                && path.last().is_none_or(|l| l != key)
            {
                path.push(key.to_string());
            }
            let parts: Vec<&str> = path.iter().map(String::as_str).collect();
            self.refuse(&parts, what)
        })
    }

    /// The error for a key that parsed but can't be: `path` is its way from
    /// the top, by keys, block labels and positions in lists.
    pub fn refuse(&self, path: &[&str], what: impl Into<String>) -> HclError {
        let at = match (locate_body(&self.body, path), &self.base) {
            (Some(at), _) => at,
            (None, Some(base)) if locate_body(&base.body, path).is_some() => return base.refuse(path, what),
            (None, _) => 0,
        };
        let line = self.text.get(..at).map_or(1, |t| t.matches('\n').count() + 1);
        let key = if path.is_empty() { "file".to_string() } else { path.join(".") };
        HclError::Key { file: self.path.clone(), line, key, what: what.into() }
    }
}

/// Byte offset of the deepest part of `path` that the body has.
fn locate_body(body: &Body, path: &[&str]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    let alike: Vec<&Structure> = body
        .iter()
        .filter(|s| match s {
            Structure::Attribute(a) => a.key.as_str() == *first,
            Structure::Block(b) => b.ident.as_str() == *first,
        })
        .collect();
    // Several blocks of one name and no labels are a list: a position picks one.
    let labelled = alike.iter().any(|s| s.as_block().is_some_and(|b| !b.labels.is_empty()));
    let picked = rest.first().and_then(|i| i.parse::<usize>().ok()).filter(|_| alike.len() > 1 && !labelled);
    let (candidates, rest) = match picked {
        Some(i) => (alike.get(i).copied().into_iter().collect(), &rest[1..]),
        None => (alike, rest),
    };
    let mut best = None;
    for s in candidates {
        let found = match s {
            Structure::Attribute(a) => {
                locate_expression(&a.value, rest).or_else(|| a.key.span().map(|s| s.start)).map(|at| (rest.len(), at))
            }
            Structure::Block(b) => {
                let labels = b.labels.iter().zip(rest).take_while(|(l, r)| l.as_str() == **r).count();
                if labels < b.labels.len() && labels < rest.len() {
                    continue;
                }
                let at = locate_body(&b.body, &rest[labels..]).or_else(|| b.ident.span().map(|s| s.start));
                at.map(|at| (labels, at))
            }
        };
        if let Some((depth, at)) = found
            && best.is_none_or(|(d, _)| depth > d)
        {
            best = Some((depth, at));
        }
    }
    best.map(|(_, at)| at)
}

fn locate_expression(e: &Expression, path: &[&str]) -> Option<usize> {
    let own = e.span().map(|s| s.start);
    let Some((first, rest)) = path.split_first() else { return own };
    match e {
        Expression::Array(items) => {
            let item = items.iter().nth(first.parse().ok()?)?;
            locate_expression(item, rest).or(own)
        }
        Expression::Object(map) => {
            let (_, value) = map.iter().find(|(k, _)| match k {
                ObjectKey::Ident(i) => i.as_str() == *first,
                ObjectKey::Expression(e) => e.as_str() == Some(*first),
            })?;
            locate_expression(value.expr(), rest).or(own)
        }
        _ => own,
    }
}

fn lay_over(under: &mut serde_json::Value, over: serde_json::Value) {
    match (under, over) {
        (serde_json::Value::Object(under), serde_json::Value::Object(over)) => {
            for (key, value) in over {
                match under.get_mut(&key) {
                    Some(u) => lay_over(u, value),
                    None => {
                        under.insert(key, value);
                    }
                }
            }
        }
        (under, over) => *under = over,
    }
}

fn one_line(text: &str) -> String {
    let parts: Vec<&str> = text.lines().map(str::trim).filter(|l| !l.is_empty()).collect();
    parts.join(" ")
}

#[cfg(test)]
mod tests {
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
}
