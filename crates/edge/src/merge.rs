//! Merging the records of shards into one response.

use bytes::{Bytes, BytesMut};

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top_k` records of all parts, greatest first. A remainder of a part that is shorter
/// than a record is ignored; duplicates are kept.
pub fn top_records<'a, P>(parts: P, top_k: usize) -> Bytes
where
    P: IntoIterator<Item = &'a [u8]>,
{
    let mut records: Vec<&[u8]> = parts
        .into_iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if records.len() > top_k {
        if top_k == 0 {
            return Bytes::new();
        }
        records.select_nth_unstable_by(top_k - 1, |a, b| b.cmp(a));
        records.truncate(top_k);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
