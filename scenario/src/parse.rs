//! Parses the text of a scenario.

use std::str;
use std::time;

use quick_error::quick_error;

use crate::script::{
    Action, ClassSetup, Expect, Indices, Load, Nodes, Script, Setup, Step, TeamSetup,
};

/// Maximum number of routers, targets or slots per target.
const MAX_COUNT: usize = 1000;

quick_error! {
    /// Why a scenario's text is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ParseError {
        /// The line number, from 1, and what is wrong in that line.
        Line(line: usize, message: String) {
            display("line {line}: {message}")
        }
    }
}

/// Parses a scenario; the grammar is in the crate's documentation.
///
/// # Errors
///
/// Returns the number of the first invalid line and the reason. Parsing stops there.
pub fn parse(text: &str) -> Result<Script, ParseError> {
    let mut script = Script::default();
    for (i, line) in text.lines().enumerate() {
        let line_number = i + 1;
        let statement = line.split('#').next().unwrap_or_default();
        let mut words = Words { words: statement.split_whitespace().collect(), next: 0 };
        if words.words.is_empty() {
            continue;
        }
        let result = parse_statement(&mut script, line_number, &mut words);
        result.map_err(|message| ParseError::Line(line_number, message))?;
    }
    if script.setup.classes.is_empty() {
        script.setup.classes.push(default_class("now"));
    }
    Ok(script)
}

fn default_class(name: &str) -> ClassSetup {
    ClassSetup { name: name.to_owned(), price_ratio: 1.0, max_wait: time::Duration::from_secs(600) }
}

/// Cursor over the words of one line.
struct Words<'a> {
    words: Vec<&'a str>,
    next: usize,
}

impl<'a> Words<'a> {
    /// Consumes a word; `item` describes it in the error if the line has ended.
    fn word(&mut self, item: &str) -> Result<&'a str, String> {
        let word = self.words.get(self.next).ok_or_else(|| format!("{item} is missing"))?;
        self.next += 1;
        Ok(word)
    }

    /// Consumes the next word and returns true if it is `keyword`.
    fn take(&mut self, keyword: &str) -> bool {
        let found = self.words.get(self.next) == Some(&keyword);
        self.next += usize::from(found);
        found
    }

    fn keyword(&mut self, keyword: &str) -> Result<(), String> {
        match self.word(keyword)? {
            word if word == keyword => Ok(()),
            word => Err(format!("`{keyword}` expected, found `{word}`")),
        }
    }

    fn number<T: str::FromStr>(&mut self, item: &str) -> Result<T, String> {
        let word = self.word(item)?;
        word.parse().map_err(|_| format!("{item} expected, found `{word}`"))
    }

    /// Consumes a number that must be finite and greater than 0.
    fn positive(&mut self, item: &str) -> Result<f64, String> {
        let value = self.number::<f64>(item)?;
        if value.is_finite() && value > 0.0 {
            Ok(value)
        } else {
            Err(format!("{item} must be > 0"))
        }
    }

    fn count(&mut self, item: &str) -> Result<usize, String> {
        match self.number(item)? {
            count @ 1..=MAX_COUNT => Ok(count),
            count => Err(format!("{item} must be 1 to {MAX_COUNT}, found {count}")),
        }
    }

    fn duration(&mut self) -> Result<time::Duration, String> {
        let word = self.word("a duration")?;
        let digits = word.trim_end_matches(char::is_alphabetic);
        let ms_per_unit = match &word[digits.len()..] {
            "ms" => 1.0,
            "s" => 1e3,
            "m" => 60e3,
            _ => return Err(format!("a duration (ms, s or m) expected, found `{word}`")),
        };
        let value = digits.parse::<f64>().map_err(|_| format!("`{word}` isn't a duration"))?;
        let seconds = value * ms_per_unit / 1e3;
        time::Duration::try_from_secs_f64(seconds).map_err(|err| format!("`{word}`: {err}"))
    }

    fn routers(&mut self, setup: &Setup) -> Result<Indices, String> {
        let word = self.word("routers")?;
        if word == "all" {
            return Ok((0..setup.router_count).collect());
        }
        let mut indices = Indices::new();
        for part in word.split(',') {
            let (first, last) = part.split_once("..").unwrap_or((part, part));
            let first = index_of(first, 'r', setup.router_count)?;
            let last = index_of(last, 'r', setup.router_count)?;
            indices.extend(first..=last);
        }
        if indices.is_empty() { Err(format!("`{word}` names no router")) } else { Ok(indices) }
    }

    fn nodes(&mut self, setup: &Setup) -> Result<Nodes, String> {
        if self.take("dispatcher") {
            return Ok(Nodes::Dispatcher);
        }
        if self.take("dead") {
            return Ok(Nodes::Dead);
        }
        self.routers(setup).map(Nodes::Routers)
    }

    fn target(&mut self, setup: &Setup) -> Result<usize, String> {
        index_of(self.word("a target")?, 't', setup.target_count)
    }

    fn team(&mut self, setup: &Setup) -> Result<String, String> {
        let name = self.word("a team")?;
        let known = setup.teams.iter().any(|team| team.name == name);
        if known { Ok(name.to_owned()) } else { Err(format!("no team `{name}`")) }
    }

    fn end(&self) -> Result<(), String> {
        match self.words.get(self.next) {
            Some(word) => Err(format!("end of line expected, found `{word}`")),
            None => Ok(()),
        }
    }
}

