//! Runs a scenario.

use std::time::Duration;

use tokio::runtime;

use crate::expect;
use crate::script::{Action, Script};
use crate::world::{Event, World};

/// What came of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Checks that failed and what must never happen but did, in words.
    pub failures: Vec<String>,
    /// Callers' requests.
    pub request_count: usize,
    /// Simulated time.
    pub simulated_time: Duration,
    /// Each check with whether it held, for a reader.
    pub measured: Vec<String>,
}

/// Runs a scenario to its end, in a runtime of its own whose clock is paused.
pub fn run(script: &Script) -> Outcome {
    let runtime = runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime without I/O can be built").block_on(run_on_paused_clock(script))
}

async fn run_on_paused_clock(script: &Script) -> Outcome {
    let mut world = World::new(&script.setup);
    for step in &script.steps {
        if let Some(at) = step.at {
            world.schedule_at(at, Event::Action(step.action.clone()));
        }
    }
    let mut outcome = Outcome::default();
    for step in script.steps.iter().filter(|step| step.at.is_none()) {
        match &step.action {
            Action::Run(span) => world.run_for(*span).await,
            Action::Expect(check) => {
                let verdict = expect::evaluate(&world, check);
                let result = if verdict.passed { "holds" } else { "FAILS" };
                let line = step.line;
                outcome
                    .measured
                    .push(format!("line {line}: {check}: {result}: {}", verdict.measured));
                if !verdict.passed {
                    outcome.failures.extend(outcome.measured.last().cloned());
                }
            }
            action => world.apply_action(action),
        }
    }
    world.check_unanswered();
    outcome.failures.append(&mut world.oracle.violations);
    outcome.request_count = world.requests.len();
    outcome.simulated_time = world.now;
    outcome
}

impl World {
    fn check_unanswered(&mut self) {
        for request in self.requests.iter().filter(|request| request.outcome.is_none()) {
            let node = &self.nodes[request.node];
            if node.is_running() && self.now > node.thawed_at + Duration::from_millis(200) {
                self.oracle.on_unanswered(self.now, request);
            }
        }
    }
}
