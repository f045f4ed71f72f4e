//! A peer that is gone, and one that reads slowly.

use std::time::Duration;

use gentianhinge_core::tcp_peer::{Peer, PeerState, Sample, UNANSWERED_TIMEOUT};
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(500);

/// Longest time of a test, in samples.
const SAMPLE_COUNT: u32 = 60;

/// A closed window whose last probe was answered this long ago.
fn closed_window(since_ack: Duration) -> Sample {
    Sample { unsent_bytes: 24_576, acked_bytes: 12_288, since_ack, ..Sample::default() }
}

/// Data in flight, and nothing heard for this time.
fn in_flight(since_ack: Duration) -> Sample {
    Sample { in_flight_segments: 2, since_ack, ..Sample::default() }
}

/// When the peer counts as gone, with a sample each half second.
fn gone_after(mut sample: impl FnMut(Duration) -> Sample) -> Option<Duration> {
    let began_at = Instant::now();
    let mut state = PeerState::default();
    let mut times = (0..SAMPLE_COUNT).map(|i| INTERVAL * i);
    times.find(|time| state.record(&sample(*time), began_at + *time) == Peer::Gone)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    /// Guards against giving up a peer that reads slowly (LOST).
    a_closed_window_whose_probes_are_answered_is_not_gone: {
        assert_eq!(gone_after(|_| closed_window(Duration::ZERO)), None);
    },
    /// Guards against taking the rarer probes of a window that stays closed for silence.
    a_long_time_since_the_last_probe_is_not_gone: {
        assert_eq!(gone_after(closed_window), None);
    },
    one_lost_probe_is_not_gone: {
        let sample = |time| Sample { unanswered_probes: 1, ..closed_window(time) };
        assert_eq!(gone_after(sample), None);
    },
    a_closed_window_whose_probes_stay_unanswered_is_gone: {
        let sample = |time: Duration| {
            let unanswered_probes = u32::try_from(time.as_secs()).unwrap();
            Sample { unanswered_probes, ..closed_window(time) }
        };
        let first_probe_at = Duration::from_secs(1);
        assert_eq!(gone_after(sample), Some(first_probe_at + UNANSWERED_TIMEOUT));
    },
    /// Guards against noticing later than the kernel's user timeout that a host is cut off.
    data_in_flight_without_acknowledgment_is_gone: {
        assert_eq!(gone_after(in_flight), Some(UNANSWERED_TIMEOUT));
    },
    /// Guards against counting the time before the write, in which nothing was to be acknowledged.
    silence_before_the_write_does_not_count: {
        let idle_time = Duration::from_secs(60);
        assert_eq!(gone_after(|time| in_flight(idle_time + time)), Some(UNANSWERED_TIMEOUT));
    },
    acknowledgments_restart_the_timeout: {
        assert_eq!(gone_after(|_| in_flight(Duration::from_millis(100))), None);
    },
    /// A receiver that drops segments for want of memory acknowledges the ones before again.
    repeated_acknowledgments_are_an_answer: {
        let sample = |_| Sample { acked_bytes: 12_288, ..in_flight(Duration::from_millis(100)) };
        assert_eq!(gone_after(sample), None);
    },
    a_peer_is_up_to_date_once_all_is_acknowledged: {
        let (mut state, now) = (PeerState::default(), Instant::now());
        state.record(&in_flight(Duration::ZERO), now);
        assert_eq!(state.record(&Sample::default(), now + INTERVAL), Peer::UpToDate);
        let late = now + 2 * UNANSWERED_TIMEOUT;
        assert_eq!(state.record(&in_flight(UNANSWERED_TIMEOUT), late), Peer::Reading);
    },
    the_time_without_reading_runs_from_the_last_progress: {
        let (mut state, now) = (PeerState::default(), Instant::now());
        let closed = closed_window(Duration::ZERO);
        assert_eq!(state.record(&closed, now), Peer::Reading);
        assert_eq!(state.record(&closed, now + INTERVAL), Peer::NotReading(INTERVAL));
        let read = Sample { acked_bytes: closed.acked_bytes + 1, ..closed };
        assert_eq!(state.record(&read, now + 2 * INTERVAL), Peer::Reading);
        assert_eq!(state.record(&read, now + 3 * INTERVAL), Peer::NotReading(INTERVAL));
    },
}