fn index_of(word: &str, prefix: char, count: usize) -> Result<usize, String> {
    let number = word.strip_prefix(prefix).and_then(|digits| digits.parse::<usize>().ok());
    match number {
        Some(number) if (1..=count).contains(&number) => Ok(number - 1),
        _ => Err(format!("{prefix}1 to {prefix}{count} expected, found `{word}`")),
    }
}

fn parse_statement(script: &mut Script, line: usize, words: &mut Words<'_>) -> Result<(), String> {
    let is_setup = parse_setup(&mut script.setup, words)?;
    if is_setup {
        if !script.steps.is_empty() {
            return Err("setup must come before all actions".to_owned());
        }
        return words.end();
    }
    let at = if words.take("at") { Some(words.duration()?) } else { None };
    let action = action(&script.setup, words)?;
    if at.is_some() && matches!(action, Action::Run(_) | Action::Expect(_)) {
        return Err("`run` and `expect` can't be scheduled with `at`".to_owned());
    }
    words.end()?;
    script.steps.push(Step { line, at, action });
    Ok(())
}

/// Parses a setup statement; returns false and resets the cursor if the line is no setup statement.
fn parse_setup(setup: &mut Setup, words: &mut Words<'_>) -> Result<bool, String> {
    match words.word("a verb")? {
        "seed" => setup.seed = words.number("a seed")?,
        "routers" => setup.router_count = words.count("the number of routers")?,
        "targets" => {
            setup.target_count = words.count("the number of targets")?;
            words.keyword("slots")?;
            setup.slots = words.count("the number of slots")? as u32;
            if words.take("lookahead") {
                setup.lookahead_slots = words.number("the look-ahead")?;
            }
        }
        "delay" => setup.delay = words.duration()?,
        "report" => setup.report_interval = words.duration()?,
        "team" => setup.teams.push(parse_team(words)?),
        "class" => setup.classes.push(parse_class(words)?),
        _ => {
            words.next = 0;
            return Ok(false);
        }
    }
    Ok(true)
}

fn parse_team(words: &mut Words<'_>) -> Result<TeamSetup, String> {
    let mut team = TeamSetup {
        name: words.word("the team's name")?.to_owned(),
        weight: 1.0,
        min_cost_tokens: 20,
        max_cost_tokens: 2000,
        max_waiting_requests: 1000,
    };
    if words.take("weight") {
        team.weight = words.positive("the weight")?;
    }
    if words.take("cost") {
        let word = words.word("the costs")?;
        let range =
            word.split_once("..").and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
        (team.min_cost_tokens, team.max_cost_tokens) = range
            .filter(|(min, max)| *min > 0 && min <= max)
            .ok_or_else(|| format!("costs as `20..2000` expected, found `{word}`"))?;
    }
    if words.take("waiting") {
        team.max_waiting_requests = words.number("the limit")?;
    }
    Ok(team)
}

