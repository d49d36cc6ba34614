//! Which route a request has by a configuration of a known age.

use {
    egretlb_runtime::{Configuration, MAX_CONFIGURATION_AGE, NoRoute},
    egretlb_types::Time,
    egretlb_workflow::{Route, RouteTable},
    std::time::Duration,
};

const HOST: &str = "host.example";

fn table(version: u64, queue: &str) -> RouteTable {
    let route = Route {
        name: queue.into(),
        host: HOST.into(),
        prefix: format!("/{queue}/").into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 2,
        stretch_permille: 1_500,
        slack_ms: 250,
        advice: None,
    };
    RouteTable { version, routes: vec![route], ..RouteTable::default() }
}

fn lookup(configuration: &Configuration, now: Time, path: &str) -> Result<String, NoRoute> {
    configuration.find(now, HOST, path).map(|route| route.name.to_string())
}

/// Guards against rejecting requests for good before anything is known of the routes.
#[test]
fn never_read() {
    let now = Time::from_secs(5);
    let mut configuration = Configuration::default();
    assert_eq!(lookup(&configuration, now, "/queue/1"), Err(NoRoute::Unknown));
    configuration.set_complete_until(now);
    assert_eq!(lookup(&configuration, now, "/queue/1"), Err(NoRoute::Unknown));
    assert!(!configuration.is_current(now));
}

/// The topic can't be read any more. Guards against answers by a configuration that may have been replaced.
#[test]
fn reads_cease() {
    let read = Time::from_secs(10);
    let mut configuration = Configuration::default();
    assert!(configuration.apply(table(3, "queue")));
    configuration.set_complete_until(read);
    assert!(configuration.is_current(read));
    let last = read + (MAX_CONFIGURATION_AGE - Duration::from_millis(1));
    assert_eq!(lookup(&configuration, last, "/queue/1"), Ok("queue".to_string()));
    assert_eq!(lookup(&configuration, last, "/added/1"), Err(NoRoute::Absent));
    let outdated = read + MAX_CONFIGURATION_AGE;
    assert!(!configuration.is_current(outdated));
    assert_eq!(lookup(&configuration, outdated, "/queue/1"), Ok("queue".to_string()));
    assert_eq!(lookup(&configuration, outdated, "/added/1"), Err(NoRoute::Unknown));
    configuration.set_complete_until(outdated);
    assert!(configuration.is_current(outdated));
    assert_eq!(lookup(&configuration, outdated, "/added/1"), Err(NoRoute::Absent));
}

/// Guards against an older version, or an older read, that replaces a newer one.
#[test]
fn never_back() {
    let read = Time::from_secs(10);
    let mut configuration = Configuration::default();
    assert!(configuration.apply(table(3, "queue")));
    assert!(!configuration.apply(table(3, "other")));
    assert!(!configuration.apply(table(2, "other")));
    configuration.set_complete_until(read);
    configuration.set_complete_until(Time::from_secs(7));
    assert_eq!(configuration.version(), Some(3));
    assert_eq!(configuration.age(Time::from_secs(11)), Some(Duration::from_secs(1)));
}
