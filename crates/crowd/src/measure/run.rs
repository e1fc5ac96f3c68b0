//! One measurement: connections are opened, left idle, woken in waves, and pinged.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use cresswheel_rehearsal::process_usage::kernel_slab_bytes;

use super::test_bed::TestBed;
use super::{Found, IdleSettings, judge};

/// Connections of each crowd that warm up the processes and the functions.
const FIRST: usize = 200;
/// Waves of calls on them: all functions are called in these.
const WARM_UP_WAVES: usize = 12;
/// Time for memory to settle after the first calls.
const SETTLE_FIRST: Duration = Duration::from_millis(1_500);
/// Time for memory to settle after all connections were opened.
const SETTLE_OPENED: Duration = Duration::from_millis(2_500);
/// Pause after a wave.
const AFTER_WAVE: Duration = Duration::from_millis(300);
/// Time for memory to settle after the last wave.
const SETTLE_WAVES: Duration = Duration::from_millis(1_000);
/// Seconds from the end of the idle time that is measured until the first pings are due.
const FIRST_PINGS_S: u64 = 32;

/// Measures with one number of connections.
pub fn measure_size(
    exe: &Path,
    folder: &Path,
    size: usize,
    settings: &IdleSettings,
    progress: &mut dyn FnMut(&str),
) -> anyhow::Result<Found> {
    let bed = TestBed::start(exe, folder, size, settings)?;
    progress(&format!("{size} connections: {} crowds, gateway on one core", bed.crowds()));
    let found = Found { connections: size, ..Found::default() };
    let mut run = Run { bed, settings, found, progress };
    run.warm_up()?;
    run.found.processes = run.bed.gateway_processes()?.len();
    let bytes_before = run.bed.bytes()?;
    let added = run.open_all(bytes_before)?;
    let opened = Instant::now();
    run.stay_idle()?;
    run.wake()?;
    run.found.after_bytes = (run.bed.bytes()? - bytes_before) / added;
    if settings.pings {
        run.measure_pings(opened)?;
    }
    let Run { bed, mut found, .. } = run;
    drop(bed);
    judge::judge(folder, &mut found, WARM_UP_WAVES, settings)?;
    Ok(found)
}

struct Run<'a> {
    bed: TestBed,
    settings: &'a IdleSettings,
    found: Found,
    progress: &'a mut dyn FnMut(&str),
}

impl Run<'_> {
    /// A first few connections warm up the processes and the functions.
    fn warm_up(&mut self) -> anyhow::Result<()> {
        self.bed.command(|_| format!("open {FIRST}"))?;
        self.bed.until("the first connections", |status| status.established == status.wanted)?;
        for _ in 0..WARM_UP_WAVES {
            self.bed.command(|_| "wake 1 300".into())?;
            self.bed.until("the first calls", |status| status.open + status.scheduled == 0)?;
        }
        sleep(SETTLE_FIRST);
        Ok(())
    }

    /// All other connections come at once; gives how many those are.
    fn open_all(&mut self, bytes_before: f64) -> anyhow::Result<f64> {
        let (slab, cpu, began) = (kernel_slab_bytes()?, self.bed.cpu_us()?, Instant::now());
        self.bed.command(|size| format!("open {size}"))?;
        let status =
            self.bed.until("all connections", |status| status.established + status.lost >= status.wanted)?;
        let took = began.elapsed().as_secs_f64();
        anyhow::ensure!(status.lost == 0, "connections were lost: {status:?}");
        let size = self.found.connections;
        let added = (size - (FIRST * self.bed.crowds()).min(size)).max(1) as f64;
        self.found.accepts_per_s = added / took;
        self.found.accept_cpu_us = (self.bed.cpu_us()? - cpu) / added;
        sleep(SETTLE_OPENED);
        self.found.process_bytes = (self.bed.bytes()? - bytes_before) / added;
        self.found.kernel_bytes = (kernel_slab_bytes()? - slab) / added;
        (self.progress)(&format!(
            "  {:.0} accepts/s, {:.0} bytes each in the processes, {:.0} in the kernel (both ends)",
            self.found.accepts_per_s, self.found.process_bytes, self.found.kernel_bytes
        ));
        Ok(added)
    }

    fn stay_idle(&mut self) -> anyhow::Result<()> {
        let (cpu, wakes, began) = (self.bed.cpu_us()?, self.bed.wakes()?, Instant::now());
        sleep(Duration::from_secs(self.settings.idle_s));
        let took = began.elapsed().as_secs_f64();
        self.found.idle_cpu = (self.bed.cpu_us()? - cpu) / 1e6 / took;
        self.found.idle_wakes = (self.bed.wakes()? - wakes) / took;
        (self.progress)(&format!(
            "  idle: {:.2}% of a core, {:.0} wake-ups a second",
            self.found.idle_cpu * 100.0,
            self.found.idle_wakes
        ));
        Ok(())
    }

    /// Waves of a share of the connections, then all of them.
    fn wake(&mut self) -> anyhow::Result<()> {
        let IdleSettings { share, within_ms, waves, all_within_ms, .. } = *self.settings;
        for wave in 1..=waves {
            (self.progress)(&format!("  wave {wave}: {:.0}% within {within_ms} ms", share * 100.0));
            self.wake_once(share, within_ms)?;
        }
        (self.progress)(&format!("  all within {all_within_ms} ms"));
        self.wake_once(1.0, all_within_ms)?;
        sleep(SETTLE_WAVES);
        Ok(())
    }

    fn wake_once(&mut self, share: f64, within_ms: u64) -> anyhow::Result<()> {
        self.bed.command(|_| format!("wake {share} {within_ms}"))?;
        self.bed.until("the wave's answers", |status| status.open + status.scheduled == 0)?;
        sleep(AFTER_WAVE);
        Ok(())
    }

    fn measure_pings(&mut self, opened: Instant) -> anyhow::Result<()> {
        // They have begun by now: those that were not heard of since are due first.
        let due = Duration::from_secs(self.settings.idle_s + FIRST_PINGS_S);
        sleep(due.saturating_sub(opened.elapsed()));
        let last = self.bed.status()?.pings;
        self.bed.until("the first pings", |status| status.pings > last)?;
        let (cpu, pings, began) = (self.bed.cpu_us()?, self.bed.status()?.pings, Instant::now());
        sleep(Duration::from_secs(self.settings.idle_s));
        let took = began.elapsed().as_secs_f64();
        self.found.pinged_cpu = (self.bed.cpu_us()? - cpu) / 1e6 / took;
        let status = self.bed.status()?;
        self.found.pings_per_s = (status.pings - pings) as f64 / took;
        anyhow::ensure!(status.established == status.wanted, "connections were lost: {status:?}");
        (self.progress)(&format!(
            "  pinged: {:.2}% of a core at {:.0} pings/s",
            self.found.pinged_cpu * 100.0,
            self.found.pings_per_s
        ));
        Ok(())
    }
}
