//! Registry and life cycle of services, and the paused clock.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource, KernelError, PausedClock, ServiceKernel};

#[test]
fn services_are_found_by_name_and_type() {
    let kernel = ServiceKernel::new(ClockSource::System, CancellationToken::new());
    kernel.register("numbers", Arc::new(7_u32)).unwrap();

    assert_eq!(*kernel.find::<u32>("numbers").unwrap(), 7);
    assert!(matches!(
        kernel.find::<String>("numbers"),
        Err(KernelError::NotFound { .. })
    ));
    assert!(matches!(
        kernel.register("numbers", Arc::new(8_u32)),
        Err(KernelError::NameTaken { .. })
    ));
}

#[test]
fn tasks_stop_in_reverse_start_order() {
    smol::block_on(async {
        let kernel = ServiceKernel::new(ClockSource::System, CancellationToken::new());
        let stopped = Arc::new(Mutex::new(Vec::new()));
        for name in ["first", "second", "third"] {
            let list = Arc::clone(&stopped);
            kernel.start(name, |token| async move {
                token.cancelled().await;
                list.lock().unwrap().push(name);
            });
        }

        let aborted = kernel.stop(Duration::from_mins(1)).await;

        assert_eq!(*stopped.lock().unwrap(), ["third", "second", "first"]);
        assert!(aborted.is_empty());
    });
}

#[test]
fn a_task_that_does_not_end_is_aborted_and_named() {
    smol::block_on(async {
        let clock = PausedClock::new();
        let kernel = ServiceKernel::new(
            ClockSource::Paused(Arc::clone(&clock)),
            CancellationToken::new(),
        );
        kernel.start("stuck", |_token| std::future::pending());

        let stopping = smol::spawn(async move { kernel.stop(Duration::from_secs(5)).await });
        while clock.next_due().is_none() {
            smol::future::yield_now().await;
        }
        clock.advance(Duration::from_secs(5));

        assert_eq!(stopping.await, ["stuck"]);
    });
}

#[test]
fn a_paused_clock_wakes_sleepers_only_when_due() {
    smol::block_on(async {
        let clock = PausedClock::new();
        let source = ClockSource::Paused(Arc::clone(&clock));
        let sleeper = smol::spawn(async move { source.sleep(Duration::from_secs(3)).await });
        while clock.next_due().is_none() {
            smol::future::yield_now().await;
        }

        clock.advance(Duration::from_secs(2));
        assert_eq!(clock.next_due(), Some(Duration::from_secs(1)));
        assert!(!sleeper.is_finished());

        clock.advance(Duration::from_secs(1));
        sleeper.await;
    });
}

#[test]
fn a_dropped_sleep_is_not_due() {
    smol::block_on(async {
        let clock = PausedClock::new();
        let source = ClockSource::Paused(Arc::clone(&clock));
        let sleeper = smol::spawn(async move { source.sleep(Duration::from_secs(3)).await });
        while clock.next_due().is_none() {
            smol::future::yield_now().await;
        }

        sleeper.cancel().await;

        assert_eq!(clock.next_due(), None);
    });
}
