//! Power loss of all machines at once: short runs of the soak scenario. The time until the nodes serve again
//! is checked only by longer manual runs, since it depends on the load of the test machine.

use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use soak::outage::STORE_FAULTS;
use soak::run::{Plan, run_soak};

/// One power loss with each kind of store fault.
#[rstest]
#[case::first(1)]
#[case::second(2)]
fn loss_of_power_keeps_the_newest_configuration(#[case] seed: u64) {
    let plan = Plan {
        seed,
        rounds: 0,
        storm_duration: Duration::ZERO,
        outages: STORE_FAULTS.len(),
        with_returns: false,
        with_silence: false,
        checks_time: false,
    };
    let dir = std::env::temp_dir().join(format!("monsoondeal-power-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let program = Path::new(env!("CARGO_BIN_EXE_monsoondeal"));
    let report = run_soak(&plan, program, &dir).expect("the nodes start");
    assert!(
        report.findings.is_empty(),
        "{report:#?}\nlogs: {}",
        dir.display()
    );
    assert!(report.requests > 0 && report.faults.len() == STORE_FAULTS.len());
    std::fs::remove_dir_all(&dir).expect("the folder is removed");
}
