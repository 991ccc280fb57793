//! Plain service: orders under faults, deduplication, fencing and reads.

use std::time::Duration;

use errors::UpstreamError;
use kernel::ClockSource;
use smol::block_on;
use standins::{ServiceSettings, StandinService};
use stores::fakes::InjectedFaults;
use upstream::{HttpService, OrderCall, PlainService};

use crate::fixture::{
    CALL_TIMEOUT, CallOutcome, closed_address, service, upstream_outcome, write_fault_cases,
};

/// Runs `check` against the service in process, then against the HTTP adapter with
/// a stand-in server.
fn with_both_services(
    settings: &ServiceSettings,
    check: &impl AsyncFn(&dyn PlainService, &StandinService),
) {
    block_on(async {
        let memory = StandinService::new(settings.clone(), ClockSource::System);
        check(&memory, &memory).await;
        let running = service(settings.clone()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpService::new(address, ClockSource::System, CALL_TIMEOUT);
        check(&adapter, running.server.service()).await;
    });
}

fn order(body: &str) -> OrderCall {
    OrderCall {
        path: "issue".to_owned(),
        content_type: "application/json".to_owned(),
        body: body.to_owned(),
        dedup_key: None,
        fencing: None,
        deadline_in: CALL_TIMEOUT,
        traceparent: String::new(),
    }
}

#[test]
fn a_lost_order_is_unanswered_whether_or_not_it_took_effect() {
    with_both_services(&ServiceSettings::default(), &async |service, standin| {
        for case in write_fault_cases() {
            let before = standin.effects().len();
            standin.fault_injector().set(case.faults);
            let outcome = service.order(order(case.name)).await;
            standin.fault_injector().set(InjectedFaults::default());
            assert_eq!(upstream_outcome(&outcome), case.outcome, "{}", case.name);
            let ran = standin.effects().len() - before;
            assert_eq!(ran, usize::from(case.takes_effect), "{}", case.name);
        }
    });
}

#[test]
fn a_deduplication_key_runs_once_if_the_service_deduplicates() {
    for (deduplicates, effects) in [(true, 1), (false, 2)] {
        let settings = ServiceSettings {
            deduplicates,
            ..ServiceSettings::default()
        };
        with_both_services(&settings, &async |service, standin| {
            let keyed = || OrderCall {
                dedup_key: Some("lakeshore/42".to_owned()),
                ..order("{}")
            };
            let first = service.order(keyed()).await.expect("first");
            let second = service.order(keyed()).await.expect("second");
            assert_eq!(standin.effects().len(), effects);
            assert_eq!(first == second, deduplicates);
        });
    }
}

#[test]
fn an_older_fencing_number_is_refused_only_if_the_service_checks() {
    for (checks_fencing, effects) in [(true, 1), (false, 2)] {
        let settings = ServiceSettings {
            checks_fencing,
            ..ServiceSettings::default()
        };
        with_both_services(&settings, &async |service, standin| {
            let fenced = |number| OrderCall {
                fencing: Some(number),
                ..order("{}")
            };
            service.order(fenced(5)).await.expect("newer");
            let older = service.order(fenced(4)).await;
            if checks_fencing {
                let fault = older.expect_err("fenced");
                let newest_is_5 = matches!(fault, UpstreamError::Fenced { newest: 5, .. });
                assert!(newest_is_5, "{fault}");
            }
            assert_eq!(standin.effects().len(), effects);
        });
    }
}

#[test]
fn a_read_has_no_effect() {
    with_both_services(&ServiceSettings::default(), &async |service, standin| {
        let read = service.read("status?desk=2", CALL_TIMEOUT, "");
        let answer = read.await.expect("read");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.content_type, "application/json");
        assert!(standin.effects().is_empty());
    });
}

#[test]
fn an_order_that_cannot_be_sent_is_unreachable_and_has_no_effect() {
    block_on(async {
        let address = closed_address().await;
        let adapter = HttpService::new(address, ClockSource::System, CALL_TIMEOUT);
        let outcome = adapter.order(order("{}")).await;
        assert_eq!(upstream_outcome(&outcome), CallOutcome::Unreachable);

        let running = service(ServiceSettings::default()).await;
        let address = running.server.address().to_owned();
        let adapter = HttpService::new(address, ClockSource::System, CALL_TIMEOUT);
        let header_injection = OrderCall {
            dedup_key: Some("a\r\nfencing-number: 9".to_owned()),
            ..order("{}")
        };
        let outcome = adapter.order(header_injection).await;
        assert_eq!(upstream_outcome(&outcome), CallOutcome::Unreachable);
        let expired = OrderCall {
            deadline_in: Duration::ZERO,
            ..order("{}")
        };
        let outcome = adapter.order(expired).await;
        assert_eq!(upstream_outcome(&outcome), CallOutcome::Unreachable);
        assert!(running.server.service().effects().is_empty());
    });
}
