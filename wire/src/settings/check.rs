//! Checks of settings that a schema can't state.
//!
//! The checks read the untyped JSON value and pass over what has a wrong type, which the schema
//! reports.

use std::collections::BTreeMap;
use std::net;

use serde_json::Value;

/// Shortest secret that keys the peers' messages, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// One mistake, placed by JSON pointer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// JSON pointer of the value.
    pub pointer: String,
    /// What is wrong.
    pub message: String,
}

/// Finds all mistakes that the schema doesn't state.
pub fn check(json: &Value) -> Vec<Found> {
    let mut checks = Checks { json, found: Vec::new() };
    checks.listen();
    checks.platform();
    checks.peers();
    checks.backends("models");
    checks.backends("services");
    checks.targets();
    checks.routes();
    checks.classes();
    checks.teams();
    checks.key_hashes();
    checks.found
}

/// Whether a name can be printed, sent in a header and kept in a spreadsheet's cell.
///
/// The first character is a letter or a digit, so that no spreadsheet takes it for a formula.
pub fn is_name(name: &str) -> bool {
    let mut chars = name.chars();
    let first_fits = chars.next().is_some_and(char::is_alphanumeric);
    let is_inner = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    first_fits && chars.all(is_inner)
}

/// Decodes the hexadecimal digits of a key's hash.
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

struct Checks<'a> {
    json: &'a Value,
    found: Vec<Found>,
}

impl<'a> Checks<'a> {
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

    /// Reports strings that stand twice; the first place of each is named.
    fn unique(&mut self, what: &str, strings: Vec<(String, String)>) {
        let mut first = BTreeMap::<String, String>::new();
        for (pointer, text) in strings {
            if let Some(place) = first.get(&text) {
                let message = format!("{what} {text:?} stands at {} too", readable(place));
                self.report(pointer, message);
            } else {
                first.insert(text, pointer);
            }
        }
    }

    fn name(&mut self, pointer: String) -> Option<(String, String)> {
        let name = self.text(&pointer)?;
        if !name.is_empty() && !is_name(name) {
            let message = "may hold letters, digits, '-', '_' and '.', and starts with a letter \
                           or digit";
            self.report(pointer.clone(), message);
        }
        Some((pointer, name.to_string()))
    }

    fn addr(&mut self, pointer: &str, may_be_any_port: bool) -> Option<net::SocketAddr> {
        let text = self.text(pointer)?;
        let Ok(addr) = text.parse::<net::SocketAddr>() else {
            self.report(pointer, format!("{text:?} isn't an IP address and port"));
            return None;
        };
        if addr.port() == 0 && !may_be_any_port {
            self.report(pointer, "port 0 can't be connected to");
            return None;
        }
        Some(addr)
    }

    fn listen(&mut self) {
        for key in ["name", "region", "zone"] {
            self.name(format!("/router/{key}"));
        }
        let mut addrs = Vec::new();
        for key in ["callers_addr", "operators_addr", "peers_addr"] {
            let pointer = format!("/listen/{key}");
            let addr = self.addr(&pointer, true);
            let addr = addr.filter(|addr| addr.port() != 0);
            addrs.extend(addr.map(|addr| (pointer, addr.to_string())));
        }
        self.unique("address", addrs);
    }

    fn platform(&mut self) {
        for key in ["log_url", "hosts_url"] {
            let pointer = format!("/platform/{key}");
            let Some(text) = self.text(&pointer) else { continue };
            let uri = text.parse::<http::Uri>().ok();
            let fits = uri.as_ref().is_some_and(|uri| {
                uri.scheme_str() == Some("http") && uri.host().is_some_and(|host| !host.is_empty())
            });
            if !fits {
                self.report(pointer, format!("{text:?} isn't an http:// URL"));
            }
        }
    }

