//! Documentation pages: agreement with the code, and links.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use gentianhinge_core::code::ResultCode;
use gentianhinge_standin::result_codes;

fn read(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("workspace");
    fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the paths of the files that a page links to.
fn links(page: &str) -> BTreeSet<String> {
    let targets = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    files.map(|target| target.split('#').next().unwrap_or_default().to_owned()).collect()
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    result_codes_page_is_generated_from_the_code => {
        assert_eq!(read("docs/RESULT-CODES.md"), result_codes::page());
    }

    each_result_code_is_unique_and_explained => {
        let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
        let names: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.name()).collect();
        assert_eq!((numbers.len(), names.len()), (ResultCode::ALL.len(), ResultCode::ALL.len()));
        for code in ResultCode::ALL {
            assert!(code.summary().ends_with('.'), "{code}");
        }
    }

    linked_files_exist => {
        for page in ["README.md", "CHANGELOG.md", "docs/OPERATIONS.md", "docs/GLOSSARY.md",
            "docs/INTERFACES.md", "docs/RESULT-CODES.md"] {
            let dir = Path::new(page).parent().expect("folder");
            for link in links(&read(page)) {
                let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(dir).join(&link);
                assert!(path.exists(), "{page} links to {link}");
            }
        }
    }
}
