//! Finds the position of a key in a parsed file.

#![warn(missing_docs)]

use hcl_edit::Span;
use hcl_edit::expr::{Expression, ObjectKey};
use hcl_edit::structure::{Body, Structure};

/// Returns the byte offset of the deepest part of `path` that exists in the body; `None` if
/// the path is empty or nothing in the body matches it.
pub(crate) fn body_offset(body: &Body, path: &[&str]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    let same_name: Vec<&Structure> = body
        .iter()
        .filter(|structure| match structure {
            Structure::Attribute(attribute) => attribute.key.as_str() == *first,
            Structure::Block(block) => block.ident.as_str() == *first,
        })
        .collect();
    // Several blocks with the same name and without labels are a list, in which the next part
    // of the path is a position.
    let labelled = same_name.iter().any(|structure| structure.as_block().is_some_and(|block| !block.labels.is_empty()));
    let position =
        rest.first().and_then(|part| part.parse::<usize>().ok()).filter(|_| same_name.len() > 1 && !labelled);
    let (candidates, rest) = match position {
        Some(position) => (same_name.get(position).copied().into_iter().collect(), &rest[1..]),
        None => (same_name, rest),
    };
    // Depth and offset of the best candidate so far. The depth is the number of matching block
    // labels; an attribute counts as a match of the whole path. The first of equals wins.
    let mut best = None;
    for structure in candidates {
        let found = match structure {
            Structure::Attribute(attribute) => expression_offset(&attribute.value, rest)
                .or_else(|| attribute.key.span().map(|span| span.start))
                .map(|offset| (rest.len(), offset)),
            Structure::Block(block) => {
                let matching_labels =
                    block.labels.iter().zip(rest).take_while(|(label, part)| label.as_str() == **part).count();
                if matching_labels < block.labels.len() && matching_labels < rest.len() {
                    continue;
                }
                let offset = body_offset(&block.body, &rest[matching_labels..])
                    .or_else(|| block.ident.span().map(|span| span.start));
                offset.map(|offset| (matching_labels, offset))
            }
        };
        if let Some((depth, offset)) = found
            && best.is_none_or(|(best_depth, _)| depth > best_depth)
        {
            best = Some((depth, offset));
        }
    }
    best.map(|(_, offset)| offset)
}

/// Returns the byte offset of the deepest part of `path` that exists in the expression;
/// `None` if the expression is a list or object without the first part. An expression that
/// is neither has no parts, so its own offset is returned.
fn expression_offset(expression: &Expression, path: &[&str]) -> Option<usize> {
    let own_offset = expression.span().map(|span| span.start);
    let Some((first, rest)) = path.split_first() else { return own_offset };
    match expression {
        Expression::Array(items) => {
            let item = items.iter().nth(first.parse().ok()?)?;
            expression_offset(item, rest).or(own_offset)
        }
        Expression::Object(object) => {
            let (_, value) = object.iter().find(|(key, _)| match key {
                ObjectKey::Ident(ident) => ident.as_str() == *first,
                ObjectKey::Expression(key) => key.as_str() == Some(*first),
            })?;
            expression_offset(value.expr(), rest).or(own_offset)
        }
        _ => own_offset,
    }
}