fn parse_class(words: &mut Words<'_>) -> Result<ClassSetup, String> {
    let mut class = default_class(words.word("the class's name")?);
    if words.take("price") {
        class.price_ratio = words.positive("the price")?;
    }
    if words.take("wait") {
        class.max_wait = words.duration()?;
    }
    Ok(class)
}

/// Parses `TEAM [class CLASS] on ROUTERS KEYWORD N`.
fn load(setup: &Setup, words: &mut Words<'_>, keyword: &str) -> Result<Load, String> {
    let team = words.team(setup)?;
    let mut class = None;
    if words.take("class") {
        let name = words.word("a class")?;
        if !setup.classes.iter().any(|class| class.name == name) {
            return Err(format!("no class `{name}`"));
        }
        class = Some(name.to_owned());
    }
    words.keyword("on")?;
    let routers = words.routers(setup)?;
    words.keyword(keyword)?;
    let count = words.number("the number of requests")?;
    Ok(Load { team, class, routers, count })
}

fn action(setup: &Setup, words: &mut Words<'_>) -> Result<Action, String> {
    Ok(match words.word("a verb")? {
        "backlog" => Action::Backlog(load(setup, words, "count")?),
        "submit" => Action::Submit { load: load(setup, words, "count")?, once: words.take("once") },
        "flood" => {
            let load = load(setup, words, "rate")?;
            words.keyword("for")?;
            Action::Flood { load, duration: words.duration()? }
        }
        "cut" => {
            let left = words.routers(setup)?;
            words.keyword("|")?;
            Action::Cut(left, words.routers(setup)?)
        }
        "heal" => Action::Heal,
        "freeze" => Action::Freeze(words.nodes(setup)?, words.duration()?),
        "kill" => Action::Kill(words.nodes(setup)?),
        "restart" => Action::Restart(words.nodes(setup)?),
        "drain" => Action::Drain(words.nodes(setup)?),
        "leave" => Action::Leave(words.target(setup)?),
        "crash" => Action::Crash(words.target(setup)?),
        "return" => Action::Return(words.target(setup)?),
        "edit" => {
            let team = words.team(setup)?;
            words.keyword("weight")?;
            Action::Edit { team, weight: words.positive("the weight")? }
        }
        "measure" => Action::Measure,
        "run" => Action::Run(words.duration()?),
        "expect" => Action::Expect(expect(setup, words)?),
        verb => return Err(format!("unknown verb `{verb}`")),
    })
}

fn at_most<T: str::FromStr>(words: &mut Words<'_>) -> Result<T, String> {
    words.keyword("<=")?;
    words.number("a bound")
}

fn at_least<T: str::FromStr>(words: &mut Words<'_>) -> Result<T, String> {
    words.keyword(">=")?;
    words.number("a bound")
}

fn expect(setup: &Setup, words: &mut Words<'_>) -> Result<Expect, String> {
    Ok(match words.word("a check")? {
        "gap" => {
            let max_largest_requests = at_most(words)?;
            words.keyword("largest")?;
            Expect::Gap { max_largest_requests }
        }
        "idle-while-waiting" => {
            words.keyword("<=")?;
            Expect::IdleWhileWaiting(words.duration()?)
        }
        "utilisation" => Expect::Utilisation { min: at_least(words)? },
        "overload" => Expect::Overload { max: at_most(words)? },
        "runs-per-request" => Expect::RunsPerRequest { max: at_most(words)? },
        "grants-resume-within" => Expect::GrantsResumeWithin(words.duration()?),
        "served-within" => Expect::ServedWithin(words.duration()?),
        "share" => {
            let team = words.team(setup)?;
            let share = words.number("a share")?;
            words.keyword("+-")?;
            Expect::Share { team, share, tolerance: words.number("a tolerance")? }
        }
        "no-work-on" => {
            let target = words.target(setup)?;
            words.keyword("after")?;
            Expect::NoWorkOn { target, after: words.duration()? }
        }
        "dispatchers" => Expect::Dispatchers { min: at_least(words)? },
        "refused" => Expect::Refused { team: words.team(setup)?, min: at_least(words)? },
        "expired" => Expect::Expired { min: at_least(words)? },
        "all-answered" => Expect::AllAnswered,
        "drained" => Expect::Drained(words.routers(setup)?),
        check => return Err(format!("unknown check `{check}`")),
    })
}
