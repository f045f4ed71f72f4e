//! Parses settings texts and locates keys in them for error messages.

use std::collections::BTreeSet;

use jsonc_parser::{ast, common};

use super::Mistake;

/// Parses JSON with comments and trailing commas but no other extension, into a syntax tree and a
/// value.
///
/// # Errors
///
/// The first syntax error, or that the text is empty.
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
        return Err(vec![Mistake {
            line: 1,
            key: String::new(),
            message: "the text is empty".to_string(),
        }]);
    };
    let json = serde_json::Value::from(root.clone());
    Ok((root, json))
}

/// Maps JSON pointers to line numbers and readable keys.
pub struct SourceMap<'a> {
    root: &'a ast::Value<'a>,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
}

impl<'a> SourceMap<'a> {
    /// Indexes the lines of `text`, which `root` was parsed from.
    pub fn new(text: &str, root: &'a ast::Value<'a>) -> SourceMap<'a> {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = [0].into_iter().chain(ends.map(|(at, _)| at + 1)).collect();
        SourceMap { root, line_starts }
    }

    /// Locates a mistake at a JSON pointer, or at its closest ancestor in the text.
    pub fn mistake(&self, pointer: &str, message: String) -> Mistake {
        let parts = pointer.split('/').skip(1);
        let parts = parts.map(|part| part.replace("~1", "/").replace("~0", "~"));
        self.locate(&parts.collect::<Vec<_>>(), message)
    }

    /// Locates a mistake at a key of the object at a JSON pointer.
    pub fn mistake_at_key(&self, pointer: &str, key: &str, message: String) -> Mistake {
        let parts = pointer.split('/').skip(1);
        let parts = parts.map(|part| part.replace("~1", "/").replace("~0", "~"));
        let parts = parts.chain([key.to_string()]);
        self.locate(&parts.collect::<Vec<_>>(), message)
    }

    /// Returns a mistake for each duplicate key of an object.
    pub fn duplicate_keys(&self) -> Vec<Mistake> {
        let mut mistakes = Vec::new();
        self.collect_duplicates(self.root, &mut String::new(), &mut mistakes);
        mistakes
    }

    fn collect_duplicates(&self, value: &ast::Value<'_>, key: &mut String, out: &mut Vec<Mistake>) {
        let length = key.len();
        match value {
            ast::Value::Object(object) => {
                let mut seen = BTreeSet::new();
                for prop in &object.properties {
                    push_key(key, prop.name.as_str());
                    if !seen.insert(prop.name.as_str()) {
                        let line = self.line(common::Ranged::start(prop));
                        let message = "duplicate key".to_string();
                        out.push(Mistake { line, key: key.clone(), message });
                    }
                    self.collect_duplicates(&prop.value, key, out);
                    key.truncate(length);
                }
            }
            ast::Value::Array(array) => {
                for (index, item) in array.elements.iter().enumerate() {
                    push_index(key, &index.to_string());
                    self.collect_duplicates(item, key, out);
                    key.truncate(length);
                }
            }
            _ => {}
        }
    }

    fn locate(&self, parts: &[String], message: String) -> Mistake {
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

    /// Line number of a byte offset, counted from 1.
    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
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
