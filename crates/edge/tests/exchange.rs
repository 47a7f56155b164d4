//! Which call an answer belongs to, and what proves that a call has not run.

use monsoondeal_edge::{
    AnswerHead, Attribution, Exchanges, NotRunCause, OwnAnswer, UnwrittenCause, WriteMark,
};
use rstest::rstest;

const ID: &[u8] = b"request";
const OTHER: &[u8] = b"other";

/// Returns the head of an answer without a mark or a signature.
fn head(status: u16, id: Option<&[u8]>) -> AnswerHead<'_> {
    AnswerHead {
        status,
        id,
        is_marked: false,
        is_signed: false,
    }
}

fn own(attribution: Attribution) -> OwnAnswer {
    match attribution {
        Attribution::Own(answer) => answer,
        other => panic!("{other:?}"),
    }
}

/// What a connection carried before a call.
#[derive(Clone, Copy, Debug)]
enum Before {
    Nothing,
    OtherRequest,
    SameRequest,
}

/// Guards against copies of earlier answers that are taken for the answer to a call.
#[rstest]
#[case::named_first(Before::Nothing, 200, Some(ID), "own")]
#[case::named_after_another(Before::OtherRequest, 200, Some(ID), "own")]
#[case::named_after_the_same(Before::SameRequest, 503, Some(ID), "ambiguous")]
#[case::other_request(Before::OtherRequest, 200, Some(OTHER), "foreign")]
#[case::other_request_first(Before::Nothing, 200, Some(OTHER), "foreign")]
#[case::unnamed_first(Before::Nothing, 503, None, "own")]
#[case::unnamed_after_named(Before::OtherRequest, 503, None, "own")]
fn attribute_answer(
    #[case] before: Before,
    #[case] status: u16,
    #[case] id: Option<&[u8]>,
    #[case] expected: &str,
) {
    let mut exchanges = Exchanges::default();
    match before {
        Before::Nothing => {}
        Before::OtherRequest => exchanges.begin(OTHER),
        Before::SameRequest => exchanges.begin(ID),
    }
    exchanges.begin(ID);
    let found = match exchanges.attribute(ID, head(status, id)) {
        Attribution::Own(_) => "own",
        Attribution::Foreign => "foreign",
        Attribution::Ambiguous => "ambiguous",
    };
    assert_eq!(found, expected);
}

/// Guards against a copy of an identity check's answer that is taken for the answer to the call that follows.
#[rstest]
#[case::plain(200, false, false, false)]
#[case::failing(503, false, false, false)]
#[case::refused(503, true, false, true)]
#[case::signed(200, false, true, true)]
#[case::misdirected(421, false, false, true)]
fn check_answer_resembles_call_answer(
    #[case] status: u16,
    #[case] is_marked: bool,
    #[case] is_signed: bool,
    #[case] expected: bool,
) {
    let head = AnswerHead {
        is_marked,
        is_signed,
        ..head(status, None)
    };
    assert_eq!(head.resembles_call_answer(), expected);
}

/// A connection carries no second call of a request, whatever it carried in between.
#[rstest]
#[case::at_once(0)]
#[case::after_other_requests(40)]
fn may_carry_no_second_call_of_a_request(#[case] others: u32) {
    let mut exchanges = Exchanges::default();
    assert!(exchanges.may_carry(ID));
    exchanges.begin(ID);
    for other in 0..others {
        let id = other.to_string();
        assert!(exchanges.may_carry(id.as_bytes()));
        exchanges.begin(id.as_bytes());
    }
    assert!(!exchanges.may_carry(ID));
}

/// Guards against a status that is taken for a proof: only the mark is one, or the unsigned 421 of another leaf.
#[rstest]
fn refusal_needs_a_mark(
    #[values(200, 400, 408, 421, 429, 500, 503, 504)] status: u16,
    #[values(true, false)] is_marked: bool,
    #[values(true, false)] is_signed: bool,
    #[values(Some(ID), None)] id: Option<&[u8]>,
) {
    let mut exchanges = Exchanges::default();
    exchanges.begin(ID);
    let head = AnswerHead {
        is_marked,
        is_signed,
        ..head(status, id)
    };
    let answer = own(exchanges.attribute(ID, head));
    let expected = match (status, is_marked, is_signed) {
        (421, true, _) | (421, false, false) => Some(NotRunCause::Misdirected),
        (_, true, _) => Some(NotRunCause::Refused),
        (_, false, _) => None,
    };
    assert_eq!(answer.refusal().map(|proof| proof.cause()), expected);
    assert_eq!(answer.is_named(), id.is_some());
}

/// A call counts as unwritten only until writing begins, unless it was handed back whole.
#[test]
fn write_mark_proves_only_unwritten_calls() {
    let mark = WriteMark::default();
    let shared = mark.clone();
    let is_proved = |mark: &WriteMark| mark.unwritten(UnwrittenCause::Unsent).is_some();
    assert!(is_proved(&shared));
    assert!(mark.begin());
    assert!(!is_proved(&shared));
    mark.take_back(&"the whole call");
    assert!(is_proved(&shared));
}

/// Guards against a call that is written after it was taken back: when it had been handed back whole by a closed
/// connection, for another try on a new one.
#[test]
fn withdrawn_call_is_not_written_again() {
    let mark = WriteMark::default();
    assert!(mark.begin());
    mark.withdraw();
    assert!(mark.unwritten(UnwrittenCause::Unsent).is_none());
    mark.take_back(&"the whole call");
    assert!(!mark.begin());
    let proof = mark.unwritten(UnwrittenCause::Unsent);
    assert_eq!(
        proof.map(|proof| proof.cause()),
        Some(NotRunCause::Withdrawn)
    );
}
