//! The lookup of routes, the merge of records and the split of requests by weight.

mod common;

use common::{HOST, config, service_route};
use monsoondeal_edge::{Name, Repeat, WeightedRoundRobin, top_records};
use rstest::rstest;

#[rstest]
#[case::exact("/a/", Some("short"))]
#[case::longest_prefix("/a/b/c", Some("long"))]
#[case::query_is_ignored("/a/b/c?x=/a/", Some("long"))]
#[case::prefix_ends_with_slash("/a/bc", Some("short"))]
#[case::unknown("/b/a/", None)]
#[case::empty("", None)]
#[case::no_leading_slash("a/", None)]
fn route_lookup(#[case] path: &str, #[case] expected: Option<&str>) {
    let mut short = service_route("short", "s", Repeat::Idempotent);
    short.prefix = "/a/".to_owned();
    let mut long = service_route("long", "s", Repeat::Idempotent);
    long.prefix = "/a/b/".to_owned();
    let config = config(1, vec![short, long], 3);

    for host in [HOST, "search.example:8080", "SEARCH.example"] {
        let route = config.route(host, path).map(|route| &*route.name);
        assert_eq!(route, expected, "host {host}");
    }
    assert!(config.route("other.example", path).is_none());
}

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

#[rstest]
#[case::greatest_first(vec![vec![1, 3], vec![2]], 3, vec![3, 2, 1])]
#[case::truncated_to_top_k(vec![vec![1, 3], vec![2, 4]], 2, vec![4, 3])]
#[case::equal_records_are_kept(vec![vec![3], vec![3]], 5, vec![3, 3])]
#[case::top_k_zero(vec![vec![1]], 0, vec![])]
#[case::empty(vec![vec![]], 5, vec![])]
fn top_records_merge(#[case] parts: Vec<Vec<u8>>, #[case] top_k: usize, #[case] expected: Vec<u8>) {
    let parts: Vec<Vec<u8>> = parts
        .iter()
        .map(|part| {
            let mut bytes: Vec<u8> = part.iter().flat_map(|byte| record(*byte)).collect();
            // A remainder that is shorter than a record.
            bytes.extend_from_slice(&[255; 15]);
            bytes
        })
        .collect();
    let body = top_records(parts.iter().map(Vec::as_slice), top_k);
    let expected: Vec<u8> = expected.iter().flat_map(|byte| record(*byte)).collect();
    assert_eq!(body.as_ref(), expected);
}

#[rstest]
#[case::even(vec![1.0, 1.0])]
#[case::uneven(vec![0.9, 0.1])]
#[case::one_weight_is_zero(vec![3.0, 0.0, 1.0])]
fn split_follows_weights(#[case] weights: Vec<f64>) {
    let parts: Vec<(Name, f64)> = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| (Name::from(index.to_string()), *weight))
        .collect();
    let mut round_robin = WeightedRoundRobin::default();
    let route = Name::from("route");
    let mut counts = vec![0.0; weights.len()];
    for _ in 0..40 {
        let service = round_robin
            .next(&route, &parts)
            .expect("a weight is above zero");
        counts[service.parse::<usize>().expect("the name is an index")] += 1.0;
    }
    let total: f64 = weights.iter().sum();
    for (count, weight) in counts.iter().zip(&weights) {
        assert!((count / 40.0 - weight / total).abs() <= 0.03, "{counts:?}");
    }
}

#[test]
fn split_without_positive_weight_has_no_service() {
    let parts = [(Name::from("a"), 0.0)];
    assert!(
        WeightedRoundRobin::default()
            .next(&Name::from("r"), &parts)
            .is_none()
    );
}
