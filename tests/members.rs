//! Replacement of a claims replica whose disk was lost.

mod support;

use {
    anvilbeam::operator_api::{MEMBERS, MemberAction, MemberRequest, MembersResponse},
    http::{Request, StatusCode},
    std::{fs, time::Duration},
    support::{Answer, Mesh, WAIT_TIMEOUT, grants, plans, request, send},
    tokio::time::{Instant, sleep},
};

async fn order(mesh: &Mesh, key: &str) -> Answer {
    let req: Request<_> = request("POST", "issuance", "/orders", "boards-key")
        .header("idempotency-key", key)
        .body(anvilbeam::body::full("one order"))
        .unwrap();
    send(mesh.ports[0].callers, req).await.unwrap()
}

/// Sends an order until it succeeds; a refused one must not have run and is sent again.
async fn order_until_answered(mesh: &Mesh, key: &str) -> Answer {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = order(mesh, key).await;
        if answer.status == StatusCode::OK {
            return answer;
        }
        assert_eq!(answer.outcome(), Some("not-run"), "{answer:?}");
        assert!(Instant::now() < deadline, "last answer: {answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}

async fn change_member(
    mesh: &Mesh,
    action: MemberAction,
    replica: usize,
    id: Option<u64>,
) -> MembersResponse {
    let req = MemberRequest {
        action,
        name: format!("claims-{replica}"),
        address: Some(mesh.claim_peers[replica].to_string()),
        id,
        of: Some(mesh.claim_peers[(replica + 1) % 3].to_string()),
    };
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = mesh.operator_request("POST", MEMBERS, &req).await;
        match answer {
            Some(answer) if answer.status == StatusCode::OK => {
                return serde_json::from_slice(&answer.body).unwrap();
            }
            answer => assert!(Instant::now() < deadline, "last answer: {answer:?}"),
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against orders that are lost or run twice when a claims replica loses its disk and a
/// second one fails right after the first was replaced.
#[tokio::test]
async fn a_second_loss_after_a_repair_keeps_the_answers() {
    let mut mesh = Mesh::start(3);
    mesh.add_daemon("r1-a", "issuance", 4);
    mesh.put(&plans(&["boards"]), &grants(&[("boards", "issuance", "")]))
        .await;
    mesh.wait_for_candidates(0, "boards", "issuance", 1).await;
    let first = order_until_answered(&mesh, "order-1").await;

    mesh.claims[0].kill();
    fs::remove_dir_all(mesh.folder.path().join("claims-0")).unwrap();
    mesh.claims[0].start();
    let members = change_member(&mesh, MemberAction::Add, 0, None)
        .await
        .members;
    let same_name = members.iter().filter(|member| member.name == "claims-0");
    let ids: Vec<u64> = same_name.map(|member| member.id).collect();
    assert_eq!(
        ids.len(),
        2,
        "a replica with a new disk gets a new identity"
    );
    change_member(&mesh, MemberAction::Remove, 0, Some(ids[0])).await;

    mesh.claims[1].kill();
    let resent = order_until_answered(&mesh, "order-1").await;
    assert_eq!(resent.body, first.body);
    order_until_answered(&mesh, "order-2").await;
    let runs = mesh.runs.lock().unwrap();
    assert_eq!((runs["order-1"], runs["order-2"]), (1, 1));
}
