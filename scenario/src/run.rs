//! Runs a script to its end and collects the results.

use std::time::Duration;

use tokio::runtime;

use crate::expect;
use crate::script::{Action, Script};
use crate::world::{Event, World};

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Failed checks and violated invariants, as text.
    pub failures: Vec<String>,
    /// Requests that callers sent.
    pub request_count: usize,
    /// Time on the simulated clock at the end of the run.
    pub simulated_time: Duration,
    /// Each check with its measurement and whether it passed, as text.
    pub measured: Vec<String>,
}

/// Runs a script to its end.
///
/// The run has its own Tokio runtime with a paused clock, so it can't be called from async code.
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
                let check_result = expect::evaluate(&world, check);
                let result = if check_result.passed { "holds" } else { "FAILS" };
                let line = step.line;
                outcome
                    .measured
                    .push(format!("line {line}: {check}: {result}: {}", check_result.measured));
                if !check_result.passed {
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
