//! Watches the settings file for changes.

use std::fs;
use std::path;
use std::time::SystemTime;

use serde_json::json;

use super::{Context, read_settings};

/// The settings file and its last modification time.
pub struct SettingsFile<'a> {
    path: &'a path::Path,
    modified: Option<SystemTime>,
}

impl SettingsFile<'_> {
    /// Starts to watch a file.
    pub fn new(path: &path::Path) -> SettingsFile<'_> {
        let modified = fs::metadata(path).and_then(|meta| meta.modified()).ok();
        SettingsFile { path, modified }
    }

    /// Reads the file again if it has another modification time.
    pub fn reload_if_changed(&mut self, context: &Context) {
        let modified = fs::metadata(self.path).and_then(|meta| meta.modified()).ok();
        if modified.is_some() && modified != self.modified {
            self.modified = modified;
            self.reload(context, "file changed");
        }
    }

    /// Applies changed bounds and the log rate; addresses stay as they were at the start.
    pub fn reload(&mut self, context: &Context, cause: &str) {
        let outcome = match read_settings(self.path) {
            Ok(settings) => {
                context.state().set_bounds(&settings.bounds);
                context.state().set_placement(&settings.placement);
                context.log.set_rate(settings.log.max_lines_per_s);
                "applied".to_string()
            }
            Err(err) => format!("rejected, keeping the previous settings: {err}"),
        };
        context.log.state_change(json!({ "event": "reload", "cause": cause, "outcome": outcome }));
    }
}