    fn peers(&mut self) {
        let seeds = self.items("/peers/seed_addrs");
        let mut addrs = Vec::new();
        for (pointer, _) in &seeds {
            let addr = self.addr(pointer, false);
            addrs.extend(addr.map(|addr| (pointer.clone(), addr.to_string())));
        }
        self.unique("address", addrs);
        let secret = self.text("/peers/secret").unwrap_or("");
        let too_short = secret.len() < MIN_SECRET_BYTES;
        if too_short && (!secret.is_empty() || !seeds.is_empty()) {
            let message = format!("shorter than {MIN_SECRET_BYTES} bytes");
            self.report("/peers/secret", message);
        }
        let interval_ms = self.number("/peers/probe_interval_ms", 1000);
        if self.number("/peers/probe_timeout_ms", 300) >= interval_ms {
            self.report("/peers/probe_timeout_ms", "isn't below probe_interval_ms");
        }
    }

    fn backends(&mut self, list: &str) {
        let mut names = Vec::new();
        for (pointer, _) in self.items(&format!("/{list}")) {
            names.extend(self.name(format!("{pointer}/name")));
        }
        self.unique("name", names);
    }

    fn targets(&mut self) {
        let mut names = Vec::new();
        let backends = [self.items("/models"), self.items("/services")].concat();
        for (backend, _) in backends {
            // One process may serve several services, but within one its slots would count twice.
            let mut addrs = Vec::new();
            for (pointer, _) in self.items(&format!("{backend}/targets")) {
                names.extend(self.name(format!("{pointer}/name")));
                self.name(format!("{pointer}/zone"));
                let at = format!("{pointer}/addr");
                let addr = self.addr(&at, false);
                addrs.extend(addr.map(|addr| (at, addr.to_string())));
            }
            self.unique("address", addrs);
        }
        self.unique("target", names);
    }

    fn routes(&mut self) {
        for (service, _) in self.items("/services") {
            for (route, value) in self.items(&format!("{service}/routes")) {
                let prefix = value.get("path_prefix").and_then(Value::as_str);
                if prefix.is_some_and(|prefix| !prefix.starts_with('/')) {
                    self.report(format!("{route}/path_prefix"), "doesn't start with '/'");
                }
                let method = value.get("method").and_then(Value::as_str);
                let is_upper = |c: u8| c.is_ascii_uppercase();
                if method.is_some_and(|m| m.is_empty() || !m.bytes().all(is_upper)) {
                    let message = "isn't an HTTP method in capital letters";
                    self.report(format!("{route}/method"), message);
                }
            }
        }
    }

    fn classes(&mut self) {
        let mut names = Vec::new();
        for (pointer, _) in self.items("/table/classes") {
            names.extend(self.name(format!("{pointer}/name")));
        }
        self.unique("class", names);
    }

    fn teams(&mut self) {
        let classes = self.items("/table/classes");
        let classes = classes.iter().filter_map(|(_, class)| class.get("name")?.as_str());
        let classes = classes.collect::<Vec<_>>();
        let mut names = Vec::new();
        for (pointer, _) in self.items("/table/teams") {
            names.extend(self.name(format!("{pointer}/name")));
            for (at, class) in self.items(&format!("{pointer}/classes")) {
                let Some(class) = class.as_str() else { continue };
                if !classes.contains(&class) {
                    self.report(at, format!("the price list has no class {class:?}"));
                }
            }
        }
        self.unique("team", names);
    }

    fn key_hashes(&mut self) {
        let teams = self.items("/table/teams");
        let lists = teams.into_iter().map(|(pointer, _)| format!("{pointer}/key_hashes"));
        let lists = lists.chain(["/table/operator_key_hashes".to_string()]).collect::<Vec<_>>();
        let mut hashes = Vec::new();
        for list in lists {
            for (pointer, hash) in self.items(&list) {
                let Some(hash) = hash.as_str() else { continue };
                // The schema reports another length.
                if hash.chars().count() == 64 && decode_key_hash(hash).is_none() {
                    self.report(pointer.clone(), "isn't hexadecimal");
                }
                hashes.push((pointer, hash.to_lowercase()));
            }
        }
        self.unique("key hash", hashes);
    }
}

/// Writes a JSON pointer like the key of a [`super::Mistake`].
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
