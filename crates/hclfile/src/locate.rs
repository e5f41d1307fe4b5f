//! Finds where a key stands in a parsed file.

use hcl_edit::Span;
use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};

/// Byte offset of the deepest part of `path` that the body has.
pub(crate) fn body_offset(body: &Body, path: &[&str]) -> Option<usize> {
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
                expression_offset(&a.value, rest).or_else(|| a.key.span().map(|s| s.start)).map(|at| (rest.len(), at))
            }
            Structure::Block(b) => {
                let labels = b.labels.iter().zip(rest).take_while(|(l, r)| l.as_str() == **r).count();
                if labels < b.labels.len() && labels < rest.len() {
                    continue;
                }
                let at = body_offset(&b.body, &rest[labels..]).or_else(|| b.ident.span().map(|s| s.start));
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

/// Byte offset of the deepest part of `path` that the expression has, or its own.
fn expression_offset(e: &Expression, path: &[&str]) -> Option<usize> {
    let own = e.span().map(|s| s.start);
    let Some((first, rest)) = path.split_first() else { return own };
    match e {
        Expression::Array(items) => {
            let item = items.iter().nth(first.parse().ok()?)?;
            expression_offset(item, rest).or(own)
        }
        Expression::Object(map) => {
            let (_, value) = map.iter().find(|(k, _)| match k {
                ObjectKey::Ident(i) => i.as_str() == *first,
                ObjectKey::Expression(e) => e.as_str() == Some(*first),
            })?;
            expression_offset(value.expr(), rest).or(own)
        }
        _ => own,
    }
}
