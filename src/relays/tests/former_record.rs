//! The record that a daemon wrote before it was started again.

use {
    super::*,
    crate::model::{Endpoint, ServerState},
    bytes::Bytes,
};

/// Returns the endpoint of a draining server beside daemon 1.
fn endpoint() -> Endpoint {
    let member = member(1, 0);
    Endpoint {
        server: "server-1".into(),
        service: "roll".into(),
        daemon: member.daemon,
        address: member.address,
        data_centre: member.data_centre,
        region: member.region,
        slots: 0,
        state: ServerState::Draining,
        incarnation: 7,
    }
}

fn former_record() -> Record {
    Record {
        endpoints: vec![endpoint()],
        ..record(1, 4)
    }
}

/// Returns daemon 1 in its second run, with the number of its accepted stream.
fn started_again(now: Instant) -> (Uplink, u64) {
    let mut uplink = Uplink::new(member(1, 0), 2, vec![replica(0)], now);
    let effects = attach(&mut uplink, now, Some(Version(0)), 1);
    let (_, stream) = subscription(&effects).unwrap();
    let reply = Some(accepted());
    let event = Event::Stream(StreamEvent::Subscribed { stream, reply });
    uplink.step(now, 3, event);
    (uplink, stream)
}

fn frame(stream: u64, number: u64, records: Vec<Record>, digest: Option<u64>) -> Event {
    let contents = Contents {
        records,
        digest,
        ..Contents::default()
    };
    Event::Stream(StreamEvent::Update(Update {
        stream,
        number,
        detached_ms: 0,
        contents: Bytes::from(wire::encode(&contents).unwrap()),
    }))
}

fn synchronized(effects: &[Effect]) -> Option<&[Endpoint]> {
    effects.iter().find_map(|effect| match effect {
        Effect::Synchronized(former) => Some(&**former),
        _ => None,
    })
}

fn own_endpoints(uplink: &Uplink) -> &[Endpoint] {
    let own = uplink.directory().get(uplink.name());
    own.map_or(&[], |record| &record.endpoints)
}

/// Guards against a daemon that never learns what it had told before its restart, or takes it for learned
/// before all records have arrived.
#[test]
fn a_daemon_learns_its_former_endpoints_once() {
    let now = Instant::now();
    let (mut uplink, stream) = started_again(now);
    let effects = uplink.step(now, 4, frame(stream, 1, vec![former_record()], None));
    assert_eq!(synchronized(&effects), None, "more frames follow");
    let effects = uplink.step(now, 5, frame(stream, 2, vec![], Some(0)));
    assert_eq!(synchronized(&effects), Some(&[endpoint()][..]));
    let effects = uplink.step(now, 6, frame(stream, 3, vec![], Some(0)));
    assert_eq!(synchronized(&effects), None);
}

/// Guards against endpoints of the run before that stay in use although no server has announced itself
/// since.
#[test]
fn former_endpoints_are_removed_on_request() {
    let now = Instant::now();
    let (mut uplink, stream) = started_again(now);
    uplink.step(now, 4, frame(stream, 1, vec![former_record()], Some(0)));
    assert_eq!(own_endpoints(&uplink), [endpoint()]);
    uplink.step(now, 5, Event::Endpoints(vec![]));
    assert!(own_endpoints(&uplink).is_empty());
}

/// Guards against a record that counts as known to the source before the source has answered, or after
/// it has changed or the source is lost.
#[test]
fn a_record_is_confirmed_by_the_answer_of_the_source() {
    let now = Instant::now();
    let mut uplink = Uplink::new(member(1, 0), 2, vec![replica(0)], now);
    assert!(!uplink.is_record_confirmed());
    (uplink, _) = started_again(now);
    assert!(uplink.is_record_confirmed(), "there is none");
    uplink.step(now, 4, Event::Endpoints(vec![endpoint()]));
    assert!(!uplink.is_record_confirmed());
    let effects = uplink.step(now, 5, Event::Tick);
    let Some(Effect::Report(report)) = effects.first() else {
        panic!("no report: {effects:?}");
    };
    let reported = StreamEvent::Reported {
        stream: report.stream,
        number: report.number,
        reply: ReportReply {
            known: true,
            version: Version(0),
            age_ms: None,
        },
    };
    uplink.step(now, 6, Event::Stream(reported));
    assert!(uplink.is_record_confirmed());
    uplink.step(now, 7, Event::Endpoints(vec![]));
    assert!(!uplink.is_record_confirmed());
}
