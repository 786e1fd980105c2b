//! Metrics of a running entry.

use hyssop_core::Millis;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use hyssop_fleet::entries;
use hyssop_platform::Settings;
use tokio::time::{sleep, timeout};

/// Time within which a starting entry has to respond.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns a loopback address that no other test run uses, since the port of the metrics is fixed.
fn own_host() -> IpAddr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, a | 0x40, b, c.max(1)))
}

async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let request = async {
        loop {
            match client.get(format!("http://{address}{path}")).send().await {
                Ok(reply) => return (reply.status().as_u16(), reply.text().await.unwrap()),
                Err(_) => sleep(Duration::from_millis(50)).await,
            }
        }
    };
    timeout(STARTUP_TIMEOUT, request).await.unwrap()
}

/// Guards against failed requests that are missing in the metrics: requests are counted with their
/// outcome and latency, also while the store is unreachable.
#[tokio::test]
async fn rejected_requests_are_counted_with_their_latency() {
    let host = own_host();
    let at = |port| SocketAddr::new(host, port);
    let settings = Settings {
        node: "front-1".into(),
        domain: "bergen-a".into(),
        front_address: Some(at(8_161)),
        ready_address: Some(at(8_167)),
        control_address: None,
        peer_address: at(7_720),
        worker_address: None,
        store_address: at(9),
        advice_address: None,
        machines_address: None,
        cpu_share: 1.0,
        grace_s: 1.0,
        max_lease: Millis(10_000),
        speed_delay: Millis(100),
        max_record_bytes: 262_144,
        max_append_bytes: 2_097_152,
        append_rate: 20.0,
    };
    let entry = tokio::spawn(entries::run(settings));
    let (status, _) = get(at(8_161), "/queue/1").await;
    assert_eq!(status, 503);
    let (status, text) = get(at(9_464), "/metrics").await;
    assert_eq!(status, 200);
    let counted = "hyssop_calls_total{call=\"unread\",outcome=\"503\"} 1";
    assert!(text.contains(counted), "{text}");
    let timed = "hyssop_call_seconds_count{call=\"unread\"} 1";
    assert!(text.contains(timed), "{text}");
    entry.abort();
}
