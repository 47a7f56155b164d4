//! Commands for version moves.

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compio::time::sleep;
use monsoondeal_config::ServiceMap;
use monsoondeal_core::Findings;
use monsoondeal_engine::{map_key, move_key};
use monsoondeal_moves::{MoveRecord, Progress};
use monsoondeal_node::store::{Store, StoreError};
use serde::de::DeserializeOwned;

use crate::args::Ctl;
use crate::ctl::print_json;
use crate::submit::{SubmitError, read_tree};

/// Maximum number of attempts to change a record.
const MAX_ATTEMPTS: u32 = 8;
/// Wait between two attempts, and between two reads of the status of a move.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Begins a move to the next version of a service's partition map.
pub(crate) async fn begin(
    ctl: &Ctl,
    store: &Store,
    service: &str,
    seconds: u64,
) -> Result<ExitCode, SubmitError> {
    check_permission(ctl, store, service).await?;
    let Some((map, _)) = read_json::<ServiceMap>(store, &map_key(service)).await? else {
        return Err(refused(
            "service",
            format!("service '{service}' has no partition map"),
        ));
    };
    let Some(next) = map.next else {
        return Err(refused(
            "service",
            format!("the partition map of '{service}' has no next version"),
        ));
    };
    let (current, version) = read_json::<MoveRecord>(store, &move_key(service))
        .await?
        .unzip();
    if current.is_some_and(|current| current.is_running()) {
        return Err(refused(
            "service",
            format!("a move of '{service}' is under way already"),
        ));
    }
    let start = unix_millis();
    let record = MoveRecord {
        service: service.to_owned(),
        to: next.snapshot,
        start,
        deadline: start + seconds * 1_000,
        progress: Progress::Running {
            step: 0,
            since: start,
        },
    };
    match store
        .write(&move_key(service), version, encode_record(&record)?)
        .await
    {
        Ok(_) => Ok(print_move(ctl, &record)),
        Err(StoreError::Conflict) => Err(refused(
            "service",
            format!("another writer has changed the move of '{service}'"),
        )),
        Err(error) => Err(SubmitError::Unknown(error)),
    }
}

/// Rolls a move back.
pub(crate) async fn roll_back(
    ctl: &Ctl,
    store: &Store,
    service: &str,
) -> Result<ExitCode, SubmitError> {
    check_permission(ctl, store, service).await?;
    let mut last_error = StoreError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        let (record, version) = find_move(store, service).await?;
        match record.progress {
            Progress::Running { .. } => {}
            Progress::Reversed { .. } => return Ok(print_move(ctl, &record)),
            Progress::Done => {
                return Err(refused(
                    "service",
                    format!("the move of '{service}' is already done"),
                ));
            }
        }
        let reason = "an operator took it back".to_owned();
        let next = MoveRecord {
            progress: Progress::Reversed { reason },
            ..record
        };
        match store
            .write(&move_key(service), Some(version), encode_record(&next)?)
            .await
        {
            Ok(_) => return Ok(print_move(ctl, &next)),
            // The coordinator has advanced the move, or the reply was lost: the next read shows which.
            Err(error) => last_error = error,
        }
        sleep(RETRY_WAIT).await;
    }
    Err(SubmitError::Unknown(last_error))
}

/// Prints the progress of a move; with `--wait`, waits for its end.
pub(crate) async fn status(
    ctl: &Ctl,
    store: &Store,
    service: &str,
) -> Result<ExitCode, SubmitError> {
    let end = SystemTime::now() + Duration::from_secs(ctl.wait.unwrap_or(0));
    loop {
        let (record, _) = find_move(store, service).await?;
        if !record.is_running() || SystemTime::now() >= end {
            return Ok(print_move(ctl, &record));
        }
        sleep(RETRY_WAIT).await;
    }
}

/// Checks that the operator may move the traffic of a service.
async fn check_permission(ctl: &Ctl, store: &Store, service: &str) -> Result<(), SubmitError> {
    let (tree, _) = read_tree(store).await?;
    let Some(entry) = tree.services.get(service) else {
        return Err(refused("service", format!("no service '{service}'")));
    };
    tree.check_actor(ctl.actor.as_deref(), Some(&entry.owner))
        .map_err(SubmitError::Refused)
}

async fn find_move(store: &Store, service: &str) -> Result<(MoveRecord, u64), SubmitError> {
    let found = read_json::<MoveRecord>(store, &move_key(service)).await?;
    found.ok_or_else(|| refused("service", format!("no move of service '{service}'")))
}

async fn read_json<T>(store: &Store, key: &str) -> Result<Option<(T, u64)>, SubmitError>
where
    T: DeserializeOwned,
{
    let Some(object) = store.read(key).await.map_err(SubmitError::ReadFailed)? else {
        return Ok(None);
    };
    let value = serde_json::from_slice(&object.value)
        .map_err(|error| refused(key, format!("cannot be read: {error}")))?;
    Ok(Some((value, object.version)))
}

fn encode_record(record: &MoveRecord) -> Result<Bytes, SubmitError> {
    let value = serde_json::to_vec(record);
    value
        .map(Bytes::from)
        .map_err(|error| refused("record", error.to_string()))
}

fn refused(source: &str, message: String) -> SubmitError {
    SubmitError::Refused(Findings::single(source, message))
}

fn print_move(ctl: &Ctl, record: &MoveRecord) -> ExitCode {
    if ctl.json {
        print_json(record);
        return ExitCode::SUCCESS;
    }
    let seconds_left = record.deadline.saturating_sub(unix_millis()) / 1_000;
    match &record.progress {
        Progress::Running { step, .. } => {
            println!(
                "{}: running, step {step}, {seconds_left} s to the deadline",
                record.service
            );
        }
        Progress::Done => println!("{}: done", record.service),
        Progress::Reversed { reason } => println!("{}: taken back: {reason}", record.service),
    }
    ExitCode::SUCCESS
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
