//! Checks of settings that a JSON schema can't express.
//!
//! The checks read the untyped JSON value and skip values of a wrong type, which the schema validator
//! reports.

use std::collections::BTreeMap;
use std::net;

use serde_json::Value;

/// Minimum length of the secret that authenticates messages between routers.
pub const MIN_SECRET_BYTES: usize = 16;

/// One mistake, located by JSON pointer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// JSON pointer of the value.
    pub pointer: String,
    /// What is wrong with the value.
    pub message: String,
}

/// Returns all mistakes that the schema validator doesn't report.
pub fn check(json: &Value) -> Vec<Found> {
    let mut checker = Checker { json, found: Vec::new() };
    checker.listen();
    checker.platform();
    checker.peers();
    checker.backends("models");
    checker.backends("services");
    checker.targets();
    checker.routes();
    checker.classes();
    checker.teams();
    checker.key_hashes();
    checker.found
}

/// Returns whether a name can be printed, sent in a header and stored in a spreadsheet cell.
///
/// The first character must be a letter or digit, so that no spreadsheet reads the name as a formula.
pub fn is_valid_name(name: &str) -> bool {
    let mut chars = name.chars();
    let first_fits = chars.next().is_some_and(char::is_alphanumeric);
    let is_inner = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    first_fits && chars.all(is_inner)
}

/// Decodes a key hash from 64 hexadecimal digits; `None` for any other text.
pub fn decode_key_hash(text: &str) -> Option<[u8; 32]> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(bytes.chunks_exact(2)) {
        let digit = |c: u8| (c as char).to_digit(16).and_then(|digit| u8::try_from(digit).ok());
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(hash)
}

struct Checker<'a> {
    json: &'a Value,
    found: Vec<Found>,
}

impl<'a> Checker<'a> {
    fn report(&mut self, pointer: impl Into<String>, message: impl Into<String>) {
        self.found.push(Found { pointer: pointer.into(), message: message.into() });
    }

    fn items(&self, pointer: &str) -> Vec<(String, &'a Value)> {
        let items = self.json.pointer(pointer).and_then(Value::as_array);
        let items = items.map(|items| items.as_slice()).unwrap_or_default();
        items.iter().enumerate().map(|(i, item)| (format!("{pointer}/{i}"), item)).collect()
    }

