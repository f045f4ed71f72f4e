//! Processor time of the threads of this process, selected by name.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Total processor time of all threads with one of these names, as counted by the scheduler.
pub(super) fn thread_time(names: &[&str]) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let times = threads.filter_map(|thread| {
        let path = thread.ok()?.path();
        let name = fs::read_to_string(path.join("comm")).ok()?;
        names.contains(&name.trim()).then(|| scheduled_time(&path))?
    });
    times.sum()
}

/// Processor time of a thread: the first number of `schedstat`, in nanoseconds.
fn scheduled_time(thread: &Path) -> Option<Duration> {
    let text = fs::read_to_string(thread.join("schedstat")).ok()?;
    let time_ns = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(time_ns))
}
