//! Submits changes to the tree.

use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use monsoondeal_config::{Change, Tree};
use monsoondeal_core::Findings;
use monsoondeal_engine::TREE_KEY;
use monsoondeal_node::store::{Store, StoreError};
use quick_error::quick_error;

/// Maximum number of attempts to write a change.
const MAX_ATTEMPTS: u32 = 8;
/// Wait between two attempts.
const RETRY_WAIT: Duration = Duration::from_millis(200);

quick_error! {
    /// `SubmitError` is the reason why a change is not known to have been accepted.
    #[derive(Debug)]
    pub enum SubmitError {
        /// The change is invalid or not permitted; nothing was written.
        Refused(findings: Findings) {
            display("{findings}")
        }
        /// The store holds a tree that cannot be read.
        BadTree(text: String) {
            display("the tree in the store cannot be read: {text}")
        }
        /// The store could not be read, so nothing was written.
        ReadFailed(error: StoreError) {
            display("nothing was changed: {error}")
        }
        /// A write was not answered, and its effect could not be found out by reading the store.
        Unknown(error: StoreError) {
            display("it is not known whether the change was accepted: {error}")
        }
    }
}

/// Reads the tree and its version in the store.
///
/// # Errors
///
/// If the store does not answer or the tree cannot be read.
pub(crate) async fn read_tree(store: &Store) -> Result<(Tree, Option<u64>), SubmitError> {
    let Some(object) = store
        .read(TREE_KEY)
        .await
        .map_err(SubmitError::ReadFailed)?
    else {
        return Ok((Tree::default(), None));
    };
    let tree = serde_json::from_slice(&object.value)
        .map_err(|error| SubmitError::BadTree(error.to_string()))?;
    Ok((tree, Some(object.version)))
}

/// Applies a change to the tree in the store and returns the tree that contains the change.
///
/// The change is applied at most once: the tree records the changes that it contains, so that after a lost
/// reply a read shows whether the write took effect.
///
/// # Errors
///
/// If the change is invalid or not permitted, or the store does not answer.
pub(crate) async fn submit(store: &Store, change: &Change) -> Result<Tree, SubmitError> {
    let mut unknown_write: Option<StoreError> = None;
    for _ in 0..MAX_ATTEMPTS {
        let (tree, version) = match read_tree(store).await {
            Ok(found) => found,
            Err(SubmitError::ReadFailed(error)) if unknown_write.is_some() => {
                unknown_write = Some(error);
                sleep(RETRY_WAIT).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        if tree.has_accepted(change.id) {
            return Ok(tree);
        }
        let next = tree.apply(change).map_err(SubmitError::Refused)?;
        let value = serde_json::to_vec(&next).map_err(|e| SubmitError::BadTree(e.to_string()))?;
        match store.write(TREE_KEY, version, Bytes::from(value)).await {
            Ok(_) => return Ok(next),
            Err(StoreError::Conflict) => {}
            Err(error) => unknown_write = Some(error),
        }
        sleep(RETRY_WAIT).await;
    }
    match unknown_write {
        Some(error) => Err(SubmitError::Unknown(error)),
        None => Err(SubmitError::ReadFailed(StoreError::Conflict)),
    }
}
