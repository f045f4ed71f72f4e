//! Random schedules from fixed seeds.

use arbtest::arbtest;
use gentianhinge_scenario::{fuzz, run};

/// Number of schedules in a test run.
const SCHEDULE_COUNT: u64 = 150;

#[test]
fn schedules_of_fixed_seeds_hold() {
    let summary = fuzz::run_many(1, SCHEDULE_COUNT, 2);
    for failure in &summary.failures {
        println!("seed {}: {}\n{}", failure.seed, failure.reasons.join("\n"), failure.script);
    }
    assert_eq!(summary.schedule_count, SCHEDULE_COUNT);
    assert_eq!(summary.failed_count, 0);
}

/// In an arbtest seed, the low 32 bits are the number of random bytes and the high 32 bits their
/// seed.
macro_rules! arbtest_seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(
            #[test]
            fn $name() {
                arbtest(|u| {
                    let script = fuzz::arbitrary_script(u)?;
                    let outcome = run::run(&script);
                    assert!(outcome.failures.is_empty(), "{:#?}\n{script}", outcome.failures);
                    Ok(())
                })
                .seed($seed);
            }
        )*
    };
}

arbtest_seeds! {
    short_schedule: 0x0000_0001_0000_0020;
    medium_schedule: 0x0000_0002_0000_0080;
    long_schedule: 0x0000_0003_0000_0200;
    longest_schedule: 0x0000_0004_0000_0400;
}
