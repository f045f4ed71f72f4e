//! Places of keys in a settings text.

use std::collections::BTreeSet;

use jsonc_parser::{ast, common};

use super::Mistake;

/// Parses JSON with comments and trailing commas, and no other extension.
///
/// # Errors
///
/// The first mistake of the syntax.
pub fn parse_jsonc(text: &str) -> Result<(ast::Value<'_>, serde_json::Value), Vec<Mistake>> {
    let options = jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let collect = jsonc_parser::CollectOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &collect, &options).map_err(|err| {
        let line = err.line_display();
        vec![Mistake { line, key: String::new(), message: err.kind().to_string() }]
    })?;
    let Some(root) = parsed.value else {
        return Err(vec![Mistake { line: 1, key: String::new(), message: "empty".to_string() }]);
    };
    let json = serde_json::Value::from(root.clone());
    Ok((root, json))
}

/// Maps JSON pointers to lines and readable keys.
pub struct Places<'a> {
    root: &'a ast::Value<'a>,
    /// Byte offset of each line's start.
    line_starts: Vec<usize>,
}

impl<'a> Places<'a> {
    /// Indexes the lines of a parsed text.
    pub fn new(text: &str, root: &'a ast::Value<'a>) -> Places<'a> {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = [0].into_iter().chain(ends.map(|(at, _)| at + 1)).collect();
        Places { root, line_starts }
    }

    /// Names the place that a JSON pointer leads to, or the nearest one that the text holds.
    pub fn mistake(&self, pointer: &str, message: String) -> Mistake {
        let parts = pointer.split('/').skip(1);
        let parts = parts.map(|part| part.replace("~1", "/").replace("~0", "~"));
        self.mistake_at(&parts.collect::<Vec<_>>(), message)
    }

    /// Names the place of a key inside the object that a JSON pointer leads to.
    pub fn mistake_of_key(&self, pointer: &str, key: &str, message: String) -> Mistake {
        let parts = pointer.split('/').skip(1);
        let parts = parts.map(|part| part.replace("~1", "/").replace("~0", "~"));
        let parts = parts.chain([key.to_string()]);
        self.mistake_at(&parts.collect::<Vec<_>>(), message)
    }

    /// Keys that stand twice in one object.
    pub fn repeated_keys(&self) -> Vec<Mistake> {
        let mut mistakes = Vec::new();
        self.collect_repeated(self.root, &mut String::new(), &mut mistakes);
        mistakes
    }

    fn collect_repeated(&self, value: &ast::Value<'_>, key: &mut String, out: &mut Vec<Mistake>) {
        let length = key.len();
        match value {
            ast::Value::Object(object) => {
                let mut seen = BTreeSet::new();
                for prop in &object.properties {
                    push_key(key, prop.name.as_str());
                    if !seen.insert(prop.name.as_str()) {
                        let line = self.line(common::Ranged::start(prop));
                        let message = "stands twice".to_string();
                        out.push(Mistake { line, key: key.clone(), message });
                    }
                    self.collect_repeated(&prop.value, key, out);
                    key.truncate(length);
                }
            }
            ast::Value::Array(array) => {
                for (index, item) in array.elements.iter().enumerate() {
                    push_index(key, &index.to_string());
                    self.collect_repeated(item, key, out);
                    key.truncate(length);
                }
            }
            _ => {}
        }
    }

    fn mistake_at(&self, parts: &[String], message: String) -> Mistake {
        let mut value = self.root;
        let mut start = common::Ranged::start(value);
        let mut key = String::new();
        for part in parts {
            let child = match value {
                ast::Value::Object(object) => {
                    push_key(&mut key, part);
                    object.get(part).map(|prop| (common::Ranged::start(prop), &prop.value))
                }
                ast::Value::Array(array) => {
                    push_index(&mut key, part);
                    let index = part.parse::<usize>().ok();
                    let item = index.and_then(|index| array.elements.get(index));
                    item.map(|item| (common::Ranged::start(item), item))
                }
                _ => None,
            };
            let Some((child_start, child)) = child else { break };
            (start, value) = (child_start, child);
        }
        Mistake { line: self.line(start), key, message }
    }

    fn line(&self, at: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= at)
    }
}

fn push_key(key: &mut String, name: &str) {
    if !key.is_empty() {
        key.push('.');
    }
    key.push_str(name);
}

fn push_index(key: &mut String, index: &str) {
    key.push('[');
    key.push_str(index);
    key.push(']');
}
