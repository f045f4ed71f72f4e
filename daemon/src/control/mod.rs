//! The control thread, which owns all fleet state and serves the traffic threads' commands.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc;
use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RequestId, RouterId};
use gentianhinge_core::{code, membership, pause, router, table};
use gentianhinge_wire::settings;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::{config, peer};

mod cells;
mod command;
pub mod fetch;
mod fleet;
mod hosted;
pub mod hosts;
pub mod loads;
pub mod members;
mod roles;
pub mod targets;
mod uplink;

pub use command::{Command, Handle};
pub use fleet::PeerSockets;

use fleet::Fleet;

/// Longest time between two checks of sessions and deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a starting router becomes ready even if it has reached no other router.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of a process pause after which this router discards its roles, sessions and grants, as a
/// fraction of the session timeout.
///
/// By then the other routers suspect this one, and may have reassigned its roles and slots.
const PAUSE_RATIO: f64 = 0.25;

/// Time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of commands that are handled before grants are issued.
const COMMAND_BATCH: usize = 256;

/// Inputs of [`run`].
pub struct Setup {
    /// Name and incarnation of the router.
    pub id: RouterId,
    /// Settings of the router.
    pub settings: settings::Settings,
    /// The table in force at the start.
    pub table: sync::Arc<table::Table>,
    /// Models and services with their targets.
    pub pools: Vec<config::Pool>,
    /// Host list of the platform and the intervals of its polls.
    pub platform: targets::Platform,
    /// Receives the commands of the traffic threads.
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// Sockets for other routers; `None` for a standalone router.
    pub peers: Option<PeerSockets>,
    /// Set to `true` once the router has joined the fleet, or after [`JOIN_TIMEOUT`].
    pub ready: watch::Sender<bool>,
}

/// Fleet state of one router.
struct Control {
    id: RouterId,
    region: Name,
    table: sync::Arc<table::Table>,
    settle_time: Duration,
    report_delay: Duration,
    router: router::Router,
    cells: cells::Cells,
    hosted: hosted::Hosted,
    uplinks: uplink::Uplinks,
    targets: targets::Targets,
    fleet: Option<Fleet>,
    waiters: HashMap<RequestId, oneshot::Sender<Result<Name, code::ResultCode>>>,
    /// Name of each cell's dispatcher, recomputed only when the membership changes.
    holders: BTreeMap<Name, Name>,
    /// Generation of the membership from which the roles were assigned; `None` forces a new
    /// assignment.
    generation: Option<u64>,
    report_at: Option<time::Instant>,
    /// Number of live routers in the host list; 0 if there is no list.
    listed_count: u32,
    ready: watch::Sender<bool>,
    join_deadline: time::Instant,
    pause: pause::PauseDetector,
    gauges_due_at: time::Instant,
}

/// Handles commands and peer events until the last [`Handle`] is dropped, then leaves the fleet.
///
/// # Errors
///
/// A socket can't be registered with the runtime.
pub async fn run(setup: Setup) -> std::io::Result<()> {
    let (context, mut events) = peer::Context::new(setup.id.clone(), &setup.settings.peers.secret);
    let Setup { id, settings, table, pools, platform, mut commands, peers, ready } = setup;
    let targets = targets::Targets::start(platform, &pools);
    let fleet = match peers {
        Some(peers) => Some(Fleet::start(&id, &settings, peers, &context).await?),
        None => None,
    };
    let mut control = Control::new(id, &settings, table, &pools, (context, targets, fleet, ready));
    let mut batch = Vec::with_capacity(COMMAND_BATCH);
    control.step(time::Instant::now());
    loop {
        let wakeup = control.next_wake();
        let input = tokio::select! {
            count = commands.recv_many(&mut batch, COMMAND_BATCH) => Input::Commands(count),
            Some(event) = events.recv() => Input::Event(event),
            update = control.targets.next_update() => Input::TargetUpdate(update),
            _ = fleet::readable(&control.fleet) => Input::Due,
            () = time::sleep_until(wakeup) => Input::Due,
        };
        let now = time::Instant::now();
        control.check_pause(now);
        match input {
            Input::Commands(0) => break,
            Input::Commands(_) => {
                batch.drain(..).for_each(|command| control.handle_command(command, now));
            }
            Input::Event(event) => {
                control.handle_peer_event(event, now);
                while let Ok(event) = events.try_recv() {
                    control.handle_peer_event(event, now);
                }
            }
            Input::TargetUpdate(update) => control.handle_target_update(update, now),
            Input::Due => {}
        }
        control.step(now);
    }
    control.leave();
    Ok(())
}

