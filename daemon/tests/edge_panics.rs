//! Panics while requests are handled.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use gentianhinged::edge::decisions::Log;
use gentianhinged::edge::panics;

/// Output that keeps what is written.
#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

cases! {
    a_panic_ends_neither_its_task_nor_goes_unlogged: {
        let output = Output::default();
        let log = Log::start_on("r1".into(), 100, output.clone()).unwrap();
        panics::log_panics(log.clone());
        let after_yield = async {
            tokio::task::yield_now().await;
            panic!("in a task");
        };
        assert_eq!(panics::catch_async::<()>(after_yield).await, None);
        assert_eq!(panics::catch::<()>(|| panic!("in a function")), None);
        assert_eq!(panics::catch_async(async { 7 }).await, Some(7));
        log.flush();
        let lines = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
        for cause in ["in a task", "in a function", "edge_panics.rs"] {
            assert!(lines.contains(r#""event":"panic""#) && lines.contains(cause), "{lines}");
        }
    },
}
