//! Generates Rust types from `wire/schema` into `wire/src/generated`, and from `platform/schema` into
//! the platform crate.

use std::error;
use std::fs;
use std::path;

const SCHEMA_DIR: &str = "schema";
const OUT_DIR: &str = "src/generated";
/// Data in the platform's store. Only the platform crate uses its names.
const PLATFORM_SCHEMA: &str = "../platform/schema/bodies.schema.json";
const PLATFORM_OUT: &str = "../platform/src/bodies.rs";
const BOUNDS: [&str; 7] =
    ["minLength", "maxLength", "minimum", "maximum", "exclusiveMinimum", "minItems", "maxItems"];

fn main() -> Result<(), Box<dyn error::Error>> {
    generate_messages()?;
    for name in ["settings", "edge", "record"] {
        let schema = path::Path::new(SCHEMA_DIR).join(format!("{name}.schema.json"));
        generate_json(&schema, &path::Path::new(OUT_DIR).join(format!("{name}.rs")))?;
    }
    generate_json(path::Path::new(PLATFORM_SCHEMA), path::Path::new(PLATFORM_OUT))
}

/// Generates a module for each Cap'n Proto schema.
fn generate_messages() -> Result<(), Box<dyn error::Error>> {
    let mut command = capnpc::CompilerCommand::new();
    command.src_prefix(SCHEMA_DIR).output_path(OUT_DIR);
    command.default_parent_module(vec!["generated".into()]);
    for entry in fs::read_dir(SCHEMA_DIR)? {
        let file = entry?.path();
        if file.extension().is_some_and(|ext| ext == "capnp") {
            command.file(file);
        }
    }
    command.run()?;
    Ok(())
}

/// Generates the types of one JSON schema.
fn generate_json(schema: &path::Path, out: &path::Path) -> Result<(), Box<dyn error::Error>> {
    let text = fs::read_to_string(schema)?;
    let mut json = serde_json::from_str::<serde_json::Value>(&text)?;
    expand_defaults(&mut json);
    strip_bounds(&mut json);
    let schema = serde_json::from_value::<schemars::schema::RootSchema>(json)?;
    let mut space = typify::TypeSpace::new(typify::TypeSpaceSettings::default().with_struct_builder(false));
    space.add_root_schema(schema)?;
    let code = prettyplease::unparse(&syn::parse2(space.to_stream())?);
    fs::write(out, code)?;
    Ok(())
}

/// Replaces the default of each section by one that includes the defaults of all its fields.
///
/// For an empty default object, typify uses the defaults of the field types, not those of the schema.
fn expand_defaults(schema: &mut serde_json::Value) {
    let definitions = schema["definitions"].clone();
    let Some(sections) = schema["properties"].as_object_mut() else { return };
    for section in sections.values_mut() {
        let Some(name) = section["$ref"].as_str().and_then(|at| at.rsplit('/').next()) else {
            continue;
        };
        if section["default"].is_object() {
            section["default"] = full_default(&definitions[name]["properties"]);
        }
    }
}

fn full_default(properties: &serde_json::Value) -> serde_json::Value {
    let fields = properties.as_object().into_iter().flatten();
    let defaults = fields.filter(|(_, field)| !field["default"].is_null());
    defaults.map(|(key, field)| (key.clone(), field["default"].clone())).collect()
}

/// Removes bounds so that typify generates plain types; the validator checks the bounds at run time.
fn strip_bounds(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            // A property may have the name of a keyword; its value is then an object and is kept.
            map.retain(|key, entry| !(BOUNDS.contains(&key.as_str()) && !entry.is_object()));
            map.values_mut().for_each(strip_bounds);
        }
        serde_json::Value::Array(items) => items.iter_mut().for_each(strip_bounds),
        _ => {}
    }
}