/// What woke the control thread.
enum Input {
    /// Number of commands in the batch; 0 after the last handle is dropped.
    Commands(usize),
    Event(peer::Event),
    TargetUpdate(targets::Update),
    /// A datagram has arrived or a timer has expired.
    Due,
}

type Resources = (rc::Rc<peer::Context>, targets::Targets, Option<Fleet>, watch::Sender<bool>);

impl Control {
    fn new(
        id: RouterId,
        settings: &settings::Settings,
        table: sync::Arc<table::Table>,
        pools: &[config::Pool],
        (context, targets, fleet, ready): Resources,
    ) -> Control {
        let times = &settings.control;
        let mut router = router::Router::new(id.clone(), table.clone());
        router.set_report_interval(Duration::from_millis(times.report_interval_ms));
        let region = &settings.router.region;
        let timeout = Duration::from_millis(times.session_timeout_ms);
        Control {
            region: region.as_str().into(),
            settle_time: Duration::from_millis(times.settle_ms),
            report_delay: Duration::from_millis(times.report_delay_ms),
            router,
            cells: cells::Cells::new(pools, region, times.targets_per_cell as usize),
            hosted: hosted::Hosted::default(),
            uplinks: uplink::Uplinks::new(context, timeout),
            targets,
            fleet,
            waiters: HashMap::new(),
            holders: BTreeMap::new(),
            generation: None,
            report_at: None,
            listed_count: 0,
            ready,
            join_deadline: time::Instant::now() + JOIN_TIMEOUT,
            gauges_due_at: time::Instant::now(),
            pause: pause::PauseDetector::new(timeout.mul_f64(PAUSE_RATIO), time::Instant::now()),
            id,
            table,
        }
    }

