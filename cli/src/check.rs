//! `gentianhinge check`: checks a settings file.

use std::path;

use gentianhinge_wire::settings;
use gentianhinged::edge;

use crate::exit::Exit;

/// Prints a summary of a valid settings file, or every mistake in an invalid one.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let Some(file) = matches.get_one::<path::PathBuf>("FILE") else { return Exit::Usage };
    if matches.get_flag("platform") {
        return match edge::read_settings(file) {
            Ok(settings) => {
                println!("{}: valid; router {}", file.display(), settings.router.name);
                Exit::Ok
            }
            Err(err) => {
                eprintln!("{err}");
                let is_invalid = matches!(err, edge::EdgeError::Settings(..));
                if is_invalid { Exit::Mistakes } else { Exit::Unreadable }
            }
        };
    }
    match settings::read_file(file) {
        Ok(settings) => {
            println!("{}: {}", file.display(), summary(&settings));
            Exit::Ok
        }
        Err(err @ settings::ReadError::Mistakes(..)) => {
            eprintln!("{err}");
            Exit::Mistakes
        }
        Err(err @ settings::ReadError::Unreadable(..)) => {
            eprintln!("{err}");
            Exit::Unreadable
        }
    }
}

fn summary(settings: &settings::Settings) -> String {
    let model_targets = settings.models.iter().map(|model| model.targets.len()).sum::<usize>();
    let service_targets =
        settings.services.iter().map(|service| service.targets.len()).sum::<usize>();
    format!(
        "valid; {} models on {model_targets} targets, {} services on {service_targets} targets, \
         {} teams, {} classes",
        settings.models.len(),
        settings.services.len(),
        settings.table.teams.len(),
        settings.table.classes.len(),
    )
}