    fn text(&self, pointer: &str) -> Option<&'a str> {
        self.json.pointer(pointer).and_then(Value::as_str)
    }

    fn number(&self, pointer: &str, default: u64) -> u64 {
        self.json.pointer(pointer).and_then(Value::as_u64).unwrap_or(default)
    }

    /// Reports repeated strings, each with the key of the first occurrence. `strings` holds pairs of
    /// pointer and string.
    fn check_unique(&mut self, what: &str, strings: Vec<(String, String)>) {
        let mut first = BTreeMap::<String, String>::new();
        for (pointer, text) in strings {
            if let Some(original) = first.get(&text) {
                let message =
                    format!("duplicate {what} {text:?}, first used at {}", readable(original));
                self.report(pointer, message);
            } else {
                first.insert(text, pointer);
            }
        }
    }

    /// Checks a name. Returns its pointer and text, also if the name is invalid.
    fn check_name(&mut self, pointer: String) -> Option<(String, String)> {
        let name = self.text(&pointer)?;
        if !name.is_empty() && !is_valid_name(name) {
            let message = "must start with a letter or digit and contain only letters, digits, \
                           '-', '_' and '.'";
            self.report(pointer.clone(), message);
        }
        Some((pointer, name.to_string()))
    }

    /// Checks an address; port 0 is an error unless `allow_port_0`.
    fn check_addr(&mut self, pointer: &str, allow_port_0: bool) -> Option<net::SocketAddr> {
        let text = self.text(pointer)?;
        let Ok(addr) = text.parse::<net::SocketAddr>() else {
            self.report(pointer, format!("{text:?} isn't an IP address and port"));
            return None;
        };
        if addr.port() == 0 && !allow_port_0 {
            self.report(pointer, "port 0 isn't allowed for an address to connect to");
            return None;
        }
        Some(addr)
    }

    fn listen(&mut self) {
        for key in ["name", "region", "zone"] {
            self.check_name(format!("/router/{key}"));
        }
        let mut addrs = Vec::new();
        for key in ["callers_addr", "operators_addr", "peers_addr"] {
            let pointer = format!("/listen/{key}");
            let addr = self.check_addr(&pointer, true);
            let addr = addr.filter(|addr| addr.port() != 0);
            addrs.extend(addr.map(|addr| (pointer, addr.to_string())));
        }
        self.check_unique("address", addrs);
    }

    fn platform(&mut self) {
        for key in ["log_url", "hosts_url"] {
            let pointer = format!("/platform/{key}");
            let Some(text) = self.text(&pointer) else { continue };
            let uri = text.parse::<http::Uri>().ok();
            let is_http = uri.as_ref().is_some_and(|uri| {
                uri.scheme_str() == Some("http") && uri.host().is_some_and(|host| !host.is_empty())
            });
            if !is_http {
                self.report(pointer, format!("{text:?} isn't an http:// URL"));
            }
        }
    }

    fn peers(&mut self) {
        let seeds = self.items("/peers/seed_addrs");
        let mut addrs = Vec::new();
        for (pointer, _) in &seeds {
            let addr = self.check_addr(pointer, false);
            addrs.extend(addr.map(|addr| (pointer.clone(), addr.to_string())));
        }
        self.check_unique("address", addrs);
        let secret = self.text("/peers/secret").unwrap_or("");
        let too_short = secret.len() < MIN_SECRET_BYTES;
        if too_short && (!secret.is_empty() || !seeds.is_empty()) {
            let message = format!("must have at least {MIN_SECRET_BYTES} bytes");
            self.report("/peers/secret", message);
        }
        let interval_ms = self.number("/peers/probe_interval_ms", 1000);
        if self.number("/peers/probe_timeout_ms", 300) >= interval_ms {
            self.report("/peers/probe_timeout_ms", "must be less than probe_interval_ms");
        }
    }

    fn backends(&mut self, list: &str) {
        let mut names = Vec::new();
        for (pointer, _) in self.items(&format!("/{list}")) {
            names.extend(self.check_name(format!("{pointer}/name")));
        }
        self.check_unique("name", names);
    }

    fn targets(&mut self) {
        let mut names = Vec::new();
        let backends = [self.items("/models"), self.items("/services")].concat();
        for (backend, _) in backends {
            // A process may serve several services, but a repeated address within one service would
            // count its slots twice.
            let mut addrs = Vec::new();
            for (pointer, _) in self.items(&format!("{backend}/targets")) {
                names.extend(self.check_name(format!("{pointer}/name")));
                self.check_name(format!("{pointer}/zone"));
                let at = format!("{pointer}/addr");
                let addr = self.check_addr(&at, false);
                addrs.extend(addr.map(|addr| (at, addr.to_string())));
            }
            self.check_unique("address", addrs);
        }
        self.check_unique("target", names);
    }

    fn routes(&mut self) {
        for (service, _) in self.items("/services") {
            for (route, value) in self.items(&format!("{service}/routes")) {
                let prefix = value.get("path_prefix").and_then(Value::as_str);
                if prefix.is_some_and(|prefix| !prefix.starts_with('/')) {
                    self.report(format!("{route}/path_prefix"), "must start with '/'");
                }
                let method = value.get("method").and_then(Value::as_str);
                let is_upper = |c: u8| c.is_ascii_uppercase();
                if method.is_some_and(|m| m.is_empty() || !m.bytes().all(is_upper)) {
                    let message = "must be an HTTP method in capital letters";
                    self.report(format!("{route}/method"), message);
                }
            }
        }
    }

    fn classes(&mut self) {
        let mut names = Vec::new();
        for (pointer, _) in self.items("/table/classes") {
            names.extend(self.check_name(format!("{pointer}/name")));
        }
        self.check_unique("class", names);
    }

    fn teams(&mut self) {
        let classes = self.items("/table/classes");
        let classes = classes.iter().filter_map(|(_, class)| class.get("name")?.as_str());
        let classes = classes.collect::<Vec<_>>();
        let mut names = Vec::new();
        for (pointer, _) in self.items("/table/teams") {
            names.extend(self.check_name(format!("{pointer}/name")));
            for (at, class) in self.items(&format!("{pointer}/classes")) {
                let Some(class) = class.as_str() else { continue };
                if !classes.contains(&class) {
                    self.report(at, format!("unknown class {class:?}"));
                }
            }
        }
        self.check_unique("team", names);
    }

    fn key_hashes(&mut self) {
        let teams = self.items("/table/teams");
        let lists = teams.into_iter().map(|(pointer, _)| format!("{pointer}/key_hashes"));
        let lists = lists.chain(["/table/operator_key_hashes".to_string()]).collect::<Vec<_>>();
        let mut hashes = Vec::new();
        for list in lists {
            for (pointer, hash) in self.items(&list) {
                let Some(hash) = hash.as_str() else { continue };
                // The schema validator reports a wrong length.
                if hash.chars().count() == 64 && decode_key_hash(hash).is_none() {
                    self.report(pointer.clone(), "isn't hexadecimal");
                }
                hashes.push((pointer, hash.to_lowercase()));
            }
        }
        self.check_unique("key hash", hashes);
    }
}

/// Converts a JSON pointer to the form of [`super::Mistake::key`].
fn readable(pointer: &str) -> String {
    let mut key = String::new();
    for part in pointer.split('/').skip(1) {
        if part.bytes().all(|byte| byte.is_ascii_digit()) {
            key.push_str(&format!("[{part}]"));
            continue;
        }
        if !key.is_empty() {
            key.push('.');
        }
        key.push_str(part);
    }
    key
}
