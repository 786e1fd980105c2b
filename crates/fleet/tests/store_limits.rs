//! A running entry, and records that its store refuses for good.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use hyssop_fleet::entries;
use hyssop_platform::Settings;
use hyssop_platform_standins::{HostOptions, StandInStore, config, job, serve, settings};
use reqwest::{Client, Method};
use tokio::time::{sleep, timeout};

/// Time within which a response has to come.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Entry with its store.
struct Site {
    host: IpAddr,
    store: StandInStore,
    client: Client,
}

impl Site {
    /// Starts an entry on a loopback address that no other test run uses, since its ports are fixed.
    async fn start(number: u8, record_bytes: usize) -> Self {
        Self::start_with(number, |settings| settings.max_record_bytes = record_bytes).await
    }

    /// Starts an entry with changed settings.
    async fn start_with(number: u8, change: impl FnOnce(&mut Settings)) -> Self {
        Self::start_on(StandInStore::default(), number, change).await
    }

    /// Starts an entry with a store and changed settings.
    async fn start_on(store: StandInStore, number: u8, change: impl FnOnce(&mut Settings)) -> Self {
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let host = IpAddr::V4(Ipv4Addr::new(127, a | 0x80, b ^ number, c.max(1)));
        store.write_config(&config(1, "jobs.test", "/queue/", "planner"));
        let options = HostOptions {
            node: "front-1".to_owned(),
            domain: "forde".to_owned(),
            ip: host,
            store: serve(store.clone()).await,
            is_entry: true,
            grace_s: 1.0,
        };
        let mut settings = Settings::parse(&settings(&options)).unwrap();
        change(&mut settings);
        tokio::spawn(entries::run(settings));
        let client = Client::builder().no_proxy().build().unwrap();
        Self {
            host,
            store,
            client,
        }
    }

    /// Sends a request about a job, and returns the status and the body of the response if there is one.
    async fn send(&self, method: Method, number: u64, body: Option<&str>) -> Option<(u16, String)> {
        let front = SocketAddr::new(self.host, 8_161);
        let url = format!("http://{front}/queue/{number:016x}");
        let request = self.client.request(method, url).header("Host", "jobs.test");
        let request = match body {
            Some(body) => request.body(body.to_owned()),
            None => request,
        };
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.text().await.ok()?))
    }

    /// Sends a request until there is an outcome. A starting entry, and one without an owner, answers
    /// 404 or 503.
    async fn call(&self, method: Method, number: u64, body: Option<&str>) -> (u16, String) {
        let attempts = async {
            loop {
                match self.send(method.clone(), number, body).await {
                    None | Some((404 | 503, _)) => sleep(Duration::from_millis(50)).await,
                    Some(outcome) => return outcome,
                }
            }
        };
        timeout(TIMEOUT, attempts).await.unwrap()
    }

    async fn submit(&self, number: u64) -> u16 {
        let body = job(&[1], 60);
        self.call(Method::POST, number, Some(&body)).await.0
    }

    /// Submits a job until it is accepted, as a caller does whose requests have no outcome in time.
    async fn submit_until_accepted(&self, number: u64, body: &str) {
        let accepted =
            async { while self.call(Method::POST, number, Some(body)).await.0 != 200 {} };
        timeout(TIMEOUT, accepted).await.unwrap();
    }

    async fn cancel(&self, number: u64) -> u16 {
        self.call(Method::DELETE, number, None).await.0
    }

    /// Waits until the metrics have a line.
    async fn wait_counted(&self, line: &str) {
        let url = format!("http://{}/metrics", SocketAddr::new(self.host, 9_464));
        let attempts = async {
            loop {
                if let Ok(response) = self.client.get(&url).send().await
                    && response.text().await.unwrap().contains(line)
                {
                    return;
                }
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TIMEOUT, attempts).await.unwrap();
    }
}

/// Guards against a job that the store can never take, whose caller gets no answer and sends it again.
#[tokio::test(flavor = "multi_thread")]
async fn job_that_is_larger_than_a_record_gets_413_and_the_limit() {
    let site = Site::start(1, 2_000).await;
    let large = job(&[1; 30], 60);
    let (status, text) = site.call(Method::POST, 1, Some(&large)).await;
    assert_eq!(status, 413, "{text}");
    assert!(text.contains("must be at most 1999"), "{text}");
    assert_eq!(site.submit(2).await, 200);
    assert_eq!(site.store.refused_append_count(), 0);
}

/// Guards against appends that are repeated for ever because of one record, so that nothing is accepted
/// and no cancellation is acknowledged any more. What depends on the refused record alone waits for it.
#[tokio::test(flavor = "multi_thread")]
async fn refused_record_holds_up_no_other() {
    let site = Site::start(2, 262_144).await;
    assert_eq!(site.submit(1).await, 200);
    site.store.refuse_key("j/0000000000000002", Some(400));
    let (refused, accepted) = tokio::join!(site.submit(2), site.submit(3));
    assert_eq!((refused, accepted), (429, 200));
    site.wait_counted("hyssop_refused_records_total{record=\"job\"}")
        .await;
    assert_eq!(site.call(Method::GET, 2, None).await.0, 410);

    site.store.refuse_key("p/0000000000000001", Some(400));
    let (refused, cancelled) = tokio::join!(site.send(Method::DELETE, 1, None), site.cancel(3));
    let refused = refused.unwrap();
    assert!(refused.0 >= 500, "{refused:?}");
    assert_eq!(cancelled, 200);
    site.wait_counted("hyssop_refused_records_total{record=\"progress\"}")
        .await;
    let (_, text) = site.call(Method::GET, 1, None).await;
    assert!(text.contains("queued"), "{text}");
    site.store.refuse_key("p/0000000000000001", None);
    assert_eq!(site.cancel(1).await, 200);
    site.store.refuse_key("j/0000000000000002", None);
    assert_eq!(site.submit(2).await, 200);
}

/// Guards against a large append that is repeated before the store is done with it, so that each
/// repetition waits behind those before, and no job is accepted any more.
#[tokio::test(flavor = "multi_thread")]
async fn append_that_takes_long_for_its_size_is_not_repeated() {
    let site = Site::start_with(3, |settings| settings.append_rate = 0.01).await;
    assert_eq!(site.submit(1).await, 200);
    site.store.set_append_rate(10_000);
    let large = job(&[1; 150], 60);
    assert!(large.len() > 12_000, "{}", large.len());
    site.submit_until_accepted(2, &large).await;
    assert_eq!(site.submit(3).await, 200);
}

/// Guards against an owner that never loads a long topic because one of its pages fails each time, and
/// that requests all pages before it again.
#[tokio::test(flavor = "multi_thread")]
async fn topic_is_loaded_although_some_requests_for_pages_fail() {
    let store = StandInStore::default();
    for number in 0..60 {
        // Records that no owner can read are skipped.
        store.write_record("keyed.jobs", &format!("zz{number}"), b"7");
    }
    store.limit_pages(5, 4);
    let site = Site::start_on(store, 4, |_| ()).await;
    site.submit_until_accepted(1, &job(&[1], 60)).await;
}