    fn handle_command(&mut self, command: Command, now: time::Instant) {
        if !matches!(command, Command::Progress { .. }) {
            self.schedule_report(now);
        }
        match command {
            Command::Submit { submit, reply } => self.submit(submit, reply, now),
            Command::Progress { id, cost } => self.router.progress(id, cost),
            Command::Fail { id } => self.router.fail(id),
            Command::DrainTarget { target } => {
                self.targets.drain(target.clone());
                self.hosted.drain_target(&target);
            }
            Command::SetTable(table) => {
                self.router.set_table(table.clone());
                self.hosted.set_table(&table);
                self.table = table;
            }
            Command::SetAppliedOffset(offset) => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.membership.set_applied_offset(offset);
                }
            }
            Command::ListRouters { reply } => {
                let members = self.fleet.iter().flat_map(|fleet| fleet.membership.members());
                let _ = reply.send(members::applied_offsets(members));
            }
            Command::Finish { id } => {
                self.waiters.remove(&id);
                self.router.finish(id);
            }
            Command::Drain => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.membership.set_draining(true);
                }
            }
        }
    }

    fn submit(
        &mut self,
        mut submit: router::Submit,
        reply: oneshot::Sender<Result<Name, code::ResultCode>>,
        now: time::Instant,
    ) {
        let id = submit.id;
        if let Some(cell) = self.cells.for_request(&submit.cell, id) {
            submit.cell = cell.clone();
        }
        match self.router.submit(submit, now) {
            Ok(()) => {
                self.waiters.insert(id, reply);
            }
            Err(err) => {
                let _ = reply.send(Err(err.code()));
            }
        }
    }

    fn handle_target_update(&mut self, update: targets::Update, now: time::Instant) {
        match update {
            targets::Update::Load(event) => {
                let leaving = event.load.as_ref().filter(|load| load.leaving);
                if let Some(incarnation) = leaving.map(|load| load.incarnation) {
                    self.announce_leave(&event.target, incarnation);
                }
                if let Some(dispatcher) = self.hosted.dispatcher(&event.cell) {
                    targets::apply_load(dispatcher, event, now);
                }
            }
            targets::Update::Hosts(list) => {
                for target in self.targets.apply_host_list(&list) {
                    self.hosted.drain_target(&target);
                    self.targets.fetch_incarnation(&target);
                }
                self.listed_count = u32::try_from(list.live_router_count()).unwrap_or(u32::MAX);
                if let Some(fleet) = &mut self.fleet {
                    let listed = list.router_addrs().take(membership::MAX_MEMBERS);
                    let seeds = fleet.settings_seeds.iter().copied().chain(listed);
                    fleet.membership.set_seeds(seeds.collect());
                }
                self.update_view();
            }
            targets::Update::Leaving(target, incarnation) => {
                self.announce_leave(&target, incarnation)
            }
        }
    }

    /// Announces to the fleet that an incarnation of a target accepts no new work.
    fn announce_leave(&mut self, target: &Name, incarnation: u64) {
        self.hosted.drain_incarnation(target, incarnation);
        if let Some(fleet) = &mut self.fleet {
            fleet.membership.add_leaving_target(target, incarnation);
        }
    }

    fn handle_peer_event(&mut self, event: peer::Event, now: time::Instant) {
        match event {
            peer::Event::Join { session, router, cell, sink, reply } => {
                let accepted = self.hosted.join(session, router, cell, sink);
                if reply.send(accepted).is_err() {
                    self.hosted.end(session);
                }
            }
            peer::Event::Report { session, report } => self.hosted.report(session, report, now),
            peer::Event::SessionEnded { session } => self.hosted.end(session),
            peer::Event::Connected { router, link } => self.uplinks.connected(&router, link),
            peer::Event::Disconnected { link } => {
                if let Some(router) = self.uplinks.disconnected(link, now) {
                    self.suspect(&router, now);
                }
            }
            peer::Event::Joined { cell, session, lease } => {
                if let Some(dispatcher) = self.uplinks.joined(&cell, session, lease, now) {
                    self.router.set_dispatcher(&cell, dispatcher);
                    self.report_at = Some(now);
                }
            }
            peer::Event::Granted { session, batch } => {
                if self.uplinks.is_current(&batch.cell, session) {
                    self.take_grants(&batch);
                    self.schedule_report(now);
                }
            }
            peer::Event::Pinged { link } => self.uplinks.pinged(link),
        }
    }

    /// Runs all work that is due.
    fn step(&mut self, now: time::Instant) {
        if let Some(fleet) = &mut self.fleet {
            fleet.step(now);
        }
        self.update_ready(now);
        self.assign_roles(now);
        self.open_sessions(now);
        for router in self.uplinks.check_liveness(now) {
            self.suspect(&router, now);
        }
        self.expire_requests(now);
        self.dispatch_local(now);
        self.send_reports(now);
        self.update_gauges(now);
    }

    /// Updates the gauges once per [`GAUGE_INTERVAL`].
    fn update_gauges(&mut self, now: time::Instant) {
        if now < self.gauges_due_at {
            return;
        }
        self.gauges_due_at = now + GAUGE_INTERVAL;
        let live = self.fleet.as_ref().map_or(1, Fleet::live_count);
        metrics::gauge!("gentianhinge_live_routers").set(live as f64);
        let cells = self.cells.names().filter(|name| self.hosted.has(name)).count();
        metrics::gauge!("gentianhinge_dispatched_cells").set(cells as f64);
        let running = self.router.running_count();
        metrics::gauge!("gentianhinge_running_requests").set(running as f64);
        let waiting = self.router.request_count() - running;
        metrics::gauge!("gentianhinge_waiting_requests").set(waiting as f64);
    }

    fn update_ready(&mut self, now: time::Instant) {
        let known = self.fleet.as_ref().is_none_or(|fleet| fleet.membership.has_joined());
        if !*self.ready.borrow() && (known || now >= self.join_deadline) {
            self.ready.send_replace(true);
        }
    }

    fn suspect(&mut self, router: &RouterId, now: time::Instant) {
        if let Some(fleet) = &mut self.fleet {
            fleet.membership.probe_now(&router.name, now);
            let envelopes = fleet.membership.poll(now);
            fleet.gossip.send(&envelopes);
        }
    }

    fn expire_requests(&mut self, now: time::Instant) {
        if self.router.next_wake().is_some_and(|at| at <= now) {
            self.schedule_report(now);
        }
        for id in self.router.expire(now) {
            if let Some(reply) = self.waiters.remove(&id) {
                let _ = reply.send(Err(code::ResultCode::WaitExpired));
            }
        }
    }

    /// Passes reports to the dispatchers that this router hosts and issues their grants.
    fn dispatch_local(&mut self, now: time::Instant) {
        let own = self.router.cells().filter(|(_, dispatcher)| *dispatcher == Some(&self.id));
        let own = own.map(|(cell, _)| cell.clone()).collect::<Vec<_>>();
        for cell in own {
            let Some(dispatcher) = self.hosted.dispatcher(&cell) else { continue };
            if let Some(report) = self.router.take_report(&cell, now) {
                dispatcher.report(report, now);
            }
        }
        for batch in self.hosted.poll(&self.id, now) {
            self.take_grants(&batch);
        }
    }

    /// Schedules a report after the report delay, so that several changes share one message.
    fn schedule_report(&mut self, now: time::Instant) {
        self.report_at.get_or_insert(now + self.report_delay);
    }

    /// Sends the accumulated changes to remote dispatchers.
    fn send_reports(&mut self, now: time::Instant) {
        if self.report_at.is_none_or(|at| now < at) {
            return;
        }
        self.report_at = None;
        for (cell, can_send) in self.uplinks.joined_sessions() {
            if !can_send {
                self.schedule_report(now + TICK_INTERVAL);
            } else if let Some(report) = self.router.take_report(&cell, now) {
                self.uplinks.report(&report);
            }
        }
    }

    fn take_grants(&mut self, batch: &gentianhinge_core::message::GrantBatch) {
        for start in self.router.take_grants(batch) {
            // A waiter that was dropped sends its own `Finish` command.
            if let Some(reply) = self.waiters.remove(&start.id) {
                let _ = reply.send(Ok(start.target));
            }
        }
    }

    fn next_wake(&self) -> time::Instant {
        let tick = time::Instant::now() + TICK_INTERVAL;
        let fleet = self.fleet.as_ref().map(|fleet| fleet.membership.next_wakeup());
        let wakes = [fleet, self.router.next_wake(), self.hosted.next_wake(), self.report_at];
        wakes.into_iter().flatten().fold(tick, time::Instant::min)
    }

    /// Gives up all roles and announces to the fleet that this router leaves.
    fn leave(&mut self) {
        let names = self.cells.names().cloned().collect::<BTreeSet<_>>();
        names.iter().for_each(|name| self.hosted.stop(name));
        if let Some(fleet) = &mut self.fleet {
            fleet.membership.leave();
            let envelopes = fleet.membership.poll(time::Instant::now());
            fleet.gossip.send(&envelopes);
        }
    }
}
