//! `gentianhinge check`: checks a settings file.

use std::path;

use gentianhinge_wire::settings;
use gentianhinged::edge;

use crate::exit::Exit;

/// Prints what a settings file holds, or every mistake in it.
pub fn run(matches: &clap::ArgMatches) -> Exit {
    let Some(file) = matches.get_one::<path::PathBuf>("FILE") else { return Exit::Usage };
    if matches.get_flag("platform") {
        return match edge::read_settings(file) {
            Ok(settings) => {
                println!("{}: correct; router {}", file.display(), settings.router.name);
                Exit::Ok
            }
            Err(err) => {
                eprintln!("{err}");
                let is_mistaken = matches!(err, edge::EdgeError::Settings(..));
                if is_mistaken { Exit::Mistakes } else { Exit::Unreadable }
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
        "correct; {} models on {model_targets} targets, {} services on {service_targets} targets, \
         {} teams, {} classes",
        settings.models.len(),
        settings.services.len(),
        settings.table.teams.len(),
        settings.table.classes.len(),
    )
}
